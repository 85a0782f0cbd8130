/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A request to one service, sent to as many of its backend servers as the route
// allows: the first attempt, a hedge when that is late, a retry when it failed.

#pragma once

#include <LibGateway/BackendPool.h>
#include <LibGateway/RequestSettings.h>
#include <LibGateway/WorkLimit.h>

namespace Gateway
{

/** Parameters shared by all calls of a request. Must outlive the calls. */
struct CallParameters {
    const CallerRequest *request{nullptr};
    const Fleet::Route *route{nullptr};
    /** The caller stops waiting at this time. */
    Core::Instant deadline;
    /** The request and its calls end at this time at the latest. */
    Core::Instant expiresAt;
    /** An answer should be sent at this time to reach the caller within the target latency. */
    Core::Instant targetAt;
    /** Median latency of such requests. */
    Core::Duration typicalLatency{0};
    /** Time without a reply after which an attempt is hedged. */
    Core::Duration hedgeDelay{0};
    Urgency urgency;
    /** Share of the request's workspace in the capacity of a service at which requests of several workspaces wait. */
    double capacityWeight{1.0};
    /** Limits the work on a search that is answered at its target without its late shards; nullptr for other requests. */
    WorkLimit *workLimit{nullptr};
    /** Backend servers that are chosen before all others, in this order, as long as they are healthy. */
    std::vector<BackendName> preferred;
    /** Returns the value of a repeat for one of the request's shards, from 0 to 1. Without a hook it is that of a request to a single backend server. */
    std::function<double()> repeatValue;
    /** Until this time at most one attempt is made at each shard in addition to `earlierAttempts`; see RelayParameters::repeatHold. */
    Core::Instant repeatFrom;
    int earlierAttempts{0};
    /** Returns whether the answer is still awaited. Asked before a repeat, since another gateway may have sent the request again. Optional. */
    std::function<bool()> isAwaited;
    /** See Wire::ClientRequest. Optional. */
    std::function<bool()> mayConfirm;
    /** Regions where the request may be served. May be restricted while the request is in flight, but never extended. */
    Fleet::AllowedRegions allowedRegions;
    /** Called for each attempt that is given up and may have been sent. Optional. */
    std::function<void(const BackendName &backend, AttemptId id)> attemptAbandoned;
};

/** State of a call. */
enum class CallState {
    /** Waits for free capacity at a backend server. */
    Waiting,
    InFlight,
    /** Received a successful reply. */
    Answered,
    /** Received an error response that may be forwarded. */
    FailedWithReply,
    /** No reply was received; the request may have run. */
    Failed,
    /** The request did not run anywhere and will not run. */
    NotRun,
};

[[nodiscard]] inline bool isFinished(CallState state)
{
    return state != CallState::Waiting && state != CallState::InFlight;
}

/** Result of ShardCall::checkHedge(). */
struct HedgeCheck {
    /** Backend server for a hedge that is due now; nullptr if none is due or possible. */
    Backend *candidate{nullptr};
    /** Time of the next check if there is no candidate; nullopt if no hedge will become due. */
    std::optional<Core::Instant> nextCheckAt;
};

/** One request to one service. Runs until it has ended or is cancelled. */
class ShardCall
{
public:
    ShardCall(const CallParameters &parameters, Core::ServiceName service, BackendPool &pool, Core::TimerService &timers);
    ~ShardCall();
    ShardCall(const ShardCall &) = delete;
    ShardCall &operator=(const ShardCall &) = delete;

    /**
     * Records what other gateways did for this call: `executions` count against the route's attempt limit, any earlier send makes the next one a repeat,
     * and a request that is `counted` is not counted again in the retry budget. Must be called before start().
     */
    void recordEarlierAttempts(int executions, int sends, bool counted);

    /**
     * Records that another gateway hedges its call here and has consumed the repeat, so that start() consumes none. `executions` as in
     * recordEarlierAttempts().
     */
    void recordConsumedRepeat(int executions);

    /** Sends the first attempt, or waits for free capacity. `finishedHook` is called at most once, possibly before start() returns, and not after cancel(). */
    void start(std::function<void()> finishedHook);

    /** Sends a hedge if one is due. Returns the time of the next check, or nullopt if there is nothing to wait for. */
    std::optional<Core::Instant> hedgeIfDue();

    /** Returns whether a hedge is due, and to which backend server it should be sent. */
    [[nodiscard]] HedgeCheck checkHedge();
    /** Sends a hedge to the candidate that checkHedge() returned, unless the retry budget denies it. */
    void hedge(Backend &candidate);

    /**
     * Prepares a hedge that another gateway will send: consumes a repeat and counts an attempt that may run. Returns false if it must not be relayed: the
     * retry budget denies it, or the late attempt has not been sent, so that sending from here is no repeat. relayedHedgeEnded() must follow when the
     * hedge has ended.
     */
    [[nodiscard]] bool reserveRelayedHedge();
    /** Records the end of a relayed hedge, of which `executions` attempts may have run. */
    void relayedHedgeEnded(int executions);

    /** Cancels the call and abandons its attempts in flight. Afterwards state() tells whether any of them may have run. */
    void cancel(bool callerGone);

    /** Takes a postponed step now that CallParameters::repeatFrom has passed early. */
    void endHold();

    /** Lets the attempts in flight end, and sends no further ones. */
    void sendNoMore();

    [[nodiscard]] CallState state() const;
    [[nodiscard]] const Core::ServiceName &service() const;
    /** Returns the reply; valid in the states Answered and FailedWithReply. */
    [[nodiscard]] BackendReply &reply();
    /** Returns the backend server that answered; empty until one has. */
    [[nodiscard]] const BackendName &answeredBy() const;
    /** Returns how long the answered attempt took. */
    [[nodiscard]] Core::Duration latency() const;
    [[nodiscard]] int attempts() const;
    [[nodiscard]] int hedges() const;
    /** Returns the number of backend servers where the request may have run. The number is final once the call has ended. */
    [[nodiscard]] int executions() const;
    /** Returns how many of the executions are hedges that another gateway has in flight, whose outcome is not known yet. */
    [[nodiscard]] int openRelayedHedges() const;
    /** Returns whether an attempt in flight may have been sent. */
    [[nodiscard]] bool hasSentAttempt() const;
    /** Returns whether the call has ended as not run, and no connection to a backend server could be established. */
    [[nodiscard]] bool lacksServers() const;
    /** Returns whether the call has ended as not run, and a backend server refused it. */
    [[nodiscard]] bool wasRefused() const;
    /** Returns the time from send to break of the last attempt whose answer was lost; nullopt if there was none. */
    [[nodiscard]] std::optional<Core::Duration> brokeAfter() const;
    /** Returns whether that attempt was confirmed before it broke. */
    [[nodiscard]] bool wasConfirmed() const;
    /** Returns why the last attempt failed, for logs. */
    [[nodiscard]] const std::string &failureReason() const;
    /** Returns whether the retry budget denied the last repeat that the call asked for. */
    [[nodiscard]] bool lacksRepeat() const;

private:
    struct Running {
        AttemptId id{0};
        BackendName backend;
        Core::Instant startedAt;
        // Time limit that was sent to the backend server; set if it is less than the caller has left.
        std::optional<Core::Duration> limit;
    };

    void begin();
    /** Returns whether this call has made an attempt, or one of another gateway for the same part is assumed. */
    [[nodiscard]] bool hasAttempt() const;
    /** Returns whether another attempt has to wait for CallParameters::repeatFrom. */
    [[nodiscard]] bool isHeld() const;
    /** Takes the step at CallParameters::repeatFrom. */
    void postpone(std::function<void()> step);
    [[nodiscard]] SelectionCriteria wanted(std::optional<Core::Duration> within = std::nullopt) const;
    [[nodiscard]] Backend *chooseBackend();
    void tryFirst();
    void tryNext();
    void sendTo(Backend &backend);
    void waitForCapacity();
    /** Sends the request if there is free capacity for it, and returns whether it was sent. */
    [[nodiscard]] bool sendWithOfferedCapacity();
    void handleOutcome(const BackendName &backend, const AttemptOutcome &outcome);
    void handleReply(const BackendReply &incoming, const Running &attempt);
    void recordLimitOutcome(const Running &attempt, bool answered);
    void retryOrFinish(CallState otherwise);
    /** Returns the value of a repeat of this call, from 0 to 1. */
    [[nodiscard]] double repeatValueNow() const;
    /** Consumes a repeat for a hedge. After a denial the call is not hedged for a while. */
    [[nodiscard]] bool consumeHedge();
    /** Consumes a repeat from the retry budget of the service. Returns false if it is denied. */
    [[nodiscard]] bool consumeRepeat(RepeatKind kind);
    /** Returns the kind of a repeat that follows the earlier attempts, none of which is in flight. */
    [[nodiscard]] RepeatKind retryKind() const;
    void finish(CallState end);
    [[nodiscard]] bool isLateHedgeable() const;
    void countRunning();
    void abandonRunning(bool callerGone);
    [[nodiscard]] bool mayTryAnother() const;
    /** Whether the request crashes backend servers, as far as this attempt of the caller shows. */
    [[nodiscard]] bool isDangerous() const;

    const CallParameters &parameters;
    Core::ServiceName serviceName;
    BackendPool &pool;
    Core::TimerService &timers;
    CallState current{CallState::Waiting};
    std::function<void()> finished;
    std::vector<Running> running;
    // Backend servers that are not chosen again.
    std::vector<BackendName> tried;
    // Backend servers that refused the request without running it. They may be chosen again.
    std::vector<BackendName> refusedBy;
    // Attempts that may have run; limited by the route.
    int executionCount{0};
    // Hedges of this call that other gateways have in flight.
    int relayedHedges{0};
    int sends{0};
    int earlierSends{0};
    bool requestAlreadyCounted{false};
    bool repeatAlreadyConsumed{false};
    bool repeatDenied{false};
    int hedgeCount{0};
    Core::Instant hedgeDeniedUntil;
    int refusals{0};
    bool mustNotSend{false};
    // Attempts whose connection was refused or not established, so that nothing was sent.
    int unsentAttempts{0};
    std::optional<WaiterNumber> waiter;
    // Active while the next attempt is postponed. Invariant: no attempt is in flight then.
    Core::TimerSubscription holdTimer;
    std::function<void()> postponedStep;
    BackendReply answer;
    Core::Duration answerLatency{0};
    BackendName answerer;
    std::optional<Core::Duration> lastBreakAfter;
    bool lastBreakConfirmed{false};
    std::string reason;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
