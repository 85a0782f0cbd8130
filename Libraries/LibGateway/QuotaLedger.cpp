/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/QuotaLedger.h>

#include <algorithm>

namespace Gateway
{

// Callers are not told to come back later than this: what the quota is used for by then can't be known.
static constexpr Core::Duration LongestPromise = Core::seconds(5);

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
    return this->parts.size();
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
    if (this->mayKeepSince.has_value() != may) {
        this->mayKeepSince = may ? std::optional(now) : std::nullopt;
        this->update(now);
    }
}

void QuotaLedger::update(Core::Instant now)
{
    std::unordered_map<Fleet::WorkspaceName, Part> kept;
    if (this->mayKeepSince.has_value() && this->declaration && this->declaration->workspaces.has_value()) {
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
            const auto size = this->allKeepers.partOf(workspace->quota, keepersOfIt.size());
            auto before = this->parts.extract(workspace->name);
            if (before.empty()) {
                // Q1
                kept.emplace(workspace->name,
                    Part{.bucket = TokenBucket(size, std::max(now, this->mayKeepSince.value() + this->options.newsTime)),
                        .givesFrom = std::max(now + this->options.newsTime, this->mayKeepSince.value() + this->options.handoverTime),
                        .promisedUntil = now});
                continue;
            }
            before.mapped().bucket.resize(size, now);
            kept.insert(std::move(before));
        }
    }
    this->parts = std::move(kept);
}

QuotaReply QuotaLedger::take(const Fleet::WorkspaceName &workspace, Core::Instant now)
{
    const auto found = this->parts.find(workspace);
    if (found == this->parts.end()) {
        return {};
    }
    auto &part = found->second;
    if (now >= part.givesFrom && part.bucket.take(now)) {
        return {.isKeeper = true, .granted = true};
    }
    const auto freeAfter = std::max(part.bucket.timeToToken(now), part.givesFrom - now);
    // Those who were refused before come first.
    const auto promise = std::clamp(part.promisedUntil + part.bucket.timePerToken() - now, freeAfter, std::max(freeAfter, LongestPromise));
    part.promisedUntil = now + promise;
    return {.isKeeper = true, .granted = false, .freeAfter = freeAfter, .retryAfter = promise};
}

}
