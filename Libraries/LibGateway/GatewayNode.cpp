/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/GatewayNode.h>

#include <LibCore/Log.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Gateway
{

static constexpr Core::Duration HousekeepingPeriod = Core::seconds(1);

GatewayNode::GatewayNode(GatewayOptions options, Core::EventPoll &poll, Core::TimerService &timers)
    : options(std::move(options))
    , timers(timers)
    , pool(this->options.pool, this->options.dialect, poll, timers)
    , watcher(Fleet::WatcherOptions{.name = this->options.name, .isGateway = true, .own = {}}, this->registry, timers)
{
    this->registry.changed = [this](const Fleet::BackendRecord &record) {
        this->pool.update(record);
    };
    this->watcher.heldVersion = [this] {
        return this->routes ? this->routes->declaration().version : Fleet::DeclarationVersion(-1);
    };
    this->watcher.declarationArrived = [this](Fleet::DeclarationVersion version, const std::string &content) {
        this->adopt(version, content);
    };
    this->watcher.wantConfirmation();
    this->watcher.addCoordinators(this->options.coordinators);
    this->housekeeping = timers.every(HousekeepingPeriod, [this](Core::Instant now) {
        this->pool.setGatewayCount(this->watcher.gatewayCount() > 0 ? this->watcher.gatewayCount() : this->pool.gatewayCount());
        for (auto &[name, digest] : this->latencies) {
            digest.fade(now);
        }
        this->registry.forget(now);
    });
}

void GatewayNode::addCoordinators(const std::vector<Core::Endpoint> &endpoints)
{
    this->watcher.addCoordinators(endpoints);
}

void GatewayNode::adopt(Fleet::DeclarationVersion version, const std::string &content)
{
    if (this->routes && version <= this->routes->declaration().version) {
        return;
    }
    auto declaration = this->options.readDeclaration(content);
    if (!declaration.has_value()) {
        // Coordinators accept nothing that can't be read, so this is a newer coordinator's declaration that this program does not understand.
        Core::logEvent(Core::LogLevel::Error, "declaration.unreadable", {{"version", version.value()}, {"error", declaration.error().message}});
        return;
    }
    this->routes = std::make_shared<const Fleet::RouteTable>(declaration.value());
    this->pool.setDeclaration(declaration.value());
    this->credits.clear();
    Core::logEvent(Core::LogLevel::Information,
        "declaration.in_force",
        {{"version", version.value()}, {"routes", declaration.value()->routes.size()}, {"services", declaration.value()->services.size()}});
    if (this->limitsChanged) {
        this->limitsChanged(declaration.value()->limits);
    }
}

bool GatewayNode::knowsEveryService() const
{
    const auto &routeList = this->routes->declaration().routes;
    return std::all_of(routeList.begin(), routeList.end(), [this](const Fleet::Route &route) {
        const bool targetsKnown = std::all_of(route.targets.begin(), route.targets.end(), [this](const auto &target) {
            return target.weight <= 0.0 || this->pool.hasReady(target.service);
        });
        const bool shardsKnown = std::all_of(route.shards.begin(), route.shards.end(), [this](const auto &shard) {
            return this->pool.hasReady(shard);
        });
        return targetsKnown && shardsKnown;
    });
}

bool GatewayNode::isReady() const
{
    if (this->draining || !this->routes || !this->watcher.isConfirmed()) {
        return false;
    }
    // NOTE: Once backend servers were known to be all there, losing some is no reason to send callers to gateways that have lost them too.
    const bool patienceOver = this->firstNews.has_value() && this->timers.now() - this->firstNews.value() >= this->options.registryPatience;
    return patienceOver || this->knowsEveryService();
}

void GatewayNode::beginDrain()
{
    this->draining = true;
}

std::size_t GatewayNode::requestsUnderWay() const
{
    return this->requests.size();
}

const GatewayCounters &GatewayNode::counters() const
{
    return this->counts;
}

const BackendPool &GatewayNode::backends() const
{
    return this->pool;
}

// ---- Requests

void GatewayNode::handle(Wire::Request message, const Wire::ExchangePointer &exchange)
{
    ++this->counts.requests;
    CallerRequest request = this->options.dialect.readRequest(std::move(message));
    if (!this->routes || !this->watcher.isConfirmed()) {
        this->refuse(Refusal::NotRun, request, exchange, "declaration-unknown");
        return;
    }
    const auto *route = this->routes->match(request.host, request.message.target);
    if (route == nullptr) {
        ++this->counts.unrouted;
        this->refuse(Refusal::NoRoute, request, exchange, "no-route");
        return;
    }
    this->startRequest(*route, std::move(request), exchange);
}

void GatewayNode::refuse(Refusal refusal, const CallerRequest &request, const Wire::ExchangePointer &exchange, const char *outcome)
{
    Core::logEvent(Core::LogLevel::Information,
        "request.refused",
        {{"request", request.id.value()},
            {"outcome", outcome},
            {"host", request.host},
            {"target", request.message.target},
            {"declaration", this->routes ? this->routes->declaration().version.value() : -1},
            {"confirmed", this->watcher.isConfirmed() ? 1 : 0}});
    exchange->respond(this->options.dialect.writeRefusal(refusal, request.id, this->options.requests.comeBackAfter));
}

std::vector<Core::ServiceName> GatewayNode::servicesFor(const Fleet::Route &route)
{
    if (route.isFanOut()) {
        return route.shards;
    }
    if (route.targets.size() == 1) {
        return {route.targets.front().service};
    }
    // Each request goes to the part that is furthest behind its share, so that shares hold for short times too.
    double total = 0.0;
    for (const auto &target : route.targets) {
        total += target.weight;
    }
    auto &behind = this->credits[route.name];
    behind.resize(route.targets.size(), 0.0);
    for (std::size_t index = 0; index < behind.size(); ++index) {
        behind[index] += route.targets[index].weight / total;
    }
    const auto chosen = std::max_element(behind.begin(), behind.end());
    *chosen -= 1.0;
    return {route.targets[static_cast<std::size_t>(chosen - behind.begin())].service};
}

void GatewayNode::startRequest(const Fleet::Route &route, CallerRequest request, const Wire::ExchangePointer &exchange)
{
    const auto id = this->nextRequest++;
    const RequestContext context{.pool = &this->pool,
        .timers = &this->timers,
        .dialect = &this->options.dialect,
        .settings = &this->options.requests,
        .latencies = &this->latencies[route.name]};
    const auto services = this->servicesFor(route);
    auto made = std::make_unique<RoutedRequest>(context, this->routes, route, std::move(request), services);
    auto &routed = *made;
    this->requests[id] = std::move(made);
    exchange->aborted = [this, id] {
        const auto found = this->requests.find(id);
        if (found != this->requests.end()) {
            found->second->callerGone();
        }
    };
    routed.start(
        [exchange](Wire::Response response) {
            exchange->respond(response);
        },
        [this, id](const RequestSummary &summary) {
            this->count(summary);
            this->log(summary);
            this->requests.erase(id);
        });
}

void GatewayNode::count(const RequestSummary &summary)
{
    this->counts.hedges += static_cast<std::uint64_t>(summary.hedges);
    const std::string_view outcome = summary.outcome;
    if (outcome == "caller-gone") {
        ++this->counts.callersGone;
    } else if (outcome == "not-run") {
        ++this->counts.refused;
    } else if (outcome == "partial") {
        ++this->counts.partial;
    } else if (outcome == "complete" || outcome == "answered") {
        ++this->counts.answered;
    } else {
        ++this->counts.failed;
    }
}

void GatewayNode::log(const RequestSummary &summary)
{
    const bool inTime = summary.took <= summary.route->targetLatency;
    const bool clean = inTime && summary.answered == summary.shards;
    Core::logEvent(clean ? Core::LogLevel::Debug : Core::LogLevel::Information,
        "request.finished",
        {{"request", summary.request->id.value()},
            {"route", summary.route->name},
            {"declaration", summary.declarationVersion},
            {"outcome", summary.outcome},
            {"status", summary.status},
            {"shards", summary.shards},
            {"answered", summary.answered},
            {"attempts", summary.attempts},
            {"hedges", summary.hedges},
            {"took_ms", Core::toMilliseconds(summary.took)},
            {"missing", summary.detail}});
}

std::string GatewayNode::dump() const
{
    nlohmann::json document;
    document["name"] = this->options.name;
    document["ready"] = this->isReady();
    document["declaration_version"] = this->routes ? this->routes->declaration().version.value() : -1;
    document["confirmed"] = this->watcher.isConfirmed();
    document["coordinators_in_reach"] = this->watcher.inReach();
    document["gateways"] = this->pool.gatewayCount();
    document["requests_under_way"] = this->requests.size();
    document["backends"] = nlohmann::json::parse(this->pool.dump());
    return document.dump(2);
}

}
