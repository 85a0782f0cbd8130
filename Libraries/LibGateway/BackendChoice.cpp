/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendChoice.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace Gateway
{

// Penalty for a backend server that refuses or fails every request; it scales with the failure rate, so that one that refuses or fails each fourth request
// loses to one that is 40 ms slower.
static constexpr double FailurePenaltyMilliseconds = 160.0;
// A backend server is considered stuck when an attempt to it takes this many times the typical latency, and at least StuckFloor.
static constexpr int StuckFactor = 3;
static constexpr Core::Duration StuckFloor = Core::milliseconds(25);
// Penalty for a stuck backend server: more than any usual latency difference, less than the penalty for one that is avoided after failures.
static constexpr double StuckPenaltyMilliseconds = 300.0;
static constexpr double AvoidedPenaltyMilliseconds = 10'000.0;
// A backend server that is warming up takes about this many times as long.
static constexpr double WarmupLatencyFactor = 1.6;
// Zones whose best scores differ by no more than this count as equally good; about half a round trip between regions.
static constexpr double EquallyGoodMilliseconds = 10.0;
// Each expected latency is increased at random by up to this share, so that the gateways do not all choose the same backend server.
static constexpr double ChoiceNoise = 0.15;

BackendChoice::BackendChoice(BackendChoiceOptions options) : options(options), random(options.seed)
{
}

bool BackendChoice::isStuck(const Backend &backend, Core::Instant now)
{
    return std::any_of(backend.inFlight.begin(), backend.inFlight.end(), [&backend, now](const Attempt *attempt) {
        const auto limit = std::max(StuckFloor, StuckFactor * attempt->typicalLatency);
        // A reply that was received after the attempt began shows that the backend server works, even if it is slow on this attempt.
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

Core::Duration BackendChoice::expectedLatency(const Backend &backend, Core::Duration typicalLatency, Core::Instant now) const
{
    return Core::milliseconds(std::lround(this->expectedMilliseconds(backend, typicalLatency, now)));
}

// Penalties and biases that are added to the expected latency: the failure rate, and crossing a zone or a region.
double BackendChoice::biasMilliseconds(const Backend &backend, Core::Instant now) const
{
    double bias = FailurePenaltyMilliseconds * backend.health.failureRate(now);
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
