/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What every request of a caller has from its route to its answer: parameters, looks
// at what is late, a summary. SingleRequest and FanOutRequest are the two kinds.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibGateway/RelayPlan.h>
#include <LibGateway/ShardCall.h>

namespace Gateway
{

/** How a request ended. */
enum class RequestOutcome {
    /** A whole answer. */
    Answered,
    /** A merged answer that leaves shards out. */
    Partial,
    /** A backend server's own failure was passed on. */
    FailedByBackend,
    /** Nothing ran. */
    NotRun,
    /** It may have run; no answer came in time. */
    TimedOut,
    /** It may have run; its answer is lost. */
    Failed,
    CallerGone,
};

/** For log lines. */
[[nodiscard]] const char *outcomeName(RequestOutcome outcome);

/** How a request ended, for logs and metrics. */
struct RequestSummary {
    const CallerRequest *request{nullptr};
    const Fleet::Route *route{nullptr};
    std::int64_t declarationVersion{0};
    int status{0};
    RequestOutcome outcome{RequestOutcome::Failed};
    std::size_t shards{0};
    std::size_t answered{0};
    /** Of the shards, those that another gateway was asked for. */
    std::size_t relayed{0};
    int attempts{0};
    int hedges{0};
    Core::Duration took{0};
    /** Which shards are missing, and why. */
    std::string detail;
};

/** What a request needs around it. */
struct RequestContext {
    BackendPool *pool{nullptr};
    /** Other gateways. */
    BackendPool *relays{nullptr};
    Core::TimerService *timers{nullptr};
    const Dialect *dialect{nullptr};
    const RequestSettings *settings{nullptr};
    /** Latencies of this route's replies, and of the other gateways' partial answers. */
    Core::LatencyDigest *latencies{nullptr};
    Core::LatencyDigest *relayLatencies{nullptr};
    /** How long backend servers are told that this route's searches wait; may be nullptr. */
    WorkLimit *workLimit{nullptr};
    /** Who owns the shards of a zone. */
    const CellMap *cells{nullptr};
    /** Whose request it is; nullptr where nobody's. Belongs to the declaration of the route. */
    const Fleet::Workspace *workspace{nullptr};
    /** What another gateway wants that asks for a part of a search. */
    std::optional<RelayParameters> relayParameters;
};

/** Lives until it is answered; its owner drops it when `finished` is called. */
class RoutedRequest
{
public:
    using AnswerHook = std::function<void(Wire::Response response)>;
    using FinishedHook = std::function<void(const RequestSummary &summary)>;

    /** `routes` keeps the declaration that the route belongs to for as long as the request lives. */
    RoutedRequest(RequestContext context, std::shared_ptr<const Fleet::RouteTable> routes, const Fleet::Route &route, CallerRequest request);
    virtual ~RoutedRequest();
    RoutedRequest(const RoutedRequest &) = delete;
    RoutedRequest &operator=(const RoutedRequest &) = delete;

    /** `answer` is called once, `finished` after it. */
    void start(AnswerHook answer, FinishedHook finished);

    /** A newer declaration has come into force: what is sent from now on keeps to what it allows for the route, too. */
    void restrictTo(const Fleet::RouteTable &newer);

    /** The caller went away: nothing is sent any more, and what runs is cancelled. */
    void callerGone();

protected:
    /** Starts the calls. Their hooks call callFinished(). */
    virtual void startCalls() = 0;
    /** Completes the request if it can be. */
    virtual void check() = 0;
    /** Hedges what is late. Returns when to look again at the latest. */
    [[nodiscard]] virtual Core::Instant lookAtCalls() = 0;
    /** Ends all calls. */
    virtual void cancelCalls(bool callerIsGone) = 0;
    /** Adds what the calls know. */
    virtual void describe(RequestSummary &summary) const = 0;

    void callFinished();
    /** Runs steps that may end calls at once; the request itself is not completed, and so not dropped, before they are done. */
    void withoutCompleting(const std::function<void()> &steps);
    void complete(Wire::Response response, RequestOutcome outcome);
    void refuse(bool mayHaveRun);
    [[nodiscard]] std::unique_ptr<ShardCall> makeCall(const Core::ServiceName &service);
    [[nodiscard]] bool isTargetDue() const;
    [[nodiscard]] bool isTimeUp() const;
    [[nodiscard]] Core::Instant now() const;
    static void describeCall(RequestSummary &summary, const ShardCall &call);

    RequestContext context;
    std::shared_ptr<const Fleet::RouteTable> routes;
    const Fleet::Route &route;
    CallerRequest request;
    CallParameters parameters;
    Core::Instant arrivedAt;

private:
    void look();
    void scheduleLook(Core::Instant due);

    bool completionHeld{false};
    bool done{false};
    AnswerHook answerHook;
    FinishedHook finishedHook;
    Core::TimerSubscription lookTimer;
};

/** A part of a duration. */
[[nodiscard]] Core::Duration scaled(Core::Duration duration, double factor);

/** What a reply usually takes: the median, or an assumption before enough are known. */
[[nodiscard]] Core::Duration typicalLatencyOf(const RequestSettings &settings, const Fleet::Route &route, const Core::LatencyDigest &latencies);

/** How urgent a workspace's requests for a route are; nobody's are as urgent as the most urgent workspace's. */
[[nodiscard]] Urgency urgencyOf(const Fleet::Workspace *workspace, const Fleet::Route &route);

/** The parameters of a request's calls, without their urgency. */
[[nodiscard]] CallParameters makeTerms(
    const RequestSettings &settings, const Fleet::Route &route, const CallerRequest &request, const Core::LatencyDigest &latencies, Core::Instant now);

}
