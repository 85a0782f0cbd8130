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

constexpr Core::Duration GiveUpAfter = Core::seconds(1);

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
        if (this->breaksConnections) {
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
    bool breaksConnections{false};
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

bool watches(const Fleet::FleetWatcher &watcher, const HoldingCoordinator &coordinator)
{
    const auto endpoints = watcher.coordinators();
    return std::find(endpoints.begin(), endpoints.end(), coordinator.endpoint) != endpoints.end();
}

}

Test(WatcherQuestions, anAnswerToADroppedQuestionIsNotTakenOnceItsCoordinatorIsWatchedAgain)
{
    TestSupport::LoopFixture fixture;
    std::vector<Protocol::CoordinatorPlace> places;
    HoldingCoordinator near(fixture, places);
    HoldingCoordinator beside(fixture, places);
    HoldingCoordinator far(fixture, places);
    places = {placeOf(beside, "beside"), placeOf(far, "far"), placeOf(near, "near")};
    Fleet::BackendRegistry backends;
    Fleet::BackendRegistry gateways;
    Fleet::FleetWatcher watcher(Fleet::WatcherOptions{.name = "gateway",
                                    .zone = "near",
                                    .regions = {{"near", "one"}, {"beside", "one"}, {"far", "two"}},
                                    .own = {},
                                    .maximumWatched = 3,
                                    .responseTimeout = Core::seconds(60),
                                    .removalTimeout = GiveUpAfter},
        backends,
        gateways,
        fixture.timers);
    watcher.addCoordinators({near.endpoint, beside.endpoint, far.endpoint});
    cr_assert(fixture.runUntil([&] {
        return near.holds(1, RegistryInterest::EVERYTHING) && beside.holds(1, RegistryInterest::LEAVERS) && far.holds(1, RegistryInterest::LEAVERS);
    }));

    // The coordinator of the same zone answers once more and ends. So the one of the same region is asked for the whole registry, its earlier request is
    // abandoned, and the connection of the new request breaks.
    fixture.settle(GiveUpAfter + Core::milliseconds(100));
    near.held.front()(near.reply());
    cr_assert(fixture.runUntil([&near] {
        return near.held.size() == 2;
    }));
    places.pop_back();
    beside.breaksConnections = true;
    near.server.reset();
    // The coordinator of the same region is removed, since it has not replied for long, and added again, since a reply of the other region names it.
    cr_assert(fixture.runUntil([&] {
        return !watches(watcher, beside) && far.holds(2, RegistryInterest::EVERYTHING);
    }));
    beside.breaksConnections = false;
    far.held.back()(far.reply());
    cr_assert(fixture.runUntil([&beside] {
        return beside.holds(2, RegistryInterest::EVERYTHING);
    }));
    const auto asked = beside.requests.size();

    beside.held.front()(beside.reply());
    fixture.settle();
    cr_assert_eq(beside.requests.size(), asked, "the reply to the abandoned request was handled as the reply to the request in flight");
}

Test(WatcherQuestions, aFailureOfADroppedQuestionIsNotTakenForOneOfACoordinatorThatIsNotAsked)
{
    TestSupport::LoopFixture fixture;
    std::vector<Protocol::CoordinatorPlace> places;
    HoldingCoordinator first(fixture, places);
    HoldingCoordinator beside(fixture, places);
    HoldingCoordinator far(fixture, places);
    HoldingCoordinator second(fixture, places);
    HoldingCoordinator third(fixture, places);
    places = {placeOf(beside, "beside"), placeOf(far, "far"), placeOf(first, "near")};
    Fleet::BackendRegistry backends;
    Fleet::BackendRegistry gateways;
    Fleet::FleetWatcher watcher(Fleet::WatcherOptions{.name = "gateway",
                                    .zone = "near",
                                    .regions = {{"near", "one"}, {"beside", "one"}, {"far", "two"}},
                                    .own = {},
                                    .responseTimeout = Core::seconds(60),
                                    .removalTimeout = GiveUpAfter},
        backends,
        gateways,
        fixture.timers);
    watcher.addCoordinators({first.endpoint, beside.endpoint, far.endpoint});
    cr_assert(fixture.runUntil([&] {
        return first.holds(1, RegistryInterest::EVERYTHING) && beside.holds(1, RegistryInterest::LEAVERS);
    }));

    // The coordinator of the same zone ends, so the request that the one of the same region holds is abandoned. New connections to that one break, so it is
    // removed.
    fixture.settle(GiveUpAfter + Core::milliseconds(100));
    first.held.front()(first.reply());
    cr_assert(fixture.runUntil([&first] {
        return first.held.size() == 2;
    }));
    places.pop_back();
    beside.breaksConnections = true;
    first.server.reset();
    cr_assert(fixture.runUntil([&] {
        return !watches(watcher, beside) && !far.held.empty();
    }));
    beside.breaksConnections = false;

    // The coordinator of the same region is added again and sent one watch request. Then two coordinators of the same zone are added, so the watcher sends no
    // more requests to it.
    beside.holdsAll = true;
    far.held.back()(far.reply());
    cr_assert(fixture.runUntil([&] {
        return beside.held.size() == 2 && far.requests.back().registryInterest == RegistryInterest::LEAVERS;
    }));
    places.push_back(placeOf(second, "near"));
    places.push_back(placeOf(third, "near"));
    far.held.back()(far.reply());
    cr_assert(fixture.runUntil([&] {
        return !second.held.empty() && !third.held.empty();
    }));
    beside.held.back()(beside.reply());
    fixture.settle();

    // The abandoned request fails now.
    beside.server.reset();
    fixture.settle();
    cr_assert_geq(watcher.reachableCount(), 2);
}
