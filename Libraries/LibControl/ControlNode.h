/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One control instance: the replicated log with the control state on top, and
// the answers to operators and entry instances. The network and the disk are
// passed in, so that tests run this very code on fakes.

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
    /** How long an entry instance may rely on a revision, from when it asked. See docs/CONFIGURATION.md. */
    std::chrono::milliseconds configurationLease{5000};
    /** Hands a message to the transport. */
    std::function<void(const Protocol::Member &receiver, Protocol::LogMessage message)> send;
};

/** Parts answer through hooks, since most answers wait for a quorum. Every hook is called exactly once. */
class ControlNode
{
public:
    template<typename Reply>
    using ReplyHook = std::function<void(const Reply &reply)>;

    [[nodiscard]] static Core::Result<std::unique_ptr<ControlNode>> create(
        ControlNodeOptions options, Storage::Folder &folder, Core::TimerService &timers, Core::Clock clock);
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    // Operators.
    void applyChange(const Protocol::ApplyRequest &request, ReplyHook<Protocol::ApplyOutcome> done);
    void show(std::int64_t revision, ReplyHook<Protocol::ShowReply> done);
    [[nodiscard]] std::vector<Protocol::HistoryEntry> history(std::int32_t limit) const;
    void status(ReplyHook<Protocol::ControlStatus> done);
    [[nodiscard]] Protocol::MemberOutcome bootstrap(const Protocol::Membership &membership);
    void changeMember(const Protocol::MemberChange &change, ReplyHook<Protocol::MemberOutcome> done);
    [[nodiscard]] std::string dump() const;

    // Entry instances.
    void follow(const Protocol::FollowRequest &request, ReplyHook<Protocol::FollowReply> done);
    void claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done);
    void settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done);

    // Peers.
    void receive(const std::vector<Protocol::LogMessage> &messages);

    /** Takes no new work and hands leadership over. `stopped` is called when nothing waits any more. */
    void drain(std::function<void()> stopped);

    [[nodiscard]] const Consensus::ReplicatedLog &log() const;
    [[nodiscard]] const ControlState &controlState() const;
    [[nodiscard]] std::uint64_t syncCount() const;
    [[nodiscard]] std::uint64_t bytesWritten() const;

private:
    // `outcome` is nullptr when it is not known what became of the entry.
    using OutcomeHook = std::function<void(const CommandOutcome *outcome)>;
    struct Follower {
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
    void failWaiting();
    void repair();
    void forgetOldFollowers();
    void finishDrain();
    [[nodiscard]] bool acceptsWork() const;
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
    // Entry instances that asked this instance while it led.
    std::map<std::string, Follower> followers;
    bool draining{false};
    std::function<void()> stopped;
    Core::TimerSubscription tickTimer;
    Core::TimerSubscription flushTimer;
    Core::TimerSubscription repairTimer;
    Core::TimerSubscription drainTimer;
};

}
