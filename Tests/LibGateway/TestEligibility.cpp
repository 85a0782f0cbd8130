/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Where a request may be served: in the regions that its route allows, in no
// evacuated zone, and in no earlier life of a backend server.

#include <LibRpc/Serialization.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>
#include <random>

using Fleet::AllowedRegions;
using TestSupport::GatewayFixture;
using TestSupport::successResponse;

namespace
{

void silent(const Wire::Request &, const Wire::ExchangePointer &)
{
}

TestSupport::ScriptedBackend::Script answering(const std::string &name)
{
    return [name](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        exchange->respond(successResponse(request, "signature-" + name, std::string(16, 'r')));
    };
}

/** A service with a backend server here and one in another region. */
class PlacesFixture : public GatewayFixture
{
public:
    PlacesFixture()
    {
        this->route().idempotent = true;
        this->route().maximumAttempts = 2;
        this->route().targetLatency = Core::milliseconds(100);
        this->route().targets = {{.service = Core::ServiceName("s"), .weight = 1.0}};
    }

    [[nodiscard]] static AllowedRegions only(const char *region)
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

Test(Eligibility, aRouteIsServedInItsRegionsOnly)
{
    PlacesFixture fixture;
    fixture.route().allowedRegions = PlacesFixture::only("away");
    const auto &near = fixture.add("s", "near", answering("near"));
    const auto &far = fixture.addTo(fixture.pool, "s", "far", answering("far"), "there");
    cr_assert_eq(fixture.ask("r1").status, 200);
    cr_assert(near.requests.empty() && far.requests.size() == 1);
}

Test(Eligibility, isRefusedAtOnceWhereNoAllowedRegionCanServe)
{
    PlacesFixture fixture;
    fixture.route().allowedRegions = PlacesFixture::only("far away");
    const auto &near = fixture.add("s", "near", answering("near"));
    const auto &unplaced = fixture.addTo(fixture.pool, "s", "unplaced", answering("unplaced"), "a zone that the settings don't name");
    const auto response = fixture.ask("r1");
    cr_assert_eq(response.status, 503);
    cr_assert_not_null(Wire::findHeader(response.headers, "Retry-After"));
    cr_assert(near.requests.empty() && unplaced.requests.empty());
    cr_assert(fixture.summary->took < Core::milliseconds(50), "it is known at once");
}

Test(Eligibility, hedgesAndRepeatsStayInTheAllowedRegions)
{
    PlacesFixture fixture;
    fixture.route().allowedRegions = PlacesFixture::only("home");
    fixture.route().timeout = Core::milliseconds(300);
    const auto &one = fixture.add("s", "one", silent);
    const auto &far = fixture.addTo(fixture.pool, "s", "far", answering("far"), "there");
    cr_assert_eq(fixture.ask("r1").status, 504);
    cr_assert(one.requests.size() == 1 && far.requests.empty());
}

// A hedge that goes out after a newer declaration has come into force keeps to that one as well.
Test(Eligibility, aRequestUnderWayKeepsToWhatANewerDeclarationAllows)
{
    PlacesFixture fixture;
    fixture.route().host = "h";
    fixture.route().pathPrefix = "/x/";
    fixture.route().timeout = Core::milliseconds(300);
    const auto &one = fixture.add("s", "one", silent);
    const auto &far = fixture.addTo(fixture.pool, "s", "far", answering("far"), "there");
    fixture.begin("r1");
    auto newer = std::make_shared<Fleet::Declaration>(*fixture.declaration);
    newer->routes.front().allowedRegions = PlacesFixture::only("home");
    fixture.request->restrictTo(Fleet::RouteTable(newer));
    cr_assert(fixture.runUntil([&] {
        return fixture.answer.has_value();
    }));
    cr_assert(one.requests.size() == 1 && far.requests.empty());
}

Test(Eligibility, anEvacuatedZoneGetsNothingAndServesAgainAfterwards)
{
    PlacesFixture fixture;
    const auto &near = fixture.add("s", "near", answering("near"));
    const auto &far = fixture.addTo(fixture.pool, "s", "far", answering("far"), "there");
    fixture.pool.setEvacuatedZones({"here"});
    cr_assert_eq(fixture.ask("r1").status, 200);
    cr_assert(near.requests.empty() && far.requests.size() == 1);
    fixture.pool.setEvacuatedZones({"here", "there"});
    cr_assert_eq(fixture.ask("r2").status, 503);
    fixture.pool.setEvacuatedZones({});
    cr_assert_eq(fixture.ask("r3").status, 200);
    cr_assert_eq(near.requests.size(), 1);
}

Test(Eligibility, aSendThatIsNotAllowedNeverLeaves)
{
    PlacesFixture fixture;
    const auto &near = fixture.add("s", "near", answering("near"));
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
    cr_assert(end == Gateway::AttemptEnd::NotSent && near.requests.empty());
}

Test(Eligibility, oneThatStartedAgainUnderItsNameBeginsAnew)
{
    PlacesFixture fixture;
    auto &former = fixture.add("s", "unused", silent);
    auto &later = fixture.add("s", "unused too", answering("later"));
    fixture.pool.setEvacuatedZones({"here"});
    Fleet::BackendRecord gone;
    for (const char *unused : {"unused", "unused too"}) {
        gone.announcement.id = unused;
        gone.announcement.phase = Protocol::BackendPhase::GONE;
        fixture.pool.update(gone);
    }
    fixture.pool.setEvacuatedZones({});
    fixture.pool.update(recordOf(former, 1000));
    fixture.begin("r1");
    cr_assert(fixture.runUntil([&] {
        return former.requests.size() == 1;
    }));
    // Its first life leaves, and the second one comes at another address while a request waits for the first.
    auto leaving = recordOf(former, 1000);
    leaving.announcement.phase = Protocol::BackendPhase::GONE;
    fixture.pool.update(leaving);
    fixture.pool.update(recordOf(later, 2000));
    cr_assert(fixture.pool.hasReady(Core::ServiceName("s")));
    fixture.begin("r2");
    cr_assert(fixture.runUntil([&] {
        return fixture.answer.has_value();
    }));
    cr_assert_eq(fixture.answer->status, 200);
    cr_assert_eq(later.requests.size(), 1);
    // What comes late of the first life changes nothing.
    fixture.pool.update(leaving);
    cr_assert_eq(fixture.ask("r3").status, 200);
}

Test(Eligibility, termsOfAPartCarryTheAllowedRegions)
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

Test(Eligibility, aGatewayKeepsToWhatTheAskingOneAllows)
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
    const auto &far = fixture.addTo(fixture.pool, "b", "b1", answering("b"), "there");
    const auto part = Rpc::deserialize<Protocol::PartialAnswer>(fixture.ask("r1").body);
    cr_assert(part.has_value() && part->signatures.size() == 1 && part->missing.size() == 1);
    cr_assert(far.requests.empty());
}

// Random deployments and declarations: no plan brings a shard to a zone out of the allowed regions, whatever is evacuated.
Test(Eligibility, noPlanLeavesTheAllowedRegions)
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
            cr_assert(allowed.contains(view.regions.at(part.zone)), "a part goes to %s", part.zone.c_str());
            cr_assert_neq(part.zone, evacuated);
        }
        const std::vector<Gateway::BackendName> none;
        for (const auto &shard : plan.direct) {
            const auto *chosen = fixture.pool.choose({.service = shard, .tried = none, .allowedRegions = view.allowedRegions, .within = std::nullopt});
            const auto &places = zonesOf[shard.value()];
            const bool canBeAsked = std::any_of(places.begin(), places.end(), [&](const std::string &zone) {
                return zone != evacuated && allowed.contains(view.regions.at(zone));
            });
            cr_assert_eq(chosen != nullptr, canBeAsked);
            cr_assert(chosen == nullptr || (allowed.contains(chosen->region) && chosen->zone != evacuated));
        }
    }
}
