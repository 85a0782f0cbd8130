/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibStorage/WriteAheadLog.h>

#include <LibCore/Identity.h>
#include <LibCore/Settings.h>
#include <LibRpc/Serialization.h>
#include <LibStorage/Batch.h>

#include <fmt/core.h>

namespace Storage
{

static constexpr const char *LogPrefix = "log-";
static constexpr const char *SnapshotPrefix = "snapshot-";

static std::string fileName(const std::string &prefix, std::uint64_t generation)
{
    return fmt::format("{}{:016}", prefix, generation);
}

static std::uint64_t generationOf(const std::string &name, const std::string &prefix)
{
    const auto number = Core::parseInteger(std::string_view(name).substr(prefix.size()), 0, INT64_MAX);
    return number.has_value() ? static_cast<std::uint64_t>(number.value()) : 0;
}

WriteAheadLog::WriteAheadLog(Folder &folder) : folder(folder)
{
}

Core::Result<std::unique_ptr<WriteAheadLog>> WriteAheadLog::create(Folder &folder)
{
    std::unique_ptr<WriteAheadLog> log(new WriteAheadLog(folder));
    auto outcome = log->recover();
    if (!outcome.has_value()) {
        return tl::make_unexpected(outcome.error());
    }
    return log;
}

RecoveredState WriteAheadLog::takeRecoveredState()
{
    return std::move(this->recovered);
}

Core::Result<void> WriteAheadLog::recover()
{
    const auto names = this->folder.list();
    if (!names.has_value()) {
        return tl::make_unexpected(names.error());
    }
    // A compaction writes the log file after the snapshot, so the newest log file has the number of the newest complete generation.
    for (const auto &name : names.value()) {
        if (name.starts_with(LogPrefix)) {
            this->generation = std::max(this->generation, generationOf(name, LogPrefix));
        }
    }
    if (this->generation == 0) {
        return this->initializeFolder();
    }
    for (const auto &name : names.value()) {
        if (name == fileName(SnapshotPrefix, this->generation)) {
            auto outcome = this->readSnapshot(name);
            if (!outcome.has_value()) {
                return outcome;
            }
        }
    }
    const auto logName = fileName(LogPrefix, this->generation);
    auto outcome = this->readLog(logName);
    if (!outcome.has_value()) {
        return outcome;
    }
    // An earlier process may have been killed between a write and its sync. What was read is treated as durable from here on, so it has to be.
    auto synced = this->folder.sync(logName);
    if (!synced.has_value()) {
        return synced;
    }
    if (this->recovered.storageId.empty()) {
        return Core::failure(Core::ErrorKind::Corruption, "the log file does not begin with the storage id");
    }
    this->storageId = this->recovered.storageId;
    return this->removeOldGenerations(names.value());
}

Core::Result<void> WriteAheadLog::initializeFolder()
{
    this->generation = 1;
    this->storageId = Core::randomToken();
    this->recovered.storageId = this->storageId;
    Protocol::StorageRecord record;
    record.__set_storageId(this->storageId);
    this->queueRecord(record);
    // NOTE: replace() is atomic, so a crash leaves the first batch complete or no file at all, and never a partial storage id.
    const std::string batch = frameBatch(std::exchange(this->queuedRecords, {}));
    return this->folder.replace(fileName(LogPrefix, this->generation), batch);
}

Core::Result<void> WriteAheadLog::removeOldGenerations(const std::vector<std::string> &names)
{
    for (const auto &name : names) {
        const bool isOldLog = name.starts_with(LogPrefix) && generationOf(name, LogPrefix) != this->generation;
        const bool isOldSnapshot = name.starts_with(SnapshotPrefix) && generationOf(name, SnapshotPrefix) != this->generation;
        if (isOldLog || isOldSnapshot) {
            auto outcome = this->folder.remove(name);
            if (!outcome.has_value()) {
                return outcome;
            }
        }
    }
    return {};
}

Core::Result<void> WriteAheadLog::readSnapshot(const std::string &name)
{
    const auto content = this->folder.read(name);
    if (!content.has_value()) {
        return tl::make_unexpected(content.error());
    }
    const std::string_view bytes = content.value();
    // A snapshot file gets its name only when it is complete, so it can't be torn.
    if (examineBatch(bytes) != BatchState::Intact || batchContent(bytes).size() != bytes.size() - BatchHeaderBytes) {
        return Core::failure(Core::ErrorKind::Corruption, name + " is corrupt");
    }
    auto snapshot = Rpc::deserialize<Protocol::StoredSnapshot>(batchContent(bytes));
    if (!snapshot.has_value()) {
        return Core::failure(Core::ErrorKind::Corruption, name + ": " + snapshot.error().message);
    }
    this->recovered.snapshot = std::move(snapshot.value());
    return {};
}

Core::Result<void> WriteAheadLog::readLog(const std::string &name)
{
    const auto content = this->folder.read(name);
    if (!content.has_value()) {
        return tl::make_unexpected(content.error());
    }
    std::string_view rest = content.value();
    while (!rest.empty()) {
        const std::uint64_t offset = content.value().size() - rest.size();
        const BatchState state = examineBatch(rest);
        if (state == BatchState::Corrupt) {
            return Core::failure(Core::ErrorKind::Corruption, fmt::format("{} is corrupt at byte {}", name, offset));
        }
        if (state == BatchState::Torn) {
            this->recovered.tornBytes = rest.size();
            return this->folder.truncate(name, offset);
        }
        const auto batch = batchContent(rest);
        auto outcome = this->replayBatch(batch);
        if (!outcome.has_value()) {
            return outcome;
        }
        rest.remove_prefix(BatchHeaderBytes + batch.size());
    }
    return {};
}

Core::Result<void> WriteAheadLog::replayBatch(std::string_view batch)
{
    while (!batch.empty()) {
        const std::size_t length = batch.size() < NumberBytes ? batch.size() : numberAt(batch, 0);
        if (batch.size() < NumberBytes + length) {
            return Core::failure(Core::ErrorKind::Corruption, "a batch ends within a record");
        }
        const auto record = Rpc::deserialize<Protocol::StorageRecord>(batch.substr(NumberBytes, length));
        if (!record.has_value()) {
            return tl::make_unexpected(record.error());
        }
        auto outcome = this->replayRecord(record.value());
        if (!outcome.has_value()) {
            return outcome;
        }
        batch.remove_prefix(NumberBytes + length);
    }
    return {};
}

Core::Result<void> WriteAheadLog::replayRecord(const Protocol::StorageRecord &record)
{
    if (record.__isset.storageId) {
        this->recovered.storageId = record.storageId;
    }
    if (record.__isset.term) {
        this->recovered.term = record.term;
        this->recovered.votedFor = record.votedFor;
    }
    if (record.__isset.truncateFrom) {
        auto &entries = this->recovered.entries;
        while (!entries.empty() && entries.back().index >= record.truncateFrom) {
            entries.pop_back();
        }
    }
    if (record.__isset.entry) {
        return this->replayEntry(record.entry);
    }
    return {};
}

Core::Result<void> WriteAheadLog::replayEntry(const Protocol::LogEntry &entry)
{
    auto &entries = this->recovered.entries;
    const std::int64_t snapshotIndex = this->recovered.snapshot.has_value() ? this->recovered.snapshot->index : 0;
    const std::int64_t expected = entries.empty() ? snapshotIndex + 1 : entries.back().index + 1;
    if (entry.index != expected) {
        return Core::failure(Core::ErrorKind::Corruption, fmt::format("found entry {} where entry {} was expected", entry.index, expected));
    }
    entries.push_back(entry);
    return {};
}

void WriteAheadLog::queueRecord(const Protocol::StorageRecord &record)
{
    const std::string bytes = Rpc::serialize(record);
    appendNumber(this->queuedRecords, static_cast<std::uint32_t>(bytes.size()));
    this->queuedRecords += bytes;
}

void WriteAheadLog::queueEntry(const Protocol::LogEntry &entry)
{
    Protocol::StorageRecord record;
    record.__set_entry(entry);
    this->queueRecord(record);
}

void WriteAheadLog::queueTruncation(std::int64_t fromIndex)
{
    Protocol::StorageRecord record;
    record.__set_truncateFrom(fromIndex);
    this->queueRecord(record);
}

void WriteAheadLog::queueVote(std::int64_t term, const std::string &votedFor)
{
    Protocol::StorageRecord record;
    record.__set_term(term);
    record.__set_votedFor(votedFor);
    this->queueRecord(record);
}

bool WriteAheadLog::hasUnflushedRecords() const
{
    return !this->queuedRecords.empty();
}

Core::Result<void> WriteAheadLog::flush()
{
    if (!this->failure.empty()) {
        return Core::failure(Core::ErrorKind::Storage, this->failure);
    }
    if (this->queuedRecords.empty()) {
        return {};
    }
    const std::string name = fileName(LogPrefix, this->generation);
    const std::string batch = frameBatch(std::exchange(this->queuedRecords, {}));
    auto outcome = this->folder.append(name, batch);
    if (!outcome.has_value()) {
        return this->recordFailure(std::move(outcome));
    }
    this->written += batch.size();
    ++this->syncs;
    return this->recordFailure(this->folder.sync(name));
}

Core::Result<void> WriteAheadLog::compact(
    const Protocol::StoredSnapshot &snapshot, std::int64_t term, const std::string &votedFor, const std::vector<Protocol::LogEntry> &entries)
{
    if (!this->failure.empty()) {
        return Core::failure(Core::ErrorKind::Storage, this->failure);
    }
    const std::uint64_t next = this->generation + 1;
    auto outcome = this->folder.replace(fileName(SnapshotPrefix, next), frameBatch(Rpc::serialize(snapshot)));
    if (!outcome.has_value()) {
        return this->recordFailure(std::move(outcome));
    }
    this->queuedRecords.clear();
    Protocol::StorageRecord identity;
    identity.__set_storageId(this->storageId);
    this->queueRecord(identity);
    this->queueVote(term, votedFor);
    for (const auto &entry : entries) {
        this->queueEntry(entry);
    }
    outcome = this->folder.replace(fileName(LogPrefix, next), frameBatch(std::exchange(this->queuedRecords, {})));
    if (!outcome.has_value()) {
        return this->recordFailure(std::move(outcome));
    }
    const std::uint64_t old = std::exchange(this->generation, next);
    outcome = this->folder.remove(fileName(LogPrefix, old));
    if (!outcome.has_value()) {
        return this->recordFailure(std::move(outcome));
    }
    return this->recordFailure(this->folder.remove(fileName(SnapshotPrefix, old)));
}

Core::Result<void> WriteAheadLog::recordFailure(Core::Result<void> outcome)
{
    if (!outcome.has_value()) {
        this->failure = outcome.error().message;
    }
    return outcome;
}

const std::string &WriteAheadLog::failureMessage() const
{
    return this->failure;
}

std::uint64_t WriteAheadLog::syncCount() const
{
    return this->syncs;
}

std::uint64_t WriteAheadLog::bytesWritten() const
{
    return this->written;
}

}
