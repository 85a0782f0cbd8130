/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The parsed form of a declaration, the operators' configuration of routed
// requests: routes, services, workspaces and limits. An adapter of the platform
// creates it from the declaration's text.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibFleet/Regions.h>
#include <LibFleet/Workspaces.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Fleet
{

/** Version number that the operator assigned to a declaration. The declaration with the highest version is active. */
using DeclarationVersion = Core::StrongValue<struct DeclarationVersionTag, std::int64_t>;

/** A service, which backend servers provide. */
struct DeclaredService {
    Core::ServiceName name;
    /** Connections that one backend server accepts from all clients together. */
    int connectionCap{1};
    /** How long a backend server of this service warms up after a start. It may turn cold again later. */
    Core::Duration warmupTime{0};
    /** Requests per second that a cold backend server can serve from all clients together; 0 when not declared, and then there is no warm-up limit. */
    double warmupRequestsPerSecond{0.0};
    /** Target of requests for the health of a backend server; empty when not declared. */
    std::string healthPath;
};

/** A service that receives a share of a route's requests. */
struct WeightedService {
    Core::ServiceName service;
    /** The share in proportion to the other weights of the route; a service with weight 0 receives no requests. */
    double weight{1.0};
};

/** How requests with one host and path prefix are served. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    /** Whether a request may be executed more than once. */
    bool idempotent{false};
    /** The longest time from the receipt of a request to its answer. */
    Core::Duration timeout{0};
    /** The time within which an answer should leave; later answers are worth less to the caller. */
    Core::Duration targetLatency{0};
    /** 0 is most urgent. */
    int priority{0};
    /** How many backend servers one request may be sent to, for each shard. */
    int maximumAttempts{1};
    /** The services of a route without fan-out. Invariant: exactly one of `targets` and `shards` is empty. */
    std::vector<WeightedService> targets;
    /** The services of a fan-out route. Each of them holds one shard, and a request is sent to all of them. */
    std::vector<Core::ServiceName> shards;
    /** The largest number of records in a merged answer. */
    std::size_t topRecords{0};
    /** The smallest fraction of the shards, from 0 to 1, that an answer has to cover. */
    double minimumCoverage{1.0};
    /** Regions in which the route's requests may be served. */
    AllowedRegions allowedRegions;
    /** Whether requests are accepted without an API key. */
    bool isPublic{false};

    [[nodiscard]] bool isFanOut() const
    {
        return !this->shards.empty();
    }
};

/** Limits on the requests and connections of callers. */
struct CallerLimits {
    std::size_t headerBytes{16 * 1024};
    std::size_t bodyBytes{256 * 1024};
    Core::Duration requestTimeout{Core::seconds(10)};
    Core::Duration idleTimeout{Core::seconds(60)};
};

/** One version of the declaration. Immutable once created. */
struct Declaration {
    DeclarationVersion version;
    std::vector<Route> routes;
    std::map<Core::ServiceName, DeclaredService> services;
    /** Unset when requests need no API key. With a table that holds no workspaces, requests are accepted on public routes only. */
    std::optional<WorkspaceTable> workspaces;
    CallerLimits limits;

    /** The workspace with this name, or nullptr. */
    [[nodiscard]] const Workspace *workspaceNamed(const WorkspaceName &name) const;
};

/** Finds the route of a request by its host and the longest matching path prefix. */
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Declaration> declaration);

    /** The matching route, or nullptr. `host` may contain a port; `target` may contain a query. Hosts are compared without regard to case. */
    [[nodiscard]] const Route *match(std::string_view host, std::string_view target) const;

    [[nodiscard]] const Declaration &declaration() const;

private:
    std::shared_ptr<const Declaration> source;
    // Routes by host and then by path prefix, so that the cost of a look-up depends on the number of slashes in the path and not on the number of routes.
    std::unordered_map<std::string, std::unordered_map<std::string, const Route *>> hosts;
};

}
