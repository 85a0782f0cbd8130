/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the evacuated availability zones after sequences of committed orders, snapshots and restarts.

#include <LibCoordinator/DeclarationLog.h>
#include <LibCoordinator/EvacuatedZones.h>
#include <LibRpc/Serialization.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>
#include <csignal>
#include <filesystem>
#include <sys/resource.h>

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
    explicit SingleMemberLog(std::int64_t entriesBetweenSnapshots = 4)
        : entriesBetweenSnapshots(entriesBetweenSnapshots)
        , folder(std::filesystem::temp_directory_path() / ("crankrudder-evacuations-" + std::to_string(getpid())))
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
        options.log.entriesBetweenSnapshots = this->entriesBetweenSnapshots;
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

    std::int64_t entriesBetweenSnapshots;
    std::filesystem::path folder;
    std::unique_ptr<Coordinator::DeclarationLog> declarations;
};

}

Test(EvacuatedZones, aRepeatedOrderChangesNothing)
{
    Coordinator::EvacuatedZones zones;
    cr_assert(zones.apply(order("a", true), 2));
    cr_assert_not(zones.apply(order("a", true), 3));
    cr_assert_not(zones.apply(order("b", false), 4), "zone b was not evacuated before");
    cr_assert_eq(zones.current().revision, 2);
    cr_assert(zones.apply(order("b", true), 5));
    cr_assert(zones.apply(order("a", false), 7));
    cr_assert(zones.current().zones == std::vector<std::string>{"b"});
    cr_assert_eq(zones.current().revision, 7);
}

Test(OperatorState, isTheSameFromASnapshotAndFromTheLog)
{
    const auto command = [](const std::string &zone, bool evacuate) {
        Protocol::StoredOrder stored;
        stored.__set_evacuation(order(zone, evacuate));
        return Rpc::serialize(stored);
    };
    Coordinator::OperatorState whole;
    whole.apply(command("a", true), 1);
    whole.apply({}, 2);
    whole.apply(command("b", true), 3);
    auto restored = Coordinator::OperatorState::fromSnapshot(whole.toSnapshot()).value();
    for (auto *state : {&whole, &restored}) {
        state->apply(command("a", false), 4);
    }
    cr_assert_eq(restored.appliedIndex(), 4);
    cr_assert(restored.evacuations() == whole.evacuations());
    cr_assert(restored.evacuations().zones == std::vector<std::string>{"b"});
}

// Guards against entries that are applied once more to the state from before when a coordinator opens its log again after a failed write. The evacuation and
// its withdrawal changed the zones twice more, and the revision ran ahead of that of the other coordinators.
Test(DeclarationLog, buildsItsStateAnewAfterAFailedWrite)
{
    SingleMemberLog log(1000);
    log.evacuate("a", true);
    log.evacuate("a", false);
    const auto before = log.declarations->evacuations();
    bool hasChanged = false;
    log.declarations->changed = [&hasChanged] {
        hasChanged = true;
    };
    // A limit on the length of files makes writes fail, as on a full disk.
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    getrlimit(RLIMIT_FSIZE, &limit);
    const rlimit full{.rlim_cur = 1, .rlim_max = limit.rlim_max};
    setrlimit(RLIMIT_FSIZE, &full);
    bool hasEnded = false;
    log.declarations->proposeEvacuation(order("a", false), [&hasEnded](Coordinator::ProposalEnd) {
        hasEnded = true;
    });
    cr_assert(log.runUntil([&] {
        return hasEnded && log.declarations->log() == nullptr;
    }));
    setrlimit(RLIMIT_FSIZE, &limit);
    log.waitForLeader();
    log.evacuate("a", false);
    cr_assert_not(hasChanged);
    cr_assert(log.declarations->evacuations() == before);
    log.evacuate("b", true);
    cr_assert(hasChanged);
    cr_assert_gt(log.declarations->evacuations().revision, before.revision);
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
