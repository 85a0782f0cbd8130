/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaLedger.h>

#include <algorithm>

namespace Gateway
{

// Callers are not told to retry later than this, since the use of the quota cannot be predicted that far.
static constexpr Core::Duration MaximumRetryAfter = Core::seconds(5);

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
                        .promisedRetryAt = now});
                continue;
            }
            before.mapped().bucket.resize(size, now);
            held.insert(std::move(before));
        }
    }
    this->shares = std::move(held);
}

QuotaReply QuotaLedger::admit(const Fleet::WorkspaceName &workspace, Core::Instant now)
{
    const auto found = this->shares.find(workspace);
    if (found == this->shares.end()) {
        return {};
    }
    auto &share = found->second;
    if (now >= share.grantsFrom && share.bucket.take(now)) {
        return {.isKeeper = true, .granted = true};
    }
    const auto freeAfter = std::max(share.bucket.timeToToken(now), share.grantsFrom - now);
    // Retry times are spaced by one token, so that callers that were refused earlier come first.
    const auto callerDelay = std::clamp(share.promisedRetryAt + share.bucket.timePerToken() - now, freeAfter, std::max(freeAfter, MaximumRetryAfter));
    share.promisedRetryAt = now + callerDelay;
    return {.isKeeper = true, .granted = false, .freeAfter = freeAfter, .retryAfter = callerDelay};
}

}
