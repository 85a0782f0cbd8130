/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of coordinators that are replaced in turn. They guard against a core that has lost its quorum for good after two planned replacements: coordinators
// that had ended still counted as voters when the next one was stopped, and no acknowledged declaration could be read any more.

#include <LibConsensus/Membership.h>
#include <Support/TestCoordinator.h>

#include <criterion/criterion.h>

using TestSupport::TestCoordinator;

namespace
{

/** Three coordinators that vote, and further ones that may be started to replace them. */
class CoreFixture
{
public:
    CoreFixture()
    {
        for (int number = 0; number < 5; ++number) {
            auto &coordinator = this->coordinators.emplace_back(std::make_unique<TestCoordinator>(this->fixture, number));
            coordinator->adjust = [number](Coordinator::CoordinatorOptions &options) {
                options.mayBootstrap = number < 3;
                options.membership.targetVoters = 3;
                // A voter that is stopped as planned must be replaced although it has not been silent for long.
                options.membership.replacementTimeout = std::chrono::hours(1);
                options.validateDeclaration = [](const std::string &) -> Core::Result<Fleet::DeclarationVersion> {
                    return Fleet::DeclarationVersion(1);
                };
            };
        }
        for (int number = 0; number < 3; ++number) {
            this->seeds.push_back(this->coordinators[static_cast<std::size_t>(number)]->watch);
        }
        for (std::size_t number = 0; number < 3; ++number) {
            this->coordinators[number]->start(this->seeds);
        }
        cr_assert(this->fixture.runUntil([this] {
            return this->leader() != nullptr;
        }));
        this->declare();
    }

    [[nodiscard]] TestCoordinator *leader() const
    {
        for (const auto &coordinator : this->coordinators) {
            if (coordinator->isRunning() && coordinator->log().isLeader()) {
                return coordinator.get();
            }
        }
        return nullptr;
    }

    void declare()
    {
        bool accepted = false;
        this->leader()->coordinator().declare("content", [&accepted](const Coordinator::OrderOutcome &outcome) {
            accepted = outcome.status == Coordinator::OrderStatus::Accepted;
        });
        cr_assert(this->fixture.runUntil([&accepted] {
            return accepted;
        }));
    }

    /** Whether exactly the running coordinators vote, as the leader has committed it. */
    [[nodiscard]] bool votersAreThoseThatRun() const
    {
        const auto *leading = this->leader();
        if (leading == nullptr) {
            return false;
        }
        const auto &log = *leading->log().log();
        if (log.commitIndex() < log.lastIndex()) {
            return false;
        }
        const auto &membership = log.membership();
        std::size_t running = 0;
        for (const auto &coordinator : this->coordinators) {
            const bool votes = std::any_of(membership.members.begin(), membership.members.end(), [&coordinator](const Protocol::Member &member) {
                return member.voter && !member.leaving && member.peerAddress == coordinator->peer.toString();
            });
            if (votes != coordinator->isRunning()) {
                return false;
            }
            running += coordinator->isRunning() ? 1 : 0;
        }
        return running == Consensus::voterCount(membership);
    }

    /** Starts a successor, and stops a coordinator as planned once the successor receives the log. */
    void replace(TestCoordinator &stopping, TestCoordinator &successor)
    {
        successor.start(this->seeds);
        cr_assert(this->fixture.runUntil([&successor] {
            return successor.log().version() == 1;
        }));
        bool stopped = false;
        stopping.coordinator().drain([&stopped] {
            stopped = true;
        });
        cr_assert(this->fixture.runUntil([&stopped] {
            return stopped;
        }));
        // Time in which the last messages of the process leave it.
        this->fixture.settle(Core::milliseconds(100));
        stopping.kill();
        cr_assert(this->fixture.runUntil([this] {
            return this->votersAreThoseThatRun();
        }));
    }

    /** Whether the declaration can be read, as the newest one, at any coordinator that runs. */
    [[nodiscard]] bool canRead()
    {
        return this->fixture.runUntil([this] {
            const auto confirmed = std::make_shared<bool>(false);
            for (const auto &coordinator : this->coordinators) {
                if (coordinator->isRunning()) {
                    coordinator->coordinator().read([confirmed](const Coordinator::ReadOutcome &outcome) {
                        *confirmed = *confirmed || (outcome.confirmed && outcome.version == 1);
                    });
                }
            }
            this->fixture.settle(Core::milliseconds(200));
            return *confirmed;
        });
    }

    TestSupport::LoopFixture fixture;
    std::vector<std::unique_ptr<TestCoordinator>> coordinators;
    std::vector<Core::Endpoint> seeds;
};

}

Test(LostQuorum, aCoordinatorThatIsStoppedAsPlannedIsReplacedAtOnce)
{
    CoreFixture fixture;
    auto &first = *fixture.leader();
    fixture.replace(first, *fixture.coordinators[3]);
    auto &second = *fixture.leader();
    fixture.replace(second, *fixture.coordinators[4]);
    // Three voters run, so the core survives the loss of any one of them.
    fixture.leader()->kill();
    cr_assert(fixture.canRead());
}
