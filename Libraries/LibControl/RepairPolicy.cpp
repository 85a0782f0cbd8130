/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibControl/RepairPolicy.h>

namespace Control
{

static const Protocol::Member *findLostVoter(const RepairView &view, const RepairOptions &options)
{
    for (const auto &member : view.membership.members) {
        const bool isOther = member.name != view.leaderName;
        if (member.voter && isOther && view.timeSinceContact(member.name) >= options.replaceAfter) {
            return &member;
        }
    }
    return nullptr;
}

static const Protocol::Member *findStandby(const RepairView &view, const RepairOptions &options)
{
    for (const auto &member : view.membership.members) {
        const bool reachable = view.timeSinceContact(member.name) <= options.standbyContactTimeout;
        if (!member.voter && reachable && view.matchIndexOf(member.name) >= view.commitIndex) {
            return &member;
        }
    }
    return nullptr;
}

// A repair whose standby has been promoted, but whose lost voter has not been removed, leaves an even number of voters.
static bool standbyWasPromoted(const RepairView &view)
{
    std::size_t voters = 0;
    for (const auto &member : view.membership.members) {
        voters += member.voter ? 1 : 0;
    }
    return voters % 2 == 0;
}

static Protocol::MemberChange makeChange(Protocol::MemberChangeKind::type kind, const Protocol::Member &member)
{
    Protocol::MemberChange change;
    change.kind = kind;
    change.member = member;
    return change;
}

std::optional<Protocol::MemberChange> chooseRepair(const RepairView &view, const RepairOptions &options)
{
    const auto *lost = findLostVoter(view, options);
    if (lost == nullptr) {
        return std::nullopt;
    }
    if (standbyWasPromoted(view)) {
        return makeChange(Protocol::MemberChangeKind::REMOVE, *lost);
    }
    const auto *standby = findStandby(view, options);
    if (standby == nullptr) {
        return std::nullopt;
    }
    return makeChange(Protocol::MemberChangeKind::PROMOTE, *standby);
}

}
