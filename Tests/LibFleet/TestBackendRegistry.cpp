/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the rules by which announcements of backend servers are merged (docs/PLATFORM.md, rules G1 to G7).

#include <LibFleet/BackendRegistry.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using Fleet::BackendRegistry;
using Protocol::BackendPhase;

namespace
{

Protocol::BackendAnnouncement announcement(BackendPhase::type phase, std::int64_t sequence)
{
    Protocol::BackendAnnouncement made;
    made.id = "one";
    made.serviceName = "service";
    made.address = "127.0.0.1:1";
    made.zone = "zone";
    made.slots = 2;
    made.phase = phase;
    made.sequence = sequence;
    return made;
}

Core::Instant at(int seconds)
{
    return Core::Instant(Core::seconds(seconds));
}

}

Test(BackendRegistry, mergesInAnyOrderToTheSameState)
{
    std::vector<Protocol::BackendAnnouncement> announcements{announcement(BackendPhase::READY, 1),
        announcement(BackendPhase::READY, 5),
        announcement(BackendPhase::DRAINING, 3),
        announcement(BackendPhase::GONE, 2)};
    std::vector<std::size_t> order{0, 1, 2, 3};
    do {
        BackendRegistry registry;
        for (const auto index : order) {
            registry.merge(announcements[index], at(1));
            registry.merge(announcements[index], at(1));
        }
        cr_assert(registry.find("one")->announcement.phase == BackendPhase::GONE);
        cr_assert(registry.size() == 1);
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against records that coordinators restored from their disks and confirmed to each other, so that backend servers which had ended stayed ready for the
// whole heartbeat timeout.
Test(BackendRegistry, aRestoredRecordOfAnotherCoordinatorConfirmsNothing)
{
    BackendRegistry one;
    BackendRegistry other;
    one.restore(announcement(BackendPhase::READY, 7), at(1));
    other.restore(announcement(BackendPhase::READY, 9), at(1));
    cr_assert(one.mergedSince(at(0)).empty(), "nothing was heard");
    for (const auto &sent : other.changedSince(0, at(2))) {
        one.merge(sent, at(2));
    }
    BackendRegistry third;
    for (const auto &sent : one.changedSince(0, at(2))) {
        third.merge(sent, at(2));
    }
    cr_assert_eq(one.unconfirmedCount() + third.unconfirmedCount(), 2U);
    cr_assert_eq(one.expireUnconfirmed(at(6)) + third.expireUnconfirmed(at(6)), 2U);
    BackendRegistry heard;
    heard.restore(announcement(BackendPhase::READY, 7), at(1));
    heard.merge(announcement(BackendPhase::READY, 8), at(2));
    cr_assert(heard.unconfirmedCount() == 0 && heard.mergedSince(at(1)).size() == 1);
    cr_assert_not(heard.changedSince(0, at(2)).front().isRestored);
}

// Guards against watchers that keep a record for unconfirmed after its gateway was heard of.
Test(BackendRegistry, notifiesOfConfirmationsWhereThatIsWanted)
{
    for (const bool isWanted : {false, true}) {
        BackendRegistry coordinator({.notifiesOfConfirmation = isWanted});
        BackendRegistry watcher({.notifiesOfConfirmation = isWanted});
        coordinator.restore(announcement(BackendPhase::READY, 7), at(1));
        watcher.merge(coordinator.changedSince(0, at(1)).front(), at(1));
        cr_assert_eq(watcher.unconfirmedCount(), 1U);
        const auto position = coordinator.position();
        coordinator.recordRemoteHeartbeat("one", at(2));
        cr_assert_eq(coordinator.changedSince(position, at(2)).size(), isWanted ? 1U : 0U);
        for (const auto &sent : coordinator.changedSince(position, at(2))) {
            cr_assert(watcher.merge(sent, at(2)));
        }
        cr_assert_eq(watcher.unconfirmedCount(), isWanted ? 0U : 1U);
    }
}

Test(BackendRegistry, keepsDrainingAndGoneBackendsFromBecomingReady)
{
    struct Case {
        const char *name;
        BackendPhase::type held;
        BackendPhase::type incoming;
        std::int64_t sequence;
        BackendPhase::type after;
    };
    const std::vector<Case> cases{
        {"late heartbeat while draining", BackendPhase::DRAINING, BackendPhase::READY, 4, BackendPhase::DRAINING},
        {"newer heartbeat while draining", BackendPhase::DRAINING, BackendPhase::READY, 99, BackendPhase::DRAINING},
        {"draining with an older sequence", BackendPhase::READY, BackendPhase::DRAINING, 1, BackendPhase::DRAINING},
        {"heartbeat after the deregistration", BackendPhase::GONE, BackendPhase::READY, 99, BackendPhase::GONE},
        {"draining after the deregistration", BackendPhase::GONE, BackendPhase::DRAINING, 99, BackendPhase::GONE},
        {"newer heartbeat of a silent backend server", BackendPhase::SILENT, BackendPhase::READY, 12, BackendPhase::READY},
        {"old heartbeat of a silent backend server", BackendPhase::SILENT, BackendPhase::READY, 9, BackendPhase::SILENT},
    };
    for (const auto &item : cases) {
        BackendRegistry registry;
        registry.merge(announcement(item.held, 10), at(1));
        registry.merge(announcement(item.incoming, item.sequence), at(2));
        cr_assert(registry.find("one")->announcement.phase == item.after, "%s", item.name);
    }
}

Test(BackendRegistry, recordsTheDeregistrationOfAnUnknownBackend)
{
    BackendRegistry registry;
    cr_assert(registry.markGone("one", at(1)));
    cr_assert_not(registry.markGone("one", at(1)));
    registry.merge(announcement(BackendPhase::READY, 7), at(2));
    cr_assert(registry.find("one")->announcement.phase == BackendPhase::GONE);
}

Test(BackendRegistry, notifiesWatchersOfVisibleChangesOnly)
{
    BackendRegistry registry;
    int notified = 0;
    registry.changed = [&notified](const auto &) {
        ++notified;
    };
    registry.merge(announcement(BackendPhase::READY, 1), at(1));
    const auto first = registry.position();
    registry.merge(announcement(BackendPhase::READY, 2), at(2));
    cr_assert(notified == 1, "a heartbeat that changes nothing else is not sent to watchers");
    cr_assert(registry.changedSince(first, at(2)).empty());
    registry.merge(announcement(BackendPhase::DRAINING, 3), at(3));
    cr_assert(notified == 2);
    cr_assert(registry.changedSince(first, at(3)).size() == 1);
    cr_assert(registry.changedSince(0, at(3)).size() == 1, "two changes of one record are sent as one");
}

Test(BackendRegistry, appliesTheHeartbeatTimeoutOnlyWithoutRemoteHeartbeats)
{
    BackendRegistry registry;
    registry.merge(announcement(BackendPhase::READY, 1), at(0));
    cr_assert(registry.expire(at(9), Core::seconds(10)) == 0);
    registry.recordRemoteHeartbeat("one", at(9));
    cr_assert(registry.expire(at(15), Core::seconds(10)) == 0, "another coordinator received a heartbeat");
    registry.restartHeartbeatTimeouts(at(15));
    cr_assert(registry.expire(at(24), Core::seconds(10)) == 0, "all heartbeat timeouts were restarted");
    cr_assert(registry.expire(at(25), Core::seconds(10)) == 1);
    cr_assert(registry.find("one")->announcement.phase == BackendPhase::SILENT);
    registry.forget(at(2000));
    cr_assert(registry.size() == 0);
}

Test(BackendRegistry, returnsDeparturesSeparately)
{
    BackendRegistry registry;
    registry.merge(announcement(BackendPhase::READY, 1), at(1));
    cr_assert(registry.departurePosition() == 0 && registry.departuresSince(0, at(1)).empty());
    registry.merge(announcement(BackendPhase::DRAINING, 2), at(1));
    const auto position = registry.position();
    cr_assert(registry.departurePosition() == position);
    cr_assert(registry.departuresSince(0, at(1)).size() == 1);
    auto other = announcement(BackendPhase::READY, 1);
    other.id = "other";
    registry.merge(other, at(1));
    cr_assert(registry.departurePosition() == position && registry.departuresSince(position, at(1)).empty());
    cr_assert(registry.changedSince(position, at(1)).size() == 1);
    registry.markGone("one", at(2));
    cr_assert(registry.departuresSince(position, at(2)).size() == 1);
}

namespace
{

Protocol::BackendAnnouncement inIncarnation(std::int64_t born, BackendPhase::type phase, std::int64_t sequence)
{
    auto made = announcement(phase, sequence);
    made.born = born;
    return made;
}

}

// Rule G6. A backend server that starts again under its id restarts its sequence, so the first heartbeat of the new incarnation has a lower sequence than the
// last one of the earlier incarnation.
Test(BackendRegistry, aLaterIncarnationReplacesTheEarlierOne)
{
    for (const auto held : {BackendPhase::SILENT, BackendPhase::READY, BackendPhase::DRAINING, BackendPhase::GONE}) {
        BackendRegistry registry;
        registry.merge(inIncarnation(1000, held, 50), at(1));
        cr_assert(registry.merge(inIncarnation(2000, BackendPhase::READY, 1), at(2)), "watchers have to be notified");
        const auto &record = *registry.find("one");
        cr_assert(record.announcement.phase == BackendPhase::READY && record.announcement.sequence == 1 && record.announcement.born == 2000);
        registry.merge(inIncarnation(1000, BackendPhase::READY, 99), at(3));
        registry.merge(inIncarnation(1000, BackendPhase::GONE, INT64_MAX), at(3));
        cr_assert(record.announcement.phase == BackendPhase::READY && record.announcement.born == 2000,
            "late announcements of the earlier incarnation change nothing");
        registry.markGone("one", at(4));
        cr_assert(record.announcement.phase == BackendPhase::GONE && record.announcement.born == 2000);
    }
}

Test(BackendRegistry, mergesSeveralIncarnationsInAnyOrderToTheSameState)
{
    std::vector<Protocol::BackendAnnouncement> announcements{inIncarnation(1000, BackendPhase::READY, 7),
        inIncarnation(1000, BackendPhase::GONE, INT64_MAX),
        inIncarnation(2000, BackendPhase::READY, 1),
        inIncarnation(2000, BackendPhase::DRAINING, 3),
        inIncarnation(3000, BackendPhase::READY, 2)};
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    do {
        BackendRegistry registry;
        for (const auto index : order) {
            registry.merge(announcements[index], at(1));
        }
        const auto &held = registry.find("one")->announcement;
        cr_assert(held.born == 3000 && held.phase == BackendPhase::READY && held.sequence == 2);
        cr_assert(registry.changedSince(0, at(1)).size() == 1);
    } while (std::next_permutation(order.begin(), order.end()));
}

// A deregistration may come without the incarnation that it ends, and may be the first thing received of its backend server. A late heartbeat must not make
// the backend server ready again.
Test(BackendRegistry, aLateHeartbeatDoesNotUndoADeregistrationWithoutIncarnation)
{
    BackendRegistry registry;
    registry.markGone("one", at(1));
    registry.mergeHeartbeat(inIncarnation(1000, BackendPhase::READY, 7), at(4));
    cr_assert(registry.find("one")->announcement.phase == BackendPhase::GONE);
    cr_assert(registry.mergeHeartbeat(inIncarnation(2000, BackendPhase::READY, 9), at(12)), "a heartbeat after the window is of a newer incarnation");
    cr_assert(registry.find("one")->announcement.phase == BackendPhase::READY);
}

// Rule G7. An announcement that names another service within the same incarnation was made by another process and is rejected.
Test(BackendRegistry, aBackendKeepsItsServiceWithinAnIncarnation)
{
    BackendRegistry registry;
    registry.merge(inIncarnation(1000, BackendPhase::READY, 1), at(1));
    auto foreign = inIncarnation(1000, BackendPhase::READY, 2);
    foreign.serviceName = "another";
    cr_assert_not(registry.merge(foreign, at(2)));
    cr_assert(registry.find("one")->announcement.serviceName == "service");
}

Test(BackendRegistry, notifiesWatchersOfABackendThatTurnsColdAgain)
{
    BackendRegistry registry;
    auto heartbeat = inIncarnation(1000, BackendPhase::READY, 1);
    heartbeat.warmupLeftMs = 3000;
    registry.merge(heartbeat, at(1));
    heartbeat.sequence = 2;
    heartbeat.warmupLeftMs = 2000;
    cr_assert_not(registry.merge(heartbeat, at(2)), "the end of the same warm-up is no change");
    heartbeat.sequence = 3;
    heartbeat.warmupLeftMs = 0;
    cr_assert_not(registry.merge(heartbeat, at(5)));
    heartbeat.sequence = 4;
    heartbeat.warmupLeftMs = 2500;
    const auto before = registry.position();
    cr_assert(registry.merge(heartbeat, at(9)));
    const auto notified = registry.changedSince(before, at(10));
    cr_assert(notified.size() == 1 && notified.front().warmupLeftMs == 1500);
}

// Coordinators tell by this number whether their registry can be relied on.
Test(BackendRegistry, countsUnconfirmedRecords)
{
    std::mt19937 random(11);
    const std::vector<std::string> ids{"one", "two", "three"};
    BackendRegistry registry({.retention = Core::seconds(5)});
    for (int step = 0; step < 3000; ++step) {
        auto next = announcement(BackendPhase::READY, static_cast<std::int64_t>(random() % 9));
        next.id = ids[random() % ids.size()];
        next.born = static_cast<std::int64_t>(step / 500);
        switch (random() % 6) {
        case 0:
        case 1:
            registry.restore(next, at(step));
            break;
        case 2:
            registry.merge(next, at(step));
            break;
        case 3:
            registry.recordRemoteHeartbeat(next.id, at(step));
            break;
        case 4:
            registry.expireUnconfirmed(at(step));
            break;
        default:
            registry.markGone(next.id, at(step), next.born);
            registry.forget(at(step));
        }
        const auto unconfirmed = std::count_if(ids.begin(), ids.end(), [&registry](const std::string &id) {
            const auto *record = registry.find(id);
            return record != nullptr && record->confirmBy.has_value();
        });
        cr_assert_eq(registry.unconfirmedCount(), static_cast<std::size_t>(unconfirmed));
    }
}
