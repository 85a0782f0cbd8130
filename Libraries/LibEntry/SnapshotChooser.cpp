/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/SnapshotChooser.h>

namespace Entry
{

// A view is rebuilt after this time, since leases expire without a change of the table.
static constexpr Core::Duration ViewLifetime = Core::milliseconds(50);

bool SnapshotView::isCoverable() const
{
    return this->coveredShards == this->replicas.size() && !this->replicas.empty();
}

std::int32_t SnapshotView::shardCount() const
{
    return static_cast<std::int32_t>(this->replicas.size());
}

SnapshotChooser::SnapshotChooser(SnapshotChooserOptions options) : options(options)
{
}

static void addHolding(SnapshotView &view, const Protocol::SnapshotHolding &holding, BackendId id)
{
    const auto shardCount = static_cast<std::size_t>(holding.shardCount);
    if (view.replicas.size() < shardCount) {
        // NOTE: A shard map has a fixed shard count. If a backend server announces a larger count for the same map, the view grows, and shards that no
        // backend server holds count as not covered.
        view.replicas.resize(shardCount);
    }
    auto &replicas = view.replicas[static_cast<std::size_t>(holding.shard)];
    if (replicas.empty()) {
        ++view.coveredShards;
    }
    replicas.push_back(id);
    ++view.usableReplicas;
}

void SnapshotChooser::rebuild(ServiceState &state, const Core::ServiceName &service, const BackendTable &table, Core::Instant now) const
{
    state.views.clear();
    for (const auto id : table.ofService(service)) {
        const auto &backend = table.row(id);
        if (!table.isUsable(backend, now)) {
            continue;
        }
        for (const auto &holding : backend.announcement.snapshots) {
            const SnapshotKey key{.version = holding.version, .shardMap = holding.shardMap};
            auto &view = state.views[key];
            if (!view) {
                view = std::make_shared<SnapshotView>();
                view->key = key;
            }
            addHolding(*view, holding, id);
        }
    }
    std::erase_if(state.coverableSince, [&state](const auto &item) {
        const auto view = state.views.find(item.first);
        return view == state.views.end() || !view->second->isCoverable();
    });
    for (const auto &[key, view] : state.views) {
        if (view->isCoverable()) {
            state.coverableSince.try_emplace(key, now);
        }
    }
    state.generation = table.generation();
    state.builtAt = now;
    state.built = true;
}

bool SnapshotChooser::mayReplace(const ServiceState &state, const SnapshotView &newer, const SnapshotView &current, Core::Instant now) const
{
    if (!newer.isCoverable() || newer.key.version <= current.key.version) {
        return false;
    }
    // Capacity is compared as replicas per shard, since a new map may have another number of shards.
    const auto perShard = [](const SnapshotView &view) {
        return static_cast<double>(view.usableReplicas) / static_cast<double>(view.replicas.size());
    };
    if (perShard(newer) >= this->options.requiredCapacity * perShard(current)) {
        return true;
    }
    const auto since = state.coverableSince.find(newer.key);
    return since != state.coverableSince.end() && now - since->second >= this->options.switchDelay;
}

// Prefers the larger share of covered shards, then the newer snapshot.
static bool isBetterFallback(const SnapshotView &candidate, const SnapshotView &best)
{
    const auto share = [](const SnapshotView &view) {
        return static_cast<double>(view.coveredShards) / static_cast<double>(view.replicas.size());
    };
    if (share(candidate) != share(best)) {
        return share(candidate) > share(best);
    }
    return candidate.key > best.key;
}

void SnapshotChooser::decide(ServiceState &state, Core::Instant now) const
{
    const auto current = state.chosen.has_value() ? state.views.find(state.chosen.value()) : state.views.end();
    if (current != state.views.end() && current->second->isCoverable()) {
        for (auto candidate = state.views.rbegin(); candidate != state.views.rend(); ++candidate) {
            if (this->mayReplace(state, *candidate->second, *current->second, now)) {
                state.chosen = candidate->first;
                return;
            }
        }
        return;
    }
    std::shared_ptr<SnapshotView> best;
    for (const auto &[key, view] : state.views) {
        if (!best || isBetterFallback(*view, *best)) {
            best = view;
        }
    }
    state.chosen = best ? std::optional(best->key) : std::nullopt;
}

std::shared_ptr<const SnapshotView> SnapshotChooser::choose(
    const Core::ServiceName &service, const BackendTable &table, Core::Instant now, std::int64_t minimumVersion)
{
    auto &state = this->services[service];
    if (!state.built || state.generation != table.generation() || now - state.builtAt >= ViewLifetime) {
        this->rebuild(state, service, table, now);
        this->decide(state, now);
    }
    if (!state.chosen.has_value()) {
        return nullptr;
    }
    const auto &current = state.views.at(state.chosen.value());
    if (current->key.version >= minimumVersion) {
        return current;
    }
    // The caller has already seen a newer snapshot than the chosen one, so the newest coverable snapshot is used.
    for (auto candidate = state.views.rbegin(); candidate != state.views.rend(); ++candidate) {
        if (candidate->first.version >= minimumVersion && candidate->second->isCoverable()) {
            return candidate->second;
        }
    }
    return nullptr;
}

std::vector<std::int64_t> SnapshotChooser::conflictingVersions(const Core::ServiceName &service) const
{
    std::vector<std::int64_t> versions;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return versions;
    }
    const SnapshotKey *previous = nullptr;
    for (const auto &[key, view] : found->second.views) {
        if (previous != nullptr && previous->version == key.version && (versions.empty() || versions.back() != key.version)) {
            versions.push_back(key.version);
        }
        previous = &key;
    }
    return versions;
}

std::optional<SnapshotKey> SnapshotChooser::chosen(const Core::ServiceName &service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? std::nullopt : found->second.chosen;
}

}
