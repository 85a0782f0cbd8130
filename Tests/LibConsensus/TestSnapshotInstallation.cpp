/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of a follower that is sent a snapshot although it has entries after it, as when a late reply made the leader begin again. The follower has
// acknowledged these entries, and the leader may have committed them with it.

#include <LibConsensus/ReplicatedLog.h>
#include <Support/FakeFolder.h>
#include <Support/ManualTime.h>

#include <criterion/criterion.h>

namespace
{

constexpr std::int64_t Term = 2;
constexpr std::int64_t SnapshotIndex = 3;

/** A follower on a folder of its own. The test plays the leader. */
class Follower
{
public:
    Follower()
    {
        this->open();
        Protocol::Member leader = this->log->identity();
        leader.name = "leader";
        leader.storageId = "leader's folder";
        for (const auto &member : {leader, this->log->identity()}) {
            this->membership.members.push_back(member);
            this->membership.members.back().voter = true;
        }
        cr_assert(this->log->bootstrap(this->membership).has_value());
    }

    /** Restarts the follower after a power failure. */
    void restart()
    {
        std::mt19937_64 random(1);
        this->folder.crash(random);
        this->open();
    }

    /** Lets the follower store the entries from `first` to `last`. */
    void append(std::int64_t first, std::int64_t last, std::int64_t termBefore)
    {
        auto message = this->messageOf(Protocol::MessageKind::APPEND_REQUEST);
        message.previousIndex = first - 1;
        message.previousTerm = termBefore;
        for (std::int64_t index = first; index <= last; ++index) {
            Protocol::LogEntry entry;
            entry.index = index;
            entry.term = Term;
            entry.command = "entry " + std::to_string(index);
            message.entries.push_back(entry);
        }
        this->log->receive(message, this->now);
    }

    /** Sends a snapshot up to SnapshotIndex, whose last entry has the term `term`. */
    void sendSnapshot(std::int64_t term)
    {
        auto message = this->messageOf(Protocol::MessageKind::SNAPSHOT_REQUEST);
        message.previousIndex = SnapshotIndex;
        message.previousTerm = term;
        message.__set_piece("state");
        message.lastPiece = true;
        message.__set_membership(this->membership);
        this->log->receive(message, this->now);
    }

    std::unique_ptr<Consensus::ReplicatedLog> log;
    std::vector<Protocol::LogMessage> replies;
    std::string state;

private:
    void open()
    {
        this->log.reset();
        this->writeAheadLog = Storage::WriteAheadLog::create(this->folder).value();
        Consensus::ReplicatedLogHooks hooks{.send =
                                                [this](const Protocol::Member &, const Protocol::LogMessage &message) {
                                                    this->replies.push_back(message);
                                                },
            .apply =
                [](const Protocol::LogEntry &) {
                },
            .takeSnapshot =
                [] {
                    return std::string();
                },
            .restoreSnapshot = [this](const std::string &restored) -> Core::Result<void> {
                this->state = restored;
                return {};
            },
            .flushNeeded =
                [] {
                }};
        Consensus::ReplicatedLogOptions options;
        options.identity.name = "follower";
        this->log = Consensus::ReplicatedLog::create(options, std::move(hooks), *this->writeAheadLog, this->now).value();
    }

    [[nodiscard]] Protocol::LogMessage messageOf(Protocol::MessageKind::type kind) const
    {
        Protocol::LogMessage message;
        message.kind = kind;
        message.sender = "leader";
        message.storageId = "leader's folder";
        message.receiverStorageId = this->log->identity().storageId;
        message.term = Term;
        return message;
    }

    TestSupport::FakeFolder folder;
    std::unique_ptr<Storage::WriteAheadLog> writeAheadLog;
    Protocol::Membership membership;
    Core::Instant now;
};

}

// Guards against the loss of a committed entry: a follower gave up entries that it had acknowledged when it installed a snapshot of the entries before them.
Test(SnapshotInstallation, keepsAcknowledgedEntriesAfterTheSnapshot)
{
    Follower follower;
    follower.append(2, 5, 1);
    cr_assert_eq(follower.replies.back().matchIndex, 5);
    follower.sendSnapshot(Term);
    cr_assert_eq(follower.log->commitIndex(), SnapshotIndex);
    cr_assert_str_eq(follower.state.c_str(), "state");
    cr_assert_eq(follower.log->lastIndex(), 5);
    follower.restart();
    cr_assert_eq(follower.log->lastIndex(), 5, "the entries are still there after a restart");
    cr_assert_str_eq(follower.state.c_str(), "state");
}

// Entries of another term than the snapshot's are not the leader's.
Test(SnapshotInstallation, removesEntriesThatDifferFromTheLeaders)
{
    Follower follower;
    follower.append(2, 5, 1);
    follower.sendSnapshot(Term - 1);
    cr_assert_eq(follower.log->lastIndex(), SnapshotIndex);
}
