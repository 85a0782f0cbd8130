/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides, one membership change at a time, which coordinators vote in the
// replicated log. A coordinator that starts with an empty folder joins as a
// learner and replaces a voter that is silent, is being stopped, or has lost its
// folder. The replacement is one change (ReplicatedLog, M7), so that it never needs
// more votes than the voters before it did. Without side effects.

#pragma once

#include <LibCore/Time.h>
#include <LibProtocol/Generated/operator_types.h>

#include <functional>
#include <optional>

namespace Coordinator
{

/** The wanted number of voters, and the timeouts of membership changes. */
struct MembershipPolicyOptions {
    /** The wanted number of voters: twice the number of folders that may be lost at once, plus one. */
    std::size_t targetVoters{3};
    /**
     * A voter that sent no message for this long is replaced when a learner is ready. The replaced one becomes a learner, so a voter that was only paused costs
     * nothing.
     */
    Core::Duration replacementTimeout{Core::seconds(2)};
    /** A learner is ready to vote only if the leader received a message from it within this time. */
    Core::Duration learnerFreshness{Core::seconds(1)};
    /** A learner that sent no message for this long is removed. */
    Core::Duration learnerRemovalTimeout{Core::seconds(10)};
};

/** The leader's view of the members of the log. */
struct MembershipView {
    std::string leaderName;
    Protocol::Membership membership;
    std::int64_t commitIndex{0};
    /** Index up to which a member's log is known to match that of the leader. */
    std::function<std::int64_t(const std::string &name)> matchIndexOf;
    /** Time since the leader last received a message from a member. */
    std::function<Core::Duration(const std::string &name)> timeSinceContact;
    /** Whether a member has said that it is being stopped and has not been heard of since it ended. */
    std::function<bool(const std::string &name)> isLeaving;
};

/** Returns the next membership change, or nothing when none is needed. */
[[nodiscard]] std::optional<Protocol::MemberChange> chooseMemberChange(const MembershipView &view, const MembershipPolicyOptions &options);

}
