/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Prints measurements and checks none against a limit. Mode `slopes` measures inside this process, mode `claims` measures running
// control instances.

#include "ClaimLoad.h"
#include "Slopes.h"

#include <LibCore/Daemon.h>
#include <LibCore/Settings.h>

#include <fmt/core.h>

namespace
{

/** The settings of this program. */
struct MeasureSettings {
    std::string mode;
    std::vector<Core::Endpoint> control;
    std::int64_t inFlight{0};
    std::int64_t durationMilliseconds{0};
    Core::LogLevel logLevel{Core::LogLevel::Information};
};

}

static void print(const std::vector<Measure::Sample> &samples)
{
    for (const auto &sample : samples) {
        fmt::print("event=measure.slope what={} size={:.0f} value={:.1f} unit={} per_item={:.3f}\n",
            sample.what,
            sample.size,
            sample.value,
            sample.unit,
            sample.value / sample.size);
    }
}

static Core::Result<void> measureSlopes()
{
    for (const std::size_t replicas : {7'800U, 78'000U}) {
        print(Measure::measureRegistry(replicas));
    }
    for (const std::int32_t shards : {8, 29, 58}) {
        print(Measure::measureFanOut(shards));
    }
    for (const std::int32_t services : {135, 1'350}) {
        print(Measure::measureConfiguration(services));
    }
    for (const std::size_t claims : {10'000U, 100'000U}) {
        print(Measure::measureClaims(claims));
    }
    for (const std::size_t records : {64U, 1024U}) {
        print(Measure::measureCrashRecords(records));
    }
    for (const std::int64_t declarations : {16, 64}) {
        print(Measure::measureLogReopening(declarations));
    }
    return {};
}

static Core::Result<void> measureClaimLoad(const MeasureSettings &values)
{
    if (values.control.empty()) {
        return Core::failure(Core::ErrorKind::InvalidInput, "--control is needed for claims");
    }
    Core::Daemon daemon("crankmeasure");
    Measure::ClaimLoad load(values.control, static_cast<std::size_t>(values.inFlight), Core::milliseconds(values.durationMilliseconds), daemon.timers());
    load.start([&daemon] {
        daemon.quit();
    });
    daemon.run();
    fmt::print("event=measure.claims in_flight={} granted={} failed={} per_second={:.0f} p50_ms={:.2f} p99_ms={:.2f} longest_silence_ms={:.0f}\n",
        values.inFlight,
        load.granted(),
        load.failed(),
        static_cast<double>(load.granted()) * 1000.0 / static_cast<double>(values.durationMilliseconds),
        Core::toFractionalMilliseconds(load.quantile(0.5)),
        Core::toFractionalMilliseconds(load.quantile(0.99)),
        Core::toFractionalMilliseconds(load.longestTimeWithoutGrant()));
    return {};
}

int main(int argumentCount, char **arguments)
{
    MeasureSettings values;
    Core::Settings settings("crankmeasure", "measures cost slopes or control instances and prints the figures");
    settings.addChoice({.name = "mode", .valueName = "slopes|claims", .help = "What to measure.", .required = true}, {"slopes", "claims"}, values.mode);
    settings.addEndpoints({.name = "control", .valueName = "IP:PORT,…", .help = "Entry ports of control instances, for claims."}, values.control);
    settings.addInteger({.name = "in-flight", .valueName = "N", .help = "Claims in flight.", .defaultValue = "1"}, values.inFlight, 1, 10'000);
    settings.addInteger({.name = "duration-ms", .valueName = "N", .help = "Time during which claims are sent.", .defaultValue = "3000"},
        values.durationMilliseconds,
        1,
        600'000);
    Core::addLogLevelSetting(settings, values.logLevel);
    return Core::runProgram(settings, argumentCount, arguments, values.logLevel, [&values] {
        return values.mode == "slopes" ? measureSlopes() : measureClaimLoad(values);
    });
}
