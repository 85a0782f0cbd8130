/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Chooses the index snapshot that a query is pinned to. One query sees one
// snapshot (brief, "What must always hold"); while a new version is rolled out
// queries stay on the old one until the new one covers every shard.

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

/** Names one snapshot: version and partitioning. Two maps under one version are two snapshots. */
struct SnapshotKey {
    std::int64_t version{0};
    std::string shardMap;

    auto operator<=>(const SnapshotKey &) const = default;
};

/** Who can serve each shard of a snapshot. Fixed for the life of a query. */
struct SnapshotView {
    SnapshotKey key;
    /** Indexed by shard. */
    std::vector<std::vector<BackendId>> replicas;
    /** Shards with at least one usable replica. */
    std::size_t coveredShards{0};
    /** Usable replicas of all shards. */
    std::size_t usableReplicas{0};

    [[nodiscard]] bool isCoverable() const;
    [[nodiscard]] std::int32_t shardCount() const;
};

/** When to move to a newer snapshot. */
struct SnapshotChooserOptions {
    /** Share of the present snapshot's replicas that a newer one needs to be taken at once. */
    double headroom{0.75};
    /** A newer snapshot that was coverable for this long is taken with any headroom. */
    Core::Duration patience{Core::seconds(10)};
};

/** Keeps the choice for each service. */
class SnapshotChooser
{
public:
    explicit SnapshotChooser(SnapshotChooserOptions options = {});

    /**
     * The snapshot for a new query, or nullptr when no backend server holds any
     * that is at least `minimumVersion`.
     */
    [[nodiscard]] std::shared_ptr<const SnapshotView> choose(
        const Core::ServiceName &service, const BackendTable &table, Core::Instant now, std::int64_t minimumVersion = 0);

    /** Versions that are announced with more than one shard map. */
    [[nodiscard]] std::vector<std::int64_t> conflictingVersions(const Core::ServiceName &service) const;

    /** The present choice, for the state dump. */
    [[nodiscard]] std::optional<SnapshotKey> chosen(const Core::ServiceName &service) const;

private:
    using Views = std::map<SnapshotKey, std::shared_ptr<SnapshotView>>;
    struct ServiceState {
        Views views;
        std::optional<SnapshotKey> chosen;
        /** Since when each snapshot has been coverable without a break. */
        std::map<SnapshotKey, Core::Instant> coverableSince;
        std::uint64_t generation{0};
        // Leases end without any change of the table, so views also age.
        Core::Instant builtAt;
        bool built{false};
    };

    void rebuild(ServiceState &state, const Core::ServiceName &service, const BackendTable &table, Core::Instant now) const;
    void decide(ServiceState &state, Core::Instant now) const;
    [[nodiscard]] bool mayReplace(const ServiceState &state, const SnapshotView &newer, const SnapshotView &present, Core::Instant now) const;

    SnapshotChooserOptions options;
    std::map<Core::ServiceName, ServiceState> services;
};

}
