/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Answers of voters that come late, when the member that asked has heard from a
// leader meanwhile and asks anew. What a voter said before that leader was heard
// of says nothing of now, and a pre-vote that counts it unseats a sound leader.

#include <LibConsensus/ReplicatedLog.h>
#include <Support/FakeFolder.h>
#include <Support/ManualTime.h>

#include <criterion/criterion.h>

using Protocol::LogMessage;
using Protocol::MessageKind;

namespace
{

/** One member of a log of three; a test plays the other two. */
class LoneMember
{
public:
    LoneMember() : writeAheadLog(Storage::WriteAheadLog::create(this->folder).value())
    {
        Consensus::ReplicatedLogOptions options;
        options.identity.name = "own";
        options.electionTimeout = Timeout;
        options.seed = 1;
        Consensus::ReplicatedLogHooks hooks;
        hooks.send = [this](const Protocol::Member &receiver, LogMessage message) {
            if (receiver.name == "voter") {
                this->toVoter.push_back(std::move(message));
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

    /** Lets its election timeout pass without a word from a leader. Returns what it asks the voter. */
    LogMessage standsAndAsks()
    {
        this->toVoter.clear();
        this->time.advance(2 * Timeout);
        this->log->tick(this->time.now());
        cr_assert_eq(this->toVoter.size(), 1);
        cr_assert_eq(this->toVoter.back().kind, MessageKind::PRE_VOTE_REQUEST);
        return this->toVoter.back();
    }

    /** The voter's yes to a question. */
    [[nodiscard]] LogMessage yesTo(const LogMessage &question) const
    {
        LogMessage reply = this->messageFrom("voter", MessageKind::PRE_VOTE_REPLY);
        reply.term = question.term;
        reply.round = question.round;
        reply.granted = true;
        return reply;
    }

    void receive(const LogMessage &message)
    {
        this->log->receive(message, this->time.now());
    }

    void hearsLeader()
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
    std::vector<LogMessage> toVoter;

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

Test(LateVotes, anAnswerToThePreVoteUnderWayCounts)
{
    LoneMember member;
    const auto question = member.standsAndAsks();
    member.receive(member.yesTo(question));
    cr_assert_eq(member.log->role(), Consensus::Role::Candidate);
}

Test(LateVotes, anAnswerToAnEarlierPreVoteCountsForNothing)
{
    LoneMember member;
    const auto earlier = member.standsAndAsks();
    member.hearsLeader();
    const auto term = member.log->term();
    (void)member.standsAndAsks();
    member.receive(member.yesTo(earlier));
    cr_assert_eq(member.log->role(),
        Consensus::Role::PreCandidate,
        "the voter has not answered this pre-vote, but the member is %s",
        Consensus::roleName(member.log->role()));
    cr_assert_eq(member.log->term(), term);
}
