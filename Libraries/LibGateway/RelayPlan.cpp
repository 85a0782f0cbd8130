/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RelayPlan.h>

#include <LibCore/Settings.h>
#include <LibGateway/Scheduling/SharedEvidence.h>
#include <LibWire/Server.h>

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace Gateway
{

static constexpr std::int64_t MaximumMilliseconds = 3'600'000;
static constexpr int NotRunStatus = 503;
// Number of fields of RelayParameters in the header of numbers.
static constexpr std::size_t ParameterCount = 9;

Wire::MessageLimits relayMessageLimits(const Fleet::CallerLimits &limits)
{
    // For the names of the shards, the state of the search and evidence.
    static constexpr std::size_t AddedHeaderBytes = 64UL * 1024;
    const Wire::MessageLimits lowest = Wire::ServerLimits().message;
    return {.headerBytes = std::max(lowest.headerBytes, limits.headerBytes) + AddedHeaderBytes, .bodyBytes = std::max(lowest.bodyBytes, limits.bodyBytes)};
}

Core::ServiceName relayService(const std::string &zone)
{
    return Core::ServiceName("gateways/" + zone);
}

namespace
{

/** A shard that is better served by another gateway, with the zones whose gateways may serve it. */
struct RemoteShard {
    Core::ServiceName name;
    std::vector<std::string> zones;
};

}

// Returns the zones whose gateways may serve the shard: only the own zone if it is among the best, and none if no gateway can serve it.
static std::vector<std::string> candidateZones(const Core::ServiceName &shard, const RelayView &view)
{
    auto zones = view.pool.goodZonesOf(shard, view.typicalLatency, view.allowedRegions);
    if (std::find(zones.begin(), zones.end(), view.ownZone) != zones.end()) {
        return {view.ownZone};
    }
    std::erase_if(zones, [&view](const std::string &zone) {
        const bool excluded = view.onlyOtherRegions && Fleet::inSameRegion(view.regions, zone, view.ownZone);
        return excluded || !view.relays.hasReady(relayService(zone));
    });
    return zones;
}

// Chooses a zone of this region first, then the zone that covers most shards. Searches are spread over equal zones.
static std::string chooseZone(const std::vector<RemoteShard> &shards, const RelayView &view)
{
    std::map<std::string, std::size_t> covered;
    for (const auto &shard : shards) {
        for (const auto &zone : shard.zones) {
            ++covered[zone];
        }
    }
    const auto rank = [&](const std::string &zone) {
        return std::pair(Fleet::inSameRegion(view.regions, zone, view.ownZone), covered.at(zone));
    };
    std::vector<std::string> best;
    for (const auto &[zone, count] : covered) {
        if (!best.empty() && rank(zone) > rank(best.front())) {
            best.clear();
        }
        if (best.empty() || rank(zone) == rank(best.front())) {
            best.push_back(zone);
        }
    }
    return best[view.number % best.size()];
}

static void addPart(RelayPlan &plan, PartPlan part, std::size_t minimum)
{
    if (part.shards.size() >= minimum) {
        plan.parts.push_back(std::move(part));
    } else {
        plan.direct.insert(plan.direct.end(), part.shards.begin(), part.shards.end());
    }
}

// Assigns the shards of a divided zone to the owners of their cells. Shards of cells that this gateway owns, and those too few for a part, are sent to
// directly.
static void addCells(RelayPlan &plan, const PartPlan &whole, const RelayView &view, const RelayOptions &options)
{
    std::map<std::size_t, std::vector<Core::ServiceName>> cells;
    for (const auto &shard : whole.shards) {
        cells[view.cells.cellOf(shard, view.shardsInSearch, whole.zone)].push_back(shard);
    }
    for (auto &[cell, shards] : cells) {
        if (whole.zone == view.ownZone && view.cells.isOwnCell(cell, view.shardsInSearch)) {
            plan.direct.insert(plan.direct.end(), shards.begin(), shards.end());
            continue;
        }
        PartPlan part = whole;
        part.shards = std::move(shards);
        part.owners = view.cells.ownersOf(cell, view.shardsInSearch, whole.zone);
        addPart(plan, std::move(part), options.minimumShards);
    }
}

RelayPlan planRelay(const std::vector<Core::ServiceName> &shards, const RelayView &view, const RelayOptions &options)
{
    RelayPlan plan;
    plan.timeoutInTargets = options.timeoutInTargets;
    std::vector<RemoteShard> remote;
    PartPlan own{.zone = view.ownZone, .shards = {}, .mayRelayFurther = true};
    const bool ownCells = !view.onlyOtherRegions && view.cells.isDivided(view.ownZone);
    for (const auto &shard : shards) {
        auto zones = candidateZones(shard, view);
        if (zones.empty()) {
            plan.direct.push_back(shard);
        } else if (zones.front() == view.ownZone) {
            (ownCells ? own.shards : plan.direct).push_back(shard);
        } else {
            remote.push_back({.name = shard, .zones = std::move(zones)});
        }
    }
    addCells(plan, own, view, options);
    while (!remote.empty()) {
        const auto zone = chooseZone(remote, view);
        const auto rest = std::stable_partition(remote.begin(), remote.end(), [&zone](const RemoteShard &shard) {
            return std::find(shard.zones.begin(), shard.zones.end(), zone) != shard.zones.end();
        });
        PartPlan part{.zone = zone, .shards = {}, .mayRelayFurther = Fleet::inSameRegion(view.regions, zone, view.ownZone)};
        for (auto shard = remote.begin(); shard != rest; ++shard) {
            part.shards.push_back(shard->name);
        }
        remote.erase(remote.begin(), rest);
        if (part.mayRelayFurther && view.cells.isDivided(zone)) {
            addCells(plan, part, view, options);
        } else {
            part.owners = view.cells.commonOwnersOf(part.shards, view.shardsInSearch, zone);
            const auto minimum = part.mayRelayFurther ? options.minimumShards : options.minimumCrossRegionShards;
            addPart(plan, std::move(part), minimum);
        }
    }
    return plan;
}

// Returns nullopt if numbers are missing, invalid or out of range.
static std::optional<RelayParameters> parseRelayParameters(const std::string &text)
{
    std::vector<std::int64_t> numbers;
    for (const auto &word : Core::splitList(text)) {
        const auto number = Core::parseInteger(word, 0, MaximumMilliseconds);
        if (!number.has_value()) {
            return std::nullopt;
        }
        numbers.push_back(number.value());
    }
    if (numbers.size() != ParameterCount) {
        return std::nullopt;
    }
    Protocol::MissingShard before;
    before.executions = static_cast<std::int32_t>(numbers[5]);
    before.sends = static_cast<std::int32_t>(numbers[6]);
    before.counted = numbers[7] != 0;
    return RelayParameters{.timeLeftToTarget = Core::milliseconds(numbers[0]),
        .timeLeftToDeadline = Core::milliseconds(numbers[1]),
        .maximumMissing = static_cast<std::size_t>(numbers[2]),
        .mayRelayFurther = numbers[3] != 0,
        .isHedge = numbers[4] != 0,
        .before = before,
        .shards = {},
        .topRecords = static_cast<std::size_t>(numbers[8])};
}

static std::string toHexadecimal(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes) {
        text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    }
    return text;
}

// Returns an empty string for invalid hexadecimal, so that no records are left out then.
static std::string fromHexadecimal(std::string_view text)
{
    static constexpr int Base = 16;
    std::string bytes;
    for (std::size_t offset = 0; offset < text.size(); offset += 2) {
        unsigned int value = 0;
        const auto *end = text.data() + std::min(offset + 2, text.size());
        const auto read = std::from_chars(text.data() + offset, end, value, Base);
        if (read.ec != std::errc() || read.ptr != text.data() + offset + 2) {
            return {};
        }
        bytes += static_cast<char>(value);
    }
    return bytes;
}

std::optional<RelayParameters> extractRelayParameters(Wire::Headers &headers)
{
    std::optional<RelayParameters> parameters;
    std::vector<Core::ServiceName> shards;
    std::string minimumRecord;
    Fleet::AllowedRegions allowedRegions;
    std::optional<Fleet::WorkspaceName> workspace;
    std::optional<SearchState> searchState;
    std::string evidence;
    std::optional<LoopReport> otherOwner;
    Core::Duration repeatHold{0};
    std::erase_if(headers, [&](const Wire::Header &header) {
        if (Wire::sameName(header.name, RelayHeader::Parameters)) {
            parameters = parseRelayParameters(header.value);
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::Shards)) {
            for (const auto &name : Core::splitList(header.value)) {
                shards.emplace_back(name);
            }
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::MinimumRecord)) {
            minimumRecord = fromHexadecimal(header.value);
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::AllowedRegions)) {
            const auto names = Core::splitList(header.value);
            allowedRegions = Fleet::AllowedRegions::only({names.begin(), names.end()});
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::Workspace)) {
            workspace.emplace(header.value);
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::SearchState)) {
            searchState = parseSearchState(header.value);
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::Evidence)) {
            evidence = header.value;
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::OwnerLoad)) {
            otherOwner = parseLoad(header.value);
            return true;
        }
        if (Wire::sameName(header.name, RelayHeader::RepeatHold)) {
            repeatHold = Core::milliseconds(Core::parseInteger(header.value, 0, MaximumMilliseconds).value_or(0));
            return true;
        }
        return false;
    });
    if (!parameters.has_value() || shards.empty()) {
        return std::nullopt;
    }
    parameters->shards = std::move(shards);
    parameters->minimumRecord = std::move(minimumRecord);
    parameters->allowedRegions = std::move(allowedRegions);
    parameters->workspace = std::move(workspace);
    parameters->searchState = searchState;
    parameters->evidence = std::move(evidence);
    parameters->otherOwner = otherOwner;
    parameters->repeatHold = repeatHold;
    return parameters;
}

std::string extractSendId(Wire::Headers &headers)
{
    return Wire::extractHeader(headers, RelayHeader::Send).value_or(std::string());
}

std::optional<PartId> extractCancellation(Wire::Headers &headers)
{
    const auto value = Wire::extractHeader(headers, RelayHeader::Cancel);
    const auto separator = value.has_value() ? value->find(',') : std::string::npos;
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    return PartId{.send = value->substr(0, separator), .request = value->substr(separator + 1)};
}

void addCancellation(Wire::Headers &headers, const PartId &part)
{
    headers.push_back({RelayHeader::Cancel, part.send + "," + part.request});
}

void addRelayParameters(Wire::Headers &headers, const RelayParameters &parameters)
{
    std::vector<std::string> shards;
    for (const auto &shard : parameters.shards) {
        shards.push_back(shard.value());
    }
    auto numbers
        = std::to_string(Core::toMilliseconds(parameters.timeLeftToTarget)) + "," + std::to_string(Core::toMilliseconds(parameters.timeLeftToDeadline));
    numbers += "," + std::to_string(parameters.maximumMissing) + (parameters.mayRelayFurther ? ",1" : ",0") + (parameters.isHedge ? ",1" : ",0");
    numbers += "," + std::to_string(parameters.before.executions) + "," + std::to_string(parameters.before.sends) + (parameters.before.counted ? ",1" : ",0");
    numbers += "," + std::to_string(parameters.topRecords);
    headers.push_back({RelayHeader::Parameters, std::move(numbers)});
    headers.push_back({RelayHeader::Shards, Core::joinList(shards)});
    if (!parameters.allowedRegions.isAnywhere()) {
        const auto &names = parameters.allowedRegions.names().value();
        headers.push_back({RelayHeader::AllowedRegions, Core::joinList({names.begin(), names.end()})});
    }
    if (parameters.workspace.has_value()) {
        headers.push_back({RelayHeader::Workspace, parameters.workspace->value()});
    }
    if (parameters.searchState.has_value()) {
        headers.push_back({RelayHeader::SearchState, formatSearchState(parameters.searchState.value())});
    }
    if (!parameters.evidence.empty()) {
        headers.push_back({RelayHeader::Evidence, parameters.evidence});
    }
    if (parameters.repeatHold > Core::Duration(0)) {
        headers.push_back({RelayHeader::RepeatHold, std::to_string(Core::toMilliseconds(parameters.repeatHold))});
    }
    if (!parameters.minimumRecord.empty()) {
        headers.push_back({RelayHeader::MinimumRecord, toHexadecimal(parameters.minimumRecord)});
    }
}

std::shared_ptr<const Fleet::Route> makeRelayRoute(const Fleet::Route &route, const Core::ServiceName &relays)
{
    auto relayed = std::make_shared<Fleet::Route>();
    relayed->name = route.name;
    relayed->timeout = route.timeout;
    relayed->targetLatency = route.targetLatency;
    relayed->priority = route.priority;
    // The serving gateway sends to as many backend servers as the route allows, so a second serving gateway could exceed that.
    relayed->idempotent = false;
    relayed->maximumAttempts = 1;
    relayed->targets = {Fleet::WeightedService{.service = relays, .weight = 1.0}};
    return relayed;
}

// Within a gateway the header is OWNER=LOAD.
Wire::Header makeOtherOwnerHeader(const KnownOwner &owner)
{
    return {RelayHeader::OwnerLoad, owner.name.value() + "=" + formatLoad(owner.load)};
}

// Returns the load as it is sent; an empty string if the part goes to that owner.
static std::string loadOfOther(const std::string &header, const std::string &receiver)
{
    const auto separator = header.rfind('=');
    const bool isOther = separator != std::string::npos && header.substr(0, separator) != receiver;
    return isOther ? header.substr(separator + 1) : std::string();
}

Dialect makeRelayDialect(const Dialect &dialect)
{
    Dialect relay = dialect;
    relay.writeRequest = [write = dialect.writeRequest](std::string &bytes, const BackendRequest &request) {
        CallerRequest named = *request.caller;
        // The serving gateway takes the workspace from the part's parameters.
        named.workspace.reset();
        // Only now is it known which gateway gets the part.
        if (const auto evidence = Wire::extractHeader(named.message.headers, RelayHeader::Evidence); evidence.has_value()) {
            if (auto sent = withoutOwnReports(evidence.value(), request.backend.value()); !sent.empty()) {
                named.message.headers.push_back({RelayHeader::Evidence, std::move(sent)});
            }
        }
        if (const auto other = Wire::extractHeader(named.message.headers, RelayHeader::OwnerLoad); other.has_value()) {
            if (const auto load = loadOfOther(other.value(), request.backend.value()); !load.empty()) {
                named.message.headers.push_back({RelayHeader::OwnerLoad, load});
            }
        }
        named.message.headers.push_back({RelayHeader::Send, std::to_string(request.number)});
        BackendRequest sent = request;
        sent.caller = &named;
        return write(bytes, sent);
    };
    relay.replyKey = [](const BackendRequest &request) {
        return ReplyKey(std::to_string(request.number));
    };
    relay.readReplyKey = [](const Wire::Response &message) {
        const auto *name = Wire::findHeader(message.headers, RelayHeader::Send);
        return ReplyKey(name == nullptr ? std::string() : *name);
    };
    // A gateway of a release without send ids refuses parts, because it cannot read their parameters, and its refusals carry no id. Accepting a refusal of
    // another send would cost one additional send and no answer.
    relay.isRefusalWithoutKey = [](const Wire::Response &message) {
        return message.status == NotRunStatus;
    };
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
