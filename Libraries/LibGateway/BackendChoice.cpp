/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendChoice.h>

#include <algorithm>
#include <limits>
#include <map>

namespace Gateway
{

// Time added for one that refuses or fails everything; one that does so to each fourth is passed over for one that is 40 ms slower.
static constexpr double TroublePenaltyMilliseconds = 160.0;
// An attempt that takes this many times the usual latency, and at least the floor, makes its backend server look stuck.
static constexpr int StuckFactor = 3;
static constexpr Core::Duration StuckFloor = Core::milliseconds(25);
// Time added for one that looks stuck: more than any usual difference, less than what is avoided after failures.
static constexpr double StuckPenaltyMilliseconds = 300.0;
static constexpr double AvoidedPenaltyMilliseconds = 10'000.0;
// A cold backend server takes about this much longer.
static constexpr double WarmupLatencyFactor = 1.6;
// Backend servers whose expected times differ by less are equally good; about half a round trip between regions.
static constexpr double EquallyGoodMilliseconds = 10.0;
// Expected times differ by up to this share at random, so that gateways don't all choose the same one.
static constexpr double ChoiceNoise = 0.15;

BackendChoice::BackendChoice(BackendChoiceOptions options) : options(options), random(options.seed)
{
}

bool BackendChoice::isStuck(const Backend &backend, Core::Instant now)
{
    return std::any_of(backend.inFlight.begin(), backend.inFlight.end(), [&backend, now](const Attempt *attempt) {
        const auto limit = std::max(StuckFloor, StuckFactor * attempt->typicalLatency);
        // A reply that came later than the attempt began shows that the server works, if slowly on this one.
        return now - std::max(attempt->startedAt, backend.health.lastReply()) >= limit;
    });
}

static double milliseconds(Core::Duration duration)
{
    return Core::toFractionalMilliseconds(duration);
}

double BackendChoice::expectedMilliseconds(const Backend &backend, Core::Duration typicalLatency, Core::Instant now) const
{
    double expected = milliseconds(typicalLatency) * backend.health.expectedFactor(backend.inFlight.size(), backend.slots, now);
    if (now < backend.warmUntil) {
        expected *= WarmupLatencyFactor;
    }
    if (!backend.sameRegion) {
        expected += milliseconds(backend.roundTrip.value_or(this->options.assumedRegionRoundTrip));
    }
    expected += isStuck(backend, now) ? StuckPenaltyMilliseconds : 0.0;
    expected += backend.health.isAvoided(now) ? AvoidedPenaltyMilliseconds : 0.0;
    return expected;
}

// What goes into the choice besides the expected time.
double BackendChoice::biasMilliseconds(const Backend &backend, Core::Instant now) const
{
    double bias = TroublePenaltyMilliseconds * backend.health.failureRate(now);
    if (!backend.sameRegion) {
        bias += milliseconds(this->options.crossRegionBias);
    } else if (!backend.sameZone) {
        bias += milliseconds(this->options.crossZoneBias);
    }
    return bias;
}

Backend *BackendChoice::best(const std::vector<Backend *> &candidates, Core::Duration typicalLatency, std::optional<Core::Duration> within, Core::Instant now)
{
    Backend *best = nullptr;
    double bestScore = 0.0;
    for (auto *backend : candidates) {
        const double expected = this->expectedMilliseconds(*backend, typicalLatency, now);
        if (within.has_value() && expected > milliseconds(within.value())) {
            continue;
        }
        const double noise = 1.0 + std::uniform_real_distribution<double>(0.0, ChoiceNoise)(this->random);
        const double score = expected * noise + this->biasMilliseconds(*backend, now);
        if (best == nullptr || score < bestScore) {
            best = backend;
            bestScore = score;
        }
    }
    return best;
}

std::vector<std::string> BackendChoice::goodZones(const std::vector<Backend *> &candidates, Core::Duration typicalLatency, Core::Instant now) const
{
    std::map<std::string, double> scoreOfZone;
    double best = std::numeric_limits<double>::max();
    for (const auto *backend : candidates) {
        const double score = this->expectedMilliseconds(*backend, typicalLatency, now) + this->biasMilliseconds(*backend, now);
        const auto [position, isNew] = scoreOfZone.try_emplace(backend->zone, score);
        position->second = std::min(position->second, score);
        best = std::min(best, score);
    }
    std::vector<std::string> zones;
    for (const auto &[zone, score] : scoreOfZone) {
        if (score <= best + EquallyGoodMilliseconds) {
            zones.push_back(zone);
        }
    }
    return zones;
}

}
