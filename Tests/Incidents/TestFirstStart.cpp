/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests that the log is founded although coordinators end during the very first start. The platform says only once that the system
// starts for the first time, so a coordinator that comes back has to know it by itself.

#include <Support/TestCoordinator.h>

using TestSupport::LoopFixture;
using TestSupport::TestCoordinator;

namespace
{

/** Three coordinators of a system without a log. */
class EmptySystem
{
public:
    EmptySystem()
    {
        for (int number = 0; number < 3; ++number) {
            this->coordinators.push_back(std::make_unique<TestCoordinator>(this->fixture, number));
            this->seeds.push_back(this->coordinators.back()->watch);
        }
    }

    void start(std::size_t number, bool isFirstStart, const std::vector<Core::Endpoint> &namedSeeds)
    {
        this->coordinators[number]->adjust = [isFirstStart](Coordinator::CoordinatorOptions &options) {
            options.mayBootstrap = isFirstStart;
        };
        this->coordinators[number]->start(namedSeeds);
    }

    [[nodiscard]] bool hasLeader()
    {
        return this->fixture.runUntil([this] {
            return std::any_of(this->coordinators.begin(), this->coordinators.end(), [](const auto &coordinator) {
                return coordinator->log().isLeader();
            });
        });
    }

    LoopFixture fixture;
    std::vector<std::unique_ptr<TestCoordinator>> coordinators;
    std::vector<Core::Endpoint> seeds;
};

}

// Guards against a log that is never founded because a coordinator ended before all had met.
Test(FirstStart, isRememberedByACoordinatorThatEndsBeforeAllHaveMet)
{
    for (std::size_t ended = 0; ended < 3; ++ended) {
        EmptySystem system;
        system.start(ended, true, system.seeds);
        system.coordinators[ended]->kill();
        for (std::size_t number = 0; number < 3; ++number) {
            system.start(number, number != ended, system.seeds);
        }
        cr_assert(system.hasLeader(), "coordinator %zu ended", ended);
    }
}

// Guards against a second log: with other seeds, a first start that is remembered is no reason to found one.
Test(FirstStart, isForgottenUnderOtherSeeds)
{
    EmptySystem system;
    for (std::size_t number = 0; number < 3; ++number) {
        system.start(number, true, system.seeds);
        system.coordinators[number]->kill();
    }
    const std::vector<Core::Endpoint> others{system.seeds[0], system.seeds[1]};
    system.start(0, false, others);
    system.start(1, false, others);
    system.fixture.settle(Core::seconds(3));
    for (const std::size_t number : {0, 1}) {
        cr_assert_not(system.coordinators[number]->log().log()->isInitialised());
    }
}
