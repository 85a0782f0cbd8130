/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Admits callers' requests within the quotas of their workspaces. The quota keepers of a
// workspace decide: this gateway queries a keeper in its own region first, then others.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibFleet/BackendRegistry.h>
#include <LibGateway/BackendPool.h>
#include <LibGateway/Quota/ExhaustedKeepers.h>
#include <LibGateway/Quota/QuotaLedger.h>
#include <LibMetrics/LatencyHistogram.h>

#include <array>

namespace Gateway
{

/** How many keepers are queried, and for how long. */
struct QuotaLimiterOptions {
    QuotaOptions quota;
    /** A keeper that does not reply within this time is skipped for the next one; the longest known round trip between regions is 24 ms. */
    Core::Duration keeperTimeout{Core::milliseconds(60)};
    /** Maximum number of queries for one request, before one that only reserves a token: the keepers of the own region and one more. */
    std::size_t maximumQueries{3};
};

/** Whether a request was admitted. */
struct QuotaDecision {
    enum class Verdict {
        Granted,
        /** The workspace has exhausted its quota. */
        OverQuota,
        /** A keeper has taken over its share only now and grants nothing yet, so the quota is not known to be exhausted. */
        Starting,
        /** No keeper replied. */
        NoKeeper,
    };
    Verdict verdict{Verdict::NoKeeper};
    /** With OverQuota and Starting: when the caller should return. */
    Core::Duration retryAfter{0};
    /** A keeper keeps a token for the caller at that time. */
    bool isReserved{false};
    /** Number of queries to other gateways. */
    std::size_t asked{0};
    /** Number of keepers that were not queried since they were known to be exhausted, and how long ago the oldest of these facts was learned. */
    std::size_t knownExhausted{0};
    Core::Duration knownAge{0};
    Core::Duration waited{0};
};

/** Counters for metrics. */
struct QuotaCounters {
    std::uint64_t granted{0};
    std::uint64_t refused{0};
    std::uint64_t noKeeper{0};
    /** Requests refused because a keeper has taken over its share only now. */
    std::uint64_t starting{0};
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
    [[nodiscard]] const ReservationCounters &reservationCounters() const;
    [[nodiscard]] std::size_t outstandingReservations() const;

private:
    /** A decision that waits for replies of keepers. */
    struct PendingDecision {
        CallerRequest message;
        QuotaQuery query;
        // Keepers to be queried next, in reverse order.
        std::vector<KeeperGateway> candidates;
        // The keeper that holds the reservations of this content; queried first.
        std::optional<KeeperGateway> home;
        // Set when `home` replied that a caller of this request could wait for a token, until it is asked to reserve one.
        bool mayWaitAtHome{false};
        bool haveAllRefused{false};
        std::optional<AttemptId> attempt;
        Core::Instant startedAt;
        // What is decided so far. Its retryAfter is the shortest of all replies, or that of the reservation.
        QuotaDecision decision;
        bool hasReply{false};
        // The shortest time until a keeper that was not queried may have a token.
        Core::Duration knownWait{0};
        bool isStarting{false};
        DecisionHook done;
        Core::TimerSubscription keeperTimer;
    };

    /** Returns the keepers of a workspace in the order in which they are queried, which gateways of one region agree on. */
    [[nodiscard]] std::vector<KeeperGateway> keepersInOrder(const Fleet::Workspace &workspace, const Fleet::RequestDigest &digest) const;
    void queryNext(std::uint64_t number);
    /** Queries a keeper unless it is known to be exhausted. Returns whether the decision is made or waits for a reply. */
    [[nodiscard]] bool query(std::uint64_t number, const KeeperGateway &keeper);
    /** Returns whether no further keeper needs to be queried if this one refuses. */
    [[nodiscard]] bool areOthersExhausted(const PendingDecision &pending) const;
    [[nodiscard]] bool queryRemote(std::uint64_t number, const KeeperGateway &keeper);
    /** Returns the query of a decision with the time that is left now. */
    [[nodiscard]] QuotaQuery queryNow(const PendingDecision &pending, const KeeperGateway &keeper) const;
    /** Admits a request by the share of this gateway. */
    [[nodiscard]] QuotaReply admitHere(QuotaQuery query);
    /** Logs the end of a takeover once. */
    void logTakeover();
    void logReservation(const QuotaQuery &query, const QuotaReply &reply);
    void handleOutcome(std::uint64_t number, const KeeperGateway &keeper, const AttemptOutcome &outcome);
    /** Handles the reply of a keeper. Returns whether the request was admitted, which ends the decision. */
    [[nodiscard]] bool handleReply(std::uint64_t number, const KeeperGateway &keeper, const QuotaReply &reply);
    void learn(const QuotaQuery &query, const std::vector<ExhaustedKeeper> &exhausted);
    void finish(std::uint64_t number, QuotaDecision::Verdict verdict);
    void count(const PendingDecision &pending, const QuotaDecision &decision);

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
    // Number of log lines about reservations since the latest sweep.
    int reservationLines{0};
    // The begin of the takeover whose end was logged last.
    std::optional<Core::Instant> loggedTakeover;
    Core::LatencyDigest latencies;
    QuotaCounters counts;
};

}
