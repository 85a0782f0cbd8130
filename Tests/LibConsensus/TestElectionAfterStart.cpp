/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// All members of the log are stopped and start again at the same moment, as
// after a loss of power. Nothing can be answered before one of them leads.
//
// The pattern: with timeouts drawn at random the members stood within the same
// tick in one of several starts, split their votes, and waited out the usual
// timeout: 1.4 s in which each caller was refused (heat network search, the
// standard day trouble-3 of the users' bench).

#include <Support/FakeControlCluster.h>

#include <criterion/criterion.h>

using TestSupport::FakeControlCluster;

namespace
{

constexpr int Seeds = 40;
// As Services/coordinatord sets them.
constexpr Core::Duration Turn = Core::milliseconds(100);
constexpr Core::Duration UsualTimeout = Core::milliseconds(900);
// One way between the farthest regions that we know of.
constexpr Core::Duration FarthestWay = Core::milliseconds(12);
// A turn, the two rounds of an election, and two ticks.
constexpr Core::Duration FirstTurnElection = Turn + 4 * FarthestWay + Core::milliseconds(110);

Control::ControlNodeOptions options()
{
    Control::ControlNodeOptions options;
    options.log.heartbeatPeriod = Core::milliseconds(200);
    options.log.electionTimeout = UsualTimeout;
    options.log.initialElectionStagger = Turn;
    return options;
}

void stopAll(FakeControlCluster &cluster)
{
    for (std::size_t index = 0; index < cluster.count(); ++index) {
        cluster.crash(index);
    }
}

bool anyLeads(FakeControlCluster &cluster)
{
    for (std::size_t index = 0; index < cluster.count(); ++index) {
        auto *node = cluster.node(index);
        if (node != nullptr && node->log().role() == Consensus::Role::Leader) {
            return true;
        }
    }
    return false;
}

void startAllBut(FakeControlCluster &cluster, std::size_t absent)
{
    for (std::size_t index = 0; index < cluster.count(); ++index) {
        if (index != absent) {
            cr_assert(cluster.restart(index).has_value());
        }
    }
}

/** A log with a leader whose members have all been stopped. */
std::unique_ptr<FakeControlCluster> makeStoppedCluster(std::size_t members, std::uint64_t seed)
{
    auto cluster = std::make_unique<FakeControlCluster>(members, seed, options());
    cluster->faults.longestDelay = FarthestWay;
    cluster->bootstrap(members);
    cr_assert(cluster->awaitLeader().has_value(), "seed %d", static_cast<int>(seed));
    stopAll(*cluster);
    return cluster;
}

}

Test(ElectionAfterStart, membersThatStartTogetherDoNotSplitTheirVotes)
{
    for (int seed = 1; seed <= Seeds; ++seed) {
        for (const std::size_t members : {std::size_t(3), std::size_t(5)}) {
            const auto cluster = makeStoppedCluster(members, static_cast<std::uint64_t>(seed));
            startAllBut(*cluster, members);
            cluster->run(FirstTurnElection);
            cr_assert(anyLeads(*cluster), "no leader among %d members in the first turn, seed %d", static_cast<int>(members), seed);
        }
    }
}

Test(ElectionAfterStart, nextInTurnStandsWhenTheFirstIsAbsent)
{
    for (int seed = 1; seed <= Seeds; ++seed) {
        const auto cluster = makeStoppedCluster(3, static_cast<std::uint64_t>(seed));
        startAllBut(*cluster, 0);
        cluster->run(Turn + FirstTurnElection);
        cr_assert(anyLeads(*cluster), "no leader in the second turn, seed %d", seed);
    }
}

Test(ElectionAfterStart, memberThatStartsAloneDoesNotUnseatTheLeader)
{
    for (int seed = 1; seed <= Seeds; ++seed) {
        FakeControlCluster cluster(3, static_cast<std::uint64_t>(seed), options());
        cluster.faults.longestDelay = FarthestWay;
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
