/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The coordinator program. Connects the coordinator node to its listeners,
// settings and signals on one GLib loop.

#include <LibControl/PeerTransport.h>
#include <LibCoordinator/CoordinatorNode.h>
#include <LibCore/Daemon.h>
#include <LibCore/EventPoll.h>
#include <LibCore/GracefulStop.h>
#include <LibCore/Identity.h>
#include <LibCore/Log.h>
#include <LibRpc/RpcServer.h>
#include <platform/ConfigurationCodec.h>
#include <platform/ControlInterface.h>
#include <platform/MetricsListener.h>
#include <platform/SettingsFile.h>
#include <platform/SettingsWatch.h>

#include <algorithm>
#include <cstdio>

namespace
{

// The declaration is small and changes hundreds of times a day. A snapshot every few dozen entries keeps the log short.
constexpr std::int64_t EntriesBetweenSnapshots = 64;
// With these values the loss of a leader is detected after one to two seconds, well within the time that operators accept. Shorter periods would cost
// processor time on every coordinator.
constexpr Core::Duration HeartbeatPeriod = Core::milliseconds(200);
constexpr Core::Duration ElectionTimeout = Core::milliseconds(900);
// A voter that is lost is replaced after half of the time in which its successor has to have its place. The rest is for the successor to join and catch up, and
// for the election of a leader. It is not replaced before a leader could be elected.
constexpr Core::Duration MinimumReplacementTimeout = 2 * ElectionTimeout;
// Longer than an election between the farthest known regions, which takes two round trips of 24 ms, disk syncs and two ticks.
constexpr Core::Duration InitialElectionStagger = Core::milliseconds(100);
// How long idle connections delay the end of a stop; callers find another coordinator by themselves.
constexpr Core::Duration IdleConnectionTime = Core::milliseconds(300);
// Maximum size of an operator's request. Declarations with thousands of routes must fit.
constexpr std::size_t MaximumDocumentBytes = 8 * 1024 * 1024;

Coordinator::CoordinatorOptions makeOptions(const Platform::ProcessSettings &settings, Control::PeerTransport &transport)
{
    Coordinator::CoordinatorOptions options;
    options.watchEndpoint = Platform::internalEndpoint(settings, Platform::InternalPort::Watch);
    options.seeds = Platform::watchEndpoints(settings);
    options.mayBootstrap = settings.firstStart;
    options.membership.targetVoters = 2 * static_cast<std::size_t>(settings.toleratedFailures) + 1;
    options.membership.replacementTimeout = std::max(MinimumReplacementTimeout, settings.catchUpTime / 2);
    options.regions = settings.regions;
    options.heartbeats = Fleet::HeartbeatTimes::of(settings.heartbeatPeriod);
    options.validateDeclaration = [regions = settings.regions](const std::string &content) -> Core::Result<Fleet::DeclarationVersion> {
        const auto declaration = Platform::readConfiguration(content);
        if (!declaration.has_value()) {
            return tl::make_unexpected(declaration.error());
        }
        const auto checked = Platform::checkRegions(*declaration.value(), regions);
        if (!checked.has_value()) {
            return tl::make_unexpected(checked.error());
        }
        return declaration.value()->version;
    };
    options.log.dataFolder = settings.dataFolder;
    options.log.send = [&transport](const Protocol::Member &receiver, Protocol::LogMessage message) {
        transport.send(receiver, std::move(message));
    };
    auto &log = options.log.log;
    log.identity.name = settings.instanceName;
    log.identity.zone = settings.zone;
    log.identity.peerAddress = Platform::internalEndpoint(settings, Platform::InternalPort::Log).toString();
    log.identity.entryAddress = options.watchEndpoint.toString();
    log.identity.operatorAddress = settings.controlListen->toString();
    log.appendStorageIdToName = true;
    log.heartbeatPeriod = HeartbeatPeriod;
    log.electionTimeout = ElectionTimeout;
    log.initialElectionStagger = InitialElectionStagger;
    log.entriesBetweenSnapshots = EntriesBetweenSnapshots;
    log.seed = Core::randomNumber();
    return options;
}

/** The listeners of a coordinator. */
struct Listeners {
    Wire::Server &operators;
    Rpc::RpcServer &watchers;
    Rpc::RpcServer &peers;
};

Core::StopHooks makeStopHooks(Core::Daemon &daemon, Coordinator::CoordinatorNode &coordinator, const Listeners &listeners)
{
    Core::StopHooks hooks;
    const auto drained = std::make_shared<bool>(false);
    hooks.begun = [&coordinator, listeners, drained](const Core::StopSchedule &) {
        coordinator.drain([drained] {
            *drained = true;
        });
        listeners.operators.endConnectionsAfterResponse();
    };
    hooks.closeIdleConnections = [listeners] {
        listeners.operators.closeIdleConnections(IdleConnectionTime);
    };
    hooks.stopListening = [&coordinator, listeners] {
        listeners.operators.stopListening();
        coordinator.answerWatchers();
    };
    hooks.answerAll = [listeners] {
        const auto stopping = Platform::ControlInterface::stoppingResponse();
        listeners.operators.answerOpenRequests(stopping);
        listeners.operators.rejectPartialRequests(stopping);
    };
    hooks.load = [&coordinator, listeners, drained] {
        const auto operators = listeners.operators.load();
        const std::size_t unfinished = *drained ? 0 : 1;
        const std::size_t unwritten = listeners.watchers.unwrittenConnections() + listeners.peers.unwrittenConnections();
        return Core::StopLoad{
            .requests = unfinished + operators.requests() + coordinator.waitingDepartureStores() + unwritten, .connections = operators.connections()};
    };
    hooks.ended = [&daemon, listeners](const Core::StopLoad &left) {
        Core::logEvent(Core::LogLevel::Information,
            "stop.ended",
            {{"requests", left.requests}, {"connections", left.connections}, {"crossed_close", listeners.operators.counters().discarded}});
        daemon.quit();
    };
    return hooks;
}

Core::Result<void> run()
{
    const auto settings = Platform::loadProcessSettings();
    if (!settings.has_value()) {
        return tl::make_unexpected(settings.error());
    }
    if (!settings->controlListen.has_value() || settings->dataFolder.empty()) {
        return Core::failure(
            Core::ErrorKind::InvalidInput, "the settings file of coordinatord names no address for operators and backend servers or no data folder");
    }
    Core::Daemon daemon("coordinatord");
    auto &timers = daemon.timers();
    const auto poll = Core::EventPoll::create(nullptr);
    if (!poll.has_value()) {
        return tl::make_unexpected(poll.error());
    }
    daemon.onLateTimers([&poll] {
        poll.value()->dispatch();
    });
    Control::PeerTransport transport(timers);
    const auto node = Coordinator::CoordinatorNode::create(makeOptions(settings.value(), transport), timers);
    if (!node.has_value()) {
        return tl::make_unexpected(node.error());
    }
    auto &coordinator = *node.value();

    const auto watchers = std::make_shared<Protocol::CoordinatorAsyncProcessor>(std::make_shared<Coordinator::CoordinatorHandler>(coordinator));
    const auto peers = std::make_shared<Protocol::ControlPeerAsyncProcessor>(std::make_shared<Coordinator::LogPeerHandler>(coordinator));
    const auto watchServer = Rpc::RpcServer::create(
        {.name = "watch", .endpoint = Platform::internalEndpoint(settings.value(), Platform::InternalPort::Watch), .processor = watchers, .limits = {}},
        timers);
    const auto peerServer = Rpc::RpcServer::create(
        {.name = "log", .endpoint = Platform::internalEndpoint(settings.value(), Platform::InternalPort::Log), .processor = peers, .limits = {}}, timers);
    for (const auto *server : {&watchServer, &peerServer}) {
        if (!server->has_value()) {
            return tl::make_unexpected(server->error());
        }
    }
    Platform::ControlInterface interface(coordinator, settings->controlListen->toString());
    const auto operators = Wire::Server::create({.name = "control",
                                                    .endpoint = settings->controlListen.value(),
                                                    .handler =
                                                        [&interface](const Wire::Request &request, const auto &exchange) {
                                                            interface.handle(request, exchange);
                                                        },
                                                    .limits = {.message = {.headerBytes = 16 * 1024, .bodyBytes = MaximumDocumentBytes}}},
        *poll.value(),
        timers);
    if (!operators.has_value()) {
        return tl::make_unexpected(operators.error());
    }
    const auto metrics = Platform::serveMetrics(
        settings.value(),
        Platform::MetricsPort::Coordinator,
        [&coordinator] {
            return coordinator.metrics();
        },
        *poll.value(),
        timers);
    Core::GracefulStop stop({.grace = settings->stopTime, .idleWait = IdleConnectionTime},
        makeStopHooks(daemon, coordinator, {.operators = *operators.value(), .watchers = *watchServer.value(), .peers = *peerServer.value()}),
        timers);
    interface.isRejecting = [&stop] {
        return stop.phase() >= Core::StopPhase::Flushing;
    };
    const Platform::SettingsWatch settingsWatch(timers, [&coordinator, &stop](const Platform::ProcessSettings &changed) {
        coordinator.addSeeds(Platform::watchEndpoints(changed));
        stop.setGraceTime(changed.stopTime);
    });
    daemon.onStop([&stop] {
        stop.request();
    });
    daemon.onDump([&coordinator] {
        std::fprintf(stdout, "%s\n", coordinator.dump().c_str());
        std::fflush(stdout);
    });
    Core::logEvent(Core::LogLevel::Information,
        "daemon.started",
        {{"name", settings->instanceName}, {"first_start", settings->firstStart ? 1 : 0}, {"seeds", settings->seeds.size()}});
    daemon.run();
    return {};
}

}

int main(int argumentCount, char **arguments)
{
    Core::LogLevel logLevel{Core::LogLevel::Information};
    Core::Settings settings("coordinatord", "crankrudder coordinator that stores the declaration and the registry of backend servers");
    Core::addLogLevelSetting(settings, logLevel);
    return Core::runProgram(settings, argumentCount, arguments, logLevel, run, Core::LogStream::Output);
}
