/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests that the outcome of an abandoned watch request is not handled as the
// outcome of another one. An abandoned request may still be answered or fail,
// even after its coordinator was removed and added again.

#include <LibFleet/FleetWatcher.h>
#include <LibRpc/RpcServer.h>
#include <Support/LoopFixture.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <stdexcept>

namespace
{

using Protocol::RegistryInterest;
using Protocol::WatchReply;
using Protocol::WatchRequest;

constexpr Core::Duration RemovalTimeout = Core::seconds(1);

/** A coordinator that answers the first watch request and holds the others. */
class HoldingCoordinator : public Protocol::CoordinatorCobSvIf
{
public:
    HoldingCoordinator(TestSupport::LoopFixture &fixture, const std::vector<Protocol::CoordinatorPlace> &places)
        : endpoint(TestSupport::freeEndpoint()), places(places)
    {
        // The server must not own this object, which owns the server.
        const std::shared_ptr<HoldingCoordinator> unowned(this, [](HoldingCoordinator *) {
        });
        this->server = Rpc::RpcServer::create(
            {.name = "watch", .endpoint = this->endpoint, .processor = std::make_shared<Protocol::CoordinatorAsyncProcessor>(unowned), .limits = {}},
            fixture.timers)
                           .value();
    }

    void watch(std::function<void(WatchReply const &)> callback, const WatchRequest &request) override
    {
        this->requests.push_back(request);
        if (this->closesConnections) {
            throw std::runtime_error("the connection is closed");
        }
        if (request.coordinatorIncarnation == 0 && !this->holdsAll) {
            callback(this->reply());
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

    void reportCrashes(std::function<void(std::int32_t const &)> callback, const std::vector<Protocol::CrashRecord> &) override
    {
        callback(0);
    }

    [[nodiscard]] WatchReply reply() const
    {
        WatchReply made;
        made.coordinatorIncarnation = 1;
        made.coordinators = this->places;
        made.declarationVersion = -1;
        made.hasLeader = true;
        return made;
    }

    /** Whether `count` watch requests are held and the latest one has this registry interest. */
    [[nodiscard]] bool holds(std::size_t count, RegistryInterest::type interest) const
    {
        return this->held.size() == count && this->requests.back().registryInterest == interest;
    }

    Core::Endpoint endpoint;
    const std::vector<Protocol::CoordinatorPlace> &places;
    bool closesConnections{false};
    bool holdsAll{false};
    std::vector<WatchRequest> requests;
    std::vector<std::function<void(WatchReply const &)>> held;
    std::unique_ptr<Rpc::RpcServer> server;
};

Protocol::CoordinatorPlace placeOf(const HoldingCoordinator &coordinator, const std::string &zone)
{
    Protocol::CoordinatorPlace place;
    place.address = coordinator.endpoint.toString();
    place.zone = zone;
    return place;
}

bool knows(const Fleet::FleetWatcher &watcher, const HoldingCoordinator &coordinator)
{
    const auto endpoints = watcher.coordinators();
    return std::find(endpoints.begin(), endpoints.end(), coordinator.endpoint) != endpoints.end();
}

}

Test(WatchRequests, theReplyToAnAbandonedRequestIsDiscardedAfterItsCoordinatorIsAddedAgain)
{
    TestSupport::LoopFixture fixture;
    std::vector<Protocol::CoordinatorPlace> places;
    HoldingCoordinator sameZone(fixture, places);
    HoldingCoordinator sameRegion(fixture, places);
    HoldingCoordinator otherRegion(fixture, places);
    places = {placeOf(sameRegion, "beside"), placeOf(otherRegion, "far"), placeOf(sameZone, "near")};
    Fleet::BackendRegistry backends;
    Fleet::BackendRegistry gateways;
    Fleet::CrashLedger crashes;
    Fleet::FleetWatcher watcher(Fleet::WatcherOptions{.name = "gateway",
                                    .zone = "near",
                                    .regions = {{"near", "one"}, {"beside", "one"}, {"far", "two"}},
                                    .own = {},
                                    .maximumWatched = 3,
                                    .responseTimeout = Core::seconds(60),
                                    .removalTimeout = RemovalTimeout},
        backends,
        gateways,
        crashes,
        fixture.timers);
    watcher.addCoordinators({sameZone.endpoint, sameRegion.endpoint, otherRegion.endpoint});
    cr_assert(fixture.runUntil([&] {
        return sameZone.holds(1, RegistryInterest::EVERYTHING) && sameRegion.holds(1, RegistryInterest::LEAVERS)
            && otherRegion.holds(1, RegistryInterest::LEAVERS);
    }));

    // The coordinator of the same zone answers once more and ends. So the one of the same region is asked for the whole registry, its earlier request is
    // abandoned, and the connection of the new request breaks.
    fixture.settle(RemovalTimeout + Core::milliseconds(100));
    sameZone.held.front()(sameZone.reply());
    cr_assert(fixture.runUntil([&sameZone] {
        return sameZone.held.size() == 2;
    }));
    places.pop_back();
    sameRegion.closesConnections = true;
    sameZone.server.reset();
    // The coordinator of the same region is removed, since it has not replied for long, and added again, since a reply of the other region names it.
    cr_assert(fixture.runUntil([&] {
        return !knows(watcher, sameRegion) && otherRegion.holds(2, RegistryInterest::EVERYTHING);
    }));
    sameRegion.closesConnections = false;
    otherRegion.held.back()(otherRegion.reply());
    cr_assert(fixture.runUntil([&sameRegion] {
        return sameRegion.holds(2, RegistryInterest::EVERYTHING);
    }));
    const auto requestsBefore = sameRegion.requests.size();

    sameRegion.held.front()(sameRegion.reply());
    fixture.settle();
    cr_assert_eq(sameRegion.requests.size(), requestsBefore, "the reply to the abandoned request was handled as the reply to the request in flight");
}

Test(WatchRequests, theFailureOfAnAbandonedRequestIsDiscardedWhileItsCoordinatorIsNotWatched)
{
    TestSupport::LoopFixture fixture;
    std::vector<Protocol::CoordinatorPlace> places;
    HoldingCoordinator sameZoneFirst(fixture, places);
    HoldingCoordinator sameRegion(fixture, places);
    HoldingCoordinator otherRegion(fixture, places);
    HoldingCoordinator sameZoneSecond(fixture, places);
    HoldingCoordinator sameZoneThird(fixture, places);
    places = {placeOf(sameRegion, "beside"), placeOf(otherRegion, "far"), placeOf(sameZoneFirst, "near")};
    Fleet::BackendRegistry backends;
    Fleet::BackendRegistry gateways;
    Fleet::CrashLedger crashes;
    Fleet::FleetWatcher watcher(Fleet::WatcherOptions{.name = "gateway",
                                    .zone = "near",
                                    .regions = {{"near", "one"}, {"beside", "one"}, {"far", "two"}},
                                    .own = {},
                                    .responseTimeout = Core::seconds(60),
                                    .removalTimeout = RemovalTimeout},
        backends,
        gateways,
        crashes,
        fixture.timers);
    watcher.addCoordinators({sameZoneFirst.endpoint, sameRegion.endpoint, otherRegion.endpoint});
    cr_assert(fixture.runUntil([&] {
        return sameZoneFirst.holds(1, RegistryInterest::EVERYTHING) && sameRegion.holds(1, RegistryInterest::LEAVERS);
    }));

    // The coordinator of the same zone ends, so the request that the one of the same region holds is abandoned. New connections to that one break, so it is
    // removed.
    fixture.settle(RemovalTimeout + Core::milliseconds(100));
    sameZoneFirst.held.front()(sameZoneFirst.reply());
    cr_assert(fixture.runUntil([&sameZoneFirst] {
        return sameZoneFirst.held.size() == 2;
    }));
    places.pop_back();
    sameRegion.closesConnections = true;
    sameZoneFirst.server.reset();
    cr_assert(fixture.runUntil([&] {
        return !knows(watcher, sameRegion) && !otherRegion.held.empty();
    }));
    sameRegion.closesConnections = false;

    // The coordinator of the same region is added again and sent one watch request. Then two coordinators of the same zone are added, so the watcher sends no
    // more requests to it.
    sameRegion.holdsAll = true;
    otherRegion.held.back()(otherRegion.reply());
    cr_assert(fixture.runUntil([&] {
        return sameRegion.held.size() == 2 && otherRegion.requests.back().registryInterest == RegistryInterest::LEAVERS;
    }));
    places.push_back(placeOf(sameZoneSecond, "near"));
    places.push_back(placeOf(sameZoneThird, "near"));
    otherRegion.held.back()(otherRegion.reply());
    cr_assert(fixture.runUntil([&] {
        return !sameZoneSecond.held.empty() && !sameZoneThird.held.empty();
    }));
    sameRegion.held.back()(sameRegion.reply());
    fixture.settle();

    // The abandoned request fails now.
    sameRegion.server.reset();
    fixture.settle();
    cr_assert_geq(watcher.reachableCount(), 2);
}
