/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The load pattern: backend servers refuse most requests for seconds, and 300
// gateways share 640 repeats in ten seconds beside a fifth of their requests. In
// equal parts that is two for each, and each sends to a shard twice in that time,
// so that nearly all of the slack was left while searches lacked shards for want of
// a repeat. Whoever gets which part, all together never exceed the slack.

#include <LibGateway/CellMap.h>
#include <LibGateway/RetryBudget.h>
#include <LibGateway/SlackShares.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using Gateway::CellKey;
using Gateway::SlackShares;

namespace
{

constexpr std::size_t Shards = 180;
const CellKey someCell(Shards, 3);
constexpr std::size_t ZonesOfShard = 3;
constexpr double Slack = 640.0;

Core::Instant at(double seconds)
{
    return Core::Instant() + Core::milliseconds(static_cast<int>(seconds * 1000.0));
}

}

Test(SlackShares, ownersHaveHalfOfIt)
{
    SlackShares owner({}, at(0.0));
    SlackShares other({}, at(0.0));
    for (auto *shares : {&owner, &other}) {
        shares->setGateways(300, true, at(0.0));
    }
    owner.setOwnCells({someCell}, at(0.0));
    const double ownerRepeats = Slack * owner.shareOfShard(someCell, ZonesOfShard, true, at(10.0));
    const double otherRepeats = Slack * other.shareOfShard(someCell, ZonesOfShard, true, at(10.0));
    cr_assert(ownerRepeats > 27.0 && ownerRepeats < 28.0, "%f", ownerRepeats);
    cr_assert(otherRepeats > 1.0 && otherRepeats < 1.1, "%f", otherRepeats);
    const auto owners = 4.0 * ZonesOfShard;
    cr_assert(owners * ownerRepeats + (300.0 - owners) * otherRepeats <= Slack + 0.001);
    cr_assert_eq(owner.shareOfShard(someCell, ZonesOfShard, false, at(10.0)), other.shareOfShard(someCell, ZonesOfShard, true, at(10.0)));
}

Test(SlackShares, aNewOwnerWaitsForAWindowAndAnOldOneStopsAtOnce)
{
    SlackShares shares({}, at(0.0));
    shares.setGateways(300, true, at(0.0));
    const double equalPart = shares.shareOfShard(someCell, ZonesOfShard, true, at(0.0));
    shares.setOwnCells({someCell}, at(5.0));
    cr_assert_eq(shares.shareOfShard(someCell, ZonesOfShard, true, at(14.9)), equalPart);
    cr_assert_gt(shares.shareOfShard(someCell, ZonesOfShard, true, at(15.0)), equalPart);
    shares.setGateways(300, true, at(20.0));
    shares.setOwnCells({}, at(20.0));
    cr_assert_eq(shares.shareOfShard(someCell, ZonesOfShard, true, at(20.0)), equalPart);
    shares.setOwnCells({someCell}, at(21.0));
    cr_assert_eq(shares.shareOfShard(someCell, ZonesOfShard, true, at(30.0)), equalPart, "the wait begins anew");
}

Test(SlackShares, fewGatewaysShareAlikeOnceThatIsSure)
{
    SlackShares shares({}, at(0.0));
    shares.setGateways(11, false, at(1.0));
    cr_assert_lt(shares.shareOfShard(someCell, ZonesOfShard, true, at(19.0)), 1.0 / 11);
    cr_assert_eq(shares.shareOfShard(someCell, ZonesOfShard, true, at(20.0)), 1.0 / 11);
    shares.setGateways(60, true, at(30.0));
    cr_assert_lt(shares.shareOfShard(someCell, ZonesOfShard, true, at(49.0)), 1.0 / 60);
    cr_assert_eq(shares.shareOfUnshardedService(), 1.0 / 60);
}

namespace
{

constexpr std::size_t GatewaysInZone = 10;
const std::vector<std::string> zoneNames{"a", "b", "c"};
const Fleet::RegionOfZone regions{{"a", "a"}, {"b", "b"}, {"c", "c"}};
const Core::ServiceName someShard("shard-1");
constexpr double Tick = 0.25;
constexpr double Length = 90.0;
constexpr double Window = 10.0;

/** A gateway that takes each repeat that it is given. */
struct GreedyGateway {
    std::string zone;
    std::string address;
    double runsFrom{0.0};
    double cutSince{-1.0};
    // When all others hear that it is there, and that it is gone.
    double knownFrom{0.0};
    double unknownFrom{1e9};
    std::unique_ptr<Gateway::CellMap> cells;
    std::unique_ptr<SlackShares> shares;
    std::unique_ptr<Gateway::RetryBudget> budget;
};

/** A fleet whose gateways are killed, start again, and are cut off from the news, and the repeats that it takes. */
class GreedyFleet
{
public:
    explicit GreedyFleet(std::uint64_t seed) : random(seed)
    {
        for (const auto &zone : zoneNames) {
            for (std::size_t number = 0; number < GatewaysInZone; ++number) {
                this->gateways.push_back({.zone = zone, .address = zone + std::to_string(number), .cells = nullptr, .shares = nullptr, .budget = nullptr});
                this->start(this->gateways.back(), 0.0);
            }
        }
    }

    void run()
    {
        for (double now = Tick; now < Length; now += Tick) {
            this->disturb(now);
            int taken = 0;
            for (auto &gateway : this->gateways) {
                taken += now >= gateway.runsFrom ? this->takeAll(gateway, now) : 0;
            }
            this->takenAt.push_back(taken);
        }
    }

    [[nodiscard]] int mostInAWindow() const
    {
        const auto ticks = static_cast<std::size_t>(Window / Tick);
        int most = 0;
        for (std::size_t first = 0; first + ticks <= this->takenAt.size(); ++first) {
            int sum = 0;
            for (std::size_t tick = first; tick < first + ticks; ++tick) {
                sum += this->takenAt[tick];
            }
            most = std::max(most, sum);
        }
        return most;
    }

private:
    double between(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(this->random);
    }

    void start(GreedyGateway &gateway, double now)
    {
        gateway.runsFrom = now;
        gateway.cutSince = -1.0;
        gateway.knownFrom = now + this->between(0.0, 2.0);
        gateway.unknownFrom = 1e9;
        gateway.cells = std::make_unique<Gateway::CellMap>(Gateway::CellOptions{}, gateway.zone, regions, gateway.address);
        gateway.shares = std::make_unique<SlackShares>(Gateway::SlackShareOptions{}, at(now));
        gateway.budget = std::make_unique<Gateway::RetryBudget>(
            Gateway::RetryBudgetOptions{.ratio = 0.2, .slack = Slack, .window = Core::seconds(10), .slackFrom = at(now + Window)});
    }

    void disturb(double now)
    {
        if (this->between(0.0, 1.0) < 0.004) {
            // A herd: all lose power.
            for (auto &gateway : this->gateways) {
                this->start(gateway, now + this->between(0.5, 1.0));
            }
        }
        for (auto &gateway : this->gateways) {
            const bool runs = now >= gateway.runsFrom;
            const double dice = this->between(0.0, 1.0);
            if (runs && dice < 0.002) {
                this->start(gateway, now + this->between(1.0, 20.0));
            } else if (runs && dice < 0.004 && gateway.cutSince < 0.0) {
                gateway.cutSince = now;
                gateway.unknownFrom = now + this->between(12.0, 13.0);
            } else if (gateway.cutSince >= 0.0 && now - gateway.cutSince > 20.0) {
                gateway.cutSince = -1.0;
                gateway.knownFrom = now + this->between(0.0, 2.0);
                gateway.unknownFrom = 1e9;
            }
        }
    }

    [[nodiscard]] bool isKnown(const GreedyGateway &gateway, double now) const
    {
        return now >= gateway.knownFrom && now < gateway.unknownFrom;
    }

    int takeAll(GreedyGateway &gateway, double now)
    {
        const bool hasReceivedUpdate = gateway.cutSince < 0.0;
        if (hasReceivedUpdate) {
            std::map<std::string, std::vector<Gateway::CellGateway>> known;
            for (const auto &other : this->gateways) {
                if (this->isKnown(other, now)) {
                    known[other.zone].push_back({.name = Gateway::BackendName(other.address), .address = other.address});
                }
            }
            gateway.cells->setGateways(known);
        }
        // As GatewayNode does it.
        const bool mayOwn = hasReceivedUpdate || now - gateway.cutSince < 5.0;
        gateway.shares->setGateways(static_cast<int>(this->gateways.size()), gateway.cells->cellsHaveOwners(), at(now));
        std::set<CellKey> own;
        for (const auto cell : gateway.cells->ownCells(Shards, 4)) {
            own.emplace(Shards, cell);
        }
        gateway.shares->setOwnCells(mayOwn ? own : std::set<CellKey>(), at(now));
        const CellKey cell(Shards, gateway.cells->cellOf(someShard, Shards, gateway.zone));
        int taken = 0;
        while (gateway.budget->consumeRetry(at(now), gateway.shares->shareOfShard(cell, zoneNames.size(), true, at(now)))) {
            ++taken;
        }
        return taken;
    }

    std::mt19937_64 random;
    std::vector<GreedyGateway> gateways;
    std::vector<int> takenAt;
};

}

Test(SlackShares, allTogetherStayWithinTheSlackWhateverComesAndGoes)
{
    int mostOfAll = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GreedyFleet fleet(seed);
        fleet.run();
        mostOfAll = std::max(mostOfAll, fleet.mostInAWindow());
        cr_assert_leq(fleet.mostInAWindow(), static_cast<int>(Slack), "seed %d", static_cast<int>(seed));
    }
    cr_assert_geq(mostOfAll, static_cast<int>(0.6 * Slack), "the slack is there to be used, and at most %d of it were", mostOfAll);
}
