/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Stores the backend servers, or the gateways, on a coordinator's own disk: the ready
// ones and, as long as the registry remembers them, those that have left.
//
// Ready backend servers are stored for the time after a loss of power on all
// machines, when no process knows any backend server. Receiving a heartbeat from
// each of them takes a whole heartbeat period, and until then searches would lack
// shards. This part may be out of date: the latest changes may be lost, and each
// restored record has to be confirmed by a heartbeat within the unconfirmed
// timeout (BackendRegistry::restore()).
//
// Departures are stored since a coordinator acknowledges them to the backend
// servers (DepartureReplication). Without them a restarted coordinator would take a
// backend server that has left for ready.

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
    explicit RegistryStore(std::string fileName = "backends");

    /**
     * Reads the backend servers of the file. A missing file has none; a damaged file is read up to the damage, before which lies all that a flush() has
     * synced. Fails with Storage when the file can't be read; it must not be written then, since that would replace what it holds.
     */
    [[nodiscard]] Core::Result<std::vector<Protocol::BackendAnnouncement>> load(Storage::Folder &folder);

    /** Collects a change of a backend server. Has to be called for each change. */
    void addChange(const Protocol::BackendAnnouncement &announcement);

    /** Drops a backend server that the registry no longer remembers. It stays in the file until that is rewritten. */
    void forget(const std::string &id);

    /** Whether all collected changes are on disk, so that they outlive a loss of power. */
    [[nodiscard]] bool isDurable() const;

    /** Writes the collected changes and syncs the file. After a failure the next call rewrites the whole file. */
    [[nodiscard]] Core::Result<void> flush(Storage::Folder &folder);

    /** Whether load() has found the file, also if it has no backend servers. */
    [[nodiscard]] bool wasFound() const;

    /** Writes that were synced since the start. */
    [[nodiscard]] std::uint64_t syncCount() const;

private:
    [[nodiscard]] Core::Result<void> append(Storage::Folder &folder);
    [[nodiscard]] Core::Result<void> rewrite(Storage::Folder &folder);
    void apply(const Protocol::BackendAnnouncement &announcement);

    std::string fileName;
    bool isFound{false};
    // The stored backend servers by id, including unwritten changes.
    std::map<std::string, Protocol::BackendAnnouncement> stored;
    std::string unwritten;
    // Length of the file, and the length that a file with the stored backend servers only would have.
    std::size_t fileBytes{0};
    std::size_t storedBytes{0};
    // Set until the file is known to hold all earlier changes durably. What a process wrote before it was killed can be read by the next one although it was
    // not synced.
    bool mustRewrite{true};
    std::uint64_t syncs{0};
};

}
