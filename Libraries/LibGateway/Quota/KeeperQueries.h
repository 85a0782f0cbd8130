/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which keepers are queried for one request, in which order, and what its caller is told
// when all have refused. Load pattern: a workspace is near its quota, so that some keepers
// are out of tokens while others have some. A refusal while there is a token costs the
// caller its answer, and each further query costs time until its target. Pure.

#pragma once

#include <LibGateway/Quota/ExhaustedKeepers.h>
#include <LibGateway/Quota/KeeperRoundTrips.h>
#include <LibGateway/Quota/QuotaKeepers.h>

namespace Gateway
{

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
    /** Number of keepers that were not queried since the answer would have been late. */
    std::size_t unqueried{0};
    Core::Duration waited{0};
};

/** A keeper of the request's workspace. */
struct RankedKeeper {
    KeeperGateway gateway;
    bool isInOwnRegion{false};
};

/**
 * The queries for one request. The keepers are ranked by the request's digest, in the same order at all gateways of a region.
 * K1. Every keeper is queried unless it is known to be exhausted for the request's urgency, or the query would leave too little time to answer: within the
 *     target, or within the caller's time if the target is missed in any case or no keeper has replied yet.
 * K2. The first keeper is the home, which reserves tokens for callers with this digest. It is queried also when it is known to be exhausted.
 * K3. The second one takes the home's place when that does not reply, and reserves when the home has no token in time.
 */
class KeeperQueries
{
public:
    /** A query to be made. */
    struct Step {
        std::size_t rank{0};
        KeeperGateway keeper;
        QuotaQuery query;
    };

    KeeperQueries() = default;
    /** `keepers` are in the order of the digest. The share of the gateway at `ownAddress` comes first, since using it needs no round trip. */
    KeeperQueries(QuotaQuery query, std::vector<RankedKeeper> keepers, const std::string &ownAddress, Core::Instant startedAt);

    /** Returns the next query; nothing if the request is to be refused. */
    [[nodiscard]] std::optional<Step> next(const ExhaustedKeepers &known, const KeeperRoundTrips &roundTrips, Core::Instant now);

    /** Records that the query was sent to another gateway. */
    void recordSent();
    void recordRefusal(std::size_t rank, const QuotaReply &reply);
    /** Records that a keeper can't be reached, or does not hold a share. */
    void recordSilence(std::size_t rank);

    /** Returns the decision with what is known so far. */
    [[nodiscard]] QuotaDecision refusal(Core::Instant now) const;

    [[nodiscard]] const QuotaQuery &query() const;
    [[nodiscard]] const KeeperGateway &keeper(std::size_t rank) const;
    [[nodiscard]] Core::Instant startedAt() const;

private:
    enum class State {
        Open,
        KnownExhausted,
        NoTime,
        Asked,
        Refused,
        Silent,
    };
    struct Row {
        RankedKeeper keeper;
        State state{State::Open};
        // With KnownExhausted.
        ExhaustedKeepers::Knowledge known;
        // The latest reply.
        std::optional<QuotaReply> reply;
        // It was queried before, as one that may reserve, and as one that reserves unless it has no token in time.
        bool wasQueried{false};
        bool wasHome{false};
        bool wasLast{false};
    };

    [[nodiscard]] static Urgency urgencyOf(const QuotaQuery &query);
    /** Returns the terms with the time that is left now. */
    [[nodiscard]] QuotaTerms termsAt(Core::Instant now) const;
    /** K2 and K3. */
    [[nodiscard]] bool isHome(std::size_t rank) const;
    /** Decides by K1 to K3 whether a keeper that is open is queried. */
    [[nodiscard]] bool decideOn(std::size_t rank, const ExhaustedKeepers &known, const KeeperRoundTrips &roundTrips, Core::Instant now);
    [[nodiscard]] bool hasTimeFor(const Row &row, const KeeperRoundTrips &roundTrips, Core::Instant now) const;
    /** Returns whether no further keeper needs to be queried if this one refuses. */
    [[nodiscard]] bool areOthersExhausted(std::size_t rank, const ExhaustedKeepers &known, Core::Instant now) const;
    /** Returns the query that asks the home, or the keeper in its place, to reserve a token after all have refused. */
    [[nodiscard]] std::optional<Step> nextReservation(Core::Instant now);
    [[nodiscard]] bool mayReserveAt(std::size_t rank, Core::Instant now) const;
    [[nodiscard]] Step makeStep(std::size_t rank, ReservationMode mode, Core::Instant now);
    [[nodiscard]] bool hasReply() const;
    /** Returns the earliest time that a reply states, of those replies for which the condition holds. */
    template<typename Condition>
    [[nodiscard]] std::optional<Core::Duration> earliest(Condition condition) const;
    [[nodiscard]] Core::Duration toldTime(Core::Instant now) const;

    QuotaQuery request;
    // By rank.
    std::vector<Row> rows;
    // Ranks in the order of queries.
    std::vector<std::size_t> order;
    Core::Instant start;
    std::size_t asked{0};
};

}
