/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides when the leader replaces a voter that it can't reach by a standby, a member without a vote.

#pragma once

#include <LibCore/Time.h>
#include <LibProtocol/Generated/operator_types.h>

#include <functional>
#include <optional>

namespace Control
{

/** Time limits of the repair. */
struct RepairOptions {
    /** A voter counts as lost when the leader has received no message from it for this time. */
    Core::Duration replaceAfter{Core::seconds(60)};
    /** A standby is eligible only when the leader has received a message from it within this time. */
    Core::Duration standbyContactTimeout{Core::seconds(2)};
};

/** What the leader knows of the other members. */
struct RepairView {
    std::string leaderName;
    Protocol::Membership membership;
    std::int64_t commitIndex{0};
    std::function<std::int64_t(const std::string &name)> matchIndexOf;
    std::function<Core::Duration(const std::string &name)> timeSinceContact;
};

/**
 * The next step of a repair, or nothing when none is due. A standby is promoted to a voter before the lost voter is removed. Between the two
 * steps at least as many instances as before hold the log, and a second loss right after the repair finds a complete quorum.
 */
[[nodiscard]] std::optional<Protocol::MemberChange> chooseRepair(const RepairView &view, const RepairOptions &options);

}
