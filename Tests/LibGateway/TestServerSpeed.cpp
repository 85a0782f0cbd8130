/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How fast servers are judged to be. Scenario: servers of lasting speeds from 0.8 to 1.3, of
// which some become 7 times slower for 6 s, and all of which pause for 200 ms now and then.

#include <LibGateway/BackendChoice.h>
#include <Support/GatewayFixture.h>

#include <array>
#include <criterion/criterion.h>
#include <map>

using Gateway::BackendHealth;
using Gateway::ServerSpeed;
using Gateway::SpeedSample;

namespace
{

constexpr int Replicas = 3;
constexpr int WorkMilliseconds = 15;

Core::Instant at(int milliseconds)
{
    return Core::Instant(Core::milliseconds(100'000 + milliseconds));
}

SpeedSample sample(int sentAt, int receivedAt, double queueing = 0.0)
{
    return {.ratio = static_cast<double>(receivedAt - sentAt) / WorkMilliseconds,
        .typical = Core::milliseconds(WorkMilliseconds),
        .sentAt = at(sentAt),
        .queueing = queueing};
}

/** Records answers that each took `duration` milliseconds, one after the other. */
void recordMany(ServerSpeed &speed, int from, int until, int duration, int period)
{
    for (int time = from; time < until; time += period) {
        speed.record(sample(time, time + duration), at(time + duration));
    }
}

/** The three servers of a shard, one in each region, as a gateway in the region of the first knows them. */
struct View {
    View()
    {
        for (int replica = 0; replica < Replicas; ++replica) {
            auto &server = this->servers[replica];
            server.name = Gateway::BackendName(std::to_string(replica));
            server.sameZone = server.sameRegion = replica == 0;
            server.slots = 2;
            server.roundTrip = Core::milliseconds(replica == 0 ? 2 : 16);
        }
    }

    int best(int time)
    {
        const std::vector<Gateway::Backend *> candidates{&this->servers[0], &this->servers[1], &this->servers[2]};
        const Gateway::ChoiceTerms terms{.typicalLatency = Core::milliseconds(WorkMilliseconds), .within = std::nullopt, .refusedBy = {}};
        return std::stoi(this->choice.best(candidates, terms, at(time))->name.value());
    }

    void record(int replica, int sentAt, int duration)
    {
        this->servers[replica].health.recordAccepted(at(sentAt + duration));
        this->servers[replica].health.recordAnswer(sample(sentAt, sentAt + duration), at(sentAt + duration));
    }

    Gateway::BackendChoice choice{Gateway::BackendChoiceOptions{.seed = 1}};
    std::array<Gateway::Backend, Replicas> servers;
};

}

// Guards against a lasting speed that a wave changes, that a few answers decide, or that is never forgotten.
Test(ServerSpeed, lastingSpeedIsLearnedOverTensOfAnswersAndKeptForAMinute)
{
    ServerSpeed speed;
    recordMany(speed, 0, 400, 12, 100);
    cr_assert_gt(speed.lasting(at(400)), 0.9, "four answers");
    ServerSpeed used;
    used.record(sample(0, 1), at(1));
    cr_assert_lt(1.15 * used.lasting(at(1)), 1.0, "a server that answered fast is used again rather than one without connections");
    recordMany(speed, 1000, 7000, 12, 100);
    const double learned = speed.lasting(at(7000));
    cr_assert(learned > 0.78 && learned < 0.86, "%f", learned);
    recordMany(speed, 7000, 13'000, 84, 100);
    cr_assert_float_eq(speed.lasting(at(13'000)), learned, 0.02, "a wave of 6 s");
    cr_assert_float_eq(speed.lasting(at(60'000)), learned, 0.02);
    cr_assert_eq(speed.lasting(at(70'000)), 1.0);
    recordMany(speed, 70'000, 110'000, 45, 100);
    cr_assert_gt(speed.lasting(at(110'000)), 2.0, "40 s are longer than any wave");
}

// Guards against a pause that moves the requests of the following seconds: one late answer, or all that were sent during one pause of 200 ms.
Test(ServerSpeed, aPauseIsNotASlowdown)
{
    for (const int between : {200, 50, 10}) {
        View view;
        auto &health = view.servers[0].health;
        int queued = 0;
        // The server pauses until 200 and then runs what has queued up, two at a time.
        for (int sent = 0; sent < 200; sent += between, ++queued) {
            const int answered = 200 + WorkMilliseconds * (1 + queued / 2);
            health.recordAnswer(sample(sent, answered, std::max(0.0, (queued - 1) / 2.0)), at(answered));
        }
        cr_assert_eq(view.best(500), 0, "sent every %d ms", between);
        cr_assert_lt(health.observedFactor(at(500)), 1.1);
    }
    ServerSpeed speed;
    speed.record(sample(0, 200), at(200));
    speed.record(sample(4500, 4700), at(4700));
    cr_assert_eq(speed.slowdown(at(4700)), 1.0, "two pauses");
}

// Guards against a wave that a gateway with one request a second does not notice, and against a server that stays avoided after it.
Test(ServerSpeed, twoLateAnswersAreASlowdownThatFadesWithinASecond)
{
    for (const int period : {50, 500, 1000}) {
        View view;
        view.record(0, 0, 105);
        cr_assert_eq(view.best(106), 0, "one late answer");
        view.record(0, std::max(period, 60), 105);
        const int known = std::max(period, 60) + 105;
        cr_assert_neq(view.best(known + 10), 0, "every %d ms", period);
        cr_assert_eq(view.best(known + 2000), 0);
        const auto &health = view.servers[0].health;
        cr_assert_eq(health.observedFactor(at(known + 3000)), 1.0, "older than the slowdown it describes");
        if (period == 50) {
            cr_assert_eq(view.best(known + 1000), 0);
        }
    }
    ServerSpeed speed;
    recordMany(speed, 0, 1000, 105, 110);
    recordMany(speed, 1100, 1140, 15, 20);
    cr_assert_lt(speed.slowdown(at(1160)), 1.6, "two answers in time");
}

// Guards against load that is taken for slowness, and against false reports: of a queue, which make a server look fast, and of none.
Test(ServerSpeed, queueingIsNotSlownessAndNoReportMakesAServerFast)
{
    ServerSpeed speed;
    for (int request = 0; request < 40; ++request) {
        speed.record(sample(request * 100, request * 100 + 60, 3.0), at(request * 100 + 60));
    }
    cr_assert_eq(speed.slowdown(at(4000)), 1.0);
    cr_assert_float_eq(speed.lasting(at(4000)), 1.0, 0.01);
    ServerSpeed falseQueue;
    for (int request = 0; request < 40; ++request) {
        falseQueue.record(sample(request * 100, request * 100 + 15, 1000.0), at(request * 100 + 15));
    }
    cr_assert_float_eq(falseQueue.lasting(at(4000)), 1.0, 0.01);
    BackendHealth health;
    const Gateway::LoadReport report{.running = 2, .waiting = 4, .slots = 2, .slowdown = std::nullopt};
    health.recordReply(report, at(0));
    cr_assert_eq(health.queueing(0, 2, at(0)), 2.5);
    cr_assert_eq(health.queueing(0, 2, at(250)), 0.0, "a late report");
    cr_assert_eq(health.queueing(3, 2, at(250)), 1.0, "own requests count without a report");
}

// Guards against what parts of other gateways took being mixed with what was observed at the server.
Test(ServerSpeed, partsOfOtherGatewaysAreKeptApart)
{
    BackendHealth health;
    for (int part = 0; part < 3; ++part) {
        health.recordRemoteAnswer(8.0, at(part * 10));
    }
    cr_assert_gt(health.expectedFactor(0, 2, at(30)), 4.0);
    cr_assert_eq(health.observedFactor(at(30)), 1.0);
    cr_assert_not(health.reportFor(Gateway::EvidenceScope::All, at(30)).has_value(), "only what was observed directly is told");
    health.recordAnswer(sample(30, 45), at(45));
    cr_assert_lt(health.expectedFactor(0, 2, at(45)), 1.1, "own answers go first");
}

// Guards against requests that move from server to server while all servers of a shard are slow: the one that was used last looks slowest.
Test(ServerSpeed, theChoiceDoesNotOscillateWhereAllServersAreSlow)
{
    for (const int period : {50, 500}) {
        View view;
        std::array<int, Replicas> sends{};
        int moves = 0;
        int former = 0;
        // Times of answers, with the server and when the request was sent.
        std::multimap<int, std::pair<int, int>> due;
        for (int time = 0; time < 6000; time += period) {
            while (!due.empty() && due.begin()->first <= time) {
                const auto [chosen, sentAt] = due.begin()->second;
                view.record(chosen, sentAt, due.begin()->first - sentAt);
                due.erase(due.begin());
            }
            const int chosen = view.best(time);
            due.emplace(time + 105, std::pair(chosen, time));
            moves += chosen != former ? 1 : 0;
            former = chosen;
            ++sends[chosen];
        }
        cr_assert_lt(moves, 12, "every %d ms: %d moves", period, moves);
        cr_assert_gt(sends[0], sends[1] + sends[2]);
    }
}

// Guards against news of a slowdown that is too old, as of a gateway that was frozen, and against reports that outweigh own answers.
Test(ServerSpeed, aReportedSlowdownCountsForAShortTimeAndAfterOwnAnswers)
{
    ServerSpeed speed;
    cr_assert_not(speed.receive(7.0, at(-1500), at(0)));
    cr_assert(speed.receive(7.0, at(0), at(100)));
    cr_assert_not(speed.receive(9.0, at(-50), at(100)), "older than the one that is held");
    cr_assert_gt(speed.slowdown(at(100)), 6.0);
    cr_assert_eq(speed.slowdown(at(100), Gateway::SpeedBasis::Own), 1.0);
    cr_assert_eq(speed.slowdown(at(1500)), 1.0);
    cr_assert(speed.receive(7.0, at(2000), at(2000)));
    speed.record(sample(2000, 2015), at(2015));
    cr_assert_eq(speed.slowdown(at(2015)), 1.0, "own answers go first");
    cr_assert(speed.receive(1000.0, at(3000), at(3000)));
    cr_assert_leq(speed.slowdown(at(3000)), Gateway::MaximumSlowdown, "a false report");
    speed.record(sample(3000, 3105), at(3105));
    cr_assert_gt(speed.slowdown(at(3105)), 5.0, "one late answer confirms a report");
}

// Guards against an old form of the entry where nothing is slow, a factor that is misread, and entries about slow servers that displace those about refusals.
Test(ServerSpeed, slownessTravelsWithEvidence)
{
    const auto entry = [](double refused, double slowness, const std::string &server) {
        return Gateway::EvidenceEntry{
            .server = server, .report = {.outcomes = {.accepted = 6.0 - refused, .refused = refused}, .observedAt = at(0), .slowness = slowness}};
    };
    const auto text = Gateway::encodeEvidence({entry(0, 7.126, "a"), entry(0, 2.5, "b"), entry(4, 1, "c")}, at(100));
    cr_assert_eq(text, "a=6.00/0.00/7.13/100,b=6.00/0.00/2.5/100,c=2.00/4.00/1/100", "%s", text.c_str());
    cr_assert_float_eq(Gateway::decodeEvidence(text, "g", {}, at(100)).entries.at(0).report.slowness, 7.13, 1e-9);
    std::vector<Gateway::EvidenceEntry> entries(20, entry(0, 2.5, "slow"));
    entries.push_back(entry(4, 1, "refuses"));
    entries.push_back(entry(0, 10, "slower"));
    Gateway::chooseEntries(entries, at(0));
    cr_assert(entries[0].server == "slower" && entries[1].server == "refuses");
}

// Guards against a slowdown that is told by a gateway that did not observe it, or that no other gateway hears of because the server refuses nothing.
Test(ServerSpeed, aGatewayTellsOnlySlowdownsThatItObservedItself)
{
    const auto scope = Gateway::EvidenceScope::All;
    View observer;
    observer.record(0, 0, 105);
    cr_assert_not(observer.servers[0].health.reportFor(scope, at(105)).has_value(), "one late answer may be due to a pause");
    observer.record(0, 106, 105);
    auto report = observer.servers[0].health.reportFor(scope, at(300));
    cr_assert(report.has_value() && report->slowness > 6.0 && report->outcomes.refused == 0.0 && report->observedAt == at(211));
    report->source = "observer";
    View other;
    cr_assert(other.servers[0].health.receiveReport(report.value(), at(300)));
    cr_assert_neq(other.best(310), 0);
    cr_assert_eq(other.choice.choicesChangedByReports(), 1);
    cr_assert_not(other.servers[0].health.reportFor(scope, at(310)).has_value(), "not sent on");
    cr_assert_eq(other.servers[0].health.refusedShare(0.0, at(310)), 0.0);
    report->outcomes.refused = 4.0;
    report->observedAt = at(320);
    cr_assert(other.servers[0].health.receiveReport(report.value(), at(320)));
    cr_assert_eq(other.servers[0].health.reportFor(scope, at(320)).value().slowness, 1.0, "refusals are sent on without the slowdown");
    cr_assert_not(observer.servers[0].health.reportFor(scope, at(1800)).has_value());
    observer.servers[0].health.recordReply(Gateway::LoadReport{.running = 0, .waiting = 0, .slots = 2, .slowdown = 1.0}, at(300));
    cr_assert_not(observer.servers[0].health.reportFor(scope, at(300)).has_value(), "every gateway gets the slowdown from the server");
}

// Guards against gateways that all return at once when a wave ends, or that stay away: twelve with two requests a second each, sharing what they observe.
Test(ServerSpeed, afterAWaveAServerIsUsedAgainWithinASecondButNotByAllAtOnce)
{
    constexpr int Gateways = 12;
    constexpr int WaveEnd = 8000;
    std::array<int, 28> arrivals{};
    std::mt19937_64 random(3);
    for (int shard = 0; shard < 20; ++shard) {
        std::array<View, Gateways> views;
        std::multimap<int, std::array<int, 3>> due;
        for (int time = shard * 2; time < 14'000; time += 40) {
            for (; !due.empty() && due.begin()->first <= time; due.erase(due.begin())) {
                const auto [gateway, chosen, sentAt] = due.begin()->second;
                views[gateway].record(chosen, sentAt, due.begin()->first - sentAt);
            }
            const int gateway = static_cast<int>(random() % Gateways);
            const int chosen = views[gateway].best(time);
            const bool isSlow = chosen == 0 && time >= 2000 && time < WaveEnd;
            due.emplace(time + (isSlow ? 105 : WorkMilliseconds) + (chosen == 0 ? 0 : WorkMilliseconds), std::array{gateway, chosen, time});
            arrivals[time / 500] += chosen == 0 ? 1 : 0;
            if (auto report = views[gateway].servers[0].health.reportFor(Gateway::EvidenceScope::Own, at(time)); report.has_value()) {
                views[random() % Gateways].servers[0].health.receiveReport(report.value(), at(time));
            }
        }
    }
    const int usual = arrivals[2];
    const int first = WaveEnd / 500;
    cr_assert_lt(arrivals[first - 1], usual / 2, "in the wave: %d of %d", arrivals[first - 1], usual);
    cr_assert_lt(arrivals[first], usual * 3 / 4, "in the first half second after the wave: %d of %d", arrivals[first], usual);
    cr_assert_gt(arrivals[first + 1], usual / 2, "in the second half second: %d of %d", arrivals[first + 1], usual);
    cr_assert_eq(arrivals[first + 6], usual, "longer than any slowdown is known");
}

// Guards against a pool that observes or receives slowdowns without using them, and against servers that are not counted.
Test(ServerSpeed, thePoolReceivesSlowdownsAndCountsSlowAndPausedServers)
{
    TestSupport::GatewayFixture fixture;
    const Core::ServiceName service("s");
    fixture.add("s", "one", [](const Wire::Request &, const Wire::ExchangePointer &) {
    });
    auto *server = fixture.pool.choose({.service = service, .tried = {}, .allowedRegions = {}});
    fixture.pool.receiveEvidence("one=3.00/0.00/1/20", "old build", Core::Duration(0));
    cr_assert_eq(fixture.pool.speedCounts().slow, 0);
    fixture.pool.receiveEvidence("one=3.00/0.00/7.5/20", "gateway", Core::seconds(2));
    cr_assert_eq(fixture.pool.speedCounts().slow, 0, "the gateway or the answer was held up");
    fixture.pool.receiveEvidence("one=3.00/0.00/7.5/20", "gateway", Core::milliseconds(100));
    cr_assert_eq(fixture.pool.speedCounts().slow, 1);
    cr_assert_eq(fixture.pool.evidenceOf({service}, Gateway::EvidenceScope::All), "", "not sent on");
    const auto now = fixture.timers.now();
    Gateway::Attempt attempt{.backend = server, .startedAt = now - Core::milliseconds(200), .typicalLatency = Core::milliseconds(WorkMilliseconds)};
    server->inFlight.push_back(&attempt);
    cr_assert_eq(fixture.pool.speedCounts().paused, 1);
    server->inFlight.clear();
}
