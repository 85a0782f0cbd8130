/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaLedger.h>

#include <algorithm>

namespace Gateway
{

QuotaLedger::QuotaLedger(const Fleet::RegionOfZone &regions, const QuotaOptions &options, std::string ownAddress)
    : options(options)
    , allKeepers(regions, options)
    , ownAddress(std::move(ownAddress))
    , takeoverWait({.propagationTime = options.propagationTime, .expectedTime = options.handoverTime, .maximumTime = options.unconfirmedHandoverTime})
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
    this->isListed = std::any_of(gateways.begin(), gateways.end(), [this](const KeeperGateway &gateway) {
        return gateway.address == this->ownAddress;
    });
    this->hasOthers = gateways.size() > (this->isListed ? 1U : 0U);
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

// ---- Takeover

void QuotaLedger::setContactStatement(const Fleet::ContactStatement &statement, Core::Instant now)
{
    this->takeoverWait.recordStatement(statement, now);
    this->updateTakeover(now);
}

const TakeoverWait &QuotaLedger::takeover() const
{
    return this->takeoverWait;
}

bool QuotaLedger::isTakeoverPending(Core::Instant now)
{
    this->updateTakeover(now);
    return this->takeoverWait.isMember() ? !this->takeoverWait.end().has_value() : !this->hasBeenMember;
}

std::size_t QuotaLedger::waitingShareCount(Core::Instant now) const
{
    return static_cast<std::size_t>(std::count_if(this->shares.begin(), this->shares.end(), [this, now](const auto &item) {
        return !this->mayGrant(item.second, now);
    }));
}

Core::Instant QuotaLedger::fillStart(Core::Instant now) const
{
    const auto joined = std::max(now, this->mayHoldSince.value() + this->options.propagationTime);
    return std::max(joined, this->takeoverWait.expectedEnd(now));
}

bool QuotaLedger::mayGrant(const Share &share, Core::Instant now) const
{
    return this->takeoverWait.end().has_value() && now >= share.grantsFrom;
}

Core::Instant QuotaLedger::grantsFrom(const Share &share, Core::Instant now) const
{
    return std::max(share.grantsFrom, this->takeoverWait.expectedEnd(now));
}

void QuotaLedger::updateTakeover(Core::Instant now)
{
    if (!this->appliedEnd.has_value()) {
        return;
    }
    const bool isOver = this->takeoverWait.isOver(now);
    const auto end = this->takeoverWait.expectedEnd(now);
    if (this->appliedEnd != end) {
        for (auto &[workspace, share] : this->shares) {
            share.bucket = TokenBucket(share.bucket.currentSize(), std::max(share.fillsFrom, end));
            this->reservationCounts.dropped += share.reservations.fitTo(share.supplyAt(now), now);
        }
    }
    this->appliedEnd = isOver ? std::nullopt : std::optional(end);
}

void QuotaLedger::update(Core::Instant now)
{
    const bool wasMember = this->takeoverWait.isMember();
    this->takeoverWait.update(this->mayHoldSince.has_value() && this->isListed, this->hasOthers, now);
    this->hasBeenMember = this->hasBeenMember || this->takeoverWait.isMember();
    if (wasMember != this->takeoverWait.isMember()) {
        this->appliedEnd = this->takeoverWait.expectedEnd(now);
    }
    this->updateTakeover(now);
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
                    Share{.bucket = TokenBucket(size, this->fillStart(now)),
                        .fillsFrom = std::max(now, this->mayHoldSince.value() + this->options.propagationTime),
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
    this->updateTakeover(now);
    this->expire(query.workspace, share, now);
    if (!query.isRepeated) {
        share.demand.recordRequest(urgencyIn(query), sizeOf(share.bucket), now);
    }
    const auto *own = query.terms.has_value() ? share.reservations.find(query.terms->digest, now + query.terms->timeLeft, now) : nullptr;
    if (this->mayGrant(share, now) && this->grant(share, query, own, now)) {
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
    const auto freeAt = share.reservations.nextFreeToken(share.supplyAt(now), demand, std::max(now, this->grantsFrom(share, now)), now);
    const auto freeAfter = wholeMilliseconds(freeAt - now);
    QuotaReply reply{.isKeeper = true, .isStarting = !this->mayGrant(share, now), .freeAfter = freeAfter, .retryAfter = freeAfter, .exhausted = {}};
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
