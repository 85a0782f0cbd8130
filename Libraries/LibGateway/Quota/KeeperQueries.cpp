/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/KeeperQueries.h>

#include <algorithm>

namespace Gateway
{

// Ranks of the keepers that may reserve tokens for a digest. A returning caller costs a query to each of them.
static constexpr std::size_t HomeRank = 0;
static constexpr std::size_t SecondHomeRank = 1;

KeeperQueries::KeeperQueries(QuotaQuery query, std::vector<RankedKeeper> keepers, const std::string &ownAddress, Core::Instant startedAt)
    : request(std::move(query)), start(startedAt)
{
    for (auto &keeper : keepers) {
        this->order.push_back(this->rows.size());
        this->rows.push_back({.keeper = std::move(keeper), .known = {}, .reply = {}});
    }
    std::stable_partition(this->order.begin(), this->order.end(), [this, &ownAddress](std::size_t rank) {
        return this->rows[rank].keeper.gateway.address == ownAddress;
    });
}

const QuotaQuery &KeeperQueries::query() const
{
    return this->request;
}

const KeeperGateway &KeeperQueries::keeper(std::size_t rank) const
{
    return this->rows[rank].keeper.gateway;
}

Core::Instant KeeperQueries::startedAt() const
{
    return this->start;
}

Urgency KeeperQueries::urgencyOf(const QuotaQuery &query)
{
    return query.terms.has_value() ? query.terms->urgency : Urgency{};
}

QuotaTerms KeeperQueries::termsAt(Core::Instant now) const
{
    auto terms = this->request.terms.value_or(QuotaTerms{});
    const auto elapsed = now - this->start;
    terms.timeLeft = std::max(Core::Duration(0), terms.timeLeft - elapsed);
    terms.targetLeft = std::max(Core::Duration(0), terms.targetLeft - elapsed);
    return terms;
}

bool KeeperQueries::hasReply() const
{
    return std::any_of(this->rows.begin(), this->rows.end(), [](const Row &row) {
        return row.reply.has_value();
    });
}

// ---- Choice of the next query

std::optional<KeeperQueries::Step> KeeperQueries::next(const ExhaustedKeepers &known, const KeeperRoundTrips &roundTrips, Core::Instant now)
{
    if (this->refusal(now).isReserved) {
        return std::nullopt;
    }
    for (const auto rank : this->order) {
        if (this->rows[rank].state != State::Open || !this->decideOn(rank, known, roundTrips, now)) {
            continue;
        }
        if (!this->isHome(rank)) {
            return this->makeStep(rank, ReservationMode::Never, now);
        }
        const bool isLast = this->areOthersExhausted(rank, known, now);
        return this->makeStep(rank, isLast ? ReservationMode::Always : ReservationMode::IfOthersExhausted, now);
    }
    return this->nextReservation(now);
}

bool KeeperQueries::isHome(std::size_t rank) const
{
    if (rank != SecondHomeRank) {
        return rank == HomeRank;
    }
    const auto &home = this->rows[HomeRank];
    return home.state == State::Silent || (home.reply.has_value() && home.reply->mayNextHaveReserved);
}

bool KeeperQueries::decideOn(std::size_t rank, const ExhaustedKeepers &known, const KeeperRoundTrips &roundTrips, Core::Instant now)
{
    auto &row = this->rows[rank];
    const auto knowledge = known.find(this->request.workspace, row.keeper.gateway.address, urgencyOf(this->request), now);
    if (knowledge.has_value() && !this->isHome(rank)) {
        row.state = State::KnownExhausted;
        row.known = knowledge.value();
        return false;
    }
    if (!this->hasTimeFor(row, roundTrips, now)) {
        row.state = State::NoTime;
        return false;
    }
    return true;
}

bool KeeperQueries::hasTimeFor(const Row &row, const KeeperRoundTrips &roundTrips, Core::Instant now) const
{
    if (this->asked == 0) {
        return true;
    }
    const auto left = this->termsAt(now);
    const auto needed = roundTrips.expected(row.keeper.gateway.address, row.keeper.isInOwnRegion) + left.typicalLatency;
    // A route without a target has none left.
    const bool isTargetPossible = left.targetLeft > Core::Duration(0) && left.targetLeft >= left.typicalLatency;
    return needed <= (isTargetPossible && this->hasReply() ? left.targetLeft : left.timeLeft);
}

bool KeeperQueries::areOthersExhausted(std::size_t rank, const ExhaustedKeepers &known, Core::Instant now) const
{
    return std::all_of(this->rows.begin(), this->rows.end(), [this, rank, &known, now](const Row &row) {
        const bool isOther = &row != &this->rows[rank];
        const bool isOpen = row.state == State::Open;
        return !isOther || !isOpen || known.find(this->request.workspace, row.keeper.gateway.address, urgencyOf(this->request), now).has_value();
    });
}

std::optional<KeeperQueries::Step> KeeperQueries::nextReservation(Core::Instant now)
{
    for (const auto rank : {HomeRank, SecondHomeRank}) {
        if (rank < this->rows.size() && this->mayReserveAt(rank, now)) {
            return this->makeStep(rank, ReservationMode::Always, now);
        }
    }
    return std::nullopt;
}

bool KeeperQueries::mayReserveAt(std::size_t rank, Core::Instant now) const
{
    const auto &row = this->rows[rank];
    const bool wasAskedInVain = row.wasLast || row.state == State::Silent || row.state == State::NoTime;
    if (wasAskedInVain || !this->request.terms.has_value()) {
        return false;
    }
    const auto stated = row.reply.has_value() ? row.reply->retryAfter : row.known.statedAt - now;
    return isWaitUseful(this->termsAt(now), stated);
}

KeeperQueries::Step KeeperQueries::makeStep(std::size_t rank, ReservationMode mode, Core::Instant now)
{
    auto &row = this->rows[rank];
    Step step{.rank = rank, .keeper = row.keeper.gateway, .query = this->request};
    if (step.query.terms.has_value()) {
        step.query.terms = this->termsAt(now);
    }
    step.query.reservation = mode;
    step.query.isRepeated = row.wasQueried;
    row.state = State::Asked;
    row.wasQueried = true;
    row.wasHome = row.wasHome || mode != ReservationMode::Never;
    row.wasLast = mode == ReservationMode::Always;
    return step;
}

// ---- Replies

void KeeperQueries::recordSent()
{
    ++this->asked;
}

void KeeperQueries::recordRefusal(std::size_t rank, const QuotaReply &reply)
{
    this->rows[rank].state = State::Refused;
    this->rows[rank].reply = reply;
}

void KeeperQueries::recordSilence(std::size_t rank)
{
    this->rows[rank].state = State::Silent;
}

template<typename Condition>
std::optional<Core::Duration> KeeperQueries::earliest(Condition condition) const
{
    std::optional<Core::Duration> time;
    for (const auto &row : this->rows) {
        if (row.reply.has_value() && condition(row)) {
            time = std::min(time.value_or(row.reply->retryAfter), row.reply->retryAfter);
        }
    }
    return time;
}

// The homes give each caller a time of its own; the times of other keepers are the same for all callers.
Core::Duration KeeperQueries::toldTime(Core::Instant now) const
{
    const auto ofHomes = this->earliest([](const Row &row) {
        return row.wasHome;
    });
    if (ofHomes.has_value()) {
        return ofHomes.value();
    }
    const auto ofReplies = this->earliest([](const Row &) {
        return true;
    });
    if (ofReplies.has_value()) {
        return ofReplies.value();
    }
    std::optional<Core::Duration> known;
    for (const auto &row : this->rows) {
        if (row.state == State::KnownExhausted) {
            const auto wait = std::max(row.known.statedAt, row.known.until) - now;
            known = std::min(known.value_or(wait), wait);
        }
    }
    return known.value_or(Core::Duration(0));
}

QuotaDecision KeeperQueries::refusal(Core::Instant now) const
{
    QuotaDecision decision{.asked = this->asked, .waited = now - this->start};
    bool isStarting = false;
    for (const auto &row : this->rows) {
        if (row.state == State::KnownExhausted) {
            ++decision.knownExhausted;
            decision.knownAge = std::max(decision.knownAge, now - row.known.learnedAt);
            isStarting = isStarting || row.known.isStarting;
        }
        decision.unqueried += row.state == State::NoTime ? 1 : 0;
        isStarting = isStarting || (row.reply.has_value() && row.reply->isStarting);
    }
    const auto reserved = this->earliest([](const Row &row) {
        return row.reply->isReserved;
    });
    decision.isReserved = reserved.has_value();
    decision.retryAfter = reserved.value_or(this->toldTime(now));
    if (this->hasReply() || decision.knownExhausted > 0) {
        decision.verdict = isStarting ? QuotaDecision::Verdict::Starting : QuotaDecision::Verdict::OverQuota;
    }
    return decision;
}

}
