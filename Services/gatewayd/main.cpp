/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The gateway program. Connects the gateway node to its listeners, settings and
// signals on one GLib loop.

#include <LibCore/Daemon.h>
#include <LibCore/EventPoll.h>
#include <LibCore/GracefulStop.h>
#include <LibCore/Identity.h>
#include <LibCore/Log.h>
#include <LibCore/LoopWait.h>
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

// The load balancer checks readiness once a second and removes an instance after two failed checks; one more second covers its own delay.
constexpr Core::Duration BalancerRemovalTime = Core::milliseconds(3200);
// A connection that was just opened, or answered, may still bring a request.
constexpr Core::Duration MinimumIdleTime = Core::milliseconds(500);
constexpr double BytesPerMegabyte = 1024.0 * 1024.0;
// Part of the memory of the process that answers may take while they arrive. A buffer that grows takes up to three times its size for a moment.
constexpr double UnfinishedAnswersShare = 0.1;

/** The listeners of a gateway whose connections are closed in a planned stop. */
struct Listeners {
    Wire::Server &callers;
    Wire::Server &relay;
};

Core::StopHooks makeStopHooks(Core::Daemon &daemon, Gateway::GatewayNode &node, const Listeners &listeners)
{
    Core::StopHooks hooks;
    hooks.begun = [&node, listeners](const Core::StopSchedule &schedule) {
        node.beginStop(schedule);
        listeners.callers.endConnectionsAfterResponse();
    };
    hooks.closeIdleConnections = [listeners] {
        listeners.callers.closeIdleConnections(MinimumIdleTime);
    };
    hooks.stopListening = [listeners] {
        listeners.callers.stopListening();
        listeners.relay.endConnectionsAfterResponse();
    };
    hooks.answerAll = [&node, listeners] {
        node.endRequests();
        listeners.callers.rejectPartialRequests(node.stoppingResponse());
    };
    hooks.load = [&node, listeners] {
        // The node's requests are those of both listeners, so each listener adds only what the node does not know.
        const auto callers = listeners.callers.load();
        const auto relay = listeners.relay.load();
        return Core::StopLoad{.requests = node.requestsInFlight() + callers.writing + callers.receiving + relay.writing, .connections = callers.connections()};
    };
    hooks.ended = [&daemon, &node, listeners](const Core::StopLoad &left) {
        Core::logEvent(Core::LogLevel::Information,
            "stop.ended",
            {{"requests", left.requests},
                {"connections", left.connections},
                {"refused", node.counters().refusedInStop},
                {"ended_by_stop", node.counters().endedByStop},
                {"crossed_close", listeners.callers.counters().discarded}});
        node.logUnanswered();
        daemon.quit();
    };
    return hooks;
}

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
    options.ownership.slack.window = settings.retryWindow + Gateway::RetryBudget(options.pool.budget).loanValidity();
    options.pool.warmup = {.overshoot = settings.warmupOvershoot, .slack = settings.warmupSlack};
    options.quotas.quota = {.overshoot = settings.quotaOvershoot, .slack = settings.quotaSlack, .window = settings.quotaWindow};
    options.pool.receiveBudget
        = std::make_shared<Wire::ReceiveBudget>(static_cast<std::size_t>(settings.memoryMegabytes * BytesPerMegabyte * UnfinishedAnswersShare));
    options.pool.choice.seed = Core::randomNumber();
    options.requests.minimumReturnReserve = Gateway::minimumReturnReserveFor(options.requests, settings.processorShare);
    options.coordinators = Platform::watchEndpoints(settings);
    options.relayEndpoint = Platform::internalEndpoint(settings, Platform::InternalPort::Relay);
    options.dialect = Platform::makeDialect();
    options.readDeclaration = [reader = std::make_shared<Platform::ConfigurationReader>()](const std::string &content) {
        return reader->read(content);
    };
    options.readinessTimeout = Fleet::HeartbeatTimes::of(settings.heartbeatPeriod).registryCompleteAfter;
    return options;
}

Core::Result<void> run()
{
    const auto settings = Platform::loadProcessSettings();
    if (!settings.has_value()) {
        return tl::make_unexpected(settings.error());
    }
    if (!settings->callerListen.has_value() || !settings->readinessListen.has_value()) {
        return Core::failure(Core::ErrorKind::InvalidInput, "the settings file of gatewayd names no address for callers or none for readiness checks");
    }
    Core::Daemon daemon("gatewayd");
    auto &timers = daemon.timers();
    const auto poll = Core::EventPoll::create(nullptr);
    if (!poll.has_value()) {
        return tl::make_unexpected(poll.error());
    }
    daemon.onLateTimers([&poll] {
        poll.value()->dispatch();
    });
    const Core::LoopWait loopWait(nullptr);
    auto options = makeOptions(settings.value(), timers.now());
    options.loopWaited = [&loopWait] {
        return loopWait.total();
    };
    Gateway::GatewayNode node(std::move(options), *poll.value(), timers);
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
                                                            const bool isReadinessPath = request.target == Platform::Path::Readiness;
                                                            const int status = !isReadinessPath ? 404 : node.isReady() ? 200 : 503;
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
                                                .limits = {},
                                                .acknowledgesAtOnce = true},
        *poll.value(),
        timers);
    if (!relay.has_value()) {
        return tl::make_unexpected(relay.error());
    }
    node.callerConnections = [&callers] {
        return callers.value()->counters();
    };
    node.limitsChanged = [&callers, &relay](const Fleet::CallerLimits &limits) {
        callers.value()->setLimits({.message = {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes},
            .requestTimeout = limits.requestTimeout,
            .idleTimeout = limits.idleTimeout});
        relay.value()->setLimits({.message = Gateway::relayMessageLimits(limits)});
    };
    Core::GracefulStop stop({.grace = settings->stopTime, .notice = BalancerRemovalTime},
        makeStopHooks(daemon, node, {.callers = *callers.value(), .relay = *relay.value()}),
        timers);
    const Platform::SettingsWatch settingsWatch(timers, [&node, &stop](const Platform::ProcessSettings &changed) {
        node.addCoordinators(Platform::watchEndpoints(changed));
        stop.setGraceTime(changed.stopTime);
    });
    const auto metrics = Platform::serveMetrics(
        settings.value(),
        Platform::MetricsPort::Gateway,
        [&node] {
            return node.metrics();
        },
        *poll.value(),
        timers);
    daemon.onStop([&stop] {
        stop.request();
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
    Core::Settings settings("gatewayd", "crankrudder gateway that routes callers' requests to backend servers and merges the answers of many shards");
    Core::addLogLevelSetting(settings, logLevel);
    return Core::runProgram(settings, argumentCount, arguments, logLevel, run, Core::LogStream::Output);
}
