/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Chooses the backend server for a request. The one with the lowest score wins: its
// expected latency, plus penalties for failures and for traffic that crosses zones or
// regions. Pure except for its random numbers.

#pragma once

#include <LibGateway/Backend.h>

#include <random>

namespace Gateway
{

/** Weights of the choice that are configured rather than observed; see docs/QUERY-PATH.md. */
struct BackendChoiceOptions {
    /** Added to the expected latency of a backend server in another region, since traffic between regions is expensive. */
    Core::Duration crossRegionBias{Core::milliseconds(30)};
    /** Added to the expected latency of a backend server in another availability zone of this region. */
    Core::Duration crossZoneBias{Core::milliseconds(2)};
    /** Round trip to another region that is assumed until one has been measured. */
    Core::Duration assumedRegionRoundTrip{Core::milliseconds(20)};
    std::uint64_t seed{1};
};

/** Scores candidate backend servers. The caller passes only candidates that are eligible and have free capacity. */
class BackendChoice
{
public:
    explicit BackendChoice(BackendChoiceOptions options);

    /** Returns the best candidate, or nullptr when there is none. With `within`, only candidates whose expected latency is at most that are considered. */
    [[nodiscard]] Backend *best(
        const std::vector<Backend *> &candidates, Core::Duration typicalLatency, std::optional<Core::Duration> within, Core::Instant now);

    /** Returns the availability zones whose best candidate scores about as well as the best of all, each zone once. */
    [[nodiscard]] std::vector<std::string> goodZones(const std::vector<Backend *> &candidates, Core::Duration typicalLatency, Core::Instant now) const;

    /** Whether an attempt in flight to this backend server takes much longer than is typical and nothing was received from the server in that time. */
    [[nodiscard]] static bool isStuck(const Backend &backend, Core::Instant now);

    /** Returns the latency that is expected of a backend server, with what it reports about its load. */
    [[nodiscard]] Core::Duration expectedLatency(const Backend &backend, Core::Duration typicalLatency, Core::Instant now) const;

private:
    [[nodiscard]] double expectedMilliseconds(const Backend &backend, Core::Duration typicalLatency, Core::Instant now) const;
    [[nodiscard]] double biasMilliseconds(const Backend &backend, Core::Instant now) const;

    BackendChoiceOptions options;
    std::mt19937_64 random;
};

}
