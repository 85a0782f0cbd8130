/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What operators declare for routed requests: routes, services and limits of
// one version. Whoever reads the declaration's text (an adapter) makes this.

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

/** Number that the operator gave a declaration; the highest one counts. */
using DeclarationVersion = Core::StrongValue<struct DeclarationVersionTag, std::int64_t>;

/** One service. */
struct DeclaredService {
    Core::ServiceName name;
    /** Connections that one backend server takes from all callers together. */
    int connectionCap{1};
    /** How long a backend server of it is cold after a start, and again at times. */
    Core::Duration warmupTime{0};
    /** Requests a second that a cold one bears from all callers together; 0 where nothing is declared, and then nothing bounds them. */
    double warmupRequestsPerSecond{0.0};
};

/** A service that gets a part of a route's requests. */
struct WeightedService {
    Core::ServiceName service;
    /** Relative to the other parts; 0 gets nothing. */
    double weight{1.0};
};

/** How requests with one host and path prefix are treated. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    /** Whether a request may run more than once. */
    bool idempotent{false};
    /** The longest time that a request is held. */
    Core::Duration timeout{0};
    /** An answer within this time is worth most to the caller. */
    Core::Duration targetLatency{0};
    /** 0 is most urgent. */
    int priority{0};
    /** Backend servers that one request may go to, for each shard. */
    int maximumAttempts{1};
    /** Invariant: empty exactly when `shards` is not. */
    std::vector<WeightedService> targets;
    /** Services that each hold one shard; a request goes to all of them. */
    std::vector<Core::ServiceName> shards;
    /** Records in a merged answer. */
    std::size_t topRecords{0};
    /** The smallest share of the shards with which an answer counts. */
    double minimumCoverage{1.0};
    /** Where its requests may be served. */
    AllowedRegions allowedRegions;
    /** Whether its requests need no API key. */
    bool isPublic{false};

    [[nodiscard]] bool isFanOut() const
    {
        return !this->shards.empty();
    }
};

/** What callers may send. */
struct CallerLimits {
    std::size_t headerBytes{16 * 1024};
    std::size_t bodyBytes{256 * 1024};
    Core::Duration requestTimeout{Core::seconds(10)};
    Core::Duration idleTimeout{Core::seconds(60)};
};

/** One version of everything. Never changed once made. */
struct Declaration {
    DeclarationVersion version;
    std::vector<Route> routes;
    std::map<Core::ServiceName, DeclaredService> services;
    /** Nothing where requests need no API keys. A table without workspaces lets in nobody but on public routes. */
    std::optional<WorkspaceTable> workspaces;
    CallerLimits limits;

    /** The workspace of that name, or nullptr. */
    [[nodiscard]] const Workspace *workspaceNamed(const WorkspaceName &name) const;
};

/** Finds routes by host and longest path prefix. */
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Declaration> declaration);

    /** The route, or nullptr. `host` may carry a port; `target` may carry a query. */
    [[nodiscard]] const Route *match(std::string_view host, std::string_view target) const;

    [[nodiscard]] const Declaration &declaration() const;

private:
    std::shared_ptr<const Declaration> source;
    // By host, and there by prefix, so that a look-up walks the path's slashes and not the routes.
    std::unordered_map<std::string, std::unordered_map<std::string, const Route *>> hosts;
};

}
