/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: backend servers near their capacity. A server that pauses for 250 ms
// accumulates up to 14 requests (2 slots, a queue of 12). Their searches are answered at
// 174 of 200 ms, so after the pause about 120 ms of work on them delays the searches that
// can still be served. Second scenario: all backend servers are slower than the target.
// Callers can only get late answers then, and no request may be cut short.

#include <LibGateway/WorkLimit.h>

#include <criterion/criterion.h>

namespace
{

constexpr Core::Duration CallerTimeout = Core::seconds(3);
constexpr Core::Duration TimeLeftToTarget = Core::milliseconds(174);
constexpr Core::Duration TypicalLatency = Core::milliseconds(20);
constexpr Core::Duration Limited = TimeLeftToTarget + Core::milliseconds(40);

/** Sends a request every 10 ms to backend servers that all take `service` for it. Returns how many requests were answered. */
int countAnswered(int sends, Core::Duration service, Core::Duration typicalLatency)
{
    Gateway::WorkLimit limit;
    int answered = 0;
    for (int number = 0; number < sends; ++number) {
        const auto now = Core::Instant() + number * Core::milliseconds(10);
        const auto limitSent = limit.timeFor(CallerTimeout, TimeLeftToTarget, typicalLatency, now);
        if (service <= limitSent) {
            ++answered;
        }
        if (limitSent < CallerTimeout) {
            service <= limitSent ? limit.recordAnswered(now) : limit.recordTimeout(now);
        }
    }
    return answered;
}

}

Test(WorkLimit, limitsAPartToTheTargetPlusGrace)
{
    const Gateway::WorkLimit limit;
    cr_assert(limit.timeFor(CallerTimeout, TimeLeftToTarget, TypicalLatency, Core::Instant()) == Limited);
}

Test(WorkLimit, neverExceedsTheTimeLeft)
{
    const Gateway::WorkLimit limit;
    cr_assert(limit.timeFor(Core::milliseconds(50), TimeLeftToTarget, TypicalLatency, Core::Instant()) == Core::milliseconds(50));
}

Test(WorkLimit, sendsThatMissTheTargetGetNoLimit)
{
    const Gateway::WorkLimit limit;
    cr_assert(limit.timeFor(CallerTimeout, Core::milliseconds(10), TypicalLatency, Core::Instant()) == CallerTimeout);
    cr_assert(limit.timeFor(CallerTimeout, Core::milliseconds(-100), TypicalLatency, Core::Instant()) == CallerTimeout);
}

Test(WorkLimit, appliesWhileFewSendsTimeOut)
{
    Gateway::WorkLimit limit;
    for (int number = 0; number < 1000; ++number) {
        const auto now = Core::Instant() + number * Core::milliseconds(10);
        number % 10 == 0 ? limit.recordTimeout(now) : limit.recordAnswered(now);
        cr_assert(limit.timeFor(CallerTimeout, TimeLeftToTarget, TypicalLatency, now) == Limited, "send %d", number);
    }
}

Test(WorkLimit, isLiftedWhenAllServersAreSlowerThanTheTarget)
{
    constexpr int Sends = 2000;
    cr_assert_geq(countAnswered(Sends, Core::milliseconds(400), TypicalLatency), Sends * 9 / 10);
    // Once the typical latency reflects it, no request gets a limit.
    cr_assert_eq(countAnswered(Sends, Core::milliseconds(400), Core::milliseconds(400)), Sends);
}
