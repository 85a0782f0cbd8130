/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Reads that any member confirms by a read index request to the leader.
//
// Guards against a queue at the leader: hundreds of gateways start at the same moment, and none of them may answer before its configuration
// is confirmed. When only the leader could confirm reads, gateways in other regions waited for eight seconds (300 gateways, print bureau,
// power loss).

#include <LibConsensus/ReplicatedLog.h>
#include <Support/FakeFolder.h>
#include <Support/ManualTime.h>

#include <criterion/criterion.h>
#include <deque>

using Consensus::ReplicatedLog;
using Protocol::MessageKind;

namespace
{

constexpr std::size_t Members = 3;
constexpr Core::Duration Step = Core::milliseconds(10);

/** Members of one log. The test chooses which of their messages are delivered. */
class LogGroup
{
public:
    LogGroup()
    {
        Protocol::Membership membership;
        for (std::size_t index = 0; index < Members; ++index) {
            this->start(index);
            membership.members.push_back(this->logs[index]->identity());
            membership.members.back().voter = true;
        }
        for (const auto &log : this->logs) {
            cr_assert(log->bootstrap(membership).has_value());
        }
    }

    void start(std::size_t index)
    {
        this->logs[index].reset();
        this->writeAheadLogs[index] = Storage::WriteAheadLog::create(this->folders[index]).value();
        Consensus::ReplicatedLogOptions options;
        options.identity.name = std::to_string(index);
        options.identity.peerAddress = std::to_string(index);
        options.seed = ++this->seed;
        Consensus::ReplicatedLogHooks hooks;
        hooks.send = [this, index](const Protocol::Member &receiver, Protocol::LogMessage message) {
            this->messages.push_back({index, static_cast<std::size_t>(std::stoi(receiver.peerAddress)), std::move(message)});
        };
        hooks.apply = [this, index](const Protocol::LogEntry &entry) {
            this->applied[index] += entry.command;
        };
        hooks.takeSnapshot = [] {
            return std::string();
        };
        hooks.restoreSnapshot = [](const std::string &) {
            return Core::Result<void>();
        };
        hooks.flushNeeded = [this, index] {
            this->flushes.insert(index);
        };
        this->applied[index].clear();
        this->logs[index] = ReplicatedLog::create(options, std::move(hooks), *this->writeAheadLogs[index], this->time.now()).value();
    }

    /** Advances the time by some steps, with one round of messages in each. `delivers` decides which messages arrive. */
    void run(int steps, const std::function<bool(std::size_t from, std::size_t to, const Protocol::LogMessage &message)> &delivers = deliverAll)
    {
        for (int step = 0; step < steps; ++step) {
            this->time.advance(Step);
            for (const auto index : std::exchange(this->flushes, {})) {
                this->logs[index]->flush(this->time.now());
            }
            for (auto &packet : std::exchange(this->messages, {})) {
                if (delivers(packet.from, packet.to, packet.message)) {
                    this->logs[packet.to]->receive(packet.message, this->time.now());
                }
            }
            for (const auto &log : this->logs) {
                log->tick(this->time.now());
            }
        }
    }

    std::size_t awaitLeader()
    {
        for (int round = 0; round < 100; ++round) {
            this->run(10);
            for (std::size_t index = 0; index < Members; ++index) {
                if (this->logs[index]->role() == Consensus::Role::Leader) {
                    return index;
                }
            }
        }
        cr_assert_fail("no leader");
        return 0;
    }

    void propose(std::size_t leader, const std::string &command)
    {
        cr_assert(this->logs[leader]->propose(command).has_value());
        this->flushes.insert(leader);
    }

    static bool deliverAll(std::size_t, std::size_t, const Protocol::LogMessage &)
    {
        return true;
    }

    struct Packet {
        std::size_t from{0};
        std::size_t to{0};
        Protocol::LogMessage message;
    };

    TestSupport::ManualTime time;
    std::array<TestSupport::FakeFolder, Members> folders;
    std::array<std::unique_ptr<Storage::WriteAheadLog>, Members> writeAheadLogs;
    std::array<std::unique_ptr<ReplicatedLog>, Members> logs;
    std::array<std::string, Members> applied;
    std::deque<Packet> messages;
    std::set<std::size_t> flushes;
    std::uint64_t seed{0};
};

/** A read at a member and its outcome, which has no value until the read has ended. */
struct Read {
    explicit Read(LogGroup &group, std::size_t member)
    {
        group.logs[member]->confirmCurrent([this](bool confirmed) {
            this->outcome = confirmed;
        });
    }
    std::optional<bool> outcome;
};

}

Test(ReadIndex, followerConfirmsAllWaitingReadsWithOneRequest)
{
    LogGroup group;
    const auto leader = group.awaitLeader();
    const auto follower = (leader + 1) % Members;
    std::vector<std::unique_ptr<Read>> reads;
    for (int reader = 0; reader < 100; ++reader) {
        reads.push_back(std::make_unique<Read>(group, follower));
    }
    int requestCount = 0;
    group.run(10, [&requestCount](std::size_t, std::size_t, const Protocol::LogMessage &message) {
        requestCount += message.kind == MessageKind::READ_INDEX_REQUEST ? 1 : 0;
        return true;
    });
    cr_assert_eq(requestCount, 1);
    for (const auto &read : reads) {
        cr_assert(read->outcome == true);
    }
}

Test(ReadIndex, followerConfirmsAReadAfterApplyingTheCommittedEntries)
{
    LogGroup group;
    const auto leader = group.awaitLeader();
    const auto follower = (leader + 1) % Members;
    const auto dropAppendsToFollower = [&](std::size_t, std::size_t to, const Protocol::LogMessage &message) {
        return to != follower || message.kind != MessageKind::APPEND_REQUEST;
    };
    group.propose(leader, "x");
    group.run(5, dropAppendsToFollower);
    cr_assert(group.applied[leader] == "x" && group.applied[follower].empty());
    const Read read(group, follower);
    group.run(5, dropAppendsToFollower);
    cr_assert_not(read.outcome.has_value());
    group.run(60);
    cr_assert(read.outcome == true);
    cr_assert_str_eq(group.applied[follower].c_str(), "x");
}

Test(ReadIndex, isolatedLeaderDoesNotConfirmAReadOfItsFollower)
{
    LogGroup group;
    const auto leader = group.awaitLeader();
    const auto follower = (leader + 1) % Members;
    const Read read(group, follower);
    // The follower's read index request arrives, but the leader receives no replies from voters afterwards.
    group.run(200, [&](std::size_t, std::size_t to, const Protocol::LogMessage &message) {
        return to != leader || message.kind == MessageKind::READ_INDEX_REQUEST;
    });
    cr_assert(read.outcome == false);
}

Test(ReadIndex, replyToAnEarlierIncarnationIsIgnored)
{
    LogGroup group;
    const auto leader = group.awaitLeader();
    const auto follower = (leader + 1) % Members;
    std::vector<Protocol::LogMessage> heldReplies;
    const auto holdReplies = [&](std::size_t, std::size_t, const Protocol::LogMessage &message) {
        if (message.kind == MessageKind::READ_INDEX_REPLY) {
            heldReplies.push_back(message);
            return false;
        }
        return true;
    };
    const Read readBeforeRestart(group, follower);
    group.run(10, holdReplies);
    cr_assert_eq(heldReplies.size(), 1);
    group.start(follower);
    group.run(60, holdReplies);
    const auto holdRepliesAndDropAppends = [&](std::size_t from, std::size_t to, const Protocol::LogMessage &message) {
        return holdReplies(from, to, message) && (to != follower || message.kind != MessageKind::APPEND_REQUEST);
    };
    group.propose(leader, "x");
    group.run(5, holdRepliesAndDropAppends);
    const Read readAfterRestart(group, follower);
    group.run(5, holdRepliesAndDropAppends);
    group.logs[follower]->receive(heldReplies.front(), group.time.now());
    cr_assert_neq(readAfterRestart.outcome, true, "x is committed but not applied on this member (%d)", readAfterRestart.outcome.has_value() ? 1 : 0);
}

Test(ReadIndex, failsImmediatelyWithoutAKnownLeader)
{
    LogGroup group;
    const Read read(group, 0);
    cr_assert(read.outcome == false);
}
