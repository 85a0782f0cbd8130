/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibControl/ConfigurationRules.h>

#include <LibCore/Identity.h>
#include <LibRpc/Serialization.h>

#include <fmt/core.h>
#include <map>
#include <set>

namespace Control
{

namespace
{

/** Collects faults, each with the path of the field in the configuration. */
class FaultList
{
public:
    void require(bool condition, const std::string &path, const std::string &message)
    {
        if (condition) {
            return;
        }
        Protocol::Fault fault;
        fault.path = path;
        fault.message = message;
        this->faults.push_back(fault);
    }

    void requireRange(std::int64_t value, std::int64_t lowest, std::int64_t highest, const std::string &path)
    {
        this->require(value >= lowest && value <= highest, path, fmt::format("{} is not between {} and {}", value, lowest, highest));
    }

    std::vector<Protocol::Fault> take()
    {
        return std::move(this->faults);
    }

private:
    std::vector<Protocol::Fault> faults;
};

}

// Names appear in URLs, log lines and metric labels, so they may only have characters that need no escaping in any of them.
static bool isPlainName(const std::string &name, std::size_t maximumLength)
{
    static constexpr const char *Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !name.empty() && name.size() <= maximumLength && name.find_first_not_of(Allowed) == std::string::npos;
}

static void checkClass(FaultList &faults, const Protocol::UrgencyClass &urgencyClass, const std::string &path, const ConfigurationLimits &limits)
{
    faults.require(isPlainName(urgencyClass.name, limits.maximumNameLength),
        path + ".name",
        "is empty, too long, or has characters other than letters, digits, '-', '_' and '.'");
    faults.requireRange(urgencyClass.priority, 0, 15, path + ".priority");
    faults.requireRange(urgencyClass.deadlineMilliseconds, 1, limits.maximumDeadlineMilliseconds, path + ".deadlineMilliseconds");
    const bool coverageInRange = urgencyClass.minimumCoverage >= 0.0 && urgencyClass.minimumCoverage <= 1.0;
    faults.require(coverageInRange, path + ".minimumCoverage", "is not between 0 and 1");
    const bool coverageConsistent = urgencyClass.partialAllowed || urgencyClass.minimumCoverage >= 1.0;
    faults.require(coverageConsistent, path + ".minimumCoverage", "is below 1 although partialAllowed is false");
}

static void checkService(FaultList &faults,
    const Protocol::ServiceDeclaration &service,
    const std::set<std::string> &classNames,
    const std::string &path,
    const Protocol::Configuration &configuration,
    const ConfigurationLimits &limits)
{
    faults.require(isPlainName(service.name, limits.maximumNameLength),
        path + ".name",
        "is empty, too long, or has characters other than letters, digits, '-', '_' and '.'");
    faults.requireRange(service.shards, 1, limits.maximumShards, path + ".shards");
    faults.requireRange(service.replicasPerShard, 1, 1000, path + ".replicasPerShard");
    faults.requireRange(service.slotsPerReplica, 1, 100'000, path + ".slotsPerReplica");
    // Each entry instance needs at least one connection of its own, since it could not reach the replica otherwise.
    faults.requireRange(service.connectionCapPerReplica, configuration.maximumEntryInstances, 1'000'000, path + ".connectionCapPerReplica");
    faults.require(classNames.contains(service.urgencyClass), path + ".urgencyClass", "no class is named \"" + service.urgencyClass + "\"");
    std::set<std::string> actions;
    for (const auto &action : service.actions) {
        faults.require(isPlainName(action, limits.maximumNameLength),
            path + ".actions",
            "\"" + action + "\" is empty, too long, or has characters other than letters, digits, '-', '_' and '.'");
        faults.require(actions.insert(action).second, path + ".actions", "\"" + action + "\" is declared twice");
    }
}

std::vector<Protocol::Fault> findFaults(const Protocol::Configuration &configuration, const ConfigurationLimits &limits)
{
    FaultList faults;
    faults.requireRange(configuration.maximumEntryInstances, 1, 100'000, "maximumEntryInstances");
    faults.require(configuration.services.size() <= limits.maximumServices, "services", "has too many items");
    faults.require(configuration.classes.size() <= limits.maximumClasses, "classes", "has too many items");
    std::set<std::string> classNames;
    for (std::size_t index = 0; index < configuration.classes.size(); ++index) {
        const auto &urgencyClass = configuration.classes[index];
        const std::string path = fmt::format("classes[{}]", index);
        checkClass(faults, urgencyClass, path, limits);
        faults.require(classNames.insert(urgencyClass.name).second, path + ".name", "\"" + urgencyClass.name + "\" is declared twice");
    }
    std::set<std::string> serviceNames;
    for (std::size_t index = 0; index < configuration.services.size(); ++index) {
        const auto &service = configuration.services[index];
        const std::string path = fmt::format("services[{}]", index);
        checkService(faults, service, classNames, path, configuration, limits);
        faults.require(serviceNames.insert(service.name).second, path + ".name", "\"" + service.name + "\" is declared twice");
    }
    return faults.take();
}

static std::string describe(const Protocol::UrgencyClass &urgencyClass)
{
    return fmt::format("priority={} deadline_ms={} minimum_coverage={} partial_allowed={}",
        urgencyClass.priority,
        urgencyClass.deadlineMilliseconds,
        urgencyClass.minimumCoverage,
        urgencyClass.partialAllowed);
}

static std::string describe(const Protocol::ServiceDeclaration &service)
{
    std::string actions;
    for (const auto &action : service.actions) {
        actions += actions.empty() ? action : "," + action;
    }
    return fmt::format("shards={} replicas_per_shard={} slots={} connection_cap={} class={} actions=[{}]",
        service.shards,
        service.replicasPerShard,
        service.slotsPerReplica,
        service.connectionCapPerReplica,
        service.urgencyClass,
        actions);
}

template<typename Item>
static std::map<std::string, std::string> describeAll(const std::vector<Item> &items)
{
    std::map<std::string, std::string> described;
    for (const auto &item : items) {
        described[item.name] = describe(item);
    }
    return described;
}

template<typename Item>
static void addDifferences(std::vector<std::string> &lines, const std::string &kind, const std::vector<Item> &before, const std::vector<Item> &after)
{
    const auto old = describeAll(before);
    const auto current = describeAll(after);
    for (const auto &[name, text] : old) {
        if (!current.contains(name)) {
            lines.push_back(fmt::format("- {} {}: {}", kind, name, text));
        }
    }
    for (const auto &[name, text] : current) {
        const auto previous = old.find(name);
        if (previous == old.end()) {
            lines.push_back(fmt::format("+ {} {}: {}", kind, name, text));
        } else if (previous->second != text) {
            lines.push_back(fmt::format("~ {} {}: {} -> {}", kind, name, previous->second, text));
        }
    }
}

std::vector<std::string> findDifferences(const Protocol::Configuration &before, const Protocol::Configuration &after)
{
    std::vector<std::string> lines;
    if (before.maximumEntryInstances != after.maximumEntryInstances) {
        lines.push_back(fmt::format("~ maximumEntryInstances: {} -> {}", before.maximumEntryInstances, after.maximumEntryInstances));
    }
    addDifferences(lines, "class", before.classes, after.classes);
    addDifferences(lines, "service", before.services, after.services);
    return lines;
}

std::string contentDigest(const Protocol::Configuration &configuration)
{
    return Core::sha256(Rpc::serialize(configuration));
}

}
