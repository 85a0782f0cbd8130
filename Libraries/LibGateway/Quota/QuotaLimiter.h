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
#include <LibGateway/Quota/QuotaLedger.h>

namespace Gateway
{

/** How many keepers are queried, and for how long. */
struct QuotaLimiterOptions {
    QuotaOptions quota;
    /** A keeper that does not reply within this time is skipped for the next one; the longest known round trip between regions is 24 ms. */
    Core::Duration keeperTimeout{Core::milliseconds(60)};
    /** Maximum number of keepers queried for one request: those of the own region and one more. */
    std::size_t maximumQueries{3};
};

/** Whether a request was admitted. */
struct QuotaDecision {
    enum class Verdict {
        Granted,
        /** The workspace has exhausted its quota. */
        OverQuota,
        /** No keeper replied. */
        NoKeeper,
    };
    Verdict verdict{Verdict::NoKeeper};
    /** With OverQuota: when the workspace has some quota again. */
    Core::Duration retryAfter{0};
    /** Number of other gateways that were queried. */
    std::size_t asked{0};
    Core::Duration waited{0};
};

/** Counters for metrics. */
struct QuotaCounters {
    std::uint64_t granted{0};
    std::uint64_t refused{0};
    std::uint64_t noKeeper{0};
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

    /** Decides on a request of a workspace whose quota is bounded. Calls the hook once, during this call or later, unless cancel() is called first. */
    std::uint64_t decide(const Fleet::Workspace &workspace, const Core::RequestId &request, DecisionHook done);
    void cancel(std::uint64_t number);

    /** Answers a quota query of another gateway. */
    [[nodiscard]] QuotaReply answer(const Fleet::WorkspaceName &workspace);

    /** Removes expired state. */
    void sweep();

    [[nodiscard]] const QuotaCounters &counters() const;
    [[nodiscard]] std::size_t heldShareCount() const;

private:
    /** A decision that waits for replies of keepers. */
    struct PendingDecision {
        CallerRequest message;
        Fleet::WorkspaceName workspace;
        // Keepers to be queried next, in reverse order.
        std::vector<KeeperGateway> candidates;
        std::optional<AttemptId> attempt;
        Core::Instant startedAt;
        std::size_t asked{0};
        // The shortest retry time of all replies; nothing while no keeper has replied.
        std::optional<Core::Duration> retryAfter;
        DecisionHook done;
        Core::TimerSubscription keeperTimer;
    };
    // What a keeper replied when its share of a workspace's quota was exhausted.
    using ExhaustedKey = std::pair<Fleet::WorkspaceName, BackendName>;
    struct ExhaustedShare {
        Core::Instant until;
        Core::Instant retryAt;
    };

    /**
     * Returns the keepers that may have quota left, those of the own region first. For the keepers whose share is still exhausted, updates the retry time of
     * the pending decision instead.
     */
    [[nodiscard]] std::vector<KeeperGateway> candidatesFor(const Fleet::Workspace &workspace, PendingDecision &pending);
    void queryNext(std::uint64_t number);
    [[nodiscard]] bool queryRemote(std::uint64_t number, const KeeperGateway &keeper);
    void handleOutcome(std::uint64_t number, const KeeperGateway &keeper, const AttemptOutcome &outcome);
    /** Handles the reply of a keeper. Returns whether the request was admitted, which ends the decision. */
    [[nodiscard]] bool handleReply(std::uint64_t number, const KeeperGateway &keeper, const QuotaReply &reply);
    void finish(std::uint64_t number, QuotaDecision::Verdict verdict);

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
    std::map<ExhaustedKey, ExhaustedShare> exhaustedShares;
    Core::LatencyDigest latencies;
    QuotaCounters counts;
};

/** Extracts the workspace from the headers of a quota query; nothing when they are not those of a quota query. */
[[nodiscard]] std::optional<Fleet::WorkspaceName> extractQuotaQuery(Wire::Headers &headers);

/** Writes and reads the body of a quota reply. Reading returns nothing when the body is malformed. */
[[nodiscard]] std::string writeQuotaReply(const QuotaReply &reply);
[[nodiscard]] std::optional<QuotaReply> readQuotaReply(const std::string &body);

}
