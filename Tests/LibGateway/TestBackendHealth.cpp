/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How a gateway judges a backend server by what it observes of it.

#include <LibGateway/BackendHealth.h>

#include <criterion/criterion.h>

using Gateway::BackendHealth;

static Core::Instant at(int milliseconds)
{
    return Core::Instant(Core::milliseconds(100'000 + milliseconds));
}

Test(BackendHealth, avoidsAfterConsecutiveFailures)
{
    BackendHealth health;
    cr_assert_not(health.recordFailure(2, at(0)));
    health.recordAnswer(1.0, at(1));
    cr_assert_not(health.recordFailure(2, at(2)), "an answer resets the failure count");
    cr_assert(health.recordFailure(2, at(3)));
    cr_assert(health.isAvoided(at(4)));
    cr_assert_not(health.recordFailure(2, at(5)), "it is avoided already");
    cr_assert_not(health.isAvoided(at(5000)));
}

Test(BackendHealth, avoidsUnresponsiveBackendAtOnceWithGrowingDuration)
{
    BackendHealth health;
    cr_assert(health.recordUnresponsive(at(0)));
    cr_assert_not(health.isAvoided(at(500)));
    cr_assert(health.recordUnresponsive(at(600)));
    cr_assert(health.isAvoided(at(1500)));
    for (int round = 0; round < 20; ++round) {
        health.recordUnresponsive(at(2000));
    }
    cr_assert_not(health.isAvoided(at(6000)), "avoidance lasts at most four seconds");
    health.recordAnswer(1.0, at(3000));
    cr_assert_not(health.isAvoided(at(3000)), "one answer ends the avoidance");
}

Test(BackendHealth, expectedLatencyGrowsWithSlownessAndLoad)
{
    BackendHealth health;
    const double usual = health.expectedFactor(0, 2, at(0));
    cr_assert(usual == 1.0);
    for (int round = 0; round < 10; ++round) {
        health.recordAnswer(8.0, at(round));
    }
    cr_assert(health.expectedFactor(0, 2, at(10)) > 5.0);
    cr_assert(health.expectedFactor(0, 2, at(20'000)) < 1.1, "slowness decays");
    BackendHealth busy;
    busy.recordReply(Gateway::LoadReport{.running = 2, .waiting = 3, .slots = 2}, at(0));
    cr_assert(busy.expectedFactor(0, 2, at(0)) == 3.0);
    cr_assert(busy.expectedFactor(0, 2, at(300)) == 1.0, "an old load report has no effect");
    cr_assert(busy.expectedFactor(4, 2, at(300)) == 2.5, "own requests in flight count without a report");
}

// Refusals used to count as failures. TestServerAcceptance.cpp covers how they count now.
Test(BackendHealth, failureRateFollowsFailuresAndDecays)
{
    BackendHealth health;
    for (int round = 0; round < 40; ++round) {
        if (round % 2 == 0) {
            health.recordFailure(2, at(round));
        } else {
            health.recordAnswer(1.0, at(round));
        }
        health.recordRefusal(at(round));
    }
    const double rate = health.failureRate(at(40));
    cr_assert(rate > 0.35 && rate < 0.65, "%f", rate);
    cr_assert(health.failureRate(at(10'000)) < 0.05);
}

// Scenario: a fifth of the servers take nine times as long for eight seconds and report it, and each search meets most of them. Judging by latencies, the owner
// of a cell needs about three searches per server until it sends elsewhere; judging by reported slowdowns it needs one reply, however long that reply took.
Test(BackendHealth, reportedSlowdownTakesPrecedenceOverLatencies)
{
    BackendHealth health;
    const auto reportWith = [](std::optional<double> slowdown) {
        return Gateway::LoadReport{.running = 0, .waiting = 0, .slots = 2, .slowdown = slowdown};
    };
    health.recordReply(reportWith(9.0), at(0));
    health.recordAnswer(1.2, at(0));
    cr_assert(health.expectedFactor(0, 2, at(0)) == 9.0);
    cr_assert(health.expectedFactor(0, 2, at(2000)) == 5.0, "the slowdown decays to half in two seconds, so that a recovered server gets requests again");
    health.recordReply(reportWith(1.0), at(2100));
    health.recordAnswer(10.0, at(2100));
    cr_assert(health.expectedFactor(0, 2, at(2100)) == 1.0, "a late answer does not outweigh the reported slowdown");
    health.recordReply(reportWith(std::nullopt), at(2200));
    cr_assert(health.expectedFactor(0, 2, at(2200)) < 1.1, "one late answer may be due to a pause");
    health.recordAnswer(10.0, at(2200));
    cr_assert(health.expectedFactor(0, 2, at(2200)) > 3.0, "without a reported slowdown latencies count");
}
