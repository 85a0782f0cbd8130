/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which question an answer of a coordinator is taken for. A question that was
// dropped may still be answered, also when its coordinator was given up meanwhile
// and is watched again since.

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

/** Answers the first question of a watcher and holds the others, unless told otherwise. */
class HoldingCoordinator : public Protocol::CoordinatorCobSvIf
{
public:
    HoldingCoordinator(TestSupport::LoopFixture &fixture, const std::vector<Protocol::CoordinatorPlace> &places)
        : endpoint(TestSupport::freeEndpoint()), places(places)
    {
        // The server must not own what owns it.
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
            throw std::runtime_error("this connection ends");
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

    /** Whether it holds so many questions, the last of them with this interest. */
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

    // The near one answers once more and ends, so the next one is asked for everything and its earlier question is dropped; that connection breaks.
    fixture.settle(GiveUpAfter + Core::milliseconds(100));
    near.held.front()(near.reply());
    cr_assert(fixture.runUntil([&near] {
        return near.held.size() == 2;
    }));
    places.pop_back();
    beside.breaksConnections = true;
    near.server.reset();
    // It is given up, since it has not answered for long, and is watched again because the far one names it.
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
    cr_assert_eq(beside.requests.size(), asked, "the answer to the dropped question was taken for the one to the question that is under way");
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

    // As above: the question that it holds is dropped, and it is given up.
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

    // It is watched again and asked once. Then there are two that are nearer, so it is not asked any more.
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

    // The dropped question fails now.
    beside.server.reset();
    fixture.settle();
    cr_assert_geq(watcher.reachableCount(), 2);
}
