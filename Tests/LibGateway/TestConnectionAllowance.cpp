/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The load pattern: every gateway loses power and opens its connections anew,
// while backend servers still count the old ones. On scale-2 of the heat network's
// search, servers with a cap of 28 reset 3,667 connections in the six seconds after
// it, and each reset cost a search one of its shards.

#include <LibGateway/ConnectionAllowance.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

namespace
{

/** A deployment: a backend server's cap, and gateways by zone. */
struct Fleet {
    const char *name;
    int cap;
    std::vector<int> gatewaysInZone;
};

// Caps and instances as the users' pages give them.
const std::vector<Fleet> fleets{
    {"heat network's search", 28, {4, 3, 4}},
    {"print bureau", 27, {4, 3, 3}},
    {"charging sessions", 26, {3, 3, 3}},
    {"heat network's search, grown", 56, {11, 11, 11, 11, 11, 12}},
    {"charging sessions, grown", 66, {15, 15, 15, 15, 15, 14}},
};

/** The connections that all gateways may hold to a server in one of the zones. */
std::size_t heldByAll(const Fleet &fleet, std::size_t serverZone)
{
    int all = 0;
    for (const int count : fleet.gatewaysInZone) {
        all += count;
    }
    std::size_t held = 0;
    for (std::size_t zone = 0; zone < fleet.gatewaysInZone.size(); ++zone) {
        const int inZone = fleet.gatewaysInZone[zone];
        const auto each = Gateway::connectionLimit({}, fleet.cap, zone == serverZone, {.all = all, .inZone = inZone});
        held += static_cast<std::size_t>(inZone) * each;
    }
    return held;
}

}

// A connection each is the least that a gateway can do with. Where that alone is more than the cap, parts of searches go to gateways beside the
// servers instead (RelayPlan), and the pause below bounds what the others try.
Test(ConnectionAllowance, aNewGenerationFitsBesideTheOldOne)
{
    for (const auto &fleet : fleets) {
        int all = 0;
        for (const int count : fleet.gatewaysInZone) {
            all += count;
        }
        for (std::size_t zone = 0; zone < fleet.gatewaysInZone.size(); ++zone) {
            const auto held = heldByAll(fleet, zone);
            const auto leastPossible = static_cast<std::size_t>(all);
            const auto allowance = std::max(static_cast<std::size_t>(fleet.cap) * 6 / 10, leastPossible + static_cast<std::size_t>(fleet.cap) * 3 / 10);
            cr_assert_leq(held, allowance, "%s: %zu of %d", fleet.name, held, fleet.cap);
        }
    }
}

Test(ConnectionAllowance, everyGatewayMayHoldOne)
{
    cr_assert_eq(Gateway::connectionLimit({}, 28, false, {.all = 7000, .inZone = 333}), 1);
    cr_assert_eq(Gateway::connectionLimit({}, 1, true, {.all = 11, .inZone = 4}), 1);
}

Test(ConnectionAllowance, nearGatewaysShareMore)
{
    const Gateway::GatewayCount gateways{.all = 11, .inZone = 3};
    cr_assert_gt(Gateway::connectionLimit({}, 130, true, gateways), Gateway::connectionLimit({}, 130, false, gateways));
}

// A server that is full for six seconds is tried a dozen times by a gateway and not with each search.
Test(ConnectionAllowance, aFullServerIsTriedNowAndThen)
{
    Gateway::RejectionBackoff pause;
    const Gateway::RejectionBackoffOptions options;
    int tries = 0;
    for (Core::Duration time(0); time < Core::seconds(6); time += Core::milliseconds(5)) {
        const Core::Instant now = Core::Instant() + time;
        if (pause.isOver(now)) {
            ++tries;
            pause.recordRejection(options, now);
        }
    }
    cr_assert_geq(tries, 8);
    cr_assert_leq(tries, 12);
}

Test(ConnectionAllowance, anAnswerEndsTheDoubling)
{
    Gateway::RejectionBackoff pause;
    const Gateway::RejectionBackoffOptions options;
    Core::Instant now;
    for (int count = 0; count < 5; ++count) {
        pause.recordRejection(options, now);
    }
    pause.recordReply();
    pause.recordRejection(options, now);
    cr_assert_not(pause.isOver(now));
    cr_assert(pause.isOver(now + options.firstPause));
}

// The grown charging host: 89 gateways with less than one search a second each open a connection for one send in a few. A trial of each, a round
// trip of up to 24 ms against targets of 80 and 120 ms, cost its calm day 0.038 of its worth (0.639 without, 0.601 with it).
Test(ConnectionAllowance, connectionsAreTriedOutOnlyWhileServersMayBeFull)
{
    const Gateway::TrialOptions options;
    const Core::Instant start(Core::seconds(5));
    Gateway::TrialPeriod period(start);
    cr_assert(period.marginAt(options, start).has_value(), "after a loss of power the old connections may still count");
    const auto calm = start + options.period;
    cr_assert_not(period.marginAt(options, calm).has_value());
    period.recordReset(calm);
    cr_assert(period.marginAt(options, calm).has_value());
    cr_assert_not(period.marginAt(options, calm + options.period).has_value());
}
