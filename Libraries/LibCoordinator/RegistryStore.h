/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The ready backend servers on a coordinator's own disk. After a loss of power
// everywhere nobody knows one, and their heartbeats bring them back only over a
// whole period; until then searches would lack shards.
//
// It is a hint and no promise: what was written last may be lost, and what is
// read has to be confirmed by a heartbeat soon (BackendRegistry::restore()).

#pragma once

#include <LibProtocol/Generated/fleet_types.h>
#include <LibStorage/Folder.h>

#include <map>
#include <string>
#include <vector>

namespace Coordinator
{

/** Collects changes and writes them when told to. */
class RegistryStore
{
public:
    /** The backend servers that were ready when the file was last written; none when it can't be read. */
    [[nodiscard]] std::vector<Protocol::BackendAnnouncement> load(Storage::Folder &folder);

    /** To be called for each change of a backend server. */
    void note(const Protocol::BackendAnnouncement &announcement);

    [[nodiscard]] bool hasUnwritten() const;

    /** Writes what was noted and syncs it. After a failure the whole file is written anew the next time. */
    [[nodiscard]] Core::Result<void> flush(Storage::Folder &folder);

private:
    [[nodiscard]] Core::Result<void> append(Storage::Folder &folder);
    [[nodiscard]] Core::Result<void> rewrite(Storage::Folder &folder);
    void apply(const Protocol::BackendAnnouncement &announcement);

    // The ready ones, by id.
    std::map<std::string, Protocol::BackendAnnouncement> ready;
    std::string unwritten;
    // Of the file and of a file that held the ready ones only.
    std::size_t fileBytes{0};
    std::size_t readyBytes{0};
    bool mustRewrite{true};
};

}
