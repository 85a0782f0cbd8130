/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Chooses the gateways that keep the quota of a workspace. A quota applies to all
// gateways together, and most gateways receive less than one request of a workspace per
// quota window, so it cannot be divided among all of them. Instead a few gateways hold a
// share each: one or two in every region, so that one is within a short round trip and
// one may fail. Pure.

#pragma once

#include <LibFleet/BackendRegistry.h>
#include <LibFleet/Regions.h>
#include <LibFleet/Workspaces.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/Quota/TokenBucket.h>

#include <map>
#include <vector>

namespace Gateway
{

/** How a quota is counted. The platform's settings give the overshoot, the slack and the window. */
struct QuotaOptions {
    /** Share by which a quota may be exceeded, and number of requests beyond that, in any window. */
    double overshoot{0.0};
    double slack{0.0};
    Core::Duration window{Core::seconds(5)};
    /** Share of the permitted requests that is granted. It is below 1 because requests arrive some time after they are admitted. */
    double usedShare{0.95};
    /** Updates about gateways reach all connected gateways within this time. */
    Core::Duration propagationTime{Core::seconds(1)};
    /** A gateway that becomes a keeper grants nothing for this long. By then the previous keepers have received the change and have stopped granting. */
    Core::Duration handoverTime{Core::seconds(2)};
    /**
     * Without confirmation that the others have received the change, a gateway that joins grants nothing for this long: the propagation time and the 7 s after
     * which a gateway that is cut off from the coordinators holds no shares any more.
     */
    Core::Duration unconfirmedHandoverTime{Core::seconds(8)};
};

/** A gateway that may keep quotas. */
struct KeeperGateway {
    /** Identifies the incarnation of the gateway. */
    BackendName name;
    /** Stays the same over restarts. */
    std::string address;
    std::string zone;
    /** Known from the disk of a coordinator only: it may be cut off and keep quotas, or have ended, and gets no work. */
    bool isUnconfirmed{false};
};

/**
 * Returns the ready gateways, one for each address. A gateway that restarted is listed with its earlier incarnation until that one's heartbeat timeout is over;
 * the one that was announced last is the one that runs.
 */
[[nodiscard]] std::vector<KeeperGateway> runningGateways(const Fleet::BackendRegistry &gateways);

/** Gateways that know the same gateways compute the same keepers. */
class QuotaKeepers
{
public:
    QuotaKeepers(Fleet::RegionOfZone regions, const QuotaOptions &options);

    /** Sets the ready gateways. */
    void setGateways(const std::vector<KeeperGateway> &gateways);

    /** Returns the keepers of a workspace, each of which holds an equal share of its quota. The pointers are valid until the next setGateways(). */
    [[nodiscard]] std::vector<const KeeperGateway *> keepersOf(const Fleet::Workspace &workspace) const;

    /**
     * Returns the token bucket of each of `keepers` keepers. Together they stay within the quota as long as the keeper of a share changes no more often in a
     * window than handoverTime permits.
     */
    [[nodiscard]] BucketSize shareOf(const Fleet::Quota &quota, std::size_t keepers) const;

    [[nodiscard]] bool isInRegionOf(const KeeperGateway &keeper, const std::string &zone) const;

private:
    // Gateways by hash of their address. The keepers of a workspace are the first ones at or after the hash of its name, so a gateway that joins or leaves
    // changes few workspaces.
    using Ring = std::map<std::uint64_t, KeeperGateway>;

    /** Returns what all keepers together may grant, before a reserve for changes of keepers is subtracted. */
    [[nodiscard]] BucketSize totalOf(const Fleet::Quota &quota) const;
    [[nodiscard]] static const KeeperGateway *atRank(const Ring &ring, std::uint64_t position, std::size_t rank);

    Fleet::RegionOfZone regions;
    QuotaOptions options;
    // One ring per region. Invariant: no ring is empty.
    std::map<std::string, Ring> rings;
};

}
