/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The program of an entry instance: reads its settings and connects the entry node
// to its listeners on one GLib loop.

#include <LibCore/Daemon.h>
#include <LibCore/GracefulStop.h>
#include <LibCore/Identity.h>
#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <LibEntry/EntryNode.h>
#include <LibHttp/HttpServer.h>
#include <LibRpc/RpcServer.h>

#include <algorithm>
#include <cstdio>

namespace
{

/** The settings of this program. docs/OPERATING.md describes them. */
struct EntrydSettings {
    std::string name;
    std::string zone;
    Core::Endpoint callerListen;
    Core::Endpoint backendListen;
    Core::Endpoint administrationListen;
    Core::Endpoint peerListen;
    std::vector<Core::Endpoint> controlInstances;
    std::vector<Core::Endpoint> peers;
    std::int64_t drainNoticeMilliseconds{0};
    std::int64_t stopTimeMilliseconds{0};
    std::int64_t backendLeaseMilliseconds{0};
    std::string hedging;
    std::string replicaChoice;
    Core::LogLevel logLevel{Core::LogLevel::Information};
};

}

static void declareSettings(Core::Settings &settings, EntrydSettings &values)
{
    settings.addText({.name = "name", .valueName = "NAME", .help = "Name of this entry instance.", .required = true}, values.name);
    settings.addText({.name = "zone", .valueName = "ZONE", .help = "Availability zone of this instance.", .defaultValue = "default"}, values.zone);
    settings.addEndpoint(
        {.name = "caller-listen", .valueName = "IP:PORT", .help = "Where requests of callers are accepted.", .required = true}, values.callerListen);
    settings.addEndpoint(
        {.name = "backend-listen", .valueName = "IP:PORT", .help = "Where backend servers announce themselves.", .required = true}, values.backendListen);
    settings.addEndpoint(
        {.name = "admin-listen", .valueName = "IP:PORT", .help = "Where health, metrics and state are served.", .required = true}, values.administrationListen);
    settings.addEndpoint(
        {.name = "peer-listen", .valueName = "IP:PORT", .help = "Where requests of other entry instances are accepted.", .required = true}, values.peerListen);
    settings.addEndpoints(
        {.name = "control", .valueName = "IP:PORT,…", .help = "Entry ports of some control instances.", .required = true}, values.controlInstances);
    settings.addEndpoints({.name = "peers", .valueName = "IP:PORT,…", .help = "Peer ports of the other entry instances."}, values.peers);
    settings.addInteger(
        {.name = "drain-notice-ms", .valueName = "N", .help = "How long a stop waits for the load balancer to notice it.", .defaultValue = "1000"},
        values.drainNoticeMilliseconds,
        0,
        600'000);
    settings.addInteger({.name = "stop-time-ms",
                            .valueName = "N",
                            .help = "Time from the request to stop until this process is killed. Callers have their answers before.",
                            .defaultValue = "30000"},
        values.stopTimeMilliseconds,
        100,
        3'600'000);
    settings.addInteger(
        {.name = "backend-lease-ms", .valueName = "N", .help = "How long one announcement keeps a backend server in use.", .defaultValue = "3000"},
        values.backendLeaseMilliseconds,
        100,
        60'000);
    settings.addChoice(
        {.name = "hedging", .valueName = "MODE", .help = "adaptive, fixed or off.", .defaultValue = "adaptive"}, {"adaptive", "fixed", "off"}, values.hedging);
    settings.addChoice({.name = "replica-choice", .valueName = "MODE", .help = "evidence or random.", .defaultValue = "evidence"},
        {"evidence", "random"},
        values.replicaChoice);
    Core::addLogLevelSetting(settings, values.logLevel);
}

static Entry::EntryNodeOptions makeNodeOptions(const EntrydSettings &values)
{
    Entry::EntryNodeOptions options;
    options.entry.name = Core::InstanceName(values.name);
    options.entry.zone = Core::ZoneName(values.zone);
    options.entry.table.lease = Core::milliseconds(values.backendLeaseMilliseconds);
    options.entry.dispatcher.selector.ownZone = options.entry.zone;
    options.entry.dispatcher.selector.chooseAtRandom = values.replicaChoice == "random";
    options.entry.dispatcher.seed = Core::randomNumber();
    options.entry.hedging.enabled = values.hedging != "off";
    if (values.hedging == "fixed") {
        options.entry.hedging.fixedDelay = options.entry.hedging.fallbackDelay;
    }
    options.relay.name = options.entry.name;
    options.relay.peers = values.peers;
    options.controlInstances = values.controlInstances;
    options.incarnation = static_cast<std::int64_t>(Core::randomNumber() >> 1U);
    return options;
}

static Core::StopHooks makeStopHooks(
    Core::Daemon &daemon, Entry::EntryNode &node, std::vector<std::unique_ptr<Http::HttpServer>> &servers, const Rpc::RpcServer &peers)
{
    Core::StopHooks hooks;
    hooks.begun = [&node](const Core::StopSchedule &schedule) {
        node.beginStop(schedule);
    };
    hooks.answerAll = [&node] {
        node.answerOpenCalls();
    };
    hooks.load = [&node, &servers, &peers] {
        Core::StopLoad load{.requests = node.activeCount() + peers.unwrittenConnections()};
        for (const auto &server : servers) {
            load.requests += server->requestsInFlight();
        }
        return load;
    };
    hooks.ended = [&daemon](const Core::StopLoad &left) {
        Core::logEvent(Core::LogLevel::Information, "stop.ended", {{"requests", left.requests}});
        daemon.quit();
    };
    return hooks;
}

static Core::Result<void> run(const EntrydSettings &values)
{
    Core::Daemon daemon("entryd");
    auto &timers = daemon.timers();
    Entry::EntryNode node(makeNodeOptions(values), timers);

    std::vector<Http::ServerOptions> serverOptions;
    serverOptions.push_back({.name = "caller", .endpoint = values.callerListen, .handler = [&node](const auto &request, const auto &responder) {
                                 node.handleCaller(request, responder);
                             }});
    serverOptions.push_back({.name = "backend", .endpoint = values.backendListen, .handler = [&node](const auto &request, const auto &responder) {
                                 node.handleBackend(request, responder);
                             }});
    serverOptions.push_back({.name = "administration", .endpoint = values.administrationListen, .handler = [&node](const auto &request, const auto &responder) {
                                 node.handleAdministration(request, responder);
                             }});
    std::vector<std::unique_ptr<Http::HttpServer>> servers;
    for (auto &options : serverOptions) {
        auto server = Http::HttpServer::create(std::move(options), timers);
        if (!server.has_value()) {
            return tl::make_unexpected(server.error());
        }
        servers.push_back(std::move(server.value()));
    }
    const auto peers = std::make_shared<Protocol::EntryPeerAsyncProcessor>(std::make_shared<Entry::EntryPeerHandler>(node.relay()));
    const auto peerServer = Rpc::RpcServer::create({.name = "peer", .endpoint = values.peerListen, .processor = peers, .limits = {}}, timers);
    if (!peerServer.has_value()) {
        return tl::make_unexpected(peerServer.error());
    }

    node.stopRequested = [&daemon] {
        daemon.requestStop();
    };
    Core::GracefulStop stop({.grace = Core::milliseconds(values.stopTimeMilliseconds), .notice = Core::milliseconds(values.drainNoticeMilliseconds)},
        makeStopHooks(daemon, node, servers, *peerServer.value()),
        timers);
    daemon.onStop([&stop] {
        stop.request();
    });
    daemon.onDump([&node] {
        std::fprintf(stdout, "%s\n", node.dump().c_str());
        std::fflush(stdout);
    });
    Core::logEvent(Core::LogLevel::Information, "daemon.started", {{"name", values.name}, {"zone", values.zone}});
    daemon.run();
    return {};
}

int main(int argumentCount, char **arguments)
{
    EntrydSettings values;
    Core::Settings settings("entryd", "an entry instance of crankrudder: answers callers' requests from many shards");
    declareSettings(settings, values);
    return Core::runProgram(settings, argumentCount, arguments, values.logLevel, [&values] {
        return run(values);
    });
}
