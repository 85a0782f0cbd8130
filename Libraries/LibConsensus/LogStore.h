/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The entries that one control instance holds, in memory and on disk, with the
// memberships that they carry. Knows nothing of terms of office or of peers.

#pragma once

#include <LibCore/Result.h>
#include <LibProtocol/Generated/control_types.h>
#include <LibStorage/WriteAheadLog.h>

#include <deque>
#include <optional>
#include <vector>

namespace Consensus
{

/** A membership and the entry that brought it; index 0 when a snapshot did. */
struct MembershipAtIndex {
    std::int64_t index{0};
    Protocol::Membership membership;
};

/** Entries after the latest snapshot, and that snapshot. */
class LogStore
{
public:
    LogStore(Storage::WriteAheadLog &writeAheadLog, Storage::RecoveredState recovered);

    [[nodiscard]] std::int64_t lastIndex() const;
    [[nodiscard]] std::int64_t lastTerm() const;
    [[nodiscard]] std::int64_t snapshotIndex() const;
    [[nodiscard]] const std::optional<Protocol::StoredSnapshot> &snapshot() const;

    /** The term of an entry; nothing when it lies before the snapshot or after the end. */
    [[nodiscard]] std::optional<std::int64_t> termAt(std::int64_t index) const;

    /** The entry must be held. */
    [[nodiscard]] const Protocol::LogEntry &entryAt(std::int64_t index) const;

    /** Up to `maximumBytes` of entries, at least one if there is one. */
    [[nodiscard]] std::vector<Protocol::LogEntry> entriesFrom(std::int64_t index, std::size_t maximumBytes) const;

    /** Queues an entry that follows the last one. */
    void append(const Protocol::LogEntry &entry);

    /** Drops all entries from an index on. */
    void truncateFrom(std::int64_t index);

    /** The members according to the last entry that names them, committed or not. */
    [[nodiscard]] const Protocol::Membership &membership() const;
    [[nodiscard]] std::int64_t membershipIndex() const;
    /** The members as of an index. */
    [[nodiscard]] const Protocol::Membership &membershipAt(std::int64_t index) const;

    /** Puts a state in the place of all entries up to an index that is held. */
    [[nodiscard]] Core::Result<void> compact(std::int64_t index, std::string state, std::int64_t term, const std::string &votedFor);

    /** Puts a snapshot from elsewhere in the place of everything. */
    [[nodiscard]] Core::Result<void> install(Protocol::StoredSnapshot snapshot, std::int64_t term, const std::string &votedFor);

private:
    [[nodiscard]] std::size_t positionOf(std::int64_t index) const;

    Storage::WriteAheadLog &writeAheadLog;
    std::optional<Protocol::StoredSnapshot> latestSnapshot;
    // Invariant: consecutive; the first one follows the snapshot.
    std::deque<Protocol::LogEntry> entries;
    // Invariant: never empty, ascending; the first one holds at the snapshot.
    std::vector<MembershipAtIndex> memberships;
};

}
