/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: two owners of a cell, each preferred by the gateways of one zone. The demand of the
// zones swings by half with a period of 17 s, out of phase, so that one owner is at its limit
// while the other is idle. Gateways see the effect of their decisions half a second later.

#include <LibGateway/Scheduling/OwnerLoad.h>
#include <Support/GatewayFixture.h>
#include <Support/NodeFixture.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <deque>
#include <numbers>

using Gateway::BackendName;
using Gateway::OwnerLoad;

namespace
{

const Core::Instant start{Core::seconds(100)};
const BackendName first("first");
const BackendName second("second");

Core::Instant after(int milliseconds)
{
    return start + Core::milliseconds(milliseconds);
}

BackendName arrangedFirst(OwnerLoad &loads, std::vector<BackendName> owners, Core::Instant now)
{
    (void)loads.arrange(owners, now);
    return owners.front();
}

/** Sends a part every 50 ms while both owners report each 100 ms. Returns the share of the parts that the first owner got in the last half of the time. */
double shareOfFirst(OwnerLoad &loads, const std::string &loadOfFirst, const std::string &loadOfSecond, int from = 0)
{
    constexpr int All = 20'000;
    int parts = 0;
    int toFirst = 0;
    for (int passed = 0; passed < All; passed += 50) {
        const auto now = after(from + passed);
        if (passed % 100 == 0) {
            loads.receive(first, loadOfFirst, Core::Duration(0), now);
            loads.receive(second, loadOfSecond, Core::Duration(0), now);
        }
        const bool isFirst = arrangedFirst(loads, {first, second}, now) == first;
        parts += 2 * passed >= All ? 1 : 0;
        toFirst += 2 * passed >= All && isFirst ? 1 : 0;
    }
    return static_cast<double>(toFirst) / parts;
}

/** An owner on a fraction of a core that processes parts one after the other. */
struct ModelOwner {
    Gateway::LoopLoad load{start};
    // Work that has arrived and was not done yet, and time spent waiting so far; in milliseconds.
    double backlog{0.0};
    double waited{0.0};

    void advance(Core::Instant now)
    {
        this->waited += std::max(0.0, 1.0 - this->backlog);
        this->backlog = std::max(0.0, this->backlog - 1.0);
        if (now.sinceStart() % Gateway::LoadSamplePeriod == Core::Duration(0)) {
            this->load.sample(Core::Duration(std::llround(this->waited * 1000.0)), now);
        }
    }
};

/** The gateways of one zone, which send their parts to one owner rather than the other. */
struct ModelZone {
    std::vector<OwnerLoad> gateways;
    std::size_t preferred{0};
    double phase{0.0};
    double due{0.0};
    std::size_t turn{0};
};

struct ModelAnswer {
    Core::Instant arrivesAt;
    OwnerLoad *gateway;
    std::size_t owner;
    std::string load;
};

/** Result of the model. */
struct Swing {
    int highestBusy{0};
    // Largest amount by which an owner that is passed over was less busy than the other one.
    double overshoot{0.0};
    // Changes of direction of the share of one gateway, by more than NoticeableShare, in one period of demand.
    double turnsPerPeriod{0.0};
};

constexpr double Period = 17.0;
constexpr double NoticeableShare = 0.03;
constexpr double PartMilliseconds = 11.0;
constexpr double PartsPerSecond = 54.0;

Swing runSwing(bool diverts)
{
    std::array<ModelOwner, 2> owners;
    std::array<ModelZone, 2> zones;
    const std::array names{first, second};
    std::deque<ModelAnswer> answers;
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        zones[zone].gateways.resize(5);
        zones[zone].preferred = zone;
        zones[zone].phase = std::numbers::pi * static_cast<double>(zone);
    }
    Swing swing;
    double extreme = 0.0;
    bool rises = true;
    int turns = 0;
    constexpr int Periods = 4;
    for (int passed = 1; passed <= static_cast<int>(Periods * Period * 1000.0); ++passed) {
        const auto now = after(passed);
        for (auto &zone : zones) {
            const double swung = 1.0 + 0.55 * std::sin(2.0 * std::numbers::pi * passed / (Period * 1000.0) + zone.phase);
            zone.due += PartsPerSecond * swung / 1000.0;
            while (zone.due >= 1.0) {
                zone.due -= 1.0;
                auto &gateway = zone.gateways[zone.turn++ % zone.gateways.size()];
                std::vector<BackendName> order{names[zone.preferred], names[1 - zone.preferred]};
                if (diverts) {
                    (void)gateway.arrange(order, now);
                }
                const std::size_t chosen = order.front() == first ? 0 : 1;
                owners[chosen].backlog += PartMilliseconds;
                const auto load = Gateway::formatLoad(owners[chosen].load.report());
                answers.push_back({.arrivesAt = now + Core::milliseconds(60), .gateway = &gateway, .owner = chosen, .load = load});
            }
        }
        for (auto &owner : owners) {
            owner.advance(now);
        }
        while (!answers.empty() && answers.front().arrivesAt <= now) {
            auto &answer = answers.front();
            answer.gateway->receive(names[answer.owner], answer.load, Core::milliseconds(60), now);
            answers.pop_front();
        }
        if (passed < static_cast<int>(Period * 1000.0)) {
            continue;
        }
        const std::array reports{owners[0].load.report(), owners[1].load.report()};
        swing.highestBusy = std::max({swing.highestBusy, reports[0].busyPercent, reports[1].busyPercent});
        for (const auto &zone : zones) {
            const double diverted = zone.gateways.front().divertedShareOf(names[zone.preferred]);
            const double lead = reports[1 - zone.preferred].pressure() - reports[zone.preferred].pressure();
            swing.overshoot = diverted > 0.1 ? std::max(swing.overshoot, lead) : swing.overshoot;
        }
        const double share = zones[0].gateways.front().divertedShareOf(first);
        const bool isTurned = std::abs(share - extreme) > NoticeableShare && (share > extreme) != rises;
        turns += isTurned ? 1 : 0;
        rises = isTurned ? !rises : rises;
        extreme = isTurned || (share > extreme) == rises ? share : extreme;
    }
    swing.turnsPerPeriod = static_cast<double>(turns) / (Periods - 1);
    return swing;
}

}

// Guards against gateways that all leave a busy owner and all return to it: the owners would be busier than without any choice, in turn.
Test(OwnerLoad, sharesFollowDemandWithoutOvershoot)
{
    const auto fixed = runSwing(false);
    const auto diverted = runSwing(true);
    cr_assert_gt(fixed.highestBusy, 90, "%d", fixed.highestBusy);
    cr_assert_lt(diverted.highestBusy, 80, "%d", diverted.highestBusy);
    cr_assert_lt(diverted.overshoot, 0.05, "%f", diverted.overshoot);
    cr_assert_leq(diverted.turnsPerPeriod, 2.0, "%f", diverted.turnsPerPeriod);
}

// Guards against a single report that moves all parts, and against a false report that takes all of them from an owner.
Test(OwnerLoad, aFalseReportMovesABoundedShareOverTime)
{
    OwnerLoad loads;
    loads.receive(first, "100,60000", Core::Duration(0), start);
    loads.receive(second, "0,0", Core::Duration(0), start);
    cr_assert_eq(arrangedFirst(loads, {first, second}, start), first);
    cr_assert_leq(loads.divertedShareOf(first), 0.1);
    const double share = shareOfFirst(loads, "100,60000", "0,0");
    cr_assert_float_eq(share, 0.25, 0.02, "%f", share);
    cr_assert_eq(shareOfFirst(loads, "10,0", "0,0", 20'000), 1.0, "it returns once it is idle, however idle the other one is");
    for (const char *invalid : {"", "50", "101,0", "-1,0", "50,-1", "fifty,0", "50,0,0", "50,60001"}) {
        loads.receive(second, invalid, Core::Duration(0), start);
    }
    cr_assert_eq(loads.counters().ignored, 8);
}

// Guards against an owner that loses its parts, with its connections, for a difference that callers don't notice.
Test(OwnerLoad, anOwnerIsPassedOverOnlyIfItIsBusyAndByAMargin)
{
    struct Case {
        const char *loadOfFirst;
        const char *loadOfSecond;
        bool isPassedOver;
    };
    const std::vector<Case> cases{{"45,0", "0,0", false}, {"70,0", "60,0", false}, {"70,0", "40,0", true}, {"20,60", "20,0", true}, {"90,0", "95,0", false}};
    for (const auto &item : cases) {
        OwnerLoad loads;
        const double share = shareOfFirst(loads, item.loadOfFirst, item.loadOfSecond);
        cr_assert_eq(share < 1.0, item.isPassedOver, "%s, %s: %f", item.loadOfFirst, item.loadOfSecond, share);
    }
}

// Guards against decisions by the report of a gateway that was frozen or cut off since, and against a report that waited for a frozen receiver.
Test(OwnerLoad, anOldReportCountsAsUnknown)
{
    OwnerLoad loads;
    (void)shareOfFirst(loads, "90,0", "0,0");
    cr_assert_gt(loads.divertedShareOf(first), 0.5);
    loads.receive(second, "0,0", Core::Duration(0), after(23'000));
    for (int part = 0; part < 20; ++part) {
        cr_assert_eq(arrangedFirst(loads, {first, second}, after(23'000)), first, "the load of the preferred one is unknown");
    }
    loads.receive(first, "90,0", Core::Duration(0), after(26'000));
    cr_assert_eq(arrangedFirst(loads, {first, second}, after(26'000)), second, "one part to learn the other's load");
    for (int part = 0; part < 20; ++part) {
        cr_assert_eq(arrangedFirst(loads, {first, second}, after(26'000)), first, "the other's load is unknown");
    }
    loads.receive(second, "0,0", Core::milliseconds(2001), after(26'000));
    cr_assert_not(loads.loadOf(second, after(26'000)).has_value());
    loads.forget(after(90'000));
    cr_assert_eq(loads.ownerCount(), 0);
}

// Guards against an owner of an older build that gets parts for want of a report, or is asked with every part.
Test(OwnerLoad, anOwnerThatNeverReportsIsSeldomProbed)
{
    OwnerLoad loads;
    int toSecond = 0;
    for (int passed = 0; passed < 60'000; passed += 100) {
        loads.receive(first, "90,0", Core::Duration(0), after(passed));
        toSecond += arrangedFirst(loads, {first, second}, after(passed)) == second ? 1 : 0;
    }
    cr_assert_eq(toSecond, 6);
    OwnerLoad unknown;
    unknown.receive(second, "0,0", Core::Duration(0), start);
    cr_assert_eq(arrangedFirst(unknown, {first, second}, start), first);
}

// Guards against parts for owners that have stopped, and against the share of a former incarnation: owners are stopped in turn during a burst.
Test(OwnerLoad, ownersThatStopOrReturnGetNoSharesOfOthers)
{
    OwnerLoad loads;
    (void)shareOfFirst(loads, "95,20", "10,0");
    const auto now = after(20'000);
    const BackendName third("third");
    const BackendName firstAgain("first again");
    for (const auto &owners : std::vector<std::vector<BackendName>>{{second}, {second, third}, {third, second}, {firstAgain, second}, {firstAgain, third}}) {
        for (int part = 0; part < 10; ++part) {
            auto arranged = owners;
            (void)loads.arrange(arranged, now);
            cr_assert(std::is_permutation(arranged.begin(), arranged.end(), owners.begin(), owners.end()));
            cr_assert_eq(arranged.front(), owners.front());
        }
    }
    cr_assert_eq(loads.divertedShareOf(firstAgain), 0.0);
}

// Guards against a load that leaves out throttled time or late timers, or that lasts for long after a stop.
Test(LoopLoad, isMeasuredByWaitsAndByTimers)
{
    Gateway::LoopLoad load(start);
    Core::Duration waited{0};
    auto now = start;
    const auto sample = [&](Core::Duration elapsed, Core::Duration waitedOfIt) {
        now = now + elapsed;
        waited += waitedOfIt;
        load.sample(waited, now);
        return load.report();
    };
    Gateway::LoopReport report;
    for (int samples = 0; samples < 30; ++samples) {
        report = sample(Core::milliseconds(100), Core::milliseconds(30));
    }
    cr_assert(report.busyPercent == 70 && report.late == Core::Duration(0), "%d", report.busyPercent);
    report = sample(Core::milliseconds(100), Core::milliseconds(0));
    cr_assert(report.busyPercent > 70 && report.busyPercent < 80, "one sample moves it by a fifth of the difference: %d", report.busyPercent);
    for (int samples = 0; samples < 20; ++samples) {
        (void)sample(Core::milliseconds(140), Core::milliseconds(100));
        report = sample(Core::milliseconds(60), Core::milliseconds(50));
    }
    cr_assert(report.late > Core::milliseconds(10) && report.late < Core::milliseconds(40), "%ld", report.late.count());
    report = sample(Core::seconds(30), Core::seconds(30));
    cr_assert(report.late == Core::seconds(1) && report.pressure() > 1.0, "frozen for 30 s");
    for (int samples = 0; samples < 20; ++samples) {
        report = sample(Core::milliseconds(100), Core::milliseconds(100));
    }
    cr_assert_lt(report.pressure(), 0.4, "used again after 2 s");
}

// Guards against a gateway that declines what it can serve in time, or what no other owner serves sooner: a part is late if it waits for half of the time left.
Test(LoopLoad, partsAreDeclinedOnlyForALessBusyOwner)
{
    const auto declines = [](const char *own, const char *other, int timeLeft) {
        return Gateway::shouldDecline(Gateway::parseLoad(own).value(), Gateway::parseLoad(other).value(), Core::milliseconds(timeLeft));
    };
    cr_assert(declines("85,0", "30,0", 80) && declines("30,60", "30,0", 120) && declines("100,0", "30,0", 2000));
    cr_assert_not(declines("85,0", "30,0", 300) || declines("30,60", "30,0", 400) || declines("50,0", "0,0", 80), "in time");
    cr_assert_not(declines("85,0", "80,0", 80), "the other one is too busy as well");
    cr_assert_not(declines("75,0", "70,0", 80), "the other one is hardly less busy");
    cr_assert_not(declines("85,0", "0,0", 0), "it is late anywhere");
}

namespace
{

constexpr const char *Header = Gateway::RelayHeader::OwnerLoad;

std::string headerOf(const Wire::Headers &headers)
{
    const auto *found = Wire::findHeader(headers, Header);
    return found == nullptr ? std::string("none") : *found;
}

/** A search with shard "a" at a backend server, and "b" and "c" relayed to the owners "first" and "second". */
class OwnersFixture : public TestSupport::GatewayFixture
{
public:
    OwnersFixture()
    {
        this->route().idempotent = false;
        this->route().maximumAttempts = 1;
        this->route().targetLatency = Core::seconds(4);
        this->route().topRecords = 10;
        this->route().minimumCoverage = 1.0;
        this->route().shards = {Core::ServiceName("a"), Core::ServiceName("b"), Core::ServiceName("c")};
        this->relayed = {Core::ServiceName("b"), Core::ServiceName("c")};
        this->owners = {first, second};
        for (const auto &shard : this->route().shards) {
            this->servers.push_back(&this->add(shard.value(), shard.value() + "1", [shard](const auto &request, const auto &exchange) {
                exchange->respond(TestSupport::successResponse(request, "signature-" + shard.value(), std::string(16, 'r')));
            }));
        }
        for (const auto &owner : this->owners) {
            this->gateways.push_back(&this->addTo(this->relays, Gateway::relayService("there").value(), owner.value(), {}));
        }
    }

    std::vector<TestSupport::ScriptedBackend *> servers;
    std::vector<TestSupport::ScriptedBackend *> gateways;
};

}

// Guards against a declined part that counts as run, so that nobody may serve it, and against a shard that runs twice or not at all when no owner serves it.
Test(OwnerLoad, aDeclinedPartGoesToTheOtherOwnerAndOtherwiseDirectly)
{
    for (const bool otherServes : {true, false}) {
        OwnersFixture fixture;
        fixture.ownerLoad.receive(first, "60,0", Core::Duration(0), fixture.timers.now());
        fixture.ownerLoad.receive(second, "50,0", Core::Duration(0), fixture.timers.now());
        fixture.gateways[0]->script = [](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            exchange->respond(TestSupport::errorResponse(request, 503, false));
        };
        fixture.gateways[1]->script = fixture.gateways[0]->script;
        if (otherServes) {
            fixture.gateways[1]->script = [](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
                Protocol::PartialAnswer part;
                part.signatures = {"part-b", "part-c"};
                exchange->respond(TestSupport::partOf(request, part));
            };
        }
        cr_assert_eq(fixture.ask("r1").status, 200);
        cr_assert_eq(headerOf(fixture.gateways[0]->requests[0].headers), "50,0");
        cr_assert_eq(headerOf(fixture.gateways[1]->requests[0].headers), "none", "it is the other owner itself");
        cr_assert_eq(fixture.gateways[1]->requests.size(), otherServes ? 1 : 2);
        for (std::size_t shard = 1; shard < fixture.servers.size(); ++shard) {
            cr_assert_eq(fixture.servers[shard]->requests.size(), otherServes ? 0 : 1);
        }
    }
}

// Guards against gateways that don't report, reports that reach backend servers, callers that pass for gateways, and a declined part that has run.
Test(OwnerLoad, gatewaysReportTheirLoadAndDeclineIfTheyAreTooBusy)
{
    TestSupport::NodeFixture fixture;
    fixture.coordinator.declare(nlohmann::json::parse(
        R"({"version": 1, "services": [{"name": "s0", "max_conns": 200}], "routes": [
        {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 1000, "public": true,
         "gather": ["s0"], "max_attempts": 2, "top_k": 5, "min_coverage": 0.5}]})"));
    auto &server = fixture.addBackend("s0", "server", "here");
    std::vector<Core::Endpoint> relayEndpoints;
    const auto addNode = [&](bool measuresLoad) -> TestSupport::NodeUnderTest & {
        return fixture.addNode("here", [&](Gateway::GatewayOptions &options) {
            relayEndpoints.push_back(options.relayEndpoint);
            if (measuresLoad) {
                options.loopWaited = [] {
                    return Core::Duration(0);
                };
            }
        });
    };
    auto &busy = addNode(true);
    auto &oldBuild = addNode(false);
    cr_assert(fixture.awaitReady());
    const Wire::Header other{Header, "5,0"};
    cr_assert_eq(fixture.ask(busy, "/search/1", {other}).status, 200, "a caller's request is never declined");
    busy.callerEndpoint = relayEndpoints[0];
    oldBuild.callerEndpoint = relayEndpoints[1];
    const auto partWith = [](Wire::Headers headers) {
        Gateway::addRelayParameters(headers,
            {.timeLeftToTarget = Core::milliseconds(80), .timeLeftToDeadline = Core::seconds(2), .shards = {Core::ServiceName("s0")}, .topRecords = 5});
        return headers;
    };
    // The loop seems never to wait, so the load rises to 100 within some seconds. Each request opens a connection, so they are sent with pauses.
    Gateway::LoopReport reported;
    for (int parts = 0; parts < 100 && reported.busyPercent <= 90; ++parts) {
        fixture.settle();
        reported = Gateway::parseLoad(headerOf(fixture.ask(busy, "/search/1", partWith({})).headers)).value_or(Gateway::LoopReport());
    }
    cr_assert_gt(reported.busyPercent, 90);
    const auto executed = server.requests.size();
    const auto declined = fixture.ask(busy, "/search/1", partWith({other}));
    cr_assert(declined.status == 503 && server.requests.size() == executed);
    cr_assert(Gateway::parseLoad(headerOf(declined.headers)).has_value(), "the refusal tells how busy it is");
    cr_assert_eq(busy.node.counters().partsDeclined, 1);
    cr_assert_eq(fixture.ask(busy, "/search/1", partWith({})).status, 200, "no other owner is known");
    const auto unmeasured = fixture.ask(oldBuild, "/search/1", partWith({other}));
    cr_assert(unmeasured.status == 200 && headerOf(unmeasured.headers) == "none");
    for (const auto &request : server.requests) {
        cr_assert_eq(headerOf(request.headers), "none");
    }
}
