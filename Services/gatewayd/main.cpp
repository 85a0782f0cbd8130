/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The gateway: wires the gateway node to its listeners on one GLib loop.

#include <LibCore/Daemon.h>
#include <LibCore/EventPoll.h>
#include <LibCore/Identity.h>
#include <LibCore/Log.h>
#include <LibFleet/HeartbeatTimes.h>
#include <LibGateway/GatewayNode.h>
#include <platform/ConfigurationCodec.h>
#include <platform/MetricsListener.h>
#include <platform/Names.h>
#include <platform/RequestDialect.h>
#include <platform/SettingsFile.h>
#include <platform/SettingsWatch.h>

#include <cstdio>

namespace
{

// The balancer asks once a second and takes an instance out after two misses; one more second for its own delay.
constexpr Core::Duration BalancerNotice = Core::milliseconds(3200);
// Kept back from the time until the kill, for closing connections.
constexpr Core::Duration StopReserve = Core::milliseconds(500);
constexpr Core::Duration DrainPollPeriod = Core::milliseconds(20);

/** Stops in steps: unready, then answer what comes until the balancer has noticed, then end once nothing is under way. */
class PlannedStop
{
public:
    PlannedStop(Core::Daemon &daemon, Gateway::GatewayNode &node, Wire::Server &callers, Core::Duration stopTime)
        : daemon(daemon), node(node), callers(callers), stopTime(stopTime)
    {
    }

    void begin()
    {
        this->node.beginDrain();
        this->callers.endConnectionsAfterResponse();
        this->began = this->daemon.timers().now();
        this->timer = this->daemon.timers().every(DrainPollPeriod, [this](Core::Instant now) {
            this->look(now);
        });
    }

private:
    void look(Core::Instant now)
    {
        const auto passed = now - this->began;
        if (passed < BalancerNotice) {
            return;
        }
        this->callers.closeIdleConnections();
        // Counts searches of other gateways, too.
        const bool working = this->node.requestsInFlight() > 0 || this->callers.inFlight() > 0;
        const bool idle = !working && (this->callers.connectionCount() == 0 || passed >= BalancerNotice + Core::seconds(1));
        if (idle || passed >= this->stopTime - StopReserve) {
            this->daemon.quit();
        }
    }

    Core::Daemon &daemon;
    Gateway::GatewayNode &node;
    Wire::Server &callers;
    Core::Duration stopTime;
    Core::Instant began;
    Core::TimerSubscription timer;
};

Gateway::GatewayOptions makeOptions(const Platform::ProcessSettings &settings, Core::Instant now)
{
    Gateway::GatewayOptions options;
    options.name = settings.instanceName;
    options.pool.zone = Core::ZoneName(settings.zone);
    options.pool.regions = settings.regions;
    options.pool.budget.ratio = settings.retryRatio;
    options.pool.budget.slack = settings.retrySlack;
    options.pool.budget.window = settings.retryWindow;
    options.pool.budget.slackFrom = now + settings.retryWindow;
    options.ownership.slack.window = settings.retryWindow;
    options.pool.warmup = {.overshoot = settings.warmupOvershoot, .slack = settings.warmupSlack};
    options.quotas.quota = {.overshoot = settings.quotaOvershoot, .slack = settings.quotaSlack, .window = settings.quotaWindow};
    options.pool.choice.seed = Core::randomNumber();
    options.requests.returnFloor = Gateway::returnFloorFor(options.requests, settings.processorShare);
    options.coordinators = Platform::watchEndpoints(settings);
    options.relayEndpoint = Platform::internalEndpoint(settings, Platform::InternalPort::Relay);
    options.dialect = Platform::makeDialect();
    options.readDeclaration = [reader = std::make_shared<Platform::ConfigurationReader>()](const std::string &content) {
        return reader->read(content);
    };
    options.readinessTimeout = Fleet::HeartbeatTimes::of(settings.heartbeatPeriod).allHeard;
    return options;
}

Core::Result<void> run()
{
    const auto settings = Platform::loadProcessSettings();
    if (!settings.has_value()) {
        return tl::make_unexpected(settings.error());
    }
    if (!settings->callerListen.has_value() || !settings->readinessListen.has_value()) {
        return Core::failure(Core::ErrorKind::InvalidInput, "a gateway needs addresses for callers and for readiness");
    }
    Core::Daemon daemon("gatewayd");
    auto &timers = daemon.timers();
    const auto poll = Core::EventPoll::create(nullptr);
    if (!poll.has_value()) {
        return tl::make_unexpected(poll.error());
    }
    Gateway::GatewayNode node(makeOptions(settings.value(), timers.now()), *poll.value(), timers);
    const auto callers = Wire::Server::create({.name = "caller",
                                                  .endpoint = settings->callerListen.value(),
                                                  .handler =
                                                      [&node](Wire::Request request, const auto &exchange) {
                                                          node.handle(std::move(request), exchange);
                                                      },
                                                  .limits = {}},
        *poll.value(),
        timers);
    if (!callers.has_value()) {
        return tl::make_unexpected(callers.error());
    }
    const auto readiness = Wire::Server::create({.name = "readiness",
                                                    .endpoint = settings->readinessListen.value(),
                                                    .handler =
                                                        [&node](const Wire::Request &request, const auto &exchange) {
                                                            const bool known = request.target == Platform::Path::Readiness;
                                                            const int status = !known ? 404 : node.isReady() ? 200 : 503;
                                                            exchange->respond(Wire::Response{.status = status, .headers = {}, .body = {}});
                                                        },
                                                    .limits = {}},
        *poll.value(),
        timers);
    if (!readiness.has_value()) {
        return tl::make_unexpected(readiness.error());
    }
    const auto relay = Wire::Server::create({.name = "relay",
                                                .endpoint = Platform::internalEndpoint(settings.value(), Platform::InternalPort::Relay),
                                                .handler =
                                                    [&node](Wire::Request request, const auto &exchange) {
                                                        node.handleRelayed(std::move(request), exchange);
                                                    },
                                                .limits = {}},
        *poll.value(),
        timers);
    if (!relay.has_value()) {
        return tl::make_unexpected(relay.error());
    }
    node.limitsChanged = [&callers](const Fleet::CallerLimits &limits) {
        callers.value()->setLimits({.message = {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes},
            .requestTimeout = limits.requestTimeout,
            .idleTimeout = limits.idleTimeout});
    };
    const Platform::SettingsWatch settingsWatch(timers, [&node](const Platform::ProcessSettings &changed) {
        node.addCoordinators(Platform::watchEndpoints(changed));
    });
    const auto metrics = Platform::serveMetrics(
        settings.value(),
        Platform::MetricsPort::Gateway,
        [&node] {
            return node.metrics();
        },
        *poll.value(),
        timers);
    PlannedStop stop(daemon, node, *callers.value(), settings->stopTime);
    daemon.onStop([&stop] {
        stop.begin();
    });
    daemon.onDump([&node] {
        std::fprintf(stdout, "%s\n", node.dump().c_str());
        std::fflush(stdout);
    });
    Core::logEvent(Core::LogLevel::Information, "daemon.started", {{"name", settings->instanceName}, {"zone", settings->zone}});
    daemon.run();
    return {};
}

}

int main(int argumentCount, char **arguments)
{
    Core::LogLevel logLevel{Core::LogLevel::Information};
    Core::Settings settings("gatewayd", "a gateway of crankrudder on the platform: answers callers out of many shards");
    Core::addLogLevelSetting(settings, logLevel);
    return Core::runProgram(settings, argumentCount, arguments, logLevel, run, Core::LogStream::Output);
}
