/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "ConfigurationFile.h"

#include <fmt/core.h>
#include <initializer_list>

namespace CrankCtl
{

using nlohmann::json;

static Core::Result<void> checkMembers(const json &object, const std::string &path, std::initializer_list<const char *> known)
{
    if (!object.is_object()) {
        return Core::failure(Core::ErrorKind::InvalidInput, path + " is not an object");
    }
    for (const auto &member : object.items()) {
        const std::string &name = member.key();
        const bool isKnown = std::any_of(known.begin(), known.end(), [&name](const char *candidate) {
            return name == candidate;
        });
        if (!isKnown) {
            return Core::failure(Core::ErrorKind::InvalidInput, fmt::format("{}: unknown member \"{}\"", path, name));
        }
    }
    return {};
}

namespace
{

/** Reads members of a JSON object into fields and keeps the first error, with the path of the object. */
class Reader
{
public:
    Reader(const json &object, std::string path) : object(object), path(std::move(path))
    {
    }

    void text(const char *name, std::string &target)
    {
        this->store(Core::textMember(this->object, name), target);
    }

    void integer(const char *name, std::int32_t &target)
    {
        this->store(Core::integerMember(this->object, name, INT32_MIN, INT32_MAX), target);
    }

    void number(const char *name, double &target)
    {
        if (!this->object.contains(name)) {
            return;
        }
        if (!this->object[name].is_number()) {
            this->fail(fmt::format("\"{}\" is not a number", name));
            return;
        }
        target = this->object[name].get<double>();
    }

    void boolean(const char *name, bool &target)
    {
        if (!this->object.contains(name)) {
            return;
        }
        if (!this->object[name].is_boolean()) {
            this->fail(fmt::format("\"{}\" is neither true nor false", name));
            return;
        }
        target = this->object[name].get<bool>();
    }

    void texts(const char *name, std::vector<std::string> &target)
    {
        if (!this->object.contains(name)) {
            return;
        }
        for (const auto &item : this->object[name]) {
            if (!item.is_string()) {
                this->fail(fmt::format("\"{}\" is not a list of strings", name));
                return;
            }
            target.push_back(item.get<std::string>());
        }
    }

    [[nodiscard]] Core::Result<void> outcome() const
    {
        return this->error.empty() ? Core::Result<void>{} : Core::failure(Core::ErrorKind::InvalidInput, this->error);
    }

private:
    template<typename Value, typename Target>
    void store(const Core::Result<Value> &result, Target &target)
    {
        if (result.has_value()) {
            target = static_cast<Target>(result.value());
        } else {
            this->fail(result.error().message);
        }
    }

    void fail(const std::string &message)
    {
        if (this->error.empty()) {
            this->error = this->path + ": " + message;
        }
    }

    const json &object;
    std::string path;
    std::string error;
};

}

static Core::Result<Protocol::UrgencyClass> readClass(const json &object, const std::string &path)
{
    auto checked = checkMembers(object, path, {"name", "priority", "deadline_ms", "minimum_coverage", "partial_allowed"});
    if (!checked.has_value()) {
        return tl::make_unexpected(checked.error());
    }
    Protocol::UrgencyClass urgencyClass;
    Reader reader(object, path);
    reader.text("name", urgencyClass.name);
    reader.integer("priority", urgencyClass.priority);
    reader.integer("deadline_ms", urgencyClass.deadlineMilliseconds);
    reader.number("minimum_coverage", urgencyClass.minimumCoverage);
    reader.boolean("partial_allowed", urgencyClass.partialAllowed);
    return reader.outcome().map([&urgencyClass] {
        return urgencyClass;
    });
}

static Core::Result<Protocol::ServiceDeclaration> readService(const json &object, const std::string &path)
{
    auto checked = checkMembers(object, path, {"name", "shards", "replicas_per_shard", "slots_per_replica", "connection_cap_per_replica", "class", "actions"});
    if (!checked.has_value()) {
        return tl::make_unexpected(checked.error());
    }
    Protocol::ServiceDeclaration service;
    Reader reader(object, path);
    reader.text("name", service.name);
    reader.integer("shards", service.shards);
    reader.integer("replicas_per_shard", service.replicasPerShard);
    reader.integer("slots_per_replica", service.slotsPerReplica);
    reader.integer("connection_cap_per_replica", service.connectionCapPerReplica);
    reader.text("class", service.urgencyClass);
    reader.texts("actions", service.actions);
    return reader.outcome().map([&service] {
        return service;
    });
}

template<typename Item>
static Core::Result<void> readList(
    const json &document, const char *name, Core::Result<Item> (*readItem)(const json &, const std::string &), std::vector<Item> &target)
{
    const auto found = document.find(name);
    if (found == document.end() || !found->is_array()) {
        return Core::failure(Core::ErrorKind::InvalidInput, fmt::format("\"{}\" is missing or not a list", name));
    }
    for (std::size_t index = 0; index < found->size(); ++index) {
        auto item = readItem((*found)[index], fmt::format("{}[{}]", name, index));
        if (!item.has_value()) {
            return tl::make_unexpected(item.error());
        }
        target.push_back(std::move(item.value()));
    }
    return {};
}

Core::Result<Protocol::Configuration> configurationFromText(const std::string &text)
{
    const auto document = Core::parseObject(text);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    Protocol::Configuration configuration;
    Reader reader(document.value(), "configuration");
    reader.integer("maximum_entry_instances", configuration.maximumEntryInstances);
    auto outcome = checkMembers(document.value(), "configuration", {"maximum_entry_instances", "classes", "services"});
    if (outcome.has_value()) {
        outcome = reader.outcome();
    }
    if (outcome.has_value()) {
        outcome = readList(document.value(), "classes", readClass, configuration.classes);
    }
    if (outcome.has_value()) {
        outcome = readList(document.value(), "services", readService, configuration.services);
    }
    return outcome.map([&configuration] {
        return configuration;
    });
}

json configurationToJson(const Protocol::Configuration &configuration)
{
    json classes = json::array();
    for (const auto &urgencyClass : configuration.classes) {
        classes.push_back({{"name", urgencyClass.name},
            {"priority", urgencyClass.priority},
            {"deadline_ms", urgencyClass.deadlineMilliseconds},
            {"minimum_coverage", urgencyClass.minimumCoverage},
            {"partial_allowed", urgencyClass.partialAllowed}});
    }
    json services = json::array();
    for (const auto &service : configuration.services) {
        services.push_back({{"name", service.name},
            {"shards", service.shards},
            {"replicas_per_shard", service.replicasPerShard},
            {"slots_per_replica", service.slotsPerReplica},
            {"connection_cap_per_replica", service.connectionCapPerReplica},
            {"class", service.urgencyClass},
            {"actions", service.actions}});
    }
    return {{"maximum_entry_instances", configuration.maximumEntryInstances}, {"classes", classes}, {"services", services}};
}

}
