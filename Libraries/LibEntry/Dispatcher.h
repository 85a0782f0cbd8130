/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Sends sub-requests to replicas, the most urgent first. The number in flight to
// a replica is limited by this instance's share of its connections and by its
// adaptive concurrency limit. Sub-requests beyond these limits wait in queues.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibCore/TimerService.h>
#include <LibEntry/BackendTransport.h>
#include <LibEntry/LoadBudget.h>
#include <LibEntry/ReplicaSelector.h>

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

namespace Entry
{

/** Identifies a sub-request that waits or is in flight. */
using SubRequestId = Core::StrongValue<struct SubRequestIdTag, std::uint64_t>;

/** How a sub-request ended. `backend` is empty when it was not sent. */
struct SubRequestOutcome {
    AttemptResult result;
    std::optional<BackendId> backend;
    Core::Duration latency{0};
};

/** The part of a request that goes to one shard. */
struct SubRequest {
    std::shared_ptr<const BackendRequest> request;
    std::shared_ptr<const SnapshotView> view;
    Core::ShardIndex shard;
    /** 0 is the most urgent. */
    std::int32_t priority{0};
    Core::Instant deadline;
    int connectionShare{1};
    /** Replicas that must not be chosen, since they were already tried. */
    std::vector<BackendId> excluded;
    /** Called just before the sub-request is passed to the transport. */
    std::function<void(const ReplicaChoice &choice)> sent;
    std::function<void(SubRequestOutcome outcome)> done;
};

/** Sub-requests by outcome, for metrics. */
struct DispatcherCounters {
    std::uint64_t sent{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    std::uint64_t cancelled{0};
    std::uint64_t expiredInQueue{0};
};

/** Parameters of the dispatcher. */
struct DispatcherOptions {
    ReplicaSelectorOptions selector;
    /** Time reserved for the network: subtracted from the time left that is sent to a backend server. */
    Core::Duration networkReserve{Core::milliseconds(2)};
    /** A waiting sub-request gains one step of priority per period. */
    Core::Duration agingPeriod{Core::milliseconds(500)};
    std::uint64_t seed{0};
};

/** Holds the sub-requests that wait and those in flight. */
class Dispatcher
{
public:
    Dispatcher(DispatcherOptions options, BackendTable &table, BackendTransport &transport, Core::TimerService &timers);

    /** Sends a sub-request now or once a replica has free capacity. Its `done` is called exactly once, unless it is cancelled. */
    SubRequestId submit(SubRequest subRequest);

    /** Cancels a sub-request, waiting or in flight, without calling its `done`. */
    void cancel(SubRequestId id);

    /** Cancels a sub-request only if it still waits, and returns whether it did. */
    [[nodiscard]] bool cancelIfWaiting(SubRequestId id);

    /** Whether a usable replica of the shard that is not excluded has free capacity and fewer requests of this instance in flight than slots. */
    [[nodiscard]] bool hasIdleReplica(const SubRequest &subRequest) const;

    /** Ends waiting sub-requests that can't be sent before their deadlines and sends others where capacity is free. To be called several times per deadline. */
    void expireWaiting(Core::Instant now);

    [[nodiscard]] std::size_t waitingCount() const;
    [[nodiscard]] std::size_t inFlightCount() const;
    [[nodiscard]] const DispatcherCounters &counters() const;

    /** Latencies of answered sub-requests of a service. */
    [[nodiscard]] Core::LatencyDigest &latencies(const Core::ServiceName &service);

private:
    struct InFlight {
        SubRequest subRequest;
        Core::AttemptId attempt;
        BackendId backend;
        std::int64_t incarnation{0};
        Core::Instant sentAt;
    };
    struct Waiting {
        SubRequest subRequest;
        Core::Instant since;
    };
    // Waiting sub-requests are grouped by service, snapshot and shard, so that those a replica with free capacity can serve are found without a search.
    struct QueueKey {
        Core::ServiceName service;
        SnapshotKey snapshot;
        Core::ShardIndex shard;

        auto operator<=>(const QueueKey &) const = default;
    };
    using Queue = std::map<SubRequestId, Waiting>;

    [[nodiscard]] static QueueKey keyOf(const SubRequest &subRequest);
    [[nodiscard]] bool trySend(SubRequestId id, SubRequest &subRequest);
    void finish(SubRequestId id, AttemptResult result);
    void recordResult(const InFlight &attempt, const AttemptResult &result, Core::Duration latency);
    void drainQueuesOf(BackendId backend);
    void drainQueue(const QueueKey &key);
    [[nodiscard]] Queue::iterator mostUrgent(Queue &queue, Core::Instant now) const;
    [[nodiscard]] AttemptRequest makeAttempt(const SubRequest &subRequest, BackendId backend, Core::Instant now) const;

    DispatcherOptions options;
    BackendTable &table;
    BackendTransport &transport;
    Core::TimerService &timers;
    ReplicaSelector selector;
    std::unordered_map<SubRequestId, InFlight> inFlight;
    std::map<QueueKey, Queue> queues;
    // Invariant: holds exactly the waiting sub-requests, each with the key of its queue.
    std::unordered_map<SubRequestId, QueueKey> queueOf;
    std::map<Core::ServiceName, Core::LatencyDigest> digests;
    DispatcherCounters counts;
    std::uint64_t nextId{1};
};

}
