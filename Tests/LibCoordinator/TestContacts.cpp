/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What a coordinator counts as a contact with a gateway, and to whom it states contacts.

#include <LibCoordinator/WatchService.h>

#include <criterion/criterion.h>

using Protocol::RegistryInterest;

namespace
{

constexpr std::int64_t Incarnation = 7;
constexpr Core::Duration LongPoll = Core::milliseconds(1800);

/** A watch service on a clock that the test moves, with a ready gateway "other". */
class ContactFixture
{
public:
    ContactFixture()
        : timers(Core::Clock{.now =
                                 [this] {
                                     return this->now;
                                 },
            .wallTime = nullptr})
        , log(Coordinator::DeclarationLog::create({.log = {}, .dataFolder = "/proc/no-folder", .send = nullptr}, this->timers).value())
        , service({.incarnation = Incarnation, .longPollTimeout = LongPoll}, *this->log, this->registry, this->gateways, this->crashes, this->timers)
    {
        this->service.knowsAllGateways = [this] {
            return this->knowsAll;
        };
        this->service.syncedWith = [this](const std::string &address) {
            return address == "10.0.0.9:1" ? this->synced : std::nullopt;
        };
        this->gateways.merge(announcementOf("other"), this->now);
    }

    static Protocol::BackendAnnouncement announcementOf(const std::string &id)
    {
        Protocol::BackendAnnouncement announcement;
        announcement.id = id;
        announcement.address = id;
        announcement.phase = Protocol::BackendPhase::READY;
        announcement.sequence = 1;
        return announcement;
    }

    /** A request of a gateway that holds the current lists. */
    [[nodiscard]] Protocol::WatchRequest requestOf(const std::string &id) const
    {
        Protocol::WatchRequest request;
        request.coordinatorIncarnation = Incarnation;
        request.cursor = this->registry.position();
        request.gatewayCursor = this->gateways.position();
        request.declarationVersion = this->log->version();
        request.registryInterest = RegistryInterest::EVERYTHING;
        request.__set_gateway(announcementOf(id));
        return request;
    }

    [[nodiscard]] Protocol::WatchRequest requestOfCoordinator() const
    {
        auto request = this->requestOf("coordinator");
        request.__isset.gateway = false;
        request.wantsHeard = true;
        request.__set_wantsContacts(true);
        request.__set_watcherAddress("10.0.0.9:1");
        return request;
    }

    /** Returns the reply, with how long it took. */
    std::pair<Protocol::WatchReply, Core::Duration> replyTo(const Protocol::WatchRequest &request)
    {
        const auto sentAt = this->now;
        std::optional<Protocol::WatchReply> reply;
        this->service.watch(request, [&reply](const Protocol::WatchReply &answer) {
            reply = answer;
        });
        while (!reply.has_value() && this->now - sentAt < Core::seconds(10)) {
            this->run(Core::milliseconds(10));
        }
        return {reply.value(), this->now - sentAt};
    }

    void run(Core::Duration duration)
    {
        const auto end = this->now + duration;
        while (this->now < end) {
            this->now = this->now + Core::milliseconds(10);
            this->timers.runDue();
        }
    }

    Core::Instant now{Core::seconds(1000)};
    Core::TimerService timers;
    Fleet::BackendRegistry registry;
    Fleet::BackendRegistry gateways;
    Fleet::CrashLedger crashes;
    std::unique_ptr<Coordinator::DeclarationLog> log;
    Coordinator::WatchService service;
    bool knowsAll{true};
    std::optional<Core::Instant> synced;
};

}

// Guards against a request that counts as a contact although its gateway does not hold the current list of gateways.
Test(Contacts, aRequestProvesTheCurrentListOnlyWithItsPosition)
{
    const ContactFixture fixture;
    const auto proves = [&fixture](const std::function<void(Protocol::WatchRequest &)> &adjust) {
        auto request = fixture.requestOf("other");
        adjust(request);
        return fixture.service.provesCurrentList(request);
    };
    cr_assert(proves([](auto &) {
    }));
    cr_assert_not(proves([](auto &request) {
        --request.gatewayCursor;
    }),
        "it has not received the latest change");
    cr_assert_not(proves([](auto &request) {
        request.registryInterest = RegistryInterest::LEAVERS;
    }),
        "arrivals come from another coordinator, which may be unreachable");
    cr_assert_not(proves([](auto &request) {
        request.coordinatorIncarnation = Incarnation - 1;
    }),
        "the position is one of before the restart");
    cr_assert_not(proves([](auto &request) {
        request.__isset.gateway = false;
    }));
}

// Guards against requests that waited in the socket while the coordinator was frozen and count as contacts of when it resumed.
Test(Contacts, aMessageAfterAPauseMayHaveArrivedBefore)
{
    ContactFixture fixture;
    fixture.run(Core::seconds(1));
    const auto before = fixture.now;
    cr_assert(before - fixture.service.earliestArrival() <= Core::milliseconds(200));
    fixture.now = fixture.now + Core::seconds(5);
    cr_assert(fixture.service.earliestArrival() <= before);
    fixture.timers.runDue();
    cr_assert(fixture.service.earliestArrival() <= before, "timers that fall due run before or after the messages");
    fixture.run(Core::milliseconds(300));
    cr_assert(fixture.service.earliestArrival() > before);
}

// Guards against an unknown contact that is stated as a recent one, after a restart or a partition of the coordinator, and against statements to watchers that
// did not request them.
Test(Contacts, areStatedToAGatewayOnlyWhenTheyAreKnown)
{
    ContactFixture fixture;
    auto request = fixture.requestOf("joining");
    request.__set_wantsContacts(true);
    cr_assert_not(fixture.replyTo(request).first.__isset.oldestContactAgeMs, "nothing was heard of the other gateway");
    fixture.gateways.recordContact("other", fixture.now);
    const auto [reply, took] = fixture.replyTo(request);
    cr_assert(reply.__isset.oldestContactAgeMs && reply.oldestContactAgeMs == Core::toMilliseconds(took) && reply.heldMs == Core::toMilliseconds(took));
    cr_assert(took < Core::milliseconds(400), "a long poll does not delay it");
    fixture.knowsAll = false;
    cr_assert_not(fixture.replyTo(request).first.__isset.oldestContactAgeMs, "other gateways may be unknown here");
    fixture.knowsAll = true;
    const auto other = fixture.replyTo(fixture.requestOf("other"));
    cr_assert(!other.first.__isset.oldestContactAgeMs && other.second < Core::milliseconds(400), "a contact with it is awaited");
    fixture.run(Core::seconds(2));
    const auto idle = fixture.replyTo(fixture.requestOf("other"));
    cr_assert(!idle.first.__isset.heldMs && idle.second >= LongPoll, "nobody wants contacts any more");
}

// Guards against a contact at a coordinator that did not know the joining gateway yet, as its link to the other coordinator was cut or it was frozen.
Test(Contacts, areStatedToACoordinatorAsOfItsOwnList)
{
    ContactFixture fixture;
    fixture.run(Core::seconds(20));
    fixture.gateways.recordDirectContact("other", fixture.now);
    const auto request = fixture.requestOfCoordinator();
    cr_assert_not(fixture.replyTo(request).first.__isset.contactAgesMs, "its list was never received");
    fixture.synced = fixture.now - Core::milliseconds(3000);
    const auto sentAt = fixture.now;
    const auto [reply, took] = fixture.replyTo(request);
    cr_assert_eq(reply.contactAgesMs.at("other"), 3000 + Core::toMilliseconds(fixture.now - sentAt));
    fixture.gateways.recordContact("third", fixture.now);
    fixture.gateways.merge(ContactFixture::announcementOf("third"), fixture.now);
    fixture.gateways.recordContact("third", fixture.now);
    cr_assert_not(fixture.replyTo(request).first.contactAgesMs.contains("third"), "the list of a third coordinator");
}
