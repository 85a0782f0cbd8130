/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Stores departures of backend servers on several coordinators before they are
// acknowledged. A backend server relies on the acknowledgement: it ends some seconds
// later, and must not get requests by then.
//
// Departures are merged by rules that need no order (Fleet::BackendRegistry), so no
// leader takes part. The coordinator that was asked sends them to all others, which
// merge them, pass them on to their watchers, and store them. One disk more than may
// be lost at the same time has to hold a departure: then a coordinator that still has
// it is left, whichever processes are killed, and the others receive it from there.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibMetrics/LatencyHistogram.h>
#include <LibProtocol/Generated/fleet_types.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Coordinator
{

/** Outcome of replicating a departure. */
enum class DepartureOutcome {
    /** As many coordinators as are needed hold the departure on disk. */
    Stored,
    /** Too few coordinators could be reached or could write it. It is known here, and passed on to all watchers and coordinators that can be reached. */
    NotStored,
};

/** Settings of the replication. */
struct DepartureReplicationOptions {
    /** The name of this coordinator, for log lines. */
    std::string name;
    /** The number of coordinators, this one included, that have to hold a departure on disk. */
    std::size_t requiredCopies{2};
    /** Departures within this time are sent and stored together. */
    Core::Duration batchDelay{Core::milliseconds(5)};
};

/** Replicates departures in batches. Has no network and no disk of its own: its owner sends, stores and reports the outcome. */
class DepartureReplication
{
public:
    using OutcomeHook = std::function<void(DepartureOutcome outcome)>;
    using StoredHook = std::function<void(bool stored)>;

    DepartureReplication(DepartureReplicationOptions options, Core::TimerService &timers);
    DepartureReplication(const DepartureReplication &) = delete;
    DepartureReplication &operator=(const DepartureReplication &) = delete;

    /** Replicates a departure that has been merged here. The hook is called exactly once; at once if the departure was replicated before. */
    void replicate(const Protocol::BackendAnnouncement &departure, OutcomeHook done);

    /** Drops what is remembered of a backend server that the registry has forgotten. */
    void forget(const std::string &id);

    /** Number of departures whose outcome is open. */
    [[nodiscard]] std::size_t waitingCount() const;
    /** Number of departures that were replicated, and of those that were not, since the start. */
    [[nodiscard]] std::uint64_t storedCount() const;
    [[nodiscard]] std::uint64_t notStoredCount() const;
    /** Times from replicate() until the departure was replicated. */
    [[nodiscard]] const Metrics::LatencyHistogram &storedTimes() const;

    /** Returns the other coordinators. */
    std::function<std::vector<Core::Endpoint>()> peers;
    /** Sends departures to another coordinator and passes on whether it stored them. Has to call `done` exactly once. */
    std::function<void(const Core::Endpoint &peer, const std::vector<Protocol::BackendAnnouncement> &departures, StoredHook done)> sendToPeer;
    /** Stores all changes of the registry on the own disk. Has to call `done` exactly once. */
    std::function<void(StoredHook done)> storeHere;

private:
    struct Waiting {
        Protocol::BackendAnnouncement departure;
        OutcomeHook done;
        Core::Instant since;
    };
    /** Departures that were sent together. Lives until the last reply. */
    struct Batch {
        std::vector<Waiting> departures;
        // Names of the coordinators that hold the departures on disk.
        std::vector<std::string> holders;
        // Coordinators that were asked and that have not replied.
        std::size_t asked{0};
        std::size_t unanswered{0};
        bool decided{false};
    };
    /** What identifies a departure of one backend server: an incarnation may drain first and be gone later. */
    struct Departure {
        Protocol::BackendPhase::type phase;
        std::int64_t born;

        bool operator==(const Departure &) const = default;
    };

    void sendBatch();
    /** Makes the hook that receives the reply of one coordinator. */
    [[nodiscard]] StoredHook makeReplyHook(const std::shared_ptr<Batch> &batch, const std::string &holder);
    void handleReply(Batch &batch, const std::string &holder, bool stored);
    void finish(Batch &batch, DepartureOutcome outcome);
    void logOutcome(const Batch &batch, const Waiting &waiting, DepartureOutcome outcome) const;

    DepartureReplicationOptions options;
    Core::TimerService &timers;
    std::vector<Waiting> nextBatch;
    // The latest replicated departure of each backend server, so that repeated heartbeats and deregistrations are not sent again.
    std::unordered_map<std::string, Departure> replicated;
    std::size_t waiting{0};
    std::uint64_t stored{0};
    std::uint64_t notStored{0};
    Metrics::LatencyHistogram latencies;
    Core::TimerSubscription batchTimer;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
