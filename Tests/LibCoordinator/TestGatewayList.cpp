/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Whether a coordinator knows all gateways that may hold quota shares, over its own restarts. Guards against an empty or outdated list that is taken for
// complete: gateways that started after all coordinators were killed took over shares that others, cut off from the coordinators, still held.

#include <LibCoordinator/GatewayList.h>
#include <Support/FakeFolder.h>
#include <Support/ManualTime.h>

#include <criterion/criterion.h>

using Coordinator::GatewayList;

namespace
{

/** A list on a clock that the test moves, which is replaced by one of the next process. */
class ListFixture
{
public:
    explicit ListFixture(bool isFirstStart)
    {
        this->start(isFirstStart);
    }

    void start(bool isFirstStart = false)
    {
        this->list = std::make_unique<GatewayList>(Coordinator::GatewayListOptions{.isFirstStart = isFirstStart}, this->time.timers());
        this->list->isInTouch = [this] {
            return this->isInTouch;
        };
        this->list->isReceivedComplete = [this] {
            return this->isReceivedComplete;
        };
        cr_assert(this->list->restore(this->folder).has_value());
    }

    void restart(bool losesPower = false)
    {
        if (losesPower) {
            this->folder.crash(this->random);
        }
        this->start();
    }

    void announce(const std::string &id)
    {
        Protocol::BackendAnnouncement announcement;
        announcement.id = id;
        announcement.address = id.substr(0, id.find('/'));
        announcement.phase = Protocol::BackendPhase::READY;
        announcement.sequence = ++this->sequence;
        this->list->registry().merge(announcement, this->time.now());
    }

    void run(Core::Duration duration)
    {
        const auto end = this->time.now() + duration;
        while (this->time.now() < end) {
            this->time.advance(Core::milliseconds(500));
            this->list->advance();
            (void)this->list->store(this->folder);
        }
    }

    TestSupport::ManualTime time;
    TestSupport::FakeFolder folder;
    std::mt19937_64 random{1};
    std::unique_ptr<GatewayList> list;
    bool isInTouch{false};
    bool isReceivedComplete{false};
    std::int64_t sequence{0};
};

}

Test(GatewayList, outlivesALossOfPower)
{
    ListFixture fixture(true);
    cr_assert(fixture.list->isComplete(), "there were no gateways before");
    fixture.announce("a/1");
    cr_assert_not(fixture.list->isDurable());
    fixture.run(Core::seconds(1));
    cr_assert(fixture.list->isDurable());
    fixture.restart(true);
    cr_assert(fixture.list->isComplete() && fixture.list->registry().unconfirmedCount() == 1);
    cr_assert_not(fixture.list->registry().find("a/1")->isEstablished, "others may not have heard of it");
    fixture.run(Core::seconds(11));
    cr_assert_eq(fixture.list->registry().readyCount(), 1, "one that is cut off holds its shares for seconds");
    fixture.run(Core::seconds(2));
    cr_assert_eq(fixture.list->registry().readyCount(), 0);
}

Test(GatewayList, anAddressThatWasListedForLongStaysEstablished)
{
    ListFixture fixture(true);
    fixture.announce("a/1");
    fixture.run(Core::seconds(10));
    fixture.restart(true);
    cr_assert(fixture.list->registry().find("a/1")->isEstablished);
    fixture.announce("a/2");
    fixture.run(Core::seconds(1));
    fixture.restart(true);
    cr_assert(fixture.list->registry().find("a/1")->isEstablished, "also when all are killed again within seconds");
    cr_assert_not(fixture.list->registry().find("a/2")->isEstablished);
    fixture.list->registry().markGone("a/1", fixture.time.now());
    cr_assert_not(fixture.list->registry().find("a/1")->isEstablished, "others have taken over its shares");
}

Test(GatewayList, isNotCompleteAfterTheLossOfTheDisk)
{
    ListFixture fixture(true);
    fixture.announce("a/1");
    fixture.run(Core::seconds(1));
    fixture.folder.wipe();
    fixture.restart();
    cr_assert_not(fixture.list->isComplete());
    fixture.run(Core::seconds(20));
    cr_assert_not(fixture.list->isComplete(), "it is not in touch with the others");
    fixture.restart();
    cr_assert_not(fixture.list->isComplete(), "a list that is not complete is not stored as one");
    fixture.isInTouch = true;
    fixture.run(Core::milliseconds(8500));
    cr_assert_not(fixture.list->isComplete());
    fixture.isInTouch = false;
    fixture.run(Core::seconds(1));
    fixture.isInTouch = true;
    fixture.run(Core::seconds(9));
    cr_assert_not(fixture.list->isComplete(), "the time counts without interruption");
    fixture.run(Core::milliseconds(500));
    cr_assert(fixture.list->isComplete());
}

Test(GatewayList, isCompleteOnceItIsReceivedFromACompleteOne)
{
    ListFixture fixture(false);
    fixture.isReceivedComplete = true;
    fixture.run(Core::seconds(1));
    cr_assert_not(fixture.list->isComplete());
    fixture.isInTouch = true;
    fixture.run(Core::seconds(1));
    cr_assert(fixture.list->isComplete() && fixture.list->isDurable());
    fixture.isReceivedComplete = false;
    fixture.restart(true);
    cr_assert(fixture.list->isComplete());
}

// Guards against a gateway that grants after a statement while the disk refuses writes, and is missing when all coordinators have restarted.
Test(GatewayList, isNotDurableWhileTheDiskRefusesWrites)
{
    ListFixture fixture(true);
    fixture.run(Core::seconds(1));
    fixture.folder.failAfter(0);
    fixture.announce("a/1");
    fixture.run(Core::seconds(3));
    cr_assert_not(fixture.list->isDurable());
    fixture.folder.failNever();
    fixture.run(Core::seconds(1));
    cr_assert(fixture.list->isDurable());
    fixture.restart(true);
    cr_assert(fixture.list->registry().find("a/1") != nullptr);
}
