/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the quorums of a joint membership, in which one voter replaces another. They guard against two quorums without a common voter, and against a
// replacement that needs more of the voters that run than the membership before it did.

#include <LibConsensus/Membership.h>

#include <criterion/criterion.h>
#include <set>

using Consensus::hasQuorum;
using Protocol::Membership;

namespace
{

constexpr unsigned AllMembers = 1U << 5U;

/** Members a, b, c, … of which the first `voters` vote. */
Membership makeMembership(std::size_t members, std::size_t voters)
{
    Membership membership;
    for (std::size_t index = 0; index < members; ++index) {
        Protocol::Member member;
        member.name = std::string(1, static_cast<char>('a' + index));
        member.storageId = "folder-" + member.name;
        member.peerAddress = member.name;
        member.voter = index < voters;
        membership.members.push_back(member);
    }
    return membership;
}

Consensus::MembershipProposal replace(const Membership &membership, const std::string &name, const std::string &successor)
{
    Protocol::MemberChange change;
    change.kind = Protocol::MemberChangeKind::REPLACE;
    change.member.name = name;
    change.successor.name = successor;
    return Consensus::applyChange(membership, change);
}

/** Whether the members in a set, one bit each, contain a quorum. */
bool isQuorum(const Membership &membership, unsigned set)
{
    return hasQuorum(membership, [set](const Protocol::Member &voter) {
        return ((set >> static_cast<unsigned>(voter.name[0] - 'a')) & 1U) != 0;
    });
}

bool haveCommonVoterInAllQuorums(const Membership &left, const Membership &right)
{
    for (unsigned first = 0; first < AllMembers; ++first) {
        for (unsigned second = 0; second < AllMembers; ++second) {
            if ((first & second) == 0 && isQuorum(left, first) && isQuorum(right, second)) {
                return false;
            }
        }
    }
    return true;
}

}

Test(Replacement, consecutiveMembershipsShareAVoterInEveryPairOfQuorums)
{
    for (const std::size_t voters : {1U, 3U, 4U}) {
        const auto before = makeMembership(voters + 1, voters);
        const auto joint = replace(before, "a", std::string(1, static_cast<char>('a' + voters))).membership.value();
        const auto after = Consensus::finishReplacement(joint);
        cr_assert(haveCommonVoterInAllQuorums(before, joint));
        cr_assert(haveCommonVoterInAllQuorums(joint, joint));
        cr_assert(haveCommonVoterInAllQuorums(joint, after));
        cr_assert_eq(Consensus::voterCount(after), voters);
        cr_assert_not(Consensus::isJoint(after));
    }
    // Without the joint membership in between there would be none.
    const auto before = makeMembership(4, 3);
    cr_assert_not(haveCommonVoterInAllQuorums(before, Consensus::finishReplacement(replace(before, "a", "d").membership.value())));
}

Test(Replacement, needsNoMoreVotersThanBefore)
{
    const auto before = makeMembership(4, 3);
    const auto joint = replace(before, "a", "d").membership.value();
    // "a" has ended: the two that run are enough in each state, with or without the successor.
    for (const unsigned running : {0b0110U, 0b1110U}) {
        cr_assert(isQuorum(before, running));
        cr_assert(isQuorum(joint, running));
        cr_assert(isQuorum(Consensus::finishReplacement(joint), running));
    }
    // While all run, any one of them may be lost.
    for (unsigned lost = 0; lost < 4; ++lost) {
        cr_assert(isQuorum(joint, 0b1111U & ~(1U << lost)));
    }
}

Test(Replacement, isOneChangeAtATime)
{
    const auto before = makeMembership(5, 3);
    cr_assert_not(replace(before, "a", "b").membership.has_value(), "a voter replaces nobody");
    cr_assert_not(replace(before, "d", "e").membership.has_value(), "a learner is not replaced");
    cr_assert_not(replace(before, "a", "x").membership.has_value());
    const auto joint = replace(before, "a", "d").membership.value();
    cr_assert_not(replace(joint, "b", "e").membership.has_value());
    cr_assert_eq(Consensus::quorumValue(joint,
                     [](const Protocol::Member &voter) {
                         return voter.name == "a" || voter.name == "b" ? 5 : 3;
                     }),
        3,
        "the old voters alone commit nothing");
}
