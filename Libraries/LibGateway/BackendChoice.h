/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Chooses the backend server for a request. The one with the lowest score wins: its
// expected time until an accepted answer, plus penalties for failures and for traffic
// that crosses zones or regions. Pure except for its random numbers.

#pragma once

#include <LibGateway/Backend.h>

#include <random>
#include <span>

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
    /**
     * Time that one repeat is worth. Repeats are limited to 0.2 of the requests; with this price, a backend server in another region that accepts all requests
     * (46 ms more, bias included) is preferred to one in this region that refuses about as many.
     */
    Core::Duration repeatPrice{Core::milliseconds(200)};
    std::uint64_t seed{1};
};

/** The request for which a backend server is chosen. */
struct ChoiceTerms {
    Core::Duration typicalLatency{0};
    /** Set for a hedge: its maximum expected latency. Hedges are not sent to backend servers that refuse. */
    std::optional<Core::Duration> within;
    /** Backend servers that refused the request. They are chosen again when the others score much worse, and not for a hedge. */
    std::span<const BackendName> refusedBy;
    /** Whether the request may probe a backend server that refuses: it is the first send of the request, so that a refusal can be repeated. */
    bool mayProbe{false};
};

/** Scores candidate backend servers. The caller passes only candidates that are eligible and have free capacity. */
class BackendChoice
{
public:
    explicit BackendChoice(BackendChoiceOptions options);

    /** Returns the best candidate, or nullptr when there is none. */
    [[nodiscard]] Backend *best(const std::vector<Backend *> &candidates, const ChoiceTerms &terms, Core::Instant now);

    /** Returns the availability zones whose best candidate scores about as well as the best of all, each zone once. */
    [[nodiscard]] std::vector<std::string> goodZones(const std::vector<Backend *> &candidates, Core::Duration typicalLatency, Core::Instant now) const;

    /** Whether an attempt in flight to this backend server takes much longer than is typical and nothing was received from the server in that time. */
    [[nodiscard]] static bool isStuck(const Backend &backend, Core::Instant now);

    /** Returns the share of requests that the backend server is expected to refuse, from 0 to 1. */
    [[nodiscard]] static double refusedShare(const Backend &backend, Core::Instant now, EvidenceScope scope = EvidenceScope::All);

    /** Returns the number of choices that would have been different without reports from other gateways. */
    [[nodiscard]] std::uint64_t choicesChangedByReports() const;

private:
    /** A candidate and the parts of its score; times in milliseconds. */
    struct Scored {
        Backend *backend{nullptr};
        /** Expected latency, without and with the penalties for servers that are stuck or avoided. */
        double latency{0.0};
        double expected{0.0};
        double bias{0.0};
        double refusedShare{0.0};
        double refusalCost{0.0};
        /** Factor by which the expected latency is increased at random. */
        double noise{1.0};
    };

    [[nodiscard]] std::vector<Scored> scored(const std::vector<Backend *> &candidates, Core::Duration typicalLatency, Core::Instant now) const;
    /** Returns the candidate with the least score, and the score; nullptr when there is none. */
    [[nodiscard]] static std::pair<Backend *, double> leastScored(const std::vector<Scored> &candidates, const ChoiceTerms &terms);
    /** Returns the best candidate according to the observations of this gateway alone. */
    [[nodiscard]] Backend *bestByOwnEvidence(std::vector<Scored> candidates, const ChoiceTerms &terms, Core::Instant now) const;
    void addRefusalCosts(std::vector<Scored> &candidates) const;
    /** Returns a backend server that is to be probed and scored less than `limit` if it accepted all requests; nullptr when there is none. */
    [[nodiscard]] Backend *probed(const std::vector<Scored> &candidates, double limit, Core::Instant now);
    [[nodiscard]] double latencyMilliseconds(const Backend &backend, Core::Duration typicalLatency, Core::Instant now, SpeedBasis basis) const;
    [[nodiscard]] double refusalMilliseconds(const Backend &backend) const;
    [[nodiscard]] double biasMilliseconds(const Backend &backend, Core::Instant now) const;

    BackendChoiceOptions options;
    std::mt19937_64 random;
    std::uint64_t changedByReports{0};
};

}
