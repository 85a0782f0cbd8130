/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A gateway: takes callers' requests, routes them by the declaration in force,
// and answers out of the backend servers' replies.

#pragma once

#include <LibFleet/FleetWatcher.h>
#include <LibGateway/RoutedRequest.h>
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
    /** Reads a declaration's text. */
    std::function<Core::Result<std::shared_ptr<const Fleet::Declaration>>(const std::string &content)> readDeclaration;
    /** A gateway that knows no backend server for some services is ready all the same after this long; two heartbeats bring those that are there. */
    Core::Duration registryPatience{Core::milliseconds(2600)};
};

/** Counts for metrics. */
struct GatewayCounters {
    std::uint64_t requests{0};
    std::uint64_t answered{0};
    std::uint64_t partial{0};
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    std::uint64_t callersGone{0};
    std::uint64_t unrouted{0};
    std::uint64_t hedges{0};
};

/** Everything of a gateway but its sockets. */
class GatewayNode
{
public:
    GatewayNode(GatewayOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    void handle(Wire::Request message, const Wire::ExchangePointer &exchange);

    /** Whether callers should come here. */
    [[nodiscard]] bool isReady() const;

    /** From now on isReady() says no; requests are still answered. */
    void beginDrain();

    void addCoordinators(const std::vector<Core::Endpoint> &endpoints);

    [[nodiscard]] std::size_t requestsUnderWay() const;
    [[nodiscard]] const GatewayCounters &counters() const;
    [[nodiscard]] const BackendPool &backends() const;
    [[nodiscard]] std::string dump() const;

    /** A declaration came into force whose limits may differ. */
    std::function<void(const Fleet::CallerLimits &limits)> limitsChanged;

private:
    void adopt(Fleet::DeclarationVersion version, const std::string &content);
    void startRequest(const Fleet::Route &route, CallerRequest request, const Wire::ExchangePointer &exchange);
    void refuse(Refusal refusal, const CallerRequest &request, const Wire::ExchangePointer &exchange, const char *outcome);
    [[nodiscard]] std::vector<Core::ServiceName> servicesFor(const Fleet::Route &route);
    [[nodiscard]] bool knowsEveryService() const;
    void count(const RequestSummary &summary);
    void log(const RequestSummary &summary);

    GatewayOptions options;
    Core::TimerService &timers;
    BackendPool pool;
    Fleet::BackendRegistry registry;
    Fleet::FleetWatcher watcher;
    // The newest declaration that came; in force once it is confirmed that it was current.
    std::shared_ptr<const Fleet::RouteTable> routes;
    // How far each part of a split route is behind its share.
    std::unordered_map<std::string, std::vector<double>> credits;
    std::unordered_map<std::string, Core::LatencyDigest> latencies;
    std::unordered_map<std::uint64_t, std::unique_ptr<RoutedRequest>> requests;
    std::uint64_t nextRequest{1};
    std::optional<Core::Instant> firstNews;
    bool draining{false};
    GatewayCounters counts;
    Core::TimerSubscription housekeeping;
};

}
