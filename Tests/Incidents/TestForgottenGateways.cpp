/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of what coordinators state of gateways after all of them were killed at once. They guard against quota shares that are held twice: gateways that were
// cut off from the coordinators held theirs for up to 7 s more, and the others were told that every gateway was in contact, since the coordinators knew only
// those that had announced themselves again.

#include <Support/TestCoordinator.h>

#include <array>
#include <criterion/criterion.h>

namespace
{

using TestSupport::TestCoordinator;

/** Three coordinators and the watch requests of gateways. */
class GatewayFixture
{
public:
    GatewayFixture()
    {
        for (auto &coordinator : this->coordinators) {
            this->seeds.push_back(coordinator.watch);
            coordinator.adjust = [](Coordinator::CoordinatorOptions &options) {
                options.mayBootstrap = true;
                options.longPollTimeout = Core::milliseconds(300);
                options.validateDeclaration = [](const std::string &) -> Core::Result<Fleet::DeclarationVersion> {
                    return Fleet::DeclarationVersion(1);
                };
            };
        }
        this->startAll();
        cr_assert(this->fixture.runUntil([this] {
            return this->leader() != nullptr;
        }));
        bool accepted = false;
        this->leader()->declare("content", [&accepted](const Coordinator::OrderOutcome &outcome) {
            accepted = outcome.status == Coordinator::OrderStatus::Accepted;
        });
        cr_assert(this->fixture.runUntil([&accepted] {
            return accepted;
        }));
        for (auto &coordinator : this->coordinators) {
            coordinator.adjust = [](Coordinator::CoordinatorOptions &options) {
                options.longPollTimeout = Core::milliseconds(300);
            };
        }
    }

    void startAll()
    {
        for (auto &coordinator : this->coordinators) {
            coordinator.start(this->seeds);
        }
    }

    void restartAll()
    {
        // Longer than the period in which the list is stored.
        this->fixture.settle(Core::milliseconds(1200));
        for (auto &coordinator : this->coordinators) {
            coordinator.kill();
        }
        this->startAll();
    }

    [[nodiscard]] Coordinator::CoordinatorNode *leader()
    {
        const auto found = std::find_if(this->coordinators.begin(), this->coordinators.end(), [](const TestCoordinator &coordinator) {
            return coordinator.log().isLeader();
        });
        return found == this->coordinators.end() ? nullptr : &found->coordinator();
    }

    /** Sends a watch request of a gateway to the first coordinator, with the position of its last reply, and returns the reply. */
    Protocol::WatchReply watch(const std::string &id)
    {
        auto &last = this->replies[id];
        Protocol::WatchRequest request;
        request.watcherName = id;
        request.coordinatorIncarnation = last.coordinatorIncarnation;
        request.cursor = last.cursor;
        request.gatewayCursor = last.gatewayCursor;
        request.declarationVersion = last.declarationVersion;
        request.__set_wantsContacts(true);
        Protocol::BackendAnnouncement announcement;
        announcement.id = id;
        announcement.address = id.substr(0, id.find('/'));
        announcement.phase = Protocol::BackendPhase::READY;
        announcement.sequence = ++this->sequence;
        request.__set_gateway(announcement);
        std::optional<Protocol::WatchReply> reply;
        this->coordinators[0].coordinator().watch(request, [&reply](const Protocol::WatchReply &answer) {
            reply = answer;
        });
        cr_assert(this->fixture.runUntil([&reply] {
            return reply.has_value();
        }));
        last = reply.value();
        return last;
    }

    /** Returns whether a gateway is told within some seconds that all others are in contact, while `others` send requests as well. */
    bool isToldOfContacts(const std::string &id, const std::vector<std::string> &others, int rounds = 8)
    {
        for (int round = 0; round < rounds; ++round) {
            for (const auto &other : others) {
                (void)this->watch(other);
            }
            const auto reply = this->watch(id);
            if (reply.hasLeader && reply.__isset.oldestContactAgeMs) {
                return true;
            }
        }
        return false;
    }

    TestSupport::LoopFixture fixture;
    std::array<TestCoordinator, 3> coordinators{TestCoordinator(this->fixture, 0), TestCoordinator(this->fixture, 1), TestCoordinator(this->fixture, 2)};
    std::vector<Core::Endpoint> seeds;
    std::map<std::string, Protocol::WatchReply> replies;
    std::int64_t sequence{0};
};

}

// A gateway that is cut off is waited for although no coordinator has heard of it since they started.
Test(ForgottenGateways, areWaitedForAfterAllCoordinatorsRestarted)
{
    GatewayFixture fixture;
    (void)fixture.watch("cut/1");
    cr_assert(fixture.isToldOfContacts("other/1", {"cut/1"}, 100));
    fixture.restartAll();
    cr_assert_not(fixture.isToldOfContacts("other/2", {}));
    cr_assert(fixture.isToldOfContacts("other/2", {"cut/1"}, 100), "it is in contact again");
}

// A coordinator that has lost its disk does not know which gateways there were, and says nothing until it has heard from one that does.
Test(ForgottenGateways, anEmptyDiskIsNoCompleteList)
{
    GatewayFixture fixture;
    (void)fixture.watch("cut/1");
    fixture.fixture.settle(Core::milliseconds(1200));
    for (auto &coordinator : fixture.coordinators) {
        coordinator.kill();
    }
    fixture.coordinators[0].loseDisk();
    fixture.startAll();
    cr_assert_not(fixture.isToldOfContacts("other/1", {}));
    cr_assert(fixture.isToldOfContacts("other/1", {"cut/1"}, 100));
}
