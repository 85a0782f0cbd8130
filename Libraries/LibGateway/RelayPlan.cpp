/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RelayPlan.h>

#include <LibCore/Settings.h>

#include <algorithm>

namespace Gateway
{

static constexpr std::int64_t LongestTargetMilliseconds = 3'600'000;
static constexpr int NotRunStatus = 503;

Core::ServiceName relayService(const std::string &zone)
{
    return Core::ServiceName("gateways/" + zone);
}

static bool inSameRegion(const std::map<std::string, std::string> &regions, const std::string &left, const std::string &right)
{
    const auto leftRegion = regions.find(left);
    const auto rightRegion = regions.find(right);
    return leftRegion != regions.end() && rightRegion != regions.end() && leftRegion->second == rightRegion->second;
}

RelayPlan planRelay(const std::vector<Core::ServiceName> &shards,
    const BackendPool &pool,
    const BackendPool &relays,
    const std::string &ownZone,
    const std::map<std::string, std::string> &regions,
    std::uint64_t number,
    const RelayOptions &options)
{
    RelayPlan plan;
    plan.targetsHeld = options.targetsHeld;
    // Shards without a backend server in this zone, and the zones where they have some.
    std::map<std::string, std::vector<Core::ServiceName>> byZone;
    for (const auto &shard : shards) {
        auto zones = pool.zonesOf(shard);
        std::sort(zones.begin(), zones.end());
        zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
        const bool near = std::find(zones.begin(), zones.end(), ownZone) != zones.end();
        for (const auto &zone : zones) {
            if (!near && relays.hasReady(relayService(zone))) {
                byZone[zone].push_back(shard);
            }
        }
    }
    // The zone of this region that covers most goes first, then any that covers most; among equals searches are spread.
    std::vector<std::string> best;
    const auto rank = [&](const std::string &zone) {
        return std::pair(inSameRegion(regions, zone, ownZone), byZone.at(zone).size());
    };
    for (const auto &[zone, covered] : byZone) {
        if (covered.size() < options.fewestShards || (!best.empty() && rank(zone) < rank(best.front()))) {
            continue;
        }
        if (!best.empty() && rank(zone) > rank(best.front())) {
            best.clear();
        }
        best.push_back(zone);
    }
    if (best.empty()) {
        plan.direct = shards;
        return plan;
    }
    const auto &zone = best[number % best.size()];
    plan.relays = relayService(zone);
    plan.relayed = byZone.at(zone);
    for (const auto &shard : shards) {
        if (std::find(plan.relayed.begin(), plan.relayed.end(), shard) == plan.relayed.end()) {
            plan.direct.push_back(shard);
        }
    }
    return plan;
}

std::optional<RelayTerms> takeRelayTerms(Wire::Headers &headers)
{
    std::optional<std::int64_t> targetLeft;
    std::vector<Core::ServiceName> shards;
    std::erase_if(headers, [&targetLeft, &shards](const Wire::Header &header) {
        if (Wire::sameName(header.name, RelayHeader::TargetLeft)) {
            const auto value = Core::parseInteger(header.value, 0, LongestTargetMilliseconds);
            targetLeft = value.has_value() ? std::optional(value.value()) : std::nullopt;
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::Shards)) {
            for (const auto &name : Core::splitList(header.value)) {
                shards.emplace_back(name);
            }
            return true;
        }
        return false;
    });
    if (!targetLeft.has_value() || shards.empty()) {
        return std::nullopt;
    }
    return RelayTerms{.targetLeft = Core::milliseconds(targetLeft.value()), .shards = std::move(shards)};
}

void addRelayTerms(Wire::Headers &headers, const RelayTerms &terms)
{
    std::string names;
    for (const auto &shard : terms.shards) {
        names += names.empty() ? "" : ",";
        names += shard.value();
    }
    headers.push_back({RelayHeader::TargetLeft, std::to_string(Core::toMilliseconds(terms.targetLeft))});
    headers.push_back({RelayHeader::Shards, std::move(names)});
}

std::shared_ptr<const Fleet::Route> makeRelayRoute(const Fleet::Route &route, const Core::ServiceName &relays)
{
    auto relayed = std::make_shared<Fleet::Route>();
    relayed->name = route.name;
    relayed->timeout = route.timeout;
    relayed->targetLatency = route.targetLatency;
    relayed->priority = route.priority;
    // The other gateway sends to as many backend servers as the route allows, so a second one could exceed that.
    relayed->idempotent = false;
    relayed->maximumAttempts = 1;
    relayed->targets = {Fleet::WeightedService{.service = relays, .weight = 1.0}};
    return relayed;
}

Dialect makeRelayDialect(const Dialect &dialect)
{
    Dialect relay = dialect;
    relay.readReply = [read = dialect.readReply](Wire::Response message) {
        BackendReply reply = read(std::move(message));
        if (Wire::findHeader(reply.message.headers, RelayHeader::Partial) != nullptr) {
            reply.signature = RelayHeader::Partial;
        }
        reply.notExecuted = reply.notExecuted || reply.message.status == NotRunStatus;
        return reply;
    };
    return relay;
}

}
