/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConsensus/LogStore.h>

namespace Consensus
{

// Estimate of the bytes that an entry takes in a message beside its command.
static constexpr std::size_t EntryOverheadBytes = 32;

LogStore::LogStore(Storage::WriteAheadLog &writeAheadLog, Storage::RecoveredState recovered)
    : writeAheadLog(writeAheadLog), latestSnapshot(std::move(recovered.snapshot)), entries(recovered.entries.begin(), recovered.entries.end())
{
    MembershipAtIndex base;
    if (this->latestSnapshot.has_value()) {
        base = MembershipAtIndex{.index = this->latestSnapshot->index, .membership = this->latestSnapshot->membership};
    }
    this->memberships.push_back(base);
    for (const auto &entry : this->entries) {
        if (entry.__isset.membership) {
            this->memberships.push_back(MembershipAtIndex{.index = entry.index, .membership = entry.membership});
        }
    }
}

std::int64_t LogStore::snapshotIndex() const
{
    return this->latestSnapshot.has_value() ? this->latestSnapshot->index : 0;
}

const std::optional<Protocol::StoredSnapshot> &LogStore::snapshot() const
{
    return this->latestSnapshot;
}

std::int64_t LogStore::lastIndex() const
{
    return this->entries.empty() ? this->snapshotIndex() : this->entries.back().index;
}

std::int64_t LogStore::lastTerm() const
{
    return this->termAt(this->lastIndex()).value_or(0);
}

std::size_t LogStore::positionOf(std::int64_t index) const
{
    return static_cast<std::size_t>(index - this->snapshotIndex() - 1);
}

std::optional<std::int64_t> LogStore::termAt(std::int64_t index) const
{
    if (index == this->snapshotIndex()) {
        return this->latestSnapshot.has_value() ? this->latestSnapshot->term : 0;
    }
    if (index < this->snapshotIndex() || index > this->lastIndex()) {
        return std::nullopt;
    }
    return this->entries[this->positionOf(index)].term;
}

const Protocol::LogEntry &LogStore::entryAt(std::int64_t index) const
{
    return this->entries.at(this->positionOf(index));
}

std::vector<Protocol::LogEntry> LogStore::entriesFrom(std::int64_t index, std::size_t maximumBytes) const
{
    std::vector<Protocol::LogEntry> found;
    std::size_t bytes = 0;
    for (std::int64_t next = index; next <= this->lastIndex(); ++next) {
        const auto &entry = this->entryAt(next);
        bytes += entry.command.size() + EntryOverheadBytes;
        if (!found.empty() && bytes > maximumBytes) {
            break;
        }
        found.push_back(entry);
    }
    return found;
}

void LogStore::append(const Protocol::LogEntry &entry)
{
    this->writeAheadLog.queueEntry(entry);
    this->entries.push_back(entry);
    if (entry.__isset.membership) {
        this->memberships.push_back(MembershipAtIndex{.index = entry.index, .membership = entry.membership});
    }
}

void LogStore::truncateFrom(std::int64_t index)
{
    this->writeAheadLog.queueTruncation(index);
    while (!this->entries.empty() && this->entries.back().index >= index) {
        this->entries.pop_back();
    }
    while (this->memberships.size() > 1 && this->memberships.back().index >= index) {
        this->memberships.pop_back();
    }
}

const Protocol::Membership &LogStore::membership() const
{
    return this->memberships.back().membership;
}

std::int64_t LogStore::membershipIndex() const
{
    return this->memberships.back().index;
}

const Protocol::Membership &LogStore::membershipAt(std::int64_t index) const
{
    auto position = this->memberships.size() - 1;
    while (position > 0 && this->memberships[position].index > index) {
        --position;
    }
    return this->memberships[position].membership;
}

Core::Result<void> LogStore::compact(std::int64_t index, std::string state, std::int64_t term, const std::string &votedFor)
{
    Protocol::StoredSnapshot snapshot;
    snapshot.index = index;
    snapshot.term = this->termAt(index).value_or(0);
    snapshot.state = std::move(state);
    snapshot.membership = this->membershipAt(index);
    return this->install(std::move(snapshot), term, votedFor);
}

Core::Result<void> LogStore::install(Protocol::StoredSnapshot snapshot, std::int64_t term, const std::string &votedFor)
{
    const auto index = snapshot.index;
    const bool holdsLastEntry = this->termAt(index) == snapshot.term;
    std::vector<Protocol::LogEntry> remaining;
    if (holdsLastEntry) {
        remaining.assign(this->entries.begin() + static_cast<std::ptrdiff_t>(this->positionOf(index)) + 1, this->entries.end());
    }
    auto outcome = this->writeAheadLog.compact(snapshot, term, votedFor, remaining);
    if (!outcome.has_value()) {
        return outcome;
    }
    MembershipAtIndex base{.index = index, .membership = snapshot.membership};
    std::erase_if(this->memberships, [index, holdsLastEntry](const MembershipAtIndex &known) {
        return !holdsLastEntry || known.index <= index;
    });
    this->memberships.insert(this->memberships.begin(), std::move(base));
    this->entries.assign(remaining.begin(), remaining.end());
    this->latestSnapshot = std::move(snapshot);
    return {};
}

}
