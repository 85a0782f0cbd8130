/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Admits callers' requests within the quotas of their workspaces. The quota keepers of a
// workspace decide: this gateway queries a keeper in its own region first, then others.

#pragma once

#include <LibFleet/BackendRegistry.h>
#include <LibGateway/BackendPool.h>
#include <LibGateway/Quota/KeeperQueries.h>
#include <LibGateway/Quota/QuotaLedger.h>
#include <LibGateway/Scheduling/LogLimit.h>
#include <LibMetrics/LatencyHistogram.h>

#include <array>

namespace Gateway
{

/** How quotas are counted, and how long a keeper is waited for. */
struct QuotaLimiterOptions {
    QuotaOptions quota;
    /** A keeper that does not reply within this time is skipped for the next one; the longest known round trip between regions is 24 ms. */
    Core::Duration keeperTimeout{Core::milliseconds(60)};
};

/** Maximum number of log lines a second about reservations. Bounds the log of a keeper while very many callers are refused. */
inline constexpr int MaximumReservationLines = 50;
/** Maximum number of log lines a second about shares that begin or cease to be divided by urgency. Few workspaces exceed their quotas at a time. */
inline constexpr int MaximumDivisionLines = 10;

/** Counters for metrics. */
struct QuotaCounters {
    std::uint64_t granted{0};
    std::uint64_t refused{0};
    std::uint64_t noKeeper{0};
    /** Requests refused because a keeper has taken over its share only now. */
    std::uint64_t starting{0};
    /** Requests refused although not every keeper was queried or known to be exhausted, since the answer would have been late. */
    std::uint64_t outOfTime{0};
    /** Requests refused after 0, 1, 2, and 3 or more queries to other gateways. */
    std::array<std::uint64_t, 4> refusedAfterQueries{};
    std::map<Urgency, std::uint64_t> refusedByUrgency;
    /** Time until a request was refused. */
    Metrics::LatencyHistogram refusalTimes;
    /** Quota queries sent to other gateways, and received from other gateways. */
    std::uint64_t asked{0};
    std::uint64_t answered{0};
};

/** Quota limiter of one gateway. */
class QuotaLimiter
{
public:
    using DecisionHook = std::function<void(const QuotaDecision &decision)>;

    /** `relays` is the pool of the other gateways, which it holds as one service per zone. */
    QuotaLimiter(const QuotaLimiterOptions &options,
        const Fleet::RegionOfZone &regions,
        std::string ownZone,
        std::string ownAddress,
        BackendPool &relays,
        Core::TimerService &timers);
    ~QuotaLimiter();
    QuotaLimiter(const QuotaLimiter &) = delete;
    QuotaLimiter &operator=(const QuotaLimiter &) = delete;

    /** Applies the ready gateways if any has joined or left. */
    void updateGateways(const Fleet::BackendRegistry &gateways);
    void applyDeclaration(const std::shared_ptr<const Fleet::Declaration> &declaration);
    /** Passes on to QuotaLedger::setMayHoldShares(); call it before each answer() and decide(). */
    void setMayHoldShares(bool mayHold);
    /** Passes on to QuotaLedger::setContactStatement(). */
    void setContactStatement(const Fleet::ContactStatement &statement);
    /** Whether statements are needed: a workspace has a quota, and this gateway waits until it may grant, or will when it joins. */
    [[nodiscard]] bool isTakeoverPending();

    /** Decides on a request of a workspace whose quota is bounded. Calls the hook once, during this call or later, unless cancel() is called first. */
    std::uint64_t decide(const Fleet::Workspace &workspace, const QuotaTerms &terms, const Core::RequestId &request, DecisionHook done);
    void cancel(std::uint64_t number);

    /** Answers a quota query of another gateway. */
    [[nodiscard]] QuotaReply answer(const ReceivedQuotaQuery &received);

    /** Removes expired state. */
    void sweep();

    [[nodiscard]] const QuotaCounters &counters() const;
    [[nodiscard]] std::size_t heldShareCount() const;
    /** Returns how many of these grant nothing yet. */
    [[nodiscard]] std::size_t waitingShareCount() const;
    /** Returns the number of held shares that are divided by urgency. */
    [[nodiscard]] std::size_t dividedShareCount() const;
    [[nodiscard]] const ReservationCounters &reservationCounters() const;
    [[nodiscard]] std::size_t outstandingReservations() const;

private:
    /** A decision that waits for replies of keepers. */
    struct PendingDecision {
        CallerRequest message;
        KeeperQueries queries;
        std::optional<AttemptId> attempt;
        Core::Instant sentAt;
        DecisionHook done;
        Core::TimerSubscription keeperTimer;
    };

    /** Returns the keepers of a workspace in the order of a digest, which gateways of one region agree on. */
    [[nodiscard]] std::vector<RankedKeeper> keepersInOrder(const Fleet::Workspace &workspace, const Fleet::RequestDigest &digest) const;
    void queryNext(std::uint64_t number);
    /** Makes a query. Returns whether the decision is made or waits for a reply. */
    [[nodiscard]] bool query(std::uint64_t number, const KeeperQueries::Step &step);
    [[nodiscard]] bool queryRemote(std::uint64_t number, const KeeperQueries::Step &step);
    /** Admits a request by the share of this gateway. */
    [[nodiscard]] QuotaReply admitHere(QuotaQuery query);
    /** Logs the end of a takeover once. */
    void logTakeover();
    /** Returns whether all other keepers of a workspace are known to be exhausted for an urgency. */
    [[nodiscard]] bool areOthersExhausted(const Fleet::Workspace &workspace, const Urgency &urgency) const;
    void logDivisions();
    void logReservation(const QuotaQuery &query, const QuotaReply &reply);
    void handleOutcome(std::uint64_t number, std::size_t rank, const AttemptOutcome &outcome);
    /** Handles the reply of a keeper. Returns whether the request was admitted, which ends the decision. */
    [[nodiscard]] bool handleReply(std::uint64_t number, std::size_t rank, const QuotaReply &reply);
    void learn(const QuotaQuery &query, const std::vector<ExhaustedKeeper> &exhausted);
    void finish(std::uint64_t number, QuotaDecision decision);
    void count(const Urgency &urgency, const QuotaDecision &decision);

    QuotaLimiterOptions options;
    std::string ownZone;
    std::string ownAddress;
    BackendPool &relays;
    Core::TimerService &timers;
    QuotaLedger ledger;
    // Whether any workspace has a bounded quota; otherwise no gateway holds shares.
    bool hasQuotas{false};
    std::int64_t gatewaysPosition{-1};
    std::unordered_map<std::uint64_t, PendingDecision> pendingDecisions;
    std::uint64_t nextDecision{1};
    ExhaustedKeepers exhausted;
    std::shared_ptr<const Fleet::Declaration> declaration;
    // The begin of the takeover whose end was logged last.
    std::optional<Core::Instant> loggedTakeover;
    LogLimit reservationLines{MaximumReservationLines};
    LogLimit divisionLines{MaximumDivisionLines};
    KeeperRoundTrips roundTrips;
    QuotaCounters counts;
};

}
