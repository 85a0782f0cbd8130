/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the backend servers that a coordinator stores on its disk. Those of ready ones
// guard against searches that lack shards after all coordinators and gateways lost
// power at once: callers send searches from the first moment, and heartbeats, which
// are sent every 1.2 s, make the backend servers known only one by one. Without the
// store, searches lacked shards for 0.8 s after the log had elected its leader.

#include <LibCoordinator/RegistryStore.h>
#include <LibFleet/BackendRegistry.h>
#include <LibFleet/HeartbeatTimes.h>
#include <Support/FakeFolder.h>

#include <criterion/criterion.h>

using Protocol::BackendAnnouncement;
using Protocol::BackendPhase;

namespace
{

BackendAnnouncement announcement(const std::string &id, BackendPhase::type phase = BackendPhase::READY, std::int64_t sequence = 7)
{
    BackendAnnouncement made;
    made.id = id;
    made.serviceName = "shard-" + id;
    made.address = "10.0.0.1:80";
    made.zone = "zone";
    made.slots = 2;
    made.phase = phase;
    made.sequence = sequence;
    return made;
}

/** The ids of the stored backend servers that are in a phase. */
std::vector<std::string> idsIn(TestSupport::FakeFolder &folder, BackendPhase::type phase = BackendPhase::READY)
{
    Coordinator::RegistryStore store;
    std::vector<std::string> ids;
    const auto loaded = store.load(folder);
    for (const auto &found : loaded.value()) {
        if (found.phase == phase) {
            ids.push_back(found.id);
        }
    }
    return ids;
}

using Ids = std::vector<std::string>;

}

Test(RegistryStore, restoresReadyBackendsAfterALossOfPower)
{
    TestSupport::FakeFolder folder;
    std::mt19937_64 random(1);
    Coordinator::RegistryStore store;
    store.addChange(announcement("a"));
    store.addChange(announcement("b"));
    cr_assert(store.flush(folder).has_value());
    store.addChange(announcement("c"));
    store.addChange(announcement("a", BackendPhase::DRAINING));
    cr_assert(store.flush(folder).has_value());
    cr_assert(store.isDurable());
    folder.crash(random);
    cr_assert(idsIn(folder) == Ids({"b", "c"}));
    cr_assert(idsIn(folder, BackendPhase::DRAINING) == Ids({"a"}));
}

// Guards against a coordinator that restores a backend server as ready after it has acknowledged its departure and lost power.
Test(RegistryStore, restoresDeparturesAfterALossOfPower)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        TestSupport::FakeFolder folder;
        std::mt19937_64 random(seed);
        Coordinator::RegistryStore store;
        store.addChange(announcement("left"));
        store.addChange(announcement("reborn", BackendPhase::GONE, INT64_MAX));
        cr_assert(store.flush(folder).has_value());
        store.addChange(announcement("left", BackendPhase::GONE, INT64_MAX));
        store.addChange(announcement("reborn"));
        cr_assert(store.flush(folder).has_value());
        // These changes are written, and the sync fails.
        store.addChange(announcement("later", BackendPhase::GONE, INT64_MAX));
        folder.failAfter(1);
        cr_assert_not(store.flush(folder).has_value());
        cr_assert_not(store.isDurable());
        folder.failNever();
        folder.crash(random);
        const auto departed = idsIn(folder, BackendPhase::GONE);
        cr_assert(departed == Ids({"left"}) || departed == Ids({"later", "left"}), "seed %d", static_cast<int>(seed));
        cr_assert(idsIn(folder) == Ids({"reborn"}), "seed %d", static_cast<int>(seed));
    }
}

// Guards against a departure that is acknowledged although only the process that was killed before it could sync had written it.
Test(RegistryStore, isNotDurableUntilWhatAKilledProcessWroteIsSynced)
{
    TestSupport::FakeFolder folder;
    std::mt19937_64 random(1);
    Coordinator::RegistryStore killed;
    killed.addChange(announcement("a"));
    cr_assert(killed.flush(folder).has_value());
    killed.addChange(announcement("a", BackendPhase::GONE, INT64_MAX));
    folder.failAfter(1);
    cr_assert_not(killed.flush(folder).has_value());
    folder.failNever();
    Coordinator::RegistryStore restarted;
    cr_assert(restarted.load(folder).has_value());
    cr_assert_not(restarted.isDurable());
    cr_assert(restarted.flush(folder).has_value());
    cr_assert(restarted.isDurable());
    folder.crash(random);
    cr_assert(idsIn(folder, BackendPhase::GONE) == Ids({"a"}));
}

// Guards against a coordinator that can't read its file at the start, and later replaces it by what it has received since.
Test(RegistryStore, keepsChangesThatWereCollectedBeforeTheFileWasRead)
{
    TestSupport::FakeFolder folder;
    Coordinator::RegistryStore before;
    before.addChange(announcement("left", BackendPhase::GONE, INT64_MAX));
    before.addChange(announcement("leaving"));
    cr_assert(before.flush(folder).has_value());
    Coordinator::RegistryStore store;
    store.addChange(announcement("leaving", BackendPhase::GONE, INT64_MAX));
    cr_assert_eq(store.load(folder)->size(), 2);
    cr_assert(store.flush(folder).has_value());
    cr_assert(idsIn(folder, BackendPhase::GONE) == Ids({"leaving", "left"}));
}

Test(RegistryStore, dropsForgottenBackendsWhenTheFileIsRewritten)
{
    TestSupport::FakeFolder folder;
    Coordinator::RegistryStore store;
    for (int number = 0; number < 2000; ++number) {
        const auto id = std::to_string(number);
        store.addChange(announcement(id, BackendPhase::GONE, INT64_MAX));
        cr_assert(store.flush(folder).has_value());
        store.forget(id);
    }
    cr_assert_leq(folder.size("backends"), 64 * 1024);
}

Test(RegistryStore, readsTheIntactPartOfATruncatedFile)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        TestSupport::FakeFolder folder;
        std::mt19937_64 random(seed);
        Coordinator::RegistryStore store;
        store.addChange(announcement("a"));
        cr_assert(store.flush(folder).has_value());
        store.addChange(announcement("b"));
        // The write succeeds and the sync fails.
        folder.failAfter(1);
        cr_assert_not(store.flush(folder).has_value());
        folder.failNever();
        folder.crash(random);
        const auto ids = idsIn(folder);
        cr_assert(ids == Ids({"a"}) || ids == Ids({"a", "b"}), "seed %d", static_cast<int>(seed));
    }
}

Test(RegistryStore, rewritesTheWholeFileAfterAFailure)
{
    TestSupport::FakeFolder folder;
    Coordinator::RegistryStore store;
    store.addChange(announcement("a"));
    folder.failAfter(0);
    cr_assert_not(store.flush(folder).has_value());
    folder.failNever();
    store.addChange(announcement("b"));
    cr_assert(store.flush(folder).has_value());
    cr_assert(idsIn(folder) == Ids({"a", "b"}));
}

Test(RegistryStore, boundsTheLengthOfTheFile)
{
    TestSupport::FakeFolder folder;
    Coordinator::RegistryStore store;
    for (int count = 0; count < 4000; ++count) {
        store.addChange(announcement("a", count % 2 == 0 ? BackendPhase::SILENT : BackendPhase::READY, count));
        cr_assert(store.flush(folder).has_value());
    }
    cr_assert_leq(folder.size("backends"), 64 * 1024);
    cr_assert(idsIn(folder) == Ids({"a"}));
}

Test(RestoredRegistry, isReadyUntilTheUnconfirmedTimeout)
{
    Fleet::BackendRegistry registry;
    const Core::Instant start(Core::seconds(100));
    registry.restore(announcement("lives"), start);
    registry.restore(announcement("ended"), start);
    cr_assert_eq(registry.readyCount(), 2);
    const auto oneHeartbeat = start + Core::milliseconds(1200);
    cr_assert(!registry.merge(announcement("lives", BackendPhase::READY, 9), oneHeartbeat), "a heartbeat that changes nothing else is not sent to watchers");
    cr_assert_eq(registry.expireUnconfirmed(oneHeartbeat), 0);
    cr_assert_eq(registry.expireUnconfirmed(start + Core::seconds(4)), 1);
    cr_assert_eq(registry.find("ended")->announcement.phase, BackendPhase::SILENT);
    cr_assert_eq(registry.find("lives")->announcement.phase, BackendPhase::READY);
    // A late heartbeat makes the backend server ready again.
    cr_assert(registry.merge(announcement("ended", BackendPhase::READY, 10), start + Core::seconds(5)));
    cr_assert_eq(registry.find("ended")->announcement.phase, BackendPhase::READY);
}

Test(RestoredRegistry, doesNotReplaceADeregistration)
{
    Fleet::BackendRegistry registry;
    const Core::Instant now(Core::seconds(100));
    registry.markGone("left", now);
    registry.restore(announcement("left", BackendPhase::READY, 1'000), now);
    cr_assert_eq(registry.find("left")->announcement.phase, BackendPhase::GONE);
}

// Guards against a restarted coordinator that takes a ready backend server of another coordinator, which has not heard of its departure, for the newer state.
Test(RestoredRegistry, keepsADepartureAgainstAnOutdatedRecord)
{
    const Core::Instant now(Core::seconds(100));
    for (const bool isRestoredFirst : {true, false}) {
        Fleet::BackendRegistry registry;
        if (isRestoredFirst) {
            registry.restore(announcement("left", BackendPhase::GONE, INT64_MAX), now);
        }
        registry.merge(announcement("left", BackendPhase::READY, 1'000), now);
        registry.restore(announcement("left", BackendPhase::GONE, INT64_MAX), now);
        cr_assert_eq(registry.find("left")->announcement.phase, BackendPhase::GONE);
        cr_assert_eq(registry.expireUnconfirmed(now + Core::seconds(10)), 0, "a departure needs no heartbeat to confirm it");
        cr_assert_not(registry.mergeHeartbeat(announcement("left", BackendPhase::READY, 1'001), now + Core::seconds(11)), "a late heartbeat changes nothing");
        auto reborn = announcement("left");
        reborn.born = 5;
        cr_assert(registry.mergeHeartbeat(reborn, now + Core::seconds(12)), "a later incarnation is ready");
    }
}

Test(RestoredRegistry, isConfirmedByARemoteHeartbeat)
{
    Fleet::BackendRegistry registry;
    const Core::Instant start(Core::seconds(100));
    registry.restore(announcement("lives"), start);
    registry.recordRemoteHeartbeat("lives", start + Core::seconds(1));
    cr_assert_eq(registry.expireUnconfirmed(start + Core::seconds(10)), 0);
}

// A coordinator restores thousands of backend servers from its disk, which send a heartbeat every 5 s. Each heartbeat is received within one period and its
// delay. A backend server that is marked silent before is removed from all gateways and sent to them again with its heartbeat.
Test(RegistryStore, appliesTheUnconfirmedTimeoutOnlyAfterAHeartbeatCouldArrive)
{
    for (const auto period : {Core::milliseconds(400), Core::milliseconds(1200), Core::milliseconds(5000)}) {
        Fleet::BackendRegistry registry({.unconfirmedTimeout = Fleet::HeartbeatTimes::of(period).unconfirmedTimeout});
        static constexpr int Servers = 1000;
        std::mt19937_64 random(3);
        std::multimap<Core::Duration, std::string> heartbeats;
        for (int number = 0; number < Servers; ++number) {
            const auto name = std::to_string(number);
            registry.restore(announcement(name), Core::Instant());
            const auto late = random() % 20 == 0 ? Core::milliseconds(static_cast<std::int64_t>(random() % 2000)) : Core::Duration(0);
            heartbeats.emplace(
                Core::Duration(static_cast<Core::Duration::rep>(random() % static_cast<std::uint64_t>(Core::Duration(period).count()))) + late, name);
        }
        std::size_t silent = 0;
        for (const auto &[time, name] : heartbeats) {
            silent += registry.expireUnconfirmed(Core::Instant(time));
            registry.mergeHeartbeat(announcement(name, BackendPhase::READY, 8), Core::Instant(time));
        }
        cr_assert_eq(silent, 0, "%zu with a period of %ld ms", silent, static_cast<long>(Core::toMilliseconds(period)));
        registry.restore(announcement("left"), Core::Instant());
        cr_assert_eq(registry.expireUnconfirmed(Core::Instant(period + Core::seconds(3))), 1, "a backend server that sends no heartbeat becomes silent");
    }
}
