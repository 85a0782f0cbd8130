/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Fixture for tests of whole gateways on the loopback interface, with a test coordinator whose state the test sets, and a method
// that sends callers' requests.

#pragma once

#include <LibCore/Json.h>
#include <LibFleet/ContactSummary.h>
#include <LibFleet/TextDelta.h>
#include <LibGateway/GatewayNode.h>
#include <LibRpc/RpcServer.h>
#include <LibWire/ClientConnection.h>
#include <Support/GatewayFixture.h>
#include <platform/ConfigurationCodec.h>

namespace TestSupport
{

/** A test coordinator that sends every watcher all backend servers and gateways and the newest declaration, always as confirmed. */
class SteadyCoordinator : public Protocol::CoordinatorCobSvIf
{
public:
    explicit SteadyCoordinator(LoopFixture &fixture) : endpoint(freeEndpoint()), timers(fixture.timers)
    {
        // The server holds a non-owning pointer, since this object owns the server.
        const std::shared_ptr<SteadyCoordinator> nonOwning(this, [](SteadyCoordinator *) {
        });
        this->server = Rpc::RpcServer::create(
            {.name = "watch", .endpoint = this->endpoint, .processor = std::make_shared<Protocol::CoordinatorAsyncProcessor>(nonOwning), .limits = {}},
            fixture.timers)
                           .value();
    }

    void watch(std::function<void(Protocol::WatchReply const &)> callback, const Protocol::WatchRequest &request) override
    {
        if (request.__isset.gateway && !this->ignoresAnnouncements) {
            this->gateways.merge(request.gateway, this->timers.now());
            if (request.coordinatorIncarnation == 1 && request.gatewayCursor == this->gateways.position()) {
                this->gateways.recordDirectContact(request.gateway.id, this->timers.now());
            }
        }
        if (this->isSilent) {
            return;
        }
        // Gateways repeat a watch request as soon as it is answered, so each is held for 10 ms to limit their rate.
        this->held.push_back(this->timers.once(Core::milliseconds(10), [this, callback = std::move(callback), request](Core::Instant now) {
            callback(this->replyTo(request, now));
        }));
    }

    void storeDepartures(std::function<void(bool const &)> callback, const std::vector<Protocol::BackendAnnouncement> &) override
    {
        callback(false);
    }

    void reportCrashes(std::function<void(std::int32_t const &)> callback, const std::vector<Protocol::CrashRecord> &records) override
    {
        for (const auto &record : records) {
            this->crashes.merge(record, this->timers.now());
        }
        callback(static_cast<std::int32_t>(this->crashes.size()));
    }

    void introduce(std::function<void(Protocol::IntroductionReply const &)> callback, const Protocol::Introduction &) override
    {
        callback(Protocol::IntroductionReply());
    }

    void declare(const nlohmann::json &document)
    {
        this->version = document["version"].get<std::int64_t>();
        this->declaration = Fleet::compressText(document.dump());
    }

    Core::Endpoint endpoint;
    Fleet::BackendRegistry backends;
    Fleet::BackendRegistry gateways;
    Fleet::CrashLedger crashes;
    // Announcements of gateways are not merged while this is set.
    bool ignoresAnnouncements{false};
    // Watch requests get no reply while this is set.
    bool isSilent{false};
    bool isRegistryConfirmed{true};

private:
    [[nodiscard]] Protocol::WatchReply replyTo(const Protocol::WatchRequest &request, Core::Instant now) const
    {
        const bool isSameIncarnation = request.coordinatorIncarnation == 1;
        Protocol::WatchReply reply;
        reply.coordinatorIncarnation = 1;
        reply.cursor = this->backends.position();
        reply.changed = this->backends.changedSince(isSameIncarnation ? request.cursor : 0, now);
        reply.gatewayCursor = this->gateways.position();
        reply.changedGateways = this->gateways.changedSince(isSameIncarnation ? request.gatewayCursor : 0, now);
        reply.declarationVersion = this->version;
        reply.crashes = this->crashes.changedSince(isSameIncarnation ? request.crashCursor : 0, Fleet::CrashRecords::Shared, now);
        reply.crashCursor = this->crashes.position(Fleet::CrashRecords::Shared);
        reply.hasLeader = true;
        reply.__set_isRegistryConfirmed(this->isRegistryConfirmed);
        reply.confirmed = request.confirm;
        if (request.wantsDeclaration && request.declarationVersion < this->version) {
            reply.__set_declaration(this->declaration);
        }
        const auto oldest = Fleet::ContactSummary(this->gateways, now).oldestExcept(request.gateway.address);
        if (request.wantsContacts && oldest.has_value()) {
            reply.__set_oldestContactAgeMs(static_cast<std::int32_t>(Core::toMilliseconds(now - oldest.value())) + 1);
        }
        return reply;
    }

    Core::TimerService &timers;
    std::int64_t version{-1};
    std::string declaration;
    std::vector<Core::TimerSubscription> held;
    std::unique_ptr<Rpc::RpcServer> server;
};

/** A gateway with its listeners for callers and for other gateways. */
class NodeUnderTest
{
public:
    NodeUnderTest(LoopFixture &fixture, Gateway::GatewayOptions options, const Core::Endpoint &callerEndpoint)
        : callerEndpoint(callerEndpoint), node(options, *fixture.poll, fixture.timers)
    {
        this->callers = listen(fixture, "caller", callerEndpoint, [this](Wire::Request request, const auto &exchange) {
            this->node.handle(std::move(request), exchange);
        });
        this->relay = listen(fixture, "relay", options.relayEndpoint, [this](Wire::Request request, const auto &exchange) {
            this->relayed.push_back(request);
            this->node.handleRelayed(std::move(request), exchange);
        });
        this->node.limitsChanged = [this](const Fleet::CallerLimits &limits) {
            this->callers->setLimits({.message = {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes}});
            this->relay->setLimits({.message = Gateway::relayMessageLimits(limits)});
        };
    }

    Core::Endpoint callerEndpoint;
    // Parts that other gateways relayed to this one.
    std::vector<Wire::Request> relayed;
    Gateway::GatewayNode node;

private:
    static std::shared_ptr<Wire::Server> listen(LoopFixture &fixture, const std::string &name, const Core::Endpoint &endpoint, Wire::RequestHandler handler)
    {
        return Wire::Server::create({.name = name, .endpoint = endpoint, .handler = std::move(handler), .limits = {}}, *fixture.poll, fixture.timers).value();
    }

    std::shared_ptr<Wire::Server> callers;
    std::shared_ptr<Wire::Server> relay;
};

/** A test coordinator, gateways and scripted backend servers. */
class NodeFixture : public LoopFixture
{
public:
    NodeUnderTest &addNode(const std::string &zone, const std::function<void(Gateway::GatewayOptions &options)> &adjust = {})
    {
        Gateway::GatewayOptions options;
        options.name = "gateway-" + std::to_string(this->nodes.size());
        options.pool.zone = Core::ZoneName(zone);
        options.pool.regions = {{"here", "home"}, {"beside", "home"}, {"there", "away"}};
        options.coordinators = {this->coordinator.endpoint};
        options.relayEndpoint = freeEndpoint();
        options.dialect = Platform::makeDialect();
        options.readDeclaration = Platform::readConfiguration;
        if (adjust) {
            adjust(options);
        }
        this->nodes.push_back(std::make_unique<NodeUnderTest>(*this, std::move(options), freeEndpoint()));
        return *this->nodes.back();
    }

    ScriptedBackend &addBackend(const std::string &service, const std::string &id, const std::string &zone)
    {
        this->backends.push_back(std::make_unique<ScriptedBackend>(*this, id, [id](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            exchange->respond(successResponse(request, "signature-" + id, std::string(16, 'r')));
        }));
        Protocol::BackendAnnouncement announcement;
        announcement.id = id;
        announcement.serviceName = service;
        announcement.address = this->backends.back()->endpoint.toString();
        announcement.zone = zone;
        announcement.slots = 4;
        announcement.phase = Protocol::BackendPhase::READY;
        announcement.sequence = 1;
        this->coordinator.backends.merge(announcement, this->timers.now());
        return *this->backends.back();
    }

    /** Runs the loop until every gateway is ready and has learned of all gateways. Returns whether this came to hold. */
    [[nodiscard]] bool awaitReady()
    {
        return this->runUntil([this] {
            return std::all_of(this->nodes.begin(), this->nodes.end(), [this](const auto &row) {
                return row->node.isReady() && row->node.backends().gatewayCount() == static_cast<int>(this->nodes.size());
            });
        });
    }

    /** Sends a caller's request to `asked` and returns the answer, with status 0 if none came. */
    Wire::Response ask(const NodeUnderTest &gateway, const std::string &target, Wire::Headers headers = {})
    {
        Wire::Response answer;
        bool ended = false;
        const auto connection = this->begin(gateway, target, std::move(headers), [&](const Wire::Response &response) {
            ended = true;
            answer = response;
        });
        (void)this->runUntil([&ended] {
            return ended;
        });
        return answer;
    }

    /** Sends a caller's request over a connection of its own, which is returned. */
    [[nodiscard]] std::shared_ptr<Wire::ClientConnection> begin(
        const NodeUnderTest &gateway, const std::string &target, Wire::Headers headers, std::function<void(const Wire::Response &response)> done)
    {
        headers.push_back({"Host", "h.example"});
        headers.push_back({"Request-Id", "request-" + std::to_string(++this->lastRequest)});
        headers.push_back({"Deadline-Ms", "5000"});
        std::string bytes;
        (void)Wire::appendRequest(bytes, {.method = "GET", .target = target, .headers = std::move(headers), .body = {}});
        auto connection = Wire::ClientConnection::create({.endpoint = gateway.callerEndpoint}, *this->poll, this->timers).value();
        connection->send({.bytes = std::move(bytes),
            .recognise =
                [](const Wire::Response &) {
                    return true;
                },
            .done =
                [done = std::move(done)](const Wire::ClientResult &result) {
                    done(result.response);
                }});
        return connection;
    }

    SteadyCoordinator coordinator{*this};
    std::vector<std::unique_ptr<ScriptedBackend>> backends;
    std::vector<std::unique_ptr<NodeUnderTest>> nodes;

private:
    int lastRequest{0};
};

}
