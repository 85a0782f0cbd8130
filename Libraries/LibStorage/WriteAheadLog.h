/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The write-ahead log of one control instance: what it voted, the entries that
// it holds, and the latest snapshot. docs/REPLICATED-LOG.md, "Storage", gives
// the file format and what each kind of damage leads to.

#pragma once

#include <LibProtocol/Generated/control_types.h>
#include <LibStorage/Folder.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Storage
{

/** What the folder held at the start. */
struct RecoveredState {
    /** Made when the folder was first used; never empty. */
    std::string storageId;
    std::int64_t term{0};
    /** Empty when no vote was given in this term. */
    std::string votedFor;
    std::optional<Protocol::StoredSnapshot> snapshot;
    /** Invariant: consecutive, the first one follows the snapshot. */
    std::vector<Protocol::LogEntry> entries;
    /** Bytes of an unfinished last write that were cut off. */
    std::uint64_t tornBytes{0};
};

/** Appends in batches. Once a write or sync has failed, the log refuses everything until the folder is read again by a new process. */
class WriteAheadLog
{
public:
    /** Reads the folder. Fails with Corruption when stored bytes changed, and with Storage when they can't be read. */
    [[nodiscard]] static Core::Result<std::unique_ptr<WriteAheadLog>> create(Folder &folder);

    /** What was found. Valid until take() moves it out. */
    [[nodiscard]] RecoveredState takeRecoveredState();

    /** Queue records; nothing is on disk before flush(). */
    void putEntry(const Protocol::LogEntry &entry);
    void putTruncation(std::int64_t fromIndex);
    void putVote(std::int64_t term, const std::string &votedFor);

    [[nodiscard]] bool hasUnflushed() const;

    /** Writes all queued records as one batch and syncs it once. */
    [[nodiscard]] Core::Result<void> flush();

    /** Replaces everything by a snapshot, the vote and the entries that follow the snapshot. */
    [[nodiscard]] Core::Result<void> compact(
        const Protocol::StoredSnapshot &snapshot, std::int64_t term, const std::string &votedFor, const std::vector<Protocol::LogEntry> &entries);

    /** Empty while the storage is trusted. */
    [[nodiscard]] const std::string &failureMessage() const;

    [[nodiscard]] std::uint64_t syncCount() const;
    [[nodiscard]] std::uint64_t bytesWritten() const;

private:
    explicit WriteAheadLog(Folder &folder);
    [[nodiscard]] Core::Result<void> recover();
    [[nodiscard]] Core::Result<void> startNewFolder();
    [[nodiscard]] Core::Result<void> readSnapshot(const std::string &name);
    [[nodiscard]] Core::Result<void> readLog(const std::string &name);
    [[nodiscard]] Core::Result<void> replayBatch(std::string_view batch);
    [[nodiscard]] Core::Result<void> replayRecord(const Protocol::StorageRecord &record);
    [[nodiscard]] Core::Result<void> replayEntry(const Protocol::LogEntry &entry);
    [[nodiscard]] Core::Result<void> removeOldGenerations(const std::vector<std::string> &names);
    void queueRecord(const Protocol::StorageRecord &record);
    [[nodiscard]] Core::Result<void> remember(Core::Result<void> outcome);

    Folder &folder;
    RecoveredState recovered;
    // Invariant: the snapshot and log files of this generation belong together.
    std::uint64_t generation{0};
    std::string queued;
    std::string storageId;
    std::string failure;
    std::uint64_t syncs{0};
    std::uint64_t written{0};
};

}
