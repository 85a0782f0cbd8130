/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Borrows repeats from other gateways while this one has fewer than its requests need, and
// lends to others. Load pattern: callers move to other gateways while backend servers
// refuse. The gateways that they came from have the repeats that their requests have
// earned, and those that they come to need them. The retry budget of each gateway counts
// what it lends as if it had sent it, so lending changes no sum, and a gateway that reaches
// no other one has its own repeats.

#pragma once

#include <LibFleet/BackendRegistry.h>
#include <LibGateway/BackendPool.h>
#include <LibGateway/Quota/QuotaKeepers.h>
#include <LibGateway/Scheduling/LogLimit.h>
#include <LibMetrics/LatencyHistogram.h>

namespace Gateway
{

struct RepeatLendingOptions {
    /** The address under which the other gateways know this one. */
    std::string ownAddress;
    /** Gateways that are queried at the same time. */
    std::size_t queriesAtOnce{2};
    /** Time between two rounds of queries while repeats are short. It doubles after each round that yields none, up to the maximum. */
    Core::Duration period{Core::milliseconds(100)};
    Core::Duration maximumPeriod{Core::milliseconds(1600)};
    /** A gateway that lent nothing is not queried again for this long. */
    Core::Duration emptyTime{Core::seconds(1)};
    /** A query without a reply after this long fails. A loan would hardly be valid any more. */
    Core::Duration queryTimeout{Core::milliseconds(300)};
};

/** Counters for metrics. */
struct LendingCounters {
    std::uint64_t borrowed{0};
    std::uint64_t lent{0};
    std::uint64_t queries{0};
    std::uint64_t failures{0};
    Metrics::LatencyHistogram replyTimes;
};

/** Removes the header of a query for repeats and reads its body. Returns nothing if the message is not one, or is malformed. */
[[nodiscard]] std::optional<Protocol::RepeatLoans> extractLoanQuery(Wire::Request &message);

/** The lending of one gateway. */
class RepeatLending
{
public:
    /** `pool` has the budgets, `relays` is the pool of the other gateways. Both have to outlive this object. */
    RepeatLending(RepeatLendingOptions options, BackendPool &pool, BackendPool &relays, Core::TimerService &timers);
    ~RepeatLending();
    RepeatLending(const RepeatLending &) = delete;
    RepeatLending &operator=(const RepeatLending &) = delete;

    /** Applies the ready gateways if any has joined or left. */
    void updateGateways(const Fleet::BackendRegistry &gateways);
    /** Queries other gateways now, or once the period since the last queries is over. */
    void borrowSoon();
    /** Lends what another gateway wants, as far as possible. Returns the body of the reply. */
    [[nodiscard]] std::string lend(const Protocol::RepeatLoans &wanted);

    [[nodiscard]] const LendingCounters &counters() const;

private:
    struct Lender {
        KeeperGateway gateway;
        Core::Instant emptyUntil;
    };
    struct Query {
        CallerRequest message;
        AttemptId attempt;
        BackendName lender;
        Core::Instant sentAt;
        int wanted{0};
        Core::TimerSubscription timeout;
    };

    void borrow();
    /** Returns the next gateway that may have something to lend, and is reachable; nullptr if there is none. */
    [[nodiscard]] Backend *nextLender();
    void query(Backend &backend, const std::map<Core::ServiceName, int> &shortages);
    void handleOutcome(std::uint64_t number, const AttemptOutcome &outcome);
    void endQuery(std::uint64_t number, int borrowed);

    RepeatLendingOptions options;
    BackendPool &pool;
    BackendPool &relays;
    Core::TimerService &timers;
    // By address, without this gateway.
    std::vector<Lender> lenders;
    std::int64_t gatewaysPosition{-1};
    // Differs between gateways at first, so that not all of them query the same ones.
    std::size_t nextIndex{0};
    Core::Duration period;
    std::optional<Core::Instant> lastRound;
    std::unordered_map<std::uint64_t, Query> queries;
    std::uint64_t nextQuery{1};
    Core::TimerSubscription timer;
    LogLimit lines;
    LendingCounters counts;
};

}
