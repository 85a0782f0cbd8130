/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Lookups in a membership, quorum calculations, and the changes that a membership can undergo.

#pragma once

#include <LibProtocol/Generated/operator_types.h>

#include <functional>
#include <optional>
#include <string>

namespace Consensus
{

/** The member with this name, or nullptr. */
[[nodiscard]] const Protocol::Member *findMember(const Protocol::Membership &membership, const std::string &name);

/** Whether the member with this name and this storage id is a voter. A member of the same name with another data folder is not. */
[[nodiscard]] bool isVoter(const Protocol::Membership &membership, const std::string &name, const std::string &storageId);

/** The number of voters; a joint membership, in which one voter replaces another, has one more than before and afterwards. */
[[nodiscard]] std::size_t voterCount(const Protocol::Membership &membership);

/** Whether one voter is replacing another, so that a quorum of the old and one of the new voters are needed. */
[[nodiscard]] bool isJoint(const Protocol::Membership &membership);

/** The membership that follows a joint one: the joining voter has taken the place of the leaving one, which is a learner. */
[[nodiscard]] Protocol::Membership finishReplacement(Protocol::Membership membership);

/** The number of voters listed before the member with this name. */
[[nodiscard]] std::size_t votersBefore(const Protocol::Membership &membership, const std::string &name);

/** Whether the voters that satisfy the predicate are a quorum, in a joint membership of both the old and the new voters. False without voters. */
[[nodiscard]] bool hasQuorum(const Protocol::Membership &membership, const std::function<bool(const Protocol::Member &voter)> &predicate);

/** The highest value that a quorum of the voters has reached, in a joint membership both quorums; 0 for a membership without voters. */
[[nodiscard]] std::int64_t quorumValue(const Protocol::Membership &membership, const std::function<std::int64_t(const Protocol::Member &voter)> &valueOf);

/** The membership after a change, or nothing and the reason why the change is rejected. */
struct MembershipProposal {
    std::optional<Protocol::Membership> membership;
    std::string refusal;
};

/** Applies a change to a copy of the membership. */
[[nodiscard]] MembershipProposal applyChange(const Protocol::Membership &membership, const Protocol::MemberChange &change);

}
