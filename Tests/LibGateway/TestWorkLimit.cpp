/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The load pattern: backend servers near their capacity. One that pauses for
// 250 ms holds up to 14 requests (2 slots, a queue of 12); the searches that they
// belong to leave at 174 of 200 ms, and after the pause some 120 ms of work on
// them delays the searches that are still to be served.
//
// The other pattern: all backend servers are slower than the target. Late answers
// are then all that callers can get, and nothing may be cut short.

#include <LibGateway/WorkLimit.h>

#include <criterion/criterion.h>

namespace
{

constexpr Core::Duration Patience = Core::seconds(3);
constexpr Core::Duration UntilTarget = Core::milliseconds(174);
constexpr Core::Duration Usual = Core::milliseconds(20);
constexpr Core::Duration Limited = UntilTarget + Core::milliseconds(40);

/** Backend servers that all take the same time: sends a request each 10 ms and returns how many of them are answered in all. */
int answeredOf(int sends, Core::Duration service, Core::Duration usual)
{
    Gateway::WorkLimit limit;
    int answered = 0;
    for (int number = 0; number < sends; ++number) {
        const auto now = Core::Instant() + number * Core::milliseconds(10);
        const auto told = limit.timeFor(Patience, UntilTarget, usual, now);
        if (service <= told) {
            ++answered;
        }
        if (told < Patience) {
            service <= told ? limit.recordAnswered(now) : limit.recordTimeout(now);
        }
    }
    return answered;
}

}

Test(WorkLimit, tellsABackendServerWhenASearchWillHaveLeft)
{
    const Gateway::WorkLimit limit;
    cr_assert(limit.timeFor(Patience, UntilTarget, Usual, Core::Instant()) == Limited);
}

Test(WorkLimit, neverTellsMoreThanTheCallerHas)
{
    const Gateway::WorkLimit limit;
    cr_assert(limit.timeFor(Core::milliseconds(50), UntilTarget, Usual, Core::Instant()) == Core::milliseconds(50));
}

Test(WorkLimit, leavesAloneWhatIsSentForALateAnswer)
{
    const Gateway::WorkLimit limit;
    cr_assert(limit.timeFor(Patience, Core::milliseconds(10), Usual, Core::Instant()) == Patience);
    cr_assert(limit.timeFor(Patience, Core::milliseconds(-100), Usual, Core::Instant()) == Patience);
}

Test(WorkLimit, staysOnWhileFewAreCut)
{
    Gateway::WorkLimit limit;
    for (int number = 0; number < 1000; ++number) {
        const auto now = Core::Instant() + number * Core::milliseconds(10);
        number % 10 == 0 ? limit.recordTimeout(now) : limit.recordAnswered(now);
        cr_assert(limit.timeFor(Patience, UntilTarget, Usual, now) == Limited, "send %d", number);
    }
}

Test(WorkLimit, servesLateWhereEverybodyIsLate)
{
    constexpr int Sends = 2000;
    cr_assert_geq(answeredOf(Sends, Core::milliseconds(400), Usual), Sends * 9 / 10);
    // Once the usual latency shows it, nothing is cut at all.
    cr_assert_eq(answeredOf(Sends, Core::milliseconds(400), Core::milliseconds(400)), Sends);
}
