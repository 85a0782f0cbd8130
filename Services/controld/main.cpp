/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The program of a control instance: reads its settings and connects the data
// folder, the replicated log and the Thrift services to one GLib loop.

#include <LibControl/ControlHandlers.h>
#include <LibControl/PeerTransport.h>
#include <LibCore/Daemon.h>
#include <LibCore/GracefulStop.h>
#include <LibCore/Identity.h>
#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <LibRpc/RpcServer.h>
#include <LibStorage/PosixFolder.h>

#include <algorithm>
#include <cstdio>

namespace
{

/** The settings of this program. docs/OPERATING.md describes them. */
struct ControldSettings {
    std::string name;
    std::string zone;
    std::string dataFolder;
    Core::Endpoint operatorListen;
    Core::Endpoint entryListen;
    Core::Endpoint peerListen;
    std::int64_t heartbeatMilliseconds{0};
    std::int64_t electionTimeoutMilliseconds{0};
    std::int64_t configurationLeaseMilliseconds{0};
    std::int64_t replaceAfterSeconds{0};
    std::int64_t claimHorizonSeconds{0};
    std::int64_t entriesBetweenSnapshots{0};
    std::int64_t stopTimeMilliseconds{0};
    Core::LogLevel logLevel{Core::LogLevel::Information};
};

}

static void declareSettings(Core::Settings &settings, ControldSettings &values)
{
    settings.addText({.name = "name", .valueName = "NAME", .help = "Name of this control instance.", .required = true}, values.name);
    settings.addText({.name = "zone", .valueName = "ZONE", .help = "Availability zone of this instance.", .defaultValue = "default"}, values.zone);
    settings.addText({.name = "data-folder", .valueName = "PATH", .help = "The folder for this instance's own state.", .required = true}, values.dataFolder);
    settings.addEndpoint(
        {.name = "operator-listen", .valueName = "IP:PORT", .help = "Where requests of operators are accepted.", .required = true}, values.operatorListen);
    settings.addEndpoint(
        {.name = "entry-listen", .valueName = "IP:PORT", .help = "Where requests of entry instances are accepted.", .required = true}, values.entryListen);
    settings.addEndpoint({.name = "peer-listen", .valueName = "IP:PORT", .help = "Where requests of other control instances are accepted.", .required = true},
        values.peerListen);
    settings.addInteger({.name = "heartbeat-ms", .valueName = "N", .help = "Period of the leader's heartbeat.", .defaultValue = "100"},
        values.heartbeatMilliseconds,
        10,
        10'000);
    settings.addInteger({.name = "election-timeout-ms",
                            .valueName = "N",
                            .help = "Time without a message from the leader after which another instance may start an election.",
                            .defaultValue = "500"},
        values.electionTimeoutMilliseconds,
        50,
        60'000);
    settings.addInteger(
        {.name = "configuration-lease-ms", .valueName = "N", .help = "How long an entry instance may rely on a confirmed revision.", .defaultValue = "5000"},
        values.configurationLeaseMilliseconds,
        500,
        15'000);
    settings.addInteger(
        {.name = "replace-after-s", .valueName = "N", .help = "Time without contact after which a voter is replaced by a standby.", .defaultValue = "60"},
        values.replaceAfterSeconds,
        1,
        86'400);
    settings.addInteger({.name = "claim-horizon-s", .valueName = "N", .help = "How long records of non-repeatable requests are kept.", .defaultValue = "86400"},
        values.claimHorizonSeconds,
        60,
        2'592'000);
    settings.addInteger({.name = "stop-time-ms",
                            .valueName = "N",
                            .help = "Time from the request to stop until this process is killed. Callers have their answers before.",
                            .defaultValue = "30000"},
        values.stopTimeMilliseconds,
        100,
        3'600'000);
    settings.addInteger({.name = "snapshot-entries", .valueName = "N", .help = "Entries between two snapshots of the state.", .defaultValue = "4096"},
        values.entriesBetweenSnapshots,
        16,
        10'000'000);
    Core::addLogLevelSetting(settings, values.logLevel);
}

static Control::ControlNodeOptions makeNodeOptions(const ControldSettings &values, Control::PeerTransport &transport)
{
    Protocol::Member identity;
    identity.name = values.name;
    identity.zone = values.zone;
    identity.peerAddress = values.peerListen.toString();
    identity.entryAddress = values.entryListen.toString();
    identity.operatorAddress = values.operatorListen.toString();
    return Control::ControlNodeOptions{
        .log = {.identity = identity,
            .heartbeatPeriod = Core::milliseconds(values.heartbeatMilliseconds),
            .electionTimeout = Core::milliseconds(values.electionTimeoutMilliseconds),
            .entriesBetweenSnapshots = values.entriesBetweenSnapshots,
            .seed = Core::randomNumber()},
        .state = {.claimHorizon = Core::seconds(values.claimHorizonSeconds)},
        .repair = {.replaceAfter = Core::seconds(values.replaceAfterSeconds)},
        .configurationLease = Core::milliseconds(values.configurationLeaseMilliseconds),
        .send =
            [&transport](const Protocol::Member &receiver, Protocol::LogMessage message) {
                transport.send(receiver, std::move(message));
            },
    };
}

static Core::StopHooks makeStopHooks(Core::Daemon &daemon, Control::ControlNode &control, const std::vector<std::unique_ptr<Rpc::RpcServer>> &servers)
{
    Core::StopHooks hooks;
    const auto drained = std::make_shared<bool>(false);
    hooks.begun = [&control, drained](const Core::StopSchedule &) {
        control.drain([drained] {
            *drained = true;
        });
    };
    hooks.answerAll = [&control] {
        control.failWaitingProposals();
    };
    hooks.load = [&servers, drained] {
        const auto busy = std::count_if(servers.begin(), servers.end(), [](const auto &server) {
            return !server->isIdle();
        });
        return Core::StopLoad{.requests = static_cast<std::size_t>(busy) + (*drained ? 0 : 1)};
    };
    hooks.ended = [&daemon](const Core::StopLoad &left) {
        Core::logEvent(Core::LogLevel::Information, "stop.ended", {{"requests", left.requests}});
        daemon.quit();
    };
    return hooks;
}

static Core::Result<void> run(const ControldSettings &values)
{
    Core::Daemon daemon("controld");
    auto &timers = daemon.timers();
    auto folder = Storage::PosixFolder::create(values.dataFolder);
    if (!folder.has_value()) {
        return tl::make_unexpected(folder.error());
    }
    Control::PeerTransport transport(timers);
    auto node = Control::ControlNode::create(makeNodeOptions(values, transport), *folder.value(), timers, Core::systemClock());
    if (!node.has_value()) {
        return tl::make_unexpected(node.error());
    }
    auto &control = *node.value();

    const auto operatorHandler = std::make_shared<Control::OperatorHandler>(control);
    operatorHandler->stopRequested = [&daemon] {
        daemon.requestStop();
    };
    const auto operators = std::make_shared<Protocol::OperatorAsyncProcessor>(operatorHandler);
    const auto entries = std::make_shared<Protocol::EntryControlAsyncProcessor>(std::make_shared<Control::EntryControlHandler>(control));
    const auto peers = std::make_shared<Protocol::ControlPeerAsyncProcessor>(std::make_shared<Control::ControlPeerHandler>(control));
    std::vector<Rpc::ServerOptions> serverOptions;
    serverOptions.push_back({.name = "operator", .endpoint = values.operatorListen, .processor = operators, .limits = {}});
    serverOptions.push_back({.name = "entry", .endpoint = values.entryListen, .processor = entries, .limits = {}});
    serverOptions.push_back({.name = "peer", .endpoint = values.peerListen, .processor = peers, .limits = {}});
    std::vector<std::unique_ptr<Rpc::RpcServer>> servers;
    for (auto &options : serverOptions) {
        auto server = Rpc::RpcServer::create(std::move(options), timers);
        if (!server.has_value()) {
            return tl::make_unexpected(server.error());
        }
        servers.push_back(std::move(server.value()));
    }

    Core::GracefulStop stop({.grace = Core::milliseconds(values.stopTimeMilliseconds)}, makeStopHooks(daemon, control, servers), timers);
    daemon.onStop([&stop] {
        stop.request();
    });
    daemon.onDump([&control] {
        std::fprintf(stdout, "%s\n", control.dump().c_str());
        std::fflush(stdout);
    });
    Core::logEvent(Core::LogLevel::Information,
        "daemon.started",
        {{"name", values.name}, {"storage_id", control.log().identity().storageId}, {"revision", control.controlState().revision()}});
    daemon.run();
    return {};
}

int main(int argumentCount, char **arguments)
{
    ControldSettings values;
    Core::Settings settings("controld", "a control instance of crankrudder: declared configuration and records of non-repeatable requests");
    declareSettings(settings, values);
    return Core::runProgram(settings, argumentCount, arguments, values.logLevel, [&values] {
        return run(values);
    });
}
