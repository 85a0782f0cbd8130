/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The workspaces of a declaration, and the look-up of the workspace to which a
// caller's API key belongs. API keys are stored as digests only.

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

/** Name of a workspace, on whose behalf requests are sent. */
using WorkspaceName = Core::StrongValue<struct WorkspaceNameTag, std::string>;

/** A caller's API key. It is secret: it is never logged, forwarded or included in an error. */
using ApiKey = Core::StrongValue<struct ApiKeyTag, std::string>;

/** SHA-256 of an API key. */
using ApiKeyDigest = std::array<std::uint8_t, 32>;

[[nodiscard]] ApiKeyDigest digestOf(const ApiKey &key);

/** The rate of requests that a workspace may send to all gateways together. */
struct Quota {
    /** The average rate; 0 means unbounded. */
    double requestsPerSecond{0.0};
    /** Requests that may be sent at once in excess of the average rate. */
    double burst{0.0};

    [[nodiscard]] bool isBounded() const
    {
        return this->requestsPerSecond > 0.0;
    }

    auto operator<=>(const Quota &) const = default;
};

/** One workspace, without its API keys. */
struct Workspace {
    WorkspaceName name;
    /** 0 is most urgent. Requests are ordered by this priority before that of the route. */
    int priority{0};
    Quota quota;
    /** Regions in which the workspace's requests may be served. The route has to allow the region, too. */
    AllowedRegions allowedRegions;
};

/**
 * Finds workspaces by API key and by name. A look-up by key compares digests, so its duration depends on the digest of what the caller sent and reveals
 * nothing about keys that the caller does not have.
 */
class WorkspaceTable
{
public:
    WorkspaceTable() = default;

    /** Fails with InvalidInput when a workspace with the same name or one of the keys was added before; the table must not be used afterwards. */
    [[nodiscard]] Core::Result<void> add(Workspace workspace, const std::vector<ApiKey> &keys);

    /** The workspace to which the key belongs, or nullptr. */
    [[nodiscard]] const Workspace *holderOf(const ApiKey &key) const;

    /** The workspace with this name, or nullptr. */
    [[nodiscard]] const Workspace *find(const WorkspaceName &name) const;

    /** All workspaces, in the order in which they were added. */
    [[nodiscard]] const std::vector<std::shared_ptr<const Workspace>> &all() const;

private:
    // A digest is uniformly distributed, so its first bytes serve as the hash.
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
