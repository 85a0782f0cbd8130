/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/CrashStore.h>

#include <LibCore/Log.h>
#include <LibRpc/Serialization.h>
#include <LibStorage/Batch.h>

#include <algorithm>

namespace Coordinator
{

static constexpr const char *FileName = "crashes";

static Core::Result<Protocol::StoredCrashes> readFile(Storage::Folder &folder)
{
    const auto content = folder.read(FileName);
    if (!content.has_value()) {
        return tl::make_unexpected(content.error());
    }
    if (Storage::examineBatch(content.value()) != Storage::BatchState::Intact) {
        return Core::failure(Core::ErrorKind::Corruption, "the file is damaged");
    }
    return Rpc::deserialize<Protocol::StoredCrashes>(Storage::batchContent(content.value()));
}

void CrashStore::load(Storage::Folder &folder, Fleet::CrashLedger &crashes, Core::Instant now, Core::WallTime wallTime)
{
    auto stored = readFile(folder);
    if (!stored.has_value()) {
        if (stored.error().kind != Core::ErrorKind::NotFound) {
            Core::logEvent(Core::LogLevel::Warning, "crashes.unreadable", {{"error", stored.error().message}});
        }
        return;
    }
    // A wall clock that was set back must not make crashes seem to lie in the future.
    const auto sinceWritten = std::max<std::int64_t>(0, wallTime.count() - stored->writtenAt);
    for (const auto &record : stored->records) {
        crashes.merge(record, now - Core::milliseconds(sinceWritten));
    }
    this->writtenPosition = crashes.position(Fleet::CrashRecords::Shared);
    Core::logEvent(Core::LogLevel::Information, "crashes.restored", {{"records", stored->records.size()}, {"written_ms_ago", sinceWritten}});
}

bool CrashStore::hasUnwritten(const Fleet::CrashLedger &crashes) const
{
    return this->writtenPosition < crashes.position(Fleet::CrashRecords::Shared);
}

Core::Result<void> CrashStore::write(Storage::Folder &folder, const Fleet::CrashLedger &crashes, Core::Instant now, Core::WallTime wallTime)
{
    Protocol::StoredCrashes stored;
    stored.writtenAt = wallTime.count();
    stored.records = crashes.changedSince(0, Fleet::CrashRecords::Shared, now);
    const auto replaced = folder.replace(FileName, Storage::frameBatch(Rpc::serialize(stored)));
    if (replaced.has_value()) {
        this->writtenPosition = crashes.position(Fleet::CrashRecords::Shared);
    }
    return replaced;
}

}
