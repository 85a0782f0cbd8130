/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Simulated backend servers: hosts one replica each of consecutive shards of one service.

#include <LibCore/Daemon.h>
#include <LibCore/Settings.h>
#include <Support/FakeBackend.h>

#include <fmt/core.h>

namespace
{

/** The settings of this program. */
struct FakeBackendSettings {
    std::string service;
    std::string zone;
    Core::Endpoint listen;
    std::vector<Core::Endpoint> announceTo;
    std::int64_t firstShard{0};
    std::int64_t hostedShards{0};
    std::int64_t shardCount{0};
    std::int64_t version{0};
    std::string shardMap;
    std::string replicaSuffix;
    std::int64_t slots{0};
    std::int64_t connectionCap{0};
    std::int64_t openCostMicroseconds{0};
    std::int64_t serviceTimeMicroseconds{0};
    std::int64_t coldMilliseconds{0};
    std::int64_t stragglerPermille{0};
    std::int64_t stragglerFactor{0};
    std::string wrongReply;
    std::string loadReport;
    std::string actionLog;
    std::int64_t seed{0};
    Core::LogLevel logLevel{Core::LogLevel::Information};
};

}

static void declareSettings(Core::Settings &settings, FakeBackendSettings &values)
{
    settings.addText({.name = "service", .valueName = "NAME", .help = "Service that is served.", .required = true}, values.service);
    settings.addText({.name = "zone", .valueName = "ZONE", .help = "Availability zone.", .defaultValue = "zone-a"}, values.zone);
    settings.addEndpoint(
        {.name = "listen", .valueName = "IP:PORT", .help = "Address of the first replica; each further replica uses the next port.", .required = true},
        values.listen);
    settings.addEndpoints({.name = "announce-to", .valueName = "IP:PORT,…", .help = "Backend ports of entry instances."}, values.announceTo);
    settings.addInteger({.name = "first-shard", .valueName = "N", .help = "First shard that is hosted.", .defaultValue = "0"}, values.firstShard, 0, 65'535);
    settings.addInteger(
        {.name = "hosted-shards", .valueName = "N", .help = "Shards that are hosted, one replica each.", .defaultValue = "1"}, values.hostedShards, 1, 1024);
    settings.addInteger({.name = "shard-count", .valueName = "N", .help = "Shards of the service.", .defaultValue = "1"}, values.shardCount, 1, 65'536);
    settings.addInteger({.name = "version", .valueName = "N", .help = "Index version.", .defaultValue = "1"}, values.version, 1, INT64_MAX);
    settings.addText({.name = "shard-map", .valueName = "TEXT", .help = "Digest of the shard map.", .defaultValue = "map-1"}, values.shardMap);
    settings.addText({.name = "replica-suffix", .valueName = "TEXT", .help = "Suffix of the replicas' names.", .defaultValue = "a"}, values.replicaSuffix);
    settings.addInteger({.name = "slots", .valueName = "N", .help = "Requests that one replica runs at a time.", .defaultValue = "2"}, values.slots, 1, 1000);
    settings.addInteger({.name = "connection-cap", .valueName = "N", .help = "Maximum number of open connections of one replica.", .defaultValue = "25"},
        values.connectionCap,
        1,
        100'000);
    settings.addInteger({.name = "open-cost-us", .valueName = "N", .help = "Time until a new connection is served.", .defaultValue = "0"},
        values.openCostMicroseconds,
        0,
        1'000'000);
    settings.addInteger({.name = "service-time-us", .valueName = "N", .help = "Mean service time of one request.", .defaultValue = "4000"},
        values.serviceTimeMicroseconds,
        1,
        60'000'000);
    settings.addInteger(
        {.name = "cold-ms", .valueName = "N", .help = "Time after the start during which requests take three times as long.", .defaultValue = "0"},
        values.coldMilliseconds,
        0,
        600'000);
    settings.addInteger({.name = "straggler-permille", .valueName = "N", .help = "Requests per thousand that are stragglers.", .defaultValue = "0"},
        values.stragglerPermille,
        0,
        1000);
    settings.addInteger({.name = "straggler-factor", .valueName = "N", .help = "Factor on the service time of stragglers.", .defaultValue = "20"},
        values.stragglerFactor,
        1,
        10'000);
    settings.addText({.name = "wrong-reply",
                         .valueName = "KIND",
                         .help = "Fault of the replies: none, attempt, shard, snapshot, truncated or stale-content.",
                         .defaultValue = "none"},
        values.wrongReply);
    settings.addText(
        {.name = "load-report", .valueName = "KIND", .help = "Load in announcements: true, zero or huge.", .defaultValue = "true"}, values.loadReport);
    settings.addText({.name = "action-log", .valueName = "PATH", .help = "File that gets the key of each executed action."}, values.actionLog);
    settings.addInteger({.name = "seed",
                            .valueName = "N",
                            .help = "Seed of the first replica's random generator; each further replica uses the next number.",
                            .defaultValue = "1"},
        values.seed,
        0,
        INT64_MAX);
    Core::addLogLevelSetting(settings, values.logLevel);
}

static TestSupport::FakeBackendOptions makeOptions(const FakeBackendSettings &values, std::int64_t position)
{
    TestSupport::FakeBackendOptions options;
    const auto shard = static_cast<std::int32_t>(values.firstShard + position);
    options.service = values.service;
    options.replica = fmt::format("{}-{}-{}", values.service, shard, values.replicaSuffix);
    options.zone = values.zone;
    options.endpoint = values.listen;
    options.endpoint.port = static_cast<std::uint16_t>(values.listen.port + position);
    options.announceTo = values.announceTo;
    options.snapshots = {{.version = values.version, .shardMap = values.shardMap, .shardCount = static_cast<std::int32_t>(values.shardCount), .shard = shard}};
    options.slots = static_cast<int>(values.slots);
    options.connectionCap = static_cast<std::size_t>(values.connectionCap);
    options.connectionOpenCost = Core::Duration(values.openCostMicroseconds);
    options.serviceTime = Core::Duration(values.serviceTimeMicroseconds);
    options.warmupTime = Core::milliseconds(values.coldMilliseconds);
    options.actionLog = values.actionLog;
    options.seed = static_cast<std::uint64_t>(values.seed + position);
    options.faults.stragglerPercent = static_cast<double>(values.stragglerPermille) / 10.0;
    options.faults.stragglerFactor = static_cast<double>(values.stragglerFactor);
    options.faults.wrongReply = values.wrongReply;
    options.faults.loadReport = values.loadReport;
    return options;
}

static Core::Result<void> run(const FakeBackendSettings &values)
{
    Core::Daemon daemon("fakebackendd");
    std::vector<std::unique_ptr<TestSupport::FakeBackend>> backends;
    for (std::int64_t position = 0; position < values.hostedShards; ++position) {
        auto backend = TestSupport::FakeBackend::create(makeOptions(values, position), daemon.timers());
        if (!backend.has_value()) {
            return tl::make_unexpected(backend.error());
        }
        backends.push_back(std::move(backend.value()));
    }
    std::size_t draining = backends.size();
    daemon.onStop([&backends, &draining, &daemon] {
        for (const auto &backend : backends) {
            backend->drain([&draining, &daemon] {
                if (--draining == 0) {
                    daemon.quit();
                }
            });
        }
    });
    daemon.run();
    for (const auto &backend : backends) {
        const auto &counts = backend->counters();
        Core::logEvent(Core::LogLevel::Information,
            "fakebackend.finished",
            {{"replica", backend->description().replica},
                {"requests", counts.requests},
                {"executed", counts.executed},
                {"shed", counts.shed},
                {"refused_draining", counts.refusedDraining},
                {"cancelled", counts.cancelled},
                {"doubled_actions", counts.duplicateActions},
                {"longest_queue", counts.maximumQueueLength},
                {"most_connections", backend->connectionCounters().peakConnections},
                {"connections_refused", backend->connectionCounters().refused}});
    }
    return {};
}

int main(int argumentCount, char **arguments)
{
    FakeBackendSettings values;
    Core::Settings settings("fakebackendd", "simulated backend servers, for demonstrations and measurements");
    declareSettings(settings, values);
    return Core::runProgram(settings, argumentCount, arguments, values.logLevel, [&values] {
        return run(values);
    });
}
