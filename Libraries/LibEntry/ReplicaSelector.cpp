/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/ReplicaSelector.h>

#include <algorithm>
#include <fmt/core.h>

namespace Entry
{

static constexpr double SmoothingWeight = 0.2;
static constexpr double LimitDecrease = 0.7;
static constexpr double LowestLimit = 1.0;

ReplicaSelector::ReplicaSelector(ReplicaSelectorOptions options, std::uint64_t seed) : options(std::move(options)), random(seed)
{
}

bool ReplicaSelector::hasRoom(const Backend &backend, int connectionShare)
{
    const double limit = backend.evidence.concurrencyLimit > 0.0 ? backend.evidence.concurrencyLimit : connectionShare;
    return backend.evidence.inFlight < connectionShare && backend.evidence.inFlight < static_cast<int>(std::max(LowestLimit, limit));
}

double ReplicaSelector::expectedMicroseconds(const Backend &backend, Core::Instant now) const
{
    const auto &evidence = backend.evidence;
    const auto base = evidence.smoothedLatency > Core::Duration(0) ? evidence.smoothedLatency : this->options.assumedLatency;
    // A load report fades: half as old as its lifetime, half its weight.
    const double age = static_cast<double>((now - backend.announcedAt).count()) / static_cast<double>(this->options.reportLifetime.count());
    const double trust = std::clamp(1.0 - age, 0.0, 1.0) * this->options.reportedLoadWeight;
    const double queued = evidence.inFlight + trust * backend.announcement.load;
    const double slots = std::max(1, backend.announcement.slots);
    double expected = static_cast<double>(base.count()) * (1.0 + queued / slots);
    if (backend.announcement.zone != this->options.ownZone.value()) {
        expected += static_cast<double>(this->options.otherZonePenalty.count());
    }
    const bool cold = evidence.servingSince == Core::Instant() || now - evidence.servingSince < this->options.slowStart;
    return cold && evidence.replies < 20 ? expected * this->options.coldPenalty : expected;
}

std::optional<ReplicaChoice> ReplicaSelector::choose(
    const std::vector<BackendId> &replicas, const std::vector<BackendId> &excluded, const BackendTable &table, int connectionShare, Core::Instant now)
{
    std::vector<BackendId> healthy;
    std::vector<BackendId> ejected;
    for (const auto id : replicas) {
        const auto &backend = table.row(id);
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (isExcluded || !table.isUsable(backend, now) || !hasRoom(backend, connectionShare)) {
            continue;
        }
        (now < backend.evidence.ejectedUntil ? ejected : healthy).push_back(id);
    }
    auto &candidates = healthy.empty() ? ejected : healthy;
    if (candidates.empty()) {
        return std::nullopt;
    }
    // Equal replicas are taken in random order, so that instances do not all choose the same one.
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    if (this->options.chooseAtRandom) {
        return ReplicaChoice{.id = candidates.front(), .reason = "random"};
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), [this, &table, now](BackendId first, BackendId second) {
        return this->expectedMicroseconds(table.row(first), now) < this->expectedMicroseconds(table.row(second), now);
    });
    const double expected = this->expectedMicroseconds(table.row(*best), now);
    const char *basis = healthy.empty() ? "least bad of the ejected" : "lowest expected latency";
    return ReplicaChoice{.id = *best, .reason = fmt::format("{} of {}: {:.1f} ms", basis, candidates.size(), expected / 1000.0)};
}

void ReplicaSelector::noteSent(Backend &backend, int connectionShare, Core::Instant now) const
{
    auto &evidence = backend.evidence;
    ++evidence.inFlight;
    if (evidence.servingSince == Core::Instant()) {
        evidence.servingSince = now;
        evidence.concurrencyLimit = connectionShare;
    }
}

void ReplicaSelector::noteSuccess(Backend &backend, Core::Duration latency, int connectionShare) const
{
    auto &evidence = backend.evidence;
    --evidence.inFlight;
    ++evidence.replies;
    evidence.consecutiveFailures = 0;
    evidence.ejections = 0;
    evidence.ejectedUntil = Core::Instant();
    const auto old = static_cast<double>(evidence.smoothedLatency.count());
    const auto fresh = static_cast<double>(latency.count());
    const double smoothed = old == 0.0 ? fresh : old + SmoothingWeight * (fresh - old);
    evidence.smoothedLatency = Core::Duration(static_cast<Core::Duration::rep>(smoothed));
    evidence.concurrencyLimit = std::min<double>(connectionShare, evidence.concurrencyLimit + 1.0 / std::max(1.0, evidence.concurrencyLimit));
}

void ReplicaSelector::noteFailure(Backend &backend, Core::Instant now) const
{
    auto &evidence = backend.evidence;
    --evidence.inFlight;
    ++evidence.failures;
    ++evidence.consecutiveFailures;
    if (evidence.consecutiveFailures < this->options.failuresToEject) {
        return;
    }
    const auto doubled = this->options.firstEjection * (1LL << std::min(evidence.ejections, 10));
    evidence.ejectedUntil = now + std::min<Core::Duration>(doubled, this->options.longestEjection);
    ++evidence.ejections;
    evidence.consecutiveFailures = 0;
}

void ReplicaSelector::noteRefused(Backend &backend, bool full) const
{
    auto &evidence = backend.evidence;
    --evidence.inFlight;
    if (full) {
        evidence.concurrencyLimit = std::max(LowestLimit, evidence.concurrencyLimit * LimitDecrease);
    }
}

void ReplicaSelector::noteCancelled(Backend &backend, Core::Duration waited) const
{
    auto &evidence = backend.evidence;
    --evidence.inFlight;
    // The wait is a lower bound of the latency, so it may raise the estimate but not lower it.
    if (waited > evidence.smoothedLatency) {
        const double raised
            = static_cast<double>(evidence.smoothedLatency.count()) + SmoothingWeight * static_cast<double>((waited - evidence.smoothedLatency).count());
        evidence.smoothedLatency = Core::Duration(static_cast<Core::Duration::rep>(raised));
    }
}

}
