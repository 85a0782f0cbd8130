/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Delayed replies to a pre-vote. They arrive after the requesting member has received a heartbeat from a leader and has started another
// pre-vote. Such a reply was given before the leader was known; a member that counted it could displace a healthy leader.

#include <LibConsensus/ReplicatedLog.h>
#include <Support/FakeFolder.h>
#include <Support/ManualTime.h>

#include <criterion/criterion.h>

using Protocol::LogMessage;
using Protocol::MessageKind;

namespace
{

/** One member of a log of three. The test takes the part of the other two. */
class SingleMember
{
public:
    SingleMember() : writeAheadLog(Storage::WriteAheadLog::create(this->folder).value())
    {
        Consensus::ReplicatedLogOptions options;
        options.identity.name = "own";
        options.electionTimeout = Timeout;
        options.seed = 1;
        Consensus::ReplicatedLogHooks hooks;
        hooks.send = [this](const Protocol::Member &receiver, LogMessage message) {
            if (receiver.name == "voter") {
                this->sentToVoter.push_back(std::move(message));
            }
        };
        hooks.apply = [](const Protocol::LogEntry &) {
        };
        hooks.takeSnapshot = [] {
            return std::string();
        };
        hooks.restoreSnapshot = [](const std::string &) {
            return Core::Result<void>();
        };
        hooks.flushNeeded = [] {
        };
        this->log = Consensus::ReplicatedLog::create(options, std::move(hooks), *this->writeAheadLog, this->time.now()).value();
        Protocol::Membership membership;
        membership.members.push_back(this->log->identity());
        for (const auto *name : {"voter", "leader"}) {
            membership.members.emplace_back();
            membership.members.back().name = name;
            membership.members.back().storageId = name;
        }
        for (auto &member : membership.members) {
            member.voter = true;
        }
        cr_assert(this->log->bootstrap(membership).has_value());
    }

    /** Lets the election timeout pass without a message from a leader. Returns the pre-vote request that the member sends to the voter. */
    LogMessage startPreVote()
    {
        this->sentToVoter.clear();
        this->time.advance(2 * Timeout);
        this->log->tick(this->time.now());
        cr_assert_eq(this->sentToVoter.size(), 1);
        cr_assert_eq(this->sentToVoter.back().kind, MessageKind::PRE_VOTE_REQUEST);
        return this->sentToVoter.back();
    }

    /** The voter's reply that grants a pre-vote request. */
    [[nodiscard]] LogMessage grantReply(const LogMessage &preVoteRequest) const
    {
        LogMessage reply = this->messageFrom("voter", MessageKind::PRE_VOTE_REPLY);
        reply.term = preVoteRequest.term;
        reply.round = preVoteRequest.round;
        reply.granted = true;
        return reply;
    }

    void receive(const LogMessage &message)
    {
        this->log->receive(message, this->time.now());
    }

    void receiveHeartbeat()
    {
        LogMessage heartbeat = this->messageFrom("leader", MessageKind::APPEND_REQUEST);
        heartbeat.term = this->log->term();
        heartbeat.previousIndex = 1;
        heartbeat.previousTerm = 1;
        this->receive(heartbeat);
        cr_assert_eq(this->log->role(), Consensus::Role::Follower);
    }

    static constexpr Core::Duration Timeout = Core::milliseconds(500);
    TestSupport::ManualTime time;
    TestSupport::FakeFolder folder;
    std::unique_ptr<Storage::WriteAheadLog> writeAheadLog;
    std::unique_ptr<Consensus::ReplicatedLog> log;
    std::vector<LogMessage> sentToVoter;

private:
    [[nodiscard]] LogMessage messageFrom(const std::string &name, MessageKind::type kind) const
    {
        LogMessage message;
        message.kind = kind;
        message.sender = name;
        message.storageId = name;
        message.receiverStorageId = this->log->identity().storageId;
        return message;
    }
};

}

Test(LateVotes, replyToTheCurrentPreVoteIsCounted)
{
    SingleMember member;
    const auto preVoteRequest = member.startPreVote();
    member.receive(member.grantReply(preVoteRequest));
    cr_assert_eq(member.log->role(), Consensus::Role::Candidate);
}

Test(LateVotes, replyToAnEarlierPreVoteIsIgnored)
{
    SingleMember member;
    const auto earlierRequest = member.startPreVote();
    member.receiveHeartbeat();
    const auto term = member.log->term();
    (void)member.startPreVote();
    member.receive(member.grantReply(earlierRequest));
    cr_assert_eq(member.log->role(),
        Consensus::Role::PreCandidate,
        "the voter has not replied to this pre-vote, but the member is %s",
        Consensus::roleName(member.log->role()));
    cr_assert_eq(member.log->term(), term);
}
