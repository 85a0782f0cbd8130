/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/Announcement.h>

#include <gio/gio.h>

namespace Entry
{

static constexpr std::size_t MaximumNameLength = 128;
static constexpr std::size_t MaximumSnapshots = 64;
static constexpr std::int64_t MaximumShards = 65'536;
static constexpr std::int64_t MaximumSlots = 100'000;
static constexpr std::int64_t MaximumConnections = 1'000'000;
static constexpr std::int64_t MaximumLoad = 1'000'000'000;

const char *backendStateName(Protocol::BackendState::type state)
{
    switch (state) {
    case Protocol::BackendState::STARTING:
        return "starting";
    case Protocol::BackendState::SERVING:
        return "serving";
    case Protocol::BackendState::DRAINING:
        return "draining";
    case Protocol::BackendState::STOPPED:
        return "stopped";
    }
    return "unknown";
}

static Core::Result<Protocol::BackendState::type> stateFromName(const std::string &name)
{
    using Protocol::BackendState;
    for (const auto state : {BackendState::STARTING, BackendState::SERVING, BackendState::DRAINING, BackendState::STOPPED}) {
        if (name == backendStateName(state)) {
            return state;
        }
    }
    return Core::failure(Core::ErrorKind::InvalidInput, "\"state\" must be one of starting, serving, draining, stopped");
}

namespace
{

/** Reads members of a JSON object and keeps the first error. */
class MemberReader
{
public:
    explicit MemberReader(const nlohmann::json &object) : object(object)
    {
    }

    void text(const char *name, std::string &target)
    {
        this->keep(Core::textMember(this->object, name, MaximumNameLength), target);
    }

    template<typename Number>
    void integer(const char *name, Number &target, std::int64_t lowest, std::int64_t highest)
    {
        this->keep(Core::integerMember(this->object, name, lowest, highest), target);
    }

    template<typename Value, typename Target>
    void keep(const Core::Result<Value> &result, Target &target)
    {
        if (result.has_value()) {
            target = static_cast<Target>(result.value());
        } else if (this->error.message.empty()) {
            this->error = result.error();
        }
    }

    [[nodiscard]] bool failed() const
    {
        return !this->error.message.empty();
    }

    Core::Error error;

private:
    const nlohmann::json &object;
};

}

static Core::Result<Protocol::SnapshotHolding> holdingFromJson(const nlohmann::json &object)
{
    if (!object.is_object()) {
        return Core::failure(Core::ErrorKind::InvalidInput, "a snapshot is not an object");
    }
    Protocol::SnapshotHolding holding;
    MemberReader reader(object);
    reader.integer("version", holding.version, 1, INT64_MAX);
    reader.text("shard_map", holding.shardMap);
    reader.integer("shard_count", holding.shardCount, 1, MaximumShards);
    reader.integer("shard", holding.shard, 0, MaximumShards - 1);
    if (reader.failed()) {
        return tl::make_unexpected(reader.error);
    }
    return holding;
}

Core::Result<void> checkAnnouncement(const Protocol::Announcement &announcement)
{
    const auto reject = [](const char *message) {
        return Core::failure(Core::ErrorKind::InvalidInput, message);
    };
    if (announcement.serviceName.empty() || announcement.replicaName.empty()) {
        return reject("the name of the service or the replica is empty");
    }
    if (announcement.serviceName.size() > MaximumNameLength || announcement.replicaName.size() > MaximumNameLength) {
        return reject("the name of the service or the replica is longer than 128 bytes");
    }
    if (g_hostname_is_ip_address(announcement.address.c_str()) == FALSE) {
        return reject("\"address\" is not an IP address");
    }
    if (announcement.port < 1 || announcement.port > UINT16_MAX) {
        return reject("\"port\" is out of range");
    }
    if (announcement.snapshots.size() > MaximumSnapshots) {
        return reject("there are more than 64 snapshots");
    }
    for (const auto &holding : announcement.snapshots) {
        if (holding.version < 1 || holding.shardCount < 1 || holding.shardCount > MaximumShards || holding.shard < 0 || holding.shard >= holding.shardCount) {
            return reject("a snapshot has an invalid version, shard count or shard");
        }
    }
    return {};
}

Core::Result<Protocol::Announcement> announcementFromJson(const nlohmann::json &document)
{
    Protocol::Announcement announcement;
    MemberReader reader(document);
    reader.text("service", announcement.serviceName);
    reader.text("replica", announcement.replicaName);
    reader.integer("incarnation", announcement.incarnation, 0, INT64_MAX);
    reader.integer("sequence", announcement.sequence, 0, INT64_MAX);
    reader.text("address", announcement.address);
    reader.integer("port", announcement.port, 1, UINT16_MAX);
    reader.text("zone", announcement.zone);
    reader.integer("slots", announcement.slots, 1, MaximumSlots);
    reader.integer("connection_cap", announcement.connectionCap, 1, MaximumConnections);
    reader.integer("load", announcement.load, 0, MaximumLoad);
    std::string state;
    reader.text("state", state);
    if (reader.failed()) {
        return tl::make_unexpected(reader.error);
    }
    reader.keep(stateFromName(state), announcement.state);
    const auto snapshots = document.find("snapshots");
    if (snapshots == document.end() || !snapshots->is_array() || snapshots->size() > MaximumSnapshots) {
        return Core::failure(Core::ErrorKind::InvalidInput, "\"snapshots\" is missing, not a list, or has more than 64 items");
    }
    for (const auto &item : *snapshots) {
        auto holding = holdingFromJson(item);
        if (!holding.has_value()) {
            return tl::make_unexpected(holding.error());
        }
        announcement.snapshots.push_back(std::move(holding.value()));
    }
    if (reader.failed()) {
        return tl::make_unexpected(reader.error);
    }
    auto checked = checkAnnouncement(announcement);
    if (!checked.has_value()) {
        return tl::make_unexpected(checked.error());
    }
    return announcement;
}

nlohmann::json announcementToJson(const Protocol::Announcement &announcement)
{
    nlohmann::json snapshots = nlohmann::json::array();
    for (const auto &holding : announcement.snapshots) {
        snapshots.push_back({{"version", holding.version}, {"shard_map", holding.shardMap}, {"shard_count", holding.shardCount}, {"shard", holding.shard}});
    }
    return {{"service", announcement.serviceName},
        {"replica", announcement.replicaName},
        {"incarnation", announcement.incarnation},
        {"sequence", announcement.sequence},
        {"address", announcement.address},
        {"port", announcement.port},
        {"zone", announcement.zone},
        {"state", backendStateName(announcement.state)},
        {"snapshots", snapshots},
        {"slots", announcement.slots},
        {"connection_cap", announcement.connectionCap},
        {"load", announcement.load}};
}

}
