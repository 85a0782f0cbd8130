/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The parts of workspaces' quotas that this gateway keeps. Pure.

#pragma once

#include <LibFleet/Declaration.h>
#include <LibGateway/QuotaKeepers.h>

#include <unordered_map>

namespace Gateway
{

/** What a keeper says to one who asks for a request to be let in. */
struct QuotaReply {
    /** Otherwise it does not keep the workspace's quota. */
    bool isKeeper{false};
    bool granted{false};
    /** When not granted: until when asking this keeper is in vain … */
    Core::Duration freeAfter{0};
    /** … and when the caller should come back, after those who were told so before. */
    Core::Duration retryAfter{0};
};

/**
 * What all keepers of a workspace let in, in any window, is within its quota, as long as nobody gives a part out at the same time as the one who
 * kept it before:
 * Q1. One that comes, and so becomes a keeper, gives nothing out until the one before has heard of it (QuotaOptions::handoverTime). One that becomes a
 *     keeper because another has gone takes the place of one that has stopped. A new part starts with no more than each keeps back for changes of its
 *     keeper (QuotaKeepers::partOf()).
 * Q2. One that no longer knows that a leader of the coordinators knows of it keeps nothing, before anybody else takes its place.
 * Q3. Whatever a keeper gave out and was not used is lost.
 */
class QuotaLedger
{
public:
    QuotaLedger(const Fleet::RegionOfZone &regions, const QuotaOptions &options, std::string ownAddress);

    void setGateways(const std::vector<KeeperGateway> &gateways, Core::Instant now);
    void setDeclaration(std::shared_ptr<const Fleet::Declaration> newDeclaration, Core::Instant now);
    /** Q2. False while this gateway drains, or may be given up by the others. */
    void setMayHoldShares(bool may, Core::Instant now);

    /** Lets one request of a workspace in, if this gateway keeps a part of its quota and there is some left. */
    [[nodiscard]] QuotaReply take(const Fleet::WorkspaceName &workspace, Core::Instant now);

    [[nodiscard]] const QuotaKeepers &keepers() const;
    /** Workspaces that this gateway keeps a part for. */
    [[nodiscard]] std::size_t heldShareCount() const;

private:
    struct Part {
        TokenBucket bucket;
        Core::Instant givesFrom;
        // When the caller that was refused last was told to come back.
        Core::Instant promisedUntil;
    };

    void update(Core::Instant now);

    QuotaOptions options;
    QuotaKeepers allKeepers;
    std::string ownAddress;
    std::shared_ptr<const Fleet::Declaration> declaration;
    // Since when it may keep quotas without a break; nothing while it may not.
    std::optional<Core::Instant> mayKeepSince;
    std::unordered_map<Fleet::WorkspaceName, Part> parts;
};

}
