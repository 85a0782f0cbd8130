/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: servers that are warming up after a start serve only a few requests per
// second and fail beyond that, while up to 300 gateways, which do not coordinate, serve
// searches that send to each of them. However the limit is shared, the gateways together
// never exceed it.

#include <LibGateway/CellOwnership.h>
#include <LibGateway/WarmupLimiter.h>

#include <criterion/criterion.h>
#include <random>

using Gateway::computeWarmupShare;
using Gateway::WarmupLimiter;

namespace
{

Core::Instant at(double seconds)
{
    return Core::Instant() + Core::milliseconds(static_cast<int>(seconds * 1000.0));
}

Protocol::BackendAnnouncement gateway(int number, const std::string &zone)
{
    Protocol::BackendAnnouncement made;
    made.id = "gateway-" + std::to_string(number);
    made.address = "10.0.0." + std::to_string(number) + ":1";
    made.zone = zone;
    made.phase = Protocol::BackendPhase::READY;
    made.sequence = 1;
    return made;
}

}

Test(WarmupLimiter, sharesEquallyWhenEachGatewayGetsAtLeastOne)
{
    cr_assert_eq(computeWarmupShare({.total = 40, .gateways = 9, .inZone = 3, .rank = 2}), 2);
    cr_assert_eq(computeWarmupShare({.total = 40, .gateways = 9, .inZone = 3, .rank = std::nullopt}), 2);
    cr_assert_eq(computeWarmupShare({.total = 16, .gateways = 9, .inZone = 3, .rank = 2}), 2);
    cr_assert_eq(computeWarmupShare({.total = 16, .gateways = 9, .inZone = 3, .rank = std::nullopt}), 0);
    cr_assert_eq(computeWarmupShare({.total = 11, .gateways = 65, .inZone = 11, .rank = 4}), 1);
    cr_assert_eq(computeWarmupShare({.total = 11, .gateways = 65, .inZone = 11, .rank = 5}), 0);
    cr_assert_eq(computeWarmupShare({.total = 0, .gateways = 65, .inZone = 11, .rank = 0}), 0);
}

Test(WarmupLimiter, limitAppliesToAnySecond)
{
    WarmupLimiter limiter({.overshoot = 1.5, .slack = 5.0});
    cr_assert_eq(limiter.total(4.0), 11);
    const Gateway::BackendName backend("one");
    for (const double time : {0.0, 0.4, 0.9}) {
        cr_assert(limiter.isWithin(backend, 3, at(time)));
        limiter.recordSend(backend, at(time));
    }
    cr_assert_not(limiter.isWithin(backend, 3, at(0.95)));
    cr_assert_not(limiter.isWithin(backend, 3, at(1.0)), "the first send is exactly a second old and still counts");
    cr_assert(limiter.isWithin(backend, 3, at(1.1)));
    limiter.removeExpired(at(1.95));
    cr_assert(limiter.isWithin(backend, 1, at(1.95)));
    cr_assert_not(limiter.isWithin(backend, 0, at(1.95)));
}

// All gateways know the same gateways here. They differ in the gateway count that they use, which is the highest of the recent past.
Test(WarmupLimiter, sharesNeverExceedTheTotal)
{
    std::mt19937 random(7);
    const std::vector<std::string> zones{"a", "b", "c"};
    const Fleet::RegionOfZone regions{{"a", "one"}, {"b", "two"}, {"c", "three"}};
    for (int round = 0; round < 60; ++round) {
        const int count = 1 + static_cast<int>(random() % 80);
        const int total = static_cast<int>(random() % 40);
        Fleet::BackendRegistry registry;
        for (int number = 0; number < count; ++number) {
            registry.merge(gateway(number, zones[random() % zones.size()]), at(0.0));
        }
        const Core::ServiceName service("shard-" + std::to_string(random() % 90));
        const auto &serverZone = zones[random() % zones.size()];
        int sum = 0;
        for (const auto *own : registry.ready()) {
            Gateway::CellOwnership ownership({}, own->zone, regions, own->address, at(0.0));
            Fleet::Declaration declaration;
            declaration.routes.emplace_back();
            declaration.routes.back().shards.assign(90, service);
            ownership.applyDeclaration(declaration);
            ownership.updateGateways(registry, at(0.0));
            // Some gateways remember more gateways than there are now, which makes their share smaller.
            const int known = count + static_cast<int>(random() % 3);
            ownership.advance({.gateways = known, .mayOwn = random() % 5 != 0}, Core::seconds(1), at(1.0));
            sum += ownership.warmupShareOf(service, serverZone, total, at(1.0 + static_cast<double>(random() % 6)));
        }
        cr_assert_leq(sum, total, "%d gateways share %d", count, total);
    }
}

// Guards against mixed sharing rules: a gateway that counts one gateway more than the others may find an equal share of less than one request, and share by
// rank while the others take equal shares.
Test(WarmupLimiter, sharesNeverExceedTheTotalWhenGatewayCountsDiffer)
{
    for (int total = 1; total <= 60; ++total) {
        for (int gateways = 1; gateways <= 30; ++gateways) {
            const int inZone = (gateways + 2) / 3;
            int sum = 0;
            for (int number = 0; number < gateways; ++number) {
                const bool isInZone = number < inZone;
                const int known = gateways + (isInZone ? 1 : 0);
                const auto rank = isInZone ? std::optional(number) : std::nullopt;
                sum += computeWarmupShare({.total = total, .gateways = known, .inZone = inZone, .rank = rank});
            }
            cr_assert_leq(sum, total, "%d gateways share %d", gateways, total);
        }
    }
}

// A gateway that has not received a change of gateways may still use its former share, so for a while no gateway uses a new share by rank.
Test(WarmupLimiter, noSharesByRankWhileGatewaysChange)
{
    Fleet::BackendRegistry registry;
    for (int number = 0; number < 40; ++number) {
        registry.merge(gateway(number, "a"), at(0.0));
    }
    const auto shareAt = [](const Gateway::CellOwnership &ownership, double time) {
        return ownership.warmupShareOf(Core::ServiceName("s"), "a", 78, at(time));
    };
    Gateway::CellOwnership ownership({}, "a", {{"a", "one"}}, "10.0.0.1:1", at(0.0));
    ownership.updateGateways(registry, at(0.0));
    ownership.advance({.gateways = 40, .mayOwn = true}, Core::seconds(1), at(0.0));
    const int settled = shareAt(ownership, 3.0);
    cr_assert_eq(shareAt(ownership, 2.9), 0);
    registry.merge(gateway(40, "a"), at(5.0));
    ownership.updateGateways(registry, at(5.0));
    cr_assert_eq(shareAt(ownership, 7.9), 0);
    cr_assert_geq(settled, 0);
    ownership.advance({.gateways = 41, .mayOwn = false}, Core::seconds(1), at(9.0));
    cr_assert_eq(shareAt(ownership, 20.0), 0, "a gateway without a reachable coordinator has no share");
}
