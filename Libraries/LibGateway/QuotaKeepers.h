/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which gateways keep the quota of a workspace. A quota holds for all gateways
// together, and most of them see less than one request of a workspace in the time
// that it is counted over, so it can't be divided among all. A few keep a part of
// it each: one or two in every region, so that the way to one is short and one may
// be gone. Pure.

#pragma once

#include <LibFleet/Regions.h>
#include <LibFleet/Workspaces.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/TokenBucket.h>

#include <map>
#include <vector>

namespace Gateway
{

/** How a quota is counted; the platform's settings tell the first three. */
struct QuotaOptions {
    /** The part of a quota that may be exceeded, and requests that may be sent besides, in any window. */
    double overshoot{0.0};
    double slack{0.0};
    Core::Duration window{Core::seconds(5)};
    /** The part of what is allowed that is given out, since requests arrive some time after they are let in. */
    double usedShare{0.95};
    /** News of gateways reach all that are in touch within this time. */
    Core::Duration newsTime{Core::seconds(1)};
    /** One that may keep quotas from now on gives nothing out for this long: those who kept them before have heard of it by then, and stopped. */
    Core::Duration handoverTime{Core::seconds(2)};
};

/** A gateway that may keep quotas. */
struct KeeperGateway {
    /** Names its incarnation. */
    BackendName name;
    /** Stays the same when it starts again. */
    std::string address;
    std::string zone;
};

/** All gateways come to the same keepers as far as they know the same gateways. */
class QuotaKeepers
{
public:
    QuotaKeepers(Fleet::RegionOfZone regions, const QuotaOptions &options);

    /** The gateways that are ready, by their zones. */
    void setGateways(const std::vector<KeeperGateway> &gateways);

    /** The keepers of a workspace, each for an equal part of its quota. Valid until the next change. */
    [[nodiscard]] std::vector<const KeeperGateway *> keepersOf(const Fleet::Workspace &workspace) const;

    /** What each of so many keepers gives out, as long as no part changes its keeper more often in a window than handoverTime allows. */
    [[nodiscard]] BucketSize partOf(const Fleet::Quota &quota, std::size_t keepers) const;

    [[nodiscard]] bool isInRegionOf(const KeeperGateway &keeper, const std::string &zone) const;

private:
    // By hash of the address. A workspace belongs to the first ones at or after its own hash, so one that comes or goes changes few workspaces.
    using Ring = std::map<std::uint64_t, KeeperGateway>;

    /** What all keepers together give out, without what is kept for changes of keepers. */
    [[nodiscard]] BucketSize whole(const Fleet::Quota &quota) const;
    [[nodiscard]] static const KeeperGateway *atRank(const Ring &ring, std::uint64_t position, std::size_t rank);

    Fleet::RegionOfZone regions;
    QuotaOptions options;
    // By region. Invariant: none is empty.
    std::map<std::string, Ring> rings;
};

}
