/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/Workspaces.h>

#include <glib.h>

namespace Fleet
{

ApiKeyDigest digestOf(const ApiKey &key)
{
    ApiKeyDigest digest{};
    gsize length = digest.size();
    const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> checksum(g_checksum_new(G_CHECKSUM_SHA256), &g_checksum_free);
    const std::string &text = key.value();
    g_checksum_update(checksum.get(), reinterpret_cast<const guchar *>(text.data()), static_cast<gssize>(text.size()));
    g_checksum_get_digest(checksum.get(), digest.data(), &length);
    return digest;
}

Core::Result<void> WorkspaceTable::add(Workspace workspace, const std::vector<ApiKey> &keys)
{
    const auto row = std::make_shared<const Workspace>(std::move(workspace));
    if (!this->byName.emplace(row->name, row.get()).second) {
        return Core::failure(Core::ErrorKind::InvalidInput, "two workspaces are named " + row->name.value());
    }
    this->workspaces.push_back(row);
    for (const auto &key : keys) {
        const auto [place, isNew] = this->byKey.emplace(digestOf(key), row.get());
        if (!isNew && place->second != row.get()) {
            return Core::failure(Core::ErrorKind::InvalidInput, "workspaces " + place->second->name.value() + " and " + row->name.value() + " share a key");
        }
    }
    return {};
}

const Workspace *WorkspaceTable::holderOf(const ApiKey &key) const
{
    const auto found = this->byKey.find(digestOf(key));
    return found == this->byKey.end() ? nullptr : found->second;
}

const Workspace *WorkspaceTable::find(const WorkspaceName &name) const
{
    const auto found = this->byName.find(name);
    return found == this->byName.end() ? nullptr : found->second;
}

const std::vector<std::shared_ptr<const Workspace>> &WorkspaceTable::all() const
{
    return this->workspaces;
}

}
