/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Lets callers' requests in as far as the quotas of their workspaces allow. The
// keepers of a quota decide; this gateway asks one of its own region, then others.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibFleet/BackendRegistry.h>
#include <LibGateway/BackendPool.h>
#include <LibGateway/QuotaLedger.h>

namespace Gateway
{

/** How long and how many keepers are asked. */
struct QuotaLimiterOptions {
    QuotaOptions quota;
    /** A keeper that does not answer within this time is passed over; between the farthest regions that we know of a round trip takes 24 ms. */
    Core::Duration askPatience{Core::milliseconds(60)};
    /** Keepers asked for one request at most: those of the own region and one beyond. */
    std::size_t mostAsked{3};
};

/** How a request was let in or not. */
struct QuotaDecision {
    enum class Verdict {
        Granted,
        /** The workspace has used its quota up. */
        OverQuota,
        /** No keeper answered. */
        NoKeeper,
    };
    Verdict verdict{Verdict::NoKeeper};
    /** With OverQuota: when there is some quota again. */
    Core::Duration retryAfter{0};
    /** Other gateways that were asked. */
    std::size_t asked{0};
    Core::Duration waited{0};
};

/** Counts for metrics. */
struct QuotaCounters {
    std::uint64_t granted{0};
    std::uint64_t refused{0};
    std::uint64_t noKeeper{0};
    /** Questions to other gateways, and of other gateways. */
    std::uint64_t asked{0};
    std::uint64_t answered{0};
};

/** Of one gateway. */
class QuotaLimiter
{
public:
    using DecisionHook = std::function<void(const QuotaDecision &decision)>;

    /** `relays` holds the other gateways as services by zone. */
    QuotaLimiter(const QuotaLimiterOptions &options,
        const Fleet::RegionOfZone &regions,
        std::string ownZone,
        std::string ownAddress,
        BackendPool &relays,
        Core::TimerService &timers);
    ~QuotaLimiter();
    QuotaLimiter(const QuotaLimiter &) = delete;
    QuotaLimiter &operator=(const QuotaLimiter &) = delete;

    /** Takes the ready gateways over if any has come or gone. */
    void updateGateways(const Fleet::BackendRegistry &gateways);
    void applyDeclaration(const std::shared_ptr<const Fleet::Declaration> &declaration);
    /** See QuotaLedger::setMayHoldShares(); to be called before each answer and decision. */
    void setMayHoldShares(bool mayKeep);

    /** Decides on a request of a workspace whose quota is bounded. The hook is called once, from here or later, unless cancel() comes first. */
    std::uint64_t decide(const Fleet::Workspace &workspace, const Core::RequestId &request, DecisionHook done);
    void cancel(std::uint64_t number);

    /** Another gateway asks this one. */
    [[nodiscard]] QuotaReply answer(const Fleet::WorkspaceName &workspace);

    /** Forgets what is out of date. */
    void sweep();

    [[nodiscard]] const QuotaCounters &counters() const;
    [[nodiscard]] std::size_t heldShareCount() const;

private:
    /** A decision that waits for keepers. */
    struct Question {
        CallerRequest message;
        Fleet::WorkspaceName workspace;
        // Whom to ask yet, the last one first.
        std::vector<KeeperGateway> candidates;
        std::optional<AttemptId> attempt;
        Core::Instant began;
        std::size_t asked{0};
        // The shortest that a keeper told; nothing while none has answered.
        std::optional<Core::Duration> retryAfter;
        DecisionHook done;
        Core::TimerSubscription keeperTimer;
    };
    // What a keeper said of a workspace when it had nothing left.
    using EmptyKey = std::pair<Fleet::WorkspaceName, BackendName>;
    struct EmptyPart {
        Core::Instant until;
        Core::Instant comeBackAt;
    };

    /** Keepers that may have some of the quota left, those of the own region first; notes in the question what the others said lately. */
    [[nodiscard]] std::vector<KeeperGateway> candidatesFor(const Fleet::Workspace &workspace, Question &question);
    void askNext(std::uint64_t number);
    [[nodiscard]] bool askOther(std::uint64_t number, const KeeperGateway &keeper);
    void handleOutcome(std::uint64_t number, const KeeperGateway &keeper, const AttemptOutcome &outcome);
    /** Returns whether the question is decided. */
    [[nodiscard]] bool handleAnswer(std::uint64_t number, const KeeperGateway &keeper, const QuotaReply &answer);
    void finish(std::uint64_t number, QuotaDecision::Verdict verdict);

    QuotaLimiterOptions options;
    std::string ownZone;
    std::string ownAddress;
    BackendPool &relays;
    Core::TimerService &timers;
    QuotaLedger ledger;
    // Whether any workspace's quota is bounded; nobody keeps anything otherwise.
    bool hasQuotas{false};
    std::int64_t gatewaysPosition{-1};
    std::unordered_map<std::uint64_t, Question> questions;
    std::uint64_t nextQuestion{1};
    std::map<EmptyKey, EmptyPart> emptyParts;
    Core::LatencyDigest latencies;
    QuotaCounters counts;
};

/** Who is asked for, out of a question's headers; nothing when it is none. */
[[nodiscard]] std::optional<Fleet::WorkspaceName> extractQuotaQuery(Wire::Headers &headers);

/** The body of an answer, and what it says; nothing when that can't be read. */
[[nodiscard]] std::string writeQuotaReply(const QuotaReply &answer);
[[nodiscard]] std::optional<QuotaReply> readQuotaReply(const std::string &body);

}
