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
static constexpr double MinimumLimit = 1.0;

ReplicaSelector::ReplicaSelector(ReplicaSelectorOptions options, std::uint64_t seed) : options(std::move(options)), random(seed)
{
}

bool ReplicaSelector::hasCapacity(const Backend &backend, int connectionShare)
{
    const double limit = backend.health.concurrencyLimit > 0.0 ? backend.health.concurrencyLimit : connectionShare;
    return backend.health.inFlight < connectionShare && backend.health.inFlight < static_cast<int>(std::max(MinimumLimit, limit));
}

double ReplicaSelector::expectedMicroseconds(const Backend &backend, Core::Instant now) const
{
    const auto &health = backend.health;
    const auto base = health.smoothedLatency > Core::Duration(0) ? health.smoothedLatency : this->options.assumedLatency;
    // The weight of a load report decreases linearly with its age, to 0 at the end of its lifetime.
    const double age = static_cast<double>((now - backend.announcedAt).count()) / static_cast<double>(this->options.reportLifetime.count());
    const double reportWeight = std::clamp(1.0 - age, 0.0, 1.0) * this->options.reportedLoadWeight;
    const double queued = health.inFlight + reportWeight * backend.announcement.load;
    const double slots = std::max(1, backend.announcement.slots);
    double expected = static_cast<double>(base.count()) * (1.0 + queued / slots);
    if (backend.announcement.zone != this->options.ownZone.value()) {
        expected += static_cast<double>(this->options.otherZonePenalty.count());
    }
    const bool cold = health.servingSince == Core::Instant() || now - health.servingSince < this->options.slowStart;
    return cold && health.replies < 20 ? expected * this->options.coldPenalty : expected;
}

std::optional<ReplicaChoice> ReplicaSelector::choose(
    const std::vector<BackendId> &replicas, const std::vector<BackendId> &excluded, const BackendTable &table, int connectionShare, Core::Instant now)
{
    std::vector<BackendId> healthy;
    std::vector<BackendId> ejected;
    for (const auto id : replicas) {
        const auto &backend = table.row(id);
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (isExcluded || !table.isUsable(backend, now) || !hasCapacity(backend, connectionShare)) {
            continue;
        }
        (now < backend.health.ejectedUntil ? ejected : healthy).push_back(id);
    }
    auto &candidates = healthy.empty() ? ejected : healthy;
    if (candidates.empty()) {
        return std::nullopt;
    }
    // The order of equal replicas is random, so that entry instances don't all choose the same one.
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    if (this->options.chooseAtRandom) {
        return ReplicaChoice{.id = candidates.front(), .reason = "random"};
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), [this, &table, now](BackendId first, BackendId second) {
        return this->expectedMicroseconds(table.row(first), now) < this->expectedMicroseconds(table.row(second), now);
    });
    const double expected = this->expectedMicroseconds(table.row(*best), now);
    const char *basis = healthy.empty() ? "ejected replica with lowest expected latency" : "lowest expected latency";
    return ReplicaChoice{.id = *best, .reason = fmt::format("{} of {}: {:.1f} ms", basis, candidates.size(), expected / 1000.0)};
}

void ReplicaSelector::recordSent(Backend &backend, int connectionShare, Core::Instant now) const
{
    auto &health = backend.health;
    ++health.inFlight;
    if (health.servingSince == Core::Instant()) {
        health.servingSince = now;
        health.concurrencyLimit = connectionShare;
    }
}

void ReplicaSelector::recordSuccess(Backend &backend, Core::Duration latency, int connectionShare) const
{
    auto &health = backend.health;
    --health.inFlight;
    ++health.replies;
    health.consecutiveFailures = 0;
    health.ejections = 0;
    health.ejectedUntil = Core::Instant();
    const auto old = static_cast<double>(health.smoothedLatency.count());
    const auto fresh = static_cast<double>(latency.count());
    const double smoothed = old == 0.0 ? fresh : old + SmoothingWeight * (fresh - old);
    health.smoothedLatency = Core::Duration(static_cast<Core::Duration::rep>(smoothed));
    health.concurrencyLimit = std::min<double>(connectionShare, health.concurrencyLimit + 1.0 / std::max(1.0, health.concurrencyLimit));
}

void ReplicaSelector::recordFailure(Backend &backend, Core::Instant now) const
{
    auto &health = backend.health;
    --health.inFlight;
    ++health.failures;
    ++health.consecutiveFailures;
    if (health.consecutiveFailures < this->options.failuresToEject) {
        return;
    }
    const auto doubled = this->options.firstEjection * (1LL << std::min(health.ejections, 10));
    health.ejectedUntil = now + std::min<Core::Duration>(doubled, this->options.maximumEjection);
    ++health.ejections;
    health.consecutiveFailures = 0;
}

void ReplicaSelector::recordRefused(Backend &backend, bool full) const
{
    auto &health = backend.health;
    --health.inFlight;
    if (full) {
        health.concurrencyLimit = std::max(MinimumLimit, health.concurrencyLimit * LimitDecrease);
    }
}

void ReplicaSelector::recordCancelled(Backend &backend, Core::Duration waited) const
{
    auto &health = backend.health;
    --health.inFlight;
    // The time waited is a lower bound of the latency, so it may only increase the estimate.
    if (waited > health.smoothedLatency) {
        const double raised
            = static_cast<double>(health.smoothedLatency.count()) + SmoothingWeight * static_cast<double>((waited - health.smoothedLatency).count());
        health.smoothedLatency = Core::Duration(static_cast<Core::Duration::rep>(raised));
    }
}

}
