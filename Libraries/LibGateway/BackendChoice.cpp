/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendChoice.h>

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace Gateway
{

// Penalty for a backend server that fails every request; it scales with the failure rate, so that one that fails each fourth request loses to one that is
// 40 ms slower.
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
// Penalty for a backend server that refused the same request before. It exceeds the path to another region (46 ms, bias included), so that all candidates get
// the request once when they score about equally, and is less than the penalty of one that is stuck.
static constexpr double RepeatedRefusalMilliseconds = 60.0;
// Time until a refusal of a backend server in this region to which no round trip was measured.
static constexpr Core::Duration AssumedRefusalTime = Core::milliseconds(2);

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

double BackendChoice::refusedShare(const Backend &backend, Core::Instant now, EvidenceScope scope)
{
    return backend.health.refusedShare(backend.serviceAcceptance->refusedShare(now), now, scope);
}

std::uint64_t BackendChoice::choicesChangedByReports() const
{
    return this->changedByReports;
}

double BackendChoice::latencyMilliseconds(const Backend &backend, Core::Duration typicalLatency, Core::Instant now, SpeedBasis basis) const
{
    double expected = milliseconds(typicalLatency) * backend.health.expectedFactor(backend.inFlight.size(), backend.slots, now, basis);
    if (now < backend.warmUntil) {
        expected *= WarmupLatencyFactor;
    }
    if (!backend.sameRegion) {
        expected += milliseconds(backend.roundTrip.value_or(this->options.assumedRegionRoundTrip));
    }
    return expected;
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

double BackendChoice::refusalMilliseconds(const Backend &backend) const
{
    return milliseconds(backend.roundTrip.value_or(backend.sameRegion ? AssumedRefusalTime : this->options.assumedRegionRoundTrip));
}

// Usually the first candidate decides.
static bool areAllSlow(const std::vector<Backend *> &candidates, Core::Instant now)
{
    return std::all_of(candidates.begin(), candidates.end(), [now](const Backend *backend) {
        return backend->health.wasSlow(now);
    });
}

std::vector<BackendChoice::Scored> BackendChoice::scored(const std::vector<Backend *> &candidates, Core::Duration typicalLatency, Core::Instant now) const
{
    std::vector<Scored> result;
    result.reserve(candidates.size());
    bool anyRefuses = false;
    const auto basis = areAllSlow(candidates, now) ? SpeedBasis::Latest : SpeedBasis::All;
    for (auto *backend : candidates) {
        auto &row = result.emplace_back();
        row.backend = backend;
        row.latency = this->latencyMilliseconds(*backend, typicalLatency, now, basis);
        row.expected = row.latency;
        row.expected += isStuck(*backend, now) ? StuckPenaltyMilliseconds : 0.0;
        row.expected += backend->health.isAvoided(now) ? AvoidedPenaltyMilliseconds : 0.0;
        row.bias = this->biasMilliseconds(*backend, now);
        row.refusedShare = refusedShare(*backend, now);
        anyRefuses = anyRefuses || row.refusedShare > 0.0;
    }
    if (anyRefuses) {
        this->addRefusalCosts(result);
    }
    return result;
}

// After a refusal the request goes to the next best candidate, which may refuse it as well. A single candidate gets it again. The penalties for servers that
// are stuck or avoided are left out: they exceed all latencies and would hide the differences between the others.
void BackendChoice::addRefusalCosts(std::vector<Scored> &candidates) const
{
    const double repeatPrice = milliseconds(this->options.repeatPrice);
    const auto timeAsNext = [repeatPrice](const Scored &row) {
        return row.latency + row.bias + row.refusedShare * repeatPrice;
    };
    const Scored *first = nullptr;
    const Scored *second = nullptr;
    for (const auto &row : candidates) {
        if (first == nullptr || timeAsNext(row) < timeAsNext(*first)) {
            second = std::exchange(first, &row);
        } else if (second == nullptr || timeAsNext(row) < timeAsNext(*second)) {
            second = &row;
        }
    }
    for (auto &row : candidates) {
        const auto *next = &row == first && second != nullptr ? second : first;
        row.refusalCost = refusalCost(row.refusedShare,
            {.roundTrip = this->refusalMilliseconds(*row.backend), .repeatPrice = repeatPrice, .own = row.latency + row.bias, .nextBest = timeAsNext(*next)});
    }
}

std::pair<Backend *, double> BackendChoice::leastScored(const std::vector<Scored> &candidates, const ChoiceTerms &terms)
{
    std::pair<Backend *, double> best{nullptr, 0.0};
    for (const auto &row : candidates) {
        const bool hasRefused = std::find(terms.refusedBy.begin(), terms.refusedBy.end(), row.backend->name) != terms.refusedBy.end();
        const bool suitsHedge = !hasRefused && 1.0 - row.refusedShare >= MinimumHedgeAcceptance;
        if (terms.within.has_value() && (row.expected > milliseconds(terms.within.value()) || !suitsHedge)) {
            continue;
        }
        const double repeated = hasRefused ? RepeatedRefusalMilliseconds : 0.0;
        const double score = row.expected * row.noise + row.bias + row.refusalCost + repeated;
        if (best.first == nullptr || score < best.second) {
            best = {row.backend, score};
        }
    }
    return best;
}

Backend *BackendChoice::bestByOwnEvidence(std::vector<Scored> candidates, const ChoiceTerms &terms, Core::Instant now) const
{
    for (auto &row : candidates) {
        row.refusedShare = refusedShare(*row.backend, now, EvidenceScope::Own);
        const double latency = this->latencyMilliseconds(*row.backend, terms.typicalLatency, now, SpeedBasis::Own);
        row.expected += latency - std::exchange(row.latency, latency);
    }
    this->addRefusalCosts(candidates);
    return leastScored(candidates, terms).first;
}

Backend *BackendChoice::best(const std::vector<Backend *> &candidates, const ChoiceTerms &terms, Core::Instant now)
{
    auto rows = this->scored(candidates, terms.typicalLatency, now);
    bool hasReports = false;
    for (auto &row : rows) {
        row.noise += std::uniform_real_distribution<double>(0.0, ChoiceNoise)(this->random);
        hasReports = hasReports || row.backend->health.hasReport(now);
    }
    const auto [best, bestScore] = leastScored(rows, terms);
    if (hasReports && !areAllSlow(candidates, now) && this->bestByOwnEvidence(rows, terms, now) != best) {
        ++this->changedByReports;
    }
    auto *probe = terms.mayProbe ? probed(rows, bestScore, now) : nullptr;
    return probe != nullptr ? probe : best;
}

// One probe at a time, and only of a server that would be chosen again if it had recovered. One that is stuck or avoided scores too high.
Backend *BackendChoice::probed(const std::vector<Scored> &candidates, double limit, Core::Instant now)
{
    const auto found = std::find_if(candidates.begin(), candidates.end(), [this, limit, now](const Scored &row) {
        const bool isWorthwhile = row.refusedShare > 0.0 && row.expected + row.bias < limit;
        const double share = isWorthwhile && row.backend->inFlight.empty() ? row.backend->health.probeShare(now) : 0.0;
        return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < share;
    });
    return found == candidates.end() ? nullptr : found->backend;
}

std::vector<std::string> BackendChoice::goodZones(const std::vector<Backend *> &candidates, Core::Duration typicalLatency, Core::Instant now) const
{
    std::map<std::string, double> scoreOfZone;
    double best = std::numeric_limits<double>::max();
    for (const auto &row : this->scored(candidates, typicalLatency, now)) {
        const double score = row.expected + row.bias + row.refusalCost;
        const auto [position, isNew] = scoreOfZone.try_emplace(row.backend->zone, score);
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
