/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the choice of the next membership change.

#include <LibCoordinator/MembershipPolicy.h>

#include <criterion/criterion.h>

using Protocol::MemberChangeKind;

namespace
{

struct MemberState {
    const char *name;
    const char *address;
    bool voter;
    int silentSeconds;
    std::int64_t matchIndex;
    bool leaving{false};
};

struct Case {
    const char *description;
    std::vector<MemberState> members;
    std::optional<MemberChangeKind::type> kind;
    const char *member;
    const char *successor{""};
};

}

// Guards against a change that needs the votes of more coordinators than run: a voter that was replaced by adding its successor first and removing it later
// made four voters in between, of which one no longer ran.
Test(MembershipPolicy, replacesALostVoterByOneChange)
{
    const std::vector<Case> cases{
        {"three voters are reachable", {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 0, 9}}, std::nullopt, ""},
        {"a voter is silent and there is no learner", {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 60, 5}}, std::nullopt, ""},
        {"a voter lost its folder and the learner at its address has not caught up",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 1, 5}, {"c2", "3", false, 0, 3}},
            std::nullopt,
            ""},
        {"a learner that has caught up replaces the voter that lost its folder",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 1, 5}, {"c2", "3", false, 0, 9}},
            MemberChangeKind::REPLACE,
            "c",
            "c2"},
        {"a lost voter is removed when there are too many voters",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 1, 5}, {"c2", "3", true, 0, 9}},
            MemberChangeKind::REMOVE,
            "c"},
        {"a learner at another address replaces a silent voter",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 5, 5}, {"d", "4", false, 0, 9}},
            MemberChangeKind::REPLACE,
            "c",
            "d"},
        {"a voter that is being stopped is replaced without waiting for its silence",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 0, 9, true}, {"d", "4", false, 0, 9}},
            MemberChangeKind::REPLACE,
            "c",
            "d"},
        {"a learner that is being stopped replaces nobody",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 5, 5}, {"d", "4", false, 0, 9, true}},
            std::nullopt,
            ""},
        {"a voter that is being stopped remains while there is no learner",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 0, 9, true}},
            std::nullopt,
            ""},
        {"a voter that was silent for less than the timeout remains",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 1, 5}, {"d", "4", false, 0, 9}},
            std::nullopt,
            ""},
        {"a learner is promoted when there are too few voters",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"d", "4", false, 0, 9}},
            MemberChangeKind::PROMOTE,
            "d"},
        {"a learner that exceeds the timeout is removed",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 0, 9}, {"d", "4", false, 11, 9}},
            MemberChangeKind::REMOVE,
            "d"},
        {"of two learners at one address the earlier one is removed",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 0, 9}, {"d", "4", false, 1, 9}, {"d2", "4", false, 0, 2}},
            MemberChangeKind::REMOVE,
            "d"},
    };
    for (const auto &item : cases) {
        Coordinator::MembershipView view;
        view.leaderName = "a";
        view.commitIndex = 9;
        for (const auto &state : item.members) {
            Protocol::Member member;
            member.name = state.name;
            member.peerAddress = state.address;
            member.voter = state.voter;
            view.membership.members.push_back(member);
        }
        const auto stateOf = [&item](const std::string &name) {
            return *std::find_if(item.members.begin(), item.members.end(), [&name](const auto &state) {
                return name == state.name;
            });
        };
        view.matchIndexOf = [&stateOf](const std::string &name) {
            return stateOf(name).matchIndex;
        };
        view.timeSinceContact = [&stateOf](const std::string &name) -> Core::Duration {
            return Core::seconds(stateOf(name).silentSeconds);
        };
        view.isLeaving = [&stateOf](const std::string &name) {
            return stateOf(name).leaving;
        };
        const auto change = Coordinator::chooseMemberChange(view, {});
        cr_assert(change.has_value() == item.kind.has_value(), "%s", item.description);
        cr_assert(!change.has_value() || change->kind == item.kind.value(), "%s", item.description);
        cr_assert(!change.has_value() || change->member.name == item.member, "%s", item.description);
        cr_assert(!change.has_value() || change->successor.name == item.successor, "%s", item.description);
    }
}
