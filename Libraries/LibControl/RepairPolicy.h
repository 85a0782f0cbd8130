/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides when the leader replaces a voter that it has lost by a standby.

#pragma once

#include <LibCore/Time.h>
#include <LibProtocol/Generated/operator_types.h>

#include <functional>
#include <optional>

namespace Control
{

/** How patient the repair is. */
struct RepairOptions {
    /** A voter that was silent for this long counts as lost. */
    Core::Duration replaceAfter{Core::seconds(60)};
    /** A standby has to have been heard within this time. */
    Core::Duration standbyFreshness{Core::seconds(2)};
};

/** What the leader knows of its peers. */
struct RepairView {
    std::string leaderName;
    Protocol::Membership membership;
    std::int64_t commitIndex{0};
    std::function<std::int64_t(const std::string &name)> matchIndexOf;
    std::function<Core::Duration(const std::string &name)> timeSinceContact;
};

/**
 * The next step, or nothing. A standby becomes a voter before the lost voter
 * is taken out, so that between the two steps the log is held by at least as
 * many instances as before, and a second loss right after the repair meets a
 * whole quorum.
 */
[[nodiscard]] std::optional<Protocol::MemberChange> chooseRepair(const RepairView &view, const RepairOptions &options);

}
