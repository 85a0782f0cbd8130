/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Questions about who is a member and what makes a quorum.

#pragma once

#include <LibProtocol/Generated/operator_types.h>

#include <functional>
#include <optional>
#include <string>

namespace Consensus
{

/** The member with this name, or nullptr. */
[[nodiscard]] const Protocol::Member *findMember(const Protocol::Membership &membership, const std::string &name);

/** Whether the name with this very data folder is a voter. */
[[nodiscard]] bool isVoter(const Protocol::Membership &membership, const std::string &name, const std::string &storageId);

[[nodiscard]] std::size_t voterCount(const Protocol::Membership &membership);

/** How many voters stand before the one with this name in the membership. */
[[nodiscard]] std::size_t votersBefore(const Protocol::Membership &membership, const std::string &name);

/** The smallest number of voters that is more than half of them. */
[[nodiscard]] std::size_t quorumSize(const Protocol::Membership &membership);

/** Whether the voters for which the question is answered with yes make a quorum. Never without voters. */
[[nodiscard]] bool hasQuorum(const Protocol::Membership &membership, const std::function<bool(const Protocol::Member &voter)> &question);

/** The highest value that a quorum of the voters has reached. */
[[nodiscard]] std::int64_t quorumValue(const Protocol::Membership &membership, const std::function<std::int64_t(const Protocol::Member &voter)> &valueOf);

/** The members after a change, or nothing with the reason why the change is refused. */
struct MembershipProposal {
    std::optional<Protocol::Membership> membership;
    std::string refusal;
};

/** Carries out a change on a copy. */
[[nodiscard]] MembershipProposal applyChange(const Protocol::Membership &membership, const Protocol::MemberChange &change);

}
