/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of when a departure counts as stored by enough coordinators. They guard against an acknowledgement that the loss of the tolerated number of disks, and
// of all processes, would undo, and against a sync for each of hundreds of backend servers that leave together.

#include <LibCoordinator/DepartureReplication.h>
#include <Support/ManualTime.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <map>

using Coordinator::DepartureOutcome;
using Protocol::BackendPhase;

namespace
{

constexpr Core::Duration BatchDelay = Core::milliseconds(5);

/** A replication with two other coordinators, whose replies the test gives. */
class ReplicationFixture
{
public:
    ReplicationFixture()
    {
        this->replication.peers = [] {
            return std::vector<Core::Endpoint>{{.address = "10.0.0.1", .port = 1}, {.address = "10.0.0.2", .port = 1}};
        };
        this->replication.sendToPeer = [this](const Core::Endpoint &peer, const auto &departures, auto done) {
            cr_assert_not(this->isStoredHere, "the own disk may block");
            this->sent.push_back(departures.size());
            this->replies[peer.address] = std::move(done);
        };
        this->replication.storeHere = [this](auto done) {
            this->isStoredHere = true;
            this->replies["own"] = std::move(done);
        };
    }

    void replicate(const std::string &id, BackendPhase::type phase = BackendPhase::GONE, std::int64_t born = 0)
    {
        Protocol::BackendAnnouncement departure;
        departure.id = id;
        departure.phase = phase;
        departure.born = born;
        this->replication.replicate(departure, [this](DepartureOutcome outcome) {
            this->outcomes.push_back(outcome);
        });
    }

    void sendBatch()
    {
        this->isStoredHere = false;
        this->time.advance(BatchDelay);
    }

    void reply(const std::string &from, bool stored)
    {
        this->replies.at(from)(stored);
    }

    TestSupport::ManualTime time;
    Coordinator::DepartureReplication replication{{.name = "own", .requiredCopies = 2, .batchDelay = BatchDelay}, this->time.timers()};
    std::map<std::string, Coordinator::DepartureReplication::StoredHook> replies;
    std::vector<std::size_t> sent;
    std::vector<DepartureOutcome> outcomes;
    bool isStoredHere{false};
};

using Outcomes = std::vector<DepartureOutcome>;

}

Test(DepartureReplication, waitsForOneDiskMoreThanMayBeLost)
{
    for (const std::string second : {"10.0.0.1", "own"}) {
        ReplicationFixture fixture;
        fixture.replicate("a");
        fixture.sendBatch();
        fixture.reply("10.0.0.2", true);
        cr_assert(fixture.outcomes.empty());
        fixture.reply(second, true);
        cr_assert(fixture.outcomes == Outcomes{DepartureOutcome::Stored});
        cr_assert_eq(fixture.replication.waitingCount(), 0);
    }
}

Test(DepartureReplication, failsAsSoonAsTooFewCoordinatorsAreLeft)
{
    ReplicationFixture fixture;
    fixture.replicate("a");
    fixture.sendBatch();
    fixture.reply("10.0.0.1", false);
    cr_assert(fixture.outcomes.empty());
    fixture.reply("10.0.0.2", false);
    cr_assert(fixture.outcomes == Outcomes{DepartureOutcome::NotStored});
    // A later reply changes nothing, and the departure is sent anew when the backend server repeats it.
    fixture.reply("own", true);
    cr_assert_eq(fixture.outcomes.size(), 1);
    fixture.replicate("a");
    fixture.sendBatch();
    fixture.reply("own", true);
    fixture.reply("10.0.0.2", true);
    cr_assert(fixture.outcomes == Outcomes({DepartureOutcome::NotStored, DepartureOutcome::Stored}));
}

Test(DepartureReplication, sendsHundredsOfDeparturesTogether)
{
    ReplicationFixture fixture;
    for (int number = 0; number < 500; ++number) {
        fixture.replicate(std::to_string(number));
    }
    fixture.sendBatch();
    cr_assert(fixture.sent == std::vector<std::size_t>({500, 500}));
    fixture.reply("10.0.0.1", true);
    fixture.reply("own", true);
    cr_assert_eq(fixture.outcomes.size(), 500);
}

Test(DepartureReplication, acknowledgesARepeatedDepartureAtOnce)
{
    ReplicationFixture fixture;
    fixture.replicate("a", BackendPhase::DRAINING, 7);
    fixture.sendBatch();
    fixture.reply("10.0.0.1", true);
    fixture.reply("10.0.0.2", true);
    fixture.replicate("a", BackendPhase::DRAINING, 7);
    cr_assert_eq(fixture.outcomes.size(), 2);
    // Its end, and the departure of a later incarnation, are other departures.
    fixture.replicate("a", BackendPhase::GONE, 7);
    fixture.replicate("a", BackendPhase::DRAINING, 8);
    cr_assert_eq(fixture.outcomes.size(), 2);
    cr_assert_eq(fixture.replication.waitingCount(), 2);
    fixture.replication.forget("a");
    fixture.replicate("a", BackendPhase::DRAINING, 7);
    cr_assert_eq(fixture.replication.waitingCount(), 3);
}
