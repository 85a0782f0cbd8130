/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: a region with two zones of 14 gateways, each of which sends parts to three owners in
// each zone about once in two seconds. The zones have different demand.

#include <LibGateway/CellMap.h>
#include <LibGateway/RegionRate.h>
#include <Support/NodeFixture.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <numbers>
#include <set>
#include <vector>

using Gateway::RegionRate;

namespace
{

constexpr std::size_t GatewaysInZone = 14;
constexpr std::size_t Owners = 6;

/** Gateways that tell each other their estimates. */
class Region
{
public:
    /** `rateIn` returns the own rate of the gateways of a zone, 0 or 1, at a second. `falseRate` is sent by one owner in place of its estimate. */
    void run(int seconds, const std::function<double(std::size_t zone, int second)> &rateIn, std::optional<double> falseRate = std::nullopt)
    {
        for (int passed = 0; passed < seconds; ++passed) {
            ++this->second;
            const Core::Instant now{Core::seconds(100 + this->second)};
            std::set<double> used;
            for (std::size_t number = 0; number < this->gateways.size(); ++number) {
                auto &gateway = this->gateways[number];
                for (std::size_t part = 0; part < Owners && (number + static_cast<std::size_t>(this->second)) % 2 == 0; ++part) {
                    const auto owner = (number * 5 + part * 3) % Owners + (part % 2) * GatewaysInZone;
                    this->gateways[owner].receive(gateway.estimate(), now);
                    gateway.receive(owner == 0 ? falseRate.value_or(this->gateways[owner].estimate()) : this->gateways[owner].estimate(), now);
                }
                const double before = gateway.usedRate();
                this->due[number] += rateIn(number / GatewaysInZone, this->second);
                for (; this->due[number] >= 1.0; this->due[number] -= 1.0) {
                    this->rates[number].recordEvent();
                }
                this->rates[number].advance(1.0);
                gateway.update(this->rates[number].perSecond(), now);
                this->changes += gateway.usedRate() == before ? 0 : 1;
                used.insert(gateway.usedRate());
            }
            this->disagreements += *used.rbegin() > 1.26 * *used.begin() ? 1 : 0;
        }
    }

    std::vector<RegionRate> gateways{2 * GatewaysInZone};
    std::vector<Gateway::SmoothedRate> rates{2 * GatewaysInZone};
    std::vector<double> due = std::vector<double>(2 * GatewaysInZone, 0.0);
    int second{0};
    int changes{0};
    // Seconds in which the rates that two gateways used were more than a step apart.
    int disagreements{0};
};

}

// Guards against gateways that compute different owners because their zones have different demand.
Test(RegionRate, gatewaysOfZonesWithDifferentDemandAgree)
{
    Region region;
    const auto rateIn = [](std::size_t zone, int) {
        return zone == 0 ? 0.2 : 0.8;
    };
    region.run(240, rateIn);
    region.disagreements = 0;
    region.run(60, rateIn);
    for (const auto &gateway : region.gateways) {
        cr_assert(gateway.estimate() > 0.4 && gateway.estimate() < 0.6, "%f", gateway.estimate());
    }
    cr_assert_eq(region.disagreements, 0);
}

// Guards against owners that change with each swing of the demand: each change moves parts to other connections.
Test(RegionRate, ownersDoNotFollowTheSwingOfDemand)
{
    Region region;
    const auto rateIn = [](std::size_t zone, int second) {
        return 0.5 * (1.0 + 0.55 * std::sin(2.0 * std::numbers::pi * second / 17.0 + std::numbers::pi * static_cast<double>(zone)));
    };
    region.run(240, rateIn);
    region.changes = 0;
    region.disagreements = 0;
    region.run(170, rateIn);
    cr_assert_eq(region.changes, 0, "%d", region.changes);
    cr_assert_eq(region.disagreements, 0);
}

// Guards against a gateway whose false estimate changes the owners of all without limit: here a sixth of the answers come from it.
Test(RegionRate, aFalseEstimateHasABoundedEffect)
{
    for (const double falseRate : {0.0, 10'000.0}) {
        Region region;
        region.run(
            120,
            [](std::size_t, int) {
                return 0.5;
            },
            falseRate);
        for (std::size_t number = 1; number < region.gateways.size(); ++number) {
            const double estimate = region.gateways[number].estimate();
            cr_assert(estimate > 0.22 && estimate < 1.1, "%f: %f", falseRate, estimate);
        }
    }
}

// Guards against a gateway that hears nothing, as without parts or beside an older build, and keeps an estimate of others.
Test(RegionRate, withoutOthersItIsTheOwnRate)
{
    RegionRate rate;
    const auto at = [](int seconds) {
        return Core::Instant(Core::seconds(seconds));
    };
    cr_assert_eq(rate.usedRate(), 0.0);
    rate.update(0.5, at(100));
    cr_assert_eq(rate.estimate(), 0.5);
    cr_assert_float_eq(rate.usedRate(), 0.5, 0.06, "%f", rate.usedRate());
    rate.receive(0.9, at(101));
    rate.update(0.5, at(102));
    cr_assert_gt(rate.estimate(), 0.51);
    rate.update(0.5, at(112));
    cr_assert_eq(rate.estimate(), 0.5);
    cr_assert_eq(Gateway::parseRate(Gateway::formatRate(0.476)).value(), 0.476);
    for (const char *invalid : {"", "-1", "0.5", "10000001", "many"}) {
        cr_assert_not(Gateway::parseRate(invalid).has_value());
    }
}

// Guards against estimates that are not told, that are told to another region, and that reach backend servers.
Test(RegionRate, estimatesTravelWithPartsWithinTheRegion)
{
    constexpr const char *Header = Gateway::RelayHeader::SearchRate;
    for (const char *zone : {"beside", "there"}) {
        TestSupport::NodeFixture fixture;
        fixture.coordinator.declare(nlohmann::json::parse(
            R"({"version": 1, "services": [{"name": "s0", "max_conns": 200}, {"name": "s1", "max_conns": 200}, {"name": "s2", "max_conns": 200}], "routes": [
            {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 1000,
             "public": true, "gather": ["s0", "s1", "s2"], "max_attempts": 2, "top_k": 5, "min_coverage": 0.5}]})"));
        for (const char *shard : {"s0", "s1", "s2"}) {
            fixture.addBackend(shard, std::string("server-") + shard, zone);
        }
        const auto &asked = fixture.addNode("here");
        const auto &serving = fixture.addNode(zone, [](Gateway::GatewayOptions &options) {
            options.loopWaited = [] {
                return Core::Duration(0);
            };
        });
        cr_assert(fixture.awaitReady());
        for (int search = 0; search < 20 && serving.relayed.empty(); ++search) {
            cr_assert_eq(fixture.ask(asked, "/search/1", {{Header, "9000000"}}).status, 200);
        }
        cr_assert_not(serving.relayed.empty());
        cr_assert(asked.node.metrics().find("crankrudder_owner_reports_total 0") == std::string::npos, "the load of the serving gateway is taken in");
        const auto *told = Wire::findHeader(serving.relayed.front().headers, Header);
        cr_assert_eq(told != nullptr && Gateway::parseRate(*told).value() < 100.0, std::string(zone) == "beside", "%s", zone);
        for (const auto &backend : fixture.backends) {
            for (const auto &request : backend->requests) {
                cr_assert(Wire::findHeader(request.headers, Header) == nullptr);
            }
        }
    }
}
