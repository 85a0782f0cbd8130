/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the evacuated availability zones after sequences of committed orders, snapshots and restarts.

#include <LibCoordinator/DeclarationLog.h>
#include <LibCoordinator/EvacuatedZones.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>
#include <filesystem>

namespace
{

Protocol::EvacuationOrder order(const std::string &zone, bool evacuate)
{
    Protocol::EvacuationOrder made;
    made.zone = zone;
    made.evacuate = evacuate;
    return made;
}

/** The log of a coordinator that is the only member, over a folder that outlives the log. */
class SingleMemberLog : public TestSupport::LoopFixture
{
public:
    SingleMemberLog() : folder(std::filesystem::temp_directory_path() / ("crankrudder-evacuations-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
        this->open();
        auto &replicatedLog = *this->declarations->log();
        Protocol::Membership initialMembers;
        initialMembers.members = {replicatedLog.identity()};
        initialMembers.members.front().voter = true;
        cr_assert(replicatedLog.bootstrap(initialMembers).has_value());
        this->waitForLeader();
    }

    ~SingleMemberLog()
    {
        this->declarations.reset();
        std::filesystem::remove_all(this->folder);
    }

    void open()
    {
        this->declarations.reset();
        Coordinator::DeclarationLogOptions options{.log = {}, .dataFolder = this->folder, .send = [](const auto &, const auto &) {
                                                   }};
        options.log.identity.name = "lone";
        options.log.entriesBetweenSnapshots = 4;
        options.log.electionTimeout = Core::milliseconds(50);
        this->declarations = Coordinator::DeclarationLog::create(options, this->timers).value();
    }

    void waitForLeader()
    {
        cr_assert(this->runUntil([this] {
            return this->declarations->isLeader();
        }));
    }

    void evacuate(const std::string &zone, bool evacuate)
    {
        std::optional<Coordinator::ProposalEnd> end;
        this->declarations->proposeEvacuation(order(zone, evacuate), [&end](Coordinator::ProposalEnd ended) {
            end = ended;
        });
        cr_assert(this->runUntil([&end] {
            return end.has_value();
        }));
        cr_assert(end == Coordinator::ProposalEnd::Committed);
    }

    std::filesystem::path folder;
    std::unique_ptr<Coordinator::DeclarationLog> declarations;
};

}

Test(EvacuatedZones, aRepeatedOrderChangesNothing)
{
    Coordinator::EvacuatedZones zones;
    cr_assert(zones.apply(order("a", true)));
    cr_assert_not(zones.apply(order("a", true)));
    cr_assert_not(zones.apply(order("b", false)), "zone b was not evacuated before");
    cr_assert_eq(zones.current().revision, 1);
    cr_assert(zones.apply(order("b", true)));
    cr_assert(zones.apply(order("a", false)));
    cr_assert(zones.current().zones == std::vector<std::string>{"b"});
    cr_assert_eq(zones.current().revision, 3);
}

Test(EvacuatedZones, anOlderSnapshotIsIgnored)
{
    Coordinator::EvacuatedZones zones;
    zones.apply(order("a", true));
    const auto before = zones.current();
    zones.apply(order("b", true));
    cr_assert_not(zones.restore(before));
    cr_assert_eq(zones.current().zones.size(), 2);
    Coordinator::EvacuatedZones other;
    cr_assert(other.restore(zones.current()));
    cr_assert(other.current().zones == zones.current().zones);
}

// Acknowledged evacuations have to survive a restart, whether they are contained in the log or only in a snapshot.
Test(DeclarationLog, restoresEvacuationsAfterRestarts)
{
    SingleMemberLog log;
    log.evacuate("a", true);
    log.evacuate("b", true);
    log.open();
    log.waitForLeader();
    cr_assert(log.runUntil([&] {
        return log.declarations->evacuations().zones.size() == 2;
    }));
    // These are more orders than entries between two snapshots.
    for (int round = 0; round < 4; ++round) {
        log.evacuate("a", false);
        log.evacuate("a", true);
    }
    log.evacuate("b", false);
    const auto revision = log.declarations->evacuations().revision;
    log.open();
    log.waitForLeader();
    cr_assert(log.runUntil([&] {
        return log.declarations->evacuations().revision == revision;
    }));
    cr_assert(log.declarations->evacuations().zones == std::vector<std::string>{"a"});
}
