/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Chooses the replica for a sub-request and updates the health of replicas from
// the outcomes: smoothed latency, concurrency limit, ejection.

#pragma once

#include <LibEntry/BackendTable.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Entry
{

/** Parameters of the choice. docs/QUERY-PATH.md has the measurements behind them. */
struct ReplicaSelectorOptions {
    Core::ZoneName ownZone;
    /** Added to the expected latency of a replica in another zone. */
    Core::Duration otherZonePenalty{Core::milliseconds(1)};
    /** Weight of the load that a replica reports, relative to the requests that this instance has in flight to it. */
    double reportedLoadWeight{0.25};
    /** A load report of this age is ignored. */
    Core::Duration reportLifetime{Core::seconds(3)};
    /** Consecutive failures after which a replica is ejected. */
    int failuresToEject{3};
    /** The ejection time doubles with each ejection until a reply arrives. */
    Core::Duration firstEjection{Core::milliseconds(1000)};
    Core::Duration maximumEjection{Core::seconds(30)};
    /** For this long after the first request to it, the expected latency of a cold replica is multiplied by coldPenalty. */
    Core::Duration slowStart{Core::seconds(5)};
    double coldPenalty{3.0};
    /** Latency assumed for a replica until its first reply. */
    Core::Duration assumedLatency{Core::milliseconds(5)};
    /** Chooses a random replica, as a baseline for measurements. */
    bool chooseAtRandom{false};
};

/** A chosen replica, with the reason for traces. */
struct ReplicaChoice {
    BackendId id;
    std::string reason;
};

/** Chooses replicas and updates rows of the backend table. Does no I/O. */
class ReplicaSelector
{
public:
    ReplicaSelector(ReplicaSelectorOptions options, std::uint64_t seed);

    /**
     * Returns the replica with the lowest expected latency among the usable ones
     * with free capacity. Ejected replicas are considered only when there is no
     * other, so that shards stay covered while all replicas fail. Excluded
     * replicas are never chosen.
     */
    [[nodiscard]] std::optional<ReplicaChoice> choose(
        const std::vector<BackendId> &replicas, const std::vector<BackendId> &excluded, const BackendTable &table, int connectionShare, Core::Instant now);

    /** Whether this instance may have one more request in flight to the replica. */
    [[nodiscard]] static bool hasCapacity(const Backend &backend, int connectionShare);

    void recordSent(Backend &backend, int connectionShare, Core::Instant now) const;
    void recordSuccess(Backend &backend, Core::Duration latency, int connectionShare) const;
    /** Records a failure of the replica: no connection, no reply, or an invalid reply. */
    void recordFailure(Backend &backend, Core::Instant now) const;
    /** Records a refusal, which is not a failure. When the replica is full, its concurrency limit is reduced. */
    void recordRefused(Backend &backend, bool full) const;
    /** Records that an attempt was cancelled after it had waited `waited` for its reply. */
    void recordCancelled(Backend &backend, Core::Duration waited) const;

private:
    [[nodiscard]] double expectedMicroseconds(const Backend &backend, Core::Instant now) const;

    ReplicaSelectorOptions options;
    std::mt19937_64 random;
};

}
