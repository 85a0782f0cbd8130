/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Fixture for tests of an entry instance's decisions: EntryState on a manual clock and a fake transport, with one declared
// service whose replicas have announced themselves.

#pragma once

#include <LibEntry/EntryState.h>
#include <Support/FakeTransport.h>
#include <Support/ManualTime.h>

#include <string>

namespace TestSupport
{

/** The declared service, its announced replicas and the options of the entry instance. */
struct EntryFixtureOptions {
    std::int32_t shards{4};
    std::int32_t replicasPerShard{2};
    std::int32_t deadlineMilliseconds{300};
    double minimumCoverage{0.5};
    bool partialAllowed{true};
    Entry::EntryOptions entry{};
};

/** An entry instance that is ready to serve a request; the test moves the time and ends the attempts. */
class EntryFixture
{
public:
    explicit EntryFixture(EntryFixtureOptions options = {}) : state(options.entry, this->transport, this->time.timers()), options(options)
    {
        this->declare();
        this->announceAll(1, "map-1");
    }

    static Core::ServiceName service()
    {
        return Core::ServiceName("catalogue");
    }

    /** Delivers the configuration and renews its lease. */
    void declare()
    {
        Protocol::UrgencyClass urgencyClass;
        urgencyClass.name = "urgent";
        urgencyClass.deadlineMilliseconds = this->options.deadlineMilliseconds;
        urgencyClass.minimumCoverage = this->options.minimumCoverage;
        urgencyClass.partialAllowed = this->options.partialAllowed;
        Protocol::ServiceDeclaration declaration;
        declaration.name = service().value();
        declaration.shards = this->options.shards;
        declaration.replicasPerShard = this->options.replicasPerShard;
        declaration.slotsPerReplica = 2;
        declaration.connectionCapPerReplica = 25;
        declaration.urgencyClass = "urgent";
        declaration.actions = {"enqueue"};
        Protocol::FollowReply reply;
        reply.confirmed = true;
        reply.revision = 1;
        reply.leaseMilliseconds = 600'000;
        Protocol::Configuration configuration;
        configuration.classes = {urgencyClass};
        configuration.services = {declaration};
        reply.__set_configuration(configuration);
        static_cast<void>(this->state.configuration.apply(reply, this->time.now()));
    }

    /** Makes an announcement of one replica with the next sequence number; it is not delivered yet. */
    Protocol::Announcement announcement(std::int32_t shard, std::int32_t replica, std::int64_t version, const std::string &map)
    {
        Protocol::Announcement announcement;
        announcement.serviceName = service().value();
        announcement.replicaName = std::to_string(shard) + "-" + std::to_string(replica);
        announcement.incarnation = 1;
        announcement.sequence = ++this->sequence;
        announcement.address = "127.0.0.1";
        announcement.port = 10'000 + shard * 10 + replica;
        announcement.state = Protocol::BackendState::SERVING;
        announcement.slots = 2;
        announcement.connectionCap = 25;
        Protocol::SnapshotHolding holding;
        holding.version = version;
        holding.shardMap = map;
        holding.shardCount = this->options.shards;
        holding.shard = shard;
        announcement.snapshots = {holding};
        return announcement;
    }

    void announce(const Protocol::Announcement &announcement)
    {
        this->state.backends.announce(announcement, Core::Duration(0), this->time.now());
    }

    void announceAll(std::int64_t version, const std::string &map)
    {
        for (std::int32_t shard = 0; shard < this->options.shards; ++shard) {
            for (std::int32_t replica = 0; replica < this->options.replicasPerShard; ++replica) {
                this->announce(this->announcement(shard, replica, version, map));
            }
        }
    }

    /** Advances the time in steps of 1 ms, running due timers and expiring waiting sub-requests. */
    void advance(Core::Duration duration)
    {
        const Core::Instant end = this->time.now() + duration;
        while (this->time.now() < end) {
            this->time.advance(std::min<Core::Duration>(Core::milliseconds(1), end - this->time.now()));
            this->state.dispatcher.expireWaiting(this->time.now());
        }
    }

    ManualTime time;
    FakeTransport transport;
    Entry::EntryState state;

private:
    EntryFixtureOptions options;
    std::int64_t sequence{0};
};

}
