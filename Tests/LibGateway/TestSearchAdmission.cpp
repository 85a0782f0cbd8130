/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: searches over 90 shards with a target of 200 ms and a timeout of 1,500 ms, of
// which 86 shards are needed, while too much waits at some shards. Guards against searches
// that take slots although they are lost, and above all against refusing searches that
// could be answered: for a moment of noise, for what a server reports, or after the load.

#include <LibGateway/GatewayMetrics.h>
#include <Support/NodeFixture.h>

#include <criterion/criterion.h>

#include <set>

using Gateway::SearchAdmission;
using Gateway::SearchVerdict;
using Gateway::ShardEstimate;
using TestSupport::errorResponse;
using TestSupport::GatewayFixture;
using TestSupport::successResponse;

namespace
{

constexpr Gateway::SearchLimits Limits{.needed = 86, .timeToTarget = Core::milliseconds(200), .timeToDeadline = Core::milliseconds(1500)};
constexpr ShardEstimate Healthy{.hasServer = true, .expectedLatency = Core::milliseconds(20), .measuredLatency = Core::milliseconds(20)};

Core::Instant at(int milliseconds)
{
    return Core::Instant() + Core::milliseconds(milliseconds);
}

ShardEstimate withBacklog(std::size_t waiting, std::optional<double> perSecond)
{
    auto shard = Healthy;
    shard.waiting = waiting;
    shard.sentPerSecond = perSecond;
    return shard;
}

/** A search of which `count` shards are like `shard` and the others are healthy. */
Gateway::SearchOutlook outlook(const ShardEstimate &shard, std::size_t count)
{
    Gateway::SearchOutlook result(Limits);
    for (std::size_t number = 0; number < 90; ++number) {
        result.add(number < count ? shard : Healthy);
    }
    return result;
}

const auto lost = outlook(withBacklog(200, 100.0), 5);
const auto possible = outlook(Healthy, 0);

void failing(const Wire::Request &request, const Wire::ExchangePointer &exchange)
{
    exchange->respond(errorResponse(request, 500, false));
}

/** A search over the shards a and b with one backend server each, and many requests that wait at both shards and can't use any capacity. */
class BacklogFixture : public GatewayFixture
{
public:
    BacklogFixture()
    {
        this->route().idempotent = true;
        this->route().maximumAttempts = 2;
        this->route().targetLatency = Core::milliseconds(200);
        this->route().minimumCoverage = 1.0;
        this->route().shards = {Core::ServiceName("a"), Core::ServiceName("b")};
        for (const auto &shard : this->route().shards) {
            this->add(shard.value(), shard.value() + "1", [name = shard.value()](const auto &request, const auto &exchange) {
                exchange->respond(successResponse(request, "signature-" + name, std::string(16, 'r')));
            });
        }
        this->admission = &this->searches;
    }

    /** With `accepts` each waiting request uses the capacity that it is offered; a sweep offers some every 50 ms. */
    void makeBacklog(const Gateway::Urgency &urgency = {}, bool accepts = false)
    {
        for (const auto &shard : this->route().shards) {
            for (int number = 0; number < 100; ++number) {
                const auto offer = [accepts] {
                    return accepts;
                };
                this->waiters.push_back(this->pool.waitForCapacity(shard, {.urgency = urgency, .offer = offer}));
            }
        }
        // The pace is known after 200 ms.
        this->settle(Core::milliseconds(300));
    }

    void endBacklog()
    {
        for (std::size_t index = 0; index < this->waiters.size(); ++index) {
            this->pool.stopWaiting(this->route().shards[index / 100], this->waiters[index]);
        }
    }

    /** Asserts that a search or part is refused as not run and that nothing of it is sent. */
    void assertRefused(const std::string &id)
    {
        const auto sentBefore = this->pool.counters().attempts;
        cr_assert_eq(this->ask(id).status, 503);
        cr_assert_eq(this->summary->outcome, Gateway::RequestOutcome::NotRun);
        cr_assert_eq(this->pool.counters().attempts, sentBefore);
    }

    SearchAdmission searches{{.holdTime = Core::Duration(0)}};
    std::vector<Gateway::WaiterNumber> waiters;
};

}

Test(SearchAdmission, verdictsFollowFromBacklogPaceAndAvoidance)
{
    auto avoided = Healthy;
    avoided.avoidedFor = Core::milliseconds(4000);
    auto avoidedBriefly = Healthy;
    avoidedBriefly.avoidedFor = Core::milliseconds(500);
    auto reported = Healthy;
    reported.expectedLatency = Core::seconds(1000);
    struct Case {
        const char *name;
        ShardEstimate shard;
        std::size_t count;
        SearchVerdict verdict;
    };
    const std::vector<Case> cases{
        {"few shards with a long backlog", withBacklog(200, 100.0), 4, SearchVerdict::InTime},
        {"too many shards with a backlog beyond the deadline", withBacklog(200, 100.0), 5, SearchVerdict::Impossible},
        {"burst of 500 ms at all shards", withBacklog(50, 100.0), 90, SearchVerdict::Late},
        {"short backlog at all shards", withBacklog(10, 100.0), 90, SearchVerdict::InTime},
        {"backlog with an unknown pace", withBacklog(100'000, std::nullopt), 90, SearchVerdict::InTime},
        {"backlog at a pace near zero", withBacklog(100'000, 1e-9), 90, SearchVerdict::Impossible},
        {"all servers avoided beyond the deadline", avoided, 5, SearchVerdict::Impossible},
        {"all servers avoided for a moment", avoidedBriefly, 5, SearchVerdict::Late},
        {"no server", ShardEstimate{}, 5, SearchVerdict::Impossible},
        {"false load reports of all servers", reported, 90, SearchVerdict::Late},
    };
    for (const auto &item : cases) {
        cr_assert_eq(outlook(item.shard, item.count).verdict(), item.verdict, "%s", item.name);
    }
    cr_assert_eq(Gateway::SearchOutlook(Limits, 90).verdict(), SearchVerdict::InTime, "other gateways judge their shards");
    cr_assert(lost.backlog() == Core::seconds(2) && lost.possible() == 85 && lost.all() == 90);
}

Test(SearchAdmission, refusesOnlyWhatStaysImpossibleAndRecoversAtOnce)
{
    SearchAdmission admission;
    for (int time = 0; time < 300; time += 25) {
        cr_assert(admission.admit(lost, at(time)), "refused after %d ms", time);
    }
    cr_assert_not(admission.admit(lost, at(300)));
    cr_assert(admission.admit(outlook(withBacklog(50, 100.0), 90), at(301)), "a possible search is never refused");
    for (int time = 310; time < 600; time += 10) {
        cr_assert(admission.admit(possible, at(time)));
    }
    cr_assert(admission.admit(lost, at(600)), "the time begins anew after the recovery");
    cr_assert_eq(admission.counts().refused, 1);
    cr_assert_eq(admission.counts().admittedLate, 1);
    cr_assert_eq(admission.counts().admittedImpossible, 13);
}

Test(SearchAdmission, refusesNobodyForAMomentOfNoiseOrAfterAGap)
{
    SearchAdmission noisy;
    for (int time = 0; time < 5000; time += 10) {
        cr_assert(noisy.admit(time % 500 < 150 ? lost : possible, at(time)), "refused after %d ms", time);
    }
    SearchAdmission rare;
    for (int time = 0; time < 20'000; time += 1500) {
        cr_assert(rare.admit(lost, at(time)), "nothing is known of the time between two searches");
    }
    SearchAdmission idle;
    (void)idle.admit(lost, at(0));
    idle.recordNothingWaits();
    cr_assert(idle.admit(lost, at(400)));
}

Test(SearchAdmission, returnsAreSpreadWithinWhatCallersWait)
{
    Gateway::ReturnTerms terms{.backlog = Core::milliseconds(600), .usual = Core::milliseconds(150), .callerTimeLeft = Core::milliseconds(4500)};
    std::set<std::int64_t> times;
    for (int number = 0; number < 100; ++number) {
        terms.spread = number / 100.0;
        const auto wait = Gateway::returnAfter(terms);
        cr_assert(wait >= Core::milliseconds(600) && wait <= Core::milliseconds(900));
        times.insert(Core::toMilliseconds(wait));
    }
    cr_assert_gt(times.size(), 90);
    const auto urgent = Gateway::returnAfter(terms);
    terms.urgency = {.workspace = 2, .route = 2};
    cr_assert(Gateway::returnAfter(terms) > urgent);
    terms.callerTimeLeft = Core::milliseconds(1500);
    terms.spread = 1.0;
    cr_assert(Gateway::returnAfter(terms) == Core::milliseconds(500), "a caller waits a third of its time at most");
    terms.backlog = Core::Duration(0);
    terms.spread = 0.0;
    terms.urgency = {};
    cr_assert(Gateway::returnAfter(terms) == Core::milliseconds(150));
}

Test(ServicePace, isMeasuredWhileRequestsWait)
{
    Gateway::ServicePace pace;
    cr_assert_not(pace.perSecond(at(0)).has_value());
    pace.recordWaiting(true, at(0));
    cr_assert_not(pace.perSecond(at(150)).has_value(), "too short a time");
    const auto stuck = pace.perSecond(at(1000)).value();
    cr_assert(stuck > 0.5 && stuck < 2.0, "nothing was sent for a second");
    cr_assert(pace.unsentFor(at(1000)) == Core::seconds(1));
    for (int time = 1000; time < 6000; time += 20) {
        pace.recordSent(at(time));
    }
    const auto busy = pace.perSecond(at(6000)).value();
    cr_assert(busy > 45.0 && busy < 55.0, "%f instead of 50", busy);
    pace.recordWaiting(false, at(6000));
    cr_assert_not(pace.perSecond(at(10'000)).has_value(), "an old measurement counts no longer");
    cr_assert(pace.unsentFor(at(10'000)) == Core::Duration(0));
}

Test(SearchAdmission, searchWithoutEnoughPossibleShardsIsRefusedUntilTheBacklogIsGone)
{
    BacklogFixture fixture;
    cr_assert_eq(fixture.ask("before").status, 200);
    fixture.makeBacklog();
    fixture.assertRefused("refused");
    const auto *retryAfter = Wire::findHeader(fixture.answer->headers, "Retry-After");
    cr_assert(retryAfter != nullptr && std::stod(*retryAfter) > 1.6, "a third of 10 s, and the backlog is longer");
    Metrics::MetricsPage page;
    Gateway::addSearchAdmissionMetrics(page, {{Gateway::SearchClass{}, fixture.searches}});
    cr_assert(page.text().find("crankrudder_search_admissions_total{decision=\"refused\",kind=\"search\"} 1") != std::string::npos);
    fixture.endBacklog();
    cr_assert_eq(fixture.ask("after").status, 200);
    SearchAdmission patient;
    fixture.admission = &patient;
    fixture.makeBacklog();
    cr_assert_eq(fixture.ask("noise").status, 200);
    cr_assert_eq(patient.counts().admittedImpossible, 1);
}

Test(SearchAdmission, searchIsRefusedWhileAllServersOfAShardAreAvoidedForTooLong)
{
    BacklogFixture fixture;
    fixture.route().timeout = Core::milliseconds(300);
    fixture.route().shards.emplace_back("c");
    fixture.add("c", "c1", failing);
    // The server is avoided for 500 ms after the second failure, and longer after more of them.
    (void)fixture.ask("first");
    (void)fixture.ask("second");
    fixture.assertRefused("while it is avoided");
    const auto sentBefore = fixture.pool.counters().attempts;
    for (int tries = 0; tries < 20 && fixture.pool.counters().attempts == sentBefore; ++tries) {
        fixture.settle();
        (void)fixture.ask("later");
    }
    cr_assert_gt(fixture.pool.counters().attempts, sentBefore, "it is tried again");
}

// With the pace of a queue of which nothing is sent, every backlog would be impossible.
Test(SearchAdmission, backlogThatIsServedIsNoReasonToRefuse)
{
    BacklogFixture fixture;
    fixture.makeBacklog({}, true);
    fixture.settle(Core::milliseconds(300));
    const auto estimate = fixture.pool.estimateOf(Core::ServiceName("a"), {}, Core::milliseconds(20), {});
    cr_assert(estimate.waiting > 50 && estimate.sentPerSecond > 10.0, "%zu wait, pace %f", estimate.waiting, estimate.sentPerSecond.value_or(0.0));
    cr_assert_eq(fixture.ask("late").status, 200);
    cr_assert_eq(fixture.searches.counts().admittedLate, 1);
}

// Guards against a gateway that judges its searches without state, so that none stays impossible for long enough.
Test(SearchAdmission, gatewayKeepsTheAdmissionsOfItsSearches)
{
    TestSupport::NodeFixture fixture;
    fixture.coordinator.declare(nlohmann::json::parse(R"({"version": 1,
        "routes": [{"name": "all", "host": "h.example", "path_prefix": "/all/", "route_type": "idempotent", "timeout_ms": 300, "target_latency_ms": 100,
                    "gather": ["a"], "max_attempts": 2, "top_k": 5, "min_coverage": 1.0}],
        "services": [{"name": "a", "max_conns": 20}]})"));
    fixture.addBackend("a", "a1", "here").script = failing;
    const auto &gateway = fixture.addNode("here", [](auto &options) {
        options.searchAdmission.holdTime = Core::Duration(0);
    });
    cr_assert(fixture.awaitReady());
    cr_assert_eq(fixture.ask(gateway, "/all/1").status, 502);
    cr_assert_eq(fixture.ask(gateway, "/all/1").status, 502);
    cr_assert_eq(fixture.ask(gateway, "/all/1").status, 503, "its server is avoided for longer than the timeout");
    const auto page = gateway.node.metrics();
    cr_assert(page.find("crankrudder_search_admissions_total{decision=\"refused\",kind=\"search\"} 1") != std::string::npos, "%s", page.c_str());
}

Test(SearchAdmission, urgentSearchIsJudgedByWhatWaitsAtItsUrgencyOrAbove)
{
    BacklogFixture fixture;
    fixture.makeBacklog({.route = 5});
    cr_assert_eq(fixture.ask("urgent").status, 200);
    cr_assert_eq(fixture.searches.counts().admittedLate, 0);
    fixture.route().priority = 5;
    fixture.assertRefused("less urgent");
}

Test(SearchAdmission, ownerRefusesOnlyPartsThatLackTooMuch)
{
    BacklogFixture fixture;
    fixture.makeBacklog();
    fixture.relayParameters = Gateway::RelayParameters{.timeLeftToTarget = Core::milliseconds(200),
        .timeLeftToDeadline = Core::seconds(1),
        .maximumMissing = 1,
        .shards = fixture.route().shards,
        .topRecords = 10};
    fixture.assertRefused("lacks both shards");
    // The backlog at one shard ends, and the part may lack the other one.
    fixture.waiters.resize(100);
    fixture.endBacklog();
    cr_assert_eq(fixture.ask("lacks one shard").status, 200);
    fixture.relayParameters->maximumMissing = 0;
    fixture.assertRefused("may lack none");
    fixture.relayParameters->isHedge = true;
    cr_assert_eq(fixture.ask("hedge").status, 200, "any one shard of a hedge is useful");
}

// The owner refuses a part as not run. The requesting gateway sends directly, or refuses the search if it is lost by its own estimate, too.
Test(SearchAdmission, searchWithRefusedPartsIsSentDirectlyOrRefusedAsNotRun)
{
    BacklogFixture fixture;
    fixture.relayed = fixture.route().shards;
    fixture.addGateway([](const auto &request, const auto &exchange) {
        exchange->respond(errorResponse(request, 503, true));
    });
    cr_assert_eq(fixture.ask("direct").status, 200);
    cr_assert_eq(fixture.pool.counters().attempts, 2);
    fixture.makeBacklog();
    fixture.assertRefused("lost");
}
