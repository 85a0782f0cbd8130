/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaLedger.h>

#include <algorithm>

namespace Gateway
{

QuotaLedger::QuotaLedger(const Fleet::RegionOfZone &regions, const QuotaOptions &options, std::string ownAddress)
    : options(options), allKeepers(regions, options), ownAddress(std::move(ownAddress))
{
}

const QuotaKeepers &QuotaLedger::keepers() const
{
    return this->allKeepers;
}

std::size_t QuotaLedger::heldShareCount() const
{
    return this->shares.size();
}

void QuotaLedger::setGateways(const std::vector<KeeperGateway> &gateways, Core::Instant now)
{
    this->allKeepers.setGateways(gateways);
    this->update(now);
}

void QuotaLedger::setDeclaration(std::shared_ptr<const Fleet::Declaration> newDeclaration, Core::Instant now)
{
    this->declaration = std::move(newDeclaration);
    this->update(now);
}

void QuotaLedger::setMayHoldShares(bool may, Core::Instant now)
{
    if (this->mayHoldSince.has_value() != may) {
        this->mayHoldSince = may ? std::optional(now) : std::nullopt;
        this->update(now);
    }
}

void QuotaLedger::update(Core::Instant now)
{
    std::unordered_map<Fleet::WorkspaceName, Share> held;
    if (this->mayHoldSince.has_value() && this->declaration && this->declaration->workspaces.has_value()) {
        for (const auto &workspace : this->declaration->workspaces->all()) {
            if (!workspace->quota.isBounded()) {
                continue;
            }
            const auto keepersOfIt = this->allKeepers.keepersOf(*workspace);
            const bool isOwn = std::any_of(keepersOfIt.begin(), keepersOfIt.end(), [this](const KeeperGateway *keeper) {
                return keeper->address == this->ownAddress;
            });
            if (!isOwn) {
                continue;
            }
            const auto size = this->allKeepers.shareOf(workspace->quota, keepersOfIt.size());
            auto before = this->shares.extract(workspace->name);
            if (before.empty()) {
                // Q1: a share that is new here grants nothing before the handover time is over.
                held.emplace(workspace->name,
                    Share{.bucket = TokenBucket(size, std::max(now, this->mayHoldSince.value() + this->options.propagationTime)),
                        .grantsFrom = std::max(now + this->options.propagationTime, this->mayHoldSince.value() + this->options.handoverTime),
                        .demand = DemandShares(this->options.window),
                        .reservations = QuotaReservations({}),
                        .retryTimes = {},
                        .unreserved = {}});
                continue;
            }
            auto &share = before.mapped();
            share.bucket.resize(size, now);
            this->reservationCounts.dropped += share.reservations.fitTo(share.supplyAt(now), now);
            held.insert(std::move(before));
        }
    }
    for (const auto &[workspace, share] : this->shares) {
        this->reservationCounts.dropped += share.reservations.count();
    }
    this->shares = std::move(held);
}

// ---- Queries

TokenSupply QuotaLedger::Share::supplyAt(Core::Instant now)
{
    const double tokens = this->bucket.tokensAt(now);
    const auto &size = this->bucket.currentSize();
    return {.tokens = tokens, .perSecond = size.perSecond, .capacity = size.capacity, .fillsFrom = std::max(now, this->bucket.filledUntil())};
}

static ShareSupply sizeOf(const TokenBucket &bucket)
{
    return {.perSecond = bucket.currentSize().perSecond, .capacity = bucket.currentSize().capacity};
}

static Urgency urgencyIn(const QuotaQuery &query)
{
    return query.terms.has_value() ? query.terms->urgency : Urgency{};
}

// Rounds up, so that nobody returns before the time that was meant.
static Core::Duration wholeMilliseconds(Core::Duration duration)
{
    return std::chrono::ceil<Core::milliseconds>(duration);
}

QuotaReply QuotaLedger::admit(const QuotaQuery &query, Core::Instant now)
{
    const auto found = this->shares.find(query.workspace);
    if (found == this->shares.end()) {
        return {};
    }
    auto &share = found->second;
    this->expire(query.workspace, share, now);
    if (!query.isRepeated) {
        share.demand.setMayOthersGrant(query.mayOthersGrant);
        share.demand.recordRequest(urgencyIn(query), sizeOf(share.bucket), now);
    }
    const auto *own = query.terms.has_value() ? share.reservations.find(query.terms->digest, now + query.terms->timeLeft, now) : nullptr;
    if (now >= share.grantsFrom && this->grant(share, query, own, now)) {
        return {.isKeeper = true, .granted = true, .isClaimed = own != nullptr, .exhausted = {}};
    }
    return this->refuse(share, query, own, now);
}

bool QuotaLedger::grant(Share &share, const QuotaQuery &query, const QuotaReservation *own, Core::Instant now)
{
    const bool isDue = own != nullptr && share.reservations.isDue(*own, now);
    const double forOthers = share.demand.tokensForOthers(urgencyIn(query), sizeOf(share.bucket));
    const bool hasFreeToken = share.reservations.freeTokens(share.supplyAt(now), now) - forOthers >= 1.0;
    if ((!isDue && !hasFreeToken) || !share.bucket.take(now)) {
        return false;
    }
    if (own != nullptr) {
        share.reservations.remove(own);
        ++this->reservationCounts.claimed;
    } else {
        share.demand.recordGrant(urgencyIn(query));
    }
    return true;
}

QuotaReply QuotaLedger::refuse(Share &share, const QuotaQuery &query, const QuotaReservation *own, Core::Instant now)
{
    const auto size = sizeOf(share.bucket);
    const auto urgency = urgencyIn(query);
    const TokenDemand demand{.urgency = urgency, .forOthers = share.demand.tokensForOthers(urgency, size), .perSecond = share.demand.rateFor(urgency, size)};
    const auto freeAt = share.reservations.nextFreeToken(share.supplyAt(now), demand, std::max(now, share.grantsFrom), now);
    const auto freeAfter = wholeMilliseconds(freeAt - now);
    QuotaReply reply{.isKeeper = true, .isStarting = now < share.grantsFrom, .freeAfter = freeAfter, .retryAfter = freeAfter, .exhausted = {}};
    const auto spreadReturn = [&share, &demand, &reply, freeAt, now] {
        reply.retryAfter = wholeMilliseconds(share.retryTimes.next(demand.urgency, freeAt, demand.perSecond, now) - now);
    };
    if (!query.terms.has_value()) {
        spreadReturn();
        return reply;
    }
    const auto &digest = query.terms->digest;
    reply.mayNextHaveReserved = share.unreserved.contains(digest, now);
    if (own != nullptr) {
        // The caller returned early, or its token comes a moment late.
        reply.isReserved = true;
        reply.retryAfter = wholeMilliseconds(std::max(own->at - now, share.bucket.timeToToken(now)));
        return reply;
    }
    const bool mayWait = isWaitUseful(query.terms.value(), freeAfter);
    const bool isLast = query.reservation == ReservationMode::Always;
    reply.isReserved = isLast && mayWait && this->reserve(share, query.terms.value(), freeAfter, now);
    const bool isFinal = isLast || (query.reservation == ReservationMode::IfOthersExhausted && !mayWait);
    if (isFinal && !reply.isReserved) {
        share.unreserved.add(digest, now);
        spreadReturn();
    }
    return reply;
}

bool QuotaLedger::reserve(Share &share, const QuotaTerms &terms, Core::Duration wait, Core::Instant now)
{
    const bool isAdded = share.reservations.add({.digest = terms.digest, .urgency = terms.urgency, .at = now + wait, .deadline = now + terms.timeLeft}, now);
    if (isAdded) {
        share.demand.recordGrant(terms.urgency);
        ++this->reservationCounts.made;
    }
    return isAdded;
}

void QuotaLedger::expire(const Fleet::WorkspaceName &workspace, Share &share, Core::Instant now)
{
    const auto expired = share.reservations.expire(now);
    for (const auto &urgency : expired) {
        share.demand.recordReturn(urgency);
    }
    this->reservationCounts.expired += expired.size();
    if (!expired.empty()) {
        this->unreportedExpired[workspace] += expired.size();
    }
}

std::map<Fleet::WorkspaceName, std::size_t> QuotaLedger::expireReservations(Core::Instant now)
{
    for (auto &[workspace, share] : this->shares) {
        this->expire(workspace, share, now);
    }
    return std::exchange(this->unreportedExpired, {});
}

std::vector<DivisionChange> QuotaLedger::updateDivisions(Core::Instant now)
{
    std::vector<DivisionChange> changes;
    for (auto &[workspace, share] : this->shares) {
        const auto size = sizeOf(share.bucket);
        share.demand.decay(size, now);
        const bool wasDivided = std::exchange(share.wasDivided, share.demand.isDividing());
        if (wasDivided != share.wasDivided) {
            changes.push_back({.workspace = workspace, .isDivided = share.wasDivided, .demand = share.demand.totalDemand(), .refill = size.perSecond});
        }
    }
    return changes;
}

std::size_t QuotaLedger::dividedShareCount() const
{
    return static_cast<std::size_t>(std::count_if(this->shares.begin(), this->shares.end(), [](const auto &item) {
        return item.second.wasDivided;
    }));
}

const ReservationCounters &QuotaLedger::reservationCounters() const
{
    return this->reservationCounts;
}

std::size_t QuotaLedger::outstandingReservations() const
{
    std::size_t count = 0;
    for (const auto &[workspace, share] : this->shares) {
        count += share.reservations.count();
    }
    return count;
}

}
