/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Stores the ready backend servers on a coordinator's own disk. After a loss of
// power on all machines no process knows any backend server, and receiving a
// heartbeat from each of them takes a whole heartbeat period; until then searches
// would lack shards.
//
// The stored state may be out of date: the latest changes may be lost, and each
// restored record has to be confirmed by a heartbeat within the unconfirmed
// timeout (BackendRegistry::restore()).

#pragma once

#include <LibProtocol/Generated/fleet_types.h>
#include <LibStorage/Folder.h>

#include <map>
#include <string>
#include <vector>

namespace Coordinator
{

/** Collects changes of backend servers in memory and appends them to a file with flush(). */
class RegistryStore
{
public:
    /** Reads the backend servers that were ready when the file was last written. An unreadable file gives none; a damaged file is read up to the damage. */
    [[nodiscard]] std::vector<Protocol::BackendAnnouncement> load(Storage::Folder &folder);

    /** Collects a change of a backend server. Has to be called for each change. */
    void addChange(const Protocol::BackendAnnouncement &announcement);

    [[nodiscard]] bool hasUnwritten() const;

    /** Writes the collected changes and syncs the file. After a failure the next call rewrites the whole file. */
    [[nodiscard]] Core::Result<void> flush(Storage::Folder &folder);

private:
    [[nodiscard]] Core::Result<void> append(Storage::Folder &folder);
    [[nodiscard]] Core::Result<void> rewrite(Storage::Folder &folder);
    void apply(const Protocol::BackendAnnouncement &announcement);

    // The ready backend servers by id, including unwritten changes.
    std::map<std::string, Protocol::BackendAnnouncement> ready;
    std::string unwritten;
    // Length of the file, and the length that a file with the ready backend servers only would have.
    std::size_t fileBytes{0};
    std::size_t readyBytes{0};
    bool mustRewrite{true};
};

}
