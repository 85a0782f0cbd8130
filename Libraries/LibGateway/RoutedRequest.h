/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Base class of all requests that match a route: their parameters, the timer that
// checks for late calls, their completion and their summary. SingleRequest and
// FanOutRequest are the two kinds.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibGateway/LostParts.h>
#include <LibGateway/RelayPlan.h>
#include <LibGateway/Scheduling/OwnerLoad.h>
#include <LibGateway/ShardCall.h>
#include <LibWire/Server.h>

namespace Gateway
{

enum class RequestOutcome {
    /** A complete answer. */
    Answered,
    /** A merged answer without some of the shards. */
    Partial,
    /** A backend server's error response was forwarded. */
    FailedByBackend,
    /** The request was not run. */
    NotRun,
    /** The request may have run, but no answer arrived in time. */
    TimedOut,
    /** The request may have run, but its answer was lost. */
    Failed,
    CallerGone,
};

/** Name of the outcome in log lines. */
[[nodiscard]] const char *outcomeName(RequestOutcome outcome);

/** Why a request may have run, by the strongest evidence. A request without evidence has not run and never will. */
enum class RunEvidence {
    None,
    /** An attempt of this gateway at a backend server was sent, and was not refused as not executed. */
    DirectAttempt,
    /** A part was sent to another gateway, which did not report what it has run. */
    PartInFlight,
    /** Another gateway reported that it has sent shards of its part. */
    PartReport,
};

/** Name of the evidence in log lines and metrics. */
[[nodiscard]] const char *evidenceName(RunEvidence evidence);

/** Result of a request, for logs and metrics. */
struct RequestSummary {
    const CallerRequest *request{nullptr};
    const Fleet::Route *route{nullptr};
    std::int64_t declarationVersion{0};
    int status{0};
    RequestOutcome outcome{RequestOutcome::Failed};
    /** Why the request may have run; set if it was not answered and its caller has not gone. */
    std::optional<RunEvidence> evidence;
    std::size_t shards{0};
    std::size_t answered{0};
    /** Number of shards that were relayed to another gateway. */
    std::size_t relayed{0};
    int attempts{0};
    int hedges{0};
    /** Largest number of attempts that one shard may have had, at all gateways as far as this one knows. */
    int mostAttempts{0};
    Core::Duration took{0};
    /** Whether the request had to end before its timeout since this gateway is being stopped. */
    bool endedByStop{false};
    /** How the caller's connection ended, if it did before the answer. */
    std::optional<Wire::ConnectionEnd> connectionEnd;
    /** The missing shards, each with the reason. */
    std::string detail;
};

/** Everything outside a request that it uses. Pointers are not owned. */
struct RequestContext {
    BackendPool *pool{nullptr};
    /** Connections to other gateways. */
    BackendPool *relays{nullptr};
    Core::TimerService *timers{nullptr};
    const Dialect *dialect{nullptr};
    const RequestSettings *settings{nullptr};
    /** Latencies of this route's replies, and of partial answers from other gateways. */
    Core::LatencyDigest *latencies{nullptr};
    Core::LatencyDigest *relayLatencies{nullptr};
    /** Limits the time that backend servers are told for this route's searches; may be nullptr. */
    WorkLimit *workLimit{nullptr};
    /** Owners of the shards of each zone. */
    const CellMap *cells{nullptr};
    /** Workspace of the request, owned by the declaration that the route belongs to; nullptr if the request has none. */
    const Fleet::Workspace *workspace{nullptr};
    /** Whether several backend servers have just ended, so that a search is sent to a single one first. */
    bool isCautious{false};
    /** Set if the request is a part of a search that another gateway relayed to this one. */
    std::optional<RelayParameters> relayParameters;
    /** Returns whether the connection on which the answer is awaited is still open. Set with `relayParameters`. */
    std::function<bool()> isAwaited;
    /** Set while this gateway stops: the request ends then at the latest. */
    std::optional<Core::Instant> endsBy;
    /** See RelayOptions::cancelsParts. */
    bool cancelsParts{false};
    /** Records the parts of searches that are lost; may be nullptr. */
    LostParts *lostParts{nullptr};
    /** Loads of other gateways, by which parts are distributed among the owners of a cell; may be nullptr. */
    OwnerLoad *ownerLoad{nullptr};
};

/** A request from its route to its answer. Its owner destroys it when the `finished` hook is called. */
class RoutedRequest
{
public:
    using AnswerHook = std::function<void(Wire::Response response)>;
    using FinishedHook = std::function<void(const RequestSummary &summary)>;

    /** `routes` keeps the declaration that contains `route` alive as long as the request. */
    RoutedRequest(RequestContext context, std::shared_ptr<const Fleet::RouteTable> routes, const Fleet::Route &route, CallerRequest request);
    virtual ~RoutedRequest();
    RoutedRequest(const RoutedRequest &) = delete;
    RoutedRequest &operator=(const RoutedRequest &) = delete;

    /** Starts the request. `answer` is called at most once, and `finished` is called once, after it. */
    void start(AnswerHook answer, FinishedHook finished);

    /** Applies a newer declaration: later sends are also restricted to the regions that it allows for the route and the workspace. */
    void restrictTo(const Fleet::RouteTable &newer);

    /** Lets the request end at `latest` with whatever it has by then, as if its timeout were over. Has no effect if it ends earlier anyway. */
    void endBy(Core::Instant latest);

    /** Handles that the caller's connection has ended: nothing more is sent, and attempts in flight are cancelled. */
    void callerGone(Wire::ConnectionEnd end);

    /** Describes the request as it is now. The pointers are valid until it ends. */
    [[nodiscard]] RequestSummary currentState() const;

    /** Whether this is the part with this id. */
    [[nodiscard]] bool isPart(const PartId &part) const;
    /** Handles that the search of this part has ended, as callerGone() does. An answer without content leaves the connection open for other parts. */
    void searchEnded();
    /** The requesting gateway of this part will not give it up any more, so its shards may be sent again from now on. */
    void receiptConfirmed();

protected:
    /** Starts the calls. The hooks of the calls must call callFinished(). */
    virtual void startCalls() = 0;
    /** Completes the request if the state of its calls allows it. */
    virtual void completeIfPossible() = 0;
    /** Hedges late calls and ends those that have timed out. Returns the latest time for the next check. */
    [[nodiscard]] virtual Core::Instant handleLateCalls() = 0;
    /** Cancels all calls. */
    virtual void cancelCalls(bool callerIsGone) = 0;
    /** Adds the figures of the calls to the summary. */
    virtual void describe(RequestSummary &summary) const = 0;
    /** Lets the calls that wait for CallParameters::repeatFrom go on. */
    virtual void releaseCalls();

    /** To be called when a call has ended. */
    void callFinished();
    /** Runs `steps`, which may end calls synchronously. Completion is deferred until they have returned, so that the request is not destroyed meanwhile. */
    void withCompletionDeferred(const std::function<void()> &steps);
    /** Ends the request with `response`. The finished hook may destroy the request. */
    void complete(Wire::Response response, RequestOutcome outcome);
    /**
     * Ends the request with a refusal: NotRun if there is no evidence that anything has run, otherwise TimedOut or Failed. `lacksServers`: the backend servers
     * that the request needs do not exist or refuse connections, so that an early retry would fail as well.
     */
    void refuse(RunEvidence evidenceOfRun, bool lacksServers);
    [[nodiscard]] std::unique_ptr<ShardCall> makeCall(const Core::ServiceName &service);
    [[nodiscard]] bool isTargetReached() const;
    [[nodiscard]] bool isExpired() const;
    [[nodiscard]] Core::Instant now() const;
    static void describeCall(RequestSummary &summary, const ShardCall &call);

    RequestContext context;
    std::shared_ptr<const Fleet::RouteTable> routes;
    const Fleet::Route &route;
    CallerRequest request;
    CallParameters parameters;
    Core::Instant arrivedAt;

private:
    void runScheduledCheck();
    void scheduleCheck(Core::Instant due);
    /** Returns how long the caller of a request that has not run should wait before its retry. */
    [[nodiscard]] Core::Duration retryDelay(bool lacksServers) const;

    // Invariant: set if and only if a planned stop has made expiresAt earlier.
    bool expiresByStop{false};
    // Set once the caller's connection has ended before the answer.
    std::optional<Wire::ConnectionEnd> connectionEnd;
    std::optional<RunEvidence> evidence;
    bool completionDeferred{false};
    bool done{false};
    AnswerHook answerHook;
    FinishedHook finishedHook;
    Core::TimerSubscription checkTimer;
};

/** Returns `duration` multiplied by `factor`. */
[[nodiscard]] Core::Duration scaled(Core::Duration duration, double factor);

/** Returns the median latency of replies, or an assumed latency while too few were measured. */
[[nodiscard]] Core::Duration typicalLatencyOf(const RequestSettings &settings, const Fleet::Route &route, const Core::LatencyDigest &latencies);

/** Returns the urgency of a workspace's requests for a route. Requests without a workspace are as urgent as those of the most urgent workspace. */
[[nodiscard]] Urgency urgencyOf(const Fleet::Workspace *workspace, const Fleet::Route &route);

/** Returns the weight by which a workspace's requests share capacity with those of others: the rate of its quota, or 1 without a bounded quota. */
[[nodiscard]] double capacityWeightOf(const Fleet::Workspace *workspace);

/** Returns the parameters of a request's calls. Their urgency and weight are not set. */
[[nodiscard]] CallParameters makeCallParameters(
    const RequestSettings &settings, const Fleet::Route &route, const CallerRequest &request, const Core::LatencyDigest &latencies, Core::Instant now);

}
