/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which shards of a search another gateway is asked for. Bytes between zones and
// regions are dear, and backend servers cap their connections, so that not every
// gateway can hold one to each of them.

#pragma once

#include <LibGateway/BackendPool.h>

namespace Gateway
{

/** When shards are asked by another gateway. */
struct RelayOptions {
    /** Fewer shards are asked from here: a hop more costs as much as it saves. */
    std::size_t fewestShards{3};
    /** A relayed part is given up after this many target latencies: its gateway is gone or stands still. */
    int targetsHeld{2};
    /** Another gateway that is sound accepts a connection within this time. */
    Core::Duration connectPatience{Core::milliseconds(100)};
    /** Another gateway's machine that runs acknowledges within a round trip, 24 ms between the farthest regions that we know of. */
    Core::Duration silenceLimit{Core::milliseconds(80)};
};

/** How a search is divided. */
struct RelayPlan {
    /** Asked from here. */
    std::vector<Core::ServiceName> direct;
    /** Asked by a gateway of the zone that `relays` stands for. */
    std::vector<Core::ServiceName> relayed;
    Core::ServiceName relays;
    /** See RelayOptions. */
    int targetsHeld{2};
};

/** Gateways of one zone, as a service of the pool of relays. */
[[nodiscard]] Core::ServiceName relayService(const std::string &zone);

/** Divides a search. `number` spreads searches over zones that are equally good. */
[[nodiscard]] RelayPlan planRelay(const std::vector<Core::ServiceName> &shards,
    const BackendPool &pool,
    const BackendPool &relays,
    const std::string &ownZone,
    const std::map<std::string, std::string> &regions,
    std::uint64_t number,
    const RelayOptions &options);

/** Headers between gateways. They never go to a backend server, and callers' headers of these names are not trusted. */
namespace RelayHeader
{
/** Milliseconds after which the answer should leave. */
constexpr const char *TargetLeft = "Crankrudder-Target-Left-Ms";
/** The services that are asked for, with commas between them. */
constexpr const char *Shards = "Crankrudder-Shards";
/** The body is a partial answer. */
constexpr const char *Partial = "Crankrudder-Partial";
}

/** What one gateway asks of another besides the request itself. */
struct RelayTerms {
    Core::Duration targetLeft{0};
    std::vector<Core::ServiceName> shards;
};

/** Takes the terms out of a request's headers; nothing when they are not all there. */
[[nodiscard]] std::optional<RelayTerms> takeRelayTerms(Wire::Headers &headers);

/** Adds the terms to a request's headers. */
void addRelayTerms(Wire::Headers &headers, const RelayTerms &terms);

/** What a relayed part looks like to the gateway that gives it away: one request that is not sent twice. */
[[nodiscard]] std::shared_ptr<const Fleet::Route> makeRelayRoute(const Fleet::Route &route, const Core::ServiceName &relays);

/** The platform's dialect, as spoken between gateways: partial answers count as whole replies, refusals as proof that nothing ran. */
[[nodiscard]] Dialect makeRelayDialect(const Dialect &dialect);

}
