/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: every gateway loses power and opens its connections again while backend
// servers still count the old ones. In one such case, with servers that have a cap of 28
// (the heat network's search), the servers reset 3,667 connections in the following six
// seconds, and each reset cost a search one of its shards.

#include <LibGateway/ConnectionAllowance.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

namespace
{

/** A deployment: a backend server's connection cap, and the number of gateways per zone. */
struct Fleet {
    const char *name;
    int cap;
    std::vector<int> gatewaysInZone;
};

// Connection caps and instance counts of the users' deployments.
const std::vector<Fleet> fleets{
    {"heat network's search", 28, {4, 3, 4}},
    {"print bureau", 27, {4, 3, 3}},
    {"charging sessions", 26, {3, 3, 3}},
    {"heat network's search, grown", 56, {11, 11, 11, 11, 11, 12}},
    {"charging sessions, grown", 66, {15, 15, 15, 15, 15, 14}},
};

/** Returns the connections that all gateways together may hold to a server in one of the zones. */
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

// A gateway needs at least one connection. Where one per gateway already exceeds the cap, parts of searches are relayed to gateways in the servers' zones
// instead (RelayPlan), and the rejection backoff below bounds the connections that the other gateways try.
Test(ConnectionAllowance, connectionsOfARestartedFleetFitBesideTheOldOnes)
{
    for (const auto &fleet : fleets) {
        int all = 0;
        for (const int count : fleet.gatewaysInZone) {
            all += count;
        }
        for (std::size_t zone = 0; zone < fleet.gatewaysInZone.size(); ++zone) {
            const auto held = heldByAll(fleet, zone);
            const auto onePerGateway = static_cast<std::size_t>(all);
            const auto allowance = std::max(static_cast<std::size_t>(fleet.cap) * 6 / 10, onePerGateway + static_cast<std::size_t>(fleet.cap) * 3 / 10);
            cr_assert_leq(held, allowance, "%s: %zu of %d", fleet.name, held, fleet.cap);
        }
    }
}

Test(ConnectionAllowance, everyGatewayMayHoldOneConnection)
{
    cr_assert_eq(Gateway::connectionLimit({}, 28, false, {.all = 7000, .inZone = 333}), 1);
    cr_assert_eq(Gateway::connectionLimit({}, 1, true, {.all = 11, .inZone = 4}), 1);
}

Test(ConnectionAllowance, gatewaysInTheServersZoneGetALargerShare)
{
    const Gateway::GatewayCount gateways{.all = 11, .inZone = 3};
    cr_assert_gt(Gateway::connectionLimit({}, 130, true, gateways), Gateway::connectionLimit({}, 130, false, gateways));
}

// A gateway tries a server that is at its cap for six seconds about a dozen times, not with each search.
Test(ConnectionAllowance, aServerAtItsCapIsTriedWithBackoff)
{
    Gateway::RejectionBackoff backoff;
    const Gateway::RejectionBackoffOptions options;
    int attempts = 0;
    for (Core::Duration time(0); time < Core::seconds(6); time += Core::milliseconds(5)) {
        const Core::Instant now = Core::Instant() + time;
        if (backoff.hasElapsed(now)) {
            ++attempts;
            backoff.recordRejection(options, now);
        }
    }
    cr_assert_geq(attempts, 8);
    cr_assert_leq(attempts, 12);
}

Test(ConnectionAllowance, anAnswerResetsTheBackoff)
{
    Gateway::RejectionBackoff backoff;
    const Gateway::RejectionBackoffOptions options;
    Core::Instant now;
    for (int count = 0; count < 5; ++count) {
        backoff.recordRejection(options, now);
    }
    backoff.recordReply();
    backoff.recordRejection(options, now);
    cr_assert_not(backoff.hasElapsed(now));
    cr_assert(backoff.hasElapsed(now + options.initialDelay));
}

// Scenario: 89 gateways with less than one search per second each, which open a connection for one send in a few (the charging deployment, grown). A trial of
// each connection takes a round trip of up to 24 ms, against targets of 80 and 120 ms, and without any fault lowered the value of the answers to their
// callers by 0.038 (0.639 without trials, 0.601 with them).
Test(ConnectionAllowance, connectionsAreTriedOutOnlyAfterStartsAndResets)
{
    const Gateway::TrialOptions options;
    const Core::Instant start(Core::seconds(5));
    Gateway::TrialPeriod period(start);
    cr_assert(period.marginAt(options, start).has_value(), "after a power loss the old connections may still count");
    const auto calm = start + options.period;
    cr_assert_not(period.marginAt(options, calm).has_value());
    period.recordReset(calm);
    cr_assert(period.marginAt(options, calm).has_value());
    cr_assert_not(period.marginAt(options, calm + options.period).has_value());
}
