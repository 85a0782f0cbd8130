/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibControl/ConfigurationDelta.h>

#include <algorithm>
#include <map>

namespace Control
{

template<typename Item>
static void findItemChanges(const std::vector<Item> &before, const std::vector<Item> &after, std::vector<Item> &changed, std::vector<std::string> &removed)
{
    std::map<std::string, const Item *> old;
    for (const auto &item : before) {
        old[item.name] = &item;
    }
    for (const auto &item : after) {
        const auto previous = old.find(item.name);
        if (previous == old.end() || !(*previous->second == item)) {
            changed.push_back(item);
        }
        if (previous != old.end()) {
            old.erase(previous);
        }
    }
    for (const auto &[name, item] : old) {
        removed.push_back(name);
    }
}

template<typename Item>
static void applyItems(std::vector<Item> &items, const std::vector<Item> &changed, const std::vector<std::string> &removed)
{
    std::erase_if(items, [&removed](const Item &item) {
        return std::find(removed.begin(), removed.end(), item.name) != removed.end();
    });
    for (const auto &item : changed) {
        const auto existing = std::find_if(items.begin(), items.end(), [&item](const Item &candidate) {
            return candidate.name == item.name;
        });
        if (existing == items.end()) {
            items.push_back(item);
        } else {
            *existing = item;
        }
    }
}

Protocol::ConfigurationDelta makeDelta(std::int64_t fromRevision, const Protocol::Configuration &before, const Protocol::Configuration &after)
{
    Protocol::ConfigurationDelta delta;
    delta.fromRevision = fromRevision;
    delta.maximumEntryInstances = after.maximumEntryInstances;
    findItemChanges(before.classes, after.classes, delta.changedClasses, delta.removedClasses);
    findItemChanges(before.services, after.services, delta.changedServices, delta.removedServices);
    return delta;
}

Protocol::Configuration applyDelta(Protocol::Configuration configuration, const Protocol::ConfigurationDelta &delta)
{
    configuration.maximumEntryInstances = delta.maximumEntryInstances;
    applyItems(configuration.classes, delta.changedClasses, delta.removedClasses);
    applyItems(configuration.services, delta.changedServices, delta.removedServices);
    return configuration;
}

}
