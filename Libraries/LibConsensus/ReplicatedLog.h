/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The replicated log: elections, replication and proof of leadership. Pure: it
// is told the time and the messages, and asks for messages to be sent. The
// numbered rules in docs/REPLICATED-LOG.md are quoted where they are carried out.

#pragma once

#include <LibConsensus/LogStore.h>
#include <LibConsensus/ReadIndexRequests.h>
#include <LibCore/Time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Consensus
{

/** What an instance is at the moment. */
enum class Role {
    Follower,
    /** Asks whether an election could be won, without a new term. */
    PreCandidate,
    Candidate,
    Leader,
    /** Storage failed; takes part in nothing until the process is started anew. */
    Failed,
};

/** The field's name of a role, for output. */
[[nodiscard]] const char *roleName(Role role);

/** Settings of one instance. */
struct ReplicatedLogOptions {
    /** Name and addresses; the storage id is filled in from the data folder. */
    Protocol::Member identity;
    /** Adds a part of the storage id to the name, so that an instance whose folder was lost is another member when it returns. */
    bool appendStorageIdToName{false};
    Core::Duration heartbeatPeriod{Core::milliseconds(100)};
    /** Nobody stands for election within this time of hearing from a leader. */
    Core::Duration electionTimeout{Core::milliseconds(500)};
    /**
     * While a process has heard from no leader since its start, the voters stand in turns that are this long, in the order of the
     * membership, so that those that start together don't split their votes. Longer than an election; nothing when the usual timeout holds
     * from the start.
     */
    std::optional<Core::Duration> initialElectionStagger;
    std::size_t maximumBytesPerMessage{1024 * 1024};
    std::int64_t entriesBetweenSnapshots{4096};
    std::size_t snapshotPieceBytes{256 * 1024};
    /** Seeds the random part of the election timeout. */
    std::uint64_t seed{0};
};

/** What the log asks of its surroundings. */
struct ReplicatedLogHooks {
    /** May lose, double and reorder. */
    std::function<void(const Protocol::Member &receiver, Protocol::LogMessage message)> send;
    /** Called once for each committed entry, in order. */
    std::function<void(const Protocol::LogEntry &entry)> apply;
    /** The state after all applied entries. */
    std::function<std::string()> takeSnapshot;
    /** Replaces the state. */
    std::function<Core::Result<void>(const std::string &state)> restoreSnapshot;
    /** Something waits for flush(). */
    std::function<void()> flushNeeded;
};

/** One instance's part of the log. */
class ReplicatedLog
{
public:
    /** `confirmed` is true when a quorum took this instance for the leader after the question was asked. */
    using ConfirmHook = ReadIndexRequests::ConfirmHook;

    [[nodiscard]] static Core::Result<std::unique_ptr<ReplicatedLog>> create(
        ReplicatedLogOptions options, ReplicatedLogHooks hooks, Storage::WriteAheadLog &writeAheadLog, Core::Instant now);

    /** To be called a few times in each heartbeat period. */
    void tick(Core::Instant now);

    void receive(const Protocol::LogMessage &message, Core::Instant now);

    /** Founds the log. The same list is given to every founding member. Fails when this instance belongs to a log. */
    [[nodiscard]] Core::Result<void> bootstrap(const Protocol::Membership &membership);

    /** Queues a command. Fails unless this instance is the leader. Whether the command is committed shows in apply(). */
    [[nodiscard]] Core::Result<std::int64_t> propose(std::string command);

    /** Queues a change of the members. Fails when one is still under way. */
    [[nodiscard]] Core::Result<std::int64_t> proposeMembership(const Protocol::MemberChange &change);

    /** Asks a quorum whether this instance still leads. The hook is called exactly once. */
    void confirmLeadership(ConfirmHook hook);

    /**
     * Asks whether what is applied here holds all that is committed by now, of a quorum or of the leader, which asks one. Confirms on any
     * instance that hears from a leader; fails at once on one that does not. The hook is called exactly once.
     */
    void confirmCurrent(ConfirmHook hook);

    /** Leader only: asks the voter that is furthest to take over. Returns false when no other voter is in reach. */
    bool transferLeadership(Core::Instant now);

    /** Makes queued entries last and sends them. One sync for all that was proposed since the last call. */
    void flush(Core::Instant now);

    [[nodiscard]] Role role() const;
    [[nodiscard]] std::int64_t term() const;
    [[nodiscard]] std::int64_t commitIndex() const;
    [[nodiscard]] std::int64_t lastIndex() const;
    [[nodiscard]] const Protocol::Member &identity() const;
    [[nodiscard]] const Protocol::Membership &membership() const;
    /** Whether this instance belongs to a log. */
    [[nodiscard]] bool isInitialised() const;
    /** The leader as far as is known, or nullptr. */
    [[nodiscard]] const Protocol::Member *leader() const;
    /** Leader only: how far a member's log is known to agree. */
    [[nodiscard]] std::int64_t matchIndexOf(const std::string &name) const;
    /** Leader only: when a member was last heard. */
    [[nodiscard]] Core::Instant lastContactWith(const std::string &name) const;
    [[nodiscard]] const std::string &storageFailure() const;

private:
    struct Progress {
        std::int64_t nextIndex{1};
        // Invariant: matchIndex < nextIndex.
        std::int64_t matchIndex{0};
        std::int64_t confirmedRound{0};
        Core::Instant lastContact;
        // While a snapshot is sent: which one, and how much of it arrived.
        std::int64_t snapshotIndex{0};
        std::int64_t snapshotOffset{0};
    };
    struct WaitingConfirmation {
        std::int64_t round{0};
        ConfirmHook hook;
    };
    struct IncomingSnapshot {
        std::int64_t index{0};
        std::string state;
    };

    ReplicatedLog(
        ReplicatedLogOptions options, ReplicatedLogHooks hooks, Storage::WriteAheadLog &writeAheadLog, Storage::RecoveredState recovered, Core::Instant now);

    // Elections.
    void startPreVote(Core::Instant now);
    void startElection(Core::Instant now, bool transfer);
    void requestVotes(Protocol::MessageKind::type kind, std::int64_t electionTerm, bool transfer);
    void countVotes(Core::Instant now);
    void becomeLeader(Core::Instant now);
    void becomeFollower(std::int64_t newTerm, const std::string &leader, Core::Instant now);
    void setTerm(std::int64_t newTerm, const std::string &vote);
    void resetElectionTimer(Core::Instant now);
    void startElectionTimer(Core::Instant now);
    [[nodiscard]] bool takesTurns() const;
    [[nodiscard]] bool canStand() const;
    [[nodiscard]] bool isUpToDate(const Protocol::LogMessage &request) const;
    [[nodiscard]] bool heardLeaderRecently(Core::Instant now) const;
    void takePreVoteRequest(const Protocol::LogMessage &message, Core::Instant now);
    void takeVoteRequest(const Protocol::LogMessage &message, Core::Instant now);
    void takeVoteReply(const Protocol::LogMessage &message, Core::Instant now);
    void takeLeadershipTransfer(const Protocol::LogMessage &message, Core::Instant now);

    // Replication.
    void leaderTick(Core::Instant now);
    void broadcastAppend();
    void sendAppend(const Protocol::Member &member);
    void sendSnapshotPiece(const Protocol::Member &member, Progress &progress);
    void takeAppendRequest(const Protocol::LogMessage &message, Core::Instant now);
    [[nodiscard]] std::int64_t storeEntries(const Protocol::LogMessage &message);
    void takeAppendReply(const Protocol::LogMessage &message, Core::Instant now);
    void takeSnapshotRequest(const Protocol::LogMessage &message, Core::Instant now);
    void installSnapshot(const Protocol::LogMessage &message);
    void takeSnapshotReply(const Protocol::LogMessage &message, Core::Instant now);
    [[nodiscard]] Progress *progressOfSender(const Protocol::LogMessage &message);
    void advanceCommit();
    void commitTo(std::int64_t index);
    void compactIfDue();
    void finishConfirmations();
    void failConfirmations();

    // Read indexes.
    void askReadIndex(Core::Instant now);
    void takeReadIndexRequest(const Protocol::LogMessage &message);
    void takeReadIndexReply(const Protocol::LogMessage &message);
    [[nodiscard]] Core::Result<std::int64_t> appendOwn(Protocol::LogEntry entry);

    [[nodiscard]] Protocol::LogMessage messageFor(const Protocol::Member &receiver, Protocol::MessageKind::type kind) const;
    [[nodiscard]] Protocol::LogMessage replyTo(const Protocol::LogMessage &request, Protocol::MessageKind::type kind) const;
    void sendReply(const Protocol::LogMessage &request, Protocol::LogMessage reply);
    // False when the storage failed, which ends this instance's part.
    [[nodiscard]] bool makeDurable();
    void fail();

    ReplicatedLogOptions options;
    ReplicatedLogHooks hooks;
    Storage::WriteAheadLog &writeAheadLog;
    std::mt19937_64 random;
    Protocol::Member ownMember;
    LogStore store;

    Role currentRole{Role::Follower};
    // Invariant: on disk before any message shows it.
    std::int64_t currentTerm{0};
    std::string votedFor;
    std::string leaderName;
    // Invariant: never decreases; at most store.lastIndex().
    std::int64_t committed{0};
    // What is on disk; the leader counts itself only up to here.
    std::int64_t durableIndex{0};
    std::int64_t termStartIndex{0};
    Core::Instant electionDue;
    Core::Instant lastLeaderContact;
    bool everHeardLeader{false};
    Core::Instant nextHeartbeat;
    std::map<std::string, std::string> votes;
    std::map<std::string, Progress> progress;
    std::int64_t round{0};
    bool roundWanted{false};
    std::vector<WaitingConfirmation> confirmations;
    ReadIndexRequests reads;
    IncomingSnapshot incomingSnapshot;
    std::string failureMessage;
};

}
