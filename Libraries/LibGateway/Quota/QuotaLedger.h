/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The shares of workspaces' quotas that this gateway holds. Pure.

#pragma once

#include <LibFleet/Declaration.h>
#include <LibGateway/Quota/DemandShares.h>
#include <LibGateway/Quota/QuotaKeepers.h>
#include <LibGateway/Quota/QuotaMessages.h>
#include <LibGateway/Quota/QuotaReservations.h>
#include <LibGateway/Quota/RetryTimes.h>
#include <LibGateway/Quota/TakeoverWait.h>
#include <LibGateway/Quota/UnreservedDigests.h>

#include <map>
#include <unordered_map>

namespace Gateway
{

/** Counters of the reservations of all shares of a gateway. */
struct ReservationCounters {
    std::uint64_t made{0};
    std::uint64_t claimed{0};
    /** The caller did not return in time. */
    std::uint64_t expired{0};
    /** The quota was lowered, or the share was given up. */
    std::uint64_t dropped{0};
};

/** A share that began or ceased to be divided by urgency. */
struct DivisionChange {
    Fleet::WorkspaceName workspace;
    bool isDivided{false};
    /** Measured requests per second at the share, and the tokens per second that it gains. */
    double demand{0.0};
    double refill{0.0};
};

/**
 * Holds the shares of this gateway and grants requests from them. The requests that all keepers of a workspace admit in any window stay within its quota as
 * long as no gateway grants from a share at the same time as the previous keeper of that share:
 * Q1. A gateway that joins and becomes a keeper grants nothing until the previous keeper has received the change or must have stopped by Q2 (TakeoverWait),
 *     and not before QuotaOptions::handoverTime. A gateway that becomes a keeper because another one has left replaces one that has already stopped. A new
 *     share starts with no more tokens than each keeper reserves for changes of its share (QuotaKeepers::shareOf()).
 * Q2. A gateway that can no longer confirm that the coordinators' leader knows it holds no shares, and gives them up before any other gateway takes its place.
 * Q3. Requests that were granted but not sent are not returned to the share.
 * Q4. Every grant takes a token from the share's bucket when it is made, also one that was reserved. Reservations and the division by urgency only decide who
 *     gets a token; they end with the share.
 */
class QuotaLedger
{
public:
    QuotaLedger(const Fleet::RegionOfZone &regions, const QuotaOptions &options, std::string ownAddress);

    void setGateways(const std::vector<KeeperGateway> &gateways, Core::Instant now);
    void setDeclaration(std::shared_ptr<const Fleet::Declaration> newDeclaration, Core::Instant now);
    /** Q2: must be false while this gateway drains, or when the others may already have removed it from their lists. */
    void setMayHoldShares(bool may, Core::Instant now);
    /** Q1: what a coordinator stated last of the contacts with other gateways. */
    void setContactStatement(const Fleet::ContactStatement &statement, Core::Instant now);
    /** Returns the wait of Q1; its shares grant nothing until it is over. */
    [[nodiscard]] const TakeoverWait &takeover() const;
    /**
     * Whether this gateway waits until it may grant, or will when it joins for the first time. One that has lost the coordinators waits only once it has joined
     * again, so that nothing is added to their load while they have no leader.
     */
    [[nodiscard]] bool isTakeoverPending(Core::Instant now);

    /**
     * Admits one request of a workspace if this gateway holds a share of its quota with a token for it: its reserved one, or one that is neither reserved nor
     * due to others (DemandShares). A query without terms counts as most urgent and gets no reservation, nor does one with another mode than
     * ReservationMode::Always. One with ReservationMode::IfOthersExhausted is final only if its caller can't wait for a token, and followed by another
     * otherwise.
     */
    [[nodiscard]] QuotaReply admit(const QuotaQuery &query, Core::Instant now);

    /** Removes the reservations whose callers did not return in time. Returns the number that expired since the last call, by workspace. */
    std::map<Fleet::WorkspaceName, std::size_t> expireReservations(Core::Instant now);

    /** Updates whether shares are divided by urgency. Returns what has changed since the last call. */
    [[nodiscard]] std::vector<DivisionChange> updateDivisions(Core::Instant now);
    /** Returns the number of shares that were divided by urgency at the latest updateDivisions(). */
    [[nodiscard]] std::size_t dividedShareCount() const;

    [[nodiscard]] const QuotaKeepers &keepers() const;
    /** Returns the number of workspaces of whose quotas this gateway holds a share. */
    [[nodiscard]] std::size_t heldShareCount() const;
    /** Returns how many of these shares grant nothing yet. */
    [[nodiscard]] std::size_t waitingShareCount(Core::Instant now) const;
    [[nodiscard]] const ReservationCounters &reservationCounters() const;
    /** Returns the number of reservations whose callers are expected. */
    [[nodiscard]] std::size_t outstandingReservations() const;

private:
    struct Share {
        TokenBucket bucket;
        // The earliest times at which the bucket fills and the share grants, before the takeover is taken into account.
        Core::Instant fillsFrom;
        Core::Instant grantsFrom;
        DemandShares demand;
        QuotaReservations reservations;
        RetryTimes retryTimes;
        UnreservedDigests unreserved;
        // Whether it was divided by urgency at the latest updateDivisions().
        bool wasDivided{false};

        [[nodiscard]] TokenSupply supplyAt(Core::Instant now);
    };

    /** Grants the token that is reserved for the query's caller, or another free one. Returns whether there was one. */
    [[nodiscard]] bool grant(Share &share, const QuotaQuery &query, const QuotaReservation *own, Core::Instant now);
    /** Says when a request that was not granted may be, and reserves a token if that helps. */
    [[nodiscard]] QuotaReply refuse(Share &share, const QuotaQuery &query, const QuotaReservation *own, Core::Instant now);
    void expire(const Fleet::WorkspaceName &workspace, Share &share, Core::Instant now);
    /** Reserves the token that is there after `wait`. Returns whether that was possible. */
    [[nodiscard]] bool reserve(Share &share, const QuotaTerms &terms, Core::Duration wait, Core::Instant now);

    void update(Core::Instant now);
    /** Applies what is known of the end of the takeover to the shares, which have granted nothing before. */
    void updateTakeover(Core::Instant now);
    /** Returns when a share that is new now starts to fill. */
    [[nodiscard]] Core::Instant fillStart(Core::Instant now) const;
    [[nodiscard]] bool mayGrant(const Share &share, Core::Instant now) const;
    /** Returns when a share grants or, as far as is known, will grant. */
    [[nodiscard]] Core::Instant grantsFrom(const Share &share, Core::Instant now) const;

    QuotaOptions options;
    QuotaKeepers allKeepers;
    std::string ownAddress;
    std::shared_ptr<const Fleet::Declaration> declaration;
    // Start of the current uninterrupted period in which this gateway may hold shares; nothing while it may not.
    std::optional<Core::Instant> mayHoldSince;
    // Whether the list of gateways contains this one, and others.
    bool isListed{false};
    bool hasOthers{false};
    TakeoverWait takeoverWait;
    bool hasBeenMember{false};
    // The expected end of the takeover from which the shares fill; nothing after its end was applied.
    std::optional<Core::Instant> appliedEnd;
    std::unordered_map<Fleet::WorkspaceName, Share> shares;
    ReservationCounters reservationCounts;
    std::map<Fleet::WorkspaceName, std::size_t> unreportedExpired;
};

}
