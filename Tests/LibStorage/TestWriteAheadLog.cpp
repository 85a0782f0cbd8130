/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the write-ahead log on a fake folder that can fail and lose bytes, and of the folder on disk.

#include <Support/FakeFolder.h>

#include <LibStorage/PosixFolder.h>
#include <LibStorage/WriteAheadLog.h>

#include <criterion/criterion.h>
#include <filesystem>
#include <memory>

using Storage::WriteAheadLog;
using TestSupport::FakeFolder;

static Protocol::LogEntry makeEntry(std::int64_t index, const std::string &command = "command")
{
    Protocol::LogEntry entry;
    entry.index = index;
    entry.term = 1;
    entry.command = command;
    return entry;
}

static std::unique_ptr<WriteAheadLog> openLog(Storage::Folder &folder)
{
    auto log = WriteAheadLog::create(folder);
    cr_assert(log.has_value(), "%s", log.has_value() ? "" : log.error().message.c_str());
    return std::move(log.value());
}

static void writeEntries(WriteAheadLog &log, std::int64_t first, std::int64_t last)
{
    for (std::int64_t index = first; index <= last; ++index) {
        log.queueEntry(makeEntry(index));
        cr_assert(log.flush().has_value());
    }
}

Test(WriteAheadLog, recoversFlushedRecords)
{
    FakeFolder folder;
    std::string identity;
    {
        auto log = openLog(folder);
        identity = log->takeRecoveredState().storageId;
        log->queueVote(7, "somebody");
        writeEntries(*log, 1, 5);
        log->queueTruncation(4);
        log->queueEntry(makeEntry(4, "other"));
        cr_assert(log->flush().has_value());
    }
    const auto state = openLog(folder)->takeRecoveredState();
    cr_expect_eq(state.storageId, identity);
    cr_expect_eq(state.term, 7);
    cr_expect_eq(state.votedFor, "somebody");
    cr_assert_eq(state.entries.size(), 4U);
    cr_expect_eq(state.entries.back().command, "other");
}

// Guards against entries and votes that a restarted member acknowledges although only the page cache holds them: a process that was killed had written but not
// synced them, and a later loss of power drops them.
Test(WriteAheadLog, recoveredRecordsOutliveALossOfPower)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        FakeFolder folder;
        std::mt19937_64 random(seed);
        {
            auto killed = openLog(folder);
            writeEntries(*killed, 1, 2);
            killed->queueVote(7, "somebody");
            killed->queueEntry(makeEntry(3));
            folder.failAfter(1);
            cr_assert_not(killed->flush().has_value());
        }
        folder.failNever();
        const auto recovered = openLog(folder)->takeRecoveredState();
        folder.crash(random);
        const auto afterwards = openLog(folder)->takeRecoveredState();
        cr_assert_eq(afterwards.entries.size(), recovered.entries.size(), "seed %d", static_cast<int>(seed));
        cr_assert_eq(afterwards.votedFor, recovered.votedFor, "seed %d", static_cast<int>(seed));
    }
}

Test(WriteAheadLog, truncatesATornLastBatchOfAnyLength)
{
    FakeFolder intact;
    auto log = openLog(intact);
    writeEntries(*log, 1, 3);
    const std::string name = intact.list().value().front();
    const std::size_t durable = intact.size(name);
    log->queueEntry(makeEntry(4));
    cr_assert(log->flush().has_value());
    const std::string bytes = intact.read(name).value();
    for (std::size_t length = durable; length < bytes.size(); ++length) {
        FakeFolder torn;
        cr_assert(torn.replace(name, bytes.substr(0, length)).has_value());
        const auto state = openLog(torn)->takeRecoveredState();
        cr_expect_eq(state.entries.size(), 3U, "truncated at %zu", length);
        cr_expect_eq(state.tornBytes, length - durable);
    }
}

Test(WriteAheadLog, rejectsEverySingleBitFlip)
{
    FakeFolder original;
    writeEntries(*openLog(original), 1, 3);
    const std::string name = original.list().value().front();
    const std::string bytes = original.read(name).value();
    for (std::size_t position = 0; position < bytes.size(); ++position) {
        for (unsigned bit = 0; bit < 8; ++bit) {
            FakeFolder corrupted;
            cr_assert(corrupted.replace(name, bytes).has_value());
            corrupted.flipBit(name, position, bit);
            const auto log = WriteAheadLog::create(corrupted);
            cr_assert(!log.has_value(), "flipped bit not detected: byte %zu bit %u", position, bit);
            cr_expect_eq(static_cast<int>(log.error().kind), static_cast<int>(Core::ErrorKind::Corruption));
        }
    }
}

Test(WriteAheadLog, treatsAZeroFilledTailAsTorn)
{
    FakeFolder folder;
    writeEntries(*openLog(folder), 1, 2);
    const std::string name = folder.list().value().front();
    const std::string bytes = folder.read(name).value();
    cr_assert(folder.replace(name, bytes + std::string(500, '\0')).has_value());
    const auto state = openLog(folder)->takeRecoveredState();
    cr_expect_eq(state.entries.size(), 2U);
    cr_expect_eq(state.tornBytes, 500U);
}

Test(WriteAheadLog, staysFailedAfterAFailedWriteOrSync)
{
    for (const int operations : {0, 1}) {
        FakeFolder folder;
        auto log = openLog(folder);
        folder.failAfter(operations);
        log->queueEntry(makeEntry(1));
        cr_expect(!log->flush().has_value());
        folder.failNever();
        log->queueEntry(makeEntry(1));
        cr_expect(!log->flush().has_value(), "a failed log must stay failed");
        cr_expect(!log->failureMessage().empty());
    }
}

Test(WriteAheadLog, recoversFromACrashBetweenAnyTwoCompactionSteps)
{
    for (int operations = 0; operations <= 5; ++operations) {
        FakeFolder folder;
        std::string identity;
        bool compacted = false;
        {
            auto log = openLog(folder);
            identity = log->takeRecoveredState().storageId;
            writeEntries(*log, 1, 6);
            Protocol::StoredSnapshot snapshot;
            snapshot.index = 4;
            snapshot.term = 1;
            snapshot.state = "state";
            folder.failAfter(operations);
            compacted = log->compact(snapshot, 1, "vote", {makeEntry(5), makeEntry(6)}).has_value();
        }
        folder.failNever();
        const auto state = openLog(folder)->takeRecoveredState();
        cr_expect_eq(state.storageId, identity);
        cr_assert(!state.entries.empty());
        cr_expect_eq(state.entries.back().index, 6, "after %d steps", operations);
        const bool intact = state.snapshot.has_value() ? state.snapshot->index == 4 && state.entries.size() == 2 : state.entries.size() == 6;
        cr_expect(intact, "after %d steps", operations);
        cr_expect(!compacted || state.snapshot.has_value());
    }
}

Test(PosixFolder, keepsFilesAndRejectsASecondOpen)
{
    const auto path = std::filesystem::temp_directory_path() / ("crankrudder-test-" + std::to_string(getpid()));
    {
        const auto folder = Storage::PosixFolder::create(path.string());
        cr_assert(folder.has_value());
        cr_expect(!Storage::PosixFolder::create(path.string()).has_value(), "the same folder was opened twice");
        auto log = openLog(*folder.value());
        writeEntries(*log, 1, 3);
    }
    const auto folder = Storage::PosixFolder::create(path.string());
    cr_assert(folder.has_value());
    cr_expect_eq(openLog(*folder.value())->takeRecoveredState().entries.size(), 3U);
    std::filesystem::remove_all(path);
}
