/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Sends sub-requests to replicas within the limits: one share of each replica's
// connections, its adaptive concurrency limit, urgent requests first.

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

/** Names a sub-request while it waits or is in flight. */
using SubRequestId = Core::StrongValue<struct SubRequestIdTag, std::uint64_t>;

/** How a sub-request ended, with who served it. */
struct SubRequestOutcome {
    AttemptResult result;
    std::optional<BackendId> backend;
    Core::Duration latency{0};
};

/** One shard's part of a request. */
struct SubRequest {
    std::shared_ptr<const BackendRequest> request;
    std::shared_ptr<const SnapshotView> view;
    Core::ShardIndex shard;
    /** 0 is the most urgent. */
    std::int32_t priority{0};
    Core::Instant deadline;
    int connectionShare{1};
    /** Replicas that were tried already. */
    std::vector<BackendId> excluded;
    /** Called when it is handed to the transport, with the reason for the choice. */
    std::function<void(const ReplicaChoice &choice)> sent;
    std::function<void(SubRequestOutcome outcome)> done;
};

/** Counts for metrics and the state dump. */
struct DispatcherCounters {
    std::uint64_t sent{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    std::uint64_t cancelled{0};
    std::uint64_t expiredInQueue{0};
};

/** Knobs of the dispatcher. */
struct DispatcherOptions {
    ReplicaSelectorOptions selector;
    /** Share of the network in the time left: taken off what a backend server is told. */
    Core::Duration networkShare{Core::milliseconds(2)};
    /** A waiting sub-request gains one step of priority for each of these. */
    Core::Duration agingPeriod{Core::milliseconds(500)};
    std::uint64_t seed{0};
};

/** Keeps what waits and what is in flight. */
class Dispatcher
{
public:
    Dispatcher(DispatcherOptions options, BackendTable &table, BackendTransport &transport, Core::TimerService &timers);

    /** Sends now or when there is room. `done` is called exactly once, unless cancelled. */
    SubRequestId submit(SubRequest subRequest);

    /** Ends a sub-request without calling `done`. */
    void cancel(SubRequestId id);

    /** Ends a sub-request that was not sent yet. Returns false when it was, and leaves it alone. */
    [[nodiscard]] bool cancelIfWaiting(SubRequestId id);

    /** Whether some replica of the shard that is not excluded could take one more at once and is not loaded. */
    [[nodiscard]] bool hasIdleReplica(const SubRequest &subRequest) const;

    /** Drops what can't be sent in time any more. Called a few times within a deadline. */
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
    // What waits is kept by who could serve it, so that a freed replica finds its work without a search.
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
    void learn(const InFlight &attempt, const AttemptResult &result, Core::Duration latency);
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
    // Invariant: for each waiting sub-request the key of its queue.
    std::unordered_map<SubRequestId, QueueKey> queueOf;
    std::map<Core::ServiceName, Core::LatencyDigest> digests;
    DispatcherCounters counts;
    std::uint64_t nextId{1};
};

}
