/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One control instance: the replicated log, the control state that its entries build up, and the requests of operators and entry instances.
// The network, the disk and the clock are passed in, so that tests run the same code on fakes.

#pragma once

#include <LibConsensus/ReplicatedLog.h>
#include <LibConsensus/WaitingProposals.h>
#include <LibControl/ControlState.h>
#include <LibControl/RepairPolicy.h>
#include <LibCore/TimerService.h>
#include <LibStorage/WriteAheadLog.h>

#include <map>
#include <memory>
#include <set>

namespace Control
{

/** Settings of a control instance. */
struct ControlNodeOptions {
    Consensus::ReplicatedLogOptions log;
    ControlStateOptions state;
    RepairOptions repair;
    /** How long an entry instance may use a confirmed revision, counted from when it sent the request. See docs/CONFIGURATION.md. */
    std::chrono::milliseconds configurationLease{5000};
    /** Sends a message of the replicated log to another member. */
    std::function<void(const Protocol::Member &receiver, Protocol::LogMessage message)> send;
};

/** A control instance. Requests are answered through hooks, since most replies wait for a quorum. Every hook is called exactly once. */
class ControlNode
{
public:
    template<typename Reply>
    using ReplyHook = std::function<void(const Reply &reply)>;

    /** Recovers the state from the folder and starts the timers. Fails when the folder can't be read or is corrupt. */
    [[nodiscard]] static Core::Result<std::unique_ptr<ControlNode>> create(
        ControlNodeOptions options, Storage::Folder &folder, Core::TimerService &timers, Core::Clock clock);
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    // Requests of operators.
    /** Changes the configuration, or only checks the change for a dry run. The status is UNKNOWN when the outcome could not be determined. */
    void applyChange(const Protocol::ApplyRequest &request, ReplyHook<Protocol::ApplyOutcome> done);
    /** The configuration of a revision; 0 stands for the current one. */
    void show(std::int64_t revision, ReplyHook<Protocol::ShowReply> done);
    /** The latest accepted changes as known here, newest first, without confirmation by a quorum. */
    [[nodiscard]] std::vector<Protocol::HistoryEntry> history(std::int32_t limit) const;
    void status(ReplyHook<Protocol::ControlStatus> done);
    /** Bootstraps a new log on this instance. Every initial member has to be given the same membership. */
    [[nodiscard]] Protocol::MemberOutcome bootstrap(const Protocol::Membership &membership);
    void changeMember(const Protocol::MemberChange &change, ReplyHook<Protocol::MemberOutcome> done);
    /** The state of this instance as JSON, for diagnosis. */
    [[nodiscard]] std::string dump() const;

    // Requests of entry instances.
    /** Confirms the current revision, with what changed since the requested one. */
    void follow(const Protocol::FollowRequest &request, ReplyHook<Protocol::FollowReply> done);
    /** Claims an idempotency key for one attempt of an action. */
    void claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done);
    /** Records the outcome of a claimed action, or releases the claim when the action did not run. */
    void settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done);

    /** Handles messages of the replicated log from other members. */
    void receive(const std::vector<Protocol::LogMessage> &messages);

    /**
     * Refuses new commands and transfers leadership. `stopped` is called once no proposal waits and this instance is not the leader. A leader
     * without another reachable voter keeps its leadership, and `stopped` is called once no proposal waits.
     */
    void drain(std::function<void()> stopped);

    /** Ends the waiting proposals without a known outcome: each caller is told that the records are not available. */
    void failWaitingProposals();

    [[nodiscard]] const Consensus::ReplicatedLog &log() const;
    [[nodiscard]] const ControlState &controlState() const;
    [[nodiscard]] std::uint64_t syncCount() const;
    [[nodiscard]] std::uint64_t bytesWritten() const;

private:
    // Receives the outcome of a proposed command; nullptr when it is unknown whether the entry was committed.
    using OutcomeHook = std::function<void(const CommandOutcome *outcome)>;
    // What an entry instance sent in its latest follow request, and when.
    struct EntryInstance {
        std::int64_t incarnation{0};
        std::int64_t revision{0};
        Core::Instant lastSeen;
    };

    ControlNode(ControlNodeOptions options, Core::TimerService &timers, Core::Clock clock);
    [[nodiscard]] Core::Result<void> start(Storage::Folder &folder);
    [[nodiscard]] Consensus::ReplicatedLogHooks makeLogHooks();
    void tick();
    void scheduleFlush();
    void applyEntry(const Protocol::LogEntry &entry);
    void propose(Protocol::Command command, OutcomeHook done);
    void repair();
    void removeStaleEntryInstances();
    void finishDrain();
    [[nodiscard]] bool acceptsCommands() const;
    [[nodiscard]] Protocol::FollowReply makeFollowReply(const Protocol::FollowRequest &request) const;
    [[nodiscard]] Protocol::ControlStatus makeStatus(bool confirmed) const;
    [[nodiscard]] std::string leaderOperatorAddress() const;
    [[nodiscard]] std::string leaderEntryAddress() const;

    ControlNodeOptions options;
    Core::TimerService &timers;
    Core::Clock clock;
    ControlState state;
    std::unique_ptr<Storage::WriteAheadLog> writeAheadLog;
    std::unique_ptr<Consensus::ReplicatedLog> replicatedLog;
    Consensus::WaitingProposals<OutcomeHook> waiting;
    // Entry instances that sent a follow request to this instance while it was the leader, by name.
    std::map<std::string, EntryInstance> entryInstances;
    bool draining{false};
    std::function<void()> stopped;
    Core::TimerSubscription tickTimer;
    Core::TimerSubscription flushTimer;
    Core::TimerSubscription repairTimer;
    Core::TimerSubscription drainTimer;
};

}
