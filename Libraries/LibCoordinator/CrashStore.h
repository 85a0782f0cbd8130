/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Stores the crash records of suspects on a coordinator's own disk. After a loss of
// power on all machines no process knows any of them, and a request that crashes
// backend servers would have to crash several of them again until it is quarantined.
// What is read may be out of date, which is no more than a report that is late.

#pragma once

#include <LibFleet/CrashLedger.h>
#include <LibStorage/Folder.h>

namespace Coordinator
{

/** Writes the records of suspects to a file, all at once, and reads them back. */
class CrashStore
{
public:
    /** Merges the records that were last written into the ledger. An unreadable or damaged file is logged and gives none. */
    void load(Storage::Folder &folder, Fleet::CrashLedger &crashes, Core::Instant now, Core::WallTime wallTime);

    [[nodiscard]] bool hasUnwritten(const Fleet::CrashLedger &crashes) const;

    /** Replaces the file. After a failure hasUnwritten() stays true. */
    [[nodiscard]] Core::Result<void> write(Storage::Folder &folder, const Fleet::CrashLedger &crashes, Core::Instant now, Core::WallTime wallTime);

private:
    // Position of the latest change in the file.
    std::int64_t writtenPosition{0};
};

}
