/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides which shards of a search are relayed to other gateways, and encodes the
// parameters of relayed parts. Traffic between zones and regions is expensive,
// and backend servers limit their connections, so not every gateway can hold a
// connection to each of them.

#pragma once

#include <LibGateway/BackendPool.h>
#include <LibGateway/CellMap.h>
#include <LibGateway/Scheduling/OwnerLoad.h>
#include <LibGateway/Scheduling/RepeatValue.h>
#include <LibProtocol/Generated/fleet_types.h>

namespace Gateway
{

/** Thresholds and timeouts for relaying shards to other gateways. */
struct RelayOptions {
    /** Fewer shards than this in another zone of this region are sent to directly, because the extra hop costs as much as it saves. */
    std::size_t minimumShards{3};
    /** The same threshold for another region: two whole replies are more bytes than one part with their greatest records and signatures. */
    std::size_t minimumCrossRegionShards{2};
    /**
     * A relayed part is cancelled after this multiple of the target latency, because its gateway has most likely ended or hangs. Long enough for late
     * answers.
     */
    int timeoutInTargets{4};
    /** Time limit for opening a connection to another gateway; a healthy gateway accepts within this time. */
    Core::Duration connectTimeout{Core::milliseconds(100)};
    /**
     * Time limit for the acknowledgement of sent bytes. A running machine acknowledges within a round trip, which takes 24 ms between the farthest known
     * regions.
     */
    Core::Duration acknowledgementTimeout{Core::milliseconds(80)};
    /**
     * Whether the gateway of a part is told when its search has ended. Otherwise it learns it when the connection is closed, 150 to 300 ms later, which is more
     * than the target of an urgent search (80 ms).
     */
    bool cancelsParts{true};
};

/** A part of a search that is relayed to one other gateway. */
struct PartPlan {
    /** Zone of the gateways that may serve the part. */
    std::string zone;
    std::vector<Core::ServiceName> shards;
    /** Whether the serving gateway may relay shards to a third one. Only allowed within one region, so that no shard is relayed in a circle. */
    bool mayRelayFurther{false};
    /** The shards are hedged: each was sent once already, and the repeats are consumed from the requesting gateway's retry budget. */
    bool isHedge{false};
    /** Records below this one cannot be in the answer any more; empty if no such limit is known. */
    std::string minimumRecord;
    /** Gateways that should serve the part, in order of preference; empty if any gateway of the zone may. */
    std::vector<BackendName> owners;
    /** Earlier attempts for each of the shards; the service name is empty. */
    Protocol::MissingShard before;
    /** The shards were in an earlier part that was sent to an owner, and they were missing from it. */
    bool isRetry{false};
};

/** How a search is divided between direct calls and relayed parts. */
struct RelayPlan {
    /** Shards that this gateway sends to directly. */
    std::vector<Core::ServiceName> direct;
    std::vector<PartPlan> parts;
    /** Multiple of the target latency after which a relayed part is cancelled. */
    int timeoutInTargets{4};
    /** Attempts of other gateways for each of the direct shards; the service name is empty. */
    Protocol::MissingShard before;
};

/** Input of planRelay(). */
struct RelayView {
    const BackendPool &pool;
    /** Pool of the other gateways, with one service per zone (see relayService()). */
    const BackendPool &relays;
    std::string ownZone;
    const Fleet::RegionOfZone &regions;
    /** Median latency of a reply. */
    Core::Duration typicalLatency{0};
    /** Varies between searches, to spread them over zones that are equally good. */
    std::uint64_t number{0};
    /** Owners of the shards of each zone. */
    const CellMap &cells;
    /** Number of shards in the whole search. */
    std::size_t shardsInSearch{0};
    /** Only gateways of other regions may serve parts, because this gateway serves a part for one of its own region. */
    bool onlyOtherRegions{false};
    /** Regions where the search may be served. */
    Fleet::AllowedRegions allowedRegions;
};

/** Returns the service name of the gateways of a zone in the pool of relays. */
[[nodiscard]] Core::ServiceName relayService(const std::string &zone);

/**
 * Returns the limits on messages from other gateways, given the limits on callers' requests: a part carries a caller's request and what gateways add to it.
 * Never below the limits of a server without a declaration, so that a part is not refused because the limits have just been lowered.
 */
[[nodiscard]] Wire::MessageLimits relayMessageLimits(const Fleet::CallerLimits &limits);

/** Divides a search: each shard goes to a zone of its best backend servers, and shards that can go to the same zone go there together. */
[[nodiscard]] RelayPlan planRelay(const std::vector<Core::ServiceName> &shards, const RelayView &view, const RelayOptions &options);

/** Headers between gateways. They are never sent to a backend server, and they are not trusted when a caller sends them. */
namespace RelayHeader
{
/** Comma-separated numbers: the fields of RelayParameters in their order, times in milliseconds. */
constexpr const char *Parameters = "Crankrudder-Part-Terms";
/** Comma-separated names of the requested shards. */
constexpr const char *Shards = "Crankrudder-Shards";
/** A record in hexadecimal; the answer needs no record below it. Optional. */
constexpr const char *MinimumRecord = "Crankrudder-Least-Record";
/** Comma-separated names of the regions where the search may be served. Absent if it may be served in any region. */
constexpr const char *AllowedRegions = "Crankrudder-Allowed-Regions";
/**
 * State of the search without the shards of the part, as formatSearchState() writes it. A header of its own, since a gateway of a release without it rejects
 * parameters with more fields. Absent if the requesting gateway does not know the state.
 */
constexpr const char *SearchState = "Crankrudder-Search-State";
/**
 * In a partial answer: comma-separated names of missing shards for which the retry budget of the serving gateway denied a repeat. Absent if there are none, and
 * in answers of a release without it.
 */
constexpr const char *DeniedRepeats = "Crankrudder-Denied-Repeats";
/** What the sending gateway knows of the backend servers of a part; see SharedEvidence.h. In parts and partial answers. Absent if there is nothing to tell. */
constexpr const char *Evidence = "Crankrudder-Evidence";
/** Cancels a part whose search has ended: the id of its send, a comma, and the id of its request. A gateway of a release without it refuses the message. */
constexpr const char *Cancel = "Crankrudder-Cancel";
/** Set if the body is a query for repeats (Protocol::RepeatLoans). A gateway of a release without it refuses the message. */
constexpr const char *RepeatLoans = "Crankrudder-Repeat-Loans";
/** Set if the body is a partial answer. */
constexpr const char *Partial = "Crankrudder-Partial";
/** Workspace of the search, as the requesting gateway determined it by the caller's API key. Absent if there is none. */
constexpr const char *Workspace = "Crankrudder-Workspace";
/** Quota query to a quota keeper, with the workspace's name: whether one more request may be admitted. */
constexpr const char *Quota = "Crankrudder-Quota";
/** Terms of a quota query: WORKSPACE_PRIORITY,ROUTE_PRIORITY,DIGEST,TIME_LEFT_MS,TARGET_LEFT_MS,RESERVATION_MODE. Absent from gateways of an older build. */
constexpr const char *QuotaTerms = "Crankrudder-Quota-Terms";
/** Keepers that the querying gateway knows to be exhausted: ADDRESS=MS,... with the time for which that is valid. */
constexpr const char *QuotaExhausted = "Crankrudder-Quota-Exhausted";
/**
 * Milliseconds from the arrival of a part in which the serving gateway makes at most one attempt at each shard: RelayParameters::repeatHold. Absent from
 * gateways of an older build, which means 0.
 */
constexpr const char *RepeatHold = "Crankrudder-Repeat-Hold";
/** Identifies one send of a part. The serving gateway returns it with the answer, since all parts of a search have the same request id. */
constexpr const char *Send = "Crankrudder-Send";
/**
 * In answers to parts: load of the serving gateway, as formatLoad() writes it. Absent if it does not measure its load. In parts: load of the least busy other
 * owner of the cell, which gets the part if this one declines it. Absent if the requesting gateway knows none, and once the part goes to that owner.
 */
constexpr const char *OwnerLoad = "Crankrudder-Owner-Load";
}

/** A hedged shard has one earlier send of the requesting gateway, which may have run. */
constexpr int HedgedExecutions = 1;

/** What a gateway sends with a relayed part in addition to the caller's request. */
struct RelayParameters {
    /** Time from arrival until the part should be sent if at most `maximumMissing` shards are missing. */
    Core::Duration timeLeftToTarget{0};
    /** Time from arrival until the part must be sent, whatever is missing. */
    Core::Duration timeLeftToDeadline{0};
    /**
     * Maximum number of missing shards in a part that is sent at the target. With more shards missing the whole search most likely has too few, so a late
     * part is worth more than one that is in time.
     */
    std::size_t maximumMissing{0};
    /** Whether the serving gateway may relay shards to a third one. This field, isHedge and before are copied from PartPlan. */
    bool mayRelayFurther{false};
    bool isHedge{false};
    Protocol::MissingShard before;
    std::vector<Core::ServiceName> shards;
    /** Records below this one are not needed in the answer; empty if no such limit is known. */
    std::string minimumRecord;
    /**
     * Number of greatest records that the requesting gateway wants according to its own declaration. The declaration of the serving gateway may differ
     * for a moment after a change, and a part cut to fewer records would lack records of the shards that it lists as answered.
     */
    std::size_t topRecords{0};
    /**
     * Regions allowed by the declaration with which the requesting gateway routed the search. The declaration of the serving gateway applies as well: the
     * two may differ for a moment after a change, and the request must not run where either of them forbids it.
     */
    Fleet::AllowedRegions allowedRegions;
    /** Workspace of the search, if any. */
    std::optional<Fleet::WorkspaceName> workspace;
    /** State of the search without the shards of the part, if the requesting gateway has sent it. */
    std::optional<SearchState> searchState;
    /** Header with what the requesting gateway knows of the backend servers of the shards; empty if it has nothing to tell. */
    std::string evidence{};
    /** Id of the send, which is unique for its gateway; empty if it has none. Not sent with the parameters, but in a header of its own. */
    std::string send{};
    /** Load of the owner that gets the part if the serving gateway declines it. Without one the part is not declined. */
    std::optional<LoopReport> otherOwner{};
    /**
     * Time from arrival in which at most one attempt is made at each shard in addition to `before`. The requesting gateway may give the part up in this time,
     * and then counts one attempt for each shard.
     */
    Core::Duration repeatHold{0};

    /** Returns the number of attempts at each shard that the requesting gateway has counted apart from this part. */
    [[nodiscard]] int earlierAttempts() const
    {
        return this->isHedge ? HedgedExecutions : this->before.executions;
    }
};

/** Identifies a part at the gateway that serves it. The id of the request distinguishes sends of several gateways with the same id. */
struct PartId {
    std::string send;
    std::string request;
};

/** Makes the header of a part that names the owner that gets it if the first one declines. The relay dialect removes the name, and the header for that owner.
 */
[[nodiscard]] Wire::Header makeOtherOwnerHeader(const KnownOwner &owner);

/** Extracts the parameters from the headers of a request. Returns nullopt if they are incomplete or invalid. */
[[nodiscard]] std::optional<RelayParameters> extractRelayParameters(Wire::Headers &headers);

/** Extracts the id of a send from the headers of a request. Returns an empty string if there is none. */
[[nodiscard]] std::string extractSendId(Wire::Headers &headers);

/** Extracts the part that a message cancels. Returns nullopt if it cancels none. */
[[nodiscard]] std::optional<PartId> extractCancellation(Wire::Headers &headers);
void addCancellation(Wire::Headers &headers, const PartId &part);

/** Adds the parameters to the headers of a request. */
void addRelayParameters(Wire::Headers &headers, const RelayParameters &parameters);

/** Returns the route for sending a relayed part to the gateways of the service `relays`: one request that is not sent twice. */
[[nodiscard]] std::shared_ptr<const Fleet::Route> makeRelayRoute(const Fleet::Route &route, const Core::ServiceName &relays);

/**
 * Returns the dialect between gateways, derived from the platform's: partial answers count as successful replies, refusals prove that nothing ran, and each
 * send has an id.
 */
[[nodiscard]] Dialect makeRelayDialect(const Dialect &dialect);

}
