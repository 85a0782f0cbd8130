/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/SearchAdmission.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Gateway
{

// Fraction of its remaining time that a caller waits at most: 1 / 3.
static constexpr int CallerWaitDivisor = 3;
// The latest return in relation to the earliest one.
static constexpr int ReturnSpreadFactor = 2;
// Sum of the two priorities from which on a search counts as least urgent for its return.
static constexpr int LeastUrgentPriority = 4;
// A backlog that takes longer counts as this long. No timeout is that long, and longer times would overflow when they are added.
static constexpr double MaximumWaitMilliseconds = 3'600'000.0;

static Core::Duration scaledBy(Core::Duration duration, double factor)
{
    return Core::Duration(static_cast<Core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// V2: an unknown pace delays nothing.
static Core::Duration waitAt(const ShardEstimate &shard)
{
    if (!shard.sentPerSecond.has_value() || shard.waiting == 0) {
        return shard.avoidedFor;
    }
    const double milliseconds = 1000.0 * static_cast<double>(shard.waiting) / shard.sentPerSecond.value();
    return shard.avoidedFor + scaledBy(Core::milliseconds(1), std::min(milliseconds, MaximumWaitMilliseconds));
}

// ---- SearchOutlook

SearchOutlook::SearchOutlook(SearchLimits limits, std::size_t judgedElsewhere)
    : searchLimits(limits), allShards(judgedElsewhere), shardsInTime(judgedElsewhere), shardsPossible(judgedElsewhere)
{
}

void SearchOutlook::add(const ShardEstimate &shard)
{
    ++this->allShards;
    if (!shard.hasServer) {
        return;
    }
    const auto wait = waitAt(shard);
    // V3: the expected latency depends on reports, so only the measured one is compared with the deadline.
    const bool isPossible = wait + shard.measuredLatency <= this->searchLimits.timeToDeadline;
    const bool isInTime = isPossible && wait + shard.expectedLatency <= this->searchLimits.timeToTarget;
    this->shardsInTime += isInTime ? 1 : 0;
    this->shardsPossible += isPossible ? 1 : 0;
    if (!isPossible) {
        ++this->backlogged;
        this->backlogMilliseconds += Core::toFractionalMilliseconds(wait);
        this->longestUnsent = std::max(this->longestUnsent, shard.unsentFor);
    }
}

SearchVerdict SearchOutlook::verdict() const
{
    if (this->shardsInTime >= this->searchLimits.needed) {
        return SearchVerdict::InTime;
    }
    return this->shardsPossible >= this->searchLimits.needed ? SearchVerdict::Late : SearchVerdict::Impossible;
}

const SearchLimits &SearchOutlook::limits() const
{
    return this->searchLimits;
}

std::size_t SearchOutlook::inTime() const
{
    return this->shardsInTime;
}

std::size_t SearchOutlook::possible() const
{
    return this->shardsPossible;
}

std::size_t SearchOutlook::all() const
{
    return this->allShards;
}

Core::Duration SearchOutlook::backlog() const
{
    if (this->backlogged == 0) {
        return Core::Duration(0);
    }
    return scaledBy(Core::milliseconds(1), this->backlogMilliseconds / static_cast<double>(this->backlogged));
}

Core::Duration SearchOutlook::unsentFor() const
{
    return this->longestUnsent;
}

// ---- SearchAdmission

SearchAdmission::SearchAdmission(SearchAdmissionOptions options) : options(options)
{
}

bool SearchAdmission::admit(const SearchOutlook &outlook, Core::Instant now)
{
    const auto verdict = outlook.verdict();
    this->record(verdict == SearchVerdict::Impossible, now);
    if (verdict != SearchVerdict::Impossible) {
        this->counters.admittedLate += verdict == SearchVerdict::Late ? 1 : 0;
        return true;
    }
    // A1.
    const bool isRefused = this->highSince.has_value() && this->heldFor(now) >= this->options.holdTime;
    ++(isRefused ? this->counters.refused : this->counters.admittedImpossible);
    return !isRefused;
}

void SearchAdmission::record(bool isImpossible, Core::Instant now)
{
    const auto gap = now - this->recordedAt;
    if (gap > this->options.maximumGap) {
        // A2.
        this->recordNothingWaits();
    }
    const double decay = std::exp2(-Core::toFractionalMilliseconds(gap) / Core::toFractionalMilliseconds(this->options.halfLife));
    this->verdicts = this->verdicts * decay + 1.0;
    this->impossible = this->impossible * decay + (isImpossible ? 1.0 : 0.0);
    this->recordedAt = now;
    if (this->impossibleShare() < this->options.refusalShare) {
        this->highSince.reset();
    } else if (!this->highSince.has_value()) {
        this->highSince = now;
    }
}

void SearchAdmission::recordNothingWaits()
{
    this->verdicts = 0.0;
    this->impossible = 0.0;
    this->highSince.reset();
}

double SearchAdmission::impossibleShare() const
{
    return this->verdicts > 0.0 ? this->impossible / this->verdicts : 0.0;
}

Core::Duration SearchAdmission::heldFor(Core::Instant now) const
{
    return this->highSince.has_value() ? now - this->highSince.value() : Core::Duration(0);
}

const SearchAdmissionCounts &SearchAdmission::counts() const
{
    return this->counters;
}

std::optional<std::uint64_t> SearchAdmission::takeLogLine(Core::Instant now)
{
    if (now - this->lineSecondStartedAt >= Core::seconds(1)) {
        this->lineSecondStartedAt = now;
        this->linesOfSecond = 0;
    }
    if (this->linesOfSecond >= MaximumLinesPerSecond) {
        ++this->omittedLines;
        return std::nullopt;
    }
    ++this->linesOfSecond;
    return std::exchange(this->omittedLines, 0);
}

// ---- Returns

Core::Duration returnAfter(const ReturnTerms &terms)
{
    const auto longest = std::max(Core::Duration(0), terms.callerTimeLeft / CallerWaitDivisor);
    const auto latest = std::min(ReturnSpreadFactor * std::max(terms.usual, terms.backlog), longest);
    const auto earliest = std::max(std::min(terms.usual, latest), latest / ReturnSpreadFactor);
    const int priority = std::clamp(terms.urgency.workspace + terms.urgency.route, 0, LeastUrgentPriority);
    const double lateness = static_cast<double>(priority) / LeastUrgentPriority;
    return earliest + scaledBy(latest - earliest, (lateness + std::clamp(terms.spread, 0.0, 1.0)) / 2.0);
}

}
