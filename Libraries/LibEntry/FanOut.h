/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Sends a repeatable request to the shards of its pinned snapshot, hedges and
// retries sub-requests, and reports which shards answered and why others are
// missing.

#pragma once

#include <LibEntry/Dispatcher.h>
#include <LibEntry/HedgePolicy.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Entry
{

/** Result of one shard. */
struct ShardResult {
    Core::ShardIndex shard;
    bool included{false};
    /** The reply of the backend server, when included. */
    nlohmann::json document;
    /** Why the shard is missing: timeout, no-replica, no-capacity, failed, or the reason of a refusal such as snapshot-gone. */
    std::string missingReason;
};

/** One step of a request, for traces. */
struct TraceStep {
    Core::Instant at;
    Core::ShardIndex shard;
    /** One of first, hedge, retry, answered, failed, missing. */
    std::string event;
    std::string replica;
    std::string reason;
};

/** Results of all shards. */
struct FanOutOutcome {
    std::vector<ShardResult> shards;
    /** All usable replicas of a shard were tried and the last one no longer holds the snapshot, so the request needs another snapshot. */
    bool snapshotLost{false};
    std::uint32_t attempts{0};
    std::uint32_t hedges{0};
    std::uint32_t retries{0};
    std::vector<TraceStep> trace;
};

/** Parameters of a fan-out. */
struct FanOutOptions {
    std::shared_ptr<const BackendRequest> request;
    std::shared_ptr<const SnapshotView> view;
    std::vector<Core::ShardIndex> shards;
    std::int32_t priority{0};
    /** At this time the fan-out ends, and unanswered shards are reported as missing. */
    Core::Instant deadline;
    int connectionShare{1};
    int maximumAttemptsPerShard{4};
    /** The second hedge covers the case that the first one is slow, too. */
    int maximumHedgesPerShard{2};
    /** Delay before the replicas of a shard are tried again after all of them have been tried, multiplied by the number of attempts. */
    Core::Duration retryDelay{Core::milliseconds(5)};
};

/** Runs one fan-out. `done` is called exactly once, from the event loop, unless the object is destroyed before. */
class FanOut
{
public:
    using DoneHook = std::function<void(FanOutOutcome outcome)>;

    FanOut(FanOutOptions options, Dispatcher &dispatcher, HedgePolicy &hedgePolicy, const BackendTable &table, Core::TimerService &timers);
    ~FanOut();
    FanOut(const FanOut &) = delete;
    FanOut &operator=(const FanOut &) = delete;

    void start(DoneHook done);

private:
    struct ShardState {
        ShardResult result;
        bool resolved{false};
        int hedges{0};
        bool retryPending{false};
        int attempts{0};
        std::vector<SubRequestId> outstanding;
        std::vector<BackendId> tried;
        std::optional<Core::Instant> lastSent;
        std::string lastError{"timeout"};
    };

    [[nodiscard]] SubRequest makeSubRequest(std::size_t position);
    void submit(std::size_t position, const std::string &kind);
    void handleOutcome(std::size_t position, SubRequestId id, SubRequestOutcome outcome);
    void handleFailure(std::size_t position, const SubRequestOutcome &outcome);
    [[nodiscard]] bool mayRetry(const ShardState &shard, const AttemptResult &result);
    void retry(std::size_t position);
    [[nodiscard]] bool hasUntriedReplica(const ShardState &shard) const;
    void resolveMissing(std::size_t position, const std::string &reason);
    void finishWhenResolved();
    void armHedgeTimer();
    void sendDueHedges(Core::Instant now);
    void deadlineReached();
    void cancelOutstanding(ShardState &shard);
    void finish();
    void trace(std::size_t position, const std::string &event, const std::string &replica, const std::string &reason);

    FanOutOptions options;
    Dispatcher &dispatcher;
    HedgePolicy &hedgePolicy;
    const BackendTable &table;
    Core::TimerService &timers;
    DoneHook done;
    std::vector<ShardState> shards;
    FanOutOutcome outcome;
    std::vector<Core::TimerSubscription> retryTimers;
    Core::TimerSubscription hedgeTimer;
    Core::TimerSubscription deadlineTimer;
};

}
