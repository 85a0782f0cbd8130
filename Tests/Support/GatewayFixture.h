/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Fixture for tests of single gateway requests: a pool of backend servers on the loopback interface whose answers are scripted by
// the test, and requests that are sent to them.

#pragma once

#include <LibGateway/FanOutRequest.h>
#include <LibGateway/RequestTrace.h>
#include <LibGateway/SingleRequest.h>
#include <LibRpc/Serialization.h>
#include <Support/LoopFixture.h>
#include <platform/RequestDialect.h>

#include <map>
#include <sys/epoll.h>

namespace TestSupport
{

/** A test backend server that records requests and answers each by calling its script. */
class ScriptedBackend
{
public:
    using Script = std::function<void(const Wire::Request &request, const Wire::ExchangePointer &exchange)>;

    ScriptedBackend(LoopFixture &fixture, std::string id, Script script) : id(std::move(id)), endpoint(freeEndpoint()), script(std::move(script))
    {
        auto created = Wire::Server::create({.name = this->id,
                                                .endpoint = this->endpoint,
                                                .handler =
                                                    [this](Wire::Request request, const auto &exchange) {
                                                        this->requests.push_back(request);
                                                        this->script(request, exchange);
                                                    },
                                                .limits = {}},
            *fixture.poll,
            fixture.timers);
        this->server = created.value();
    }

    std::string id;
    Core::Endpoint endpoint;
    Script script;
    std::vector<Wire::Request> requests;
    std::shared_ptr<Wire::Server> server;
};

/** A test backend server at its connection cap: accepts each new connection and closes it at once. */
class FullBackend : public Core::EventHandler, public std::enable_shared_from_this<FullBackend>
{
public:
    FullBackend() : endpoint(freeEndpoint()), listener(std::move(Wire::Socket::listenOn(this->endpoint, 4).value()))
    {
    }

    void listen(LoopFixture &fixture)
    {
        fixture.poll->add(this->listener.number(), EPOLLIN, this->shared_from_this());
    }

    void handleEvents(std::uint32_t) override
    {
        while (this->listener.acceptOne().isOpen()) {
            ++this->connectionRejected;
        }
    }

    Core::Endpoint endpoint;
    Wire::Socket listener;
    int connectionRejected{0};
};

/** The headers that every answer carries: the request's id and, between gateways, the name of the send. */
[[nodiscard]] inline Wire::Headers answerHeaders(const Wire::Request &request)
{
    Wire::Headers headers{{"Request-Id", *Wire::findHeader(request.headers, "Request-Id")}};
    if (const auto *sendName = Wire::findHeader(request.headers, Gateway::RelayHeader::Send); sendName != nullptr) {
        headers.push_back({Gateway::RelayHeader::Send, *sendName});
    }
    return headers;
}

/** A success response in the platform's format, with its signature. */
[[nodiscard]] inline Wire::Response successResponse(const Wire::Request &request, const std::string &signature, const std::string &body)
{
    Wire::Response response{.status = 200, .headers = answerHeaders(request), .body = body};
    response.headers.push_back({"Response-Signature", signature});
    return response;
}

/** The answer of a serving gateway to a part of a search. */
[[nodiscard]] inline Wire::Response partOf(const Wire::Request &request, const Protocol::PartialAnswer &part)
{
    Wire::Response response{.status = 200, .headers = answerHeaders(request), .body = Rpc::serialize(part)};
    response.headers.push_back({Gateway::RelayHeader::Partial, "1"});
    return response;
}

/** An error response; with `notExecuted` it states that the request was not executed. */
[[nodiscard]] inline Wire::Response errorResponse(const Wire::Request &request, int status, bool notExecuted)
{
    Wire::Response response{.status = status, .headers = answerHeaders(request), .body = {}};
    if (notExecuted) {
        response.headers.push_back({"Not-Executed", "1"});
    }
    return response;
}

/** A gateway's pool, route and settings. A test adds backend servers and starts one request at a time. */
class GatewayFixture : public LoopFixture
{
public:
    explicit GatewayFixture(double retrySlack = 100.0)
        : dialect(Platform::makeDialect())
        , pool(poolOptions(retrySlack), this->dialect, *this->poll, this->timers)
        , relays(poolOptions(retrySlack), this->relayDialect, *this->poll, this->timers)
    {
        this->route().timeout = Core::seconds(10);
        this->pool.setGatewayCount(1, 1);
        this->relays.setGatewayCount(1, 1);
    }

    static Gateway::BackendPoolOptions poolOptions(double retrySlack)
    {
        Gateway::BackendPoolOptions options;
        options.zone = Core::ZoneName("here");
        options.regions = {{"here", "home"}, {"beside", "home"}, {"there", "away"}, {"yonder", "far away"}};
        options.budget.slack = retrySlack;
        options.undeclaredCap = 4;
        return options;
    }

    /** The route of all requests. Each request uses the route as it is when begin() is called. */
    Fleet::Route &route()
    {
        return this->editableRoute;
    }

    ScriptedBackend &add(const std::string &service, const std::string &id, ScriptedBackend::Script script)
    {
        return this->addTo(this->pool, service, id, std::move(script));
    }

    /** Adds a serving gateway, to which the parts for the shards in `relayed` are relayed. */
    ScriptedBackend &addGateway(ScriptedBackend::Script script)
    {
        return this->addTo(this->relays, Gateway::relayService("there").value(), "gateway", std::move(script));
    }

    ScriptedBackend &addTo(
        Gateway::BackendPool &target, const std::string &service, const std::string &id, ScriptedBackend::Script script, const std::string &zone = "here")
    {
        this->backends.push_back(std::make_unique<ScriptedBackend>(*this, id, std::move(script)));
        announce(target, service, id, this->backends.back()->endpoint, zone);
        return *this->backends.back();
    }

    FullBackend &addFull(const std::string &service, const std::string &id)
    {
        this->fullBackends.push_back(std::make_shared<FullBackend>());
        this->fullBackends.back()->listen(*this);
        announce(this->pool, service, id, this->fullBackends.back()->endpoint, "here");
        return *this->fullBackends.back();
    }

    static void announce(
        Gateway::BackendPool &target, const std::string &service, const std::string &id, const Core::Endpoint &endpoint, const std::string &zone)
    {
        Fleet::BackendRecord record;
        record.announcement.id = id;
        record.announcement.serviceName = service;
        record.announcement.address = endpoint.toString();
        record.announcement.zone = zone;
        record.announcement.slots = 2;
        record.announcement.phase = Protocol::BackendPhase::READY;
        target.update(record);
    }

    /** Starts a request for the route and runs the loop until it is answered. Returns an empty response if no answer came. */
    Wire::Response ask(const std::string &id, const std::string &method = "GET")
    {
        this->begin(id, method);
        (void)this->runUntil([this] {
            return this->answer.has_value();
        });
        return this->answer.value_or(Wire::Response{});
    }

    void begin(const std::string &id, const std::string &method = "GET")
    {
        this->answer.reset();
        this->summary.reset();
        auto made = std::make_shared<Fleet::Declaration>();
        made->routes = {this->editableRoute};
        this->declaration = made;
        this->table = std::make_shared<const Fleet::RouteTable>(this->declaration);
        Wire::Request message{.method = method, .target = "/x/1", .headers = {{"Host", "h"}, {"Request-Id", id}, {"Deadline-Ms", "10000"}}, .body = {}};
        Gateway::RequestContext context{.pool = this->usedPool,
            .relays = &this->relays,
            .timers = &this->timers,
            .dialect = &this->dialect,
            .settings = &this->settings,
            .latencies = &this->latencies,
            .relayLatencies = &this->relayLatencies,
            .cells = &this->cells,
            .isCautious = this->isCautious,
            .relayParameters = this->relayParameters,
            .isAwaited = this->isAwaited,
            .ownerLoad = &this->ownerLoad};
        if (context.relayParameters.has_value() && context.relayParameters->topRecords == 0) {
            context.relayParameters->topRecords = this->editableRoute.topRecords;
        }
        const auto &used = this->declaration->routes.front();
        auto request = this->dialect.readRequest(std::move(message));
        request.trace = Gateway::makeTrace(request, this->timers.now());
        if (used.isFanOut()) {
            Gateway::RelayPlan plan;
            plan.timeoutInTargets = this->timeoutInTargets;
            plan.before = this->relayParameters.has_value() ? this->relayParameters->before : Protocol::MissingShard();
            if (!this->relayed.empty()) {
                plan.parts.push_back({.zone = "there", .shards = this->relayed, .mayRelayFurther = false, .owners = this->owners});
            }
            std::copy_if(used.shards.begin(), used.shards.end(), std::back_inserter(plan.direct), [this](const auto &shard) {
                return std::find(this->relayed.begin(), this->relayed.end(), shard) == this->relayed.end();
            });
            this->request = std::make_unique<Gateway::FanOutRequest>(context,
                this->table,
                used,
                std::move(request),
                std::move(plan),
                this->relayParameters.has_value() ? Gateway::RequestOrigin::OtherGateway : Gateway::RequestOrigin::Caller);
        } else {
            this->request = std::make_unique<Gateway::SingleRequest>(context, this->table, used, std::move(request), used.targets.front().service);
        }
        this->request->start(
            [this](Wire::Response response) {
                this->answer = std::move(response);
            },
            [this](const Gateway::RequestSummary &ended) {
                this->summary = ended;
            });
    }

    Gateway::Dialect dialect;
    Gateway::Dialect relayDialect{Gateway::makeRelayDialect(this->dialect)};
    std::vector<Core::ServiceName> relayed;
    // Whether several backend servers have just ended.
    bool isCautious{false};
    // Timeout of a relayed part, in target latencies.
    int timeoutInTargets{4};
    // Gateways that the relayed part should be sent to, the preferred one first. Empty: any gateway of the zone.
    std::vector<Gateway::BackendName> owners;
    // What this gateway knows of the loads of the owners.
    Gateway::OwnerLoad ownerLoad;
    // Set if the request comes from another gateway. If its number of top records is 0, that of the route is used.
    std::optional<Gateway::RelayParameters> relayParameters;
    std::function<bool()> isAwaited;
    Gateway::BackendPool pool;
    Gateway::BackendPool *usedPool{&this->pool};
    Gateway::BackendPool relays;
    Gateway::CellMap cells{{}, "here", poolOptions(0.0).regions, "here:1"};
    Gateway::RequestSettings settings;
    Core::LatencyDigest latencies;
    Core::LatencyDigest relayLatencies;
    Fleet::Route editableRoute;
    std::shared_ptr<const Fleet::Declaration> declaration;
    std::shared_ptr<const Fleet::RouteTable> table;
    std::vector<std::unique_ptr<ScriptedBackend>> backends;
    std::vector<std::shared_ptr<FullBackend>> fullBackends;
    std::unique_ptr<Gateway::RoutedRequest> request;
    std::optional<Wire::Response> answer;
    std::optional<Gateway::RequestSummary> summary;
};

}
