/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The shares of workspaces' quotas that this gateway holds. Pure.

#pragma once

#include <LibFleet/Declaration.h>
#include <LibGateway/Quota/QuotaKeepers.h>

#include <unordered_map>

namespace Gateway
{

/** Reply of a keeper to a quota query. */
struct QuotaReply {
    /** Whether the replying gateway holds a share of the workspace's quota; if not, the other fields say nothing. */
    bool isKeeper{false};
    bool granted{false};
    /** When not granted: time until this keeper may grant a request again; querying it earlier is useless. */
    Core::Duration freeAfter{0};
    /** When not granted: when the caller should retry, which is after the callers that were refused before it. */
    Core::Duration retryAfter{0};
};

/**
 * Holds the shares of this gateway and grants requests from them. The requests that all keepers of a workspace admit in any window stay within its quota as
 * long as no gateway grants from a share at the same time as the previous keeper of that share:
 * Q1. A gateway that joins and becomes a keeper grants nothing until the previous keeper has received the change (QuotaOptions::handoverTime). A gateway that
 *     becomes a keeper because another one has left replaces one that has already stopped. A new share starts with no more tokens than each keeper reserves for
 *     changes of its share (QuotaKeepers::shareOf()).
 * Q2. A gateway that can no longer confirm that the coordinators' leader knows it holds no shares, and gives them up before any other gateway takes its place.
 * Q3. Requests that were granted but not sent are not returned to the share.
 */
class QuotaLedger
{
public:
    QuotaLedger(const Fleet::RegionOfZone &regions, const QuotaOptions &options, std::string ownAddress);

    void setGateways(const std::vector<KeeperGateway> &gateways, Core::Instant now);
    void setDeclaration(std::shared_ptr<const Fleet::Declaration> newDeclaration, Core::Instant now);
    /** Q2: must be false while this gateway drains, or when the others may already have removed it from their lists. */
    void setMayHoldShares(bool may, Core::Instant now);

    /** Admits one request of a workspace if this gateway holds a share of its quota with a token left. */
    [[nodiscard]] QuotaReply admit(const Fleet::WorkspaceName &workspace, Core::Instant now);

    [[nodiscard]] const QuotaKeepers &keepers() const;
    /** Returns the number of workspaces of whose quotas this gateway holds a share. */
    [[nodiscard]] std::size_t heldShareCount() const;

private:
    struct Share {
        TokenBucket bucket;
        Core::Instant grantsFrom;
        // The retry time that was given to the caller refused last.
        Core::Instant promisedRetryAt;
    };

    void update(Core::Instant now);

    QuotaOptions options;
    QuotaKeepers allKeepers;
    std::string ownAddress;
    std::shared_ptr<const Fleet::Declaration> declaration;
    // Start of the current uninterrupted period in which this gateway may hold shares; nothing while it may not.
    std::optional<Core::Instant> mayHoldSince;
    std::unordered_map<Fleet::WorkspaceName, Share> shares;
};

}
