/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides when a gateway that joins may grant from its quota shares. Gateways join and are
// cut off at any time, also while callers request many times their quota, and no window may
// exceed a quota. A keeper that is cut off may grant for seconds more, so a share changes its
// keeper safely only when the former one is known to have heard of it or must have stopped.
// Waiting for the latter each time would refuse all callers for 8 s after each restart,
// which is beyond the deadline of most of them, so contacts end the wait earlier. Pure.

#pragma once

#include <LibFleet/ContactSummary.h>

namespace Gateway
{

/** Times of a takeover. */
struct TakeoverOptions {
    /** The list with the new gateway reaches all connected gateways within this time. */
    Core::Duration propagationTime{Core::seconds(1)};
    /** Expected duration of the wait, which callers are told: propagation and the time in which a contact with each gateway becomes known. */
    Core::Duration expectedTime{Core::seconds(2)};
    /** Then no other gateway grants from these shares, whether or not it has been in contact: the propagation time and the time after which rule Q2 stops it.
     */
    Core::Duration maximumTime{Core::seconds(8)};
};

/** What ended, or may end, the wait. */
enum class TakeoverEnd {
    /** No other gateway is listed, as a coordinator stated that knows all of them. */
    NoOthers,
    /** Every other gateway was in contact with the coordinators after the list with this gateway had reached it. */
    Contacts,
    MaximumTime,
};

/** The wait of one gateway, from when it is listed and may hold shares. */
class TakeoverWait
{
public:
    explicit TakeoverWait(const TakeoverOptions &options);

    /** Whether this gateway is listed, may hold shares and knows other gateways. */
    void update(bool isMember, bool knowsOthers, Core::Instant now);
    void recordStatement(const Fleet::ContactStatement &statement, Core::Instant now);

    /** Whether shares may be granted from. Ends the wait when its time is over. */
    [[nodiscard]] bool isOver(Core::Instant now);
    /**
     * When the wait ended or, as far as is known, will end. Tokens from before this time belong to the former keepers. A wait that is confirmed ends earlier
     * than expected, so that no token is missing that a caller was told to return for.
     */
    [[nodiscard]] Core::Instant expectedEnd(Core::Instant now) const;
    [[nodiscard]] bool isMember() const;
    [[nodiscard]] std::optional<TakeoverEnd> end() const;
    /** When it began; only meaningful for a member. */
    [[nodiscard]] Core::Instant beganAt() const;
    /** The last statement since it began. */
    [[nodiscard]] const std::optional<Fleet::ContactStatement> &lastStatement() const;

private:
    void endAt(Core::Instant time, TakeoverEnd reason);

    TakeoverOptions options;
    // Start of the current uninterrupted period as a member.
    std::optional<Core::Instant> joinedAt;
    bool hasOthers{true};
    std::optional<Fleet::ContactStatement> statement;
    // Set together, when the wait is over.
    std::optional<Core::Instant> endedAt;
    std::optional<TakeoverEnd> endReason;
};

}
