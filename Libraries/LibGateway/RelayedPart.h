/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A part of a search that is relayed to another gateway: many shards in one
// request, whose answer contains their greatest records and their signatures.

#pragma once

#include <LibGateway/RelayPlan.h>
#include <LibGateway/RoutedRequest.h>
#include <LibProtocol/Generated/fleet_types.h>

namespace Gateway
{

/** Time limits of a part and what it should contain. */
struct PartParameters {
    /** The answer to the whole search should be sent at this time. */
    Core::Instant targetAt;
    Core::Instant expiresAt;
    /** Maximum number of missing shards, and number of greatest records; sent as the fields of RelayParameters with these names. */
    std::size_t maximumMissing{0};
    std::size_t topRecords{0};
    Fleet::AllowedRegions allowedRegions;
    /** State of the search without the shards of the part, if it is known. */
    std::optional<SearchState> searchState;
    /** Time in which the part may make one attempt at each shard, since it belongs to a part that this gateway serves. */
    Core::Duration repeatHold{0};
    /** Returns whether that time is over. */
    std::function<bool()> isHoldOver;
};

/** One relayed part. Open from start() until the serving gateway has answered or failed, or the part was cancelled. */
class RelayedPart
{
public:
    RelayedPart(
        const RequestContext &context, const Fleet::Route &route, const CallerRequest &request, const PartPlan &plan, const PartParameters &partParameters);
    RelayedPart(const RelayedPart &) = delete;
    RelayedPart &operator=(const RelayedPart &) = delete;

    /** Sends the part. `finished` is called at most once, possibly before start() returns, and not after cancel(). */
    void start(std::function<void()> finished);

    void cancel(bool callerGone);
    /** Waits for the answer to what was sent, and sends the part to no other gateway. */
    void sendNoMore();

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] Core::Instant expiresAt() const;
    /** Returns whether the part is open and may have been sent, so that its answer will tell what has run. */
    [[nodiscard]] bool isUnderWay() const;
    /** Returns whether the serving gateway answered that a backend server has run, or may have run, any shard of the part. */
    [[nodiscard]] bool reportsExecutions() const;
    /** Returns whether any shard of the part may have run: the part reports executions, or was sent and its end is not known. */
    [[nodiscard]] bool mayHaveRun() const;
    /** Returns whether the part hedges shards that this gateway has in flight as well. */
    [[nodiscard]] bool isHedge() const;
    [[nodiscard]] const std::string &zone() const;
    [[nodiscard]] const PartPlan &sentPlan() const;
    /** Returns whether the part was sent to the owners of its cell. */
    [[nodiscard]] bool hasOwners() const;
    /** Returns whether the shards were in an earlier part that was sent to an owner, and were missing from it. */
    [[nodiscard]] bool isRetry() const;
    [[nodiscard]] const ShardCall &call() const;

    /** Returns the signatures and records of the answered shards; empty while the part is open, and if it failed. */
    [[nodiscard]] const Protocol::PartialAnswer &answer() const;

    /** Returns the missing shards once the part is no longer open, each with the attempts that may have run for it. */
    [[nodiscard]] std::vector<Protocol::MissingShard> missing() const;

    /** Returns the attempts that each shard is assumed to have had by this part, which was not answered. */
    [[nodiscard]] int assumedAttempts() const;

    /** Records the part as lost if it was sent and is no longer open without an answer. */
    void recordIfLost() const;

    /** Returns whether the shard is missing and the retry budget of the serving gateway denied a repeat for it. */
    [[nodiscard]] bool lacksRepeatFor(const Core::ServiceName &shard) const;

private:
    void handleOutcome();
    /** Counts the rank of the owner that answered. */
    void countOwner();
    /** Returns whether the part was answered with the signature or the attempts of every shard. */
    [[nodiscard]] bool wasRead() const;
    /** Returns the shards that the answer lists as missing although they were not requested, or that it lists twice. */
    [[nodiscard]] std::vector<std::string> unrequestedMissing(const Protocol::PartialAnswer &answer) const;
    [[nodiscard]] std::vector<Protocol::MissingShard> allMissing(int executions, int sends) const;

    RequestContext context;
    const Fleet::Route &route;
    PartPlan plan;
    Core::ServiceName relayServiceName;
    std::shared_ptr<const Fleet::Route> relayRoute;
    CallerRequest request;
    CallParameters parameters;
    // Until this long after the send, the part counts as one attempt at each shard if its connection breaks.
    Core::Duration giveUpTime{0};
    std::unique_ptr<ShardCall> relayCall;
    // Expires with this part.
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
    bool open{true};
    Protocol::PartialAnswer partial;
    // Names of the shards for which the serving gateway had no repeat.
    std::vector<std::string> deniedRepeats;
};

}
