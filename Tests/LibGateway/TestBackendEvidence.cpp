/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What a gateway makes of what it saw of a backend server.

#include <LibGateway/BackendEvidence.h>

#include <criterion/criterion.h>

using Gateway::BackendEvidence;

static Core::Instant at(int milliseconds)
{
    return Core::Instant(Core::milliseconds(100'000 + milliseconds));
}

Test(BackendEvidence, countsFailuresInARow)
{
    BackendEvidence evidence;
    cr_assert_not(evidence.noteFailure(2, at(0)));
    evidence.noteAnswer(1.0, at(1));
    cr_assert_not(evidence.noteFailure(2, at(2)), "an answer between two failures starts the count anew");
    cr_assert(evidence.noteFailure(2, at(3)));
    cr_assert(evidence.isAvoided(at(4)));
    cr_assert_not(evidence.noteFailure(2, at(5)), "it is avoided already");
    cr_assert_not(evidence.isAvoided(at(5000)));
}

Test(BackendEvidence, takesSilenceSeriouslyAtOnceAndLongerEachTime)
{
    BackendEvidence evidence;
    cr_assert(evidence.noteSilence(at(0)));
    cr_assert_not(evidence.isAvoided(at(500)));
    cr_assert(evidence.noteSilence(at(600)));
    cr_assert(evidence.isAvoided(at(1500)));
    for (int round = 0; round < 20; ++round) {
        evidence.noteSilence(at(2000));
    }
    cr_assert_not(evidence.isAvoided(at(6000)), "never for longer than four seconds");
    evidence.noteAnswer(1.0, at(3000));
    cr_assert_not(evidence.isAvoided(at(3000)), "one answer ends it");
}

Test(BackendEvidence, expectsLateAnswersOfSlowAndBusyOnes)
{
    BackendEvidence evidence;
    const double usual = evidence.expectedFactor(0, 2, at(0));
    cr_assert(usual == 1.0);
    for (int round = 0; round < 10; ++round) {
        evidence.noteAnswer(8.0, at(round));
    }
    cr_assert(evidence.expectedFactor(0, 2, at(10)) > 5.0);
    cr_assert(evidence.expectedFactor(0, 2, at(20'000)) < 1.1, "what is known fades");
    BackendEvidence busy;
    busy.noteReply(Gateway::LoadReport{.running = 2, .waiting = 3, .slots = 2}, at(0));
    cr_assert(busy.expectedFactor(0, 2, at(0)) == 3.0);
    cr_assert(busy.expectedFactor(0, 2, at(300)) == 1.0, "an old report says nothing");
    cr_assert(busy.expectedFactor(4, 2, at(300)) == 2.5, "our own requests are known");
}

Test(BackendEvidence, remembersTheShareOfTrouble)
{
    BackendEvidence evidence;
    for (int round = 0; round < 40; ++round) {
        if (round % 2 == 0) {
            evidence.noteRefusal(at(round));
        } else {
            evidence.noteAnswer(1.0, at(round));
        }
    }
    const double rate = evidence.troubleRate(at(40));
    cr_assert(rate > 0.35 && rate < 0.65, "%f", rate);
    cr_assert(evidence.troubleRate(at(10'000)) < 0.05);
}

// The load pattern: a fifth of the servers take nine times as long for eight seconds and say so, and each search meets most of them. By latencies an
// owner of their shards needs some three searches for each until it asks elsewhere; by their word it needs one reply, whatever that reply took.
Test(BackendEvidence, takesAMachinesOwnWordForItsPace)
{
    BackendEvidence evidence;
    const auto reportWith = [](std::optional<double> pace) {
        return Gateway::LoadReport{.running = 0, .waiting = 0, .slots = 2, .pace = pace};
    };
    evidence.noteReply(reportWith(9.0), at(0));
    evidence.noteAnswer(1.2, at(0));
    cr_assert(evidence.expectedFactor(0, 2, at(0)) == 9.0);
    cr_assert(evidence.expectedFactor(0, 2, at(2000)) == 5.0, "it fades to half in two seconds, so that one that recovered is asked again");
    evidence.noteReply(reportWith(1.0), at(2100));
    evidence.noteAnswer(10.0, at(2100));
    cr_assert(evidence.expectedFactor(0, 2, at(2100)) == 1.0, "a pause in its answer is none in its work");
    evidence.noteReply(reportWith(std::nullopt), at(2200));
    cr_assert(evidence.expectedFactor(0, 2, at(2200)) > 3.0, "one that does not tell is known by its latencies");
}
