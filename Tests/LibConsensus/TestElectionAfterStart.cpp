/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Elections after all members of the log were stopped and start at the same moment, as after a power loss. No request can be answered before
// one of them is the leader.
//
// Guards against split votes: with random timeouts, in one of several starts the members started an election within the same tick, split their
// votes, and waited for the usual election timeout. Every caller was refused for 1.4 s (heat network search).

#include <Support/FakeControlCluster.h>

#include <criterion/criterion.h>

using TestSupport::FakeControlCluster;

namespace
{

constexpr int Seeds = 40;
// The values that Services/coordinatord sets.
constexpr Core::Duration StaggerInterval = Core::milliseconds(100);
constexpr Core::Duration ElectionTimeout = Core::milliseconds(900);
// One-way delay between the most distant regions known.
constexpr Core::Duration MaximumDelay = Core::milliseconds(12);
// One stagger interval, the two round trips of an election (pre-vote and vote), and two ticks.
constexpr Core::Duration FirstElectionTime = StaggerInterval + 4 * MaximumDelay + Core::milliseconds(110);

Control::ControlNodeOptions options()
{
    Control::ControlNodeOptions options;
    options.log.heartbeatPeriod = Core::milliseconds(200);
    options.log.electionTimeout = ElectionTimeout;
    options.log.initialElectionStagger = StaggerInterval;
    return options;
}

void stopAll(FakeControlCluster &cluster)
{
    for (std::size_t index = 0; index < cluster.count(); ++index) {
        cluster.crash(index);
    }
}

bool anyNodeLeads(FakeControlCluster &cluster)
{
    for (std::size_t index = 0; index < cluster.count(); ++index) {
        auto *node = cluster.node(index);
        if (node != nullptr && node->log().role() == Consensus::Role::Leader) {
            return true;
        }
    }
    return false;
}

void startAllExcept(FakeControlCluster &cluster, std::size_t absent)
{
    for (std::size_t index = 0; index < cluster.count(); ++index) {
        if (index != absent) {
            cr_assert(cluster.restart(index).has_value());
        }
    }
}

/** A cluster that has elected a leader and whose members have then all been stopped. */
std::unique_ptr<FakeControlCluster> makeStoppedCluster(std::size_t members, std::uint64_t seed)
{
    auto cluster = std::make_unique<FakeControlCluster>(members, seed, options());
    cluster->faults.longestDelay = MaximumDelay;
    cluster->bootstrap(members);
    cr_assert(cluster->awaitLeader().has_value(), "seed %d", static_cast<int>(seed));
    stopAll(*cluster);
    return cluster;
}

}

Test(ElectionAfterStart, simultaneousStartElectsALeaderWithoutSplitVotes)
{
    for (int seed = 1; seed <= Seeds; ++seed) {
        for (const std::size_t members : {std::size_t(3), std::size_t(5)}) {
            const auto cluster = makeStoppedCluster(members, static_cast<std::uint64_t>(seed));
            startAllExcept(*cluster, members);
            cluster->run(FirstElectionTime);
            cr_assert(anyNodeLeads(*cluster), "no leader among %d members in the first stagger interval, seed %d", static_cast<int>(members), seed);
        }
    }
}

Test(ElectionAfterStart, secondVoterIsElectedWhenTheFirstIsDown)
{
    for (int seed = 1; seed <= Seeds; ++seed) {
        const auto cluster = makeStoppedCluster(3, static_cast<std::uint64_t>(seed));
        startAllExcept(*cluster, 0);
        cluster->run(StaggerInterval + FirstElectionTime);
        cr_assert(anyNodeLeads(*cluster), "no leader in the second stagger interval, seed %d", seed);
    }
}

Test(ElectionAfterStart, restartedFollowerDoesNotDisplaceTheLeader)
{
    for (int seed = 1; seed <= Seeds; ++seed) {
        FakeControlCluster cluster(3, static_cast<std::uint64_t>(seed), options());
        cluster.faults.longestDelay = MaximumDelay;
        cluster.bootstrap(3);
        const auto leader = cluster.awaitLeader();
        cr_assert(leader.has_value(), "seed %d", seed);
        const auto term = cluster.node(leader.value())->log().term();
        const std::size_t follower = (leader.value() + 1) % cluster.count();
        cluster.crash(follower);
        cr_assert(cluster.restart(follower).has_value());
        cluster.run(Core::seconds(3));
        cr_assert_eq(cluster.node(leader.value())->log().role(), Consensus::Role::Leader, "seed %d", seed);
        cr_assert_eq(cluster.node(leader.value())->log().term(), term, "seed %d", seed);
    }
}
