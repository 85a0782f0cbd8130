/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Health of one backend server as one gateway observes it: speed, rate of failures,
// share of accepted requests, outlier ejection (avoidance) and reported load. Pure.

#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/Scheduling/ServerAcceptance.h>
#include <LibGateway/Scheduling/ServerSpeed.h>

#include <optional>

namespace Gateway
{

/** Measurements decay with time, so that a backend server that recovered gets requests again. */
class BackendHealth
{
public:
    /** Records a successful answer that this gateway received. Resets the failure count and ends avoidance. */
    void recordAnswer(const SpeedSample &sample, Core::Instant now);
    /** The same for a request that was sent after all earlier answers were received; it took `ratio` times the typical latency. */
    void recordAnswer(double ratio, Core::Instant now);

    /**
     * Records the latency of a part that another gateway served, as a multiple of the typical latency. It includes the way to that gateway and the queue there,
     * so it is kept apart from the speed of the server, and an answer in time that this gateway received replaces it. It does not affect failures and
     * avoidance, since it says nothing about connections from this gateway.
     */
    void recordRemoteAnswer(double ratio, Core::Instant now);

    /** Records that the backend server refused a request without executing it. That is neither a failure nor a sample of its latency. */
    void recordRefusal(Core::Instant now);

    /** Records that the backend server ran a request, whatever its result; recordAnswer() does not include this. */
    void recordAccepted(Core::Instant now);

    /**
     * Records a failed request. After `failuresUntilAvoided` consecutive failures the backend server is avoided. Returns whether it is avoided now and was not
     * before.
     */
    bool recordFailure(int failuresUntilAvoided, Core::Instant now);

    /** Records that the backend server does not respond at all; it is avoided at once. Returns whether it was not avoided before. */
    bool recordUnresponsive(Core::Instant now);

    /** Records that a reply of any kind was received, with its load report if it carried one. */
    void recordReply(const std::optional<LoadReport> &report, Core::Instant now);

    /**
     * Returns the expected latency in multiples of the typical latency, from speed and queueing. `own` is the number of requests in flight from this
     * gateway, `slots` how many the backend server executes concurrently.
     */
    [[nodiscard]] double expectedFactor(std::size_t own, int slots, Core::Instant now, SpeedBasis basis = SpeedBasis::All) const;
    /** Returns the work ahead of a request, in multiples of its own: from the latest load report if it is fresh, and from this gateway's own requests. */
    [[nodiscard]] double queueing(std::size_t own, int slots, Core::Instant now) const;
    /** Returns the factor by which requests are known to take longer here than usual, without queueing; 1 where the server reports its slowdown itself. */
    [[nodiscard]] double observedFactor(Core::Instant now) const;
    /** Whether this gateway observed a slowdown within the last three seconds; never where the server reports it itself. */
    [[nodiscard]] bool wasSlow(Core::Instant now) const;
    /** Whether the backend server counts as slow: it takes at least twice its usual time. */
    [[nodiscard]] bool isSlow(Core::Instant now) const;
    /** Returns a change of the speed that is to be logged; see ServerSpeed::takeChange(). */
    [[nodiscard]] std::optional<SpeedChange> takeSpeedChange(Core::Instant now);

    /** Keeps what another gateway reports, as far as it is news. Returns whether any of it is. */
    bool receiveReport(EvidenceReport report, Core::Instant now);
    /** Returns what is told to another gateway: see ServerAcceptance::reportFor(), and a slowdown that this gateway observed itself. */
    [[nodiscard]] std::optional<EvidenceReport> reportFor(EvidenceScope scope, Core::Instant now) const;
    /** Until when there is something to tell. */
    [[nodiscard]] Core::Instant reportableUntil() const;
    /** Whether a report of another gateway counts. */
    [[nodiscard]] bool hasReport(Core::Instant now) const;

    /** Returns the smoothed share of requests that failed, from 0 to 1. */
    [[nodiscard]] double failureRate(Core::Instant now) const;

    /** Returns the expected share of requests that are refused; see ServerAcceptance::refusedShare(). */
    [[nodiscard]] double refusedShare(double expected, Core::Instant now, EvidenceScope scope = EvidenceScope::All) const;
    /** Returns the share of accepted requests, with the reports of other gateways. */
    [[nodiscard]] ServerAcceptance &sharedAcceptance();
    [[nodiscard]] const ServerAcceptance &sharedAcceptance() const;
    /** Returns the observed share of accepted requests; see ServerAcceptance::observedShare(). */
    [[nodiscard]] std::optional<double> observedAcceptance(Core::Instant now) const;
    /** Returns the share of requests that may try the backend server again; see ServerAcceptance::probeShare(). */
    [[nodiscard]] double probeShare(Core::Instant now) const;
    /** Returns a change of the acceptance that is to be logged; see ServerAcceptance::takeChange(). */
    [[nodiscard]] std::optional<AcceptanceChange> takeAcceptanceChange(Core::Instant now);

    [[nodiscard]] bool isAvoided(Core::Instant now) const;
    [[nodiscard]] Core::Instant avoidedUntil() const;
    [[nodiscard]] Core::Instant lastReply() const;
    [[nodiscard]] int consecutiveFailures() const;

private:
    void recordOutcome(bool isFailure, Core::Instant now);
    bool avoid(int doublings, Core::Instant now);
    [[nodiscard]] double partSlownessAt(Core::Instant now) const;
    /** Returns the reported slowdown, which one reply is enough to know, or the observed speed where replies do not report it. */
    [[nodiscard]] double currentSlowdown(Core::Instant now, SpeedBasis basis) const;

    ServerSpeed speed;
    // Smoothed latency of parts that other gateways served, in multiples of the typical latency.
    double partSlowness{1.0};
    Core::Instant partSlownessTime;
    // Factor by which the machine is slower than usual, from the latest load report; nothing when that report did not include it.
    std::optional<double> slowdown;
    Core::Instant slowdownTime;
    double smoothedFailureRate{0.0};
    Core::Instant failureRateTime;
    ServerAcceptance acceptance;
    int failures{0};
    Core::Instant avoidanceEnd;
    Core::Instant replyTime;
    LoadReport load;
    Core::Instant loadTime;
};

}
