/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Chooses the index snapshot that a query is pinned to. Each query reads from
// a single snapshot, as the brief requires ("What must always hold"). While a
// new version is rolled out, queries use the old one until the new one covers
// every shard.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibEntry/BackendTable.h>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Entry
{

/** Identifies a snapshot by version and shard map. The same version with two shard maps is two snapshots. */
struct SnapshotKey {
    std::int64_t version{0};
    std::string shardMap;

    auto operator<=>(const SnapshotKey &) const = default;
};

/** The replicas that can serve each shard of a snapshot. A query uses the same view until it ends. */
struct SnapshotView {
    SnapshotKey key;
    /** Indexed by shard. */
    std::vector<std::vector<BackendId>> replicas;
    /** Shards with at least one usable replica. */
    std::size_t coveredShards{0};
    /** Total of usable replicas over all shards. */
    std::size_t usableReplicas{0};

    /** Whether every shard has at least one usable replica. */
    [[nodiscard]] bool isCoverable() const;
    [[nodiscard]] std::int32_t shardCount() const;
};

/** When queries switch to a newer snapshot. */
struct SnapshotChooserOptions {
    /** A newer coverable snapshot is chosen at once if it has this share of the current snapshot's replicas per shard. */
    double requiredCapacity{0.75};
    /** A newer snapshot that has been coverable for this long is chosen whatever its capacity. */
    Core::Duration switchDelay{Core::seconds(10)};
};

/** Keeps the chosen snapshot of each service. */
class SnapshotChooser
{
public:
    explicit SnapshotChooser(SnapshotChooserOptions options = {});

    /**
     * Returns the snapshot for a new query. Returns nullptr if no usable backend
     * server holds any snapshot, or if the chosen snapshot is older than
     * `minimumVersion` and no coverable one is at least that version.
     */
    [[nodiscard]] std::shared_ptr<const SnapshotView> choose(
        const Core::ServiceName &service, const BackendTable &table, Core::Instant now, std::int64_t minimumVersion = 0);

    /** Versions that are announced with more than one shard map. */
    [[nodiscard]] std::vector<std::int64_t> conflictingVersions(const Core::ServiceName &service) const;

    /** The current choice, for the state dump. */
    [[nodiscard]] std::optional<SnapshotKey> chosen(const Core::ServiceName &service) const;

private:
    using Views = std::map<SnapshotKey, std::shared_ptr<SnapshotView>>;
    struct ServiceState {
        Views views;
        std::optional<SnapshotKey> chosen;
        /** Time since which each snapshot has been coverable without interruption. */
        std::map<SnapshotKey, Core::Instant> coverableSince;
        std::uint64_t generation{0};
        // Leases expire without a change of the table's generation, so views are also rebuilt by age.
        Core::Instant builtAt;
        bool built{false};
    };

    void rebuild(ServiceState &state, const Core::ServiceName &service, const BackendTable &table, Core::Instant now) const;
    void decide(ServiceState &state, Core::Instant now) const;
    [[nodiscard]] bool mayReplace(const ServiceState &state, const SnapshotView &newer, const SnapshotView &current, Core::Instant now) const;

    SnapshotChooserOptions options;
    std::map<Core::ServiceName, ServiceState> services;
};

}
