/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Merging of announcements: rules G1 to G4 of docs/PLATFORM.md.

#include <LibFleet/BackendRegistry.h>

#include <algorithm>
#include <criterion/criterion.h>

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
    std::vector<Protocol::BackendAnnouncement> news{announcement(BackendPhase::READY, 1),
        announcement(BackendPhase::READY, 5),
        announcement(BackendPhase::DRAINING, 3),
        announcement(BackendPhase::GONE, 2)};
    std::vector<std::size_t> order{0, 1, 2, 3};
    do {
        BackendRegistry registry;
        for (const auto index : order) {
            registry.merge(news[index], at(1));
            registry.merge(news[index], at(1));
        }
        cr_assert(registry.find("one")->announcement.phase == BackendPhase::GONE);
        cr_assert(registry.size() == 1);
    } while (std::next_permutation(order.begin(), order.end()));
}

Test(BackendRegistry, neverMakesALeaverReadyAgain)
{
    struct Case {
        const char *name;
        BackendPhase::type held;
        BackendPhase::type incoming;
        std::int64_t sequence;
        BackendPhase::type after;
    };
    const std::vector<Case> cases{
        {"a late heartbeat", BackendPhase::DRAINING, BackendPhase::READY, 4, BackendPhase::DRAINING},
        {"a newer heartbeat", BackendPhase::DRAINING, BackendPhase::READY, 99, BackendPhase::DRAINING},
        {"leaving with an old sequence", BackendPhase::READY, BackendPhase::DRAINING, 1, BackendPhase::DRAINING},
        {"a heartbeat after the farewell", BackendPhase::GONE, BackendPhase::READY, 99, BackendPhase::GONE},
        {"draining after the farewell", BackendPhase::GONE, BackendPhase::DRAINING, 99, BackendPhase::GONE},
        {"a heartbeat after silence", BackendPhase::SILENT, BackendPhase::READY, 12, BackendPhase::READY},
        {"an old heartbeat after silence", BackendPhase::SILENT, BackendPhase::READY, 9, BackendPhase::SILENT},
    };
    for (const auto &item : cases) {
        BackendRegistry registry;
        registry.merge(announcement(item.held, 10), at(1));
        registry.merge(announcement(item.incoming, item.sequence), at(2));
        cr_assert(registry.find("one")->announcement.phase == item.after, "%s", item.name);
    }
}

Test(BackendRegistry, remembersAFarewellOfOneItNeverSaw)
{
    BackendRegistry registry;
    cr_assert(registry.markGone("one", at(1)));
    cr_assert_not(registry.markGone("one", at(1)));
    registry.merge(announcement(BackendPhase::READY, 7), at(2));
    cr_assert(registry.find("one")->announcement.phase == BackendPhase::GONE);
}

Test(BackendRegistry, tellsOnlyWhatOthersHaveToKnow)
{
    BackendRegistry registry;
    int told = 0;
    registry.changed = [&told](const auto &) {
        ++told;
    };
    registry.merge(announcement(BackendPhase::READY, 1), at(1));
    const auto first = registry.position();
    registry.merge(announcement(BackendPhase::READY, 2), at(2));
    cr_assert(told == 1, "a mere heartbeat is no news");
    cr_assert(registry.changedSince(first, at(2)).empty());
    registry.merge(announcement(BackendPhase::DRAINING, 3), at(3));
    cr_assert(told == 2);
    cr_assert(registry.changedSince(first, at(3)).size() == 1);
    cr_assert(registry.changedSince(0, at(3)).size() == 1, "one record, told once");
}

Test(BackendRegistry, takesSilenceForSilenceOnlyWhereNobodyHeard)
{
    BackendRegistry registry;
    registry.merge(announcement(BackendPhase::READY, 1), at(0));
    cr_assert(registry.expire(at(9), Core::seconds(10)) == 0);
    registry.noteHeard("one", at(9));
    cr_assert(registry.expire(at(15), Core::seconds(10)) == 0, "another coordinator heard it");
    registry.excuseSilence(at(15));
    cr_assert(registry.expire(at(24), Core::seconds(10)) == 0, "this process stood still");
    cr_assert(registry.expire(at(25), Core::seconds(10)) == 1);
    cr_assert(registry.find("one")->announcement.phase == BackendPhase::SILENT);
    registry.forget(at(2000));
    cr_assert(registry.size() == 0);
}

Test(BackendRegistry, tellsOfLeaversAlone)
{
    BackendRegistry registry;
    registry.merge(announcement(BackendPhase::READY, 1), at(1));
    cr_assert(registry.leaverPosition() == 0 && registry.leaversSince(0, at(1)).empty());
    registry.merge(announcement(BackendPhase::DRAINING, 2), at(1));
    const auto position = registry.position();
    cr_assert(registry.leaverPosition() == position);
    cr_assert(registry.leaversSince(0, at(1)).size() == 1);
    auto other = announcement(BackendPhase::READY, 1);
    other.id = "other";
    registry.merge(other, at(1));
    cr_assert(registry.leaverPosition() == position && registry.leaversSince(position, at(1)).empty());
    cr_assert(registry.changedSince(position, at(1)).size() == 1);
    registry.markGone("one", at(2));
    cr_assert(registry.leaversSince(position, at(2)).size() == 1);
}
