/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/MembershipPolicy.h>

#include <algorithm>

namespace Coordinator
{

namespace
{

/** Classifies single members by the policy. */
class MemberClassifier
{
public:
    MemberClassifier(const MembershipView &view, const MembershipPolicyOptions &options) : view(view), options(options)
    {
    }

    // When two members have the same address, the coordinator there joined again with an empty folder, so the folder of the earlier member is lost.
    [[nodiscard]] bool folderIsLost(const Protocol::Member &member) const
    {
        bool seenSelf = false;
        for (const auto &other : this->view.membership.members) {
            if (other.name == member.name) {
                seenSelf = true;
            } else if (seenSelf && other.peerAddress == member.peerAddress) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] bool isLostVoter(const Protocol::Member &member) const
    {
        const bool isOther = member.name != this->view.leaderName;
        const bool silent = this->view.timeSinceContact(member.name) >= this->options.replacementTimeout;
        return member.voter && isOther && (silent || this->view.isLeaving(member.name) || this->folderIsLost(member));
    }

    [[nodiscard]] bool isReadyLearner(const Protocol::Member &member) const
    {
        const bool fresh = this->view.timeSinceContact(member.name) <= this->options.learnerFreshness;
        const bool stays = !this->view.isLeaving(member.name) && !this->folderIsLost(member);
        return !member.voter && fresh && stays && this->view.matchIndexOf(member.name) >= this->view.commitIndex;
    }

    [[nodiscard]] bool isRemovableLearner(const Protocol::Member &member) const
    {
        const bool silent = this->view.timeSinceContact(member.name) >= this->options.learnerRemovalTimeout;
        return !member.voter && (silent || this->folderIsLost(member));
    }

private:
    const MembershipView &view;
    const MembershipPolicyOptions &options;
};

Protocol::MemberChange makeChange(Protocol::MemberChangeKind::type kind, const Protocol::Member &member)
{
    Protocol::MemberChange change;
    change.kind = kind;
    change.member = member;
    return change;
}

}

std::optional<Protocol::MemberChange> chooseMemberChange(const MembershipView &view, const MembershipPolicyOptions &options)
{
    const MemberClassifier classifier(view, options);
    const auto &members = view.membership.members;
    const auto lostVoter = std::find_if(members.begin(), members.end(), [&classifier](const auto &member) {
        return classifier.isLostVoter(member);
    });
    const auto isReadyLearner = [&classifier](const auto &member) {
        return classifier.isReadyLearner(member);
    };
    auto learner = std::find_if(members.begin(), members.end(), isReadyLearner);
    if (lostVoter != members.end()) {
        // The voters stay spread over the availability zones.
        const auto inSameZone = std::find_if(members.begin(), members.end(), [&isReadyLearner, &lostVoter](const auto &member) {
            return member.zone == lostVoter->zone && isReadyLearner(member);
        });
        learner = inSameZone != members.end() ? inSameZone : learner;
    }
    const auto voters = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto &member) {
        return member.voter;
    }));
    if (lostVoter != members.end() && voters > options.targetVoters) {
        return makeChange(Protocol::MemberChangeKind::REMOVE, *lostVoter);
    }
    if (lostVoter != members.end() && learner != members.end()) {
        auto change = makeChange(Protocol::MemberChangeKind::REPLACE, *lostVoter);
        change.successor = *learner;
        return change;
    }
    if (voters < options.targetVoters && learner != members.end()) {
        return makeChange(Protocol::MemberChangeKind::PROMOTE, *learner);
    }
    const auto removable = std::find_if(members.begin(), members.end(), [&classifier](const auto &member) {
        return classifier.isRemovableLearner(member);
    });
    if (removable != members.end()) {
        return makeChange(Protocol::MemberChangeKind::REMOVE, *removable);
    }
    return std::nullopt;
}

}
