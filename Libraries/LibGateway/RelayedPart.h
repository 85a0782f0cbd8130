/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A part of a search that another gateway is asked for: many shards in one
// request, whose answer holds their greatest records and their signatures.

#pragma once

#include <LibGateway/RelayPlan.h>
#include <LibGateway/RoutedRequest.h>
#include <LibProtocol/Generated/fleet_types.h>

namespace Gateway
{

/** When the part should be here, for how long it is waited for, and how many of its shards may be missing. */
struct PartTerms {
    /** The whole answer should leave then. */
    Core::Instant targetAt;
    Core::Instant expiresAt;
    /** See RelayParameters. */
    std::size_t maximumMissing{0};
    std::size_t topRecords{0};
    Fleet::AllowedRegions allowedRegions;
};

/** Open from start() until the other gateway has answered, failed, or was given up. */
class RelayedPart
{
public:
    RelayedPart(const RequestContext &context, const Fleet::Route &route, const CallerRequest &request, const PartPlan &plan, const PartTerms &partTerms);
    RelayedPart(const RelayedPart &) = delete;
    RelayedPart &operator=(const RelayedPart &) = delete;

    /** Asks. `finished` is called once, from here or later, unless the part is given up first. */
    void start(std::function<void()> finished);

    void cancel(bool callerGone);

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] Core::Instant expiresAt() const;
    /** Whether any of its shards may have run there. */
    [[nodiscard]] bool mayHaveRun() const;
    /** Its shards are under way from here as well. */
    [[nodiscard]] bool isHedge() const;
    [[nodiscard]] const std::string &zone() const;
    [[nodiscard]] const PartPlan &asked() const;
    /** Whether it went to owners of its cell. */
    [[nodiscard]] bool hasOwners() const;
    /** See PartPlan. */
    [[nodiscard]] bool isAgain() const;
    [[nodiscard]] const ShardCall &call() const;

    /** Signatures and records of the shards that are in; empty while it is open, and when it failed. */
    [[nodiscard]] const Protocol::PartialAnswer &answer() const;

    /** The shards that are not in, once it is no longer open: each with what may have run for it. */
    [[nodiscard]] std::vector<Protocol::MissingShard> missing() const;

private:
    void handleOutcome();
    /** Whether the connection broke so soon after the part was sent that its shards were sent once at most. */
    [[nodiscard]] bool brokeAtOnce() const;
    /** The shards that an answer names as missing though they were not asked for, or named before. */
    [[nodiscard]] std::vector<std::string> missingButNotAsked(const Protocol::PartialAnswer &answer) const;
    [[nodiscard]] std::vector<Protocol::MissingShard> allMissing(int executions, int sends) const;

    RequestContext context;
    const Fleet::Route &route;
    PartPlan plan;
    Core::ServiceName relays;
    std::shared_ptr<const Fleet::Route> relayRoute;
    CallerRequest request;
    CallParameters parameters;
    std::unique_ptr<ShardCall> relayCall;
    bool open{true};
    Protocol::PartialAnswer partial;
};

}
