/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Checks how the slack of the retry budget is divided. The tests model a load
// where backend servers refuse most requests for seconds, and 300 gateways share
// 640 repeats in ten seconds in addition to a fifth of their requests. Equal
// shares are two repeats for each gateway, and each gateway sends to a shard
// twice in that time, so nearly all of the slack stayed unused while searches
// lacked shards because their gateways had no repeat left. However the slack is
// divided, the sum of all shares must not exceed it.

#include <LibGateway/CellMap.h>
#include <LibGateway/RetryBudget.h>
#include <LibGateway/SlackShares.h>

#include <Support/NodeFixture.h>
#include <algorithm>

#include <criterion/criterion.h>
#include <random>

using Gateway::CellKey;
using Gateway::SlackShares;

namespace
{

constexpr std::size_t Shards = 180;
const CellKey testCell(Shards, 3);
constexpr std::size_t ZonesOfShard = 3;
constexpr double Slack = 640.0;

Core::Instant at(double seconds)
{
    return Core::Instant() + Core::milliseconds(static_cast<int>(seconds * 1000.0));
}

}

Test(SlackShares, ownersGetHalfOfSlack)
{
    SlackShares owner({}, at(0.0));
    SlackShares other({}, at(0.0));
    for (auto *shares : {&owner, &other}) {
        shares->setGateways(300, true, at(0.0));
    }
    owner.setOwnCells({testCell}, at(0.0));
    const double ownerRepeats = Slack * owner.shareOfShard(testCell, ZonesOfShard, true, at(10.0));
    const double otherRepeats = Slack * other.shareOfShard(testCell, ZonesOfShard, true, at(10.0));
    cr_assert(ownerRepeats > 27.0 && ownerRepeats < 28.0, "%f", ownerRepeats);
    cr_assert(otherRepeats > 1.0 && otherRepeats < 1.1, "%f", otherRepeats);
    const auto owners = 4.0 * ZonesOfShard;
    cr_assert(owners * ownerRepeats + (300.0 - owners) * otherRepeats <= Slack + 0.001);
    cr_assert_eq(owner.shareOfShard(testCell, ZonesOfShard, false, at(10.0)), other.shareOfShard(testCell, ZonesOfShard, true, at(10.0)));
}

Test(SlackShares, newOwnerWaitsForOneWindowAndFormerOwnerStopsImmediately)
{
    SlackShares shares({}, at(0.0));
    shares.setGateways(300, true, at(0.0));
    const double equalShare = shares.shareOfShard(testCell, ZonesOfShard, true, at(0.0));
    shares.setOwnCells({testCell}, at(5.0));
    cr_assert_eq(shares.shareOfShard(testCell, ZonesOfShard, true, at(14.9)), equalShare);
    cr_assert_gt(shares.shareOfShard(testCell, ZonesOfShard, true, at(15.0)), equalShare);
    shares.setGateways(300, true, at(20.0));
    shares.setOwnCells({}, at(20.0));
    cr_assert_eq(shares.shareOfShard(testCell, ZonesOfShard, true, at(20.0)), equalShare);
    shares.setOwnCells({testCell}, at(21.0));
    cr_assert_eq(shares.shareOfShard(testCell, ZonesOfShard, true, at(30.0)), equalShare, "the waiting time starts again");
}

Test(SlackShares, fewGatewaysShareEquallyAfterTwoWindows)
{
    SlackShares shares({}, at(0.0));
    shares.setGateways(11, false, at(1.0));
    cr_assert_lt(shares.shareOfShard(testCell, ZonesOfShard, true, at(19.0)), 1.0 / 11);
    cr_assert_eq(shares.shareOfShard(testCell, ZonesOfShard, true, at(20.0)), 1.0 / 11);
    shares.setGateways(60, true, at(30.0));
    cr_assert_lt(shares.shareOfShard(testCell, ZonesOfShard, true, at(49.0)), 1.0 / 60);
    cr_assert_eq(shares.shareOfUnshardedService(), 1.0 / 60);
}

namespace
{

constexpr std::size_t GatewaysInZone = 10;
const std::vector<std::string> zoneNames{"a", "b", "c"};
const Fleet::RegionOfZone regions{{"a", "a"}, {"b", "b"}, {"c", "c"}};
const Core::ServiceName testShard("shard-1");
constexpr double TickSeconds = 0.25;
constexpr double RunSeconds = 90.0;
constexpr double WindowSeconds = 10.0;

/** A gateway that consumes every repeat that it is granted. */
struct GreedyGateway {
    std::string zone;
    std::string address;
    double startsAt{0.0};
    double disconnectedSince{-1.0};
    // When all other gateways learn that this one is running, and that it is gone.
    double knownToOthersFrom{0.0};
    double unknownToOthersFrom{1e9};
    std::unique_ptr<Gateway::CellMap> cells;
    std::unique_ptr<SlackShares> shares;
    std::unique_ptr<Gateway::RetryBudget> budget;
};

/** A fleet whose gateways are killed, restarted and disconnected from registry updates, and the repeats that it consumes. */
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
        for (double now = TickSeconds; now < RunSeconds; now += TickSeconds) {
            this->injectFailures(now);
            int consumed = 0;
            for (auto &gateway : this->gateways) {
                consumed += now >= gateway.startsAt ? this->consumeAll(gateway, now) : 0;
            }
            this->consumedPerTick.push_back(consumed);
        }
    }

    [[nodiscard]] int maximumInAnyWindow() const
    {
        const auto ticks = static_cast<std::size_t>(WindowSeconds / TickSeconds);
        int maximum = 0;
        for (std::size_t first = 0; first + ticks <= this->consumedPerTick.size(); ++first) {
            int sum = 0;
            for (std::size_t tick = first; tick < first + ticks; ++tick) {
                sum += this->consumedPerTick[tick];
            }
            maximum = std::max(maximum, sum);
        }
        return maximum;
    }

private:
    double between(double minimum, double maximum)
    {
        return std::uniform_real_distribution<double>(minimum, maximum)(this->random);
    }

    void start(GreedyGateway &gateway, double now)
    {
        gateway.startsAt = now;
        gateway.disconnectedSince = -1.0;
        gateway.knownToOthersFrom = now + this->between(0.0, 2.0);
        gateway.unknownToOthersFrom = 1e9;
        gateway.cells = std::make_unique<Gateway::CellMap>(Gateway::CellOptions{}, gateway.zone, regions, gateway.address);
        gateway.shares = std::make_unique<SlackShares>(Gateway::SlackShareOptions{}, at(now));
        gateway.budget = std::make_unique<Gateway::RetryBudget>(
            Gateway::RetryBudgetOptions{.ratio = 0.2, .slack = Slack, .window = Core::seconds(10), .slackFrom = at(now + WindowSeconds)});
    }

    void injectFailures(double now)
    {
        if (this->between(0.0, 1.0) < 0.004) {
            // All gateways lose power at the same time.
            for (auto &gateway : this->gateways) {
                this->start(gateway, now + this->between(0.5, 1.0));
            }
        }
        for (auto &gateway : this->gateways) {
            const bool isRunning = now >= gateway.startsAt;
            const double draw = this->between(0.0, 1.0);
            if (isRunning && draw < 0.002) {
                this->start(gateway, now + this->between(1.0, 20.0));
            } else if (isRunning && draw < 0.004 && gateway.disconnectedSince < 0.0) {
                gateway.disconnectedSince = now;
                gateway.unknownToOthersFrom = now + this->between(12.0, 13.0);
            } else if (gateway.disconnectedSince >= 0.0 && now - gateway.disconnectedSince > 20.0) {
                gateway.disconnectedSince = -1.0;
                gateway.knownToOthersFrom = now + this->between(0.0, 2.0);
                gateway.unknownToOthersFrom = 1e9;
            }
        }
    }

    [[nodiscard]] bool isKnownToOthers(const GreedyGateway &gateway, double now) const
    {
        return now >= gateway.knownToOthersFrom && now < gateway.unknownToOthersFrom;
    }

    int consumeAll(GreedyGateway &gateway, double now)
    {
        const bool hasReceivedUpdate = gateway.disconnectedSince < 0.0;
        if (hasReceivedUpdate) {
            std::map<std::string, std::vector<Gateway::CellGateway>> known;
            for (const auto &other : this->gateways) {
                if (this->isKnownToOthers(other, now)) {
                    known[other.zone].push_back({.name = Gateway::BackendName(other.address), .address = other.address});
                }
            }
            gateway.cells->setGateways(known);
        }
        // Same rule as in GatewayNode.
        const bool mayOwn = hasReceivedUpdate || now - gateway.disconnectedSince < 5.0;
        gateway.shares->setGateways(static_cast<int>(this->gateways.size()), gateway.cells->cellsHaveOwners(), at(now));
        std::set<CellKey> own;
        for (const auto cell : gateway.cells->ownCells(Shards, 4)) {
            own.emplace(Shards, cell);
        }
        gateway.shares->setOwnCells(mayOwn ? own : std::set<CellKey>(), at(now));
        const CellKey cell(Shards, gateway.cells->cellOf(testShard, Shards, gateway.zone));
        int consumed = 0;
        while (gateway.budget->consumeRetry(at(now), gateway.shares->shareOfShard(cell, zoneNames.size(), true, at(now)))) {
            ++consumed;
        }
        return consumed;
    }

    std::mt19937_64 random;
    std::vector<GreedyGateway> gateways;
    std::vector<int> consumedPerTick;
};

}

Test(SlackShares, sumStaysWithinSlackDespiteRestartsAndDisconnections)
{
    int maximumOfAllSeeds = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GreedyFleet fleet(seed);
        fleet.run();
        maximumOfAllSeeds = std::max(maximumOfAllSeeds, fleet.maximumInAnyWindow());
        cr_assert_leq(fleet.maximumInAnyWindow(), static_cast<int>(Slack), "seed %d", static_cast<int>(seed));
    }
    cr_assert_geq(maximumOfAllSeeds, static_cast<int>(0.6 * Slack), "the slack should be used, but at most %d repeats of it were consumed", maximumOfAllSeeds);
}

namespace
{

/** Declares a service and adds a backend server of it, without which a gateway is not ready. */
void declareService(TestSupport::NodeFixture &fixture)
{
    fixture.coordinator.declare(nlohmann::json::parse(R"({"version": 1, "services": [{"name": "a"}], "routes": [
        {"name": "a", "host": "h.example", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 100, "service": "a"}]})"));
    fixture.addBackend("a", "a-1", "here");
}

}

// Each side of a cut counted only its own gateways once the others had been silent for 15 s, and used the whole slack.
Test(SlackShares, countSilentGateways)
{
    TestSupport::NodeFixture fixture;
    declareService(fixture);
    Protocol::BackendAnnouncement other;
    other.zone = "there";
    other.slots = 1;
    for (const auto &[id, address, phase] : {std::tuple("cut-1", "10.0.0.1:1", Protocol::BackendPhase::SILENT),
             std::tuple("cut-2", "10.0.0.2:1", Protocol::BackendPhase::SILENT),
             std::tuple("cut-2-restarted", "10.0.0.2:1", Protocol::BackendPhase::SILENT),
             std::tuple("stopped", "10.0.0.3:1", Protocol::BackendPhase::GONE)}) {
        other.id = id;
        other.address = address;
        other.phase = phase;
        fixture.coordinator.gateways.merge(other, fixture.timers.now());
    }
    const auto &node = fixture.addNode("here");
    cr_assert(fixture.awaitReady());
    const auto metrics = node.node.metrics();
    cr_assert(metrics.find("crankrudder_gateways_sharing_slack 3\n") != std::string::npos, "this gateway and the two that are cut off");
    cr_assert(metrics.find("crankrudder_gateways 1\n") != std::string::npos, "%s", metrics.c_str());
}

// Guards against restarted gateways that count twice until the heartbeat timeout of their earlier processes: shares of the slack and of connections were too
// small for that long, half as large after a loss of all power.
Test(SlackShares, countARestartedGatewayOnce)
{
    TestSupport::NodeFixture fixture;
    declareService(fixture);
    Protocol::BackendAnnouncement other;
    other.zone = "here";
    other.slots = 1;
    other.address = "10.0.0.1:1";
    other.phase = Protocol::BackendPhase::READY;
    for (const char *id : {"other/1", "other/2"}) {
        other.id = id;
        fixture.coordinator.gateways.merge(other, fixture.timers.now());
    }
    const auto &node = fixture.addNode("here");
    cr_assert(fixture.runUntil([&fixture, &node] {
        return node.node.isReady() && fixture.coordinator.gateways.readyCount() == 3;
    }));
    // Gateways are counted once a second.
    fixture.settle(Core::milliseconds(2200));
    const auto metrics = node.node.metrics();
    cr_assert(metrics.find("crankrudder_gateways_sharing_slack 2\n") != std::string::npos, "%s", metrics.c_str());
    cr_assert(metrics.find("crankrudder_gateways 2\n") != std::string::npos, "%s", metrics.c_str());
}
