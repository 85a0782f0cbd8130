/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which of several backend servers a request goes to: the one that is expected to
// answer first, where bytes that travel far and answers that fail count as time.
// Pure but for its random numbers.

#pragma once

#include <LibGateway/Backend.h>

#include <random>

namespace Gateway
{

/** What is taken into account besides what was observed; docs/QUERY-PATH.md. */
struct BackendChoiceOptions {
    /** Added to the expected latency of a backend server in another region, whose bytes are dear. */
    Core::Duration crossRegionBias{Core::milliseconds(30)};
    /** The same for another availability zone of this region. */
    Core::Duration crossZoneBias{Core::milliseconds(2)};
    /** Round trip that is assumed to another region before one was measured. */
    Core::Duration assumedRegionRoundTrip{Core::milliseconds(20)};
    std::uint64_t seed{1};
};

/** Those that it is given may all be asked and have room. */
class BackendChoice
{
public:
    explicit BackendChoice(BackendChoiceOptions options);

    /** The best one, or nullptr where there is none; with `within`, only one that is expected to answer in that time. */
    [[nodiscard]] Backend *best(
        const std::vector<Backend *> &candidates, Core::Duration typicalLatency, std::optional<Core::Duration> within, Core::Instant now);

    /** The availability zones of those that are about as good a choice as the best one, each once. */
    [[nodiscard]] std::vector<std::string> goodZones(const std::vector<Backend *> &candidates, Core::Duration typicalLatency, Core::Instant now) const;

    /** Whether it has not answered for much longer than usual, though it has something to answer. */
    [[nodiscard]] static bool isStuck(const Backend &backend, Core::Instant now);

private:
    [[nodiscard]] double expectedMilliseconds(const Backend &backend, Core::Duration typicalLatency, Core::Instant now) const;
    [[nodiscard]] double biasMilliseconds(const Backend &backend, Core::Instant now) const;

    BackendChoiceOptions options;
    std::mt19937_64 random;
};

}
