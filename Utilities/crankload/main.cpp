/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The load client: sends requests to entry instances for a given time, checks the answers and prints the results, a line for each
// stream and one for the sum.

#include "LoadDriver.h"

#include <LibCore/Daemon.h>
#include <LibCore/Settings.h>

#include <cstdio>
#include <fmt/core.h>

namespace
{

/** The settings of this program. */
struct LoadSettings {
    std::vector<Load::BalancerTarget> targets;
    Load::LoadOptions load;
    std::int64_t durationMilliseconds{0};
    std::int64_t readyWaitMilliseconds{0};
    std::int64_t seed{0};
    std::int64_t expectedReady{0};
    Core::LogLevel logLevel{Core::LogLevel::Information};
};

}

static Core::Result<void> readTargets(const std::string &text, std::vector<Load::BalancerTarget> &targets)
{
    for (const auto &part : Core::splitList(text)) {
        const auto addresses = Core::splitList(part, '/');
        if (addresses.size() != 2) {
            return Core::failure(Core::ErrorKind::InvalidInput, "\"" + part + "\" is not of the form CALLER/ADMIN");
        }
        const auto caller = Core::Endpoint::parse(addresses[0]);
        const auto administration = Core::Endpoint::parse(addresses[1]);
        if (!caller.has_value() || !administration.has_value()) {
            return Core::failure(Core::ErrorKind::InvalidInput, "\"" + part + "\" is not of the form IP:PORT/IP:PORT");
        }
        targets.push_back({.caller = caller.value(), .administration = administration.value()});
    }
    return targets.empty() ? Core::failure(Core::ErrorKind::InvalidInput, "the list is empty") : Core::Result<void>{};
}

static Core::Result<Load::Stream> readStream(const std::string &text)
{
    const auto parts = Core::splitList(text, ':');
    const auto rate = parts.size() >= 3 ? Core::parseInteger(parts[2], 1, 100'000) : Core::failure(Core::ErrorKind::InvalidInput, "");
    const auto deadline = parts.size() == 4 ? Core::parseInteger(parts[3], 1, 600'000) : Core::Result<std::int64_t>(1000);
    if (!rate.has_value() || !deadline.has_value()) {
        return Core::failure(Core::ErrorKind::InvalidInput, "\"" + text + "\" is not of the form SERVICE:KIND:RATE[:DEADLINE_MS]");
    }
    Load::Stream stream;
    stream.service = parts[0];
    stream.ratePerSecond = static_cast<double>(rate.value());
    stream.deadline = Core::milliseconds(deadline.value());
    if (parts[1] == "search") {
        stream.kind = Load::StreamKind::Search;
    } else if (parts[1] == "lookup") {
        stream.kind = Load::StreamKind::Lookup;
    } else if (parts[1] == "action") {
        stream.kind = Load::StreamKind::Action;
    } else {
        return Core::failure(Core::ErrorKind::InvalidInput, "\"" + parts[1] + "\" is none of search, lookup, action");
    }
    return stream;
}

static void declareSettings(Core::Settings &settings, LoadSettings &values)
{
    settings.add({.name = "targets",
        .valueName = "IP:PORT/IP:PORT,…",
        .help = "Caller and admin ports of the entry instances.",
        .required = true,
        .accept = [&values](const std::string &text) {
            return readTargets(text, values.targets);
        }});
    settings.add({.name = "streams",
        .valueName = "SERVICE:KIND:RATE[:MS],…",
        .help = "Requests a second to each service; KIND is search, lookup or action.",
        .required = true,
        .accept = [&values](const std::string &text) -> Core::Result<void> {
            for (const auto &part : Core::splitList(text)) {
                auto stream = readStream(part);
                if (!stream.has_value()) {
                    return tl::make_unexpected(stream.error());
                }
                values.load.streams.push_back(std::move(stream.value()));
            }
            return {};
        }});
    settings.addInteger({.name = "duration-ms", .valueName = "N", .help = "Time during which requests are sent.", .defaultValue = "10000"},
        values.durationMilliseconds,
        1,
        600'000);
    settings.addInteger({.name = "ready-wait-ms", .valueName = "N", .help = "Timeout of the wait for ready entry instances.", .defaultValue = "10000"},
        values.readyWaitMilliseconds,
        0,
        120'000);
    settings.addInteger({.name = "expected-ready", .valueName = "N", .help = "Ready entry instances that sending waits for.", .defaultValue = "1"},
        values.expectedReady,
        0,
        1000);
    settings.addInteger({.name = "seed", .valueName = "N", .help = "Seed of the random generator.", .defaultValue = "1"}, values.seed, 0, INT64_MAX);
    settings.addText(
        {.name = "action", .valueName = "NAME", .help = "Name of the action that action streams request.", .defaultValue = "enqueue"}, values.load.action);
    settings.addText({.name = "not-run-log", .valueName = "PATH", .help = "File that gets the keys whose last answer was \"not run\"."}, values.load.notRunLog);
    Core::addLogLevelSetting(settings, values.logLevel);
}

static const char *kindName(Load::StreamKind kind)
{
    return kind == Load::StreamKind::Search ? "search" : kind == Load::StreamKind::Lookup ? "lookup" : "action";
}

static void report(const char *event, const std::string &prefix, Load::Tally &tally)
{
    const auto quantile = [&tally](double share) {
        return Core::toFractionalMilliseconds(tally.quantile(share));
    };
    const double inTime = tally.answered == 0 ? 0.0 : 100.0 * static_cast<double>(tally.withinDeadline) / static_cast<double>(tally.answered);
    fmt::print("event={} {}sent={} answered={} partial={} refused_not_run={} refused_unknown={} lost={} p50_ms={:.1f} p99_ms={:.1f} p999_ms={:.1f} "
               "in_time_pct={:.2f} covered_pct={:.3f} mixed_snapshots={} wrong_answers={}\n",
        event,
        prefix,
        tally.sent,
        tally.answered,
        tally.partial,
        tally.refusedNotRun,
        tally.refusedUnknown,
        tally.lost,
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        inTime,
        tally.coveredPercent(),
        tally.mixedSnapshots,
        tally.wrongAnswers);
}

static Core::Result<void> run(LoadSettings &values)
{
    Core::Daemon daemon("crankload");
    auto &timers = daemon.timers();
    Http::HttpClient http(timers);
    Load::Balancer balancer(values.targets, http, timers);
    values.load.duration = Core::milliseconds(values.durationMilliseconds);
    values.load.seed = static_cast<std::uint64_t>(values.seed);
    Load::LoadDriver driver(values.load, balancer, http, timers);

    const Core::Instant readyDeadline = timers.now() + Core::milliseconds(values.readyWaitMilliseconds);
    bool started = false;
    Core::TimerSubscription readyTimer = timers.every(Core::milliseconds(50), [&](Core::Instant now) {
        if (static_cast<std::int64_t>(balancer.readyCount()) >= values.expectedReady) {
            started = true;
            readyTimer.cancel();
            driver.start([&daemon] {
                daemon.quit();
            });
        } else if (now >= readyDeadline) {
            daemon.quit();
        }
    });
    daemon.run();
    if (!started) {
        return Core::failure(Core::ErrorKind::Unreachable, fmt::format("{} of {} entry instances became ready", balancer.readyCount(), values.expectedReady));
    }
    Load::Tally total;
    for (auto &stream : driver.streams()) {
        report("load.stream", fmt::format("service={} kind={} ", stream.service, kindName(stream.kind)), stream.tally);
        total.add(stream.tally);
    }
    report("load.finished", {}, total);
    return {};
}

int main(int argumentCount, char **arguments)
{
    LoadSettings values;
    Core::Settings settings("crankload", "an open-loop load client that checks every answer");
    declareSettings(settings, values);
    return Core::runProgram(settings, argumentCount, arguments, values.logLevel, [&values] {
        return run(values);
    });
}
