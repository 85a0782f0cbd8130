/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How fast servers are judged to be. Scenario: servers of lasting speeds from 0.8 to 1.3, of
// which some become 7 times slower for 6 s, and all of which pause for 200 ms now and then.

#include <LibGateway/BackendChoice.h>

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
