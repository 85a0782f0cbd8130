/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides, one step at a time, which coordinators vote. A coordinator that comes
// with an empty folder joins as a learner and takes the place of the voter whose
// folder was lost. Pure.

#pragma once

#include <LibCore/Time.h>
#include <LibProtocol/Generated/operator_types.h>

#include <functional>
#include <optional>

namespace Coordinator
{

/** How many vote, and how patient changes are. */
struct MembershipPolicyOptions {
    /** Twice the number of folders that may be lost at once, and one. */
    std::size_t targetVoters{3};
    /** A voter that was silent for this long is replaced when a learner is there. Longer than a restart takes. */
    Core::Duration replaceAfter{Core::seconds(4)};
    /** A learner has to have been heard within this time. */
    Core::Duration learnerFreshness{Core::seconds(1)};
    /** A learner that was silent for this long is taken out. */
    Core::Duration forgetLearnerAfter{Core::seconds(10)};
};

/** What the leader knows of its peers. */
struct MembershipView {
    std::string leaderName;
    Protocol::Membership membership;
    std::int64_t commitIndex{0};
    std::function<std::int64_t(const std::string &name)> matchIndexOf;
    std::function<Core::Duration(const std::string &name)> timeSinceContact;
};

/** The next change, or nothing. */
[[nodiscard]] std::optional<Protocol::MemberChange> chooseMemberChange(const MembershipView &view, const MembershipPolicyOptions &options);

}
