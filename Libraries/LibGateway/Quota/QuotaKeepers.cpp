/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaKeepers.h>

#include <LibGateway/StableHash.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

static constexpr std::size_t MaximumKeepersPerRegion = 2;
// Where a keeper would get less than this rate per second, a region has only one: a new keeper would take too long to gain a whole token.
static constexpr double MinimumRatePerKeeper = 0.5;
// A new keeper starts with this many tokens, so that callers need not wait for the first one to accrue.
static constexpr double InitialTokens = 1.0;
// Keepers start with tokens only if this share of their capacity is left after subtracting the initial tokens of as many new keepers as a window can have.
static constexpr double MinimumCapacityShare = 0.5;
static constexpr double MillisecondsInASecond = 1000.0;

std::vector<KeeperGateway> runningGateways(const Fleet::BackendRegistry &gateways)
{
    std::map<std::string, const Fleet::BackendRecord *> byAddress;
    for (const auto *announcement : gateways.ready()) {
        const auto *record = gateways.find(announcement->id);
        auto &latest = byAddress[announcement->address];
        if (latest == nullptr || latest->changePosition < record->changePosition) {
            latest = record;
        }
    }
    std::vector<KeeperGateway> running;
    for (const auto &[address, record] : byAddress) {
        running.push_back({.name = BackendName(record->announcement.id),
            .address = address,
            .zone = record->announcement.zone,
            .isUnconfirmed = record->confirmBy.has_value()});
    }
    return running;
}

QuotaKeepers::QuotaKeepers(Fleet::RegionOfZone regions, const QuotaOptions &options) : regions(std::move(regions)), options(options)
{
}

void QuotaKeepers::setGateways(const std::vector<KeeperGateway> &gateways)
{
    this->rings.clear();
    for (const auto &gateway : gateways) {
        const auto found = this->regions.find(gateway.zone);
        // A zone that belongs to no known region counts as a region of its own.
        const auto &region = found == this->regions.end() ? gateway.zone : found->second;
        this->rings[region][stableHash(gateway.address)] = gateway;
    }
}

bool QuotaKeepers::isInRegionOf(const KeeperGateway &keeper, const std::string &zone) const
{
    return Fleet::inSameRegion(this->regions, keeper.zone, zone);
}

// The permitted number of requests in a window is (rate x window + burst) x (1 + overshoot) + slack. A bucket grants at most its capacity plus what it fills
// within the window.
BucketSize QuotaKeepers::totalOf(const Fleet::Quota &quota) const
{
    const double seconds = Core::toFractionalMilliseconds(this->options.window) / MillisecondsInASecond;
    const double factor = this->options.usedShare * (1.0 + this->options.overshoot);
    const double slack = this->options.usedShare * this->options.slack;
    const double capacity = std::max(1.0, factor * quota.burst + slack);
    const double inWindow = factor * (quota.requestsPerSecond * seconds + quota.burst) + slack;
    // A capacity below one would never admit a request, so it is raised to one and the rate is lowered in return, to no less than half.
    const double perSecond = std::max((inWindow - capacity) / seconds, factor * quota.requestsPerSecond / 2.0);
    return {.capacity = capacity, .perSecond = perSecond};
}

BucketSize QuotaKeepers::shareOf(const Fleet::Quota &quota, std::size_t keepers) const
{
    const auto all = this->totalOf(quota);
    const auto shareCount = static_cast<double>(std::max<std::size_t>(1, keepers));
    const double capacity = all.capacity / shareCount;
    // A window may include the ends of several keepers of one share. Each of them but the last may also have started within the window, with its initial
    // tokens.
    const auto changes = static_cast<double>(this->options.window / std::max<Core::Duration>(this->options.handoverTime, Core::milliseconds(1)) + 1);
    const double left = capacity - changes * InitialTokens;
    const bool mayStartWithSome = left >= MinimumCapacityShare * capacity;
    return {.capacity = mayStartWithSome ? left : capacity, .perSecond = all.perSecond / shareCount, .initialTokens = mayStartWithSome ? InitialTokens : 0.0};
}

const KeeperGateway *QuotaKeepers::atRank(const Ring &ring, std::uint64_t position, std::size_t rank)
{
    auto place = ring.lower_bound(position);
    for (std::size_t step = 0; step <= rank; ++step) {
        if (place == ring.end()) {
            place = ring.begin();
        }
        if (step < rank) {
            ++place;
        }
    }
    return &place->second;
}

std::vector<const KeeperGateway *> QuotaKeepers::keepersOf(const Fleet::Workspace &workspace) const
{
    const auto &name = workspace.name.value();
    std::vector<std::pair<std::uint64_t, const Ring *>> byRegion;
    for (const auto &[region, ring] : this->rings) {
        byRegion.emplace_back(stableHash(name + "/" + region), &ring);
    }
    std::sort(byRegion.begin(), byRegion.end());
    const auto all = this->totalOf(workspace.quota);
    // Each share must have a capacity of at least one request.
    const auto most = static_cast<std::size_t>(std::floor(all.capacity));
    const bool isSmall = all.perSecond < MinimumRatePerKeeper * static_cast<double>(MaximumKeepersPerRegion * this->rings.size());
    const std::size_t inRegion = isSmall ? 1 : MaximumKeepersPerRegion;
    const auto position = stableHash(name);
    std::vector<const KeeperGateway *> keepers;
    for (std::size_t rank = 0; rank < inRegion; ++rank) {
        for (const auto &[hash, ring] : byRegion) {
            if (keepers.size() < most && rank < ring->size()) {
                keepers.push_back(atRank(*ring, position, rank));
            }
        }
    }
    return keepers;
}

}
