/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What share of requests a backend server accepts, and what a refusal costs.
//
// Load pattern: for some seconds half of all backend servers each refuse 0.6 of the
// requests that reach them. A refusal arrives within a round trip, but it consumes one of
// the few repeats of the service, and without a repeat the search lacks a shard. So a
// server is judged by the expected time until an accepted answer, including the repeat.
// Second pattern: a server whose queue is full refuses a burst of requests and accepts
// again some tens of milliseconds later. Requests that arrive together meet the same
// queue, so they count as few observations. Third pattern: dozens of gateways send a server
// one to three requests a second each. Observations last for seconds, so that they reach the
// next request, and a server with a low share is probed about once a second. Pure.

#pragma once

#include <LibGateway/Scheduling/SharedEvidence.h>

#include <optional>
#include <string>

namespace Gateway
{

/** A backend server that was observed to accept a smaller share of its requests is logged, and sends to it are counted. */
inline constexpr double LowAcceptance = 0.5;
/** Maximum number of log lines about changes of acceptance, for all servers of a pool. */
inline constexpr int AcceptanceLinesPerSecond = 5;
/**
 * A backend server that is expected to accept a smaller share gets no hedges. One that refuses 0.6 is expected to accept 0.5; one that was not tried yet, in a
 * service whose other servers refuse 0.6, is expected to accept 0.76.
 */
inline constexpr double MinimumHedgeAcceptance = 0.7;

/** Counts accepted and refused requests, which fade with time. */
class FadingOutcomes
{
public:
    void record(bool accepted, Core::Instant now);
    /** Multiplies the refused requests so far by `factor`. */
    void discountRefused(double factor, Core::Instant now);
    /** Whether any refused request was recorded, however long ago. Without one the fading need not be computed. */
    [[nodiscard]] bool hasRefused() const;
    /** Returns the numbers that still count. */
    [[nodiscard]] FadedOutcomes at(Core::Instant now) const;

private:
    // Observations before the current window, faded to its start.
    FadedOutcomes settled;
    // Invariant: includes all observations since windowStart, and no earlier ones.
    FadedOutcomes current;
    Core::Instant windowStart;
};

/** What is expected of a backend server of which little is known: the mean of its service, as one gateway observes it. */
class ServiceAcceptance
{
public:
    void record(bool accepted, Core::Instant now);

    /** Returns the share of requests that is refused, from 0 to 1. It is exactly 0 as long as none was refused. */
    [[nodiscard]] double refusedShare(Core::Instant now) const;

private:
    FadingOutcomes outcomes;
};

/** The observed acceptance of a backend server fell below LowAcceptance or rose again. */
struct AcceptanceChange {
    /** Share of accepted requests, from 0 to 1. */
    double share{1.0};
    /** Number of observations after fading. */
    double evidence{0.0};
    /** Time between the latest observation and the one before; the age of the report if that changed the acceptance. */
    Core::Duration age{0};
    /** How much of `evidence` is from a report of another gateway. */
    double remoteEvidence{0.0};
    /** Gateway that sent the report; empty without one, and if it came with a part. */
    std::string source{};
};

/** Whose observations of a backend server count. */
enum class EvidenceScope {
    /** Those of this gateway, and the report of another gateway as far as it has few. */
    All,
    /** Only those of this gateway. */
    Own,
};

/**
 * The share of requests that one backend server accepts. Observations of this gateway go first: a report of another gateway adds only as many as they lack of
 * MaximumEvidence.
 */
class ServerAcceptance
{
public:
    /** Records that a request was refused as not run, or was accepted, whatever its result. */
    void record(bool accepted, Core::Instant now);

    /**
     * Returns the expected share of refused requests, from 0 to 1, given the share that is expected of a server of which nothing is known. It is exactly 0
     * when that is 0 and no request was refused.
     */
    [[nodiscard]] double refusedShare(double expected, Core::Instant now, EvidenceScope scope = EvidenceScope::All) const;

    /** Returns the observed share of accepted requests, from 0 to 1; nullopt if there are too few observations. */
    [[nodiscard]] std::optional<double> observedShare(Core::Instant now) const;

    /**
     * Returns the share of requests, from 0 to 1, of which one may try the server again: 0 unless the server has a low share and its latest observation is old,
     * and 1 if there is a sign that it has recovered.
     */
    [[nodiscard]] double probeShare(Core::Instant now) const;

    /** Keeps a report of another gateway if it says more than the one that is held. Returns whether it does. */
    bool receive(EvidenceReport report, Core::Instant now);
    /** Returns what this gateway observed itself, if the server was low within EvidenceLifetime. */
    [[nodiscard]] std::optional<EvidenceReport> ownReport(Core::Instant now) const;
    /** Returns the report of another gateway that is held and may be sent on: it has a source and reports refusals or a recovery. */
    [[nodiscard]] std::optional<EvidenceReport> forwardableReport(Core::Instant now) const;
    /** Returns what this gateway observed itself, however much it is. */
    [[nodiscard]] EvidenceReport observations() const;
    /** Whether any refusal was observed or reported, however long ago. */
    [[nodiscard]] bool knowsRefusals() const;
    /** Returns what is told to another gateway: ownReport(), or with EvidenceScope::All the one of both with more evidence after fading. */
    [[nodiscard]] std::optional<EvidenceReport> reportFor(EvidenceScope scope, Core::Instant now) const;
    /** Whether a report of another gateway counts. */
    [[nodiscard]] bool hasReport(Core::Instant now) const;
    /** Until when there is something to tell; see ownReport() and forwardableReport(). */
    [[nodiscard]] Core::Instant reportableUntil() const;

    /** Returns the change since the last call that returned one, if there is one to log: at most one a second. */
    [[nodiscard]] std::optional<AcceptanceChange> takeChange(Core::Instant now);

private:
    [[nodiscard]] FadedOutcomes remoteAt(const FadedOutcomes &own, Core::Instant now) const;
    [[nodiscard]] FadedOutcomes observedAt(Core::Instant now, EvidenceScope scope = EvidenceScope::All) const;
    /** Whether the report is newer than the observations of this gateway. */
    [[nodiscard]] bool isReportNewer(Core::Instant now) const;

    FadingOutcomes outcomes;
    Core::Instant latest;
    Core::Duration latestAge{0};
    std::optional<EvidenceReport> remote;
    // Time of the latest observation that any gateway reported, also in a report that is not kept.
    Core::Instant newestReport;
    // EvidenceLifetime after this gateway observed a low share for the last time.
    Core::Instant ownReportableUntil;
    // Accepted requests since the latest refusal; those of one window count once.
    int acceptedInRow{0};
    bool isLow{false};
    // Nothing until the first change.
    std::optional<Core::Instant> changedAt;
};

/** Times that determine what a refusal costs; all in milliseconds. */
struct RefusalTimes {
    /** Time until the refusal is received. */
    double roundTrip{0.0};
    /** Time that one repeat is worth. */
    double repeatPrice{0.0};
    /** Expected time until the answer of this backend server. */
    double own{0.0};
    /** Expected time until the answer of the best other backend server. */
    double nextBest{0.0};
};

/**
 * Returns how many milliseconds the possibility of a refusal adds to the expected time until an accepted answer. Never less than 0, so that a server that
 * refuses fast is not preferred to one that accepts.
 */
[[nodiscard]] double refusalCost(double refusedShare, const RefusalTimes &times);

}
