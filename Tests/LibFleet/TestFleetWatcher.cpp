/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of which watch requests a watcher sends to which coordinators, and of how it applies their updates.

#include <LibFleet/FleetWatcher.h>
#include <LibFleet/TextDelta.h>
#include <LibRpc/RpcServer.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>

namespace
{

using Protocol::WatchReply;
using Protocol::WatchRequest;

/** A coordinator whose replies are chosen by a script of the test. A watch request for which the script gives no reply is held. */
class ScriptedCoordinator : public Protocol::CoordinatorCobSvIf
{
public:
    using Script = std::function<std::optional<WatchReply>(const WatchRequest &request)>;

    ScriptedCoordinator(TestSupport::LoopFixture &fixture, Script script) : endpoint(TestSupport::freeEndpoint()), script(std::move(script))
    {
        // The server must not own this object, which owns the server.
        const std::shared_ptr<ScriptedCoordinator> unowned(this, [](ScriptedCoordinator *) {
        });
        this->server = Rpc::RpcServer::create(
            {.name = "watch", .endpoint = this->endpoint, .processor = std::make_shared<Protocol::CoordinatorAsyncProcessor>(unowned), .limits = {}},
            fixture.timers)
                           .value();
    }

    void watch(std::function<void(WatchReply const &)> callback, const WatchRequest &request) override
    {
        this->requests.push_back(request);
        const auto reply = this->script(request);
        if (reply.has_value()) {
            callback(reply.value());
        } else {
            this->held.push_back(std::move(callback));
        }
    }

    void introduce(std::function<void(Protocol::IntroductionReply const &)> callback, const Protocol::Introduction &) override
    {
        callback(Protocol::IntroductionReply());
    }

    void storeDepartures(std::function<void(bool const &)> callback, const std::vector<Protocol::BackendAnnouncement> &) override
    {
        callback(false);
    }

    void reportCrashes(std::function<void(std::int32_t const &)> callback, const std::vector<Protocol::CrashRecord> &records) override
    {
        this->crashReports.push_back(records);
        callback(0);
    }

    Core::Endpoint endpoint;
    Script script;
    std::vector<WatchRequest> requests;
    std::vector<std::vector<Protocol::CrashRecord>> crashReports;
    std::vector<std::function<void(WatchReply const &)>> held;
    std::unique_ptr<Rpc::RpcServer> server;
};

/** A watcher in one zone, with coordinators that the test adds in its own zone or in other regions. */
class WatcherFixture : public TestSupport::LoopFixture
{
public:
    explicit WatcherFixture(std::size_t maximumWatched = 1, Core::Duration declarationFallbackDelay = Core::milliseconds(20))
        : watcher(Fleet::WatcherOptions{.name = "gateway",
                      .zone = "near",
                      .regions = {{"near", "one"}, {"far-1", "two"}, {"far-2", "three"}},
                      .own = {},
                      .maximumWatched = maximumWatched,
                      .declarationFallbackDelay = declarationFallbackDelay},
            this->backends,
            this->gateways,
            this->crashes,
            this->timers)
    {
        this->watcher.knownVersion = [this] {
            return Fleet::DeclarationVersion(this->version);
        };
        this->watcher.declarationReceived = [this](Fleet::DeclarationVersion arrived, const std::string &content) {
            this->version = arrived.value();
            this->text = content;
        };
    }

    ScriptedCoordinator &add(const std::string &zone, ScriptedCoordinator::Script script)
    {
        this->coordinators.push_back(std::make_unique<ScriptedCoordinator>(*this, std::move(script)));
        Protocol::CoordinatorPlace place;
        place.address = this->coordinators.back()->endpoint.toString();
        place.zone = zone;
        this->places.push_back(place);
        return *this->coordinators.back();
    }

    void start()
    {
        std::vector<Core::Endpoint> endpoints;
        for (const auto &coordinator : this->coordinators) {
            endpoints.push_back(coordinator->endpoint);
        }
        this->watcher.addCoordinators(endpoints);
    }

    /** A reply that names all coordinators. */
    [[nodiscard]] WatchReply reply(std::int64_t declared) const
    {
        WatchReply made;
        made.coordinatorIncarnation = 1;
        made.coordinators = this->places;
        made.declarationVersion = declared;
        made.hasLeader = true;
        return made;
    }

    Fleet::BackendRegistry backends;
    Fleet::BackendRegistry gateways;
    Fleet::CrashLedger crashes;
    std::vector<std::unique_ptr<ScriptedCoordinator>> coordinators;
    std::vector<Protocol::CoordinatorPlace> places;
    std::int64_t version{-1};
    std::string text;
    Fleet::FleetWatcher watcher;
};

/** Answers the first watch request at once and holds the others, as a coordinator without an update does. */
ScriptedCoordinator::Script answerOnce(const WatcherFixture &fixture, std::int64_t declared)
{
    return [&fixture, declared](const WatchRequest &request) -> std::optional<WatchReply> {
        return request.coordinatorIncarnation == 0 ? std::optional(fixture.reply(declared)) : std::nullopt;
    };
}

bool receivedRegistryRequest(const ScriptedCoordinator &coordinator)
{
    return std::any_of(coordinator.requests.begin(), coordinator.requests.end(), [](const WatchRequest &request) {
        return request.registryInterest != Protocol::RegistryInterest::NOTHING || request.wantsDeclaration;
    });
}

/** Texts with a common part whose position depends on the length of the name. */
std::string longText(const std::string &name)
{
    std::string text = name + "\n";
    for (int line = 0; line < 200; ++line) {
        text += "route number " + std::to_string(line * 7919) + "\n";
    }
    return text;
}

}

Test(FleetWatcher, requestsRegistryAndDeclarationFromTheSameZoneOnly)
{
    WatcherFixture fixture;
    const auto &sameZone = fixture.add("near", answerOnce(fixture, -1));
    const auto &otherRegion = fixture.add("far-1", answerOnce(fixture, -1));
    const auto &thirdRegion = fixture.add("far-2", answerOnce(fixture, -1));
    fixture.watcher.requestConfirmation();
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return receivedRegistryRequest(sameZone) && sameZone.requests.back().confirm;
    }));
    fixture.settle(Core::milliseconds(50));
    cr_assert_not(receivedRegistryRequest(otherRegion));
    cr_assert_not(receivedRegistryRequest(thirdRegion));
    cr_assert(otherRegion.requests.size() <= 1 && thirdRegion.requests.size() <= 1,
        "a coordinator of the same zone confirms as well, so hundreds of watchers need not send requests to a leader in another region");
}

Test(FleetWatcher, isConfirmedByAnotherRegionWhileTheSameZoneHasNoKnownLeader)
{
    WatcherFixture fixture;
    fixture.add("near", [&fixture](const WatchRequest &) -> std::optional<WatchReply> {
        auto reply = fixture.reply(-1);
        reply.hasLeader = false;
        return reply;
    });
    for (const auto *zone : {"far-1", "far-2"}) {
        fixture.add(zone, [&fixture](const WatchRequest &request) -> std::optional<WatchReply> {
            auto reply = fixture.reply(-1);
            reply.confirmed = request.confirm;
            return request.confirm ? std::optional(reply) : std::nullopt;
        });
    }
    fixture.watcher.requestConfirmation();
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return fixture.watcher.isConfirmed();
    }));
}

Test(FleetWatcher, requestsRegistryAndDeclarationFromAnotherRegionWhenTheSameZoneDoesNotReply)
{
    WatcherFixture fixture;
    const auto &otherRegion = fixture.add("far-1", [&fixture](const WatchRequest &) -> std::optional<WatchReply> {
        return fixture.reply(-1);
    });
    fixture.add("far-2", answerOnce(fixture, -1));
    fixture.add("near", [](const WatchRequest &) -> std::optional<WatchReply> {
        return std::nullopt;
    });
    fixture.watcher.requestConfirmation();
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return receivedRegistryRequest(otherRegion) || receivedRegistryRequest(*fixture.coordinators[1]);
    }));
}

Test(FleetWatcher, isConfirmedOnlyOnceItHoldsTheConfirmedVersion)
{
    WatcherFixture fixture(2);
    auto &sameZone = fixture.add("near", answerOnce(fixture, -1));
    for (const auto *zone : {"far-1", "far-2"}) {
        fixture.add(zone, [&fixture](const WatchRequest &) -> std::optional<WatchReply> {
            auto reply = fixture.reply(7);
            reply.confirmed = true;
            return reply;
        });
    }
    fixture.watcher.requestConfirmation();
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return receivedRegistryRequest(sameZone);
    }));
    fixture.settle(Core::milliseconds(50));
    cr_assert_not(fixture.watcher.isConfirmed(), "version 7 is confirmed, but its text has not been received");
    sameZone.script = [&fixture](const WatchRequest &request) -> std::optional<WatchReply> {
        if (!request.wantsDeclaration) {
            return std::nullopt;
        }
        auto reply = fixture.reply(7);
        reply.__set_declaration(Fleet::compressText("seven"));
        return reply;
    };
    for (const auto &answer : std::exchange(sameZone.held, {})) {
        answer(fixture.reply(7));
    }
    cr_assert(fixture.runUntil([&] {
        return fixture.watcher.isConfirmed();
    }));
    cr_assert(fixture.version == 7 && fixture.text == "seven");
}

Test(FleetWatcher, requestsOnlyDeparturesFromTheSecondCoordinatorUntilTheFirstFails)
{
    using Protocol::RegistryInterest;
    WatcherFixture fixture(2);
    auto &sameZone = fixture.add("near", answerOnce(fixture, -1));
    auto &otherRegion = fixture.add("far-1", answerOnce(fixture, -1));
    fixture.add("far-2", answerOnce(fixture, -1));
    fixture.start();
    const auto lastInterest = [](const ScriptedCoordinator &coordinator) {
        return coordinator.requests.empty() ? RegistryInterest::NOTHING : coordinator.requests.back().registryInterest;
    };
    const auto &thirdRegion = *fixture.coordinators[2];
    const auto second = [&]() -> const ScriptedCoordinator & {
        return lastInterest(otherRegion) == RegistryInterest::LEAVERS ? otherRegion : thirdRegion;
    };
    cr_assert(fixture.runUntil([&] {
        return lastInterest(sameZone) == RegistryInterest::EVERYTHING && lastInterest(second()) == RegistryInterest::LEAVERS;
    }));
    sameZone.server.reset();
    cr_assert(fixture.runUntil([&] {
        return lastInterest(otherRegion) == RegistryInterest::EVERYTHING || lastInterest(thirdRegion) == RegistryInterest::EVERYTHING;
    }),
        "although it holds the request for departures");
    auto &successor = *fixture.coordinators[lastInterest(otherRegion) == RegistryInterest::EVERYTHING ? 1 : 2];
    cr_assert(successor.requests.back().cursor == 0, "the whole registry is requested");
    // This coordinator holds two watch requests, the first of which the watcher has abandoned. The reply to the first one must be discarded. If it is handled
    // as the reply to the second one, the second request is sent once more and later abandoned with its channel, and its failure ends the process.
    cr_assert(successor.held.size() == 2);
    const auto requestsBefore = successor.requests.size();
    successor.held.front()(fixture.reply(-1));
    fixture.settle(Core::milliseconds(100));
    cr_assert(successor.requests.size() == requestsBefore);
}

// Guards against a new leader that counts the silence of a lost coordinator only from its own election on.
Test(FleetWatcher, remembersWhenALostCoordinatorLastReplied)
{
    WatcherFixture fixture(2);
    auto &lost = fixture.add("near", answerOnce(fixture, -1));
    fixture.add("far-1", answerOnce(fixture, -1));
    fixture.start();
    cr_assert(fixture.runUntil([&fixture] {
        return fixture.watcher.reachableCount() == 2;
    }));
    const auto address = lost.endpoint.toString();
    const auto replied = fixture.watcher.lastReplyFrom(address);
    cr_assert(replied.has_value());
    lost.server.reset();
    cr_assert(fixture.runUntil([&fixture] {
        return fixture.watcher.reachableCount() == 1;
    }));
    fixture.settle(Core::milliseconds(500));
    cr_assert(fixture.watcher.lastReplyFrom(address) == replied, "failed watch requests are no replies");
    cr_assert_not(fixture.watcher.lastReplyFrom("10.9.9.9:1").has_value());
}

// Guards against a watcher that stops sending watch requests for good. This happens when a watch request is sent twice and the channel of one of the two is
// closed after the order of the coordinators has changed.
Test(FleetWatcher, continuesToSendRequestsWhenTheOrderOfCoordinatorsChanges)
{
    WatcherFixture fixture;
    bool sameZoneHasLeader = true;
    auto &sameZone = fixture.add("near", [&](const WatchRequest &) -> std::optional<WatchReply> {
        auto reply = fixture.reply(-1);
        reply.hasLeader = sameZoneHasLeader;
        return reply;
    });
    const auto &otherRegion = fixture.add("far-1", [&fixture](const WatchRequest &) -> std::optional<WatchReply> {
        return fixture.reply(-1);
    });
    fixture.start();
    for (int round = 0; round < 5; ++round) {
        sameZoneHasLeader = false;
        const auto otherRegionBefore = otherRegion.requests.size();
        cr_assert(fixture.runUntil([&] {
            return otherRegion.requests.size() > otherRegionBefore + 2;
        }),
            "round %d: the coordinator of the other region has a leader",
            round);
        // The watcher requests updates from the coordinator of its zone again only once the one of the other region has lost its leader, too.
        sameZoneHasLeader = true;
        fixture.coordinators[1]->script = [&fixture](const WatchRequest &) -> std::optional<WatchReply> {
            auto reply = fixture.reply(-1);
            reply.hasLeader = false;
            return reply;
        };
        const auto sameZoneBefore = sameZone.requests.size();
        cr_assert(fixture.runUntil([&] {
            return sameZone.requests.size() > sameZoneBefore + 2;
        }),
            "round %d: the coordinator of the same zone has a leader again",
            round);
        fixture.coordinators[1]->script = [&fixture](const WatchRequest &) -> std::optional<WatchReply> {
            return fixture.reply(-1);
        };
    }
}

// Guards against applying a delta to a text other than its base, which happens when two coordinators send deltas from the same base and the second delta is
// applied to the result of the first.
Test(FleetWatcher, appliesADeltaToItsBaseTextOnly)
{
    WatcherFixture fixture(2);
    const std::vector<std::string> texts{"", longText("one"), longText("the second"), longText("three")};
    std::size_t wholeTexts = 0;
    const auto answer = [&](const WatchRequest &request, std::int64_t version) {
        auto reply = fixture.reply(version);
        const auto &text = texts.at(static_cast<std::size_t>(version));
        if (request.declarationVersion < 0) {
            ++wholeTexts;
            reply.__set_declaration(Fleet::compressText(text));
        } else {
            reply.__set_declarationDelta(Fleet::makeTextDelta(texts.at(static_cast<std::size_t>(request.declarationVersion)), text));
        }
        return reply;
    };
    auto &sameZone = fixture.add("near", [&](const WatchRequest &request) -> std::optional<WatchReply> {
        if (!request.wantsDeclaration) {
            // The watcher requests the text once it knows that this coordinator is in its zone.
            return fixture.reply(1);
        }
        return request.declarationVersion < 1 ? std::optional(answer(request, 1)) : std::nullopt;
    });
    auto &otherRegion = fixture.add("far-1", answerOnce(fixture, 1));
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return fixture.version == 1 && sameZone.held.size() == 1 && otherRegion.held.size() == 1;
    }));
    cr_assert(sameZone.requests.back().declarationVersion == 1);
    const auto deltaFromOne = answer(sameZone.requests.back(), 3);
    sameZone.script = [&](const WatchRequest &request) -> std::optional<WatchReply> {
        return request.declarationVersion < 3 ? std::optional(answer(request, 3)) : std::nullopt;
    };
    // The coordinator of the other region names version 2 and is asked for its text after the fallback delay, in which the first one does not send it.
    otherRegion.script = [&](const WatchRequest &request) -> std::optional<WatchReply> {
        return request.wantsDeclaration && request.declarationVersion < 2 ? std::optional(answer(request, 2)) : std::nullopt;
    };
    otherRegion.held.front()(fixture.reply(2));
    cr_assert(fixture.runUntil([&] {
        return fixture.version == 2;
    }));
    sameZone.held.front()(deltaFromOne);
    cr_assert(fixture.runUntil([&] {
        return fixture.version == 3;
    }));
    cr_assert(fixture.text == texts[3]);
    cr_assert(wholeTexts == 1, "the whole text was requested only once");
}

// After a stop of all processes the leader in another region may name the declaration's version before the coordinator of the same zone has sent its text.
// All requests of callers are refused until the confirmation is received, so the watcher must request it without the fallback delay.
Test(FleetWatcher, requestsTheConfirmationWithoutWaitingForTheDeclarationText)
{
    WatcherFixture fixture(1, Core::seconds(60));
    fixture.add("near", [](const WatchRequest &) {
        return std::nullopt;
    });
    fixture.add("far-1", [&fixture](const WatchRequest &request) -> std::optional<WatchReply> {
        auto reply = fixture.reply(7);
        reply.confirmed = request.coordinatorIncarnation != 0;
        return reply;
    });
    fixture.watcher.requestConfirmation();
    fixture.start();
    const auto &leader = *fixture.coordinators.back();
    cr_assert(fixture.runUntil([&leader] {
        return leader.requests.size() >= 2;
    }));
    fixture.version = 7;
    cr_assert(fixture.runUntil([&fixture] {
        return fixture.watcher.isConfirmed();
    }));
}

// A gateway that serves again after a start or a network partition has to know the zones that were evacuated meanwhile. The confirmation and the evacuations
// are sent in one reply.
Test(FleetWatcher, holdsTheNewestEvacuationsOnceItIsConfirmed)
{
    WatcherFixture fixture;
    const auto &sameZone = fixture.add("near", [&](const WatchRequest &request) -> std::optional<WatchReply> {
        if (request.evacuationRevision >= 3) {
            return std::nullopt;
        }
        auto reply = fixture.reply(-1);
        reply.confirmed = request.confirm;
        Protocol::Evacuations evacuations;
        evacuations.revision = 3;
        evacuations.zones = {"far-1"};
        reply.__set_evacuations(evacuations);
        return reply;
    });
    int arrivals = 0;
    fixture.watcher.evacuationsChanged = [&](const Protocol::Evacuations &evacuations) {
        arrivals += evacuations.zones == std::vector<std::string>{"far-1"} ? 1 : 100;
        cr_assert_not(fixture.watcher.isConfirmed(), "the evacuations are active before any request is served");
    };
    fixture.watcher.requestConfirmation();
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return fixture.watcher.isConfirmed();
    }));
    cr_assert(fixture.runUntil([&] {
        return sameZone.requests.back().evacuationRevision == 3;
    }));
    cr_assert_eq(arrivals, 1);
    cr_assert(fixture.watcher.evacuations().zones.size() == 1);
}

// Guards against a gateway that ignores every later evacuation, since it holds a revision from a coordinator that counted wrongly and that nobody else reached
// yet.
Test(FleetWatcher, takesTheConfirmedEvacuationsForAHigherRevisionThatWasNeverCommitted)
{
    WatcherFixture fixture;
    std::int64_t revision = 9;
    fixture.add("near", [&](const WatchRequest &request) -> std::optional<WatchReply> {
        const bool differs = request.evacuationRevision < revision || (request.confirm && request.evacuationRevision != revision);
        if (!differs && !request.confirm) {
            return std::nullopt;
        }
        auto reply = fixture.reply(-1);
        reply.confirmed = request.confirm;
        Protocol::Evacuations evacuations;
        evacuations.revision = revision;
        evacuations.zones = {"far-" + std::to_string(revision)};
        reply.__set_evacuations(evacuations);
        return reply;
    });
    fixture.start();
    auto &held = fixture.coordinators.back()->held;
    cr_assert(fixture.runUntil([&] {
        return fixture.watcher.evacuations().revision == 9 && held.size() == 1;
    }));
    revision = 4;
    // A reply that is not confirmed may come from a coordinator that lags behind.
    auto lagging = fixture.reply(-1);
    Protocol::Evacuations older;
    older.revision = 4;
    lagging.__set_evacuations(older);
    held.back()(lagging);
    cr_assert(fixture.runUntil([&held] {
        return held.size() == 2;
    }));
    cr_assert_eq(fixture.watcher.evacuations().revision, 9);
    fixture.watcher.requestConfirmation();
    held.back()(fixture.reply(-1));
    cr_assert(fixture.runUntil([&] {
        return fixture.watcher.isConfirmed();
    }));
    cr_assert_eq(fixture.watcher.evacuations().revision, 4);
    cr_assert(fixture.watcher.evacuations().zones == std::vector<std::string>{"far-4"});
}

namespace
{

void recordCrash(WatcherFixture &fixture, const std::string &digest)
{
    const auto now = fixture.timers.now();
    fixture.crashes.recordCrash(
        {.digest = Fleet::RequestDigest(digest), .attempt = "attempt", .backend = "server", .startedAt = now, .crashedAt = now + Core::milliseconds(10)});
    fixture.watcher.reportCrashes();
}

std::size_t reportsOf(const ScriptedCoordinator &coordinator, const std::string &digest)
{
    std::size_t count = 0;
    for (const auto &report : coordinator.crashReports) {
        count += static_cast<std::size_t>(std::count_if(report.begin(), report.end(), [&digest](const auto &record) {
            return record.digest == digest;
        }));
    }
    return count;
}

}

Test(FleetWatcher, reportsCrashesToEachWatchedCoordinatorOnce)
{
    WatcherFixture fixture(2);
    const auto &near = fixture.add("near", answerOnce(fixture, -1));
    const auto &far = fixture.add("far-1", answerOnce(fixture, -1));
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return !near.held.empty() && !far.held.empty();
    }));
    recordCrash(fixture, "first");
    cr_assert(fixture.runUntil([&] {
        return reportsOf(near, "first") == 1 && reportsOf(far, "first") == 1;
    }));
    recordCrash(fixture, "second");
    cr_assert(fixture.runUntil([&] {
        return reportsOf(near, "second") == 1 && reportsOf(far, "second") == 1;
    }));
    cr_assert_eq(reportsOf(near, "first"), 1);
}

Test(FleetWatcher, reportsCrashesAgainToARestartedCoordinator)
{
    WatcherFixture fixture;
    std::int64_t incarnation = 1;
    auto &coordinator = fixture.add("near", [&](const WatchRequest &request) -> std::optional<WatchReply> {
        auto reply = fixture.reply(-1);
        reply.coordinatorIncarnation = incarnation;
        return request.coordinatorIncarnation == incarnation ? std::nullopt : std::optional(reply);
    });
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return !coordinator.held.empty();
    }));
    recordCrash(fixture, "request");
    cr_assert(fixture.runUntil([&] {
        return reportsOf(coordinator, "request") == 1;
    }));
    ++incarnation;
    auto restarted = fixture.reply(-1);
    restarted.coordinatorIncarnation = incarnation;
    coordinator.held.back()(restarted);
    cr_assert(fixture.runUntil([&] {
        return reportsOf(coordinator, "request") == 2;
    }));
}

namespace
{

/** Makes the watcher a gateway that announces itself. */
void announceSelf(WatcherFixture &fixture)
{
    fixture.watcher.ownAnnouncement = [] {
        Protocol::BackendAnnouncement announcement;
        announcement.id = "gateway";
        announcement.address = "127.0.0.1:1";
        announcement.phase = Protocol::BackendPhase::READY;
        return announcement;
    };
}

}

// Guards against requests for contacts in deployments that need none, and against a contact from before the coordinator listed this gateway, or from before its
// restart, that counts as one with the list that contains it.
Test(FleetWatcher, holdsAStatementAboutContactsWithTheTimeSinceWhenItIsListed)
{
    WatcherFixture fixture;
    announceSelf(fixture);
    bool wantsContacts = false;
    fixture.watcher.wantsContacts = [&wantsContacts] {
        return wantsContacts;
    };
    std::int64_t incarnation = 1;
    const auto stated = [&](std::int32_t ageMs) {
        auto reply = fixture.reply(-1);
        reply.coordinatorIncarnation = incarnation;
        reply.__set_oldestContactAgeMs(ageMs);
        return reply;
    };
    auto &coordinator = fixture.add("near", [](const WatchRequest &) {
        return std::nullopt;
    });
    fixture.start();
    cr_assert(fixture.runUntil([&] {
        return coordinator.held.size() == 1;
    }));
    cr_assert_not(coordinator.requests.back().wantsContacts);
    wantsContacts = true;
    coordinator.held.back()(fixture.reply(-1));
    cr_assert(fixture.runUntil([&] {
        return coordinator.held.size() == 2;
    }));
    cr_assert(coordinator.requests.back().wantsContacts && !fixture.watcher.contactStatement().has_value());
    const auto sentBefore = fixture.timers.now();
    fixture.settle(Core::milliseconds(300));
    coordinator.held.back()(stated(100));
    cr_assert(fixture.runUntil([&] {
        return coordinator.held.size() == 3;
    }));
    const auto first = fixture.watcher.contactStatement().value();
    cr_assert(first.statedAt <= sentBefore && first.oldestContact == first.statedAt - Core::milliseconds(100), "counted from the sending of the request");
    cr_assert(first.listedSince < sentBefore);
    ++incarnation;
    coordinator.held.back()(stated(5));
    cr_assert(fixture.runUntil([&] {
        return coordinator.held.size() == 4;
    }));
    const auto restarted = fixture.watcher.contactStatement().value();
    cr_assert(restarted.listedSince > first.listedSince && restarted.listedSince >= sentBefore, "the new process lists this gateway since its reply");
}
