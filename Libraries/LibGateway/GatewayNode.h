/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A gateway without its sockets. It receives requests from callers and parts of
// searches from other gateways, routes them by the active declaration, sends them
// to backend servers and other gateways, and answers with the merged replies.

#pragma once

#include <LibCore/GracefulStop.h>
#include <LibFleet/FleetWatcher.h>
#include <LibGateway/CellOwnership.h>
#include <LibGateway/FanOutRequest.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/Quota/QuotaAdmission.h>
#include <LibGateway/Scheduling/StopAdmission.h>
#include <LibGateway/TargetSplits.h>
#include <LibMetrics/LatencyHistogram.h>
#include <LibWire/Server.h>

namespace Gateway
{

struct GatewayOptions {
    std::string name;
    BackendPoolOptions pool;
    RequestSettings requests;
    std::vector<Core::Endpoint> coordinators;
    Dialect dialect;
    /** Address on which this gateway serves parts of searches and quota queries of other gateways. */
    Core::Endpoint relayEndpoint;
    RelayOptions relay;
    CellOwnershipOptions ownership;
    QuotaLimiterOptions quotas;
    /** Maximum number of connections to each other gateway; a connection carries one request at a time. */
    int relayConnections{8};
    /** Parses the text of a declaration. */
    std::function<Core::Result<std::shared_ptr<const Fleet::Declaration>>(const std::string &content)> readDeclaration;
    /**
     * Time from the first update of a coordinator until the gateway is ready although some services have no ready backend server. It covers two heartbeat
     * periods, so every running backend server is known by then.
     */
    Core::Duration readinessTimeout{Core::milliseconds(2600)};
    /** Returns the time that the event loop has waited for events so far. Without a hook the gateway does not measure its load and reports none. */
    std::function<Core::Duration()> loopWaited;
};

/** Routes requests, limits them by quota, and watches the coordinators. The owner of the object runs the listeners and passes their requests in. */
class GatewayNode
{
public:
    GatewayNode(GatewayOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    /** Handles a caller's request. It is answered through `exchange`, immediately or later. */
    void handle(Wire::Request message, const Wire::ExchangePointer &exchange);

    /** Handles a request of another gateway: a part of a search or a quota query. */
    void handleRelayed(Wire::Request message, const Wire::ExchangePointer &exchange);

    /** Whether the load balancer should send callers to this gateway. */
    [[nodiscard]] bool isReady() const;

    /**
     * Begins a planned stop: isReady() returns false from now on, and cells and quota shares are given up. Every request ends by schedule.answersDue, and
     * requests that are not expected to be finished by then are refused.
     */
    void beginStop(const Core::StopSchedule &schedule);

    /** Ends every request with its final answer. */
    void endRequests();

    /** The response to requests that a stopping gateway rejects before they have arrived completely. */
    [[nodiscard]] Wire::Response stoppingResponse() const;

    /** Writes a log line for each request that has no answer, up to a limit. To be called when the process ends. */
    void logUnanswered() const;

    void addCoordinators(const std::vector<Core::Endpoint> &endpoints);

    /** Number of requests that are not answered yet: callers' requests, also those that wait for a quota decision, and parts for other gateways. */
    [[nodiscard]] std::size_t requestsInFlight() const;
    [[nodiscard]] const GatewayCounters &counters() const;
    [[nodiscard]] const BackendPool &backends() const;
    /** The state as JSON, for operators. */
    [[nodiscard]] std::string dump() const;

    /** Counters and latencies in the Prometheus text format; docs/OPERATIONS.md describes them. */
    [[nodiscard]] std::string metrics() const;

    /** Called when a declaration has become active, with its limits for callers' requests, which may be the same as before. */
    std::function<void(const Fleet::CallerLimits &limits)> limitsChanged;

    /** Returns the counters of the listener for callers, for metrics. Without a hook they are left out. */
    std::function<Wire::ServerCounters()> callerConnections;

private:
    [[nodiscard]] bool isStopping() const;
    /** Refuses a request that is not expected to end before this gateway does. Returns whether it was refused. */
    [[nodiscard]] bool refuseIfTooLate(
        const Fleet::Route &route, const CallerRequest &request, std::optional<Core::Duration> timeLeft, const RoutedRequest::AnswerHook &answer);

    void endRequestsBy(Core::Instant latest);
    void applyDeclaration(Fleet::DeclarationVersion version, const std::string &content);
    void applyEvacuations(const Protocol::Evacuations &evacuations);
    /** Returns the workspace that the request's API key belongs to and stores its name in the request; nullptr without a known key. */
    [[nodiscard]] const Fleet::Workspace *authenticate(CallerRequest &request) const;
    /** Requests a quota decision; the request starts or is refused when the decision is made. */
    void admit(const Fleet::Workspace &workspace, const Fleet::Route &route, CallerRequest request, const Wire::ExchangePointer &exchange);
    void handleDecision(WaitingRequest waiting, const QuotaDecision &decision);
    void refuseByQuota(const WaitingRequest &waiting, const QuotaDecision &decision);
    void cancelPart(const PartId &part);
    void answerQuotaQuery(const ReceivedQuotaQuery &received, const CallerRequest &query, const RoutedRequest::AnswerHook &answer);
    void updateQuotas();
    void startRequest(const Fleet::Route &route, const Fleet::Workspace *workspace, CallerRequest request, const Wire::ExchangePointer &exchange);
    [[nodiscard]] RequestContext contextFor(const Fleet::Route &route, const Fleet::Workspace *workspace, std::optional<RelayParameters> relayParameters);
    [[nodiscard]] RelayView relayView(const Fleet::Route &route, const Fleet::Workspace *workspace, bool onlyOtherRegions);
    /** Starts the trace of a routed request. Returns false if the request is quarantined; it was refused then. */
    [[nodiscard]] bool startTrace(CallerRequest &request, const RoutedRequest::AnswerHook &answer);
    void reportCrash(const RequestTrace &trace, const Backend &backend, Core::Instant crashedAt);
    void reportAnswer(const RequestTrace &trace);
    void run(std::unique_ptr<RoutedRequest> request, const Wire::ExchangePointer &exchange, RoutedRequest::AnswerHook answer);
    [[nodiscard]] std::optional<Protocol::BackendAnnouncement> makeOwnAnnouncement();
    void updateRelays(const Fleet::BackendRecord &record);
    /** Removes what has expired and applies the known gateways to ownership, quotas and connection limits. Runs once per HousekeepingPeriod. */
    void housekeep(Core::Instant now);
    /** Starts to measure the load of this gateway, if it can be measured. */
    void measureLoad();
    /** Declines a part if this gateway is too busy for it and another owner is not. Returns whether it was declined. */
    [[nodiscard]] bool declineIfBusy(const CallerRequest &request, const RelayParameters &parameters, const RoutedRequest::AnswerHook &answer);
    /** Adds the load of this gateway to an answer to another gateway. */
    [[nodiscard]] RoutedRequest::AnswerHook withOwnLoad(RoutedRequest::AnswerHook answer) const;
    /** Tells the pool how many gateways share the backend servers. */
    void countGateways(Core::Instant now);
    void refuse(Refusal refusal,
        const CallerRequest &request,
        const RoutedRequest::AnswerHook &answer,
        const char *outcome,
        std::optional<Core::Duration> retryAfter = std::nullopt);
    [[nodiscard]] bool knowsEveryService() const;
    void count(const RequestSummary &summary);
    void log(const RequestSummary &summary);
    void logCounters() const;

    GatewayOptions options;
    Core::TimerService &timers;
    BackendPool pool;
    Dialect relayDialect;
    // The other gateways, stored as backend servers; the gateways of each zone form one service.
    BackendPool relays;
    Fleet::BackendRegistry registry;
    Fleet::BackendRegistry gateways{{.notifiesOfConfirmation = true}};
    Fleet::CrashLedger crashes;
    Fleet::FleetWatcher watcher;
    CellOwnership ownership;
    QuotaLimiter quotas;
    RepeatLending lending;
    QuotaAdmission admission;
    TargetSplits targetSplits;
    StopAdmission stop;
    // When housekeeping last found a reachable coordinator.
    Core::Instant lastReachableAt;
    // The newest declaration that was received. Requests are served by it once a coordinator has confirmed that it is current.
    std::shared_ptr<const Fleet::RouteTable> routes;
    // Latencies of backend servers' replies and of parts served by other gateways, by route.
    std::unordered_map<std::string, Core::LatencyDigest> latencies;
    std::unordered_map<std::string, Core::LatencyDigest> relayLatencies;
    std::unordered_map<std::string, WorkLimit> workLimits;
    std::unordered_map<std::uint64_t, std::unique_ptr<RoutedRequest>> requests;
    std::uint64_t nextRequest{1};
    // When housekeeping first found that a coordinator had sent an update.
    std::optional<Core::Instant> firstUpdateAt;
    // Identifies this incarnation of the gateway to the other gateways.
    std::string incarnationName;
    std::int64_t announcementSequence{0};
    // The largest number of ready gateways within GatewayCountMemory, the number in this zone at that time, and the time.
    int maximumGateways{0};
    int gatewaysInZone{0};
    Core::Instant maximumAt;
    // Number of gateways that share the slack of the retry budgets. Includes silent ones: each side of a cut that left the others out would use the whole
    // slack.
    int sharingGateways{BackendPool::AssumedGateways};
    // As of this position in the changes of the gateway registry: BackendRegistry::presentCount(), and the addresses that have a ready gateway, in all zones
    // and in this one.
    std::int64_t countedPosition{-1};
    int presentGateways{0};
    int runningCount{0};
    int runningInZone{0};
    GatewayCounters counts;
    Metrics::LatencyHistogram searchLatencies;
    Metrics::LatencyHistogram singleLatencies;
    Core::TimerSubscription housekeeping;
    Core::TimerSubscription counterTimer;
    // Set if the load of this gateway is measured.
    std::optional<LoopLoad> loopLoad;
    LostParts lostParts;
    OwnerLoad ownerLoad;
    Core::TimerSubscription loadTimer;
    static constexpr int DeclineLinesPerSecond = 2;
    LogLimit declineLines{DeclineLinesPerSecond};
};

}
