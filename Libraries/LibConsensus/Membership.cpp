/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConsensus/Membership.h>

#include <algorithm>
#include <vector>

namespace Consensus
{

const Protocol::Member *findMember(const Protocol::Membership &membership, const std::string &name)
{
    for (const auto &member : membership.members) {
        if (member.name == name) {
            return &member;
        }
    }
    return nullptr;
}

bool isVoter(const Protocol::Membership &membership, const std::string &name, const std::string &storageId)
{
    const auto *member = findMember(membership, name);
    return member != nullptr && member->voter && member->storageId == storageId;
}

std::size_t voterCount(const Protocol::Membership &membership)
{
    const auto &members = membership.members;
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const Protocol::Member &member) {
        return member.voter;
    }));
}

std::size_t votersBefore(const Protocol::Membership &membership, const std::string &name)
{
    const auto &members = membership.members;
    const auto own = std::find_if(members.begin(), members.end(), [&name](const Protocol::Member &member) {
        return member.name == name;
    });
    return static_cast<std::size_t>(std::count_if(members.begin(), own, [](const Protocol::Member &member) {
        return member.voter;
    }));
}

bool isJoint(const Protocol::Membership &membership)
{
    return std::any_of(membership.members.begin(), membership.members.end(), [](const Protocol::Member &member) {
        return member.joining || member.leaving;
    });
}

Protocol::Membership finishReplacement(Protocol::Membership membership)
{
    for (auto &member : membership.members) {
        member.voter = member.voter && !member.leaving;
        member.joining = false;
        member.leaving = false;
    }
    return membership;
}

// The voters before a replacement and those after it. They are the same unless the membership is joint.
static std::vector<const Protocol::Member *> oldVoters(const Protocol::Membership &membership)
{
    std::vector<const Protocol::Member *> voters;
    for (const auto &member : membership.members) {
        if (member.voter && !member.joining) {
            voters.push_back(&member);
        }
    }
    return voters;
}

static std::vector<const Protocol::Member *> newVoters(const Protocol::Membership &membership)
{
    std::vector<const Protocol::Member *> voters;
    for (const auto &member : membership.members) {
        if (member.voter && !member.leaving) {
            voters.push_back(&member);
        }
    }
    return voters;
}

static std::int64_t majorityValue(
    const std::vector<const Protocol::Member *> &voters, const std::function<std::int64_t(const Protocol::Member &voter)> &valueOf)
{
    std::vector<std::int64_t> values;
    for (const auto *voter : voters) {
        values.push_back(valueOf(*voter));
    }
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

bool hasQuorum(const Protocol::Membership &membership, const std::function<bool(const Protocol::Member &voter)> &predicate)
{
    const auto agreement = quorumValue(membership, [&predicate](const Protocol::Member &voter) {
        return predicate(voter) ? 1 : 0;
    });
    return agreement > 0;
}

std::int64_t quorumValue(const Protocol::Membership &membership, const std::function<std::int64_t(const Protocol::Member &voter)> &valueOf)
{
    return std::min(majorityValue(oldVoters(membership), valueOf), majorityValue(newVoters(membership), valueOf));
}

static MembershipProposal refuse(std::string reason)
{
    return MembershipProposal{.membership = std::nullopt, .refusal = std::move(reason)};
}

static bool matchesMember(const Protocol::Member &member, const Protocol::Member &wanted)
{
    return member.name == wanted.name && (wanted.storageId.empty() || member.storageId == wanted.storageId);
}

static MembershipProposal addLearner(Protocol::Membership membership, const Protocol::Member &member)
{
    if (member.name.empty() || member.storageId.empty() || member.peerAddress.empty()) {
        return refuse("a new member needs a name, a storage id and a peer address");
    }
    if (findMember(membership, member.name) != nullptr) {
        return refuse("a member named " + member.name + " already exists; remove it first");
    }
    membership.members.push_back(member);
    membership.members.back().voter = false;
    return MembershipProposal{.membership = std::move(membership), .refusal = {}};
}

static MembershipProposal promoteLearner(Protocol::Membership membership, const Protocol::Member &wanted)
{
    for (auto &member : membership.members) {
        if (matchesMember(member, wanted)) {
            if (member.voter) {
                return refuse(member.name + " is already a voter");
            }
            member.voter = true;
            return MembershipProposal{.membership = std::move(membership), .refusal = {}};
        }
    }
    return refuse("no member named " + wanted.name + " has this data folder");
}

static MembershipProposal replaceVoter(Protocol::Membership membership, const Protocol::Member &wanted, const Protocol::Member &successor)
{
    Protocol::Member *leaving = nullptr;
    Protocol::Member *joining = nullptr;
    for (auto &member : membership.members) {
        if (member.voter && matchesMember(member, wanted)) {
            leaving = &member;
        } else if (!member.voter && matchesMember(member, successor)) {
            joining = &member;
        }
    }
    if (leaving == nullptr || joining == nullptr) {
        return refuse(wanted.name + " is not a voter, or " + successor.name + " is not a learner, with this data folder");
    }
    leaving->leaving = true;
    joining->voter = true;
    joining->joining = true;
    return MembershipProposal{.membership = std::move(membership), .refusal = {}};
}

static MembershipProposal removeMember(Protocol::Membership membership, const Protocol::Member &wanted)
{
    const auto removed = std::erase_if(membership.members, [&wanted](const Protocol::Member &member) {
        return matchesMember(member, wanted);
    });
    if (removed == 0) {
        return refuse("no member named " + wanted.name + " has this data folder");
    }
    if (voterCount(membership) == 0) {
        return refuse("the last voter cannot be removed");
    }
    return MembershipProposal{.membership = std::move(membership), .refusal = {}};
}

MembershipProposal applyChange(const Protocol::Membership &membership, const Protocol::MemberChange &change)
{
    if (isJoint(membership)) {
        return refuse("a voter is being replaced");
    }
    switch (change.kind) {
    case Protocol::MemberChangeKind::ADD:
        return addLearner(membership, change.member);
    case Protocol::MemberChangeKind::PROMOTE:
        return promoteLearner(membership, change.member);
    case Protocol::MemberChangeKind::REMOVE:
        return removeMember(membership, change.member);
    case Protocol::MemberChangeKind::REPLACE:
        return replaceVoter(membership, change.member, change.successor);
    }
    return refuse("unknown kind of membership change");
}

}
