/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The write-ahead log of one member of the replicated log. It stores the member's votes, its log entries and the latest snapshot.
// docs/REPLICATED-LOG.md, "Storage", describes the file format and what happens on each kind of damage.

#pragma once

#include <LibProtocol/Generated/control_types.h>
#include <LibStorage/Folder.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Storage
{

/** The state that was read from the folder at the start. */
struct RecoveredState {
    /** Random identifier of the folder, created when it was first used; never empty. */
    std::string storageId;
    std::int64_t term{0};
    /** Storage id of the candidate that got this member's vote in the term, or empty when it has not voted. */
    std::string votedFor;
    std::optional<Protocol::StoredSnapshot> snapshot;
    /** Invariant: the indices are consecutive, and the first one follows the snapshot. */
    std::vector<Protocol::LogEntry> entries;
    /** Number of bytes of a torn last batch, which were truncated from the log file. */
    std::uint64_t tornBytes{0};
};

/** Appends records in batches. After a failed write or sync, all further writes fail until a new process has read the folder again. */
class WriteAheadLog
{
public:
    /** Recovers the state from the folder. Fails with Corruption when stored bytes have changed, and with Storage when they can't be read. */
    [[nodiscard]] static Core::Result<std::unique_ptr<WriteAheadLog>> create(Folder &folder);

    /** Moves out the recovered state; has to be called once only. */
    [[nodiscard]] RecoveredState takeRecoveredState();

    /** Queues a log entry. As with the other queued records, nothing is on disk before flush(). */
    void queueEntry(const Protocol::LogEntry &entry);
    /** Queues the removal of all entries from an index on. */
    void queueTruncation(std::int64_t fromIndex);
    /** Queues the current term and the vote given in it. */
    void queueVote(std::int64_t term, const std::string &votedFor);

    [[nodiscard]] bool hasUnflushedRecords() const;

    /** Writes all queued records as one batch and syncs it once. */
    [[nodiscard]] Core::Result<void> flush();

    /** Replaces all files by new ones with a snapshot, the vote and the entries that follow the snapshot. Queued records are discarded. */
    [[nodiscard]] Core::Result<void> compact(
        const Protocol::StoredSnapshot &snapshot, std::int64_t term, const std::string &votedFor, const std::vector<Protocol::LogEntry> &entries);

    /** The error of the write or sync that failed, or empty. */
    [[nodiscard]] const std::string &failureMessage() const;

    [[nodiscard]] std::uint64_t syncCount() const;
    [[nodiscard]] std::uint64_t bytesWritten() const;

private:
    explicit WriteAheadLog(Folder &folder);
    [[nodiscard]] Core::Result<void> recover();
    [[nodiscard]] Core::Result<void> initializeFolder();
    [[nodiscard]] Core::Result<void> readSnapshot(const std::string &name);
    [[nodiscard]] Core::Result<void> readLog(const std::string &name);
    [[nodiscard]] Core::Result<void> replayBatch(std::string_view batch);
    [[nodiscard]] Core::Result<void> replayRecord(const Protocol::StorageRecord &record);
    [[nodiscard]] Core::Result<void> replayEntry(const Protocol::LogEntry &entry);
    [[nodiscard]] Core::Result<void> removeOldGenerations(const std::vector<std::string> &names);
    void queueRecord(const Protocol::StorageRecord &record);
    // Keeps the error of a failed outcome, which makes all later writes fail, and returns the outcome.
    [[nodiscard]] Core::Result<void> recordFailure(Core::Result<void> outcome);

    Folder &folder;
    RecoveredState recovered;
    // Number in the names of the current log and snapshot files. A compaction starts the next generation.
    // Invariant: the snapshot and log files of this generation belong together.
    std::uint64_t generation{0};
    std::string queuedRecords;
    std::string storageId;
    std::string failure;
    std::uint64_t syncs{0};
    std::uint64_t written{0};
};

}
