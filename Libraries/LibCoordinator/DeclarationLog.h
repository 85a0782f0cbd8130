/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Operators' orders, stored on a quorum of coordinators by the replicated log: the
// declaration and the evacuated availability zones. Of all accepted declarations
// the one with the highest version is active; of two with the same version, the
// one that comes first in the log. Of all orders on a zone the last one in the log
// is active. An order is proposed only by the leader that receives it from the
// operator and is queued nowhere else, so an order for which its sender no longer
// waits can't be committed after a later order that was acknowledged.

#pragma once

#include <LibConsensus/ReplicatedLog.h>
#include <LibConsensus/WaitingProposals.h>
#include <LibCoordinator/OperatorState.h>
#include <LibCore/TimerService.h>
#include <LibFleet/Declaration.h>
#include <LibProtocol/Generated/fleet_types.h>
#include <LibStorage/PosixFolder.h>

#include <deque>
#include <map>

namespace Coordinator
{

/** Settings of the log on one coordinator. */
struct DeclarationLogOptions {
    Consensus::ReplicatedLogOptions log;
    std::string dataFolder;
    /** Delay before the data folder is opened again after a disk failure. */
    Core::Duration reopenDelay{Core::milliseconds(500)};
    /** Sends a message of the replicated log to another member. */
    std::function<void(const Protocol::Member &receiver, Protocol::LogMessage message)> send;
};

/** Outcome of a proposed order. */
enum class ProposalEnd {
    /** A quorum stores the order in the log. */
    Committed,
    /** Another coordinator is the leader, or there is none. The order was not proposed. */
    NotLeader,
    /** It is unknown whether the order is or will be committed. */
    Unknown,
};

/**
 * The replicated log with the state that results from it. After a disk failure it leaves the log and opens its folder again after a delay, repeatedly if that
 * fails. The state is then built anew; the one before stays visible until the new one has caught up with it.
 */
class DeclarationLog
{
public:
    using ProposalHook = std::function<void(ProposalEnd end)>;

    /** Fails with Corruption when the content of the folder is damaged. After any other failure it opens the folder again later. */
    [[nodiscard]] static Core::Result<std::unique_ptr<DeclarationLog>> create(DeclarationLogOptions options, Core::TimerService &timers);

    /** Proposes a declaration. The hook is called exactly once. */
    void propose(std::int64_t version, const std::string &content, ProposalHook done);

    /** Proposes an operator's order to evacuate an availability zone or to use it again. The hook is called exactly once. */
    void proposeEvacuation(const Protocol::EvacuationOrder &order, ProposalHook done);

    /**
     * Confirms with a quorum, through the leader, that the state applied here is the newest. This succeeds only on a coordinator that has a known leader. The
     * hook is called exactly once.
     */
    void confirm(const std::function<void(bool confirmed)> &hook);

    /** The version of the newest declaration that was applied on this coordinator; -1 when there is none. */
    [[nodiscard]] std::int64_t version() const;
    /** The text of the newest applied declaration, as the operator sent it. */
    [[nodiscard]] const std::string &content() const;
    /** The text of the newest applied declaration, compressed. */
    [[nodiscard]] const std::string &compressed() const;
    /** The delta from an earlier version to the newest applied declaration, or nullptr when the text of the earlier version is no longer stored. */
    [[nodiscard]] const std::string *deltaFrom(std::int64_t earlierVersion);

    /** The evacuations that were applied on this coordinator. */
    [[nodiscard]] const Protocol::Evacuations &evacuations() const;

    /** Receives messages of the replicated log from other members. */
    void receive(const std::vector<Protocol::LogMessage> &messages);

    /** The data folder, in which the coordinator stores other files, too; nullptr while it can't be used. */
    [[nodiscard]] Storage::Folder *dataFolder();

    /** The replicated log; nullptr while the folder can't be used. */
    [[nodiscard]] Consensus::ReplicatedLog *log();
    [[nodiscard]] const Consensus::ReplicatedLog *log() const;
    [[nodiscard]] bool isLeader() const;
    /** Whether this coordinator has a known leader or is the leader. */
    [[nodiscard]] bool hasKnownLeader() const;
    [[nodiscard]] std::size_t waitingProposals() const;
    /** Disk syncs of the write-ahead log since its folder was last opened. */
    [[nodiscard]] std::uint64_t syncCount() const;

    /** Called after a newer declaration or a change of the evacuated zones was applied. */
    std::function<void()> changed;

private:
    DeclarationLog(DeclarationLogOptions options, Core::TimerService &timers);
    [[nodiscard]] Core::Result<void> open();
    void closeAndReopen();
    [[nodiscard]] Consensus::ReplicatedLogHooks makeHooks();
    void proposeOrder(const Protocol::StoredOrder &order, ProposalHook done);
    void applyEntry(const Protocol::LogEntry &entry);
    /** Makes a state visible if no older one than the visible one. Calls `changed` if watchers see a difference. */
    void publish(const OperatorState &state);
    void tick();
    void scheduleFlush();
    void failWaiting();

    DeclarationLogOptions options;
    Core::TimerService &timers;
    // Built from the open log: its snapshot and the entries that were applied since it was opened.
    OperatorState built;
    // Invariant: its applied index never decreases.
    OperatorState visible;
    // Compressed texts of earlier versions, newest last, and the deltas from them that were computed since the newest version was applied.
    std::deque<std::pair<std::int64_t, std::string>> earlier;
    std::map<std::int64_t, std::string> deltas;
    std::unique_ptr<Storage::PosixFolder> folder;
    std::unique_ptr<Storage::WriteAheadLog> writeAheadLog;
    std::unique_ptr<Consensus::ReplicatedLog> replicatedLog;
    Consensus::WaitingProposals<ProposalHook> waiting;
    Core::TimerSubscription tickTimer;
    Core::TimerSubscription flushTimer;
    Core::TimerSubscription reopenTimer;
};

}
