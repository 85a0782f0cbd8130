/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A gateway: takes callers' requests, routes them by the declaration in force,
// and answers out of the backend servers' replies.

#pragma once

#include <LibFleet/FleetWatcher.h>
#include <LibGateway/CellOwnership.h>
#include <LibGateway/FanOutRequest.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibMetrics/LatencyHistogram.h>
#include <LibWire/Server.h>

namespace Gateway
{

/** Settings of one gateway. */
struct GatewayOptions {
    std::string name;
    BackendPoolOptions pool;
    RequestSettings requests;
    std::vector<Core::Endpoint> coordinators;
    Dialect dialect;
    /** Where other gateways bring searches. */
    Core::Endpoint relayEndpoint;
    RelayOptions relay;
    CellOwnershipOptions ownership;
    QuotaLimiterOptions quotas;
    /** Connections to each other gateway, one request at a time on each. */
    int relayConnections{8};
    /** Reads a declaration's text. */
    std::function<Core::Result<std::shared_ptr<const Fleet::Declaration>>(const std::string &content)> readDeclaration;
    /** A gateway that knows no backend server for some services is ready all the same after this long; two heartbeats bring those that are there. */
    Core::Duration readinessTimeout{Core::milliseconds(2600)};
};

/** Everything of a gateway but its sockets. */
class GatewayNode
{
public:
    GatewayNode(GatewayOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    /** A caller's request. */
    void handle(Wire::Request message, const Wire::ExchangePointer &exchange);

    /** A search that another gateway brings. */
    void handleRelayed(Wire::Request message, const Wire::ExchangePointer &exchange);

    /** Whether callers should come here. */
    [[nodiscard]] bool isReady() const;

    /** From now on isReady() says no; requests are still answered. */
    void beginDrain();

    void addCoordinators(const std::vector<Core::Endpoint> &endpoints);

    [[nodiscard]] std::size_t requestsInFlight() const;
    [[nodiscard]] const GatewayCounters &counters() const;
    [[nodiscard]] const BackendPool &backends() const;
    [[nodiscard]] std::string dump() const;

    /** Counters and latencies in the Prometheus text format; docs/OPERATIONS.md tells what they mean. */
    [[nodiscard]] std::string metrics() const;

    /** A declaration came into force whose limits may differ. */
    std::function<void(const Fleet::CallerLimits &limits)> limitsChanged;

private:
    /** A request that waits until its workspace's quota lets it in. */
    struct Admission {
        CallerRequest request;
        Wire::ExchangePointer exchange;
        std::uint64_t question{0};
    };

    void adopt(Fleet::DeclarationVersion version, const std::string &content);
    void applyEvacuations(const Protocol::Evacuations &evacuations);
    /** Finds the workspace that holds the request's key, and names it in the request; nullptr when there is none. */
    [[nodiscard]] const Fleet::Workspace *authenticate(CallerRequest &request) const;
    /** Starts the request as soon as the quota of its workspace allows. */
    void admit(const Fleet::Workspace &workspace, CallerRequest request, const Wire::ExchangePointer &exchange);
    void takeDecision(std::uint64_t id, const QuotaDecision &decision);
    void answerQuotaQuestion(const Fleet::WorkspaceName &workspace, const CallerRequest &question, const RoutedRequest::AnswerHook &answer);
    void updateQuotas();
    void startRequest(const Fleet::Route &route, const Fleet::Workspace *workspace, CallerRequest request, const Wire::ExchangePointer &exchange);
    [[nodiscard]] RequestContext contextFor(const Fleet::Route &route, const Fleet::Workspace *workspace, std::optional<RelayParameters> relayParameters);
    [[nodiscard]] RelayView relayView(const Fleet::Route &route, const Fleet::Workspace *workspace, bool onlyOtherRegions);
    void run(std::unique_ptr<RoutedRequest> request, const Wire::ExchangePointer &exchange, RoutedRequest::AnswerHook answer);
    [[nodiscard]] std::optional<Protocol::BackendAnnouncement> makePresence();
    void updateRelays(const Fleet::BackendRecord &record);
    void housekeep(Core::Instant now);
    void countGateways(Core::Instant now);
    void refuse(Refusal refusal,
        const CallerRequest &request,
        const RoutedRequest::AnswerHook &answer,
        const char *outcome,
        std::optional<Core::Duration> retryAfter = std::nullopt);
    [[nodiscard]] Core::ServiceName chooseTarget(const Fleet::Route &route);
    [[nodiscard]] bool knowsEveryService() const;
    void count(const RequestSummary &summary);
    void log(const RequestSummary &summary);
    void logCounters() const;

    GatewayOptions options;
    Core::TimerService &timers;
    BackendPool pool;
    Dialect relayDialect;
    // Other gateways, as backend servers of a service for each zone.
    BackendPool relays;
    Fleet::BackendRegistry registry;
    Fleet::BackendRegistry gateways;
    Fleet::FleetWatcher watcher;
    CellOwnership ownership;
    QuotaLimiter quotas;
    // When a coordinator last answered.
    Core::Instant lastInReach;
    // The newest declaration that came; in force once it is confirmed that it was current.
    std::shared_ptr<const Fleet::RouteTable> routes;
    // How far each part of a split route is behind its share.
    std::unordered_map<std::string, std::vector<double>> credits;
    // Of backend servers' replies and of other gateways' parts, by route.
    std::unordered_map<std::string, Core::LatencyDigest> latencies;
    std::unordered_map<std::string, Core::LatencyDigest> relayLatencies;
    std::unordered_map<std::string, WorkLimit> workLimits;
    std::unordered_map<std::uint64_t, Admission> admissions;
    std::unordered_map<std::uint64_t, std::unique_ptr<RoutedRequest>> requests;
    std::uint64_t nextRequest{1};
    std::optional<Core::Instant> firstNews;
    // Names this life of the gateway towards the others.
    std::string incarnationName;
    std::int64_t presenceSequence{0};
    int countedGateways{0};
    int countedInZone{0};
    Core::Instant countedAt;
    bool draining{false};
    GatewayCounters counts;
    Metrics::LatencyHistogram searchLatencies;
    Metrics::LatencyHistogram singleLatencies;
    Core::TimerSubscription housekeeping;
    Core::TimerSubscription counterTimer;
};

}
