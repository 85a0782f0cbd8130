/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which change of the members comes next.

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
};

struct Case {
    const char *what;
    std::vector<MemberState> members;
    std::optional<MemberChangeKind::type> kind;
    const char *member;
};

}

Test(MembershipPolicy, takesOneSafeStepAtATime)
{
    const std::vector<Case> cases{
        {"all is well", {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 0, 9}}, std::nullopt, ""},
        {"a voter is silent and nobody is there", {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 60, 5}}, std::nullopt, ""},
        {"its folder came back empty, the new one is not caught up",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 1, 5}, {"c2", "3", false, 0, 3}},
            std::nullopt,
            ""},
        {"it has caught up: it votes before the lost one goes",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 1, 5}, {"c2", "3", false, 0, 9}},
            MemberChangeKind::PROMOTE,
            "c2"},
        {"then the lost one goes",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 1, 5}, {"c2", "3", true, 0, 9}},
            MemberChangeKind::REMOVE,
            "c"},
        {"one at another address replaces a silent voter",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 5, 5}, {"d", "4", false, 0, 9}},
            MemberChangeKind::PROMOTE,
            "d"},
        {"a voter that was silent for a moment is kept",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 2, 5}, {"d", "4", false, 0, 9}},
            std::nullopt,
            ""},
        {"fewer voters than wanted", {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"d", "4", false, 0, 9}}, MemberChangeKind::PROMOTE, "d"},
        {"a learner that is long silent goes",
            {{"a", "1", true, 0, 9}, {"b", "2", true, 0, 9}, {"c", "3", true, 0, 9}, {"d", "4", false, 11, 9}},
            MemberChangeKind::REMOVE,
            "d"},
        {"two folders lost at one address: the older learner goes",
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
        const auto change = Coordinator::chooseMemberChange(view, {});
        cr_assert(change.has_value() == item.kind.has_value(), "%s", item.what);
        cr_assert(!change.has_value() || change->kind == item.kind.value(), "%s", item.what);
        cr_assert(!change.has_value() || change->member.name == item.member, "%s", item.what);
    }
}
