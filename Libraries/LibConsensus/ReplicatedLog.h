/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The replicated log, an implementation of Raft: elections, replication, membership changes and read index requests. The log uses no
// clock and no network itself: the caller passes in the current time and the received messages, and a hook sends messages. A comment that
// starts with a label such as "E1." states the rule of docs/REPLICATED-LOG.md that the code below it implements.

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

/** The Raft role that an instance has at present. */
enum class Role {
    Follower,
    /** Runs a pre-vote: asks the voters whether they would vote for it, before it starts a new term. */
    PreCandidate,
    Candidate,
    Leader,
    /** Storage failed. The instance sends nothing and ignores all messages until the process is restarted. */
    Failed,
};

/** The name of a role as Raft literature has it, for output. */
[[nodiscard]] const char *roleName(Role role);

/** Settings of one member of the log. */
struct ReplicatedLogOptions {
    /** Name and addresses; the storage id is filled in from the data folder. */
    Protocol::Member identity;
    /** Appends the first digits of the storage id to the name, so that an instance which lost its data folder joins as a new member. */
    bool appendStorageIdToName{false};
    Core::Duration heartbeatPeriod{Core::milliseconds(100)};
    /** A member starts no election and supports none within this time after a message from a leader. */
    Core::Duration electionTimeout{Core::milliseconds(500)};
    /**
     * Interval between the first elections of the voters after a start. Until a process has received a message from a leader, its election
     * timer is first this interval times its place among the voters, so that voters which start together don't split their votes. The
     * interval has to be longer than an election takes. Without a value the random election timeout applies from the start.
     */
    std::optional<Core::Duration> initialElectionStagger;
    std::size_t maximumBytesPerMessage{1024 * 1024};
    std::int64_t entriesBetweenSnapshots{4096};
    std::size_t snapshotPieceBytes{256 * 1024};
    /** Seed for the random part of the election timeout and for the first number of the read index requests. */
    std::uint64_t seed{0};
};

/** Callbacks by which the log sends messages and drives the state machine. */
struct ReplicatedLogHooks {
    /** Sends a message. The transport may lose, duplicate and reorder messages. */
    std::function<void(const Protocol::Member &receiver, Protocol::LogMessage message)> send;
    /** Called once for each committed entry, in order. */
    std::function<void(const Protocol::LogEntry &entry)> apply;
    /** Returns the serialized state of the state machine after all applied entries. */
    std::function<std::string()> takeSnapshot;
    /** Replaces the state of the state machine by a snapshot. */
    std::function<Core::Result<void>(const std::string &state)> restoreSnapshot;
    /** Called when entries or requests are queued that flush() has to write or send. */
    std::function<void()> flushNeeded;
};

/** One member of the replicated log. */
class ReplicatedLog
{
public:
    /** `confirmed` is true when a quorum acknowledged this instance, or the leader that it asked, as the leader after the request was made. */
    using ConfirmHook = ReadIndexRequests::ConfirmHook;

    /** Starts from the state that the write-ahead log recovered. Fails when the stored snapshot can't be restored. */
    [[nodiscard]] static Core::Result<std::unique_ptr<ReplicatedLog>> create(
        ReplicatedLogOptions options, ReplicatedLogHooks hooks, Storage::WriteAheadLog &writeAheadLog, Core::Instant now);

    /** Runs the election and heartbeat timers. Has to be called several times in each heartbeat period. */
    void tick(Core::Instant now);

    /** Handles a message of another member. A message that is addressed to another data folder is ignored. */
    void receive(const Protocol::LogMessage &message, Core::Instant now);

    /**
     * Bootstraps a new log. Every initial member has to be given the same membership. Fails when this instance belongs to a log that was
     * bootstrapped with another membership, when the membership does not list it as a voter, and when the storage fails.
     */
    [[nodiscard]] Core::Result<void> bootstrap(const Protocol::Membership &membership);

    /** Queues a command and returns its index. Fails unless this instance is the leader. The apply hook is called once the entry is committed. */
    [[nodiscard]] Core::Result<std::int64_t> propose(std::string command);

    /**
     * Queues a change of the membership and returns its index. Fails unless this instance is the leader, while an earlier change or the
     * first entry of the leader's term is not committed, when a learner that is to vote has not caught up, and when the change is invalid.
     * A replacement takes two entries; the second one is queued when the first one is committed.
     */
    [[nodiscard]] Core::Result<std::int64_t> proposeMembership(const Protocol::MemberChange &change);

    /** Confirms with a quorum that this instance is still the leader. The hook is called exactly once, with false when it is not the leader. */
    void confirmLeadership(ConfirmHook hook);

    /**
     * Confirms that all entries which are committed at the time of the call are applied on this instance. A leader confirms this with a
     * quorum, a follower by a read index request to the leader. The hook is called exactly once; at once with false when this instance
     * has no known leader.
     */
    void confirmCurrent(ConfirmHook hook);

    /**
     * Asks the reachable voter whose log is most up to date to become leader. Returns false when this instance is not the leader or no
     * other voter is reachable.
     */
    bool transferLeadership(Core::Instant now);

    /** Writes all queued entries to disk with one sync. A leader then sends them to the other members, a follower sends its read index request. */
    void flush(Core::Instant now);

    [[nodiscard]] Role role() const;
    [[nodiscard]] std::int64_t term() const;
    [[nodiscard]] std::int64_t commitIndex() const;
    [[nodiscard]] std::int64_t lastIndex() const;
    [[nodiscard]] const Protocol::Member &identity() const;
    [[nodiscard]] const Protocol::Membership &membership() const;
    /** Whether this instance belongs to a log, by bootstrap or because a leader added it. */
    [[nodiscard]] bool isInitialised() const;
    /** The known leader, or nullptr. */
    [[nodiscard]] const Protocol::Member *leader() const;
    /** The highest index up to which a member's log is known to equal the leader's; 0 when unknown or when this instance is not the leader. */
    [[nodiscard]] std::int64_t matchIndexOf(const std::string &name) const;
    /** Names of the members that are known to have the entries up to an index on disk; only this one's when it is not the leader. */
    [[nodiscard]] std::vector<std::string> holdersOf(std::int64_t index) const;
    /** When this leader last received a reply from a member, or else started to send to it; the epoch when this instance is not the leader. */
    [[nodiscard]] Core::Instant lastContactWith(const std::string &name) const;
    /** When this leader last received a reply from a member; nothing when it has received none or this instance is not the leader. */
    [[nodiscard]] std::optional<Core::Instant> lastReplyFrom(const std::string &name) const;
    /** The storage error that put this instance into Role::Failed, or empty. */
    [[nodiscard]] const std::string &storageFailure() const;

private:
    struct Progress {
        std::int64_t nextIndex{1};
        // Invariant: matchIndex < nextIndex.
        std::int64_t matchIndex{0};
        // Latest round of messages that the member has replied to.
        std::int64_t confirmedRound{0};
        Core::Instant lastContact;
        // Whether a reply was received. Otherwise `lastContact` is when this leader started to send to the member.
        bool hasReplied{false};
        // Index of the snapshot that is being sent, 0 when none is, and the number of its bytes that the member has acknowledged.
        std::int64_t snapshotIndex{0};
        std::int64_t snapshotOffset{0};
    };
    struct PendingConfirmation {
        // Round of messages whose replies confirm the leadership.
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
    [[nodiscard]] bool usesElectionStagger() const;
    [[nodiscard]] bool isVotingMember() const;
    [[nodiscard]] bool isUpToDate(const Protocol::LogMessage &request) const;
    [[nodiscard]] bool hadRecentLeaderContact(Core::Instant now) const;
    void handlePreVoteRequest(const Protocol::LogMessage &message, Core::Instant now);
    void handleVoteRequest(const Protocol::LogMessage &message, Core::Instant now);
    void handleVoteReply(const Protocol::LogMessage &message, Core::Instant now);
    void handleLeadershipTransfer(const Protocol::LogMessage &message, Core::Instant now);

    // Replication.
    void leaderTick(Core::Instant now);
    void broadcastAppend();
    void sendAppend(const Protocol::Member &member);
    void sendSnapshotPiece(const Protocol::Member &member, Progress &progress);
    void handleAppendRequest(const Protocol::LogMessage &message, Core::Instant now);
    [[nodiscard]] std::int64_t storeEntries(const Protocol::LogMessage &message);
    void handleAppendReply(const Protocol::LogMessage &message, Core::Instant now);
    void handleSnapshotRequest(const Protocol::LogMessage &message, Core::Instant now);
    void installSnapshot(const Protocol::LogMessage &message);
    void handleSnapshotReply(const Protocol::LogMessage &message, Core::Instant now);
    [[nodiscard]] Progress *progressOfSender(const Protocol::LogMessage &message);
    static void recordContact(Progress &progress, const Protocol::LogMessage &message, Core::Instant now);
    /** Ends a replacement of a voter once its joint membership is committed. */
    void finishReplacementIfCommitted();
    void advanceCommit();
    void commitTo(std::int64_t index);
    void compactIfDue();
    void finishConfirmations();
    void failConfirmations();

    // Read index requests.
    void sendReadIndexRequest(Core::Instant now);
    void handleReadIndexRequest(const Protocol::LogMessage &message);
    void handleReadIndexReply(const Protocol::LogMessage &message);
    [[nodiscard]] Core::Result<std::int64_t> appendEntry(Protocol::LogEntry entry);

    [[nodiscard]] Protocol::LogMessage messageFor(const Protocol::Member &receiver, Protocol::MessageKind::type kind) const;
    [[nodiscard]] Protocol::LogMessage replyTo(const Protocol::LogMessage &request, Protocol::MessageKind::type kind) const;
    void sendReply(const Protocol::LogMessage &request, Protocol::LogMessage reply);
    // Writes all queued records to disk. Returns false when the storage has failed, which puts this instance into Role::Failed.
    [[nodiscard]] bool makeDurable();
    void fail();

    ReplicatedLogOptions options;
    ReplicatedLogHooks hooks;
    Storage::WriteAheadLog &writeAheadLog;
    std::mt19937_64 random;
    Protocol::Member ownMember;
    LogStore store;

    Role currentRole{Role::Follower};
    // Invariant: the term and the vote are on disk before any message shows them.
    std::int64_t currentTerm{0};
    // Storage id of the member that got this instance's vote in the current term, or empty when it has not voted.
    std::string votedFor;
    std::string leaderName;
    // Invariant: the commit index never decreases and is at most store.lastIndex().
    std::int64_t committed{0};
    // Last index that is on disk. The leader counts its own log towards a quorum only up to this index.
    std::int64_t durableIndex{0};
    // Index of the entry with which this leader began its term.
    std::int64_t termStartIndex{0};
    Core::Instant electionDue;
    Core::Instant lastLeaderContact;
    bool hadLeaderContact{false};
    Core::Instant nextHeartbeat;
    // Storage ids of the members that granted their vote or pre-vote, by name.
    std::map<std::string, std::string> votes;
    std::map<std::string, Progress> progress;
    // Number of the current round of messages or pre-vote. Replies carry it, which shows what they reply to.
    std::int64_t round{0};
    bool roundRequested{false};
    std::vector<PendingConfirmation> confirmations;
    ReadIndexRequests readIndexRequests;
    IncomingSnapshot incomingSnapshot;
    std::string failureMessage;
};

}
