/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One repeatable request spread over the shards of one pinned snapshot: sends,
// hedges, retries, and says truthfully which shards answered.

#pragma once

#include <LibEntry/Dispatcher.h>
#include <LibEntry/HedgePolicy.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Entry
{

/** What one shard came to. */
struct ShardResult {
    Core::ShardIndex shard;
    bool included{false};
    /** The backend server's document, when included. */
    nlohmann::json document;
    /** Why the shard is missing: timeout, no-replica, no-capacity, failed, snapshot-gone. */
    std::string missingReason;
};

/** One step in the life of a request, for explanations. */
struct TraceStep {
    Core::Instant at;
    Core::ShardIndex shard;
    /** first, hedge, retry, answered, failed, missing. */
    std::string what;
    std::string replica;
    std::string why;
};

/** What became of all shards. */
struct FanOutOutcome {
    std::vector<ShardResult> shards;
    /** No replica of some shard holds the snapshot any more, so only another snapshot can help. */
    bool snapshotLost{false};
    std::uint32_t attempts{0};
    std::uint32_t hedges{0};
    std::uint32_t retries{0};
    std::vector<TraceStep> trace;
};

/** What a fan-out works on. */
struct FanOutOptions {
    std::shared_ptr<const BackendRequest> request;
    std::shared_ptr<const SnapshotView> view;
    std::vector<Core::ShardIndex> shards;
    std::int32_t priority{0};
    /** The answer is given by then, whole or not. */
    Core::Instant deadline;
    int connectionShare{1};
    int maximumAttemptsPerShard{4};
    /** The second one is for the case that the first one straggles, too. */
    int maximumHedgesPerShard{2};
    /** Before a shard whose replicas all refused is tried again. */
    Core::Duration retryPause{Core::milliseconds(5)};
};

/** Calls `done` exactly once, from the loop, unless it is destroyed before. */
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
        bool retryWaits{false};
        int attempts{0};
        std::vector<SubRequestId> outstanding;
        std::vector<BackendId> tried;
        std::optional<Core::Instant> lastSent;
        std::string lastError{"timeout"};
    };

    [[nodiscard]] SubRequest makeSubRequest(std::size_t position);
    void submit(std::size_t position, const std::string &kind);
    void handleOutcome(std::size_t position, SubRequestId id, SubRequestOutcome outcome);
    void takeFailure(std::size_t position, const SubRequestOutcome &outcome);
    [[nodiscard]] bool mayRetry(const ShardState &shard, const AttemptResult &result);
    void retry(std::size_t position);
    [[nodiscard]] bool hasUntriedReplica(const ShardState &shard) const;
    void resolveMissing(std::size_t position, const std::string &reason);
    void endWhenResolved();
    void armHedgeTimer();
    void hedgeDue(Core::Instant now);
    void deadlineReached();
    void cancelOutstanding(ShardState &shard);
    void finish();
    void trace(std::size_t position, const std::string &what, const std::string &replica, const std::string &why);

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
