/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which backend servers may serve a request: only those in regions that the route
// allows, in zones that are not evacuated, and in their current incarnation.

#include <LibRpc/Serialization.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>
#include <random>

using Fleet::AllowedRegions;
using TestSupport::GatewayFixture;
using TestSupport::successResponse;

namespace
{

void neverAnswering(const Wire::Request &, const Wire::ExchangePointer &)
{
}

TestSupport::ScriptedBackend::Script answering(const std::string &name)
{
    return [name](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        exchange->respond(successResponse(request, "signature-" + name, std::string(16, 'r')));
    };
}

/** A fixture with one idempotent route to the service `s`, whose backend servers a test places in zones. */
class EligibilityFixture : public GatewayFixture
{
public:
    EligibilityFixture()
    {
        this->route().idempotent = true;
        this->route().maximumAttempts = 2;
        this->route().targetLatency = Core::milliseconds(100);
        this->route().targets = {{.service = Core::ServiceName("s"), .weight = 1.0}};
    }

    [[nodiscard]] static AllowedRegions onlyRegion(const char *region)
    {
        return AllowedRegions::only({region});
    }
};

Fleet::BackendRecord recordOf(const TestSupport::ScriptedBackend &backend, std::int64_t born)
{
    Fleet::BackendRecord record;
    record.announcement.id = "one";
    record.announcement.serviceName = "s";
    record.announcement.address = backend.endpoint.toString();
    record.announcement.zone = "here";
    record.announcement.slots = 2;
    record.announcement.phase = Protocol::BackendPhase::READY;
    record.announcement.born = born;
    return record;
}

}

Test(Eligibility, aRouteIsServedOnlyInItsAllowedRegions)
{
    EligibilityFixture fixture;
    fixture.route().allowedRegions = EligibilityFixture::onlyRegion("away");
    const auto &sameRegionBackend = fixture.add("s", "near", answering("near"));
    const auto &otherRegionBackend = fixture.addTo(fixture.pool, "s", "far", answering("far"), "there");
    cr_assert_eq(fixture.ask("r1").status, 200);
    cr_assert(sameRegionBackend.requests.empty() && otherRegionBackend.requests.size() == 1);
}

Test(Eligibility, aRequestIsRefusedImmediatelyWhenNoAllowedRegionHasABackend)
{
    EligibilityFixture fixture;
    fixture.route().allowedRegions = EligibilityFixture::onlyRegion("far away");
    const auto &sameRegionBackend = fixture.add("s", "near", answering("near"));
    const auto &unknownZoneBackend = fixture.addTo(fixture.pool, "s", "unplaced", answering("unplaced"), "a zone that the settings don't name");
    const auto response = fixture.ask("r1");
    cr_assert_eq(response.status, 503);
    cr_assert_not_null(Wire::findHeader(response.headers, "Retry-After"));
    cr_assert(sameRegionBackend.requests.empty() && unknownZoneBackend.requests.empty());
    cr_assert(fixture.summary->took < Core::milliseconds(50), "the refusal took as long as a timeout");
}

Test(Eligibility, hedgesAndRetriesStayInTheAllowedRegions)
{
    EligibilityFixture fixture;
    fixture.route().allowedRegions = EligibilityFixture::onlyRegion("home");
    fixture.route().timeout = Core::milliseconds(300);
    const auto &silentBackend = fixture.add("s", "one", neverAnswering);
    const auto &otherRegionBackend = fixture.addTo(fixture.pool, "s", "far", answering("far"), "there");
    cr_assert_eq(fixture.ask("r1").status, 504);
    cr_assert(silentBackend.requests.size() == 1 && otherRegionBackend.requests.empty());
}

// Guards against a hedge to a region that a newer declaration has excluded while the request was in flight.
Test(Eligibility, aRequestInFlightObeysTheRegionsOfANewerDeclaration)
{
    EligibilityFixture fixture;
    fixture.route().host = "h";
    fixture.route().pathPrefix = "/x/";
    fixture.route().timeout = Core::milliseconds(300);
    const auto &silentBackend = fixture.add("s", "one", neverAnswering);
    const auto &otherRegionBackend = fixture.addTo(fixture.pool, "s", "far", answering("far"), "there");
    fixture.begin("r1");
    auto newer = std::make_shared<Fleet::Declaration>(*fixture.declaration);
    newer->routes.front().allowedRegions = EligibilityFixture::onlyRegion("home");
    fixture.request->restrictTo(Fleet::RouteTable(newer));
    cr_assert(fixture.runUntil([&] {
        return fixture.answer.has_value();
    }));
    cr_assert(silentBackend.requests.size() == 1 && otherRegionBackend.requests.empty());
}

Test(Eligibility, anEvacuatedZoneReceivesNoRequestsUntilTheEvacuationEnds)
{
    EligibilityFixture fixture;
    const auto &sameRegionBackend = fixture.add("s", "near", answering("near"));
    const auto &otherRegionBackend = fixture.addTo(fixture.pool, "s", "far", answering("far"), "there");
    fixture.pool.setEvacuatedZones({"here"});
    cr_assert_eq(fixture.ask("r1").status, 200);
    cr_assert(sameRegionBackend.requests.empty() && otherRegionBackend.requests.size() == 1);
    fixture.pool.setEvacuatedZones({"here", "there"});
    cr_assert_eq(fixture.ask("r2").status, 503);
    fixture.pool.setEvacuatedZones({});
    cr_assert_eq(fixture.ask("r3").status, 200);
    cr_assert_eq(sameRegionBackend.requests.size(), 1);
}

Test(Eligibility, aSendIsNotSentWhenTheZoneWasEvacuatedAfterTheChoice)
{
    EligibilityFixture fixture;
    const auto &sameRegionBackend = fixture.add("s", "near", answering("near"));
    const Core::ServiceName service("s");
    const AllowedRegions anywhere;
    auto *chosen = fixture.pool.choose({.service = service, .tried = {}, .allowedRegions = anywhere, .within = std::nullopt});
    cr_assert_not_null(chosen);
    fixture.pool.setEvacuatedZones({"here"});
    const Gateway::CallerRequest caller{.id = Core::RequestId("r1"), .host = "h", .callerTimeout = {}, .message = {.method = "GET", .target = "/x/1"}};
    std::optional<Gateway::AttemptEnd> end;
    fixture.pool.send(*chosen, {.caller = &caller, .done = [&end](const auto &outcome) {
                                    end = outcome.end;
                                }});
    cr_assert(fixture.runUntil([&end] {
        return end.has_value();
    }));
    cr_assert(end == Gateway::AttemptEnd::NotSent && sameRegionBackend.requests.empty());
}

Test(Eligibility, aBackendRestartedUnderTheSameNameIsUsedDespiteThePreviousDeparture)
{
    EligibilityFixture fixture;
    auto &firstIncarnation = fixture.add("s", "unused", neverAnswering);
    auto &secondIncarnation = fixture.add("s", "unused too", answering("later"));
    fixture.pool.setEvacuatedZones({"here"});
    Fleet::BackendRecord gone;
    for (const char *unused : {"unused", "unused too"}) {
        gone.announcement.id = unused;
        gone.announcement.phase = Protocol::BackendPhase::GONE;
        fixture.pool.update(gone);
    }
    fixture.pool.setEvacuatedZones({});
    fixture.pool.update(recordOf(firstIncarnation, 1000));
    fixture.begin("r1");
    cr_assert(fixture.runUntil([&] {
        return firstIncarnation.requests.size() == 1;
    }));
    // The first incarnation departs, and the second one is announced at another address while a request waits for the first.
    auto departure = recordOf(firstIncarnation, 1000);
    departure.announcement.phase = Protocol::BackendPhase::GONE;
    fixture.pool.update(departure);
    fixture.pool.update(recordOf(secondIncarnation, 2000));
    cr_assert(fixture.pool.hasReady(Core::ServiceName("s")));
    fixture.begin("r2");
    cr_assert(fixture.runUntil([&] {
        return fixture.answer.has_value();
    }));
    cr_assert_eq(fixture.answer->status, 200);
    cr_assert_eq(secondIncarnation.requests.size(), 1);
    // A late announcement of the first incarnation's departure must not affect the second one.
    fixture.pool.update(departure);
    cr_assert_eq(fixture.ask("r3").status, 200);
}

Test(Eligibility, parametersOfAPartCarryTheAllowedRegions)
{
    Wire::Headers headers;
    Gateway::RelayParameters parameters{.shards = {Core::ServiceName("a")}};
    parameters.allowedRegions = AllowedRegions::only({"bern", "zurich"});
    Gateway::addRelayParameters(headers, parameters);
    auto read = Gateway::extractRelayParameters(headers);
    cr_assert(read.has_value() && read->allowedRegions.names() == parameters.allowedRegions.names());
    cr_assert(headers.empty());
    parameters.allowedRegions = AllowedRegions();
    Gateway::addRelayParameters(headers, parameters);
    read = Gateway::extractRelayParameters(headers);
    cr_assert(read.has_value() && read->allowedRegions.isAnywhere());
}

Test(Eligibility, aServingGatewayStaysInTheRegionsThatTheRequestingGatewayAllows)
{
    GatewayFixture fixture;
    fixture.route().idempotent = true;
    fixture.route().maximumAttempts = 2;
    fixture.route().targetLatency = Core::milliseconds(200);
    fixture.route().topRecords = 10;
    fixture.route().shards = {Core::ServiceName("a"), Core::ServiceName("b")};
    fixture.route().minimumCoverage = 0.5;
    fixture.relayParameters = Gateway::RelayParameters{
        .timeLeftToTarget = Core::milliseconds(100), .timeLeftToDeadline = Core::milliseconds(400), .maximumMissing = 1, .shards = {}};
    fixture.relayParameters->allowedRegions = AllowedRegions::only({"home"});
    fixture.add("a", "a1", answering("a"));
    const auto &otherRegionBackend = fixture.addTo(fixture.pool, "b", "b1", answering("b"), "there");
    const auto part = Rpc::deserialize<Protocol::PartialAnswer>(fixture.ask("r1").body);
    cr_assert(part.has_value() && part->signatures.size() == 1 && part->missing.size() == 1);
    cr_assert(otherRegionBackend.requests.empty());
}

// Plans searches over random deployments, allowed regions and an evacuated zone. No part and no direct send may go to a zone outside the allowed regions or to
// the evacuated zone.
Test(Eligibility, noRelayPlanLeavesTheAllowedRegions)
{
    std::mt19937 random(11);
    const std::vector<std::string> zones{"here", "beside", "there", "yonder"};
    const std::vector<std::string> regions{"home", "away", "far away"};
    for (int round = 0; round < 40; ++round) {
        GatewayFixture fixture;
        std::vector<Core::ServiceName> shards;
        std::map<std::string, std::set<std::string>> zonesOf;
        for (int number = 0; number < 12; ++number) {
            shards.emplace_back("shard-" + std::to_string(number));
            for (const auto &zone : zones) {
                if (random() % 2 == 0) {
                    GatewayFixture::announce(
                        fixture.pool, shards.back().value(), shards.back().value() + zone, Core::Endpoint{.address = "127.0.0.1", .port = 9}, zone);
                    zonesOf[shards.back().value()].insert(zone);
                }
            }
        }
        for (const auto &zone : zones) {
            GatewayFixture::announce(
                fixture.relays, Gateway::relayService(zone).value(), "gateway-" + zone, Core::Endpoint{.address = "127.0.0.1", .port = 9}, zone);
        }
        std::set<std::string> allowed;
        for (const auto &region : regions) {
            if (random() % 2 == 0) {
                allowed.insert(region);
            }
        }
        const std::string &evacuated = zones[random() % zones.size()];
        fixture.pool.setEvacuatedZones({evacuated});
        const Gateway::RelayView view{.pool = fixture.pool,
            .relays = fixture.relays,
            .ownZone = "here",
            .regions = GatewayFixture::poolOptions(0.0).regions,
            .typicalLatency = Core::milliseconds(20),
            .cells = fixture.cells,
            .shardsInSearch = shards.size(),
            .allowedRegions = AllowedRegions::only(allowed)};
        const auto plan = Gateway::planRelay(shards, view, {});
        for (const auto &part : plan.parts) {
            cr_assert(allowed.contains(view.regions.at(part.zone)), "a part is planned for zone %s outside the allowed regions", part.zone.c_str());
            cr_assert_neq(part.zone, evacuated);
        }
        const std::vector<Gateway::BackendName> none;
        for (const auto &shard : plan.direct) {
            const auto *chosen = fixture.pool.choose({.service = shard, .tried = none, .allowedRegions = view.allowedRegions, .within = std::nullopt});
            const auto &zonesOfShard = zonesOf[shard.value()];
            const bool hasEligibleBackend = std::any_of(zonesOfShard.begin(), zonesOfShard.end(), [&](const std::string &zone) {
                return zone != evacuated && allowed.contains(view.regions.at(zone));
            });
            cr_assert_eq(chosen != nullptr, hasEligibleBackend);
            cr_assert(chosen == nullptr || (allowed.contains(chosen->region) && chosen->zone != evacuated));
        }
    }
}
