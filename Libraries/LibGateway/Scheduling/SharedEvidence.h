/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What gateways tell each other about backend servers that refuse requests or are slow.
//
// Load pattern: dozens of gateways send a server one to three requests a second each. Some
// need seconds to learn by themselves that the server refuses, and as long to learn that it
// has recovered. Parts of searches and their answers pass between the gateways all the time
// and carry the observations of each gateway to the others.
//
// Rules:
// E1. An answer carries only what its gateway observed itself. A part also carries what
//     came with answers. What came with a part is not sent on. So each report is sent on
//     at most once, by a gateway that knows whose it is.
// E2. A report is not sent to the gateway that observed it.
// E3. Reports are not added up: one per server is kept.
// E4. A report fades from the time of its latest observation and is dropped after
//     EvidenceLifetime.
// E5. A slowdown is told only by the gateway that observed it, and is not sent on. It lasts
//     for less time than news needs for a second hop.
// Pure.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibGateway/Scheduling/FadedOutcomes.h>
#include <LibGateway/Scheduling/LogLimit.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway
{

/** A report is dropped, and a server that is no longer low stops being reported, after this time. */
inline constexpr Core::Duration EvidenceLifetime = Core::seconds(3);
/**
 * A server that accepts a larger share of its requests counts as recovered. Larger than LowAcceptance, so that a server close to that does not fill the log.
 */
inline constexpr double RestoredAcceptance = 0.75;
/** Maximum number of entries in one header. */
inline constexpr std::size_t MaximumEvidenceEntries = 16;

/** What one gateway observed of a backend server. */
struct EvidenceReport {
    /** Observations as of `observedAt`. Invariant: at most MaximumEvidence. */
    FadedOutcomes outcomes;
    /** Time of the latest observation. */
    Core::Instant observedAt;
    /** Name of the gateway that observed it; empty if it is not known, as for what came with a part. */
    std::string source{};
    /** Slowdown of the server as of `observedAt`; 1 if none was observed, or if the report is sent on. See ServerSpeed. */
    double slowness{1.0};

    [[nodiscard]] bool isExpired(Core::Instant now) const;
    /** Returns the observations that still count; none once the report has expired. */
    [[nodiscard]] FadedOutcomes at(Core::Instant now) const;
    /** Whether more than RestoredAcceptance of the observed requests were accepted. */
    [[nodiscard]] bool isGood() const;
};

/** A report with the name of its backend server. */
struct EvidenceEntry {
    std::string server;
    EvidenceReport report;
};

/** The result of decodeEvidence(). */
struct DecodedEvidence {
    std::vector<EvidenceEntry> entries;
    /** Number of entries that were invalid, expired, or beyond MaximumEvidenceEntries. */
    std::size_t ignored{0};
};

/** Which of the two reports on one server is kept; `held` may be empty. A newer report of the same gateway replaces the former one. */
[[nodiscard]] bool replacesReport(const std::optional<EvidenceReport> &held, const EvidenceReport &received, Core::Instant now);

/**
 * Leaves the MaximumEvidenceEntries entries that differ most from what others expect: servers that have recovered first, since others still avoid them, then
 * those with the most refusals and the greatest slowdowns.
 */
void chooseEntries(std::vector<EvidenceEntry> &entries, Core::Instant now);

/**
 * Encodes entries as NAME=ACCEPTED/REFUSED/SLOWNESS/AGE_MS,... and, within a gateway, with /SOURCE after the age where it is known; withoutOwnReports() removes
 * it. SLOWNESS is the slowdown with at most two decimals, and 1 without one. Entries whose names cannot be encoded are left out.
 */
[[nodiscard]] std::string encodeEvidence(const std::vector<EvidenceEntry> &entries, Core::Instant now);

/** Returns encoded entries as they are sent to the gateway `receiver`: without those that it observed itself, and without sources. */
[[nodiscard]] std::string withoutOwnReports(std::string_view encoded, std::string_view receiver);

/** Decodes a received header. `transit` is the time that it may have been on the way, and is added to all ages. */
[[nodiscard]] DecodedEvidence decodeEvidence(std::string_view text, const std::string &source, Core::Duration transit, Core::Instant now);

/** Counters for metrics. */
struct EvidenceCounters {
    std::uint64_t sent{0};
    std::uint64_t received{0};
    /** Received entries that were invalid, expired, about unknown servers, or weaker than the report that is held. */
    std::uint64_t ignored{0};
    /** Choices of a backend server that would have been different without reports from other gateways. */
    std::uint64_t changedChoices{0};
};

/** What came with one header, for the log. */
struct EvidenceReceipt {
    std::string source;
    std::size_t kept{0};
    std::size_t ignored{0};
    /** Age of the oldest report that was kept. */
    Core::Duration oldest{0};
};

/** Logs `evidence.received` for at most a few headers a second. */
class EvidenceLog
{
public:
    /** Logs the receipt or counts it as left out. Returns whether it was logged. */
    bool record(const EvidenceReceipt &receipt, Core::Instant now);

private:
    static constexpr int LinesPerSecond = 2;

    LogLimit lines{LinesPerSecond};
};

}
