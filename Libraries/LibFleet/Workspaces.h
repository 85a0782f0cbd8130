/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The workspaces that a declaration names, and which one a caller's API key
// belongs to. Keys are kept as digests only.

#pragma once

#include <LibCore/Result.h>
#include <LibCore/StrongValue.h>
#include <LibFleet/Regions.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Fleet
{

/** Name of a workspace: whose requests these are. */
using WorkspaceName = Core::StrongValue<struct WorkspaceNameTag, std::string>;

/** A caller's secret. Never logged, sent on, or part of an error. */
using ApiKey = Core::StrongValue<struct ApiKeyTag, std::string>;

/** SHA-256 of an API key. */
using ApiKeyDigest = std::array<std::uint8_t, 32>;

[[nodiscard]] ApiKeyDigest digestOf(const ApiKey &key);

/** How many requests a workspace may send, over all gateways together. */
struct Quota {
    /** In the long run; 0 where nothing bounds it. */
    double requestsPerSecond{0.0};
    /** Above that, at once. */
    double burst{0.0};

    [[nodiscard]] bool isBounded() const
    {
        return this->requestsPerSecond > 0.0;
    }

    auto operator<=>(const Quota &) const = default;
};

/** One workspace, without its keys. */
struct Workspace {
    WorkspaceName name;
    /** 0 is most urgent; goes before the priority of a route. */
    int priority{0};
    Quota quota;
    /** Where its requests may be served; what a route allows binds, too. */
    AllowedRegions allowedRegions;
};

/**
 * Finds workspaces by key and by name. A look-up compares digests, so the time that it takes depends on the digest of what the caller sent and says
 * nothing of a key that the caller does not hold.
 */
class WorkspaceTable
{
public:
    WorkspaceTable() = default;

    /** Fails with InvalidInput when the name is there already or another workspace has one of the keys; the table is of no use then. */
    [[nodiscard]] Core::Result<void> add(Workspace workspace, const std::vector<ApiKey> &keys);

    /** The workspace that holds the key, or nullptr. */
    [[nodiscard]] const Workspace *holderOf(const ApiKey &key) const;

    /** The workspace of that name, or nullptr. */
    [[nodiscard]] const Workspace *find(const WorkspaceName &name) const;

    /** All of them, in the order in which they were added. */
    [[nodiscard]] const std::vector<std::shared_ptr<const Workspace>> &all() const;

private:
    // A digest is uniformly distributed, so any of its bytes will do.
    struct DigestHash {
        std::size_t operator()(const ApiKeyDigest &digest) const noexcept
        {
            std::size_t hash = 0;
            std::memcpy(&hash, digest.data(), sizeof hash);
            return hash;
        }
    };

    std::vector<std::shared_ptr<const Workspace>> workspaces;
    std::unordered_map<WorkspaceName, const Workspace *> byName;
    std::unordered_map<ApiKeyDigest, const Workspace *, DigestHash> byKey;
};

}
