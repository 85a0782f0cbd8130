/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which shards of a search another gateway is asked for. Bytes between zones and
// regions are dear, and backend servers cap their connections, so that not every
// gateway can hold one to each of them.

#pragma once

#include <LibGateway/BackendPool.h>
#include <LibGateway/CellMap.h>
#include <LibProtocol/Generated/fleet_types.h>

namespace Gateway
{

/** When shards are asked by another gateway. */
struct RelayOptions {
    /** Fewer shards of another zone of this region are asked from here: a hop more costs as much as it saves. */
    std::size_t fewestShards{3};
    /** The same for another region: two whole replies are more bytes than one part with their greatest records and signatures. */
    std::size_t fewestFarShards{2};
    /** A relayed part is given up after this many target latencies: its gateway is gone or stands still. Long enough for late answers. */
    int timeoutInTargets{4};
    /** Another gateway that is sound accepts a connection within this time. */
    Core::Duration connectTimeout{Core::milliseconds(100)};
    /** Another gateway's machine that runs acknowledges within a round trip, 24 ms between the farthest regions that we know of. */
    Core::Duration acknowledgementTimeout{Core::milliseconds(80)};
};

/** A part of a search that one other gateway is asked for. */
struct PartPlan {
    /** Where the gateways are that may be asked. */
    std::string zone;
    std::vector<Core::ServiceName> shards;
    /** Whether that gateway may give shards away in its turn; only one of the same region may, so that nothing goes in a circle. */
    bool mayRelayFurther{false};
    /** The shards are hedged: each was sent once already, and the repeat is paid for. */
    bool isHedge{false};
    /** Lesser records can't be among the greatest any more; empty when that is not known. */
    std::string minimumRecord;
    /** The gateways that should be asked, the first of them first; any of the zone where there are none. */
    std::vector<BackendName> owners;
    /** What was done for each of its shards before; its service name is empty. */
    Protocol::MissingShard before;
    /** An owner was asked for these shards before. */
    bool isAgain{false};
};

/** How a search is divided. */
struct RelayPlan {
    /** Asked from here. */
    std::vector<Core::ServiceName> direct;
    std::vector<PartPlan> parts;
    /** See RelayOptions. */
    int timeoutInTargets{4};
    /** What was done before for each shard that is asked from here. */
    Protocol::MissingShard before;
};

/** What a plan is made from. */
struct RelayView {
    const BackendPool &pool;
    /** Other gateways, by zone. */
    const BackendPool &relays;
    std::string ownZone;
    const Fleet::RegionOfZone &regions;
    /** What a reply usually takes. */
    Core::Duration typicalLatency{0};
    /** Spreads searches over zones that are equally good. */
    std::uint64_t number{0};
    /** Who owns the shards of a zone. */
    const CellMap &cells;
    /** Shards of the whole search. */
    std::size_t shardsInSearch{0};
    /** Only gateways of other regions are asked, because this one was asked itself by one of its own region. */
    bool onlyOtherRegions{false};
    /** Where the search may be served. */
    Fleet::AllowedRegions allowedRegions;
};

/** Gateways of one zone, as a service of the pool of relays. */
[[nodiscard]] Core::ServiceName relayService(const std::string &zone);

/** Divides a search: a shard goes to a zone where its best backend servers are, and shards that can go to the same zone go together. */
[[nodiscard]] RelayPlan planRelay(const std::vector<Core::ServiceName> &shards, const RelayView &view, const RelayOptions &options);

/** Headers between gateways. They never go to a backend server, and callers' headers of these names are not trusted. */
namespace RelayHeader
{
/** Numbers with commas between them: the fields of RelayParameters in their order, times in milliseconds. */
constexpr const char *Parameters = "Crankrudder-Part-Terms";
/** The services that are asked for, with commas between them. */
constexpr const char *Shards = "Crankrudder-Shards";
/** A record in hexadecimal: the answer needs none that is less. May be left out. */
constexpr const char *MinimumRecord = "Crankrudder-Least-Record";
/** Regions with commas between them: the search may be served in no others. Left out where any region will do. */
constexpr const char *AllowedRegions = "Crankrudder-Allowed-Regions";
/** The body is a partial answer. */
constexpr const char *Partial = "Crankrudder-Partial";
/** The workspace whose search it is, as the asker found by the caller's key. Left out where there is none. */
constexpr const char *Workspace = "Crankrudder-Workspace";
/** A question to a keeper of a workspace's quota, naming the workspace: whether one more request may be let in. */
constexpr const char *Quota = "Crankrudder-Quota";
/** Names one send of a part; the other gateway's answer carries it back. A search's parts all have its request id. */
constexpr const char *Send = "Crankrudder-Send";
}

/** What one gateway asks of another besides the request itself. */
struct RelayParameters {
    /** After this long the answer should leave, if no more shards are missing than may be. */
    Core::Duration timeLeftToTarget{0};
    /** After this long it has to leave, whatever is missing. */
    Core::Duration timeLeftToDeadline{0};
    /** With more shards missing the whole search has most likely too few, so a late answer is worth more than one in time. */
    std::size_t maximumMissing{0};
    /** See PartPlan. */
    bool mayRelayFurther{false};
    bool isHedge{false};
    Protocol::MissingShard before;
    std::vector<Core::ServiceName> shards;
    /** See PartPlan. */
    std::string minimumRecord;
    /**
     * How many of the greatest records the asker wants, by its own declaration. The other gateway's may differ for a moment after a change, and a part
     * that was cut to fewer would lack records of the shards that it names.
     */
    std::size_t topRecords{0};
    /**
     * Where the search may be served by the declaration that the asker routed it by. What the other gateway's own declaration allows binds, too:
     * the two may differ for a moment after a change, and the request must not run where either forbids it.
     */
    Fleet::AllowedRegions allowedRegions;
    /** Whose search it is. */
    std::optional<Fleet::WorkspaceName> workspace;
};

/** Takes the parameters out of a request's headers; nothing when they are not all there. */
[[nodiscard]] std::optional<RelayParameters> extractRelayParameters(Wire::Headers &headers);

/** Takes the name of a send out of a request's headers; empty when there is none. */
[[nodiscard]] std::string extractSendId(Wire::Headers &headers);

/** Adds the parameters to a request's headers. */
void addRelayParameters(Wire::Headers &headers, const RelayParameters &parameters);

/** What a relayed part looks like to the gateway that gives it away: one request that is not sent twice. */
[[nodiscard]] std::shared_ptr<const Fleet::Route> makeRelayRoute(const Fleet::Route &route, const Core::ServiceName &relays);

/**
 * The platform's dialect, as spoken between gateways: partial answers count as whole replies, refusals as proof that nothing ran, and each send has a
 * name of its own.
 */
[[nodiscard]] Dialect makeRelayDialect(const Dialect &dialect);

}
