/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Chooses the replica for one sub-request, and learns from how it went.

#pragma once

#include <LibEntry/BackendTable.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Entry
{

/** Knobs of the choice. Measured in docs/QUERY-PATH.md. */
struct ReplicaSelectorOptions {
    Core::ZoneName ownZone;
    /** Added to the expected latency of a replica in another zone. */
    Core::Duration otherZonePenalty{Core::milliseconds(1)};
    /** Weight of a replica's own load report, against requests that this instance has in flight. */
    double reportedLoadWeight{0.25};
    /** After this long a load report says nothing. */
    Core::Duration reportLifetime{Core::seconds(3)};
    /** Failures in a row after which a replica is ejected for a while. */
    int failuresToEject{3};
    Core::Duration firstEjection{Core::milliseconds(1000)};
    Core::Duration longestEjection{Core::seconds(30)};
    /** A cold replica's expected latency is raised for this long. */
    Core::Duration slowStart{Core::seconds(5)};
    double coldPenalty{3.0};
    /** Assumed until a replica has answered. */
    Core::Duration assumedLatency{Core::milliseconds(5)};
    /** Picks any replica, as a baseline for measurements. */
    bool chooseAtRandom{false};
};

/** Why a replica was chosen, for traces and the state dump. */
struct ReplicaChoice {
    BackendId id;
    std::string reason;
};

/** Pure decisions over rows of the backend table. */
class ReplicaSelector
{
public:
    ReplicaSelector(ReplicaSelectorOptions options, std::uint64_t seed);

    /**
     * The replica with the lowest expected latency among those with room.
     * Ejected ones are taken only when there is no other, so that coverage
     * survives a moment in which everyone looks bad. Excluded ones never.
     */
    [[nodiscard]] std::optional<ReplicaChoice> choose(
        const std::vector<BackendId> &replicas, const std::vector<BackendId> &excluded, const BackendTable &table, int connectionShare, Core::Instant now);

    /** Whether a request more may be in flight to this replica from here. */
    [[nodiscard]] static bool hasRoom(const Backend &backend, int connectionShare);

    void noteSent(Backend &backend, int connectionShare, Core::Instant now) const;
    void noteSuccess(Backend &backend, Core::Duration latency, int connectionShare) const;
    /** A failure of the replica's own: no connection, no answer, a wrong answer. */
    void recordFailure(Backend &backend, Core::Instant now) const;
    /** The replica refused, which is an answer; when it is full, the limit on it shrinks. */
    void noteRefused(Backend &backend, bool full) const;
    /** The attempt was cancelled; what is known is that it took at least this long. */
    void noteCancelled(Backend &backend, Core::Duration waited) const;

private:
    [[nodiscard]] double expectedMicroseconds(const Backend &backend, Core::Instant now) const;

    ReplicaSelectorOptions options;
    std::mt19937_64 random;
};

}
