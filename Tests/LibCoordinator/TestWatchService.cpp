/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of which watch requests are answered when, and with which changes.

#include <LibCoordinator/WatchService.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>

using Protocol::BackendPhase;
using Protocol::RegistryInterest;

namespace
{

constexpr std::int64_t Incarnation = 7;

/** A watch service over a log that is empty, since its folder can't be opened. */
class WatchServiceFixture : public TestSupport::LoopFixture
{
public:
    WatchServiceFixture()
        : log(Coordinator::DeclarationLog::create({.log = {}, .dataFolder = "/proc/no-folder", .send = nullptr}, this->timers).value())
        , service({.incarnation = Incarnation, .longPollTimeout = Core::seconds(60)}, *this->log, this->registry, this->gateways, this->crashes, this->timers)
    {
    }

    /** A watch request of a watcher that has received all changes so far. */
    [[nodiscard]] Protocol::WatchRequest upToDateRequest(RegistryInterest::type interest) const
    {
        Protocol::WatchRequest request;
        request.watcherName = "watcher";
        request.coordinatorIncarnation = Incarnation;
        request.cursor = this->registry.position();
        request.gatewayCursor = this->gateways.position();
        request.declarationVersion = this->log->version();
        request.registryInterest = interest;
        return request;
    }

    void sendRequest(const Protocol::WatchRequest &request)
    {
        this->reply.reset();
        this->service.watch(request, [this](const Protocol::WatchReply &reply) {
            this->reply = reply;
        });
    }

    void change(const std::string &id, BackendPhase::type phase)
    {
        Protocol::BackendAnnouncement announcement;
        announcement.id = id;
        announcement.serviceName = "service";
        announcement.address = "127.0.0.1:1";
        announcement.phase = phase;
        announcement.sequence = ++this->sequence;
        this->registry.merge(announcement, this->timers.now());
        this->service.scheduleNotification();
    }

    /** Makes another gateway ready. */
    void addGateway(int number)
    {
        Protocol::BackendAnnouncement announcement;
        announcement.id = "gateway-" + std::to_string(number);
        announcement.address = "127.0.0.1:" + std::to_string(number + 1);
        announcement.phase = BackendPhase::READY;
        announcement.sequence = 1;
        this->gateways.merge(announcement, this->timers.now());
        this->service.scheduleNotification();
    }

    [[nodiscard]] bool isAnswered()
    {
        return this->runUntil([this] {
            return this->reply.has_value();
        });
    }

    Fleet::BackendRegistry registry;
    Fleet::BackendRegistry gateways;
    Fleet::CrashLedger crashes;
    std::unique_ptr<Coordinator::DeclarationLog> log;
    Coordinator::WatchService service;
    std::optional<Protocol::WatchReply> reply;
    std::int64_t sequence{0};
};

}

Test(WatchService, answersOnlyForChangesOfTheRequestedInterest)
{
    struct Case {
        RegistryInterest::type interest;
        BackendPhase::type phase;
        bool notified;
    };
    const std::vector<Case> cases{
        {RegistryInterest::EVERYTHING, BackendPhase::READY, true},
        {RegistryInterest::EVERYTHING, BackendPhase::DRAINING, true},
        {RegistryInterest::LEAVERS, BackendPhase::READY, false},
        {RegistryInterest::LEAVERS, BackendPhase::DRAINING, true},
        {RegistryInterest::NOTHING, BackendPhase::READY, false},
        {RegistryInterest::NOTHING, BackendPhase::DRAINING, false},
    };
    for (const auto &item : cases) {
        WatchServiceFixture fixture;
        fixture.sendRequest(fixture.upToDateRequest(item.interest));
        fixture.change("one", item.phase);
        if (item.notified) {
            cr_assert(fixture.isAnswered());
            cr_assert(fixture.reply->changed.size() == 1 && fixture.reply->cursor == fixture.registry.position());
        } else {
            fixture.settle();
            cr_assert_not(fixture.reply.has_value());
            cr_assert(fixture.service.waitingCount() == 1);
        }
    }
}

Test(WatchService, sendsDeparturesOfBackendsThatTheWatcherDidNotKnow)
{
    WatchServiceFixture fixture;
    const auto before = fixture.upToDateRequest(RegistryInterest::LEAVERS);
    fixture.change("one", BackendPhase::READY);
    fixture.change("two", BackendPhase::READY);
    fixture.change("one", BackendPhase::DRAINING);
    fixture.sendRequest(before);
    cr_assert(fixture.isAnswered());
    cr_assert(fixture.reply->changed.size() == 1 && fixture.reply->changed.front().id == "one");
}

Test(WatchService, ignoresCursorsOfAnotherIncarnation)
{
    WatchServiceFixture fixture;
    fixture.change("one", BackendPhase::READY);
    auto request = fixture.upToDateRequest(RegistryInterest::EVERYTHING);
    request.coordinatorIncarnation = Incarnation - 1;
    fixture.sendRequest(request);
    cr_assert(fixture.isAnswered());
    cr_assert(fixture.reply->coordinatorIncarnation == Incarnation && fixture.reply->changed.size() == 1);
    request.registryInterest = RegistryInterest::NOTHING;
    fixture.sendRequest(request);
    cr_assert(fixture.isAnswered());
    cr_assert(fixture.reply->cursor == 0 && fixture.reply->changed.empty(), "changes that were not sent can still be requested");
}

// When 300 gateways start at the same moment and become ready one by one, each of them is an update for all others, and a watcher sends its next watch request
// as soon as it has a reply. With one update for each gateway, the watchers of one coordinator kept it busy for half a second.
Test(WatchService, combinesSimultaneousArrivalsInFewUpdates)
{
    constexpr int Arrivals = 100;
    WatchServiceFixture fixture;
    fixture.addGateway(0);
    int answers = 0;
    auto request = fixture.upToDateRequest(RegistryInterest::EVERYTHING);
    std::function<void()> sendRequest = [&] {
        fixture.service.watch(request, [&](const Protocol::WatchReply &reply) {
            ++answers;
            request.cursor = reply.cursor;
            request.gatewayCursor = reply.gatewayCursor;
            sendRequest();
        });
    };
    sendRequest();
    for (int number = 1; number <= Arrivals; ++number) {
        fixture.addGateway(number);
        fixture.settle(Core::milliseconds(2));
    }
    cr_assert(fixture.runUntil([&] {
        return request.gatewayCursor == fixture.gateways.position();
    }));
    cr_assert_lt(answers, Arrivals / 5, "%d answers", answers);
}

Test(WatchService, notifiesOfADepartureAtOnceWhileOthersArrive)
{
    WatchServiceFixture fixture;
    fixture.addGateway(1);
    fixture.change("one", BackendPhase::READY);
    fixture.sendRequest(fixture.upToDateRequest(RegistryInterest::EVERYTHING));
    fixture.addGateway(2);
    fixture.change("one", BackendPhase::DRAINING);
    cr_assert(fixture.isAnswered());
    cr_assert(fixture.reply->changed.size() == 1 && fixture.reply->changedGateways.size() == 1, "the same update contains the gateway that arrived before");
}

Test(WatchService, doesNotConfirmWithoutALeader)
{
    WatchServiceFixture fixture;
    auto request = fixture.upToDateRequest(RegistryInterest::NOTHING);
    request.confirm = true;
    fixture.sendRequest(request);
    cr_assert_not(fixture.reply.has_value(), "the request is held for a while, so that the watcher does not repeat it without a pause");
    cr_assert(fixture.isAnswered());
    cr_assert_not(fixture.reply->confirmed);
}

Test(WatchService, sendsGatewaysTheCrashRecordsOfSuspectsAndCoordinatorsAll)
{
    struct Case {
        bool isCoordinator;
        int crashes;
        bool notified;
    };
    const std::vector<Case> cases{{false, 1, false}, {false, 3, true}, {true, 1, true}};
    for (const auto &item : cases) {
        WatchServiceFixture fixture;
        auto request = fixture.upToDateRequest(RegistryInterest::EVERYTHING);
        request.wantsCrashes = true;
        request.wantsHeard = item.isCoordinator;
        fixture.sendRequest(request);
        const auto now = fixture.timers.now();
        for (int number = 0; number < item.crashes; ++number) {
            fixture.crashes.recordCrash({.digest = Fleet::RequestDigest("request"),
                .attempt = "attempt",
                .backend = std::to_string(number),
                .startedAt = now,
                .crashedAt = now + Core::milliseconds(10)});
        }
        fixture.service.scheduleNotification();
        if (item.notified) {
            cr_assert(fixture.isAnswered());
            cr_assert_eq(fixture.reply->crashes.size(), 1);
            cr_assert_eq(fixture.reply->crashCursor, fixture.crashes.position(Fleet::CrashRecords::All));
        } else {
            fixture.settle(Core::milliseconds(200));
            cr_assert_not(fixture.reply.has_value(), "a single crash is no matter for every gateway");
        }
    }
}

// A gateway that needs fresh news of the warm-up of backend servers can't wait for the long-poll timeout.
Test(WatchService, holdsARequestNoLongerThanTheWatcherAllows)
{
    WatchServiceFixture fixture;
    auto request = fixture.upToDateRequest(RegistryInterest::EVERYTHING);
    request.__set_maximumHoldMs(50);
    for (const bool isConfirmed : {false, true}) {
        fixture.service.isRegistryConfirmed = [isConfirmed] {
            return isConfirmed;
        };
        fixture.sendRequest(request);
        cr_assert_not(fixture.reply.has_value());
        cr_assert(fixture.isAnswered());
        cr_assert_geq(fixture.reply->heldMs, 50);
        cr_assert_eq(fixture.reply->isRegistryConfirmed, isConfirmed);
    }
}
