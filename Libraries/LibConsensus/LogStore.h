/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The log entries of one member, in memory and on disk, with the memberships that they carry. Elections and replication are in
// ReplicatedLog.h.

#pragma once

#include <LibCore/Result.h>
#include <LibProtocol/Generated/control_types.h>
#include <LibStorage/WriteAheadLog.h>

#include <deque>
#include <optional>
#include <vector>

namespace Consensus
{

/** A membership and the index from which it holds: that of its entry or of the snapshot; 0 for the empty membership before bootstrap. */
struct MembershipAtIndex {
    std::int64_t index{0};
    Protocol::Membership membership;
};

/** The latest snapshot and the entries that follow it. */
class LogStore
{
public:
    LogStore(Storage::WriteAheadLog &writeAheadLog, Storage::RecoveredState recovered);

    [[nodiscard]] std::int64_t lastIndex() const;
    [[nodiscard]] std::int64_t lastTerm() const;
    [[nodiscard]] std::int64_t snapshotIndex() const;
    [[nodiscard]] const std::optional<Protocol::StoredSnapshot> &snapshot() const;

    /** The term of the entry at an index, or nothing when the index is before the snapshot or after the last entry. */
    [[nodiscard]] std::optional<std::int64_t> termAt(std::int64_t index) const;

    /** The entry at an index, which has to be after the snapshot and not after the last entry. */
    [[nodiscard]] const Protocol::LogEntry &entryAt(std::int64_t index) const;

    /** The entries from an index on, up to about `maximumBytes`. The first entry is always included, even when it is larger. */
    [[nodiscard]] std::vector<Protocol::LogEntry> entriesFrom(std::int64_t index, std::size_t maximumBytes) const;

    /** Appends an entry, whose index has to follow the last one. The entry is on disk after the next flush of the write-ahead log. */
    void append(const Protocol::LogEntry &entry);

    /** Removes all entries from an index on. */
    void truncateFrom(std::int64_t index);

    /** The membership of the last entry that carries one, committed or not. */
    [[nodiscard]] const Protocol::Membership &membership() const;
    [[nodiscard]] std::int64_t membershipIndex() const;
    /** The membership that holds at an index. */
    [[nodiscard]] const Protocol::Membership &membershipAt(std::int64_t index) const;

    /** Replaces all entries up to an index by a snapshot of `state`. The entry at the index has to be stored. */
    [[nodiscard]] Core::Result<void> compact(std::int64_t index, std::string state, std::int64_t term, const std::string &votedFor);

    /**
     * Replaces the snapshot, and the entries that it covers, by another snapshot, such as one that was received from the leader. Entries after it stay if the
     * log holds its last entry, since they may have been acknowledged; otherwise they are removed.
     */
    [[nodiscard]] Core::Result<void> install(Protocol::StoredSnapshot snapshot, std::int64_t term, const std::string &votedFor);

private:
    [[nodiscard]] std::size_t positionOf(std::int64_t index) const;

    Storage::WriteAheadLog &writeAheadLog;
    std::optional<Protocol::StoredSnapshot> latestSnapshot;
    // Invariant: the indices are consecutive, and the first one follows the snapshot.
    std::deque<Protocol::LogEntry> entries;
    // Invariant: never empty, in ascending order of index; the first one is the membership at the snapshot.
    std::vector<MembershipAtIndex> memberships;
};

}
