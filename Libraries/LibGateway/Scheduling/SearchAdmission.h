/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides before a search is sent whether enough of its shards can be included in an
// answer by its target or, if not, by its deadline. Pure.
//
// Load pattern: for some seconds more searches arrive than the shards take, or the servers
// of too many shards are avoided. A search that can't reach its coverage takes a slot at
// each other shard, delays all other searches there, and ends as a refusal after its whole
// timeout.
//
// What callers need gives the thresholds. An answer after the target is worth a tenth of
// one before it, which is more than a late refusal, so a search that will be late is sent.
// An immediate and true refusal is worth half or more, since the caller can return in time;
// holding a request and then refusing it costs the caller most. So a search is refused only
// if it is lost by its deadline, and only if that has held for longer than a server pauses.

#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Scheduling/Urgency.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Gateway
{

/** What a gateway knows of one shard that it sends to itself. */
struct ShardEstimate {
    /** Whether any backend server is eligible. */
    bool hasServer{false};
    /** Time until an eligible backend server is not avoided; 0 if one is not avoided now. */
    Core::Duration avoidedFor{0};
    /** Latency that is expected of the best backend server, with what servers report about their load. */
    Core::Duration expectedLatency{0};
    /** Latency that this gateway has measured for such requests. */
    Core::Duration measuredLatency{0};
    /** Number of requests of the same or a higher urgency that wait at the shard. */
    std::size_t waiting{0};
    /** Number of waiting requests that are sent in a second; nothing while that is unknown. */
    std::optional<double> sentPerSecond;
    /** For how long requests have waited at the shard without any being sent. */
    Core::Duration unsentFor{0};
};

/** What a search needs, and by when. */
struct SearchLimits {
    /** Number of shards that have to be included. */
    std::size_t needed{0};
    Core::Duration timeToTarget{0};
    /** Time until the route's or the caller's timeout, whichever is earlier. */
    Core::Duration timeToDeadline{0};
};

enum class SearchVerdict {
    /** Enough shards can be included by the target. */
    InTime,
    /** Enough shards can be included by the deadline. */
    Late,
    /** Too few shards can be included by the deadline. */
    Impossible,
};

/**
 * How many shards of a search can be included in its answer. Each shard is added once.
 * V1. A shard counts by the deadline unless what this gateway has observed itself excludes it: no backend server is eligible, all of them are avoided for too
 *     long, or its backlog at its measured pace takes too long.
 * V2. What is unknown delays nothing: a backlog whose pace was not measured, and shards that another gateway judges.
 * V3. Reports of servers about their load may be false. They decide only whether a shard counts by the target, never whether it counts by the deadline.
 */
class SearchOutlook
{
public:
    /** `judgedElsewhere` shards are sent to through other gateways, which judge them. */
    explicit SearchOutlook(SearchLimits limits, std::size_t judgedElsewhere = 0);

    void add(const ShardEstimate &shard);

    [[nodiscard]] SearchVerdict verdict() const;
    [[nodiscard]] const SearchLimits &limits() const;
    /** Number of shards that can be included by the target. */
    [[nodiscard]] std::size_t inTime() const;
    /** Number of shards that can be included by the deadline. */
    [[nodiscard]] std::size_t possible() const;
    [[nodiscard]] std::size_t all() const;
    /** Returns the mean time until the shards that are not possible by the deadline serve new requests; 0 if that is unknown. */
    [[nodiscard]] Core::Duration backlog() const;
    /** Returns the longest time for which requests have waited at one of these shards without any being sent. */
    [[nodiscard]] Core::Duration unsentFor() const;

private:
    SearchLimits searchLimits;
    std::size_t allShards{0};
    std::size_t shardsInTime{0};
    std::size_t shardsPossible{0};
    // Sum over the shards that have a server but are not possible, and their number.
    double backlogMilliseconds{0.0};
    std::size_t backlogged{0};
    Core::Duration longestUnsent{0};
};

/** Which searches are judged together; see SearchAdmission. */
struct SearchClass {
    std::string route;
    /** What waits at a shard is counted by urgency, so more urgent searches may be possible while others are not. */
    Urgency urgency;
    /** The cell of the shards in a part of another gateway's search; nothing for callers' searches. One cell may be overloaded while others are not. */
    std::optional<std::size_t> cell;
    auto operator<=>(const SearchClass &) const = default;
};

/** When a verdict leads to a refusal. */
struct SearchAdmissionOptions {
    /** Searches are refused while at least this share of them is impossible. Below it most searches of the moment can still be answered. */
    double refusalShare{0.5};
    /** For how long the share must have been that high: longer than a server pauses (250 ms), during which nothing that waits for it is sent. */
    Core::Duration holdTime{Core::milliseconds(300)};
    /** Half-life of the share, shorter than holdTime, so that a moment of noise has decayed within it. */
    Core::Duration halfLife{Core::milliseconds(200)};
    /** With a longer time between two verdicts it is not known what held between them, so holdTime begins anew. */
    Core::Duration maximumGap{Core::seconds(1)};
};

/** Counters for metrics. */
struct SearchAdmissionCounts {
    /** Searches that were sent although they are expected to miss their target. */
    std::uint64_t admittedLate{0};
    /** Searches that were judged impossible and sent, since that had not held for long enough. */
    std::uint64_t admittedImpossible{0};
    std::uint64_t refused{0};
};

/**
 * Admission of the searches of one class.
 * A1. Only a search that is itself impossible is refused, and only after the smoothed share of impossible ones has been high for holdTime. So a moment of noise
 *     refuses nobody, and the first search that is possible again is sent; no probe is needed.
 * A2. The share decays between verdicts, and after maximumGap nothing is left of it.
 */
class SearchAdmission
{
public:
    /** Maximum number of log lines for refusals in a second. */
    static constexpr int MaximumLinesPerSecond = 5;

    explicit SearchAdmission(SearchAdmissionOptions options = {});

    /** Records the verdict on a search, and returns whether the search is to be sent. */
    [[nodiscard]] bool admit(const SearchOutlook &outlook, Core::Instant now);

    /** Records that nothing waits at this gateway and no backend server is avoided, so that every search is possible. */
    void recordNothingWaits();

    /** Returns the smoothed share of impossible searches, from 0 to 1. */
    [[nodiscard]] double impossibleShare() const;
    /** Returns for how long the share has been at least refusalShare; 0 if it is not. */
    [[nodiscard]] Core::Duration heldFor(Core::Instant now) const;
    [[nodiscard]] const SearchAdmissionCounts &counts() const;

    /** Returns the number of refusals without a log line since the last one, or nothing if no line may be written now. */
    [[nodiscard]] std::optional<std::uint64_t> takeLogLine(Core::Instant now);

private:
    void record(bool isImpossible, Core::Instant now);

    SearchAdmissionOptions options;
    // Decayed numbers of all verdicts and of the impossible ones, at `recordedAt`.
    double verdicts{0.0};
    double impossible{0.0};
    Core::Instant recordedAt;
    // Invariant: set exactly while the share is at least refusalShare.
    std::optional<Core::Instant> highSince;
    SearchAdmissionCounts counters;
    Core::Instant lineSecondStartedAt;
    int linesOfSecond{0};
    std::uint64_t omittedLines{0};
};

/** What determines when the caller of a refused search returns. */
struct ReturnTerms {
    /** Time until the backlog is served; 0 if it is unknown. */
    Core::Duration backlog{0};
    /** Retry-After of other refusals, the minimum. */
    Core::Duration usual{0};
    /** Time that the caller has left. It waits at most a third of it. */
    Core::Duration callerTimeLeft{0};
    Urgency urgency;
    /** From 0 to 1, different for each attempt. */
    double spread{0.0};
};

/**
 * Returns the Retry-After of a refused search: about when the backlog is served, spread over the time up to twice as late, the less urgent searches in the
 * later half. Never more than what the caller waits, since it would return in that time whatever it is told, and all at once.
 */
[[nodiscard]] Core::Duration returnAfter(const ReturnTerms &terms);

}
