/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What operators ordered, kept on a quorum of coordinators by the replicated log:
// the declaration, and which availability zones are evacuated. Of all accepted
// declarations the one with the highest version counts; of two with one version,
// the one that the log holds first. Of orders on a zone the last one in the log
// counts. An order enters the log only at the leader that gets it from the
// operator and waits nowhere else, so one whose sender has given up can't be
// committed after a later one that was acknowledged.

#pragma once

#include <LibConsensus/ReplicatedLog.h>
#include <LibConsensus/WaitingProposals.h>
#include <LibCoordinator/EvacuatedZones.h>
#include <LibCore/TimerService.h>
#include <LibFleet/Declaration.h>
#include <LibProtocol/Generated/fleet_types.h>
#include <LibStorage/PosixFolder.h>

#include <deque>
#include <map>

namespace Coordinator
{

/** Settings of one coordinator's part. */
struct DeclarationLogOptions {
    Consensus::ReplicatedLogOptions log;
    std::string dataFolder;
    /** Pause before a folder whose disk failed is opened again. */
    Core::Duration reopenPause{Core::milliseconds(500)};
    std::function<void(const Protocol::Member &receiver, Protocol::LogMessage message)> send;
};

/** How a proposed order ended. */
enum class ProposalEnd {
    /** The log holds it on a quorum. */
    Committed,
    /** Another coordinator leads, or none. Nothing was proposed. */
    NotLeader,
    /** It may or may not come to be committed. */
    Unknown,
};

/** Opens its folder again by itself after a disk failure; meanwhile it takes part in nothing. */
class DeclarationLog
{
public:
    using ProposalHook = std::function<void(ProposalEnd end)>;

    /** Fails when the folder holds what was not written there. A disk that fails now is tried again later. */
    [[nodiscard]] static Core::Result<std::unique_ptr<DeclarationLog>> create(DeclarationLogOptions options, Core::TimerService &timers);

    /** Puts a declaration into the log. The hook is called exactly once. */
    void propose(std::int64_t version, const std::string &content, ProposalHook done);

    /** Puts an operator's order to evacuate an availability zone, or to use it again, into the log. The hook is called exactly once. */
    void proposeEvacuation(const Protocol::EvacuationOrder &order, ProposalHook done);

    /**
     * Asks a quorum, through the leader, whether what is held here is the newest of all. Any coordinator that hears from a leader can
     * confirm. The hook is called exactly once.
     */
    void confirm(const std::function<void(bool confirmed)> &hook);

    /** The version of the newest committed declaration as far as this coordinator knows; -1 for none. */
    [[nodiscard]] std::int64_t version() const;
    /** Its text, as the operator sent it. */
    [[nodiscard]] const std::string &content() const;
    /** Its text, compressed. */
    [[nodiscard]] const std::string &compressed() const;
    /** The delta that leads to it from an earlier version, or nullptr when that one is too long ago. */
    [[nodiscard]] const std::string *deltaFrom(std::int64_t earlierVersion);

    /** The evacuated zones as far as this coordinator knows. */
    [[nodiscard]] const Protocol::Evacuations &evacuations() const;

    void receive(const std::vector<Protocol::LogMessage> &messages);

    /** The data folder, for what else a coordinator keeps there, or nullptr while it can't be used. */
    [[nodiscard]] Storage::Folder *dataFolder();

    /** The log, or nullptr while the folder can't be used. */
    [[nodiscard]] Consensus::ReplicatedLog *log();
    [[nodiscard]] const Consensus::ReplicatedLog *log() const;
    [[nodiscard]] bool isLeader() const;
    /** Whether there is a leader as far as this coordinator knows, itself included. */
    [[nodiscard]] bool hasKnownLeader() const;
    [[nodiscard]] std::size_t waitingProposals() const;
    [[nodiscard]] std::uint64_t syncCount() const;

    /** A newer declaration or evacuation was committed. */
    std::function<void()> changed;

private:
    DeclarationLog(DeclarationLogOptions options, Core::TimerService &timers);
    [[nodiscard]] Core::Result<void> open();
    void closeAndReopen();
    [[nodiscard]] Consensus::ReplicatedLogHooks makeHooks();
    void proposeOrder(const Protocol::StoredOrder &order, ProposalHook done);
    void applyEntry(const Protocol::LogEntry &entry);
    void applyOrder(const Protocol::StoredOrder &order);
    void adopt(std::int64_t version, const std::string &compressed);
    void noteEvacuations();
    void tick();
    void scheduleFlush();
    void failWaiting();

    DeclarationLogOptions options;
    Core::TimerService &timers;
    std::int64_t newestVersion{-1};
    std::string newestCompressed;
    std::string newestContent;
    EvacuatedZones evacuated;
    // Texts of the versions before, newest last, and the deltas from them that were asked for since the newest one came.
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
