/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How gateways choose among backend servers that refuse requests. Scenario: half of all
// servers refuse 0.6 of what reaches them for some seconds. A shard has a server in each
// of three regions and 40 requests a second, sent by six gateways, two in each region.

#include <LibGateway/BackendChoice.h>
#include <Support/GatewayFixture.h>

#include <LibGateway/Scheduling/LogLimit.h>
#include <array>
#include <criterion/criterion.h>

using Gateway::BackendName;

namespace
{

constexpr int Replicas = 3;

Core::Instant at(int milliseconds)
{
    return Core::Instant(Core::milliseconds(100'000 + milliseconds));
}

/** The servers of one shard, named by their regions 0 to 2, as a gateway in the region `home` knows them. */
struct View {
    explicit View(int home, std::uint64_t seed = 1) : choice({.seed = seed})
    {
        for (int region = 0; region < Replicas; ++region) {
            auto &server = this->servers[region];
            server.name = BackendName(std::to_string(region));
            server.sameZone = server.sameRegion = region == home;
            server.slots = 2;
            server.roundTrip = Core::milliseconds(region == home ? 2 : 16);
            server.serviceAcceptance = this->servers[0].serviceAcceptance;
        }
    }

    void record(int region, bool accepted, Core::Instant now)
    {
        accepted ? this->servers[region].health.recordAccepted(now) : this->servers[region].health.recordRefusal(now);
        this->servers[region].serviceAcceptance->record(accepted, now);
        this->changes += this->servers[region].health.takeAcceptanceChange(now).has_value() ? 1 : 0;
    }

    /** Records ten requests a second to each of the servers for two seconds, of which they refuse 0.6. */
    void recordRefusing(const std::vector<int> &regions)
    {
        for (int request = 0; request < 20 * static_cast<int>(regions.size()); ++request) {
            const int round = request / static_cast<int>(regions.size());
            this->record(regions[request % regions.size()], round % 5 < 2, at(round * 100));
        }
    }

    /** Returns the region of the chosen server, or -1. */
    int best(Core::Instant now, const std::vector<BackendName> &refusedBy = {}, std::optional<Core::Duration> within = {})
    {
        const bool mayProbe = this->probes && refusedBy.empty() && !within.has_value();
        const std::vector<Gateway::Backend *> candidates{&this->servers[0], &this->servers[1], &this->servers[2]};
        const auto *chosen
            = this->choice.best(candidates, {.typicalLatency = Core::milliseconds(15), .within = within, .refusedBy = refusedBy, .mayProbe = mayProbe}, now);
        return chosen == nullptr ? -1 : std::stoi(chosen->name.value());
    }

    Gateway::BackendChoice choice;
    std::array<Gateway::Backend, Replicas> servers;
    // Whether requests that were not refused yet may probe.
    bool probes{true};
    // Changes of the acceptance that were logged.
    int changes{0};
};

}

// Guards against gateways that all leave a server whose queue was full for some tens of milliseconds, and all return at once.
Test(ServerAcceptance, aBurstOfRefusalsCountsLessThanLastingOnes)
{
    View burst(0);
    for (int request = 0; request < 35; ++request) {
        burst.record(0, request < 20, at(request < 20 ? request * 100 : 1960 + 2 * request));
    }
    cr_assert_eq(burst.best(at(2030)), 0);
    View lasting(0);
    lasting.recordRefusing({0});
    cr_assert_neq(lasting.best(at(2000)), 0);
    cr_assert_eq(lasting.changes, 1, "a change is logged once");
    for (const int far : {1, 2}) {
        lasting.servers[far].roundTrip = Core::milliseconds(300);
    }
    cr_assert_eq(lasting.best(at(2000)), 0, "a path of 300 ms costs more than a repeat");
}

// Guards against gateways that forget a refusal before their next request: with 30 gateways, one sends a server one to three requests a second.
Test(ServerAcceptance, aGatewayWithTwoRequestsASecondRemembersRefusals)
{
    View view(0);
    for (int request = 0; request < 10; ++request) {
        view.record(0, request % 5 < 2, at(request * 500));
    }
    view.probes = false;
    cr_assert_neq(view.best(at(5900)), 0);
    cr_assert_geq(view.servers[0].health.refusedShare(0.0, at(5900)), 0.3);
}

// Guards against several requests that probe a server at a time, and against probes of servers that would not be chosen anyway.
Test(ServerAcceptance, oneRequestAtATimeProbesAServerThatWouldBeChosen)
{
    View view(0);
    view.recordRefusing({0});
    int probes = 0;
    Gateway::Attempt attempt{.startedAt = at(2700)};
    for (int time = 2000; time < 4000; time += 10) {
        if (view.best(at(time)) != 0) {
            continue;
        }
        cr_assert(time >= 2700, "too early");
        ++probes;
        // The probe stays in flight.
        view.servers[0].inFlight.push_back(&attempt);
    }
    cr_assert_eq(probes, 1);
    View far(0);
    far.recordRefusing({1});
    for (int time = 2000; time < 6000; time += 20) {
        far.record(0, true, at(time));
        cr_assert_eq(far.best(at(time)), 0, "the server in the own region is better than one that recovers in another");
    }
}

// Guards against a recovered server that stays without requests, and against one that is tried all the time while it refuses.
Test(ServerAcceptance, aRefusingServerIsTriedAboutOnceASecond)
{
    View view(0);
    view.recordRefusing({0});
    std::vector<int> tries;
    for (int time = 2000; time < 10'000; time += 20) {
        const int chosen = view.best(at(time));
        view.record(chosen, chosen != 0, at(time));
        if (chosen == 0) {
            tries.push_back(time);
        }
    }
    cr_assert(tries.size() >= 8 && tries.size() <= 12, "%zu", tries.size());
    cr_assert(tries.front() <= 3500, "%d", tries.front());
}

// Guards against load reports that are false, old or missing and make a server look fast, and against the speed of refusals counting in its favour.
Test(ServerAcceptance, noLoadReportMakesARefusingServerAttractive)
{
    const Gateway::LoadReport idle{.running = 0, .waiting = 0, .slots = 1000, .slowdown = 0.0};
    for (const int reportedAt : {-1, 1000, 2000}) {
        View view(0);
        view.recordRefusing({0});
        view.servers[0].health.recordReply(reportedAt < 0 ? std::nullopt : std::optional(idle), at(reportedAt));
        cr_assert_neq(view.best(at(2000)), 0, "reported at %d", reportedAt);
    }
    cr_assert_gt(Gateway::refusalCost(0.6, {.roundTrip = 1.0, .repeatPrice = 200.0, .own = 500.0, .nextBest = 20.0}), 100.0);
}

// Guards against a change of the choice where no server refuses: same random numbers, same scores.
Test(ServerAcceptance, withoutRefusalsOnlyLatencyAndBiasCount)
{
    View view(0, 7);
    std::mt19937_64 random(7);
    for (int round = 0; round < 300; ++round) {
        std::array<double, Replicas> scores{};
        for (int region = 0; region < Replicas; ++region) {
            auto &health = view.servers[region].health;
            health.recordAnswer((round / 10 + region) % Replicas == 0 ? 4.0 : 1.0, at(round * 10));
            view.record(region, true, at(round * 10));
            const double latency = 15.0 * health.expectedFactor(0, 2, at(round * 10)) + (region == 0 ? 0.0 : 16.0);
            scores[region] = latency * (1.0 + std::uniform_real_distribution<double>(0.0, 0.15)(random)) + (region == 0 ? 0.0 : 30.0);
        }
        cr_assert_eq(view.best(at(round * 10)), std::min_element(scores.begin(), scores.end()) - scores.begin(), "round %d", round);
    }
}

Test(ServerAcceptance, hedgesAreNotSentToServersThatRefuse)
{
    View view(0);
    view.recordRefusing({0});
    cr_assert_eq(view.best(at(2000), {BackendName("1")}, Core::milliseconds(200)), 2);
    cr_assert_eq(view.best(at(2000), {BackendName("1"), BackendName("2")}, Core::milliseconds(200)), -1);
}

Test(ServerAcceptance, whenAllRefuseEachGetsTheRequestOnceAndThenTheBestAgain)
{
    View view(0);
    view.recordRefusing({0, 1, 2});
    std::vector<BackendName> refusedBy;
    for (int send = 0; send < Replicas; ++send) {
        const BackendName chosen(std::to_string(view.best(at(2000), refusedBy)));
        cr_assert(std::find(refusedBy.begin(), refusedBy.end(), chosen) == refusedBy.end());
        refusedBy.push_back(chosen);
    }
    cr_assert_eq(view.best(at(2000), refusedBy), 0);
}

// Guards against gateways that flood servers when these recover. Each of the eight combinations of refusing servers stands for 20 shards, whose
// arrivals are added up, so that the counts show the choices and not the randomness of arrivals.
Test(ServerAcceptance, halfOfAllServersRecoverAtOnceAndNoneIsFlooded)
{
    constexpr int Patterns = 8;
    constexpr int ShardsPerPattern = 20;
    constexpr int Window = 500;
    constexpr int Windows = 16;
    constexpr double Mean = ShardsPerPattern * 40.0 * Window / 1000.0 / Replicas;
    std::array<std::array<std::array<double, Replicas>, Patterns>, Windows> shares{};
    std::mt19937_64 random(11);
    for (int shard = 0; shard < Patterns * ShardsPerPattern; ++shard) {
        const int pattern = shard % Patterns;
        std::vector<std::unique_ptr<View>> gateways;
        for (int gateway = 0; gateway < 6; ++gateway) {
            gateways.push_back(std::make_unique<View>(gateway % Replicas, 1000 * shard + gateway));
        }
        for (int time = shard % 25; time < Windows * Window; time += 25) {
            auto &view = *gateways[random() % gateways.size()];
            const bool isFault = time >= 1000 && time < 5000;
            std::vector<BackendName> refusedBy;
            for (bool accepted = false; !accepted && refusedBy.size() < 3;) {
                const int chosen = view.best(at(time), refusedBy);
                accepted = !isFault || (pattern >> chosen & 1) == 0 || random() % 10 >= 6;
                shares[time / Window][pattern][chosen] += 1.0 / Mean;
                view.record(chosen, accepted, at(time));
                refusedBy.emplace_back(std::to_string(chosen));
            }
        }
    }
    // A recovered server is found within a second. It never gets more than 1.5 times the mean, and nor does any server after 1.5 seconds.
    for (int window = 10; window < Windows; ++window) {
        for (int row = 0; row < Patterns * Replicas; ++row) {
            const double share = shares[window][row / Replicas][row % Replicas];
            const bool hasRecovered = (row / Replicas >> row % Replicas & 1) != 0;
            cr_assert((!hasRecovered && window < 13) || share < 1.5, "window %d, row %d: %f", window, row, share);
            cr_assert(window < 12 || share > 0.5, "window %d, row %d: %f", window, row, share);
        }
    }
}

// Guards against a retry that goes to a server that does not respond because the other one refused once.
Test(ServerAcceptance, aRequestReturnsToARefusingServerWhenTheOtherIsAvoided)
{
    TestSupport::GatewayFixture fixture;
    fixture.route().maximumAttempts = 2;
    fixture.route().targetLatency = Core::milliseconds(200);
    fixture.route().targets = {{.service = Core::ServiceName("s"), .weight = 1.0}};
    bool accepts = false;
    const auto &refusing = fixture.add("s", "refusing", [&accepts](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        exchange->respond(accepts ? TestSupport::successResponse(request, "sig", "fine") : TestSupport::errorResponse(request, 503, true));
        accepts = !accepts;
    });
    const auto &avoided = fixture.add("s", "avoided", [](const Wire::Request &, const Wire::ExchangePointer &) {
    });
    const Core::ServiceName service("s");
    const std::vector<BackendName> tried{BackendName("refusing")};
    auto *other = fixture.pool.choose({.service = service, .tried = tried, .allowedRegions = {}, .within = std::nullopt});
    other->health.recordUnresponsive(fixture.timers.now());
    cr_assert_eq(fixture.ask("r1", "POST").body, std::string("fine"));
    cr_assert(refusing.requests.size() == 2 && avoided.requests.empty());
    cr_assert_eq(fixture.pool.counters().notExecuted, 1);
}

// Guards against a log line for each of thousands of servers that begin to refuse in the same second.
Test(ServerAcceptance, changesAreLoggedWithinABound)
{
    Gateway::LogLimit limit(Gateway::AcceptanceLinesPerSecond);
    int lines = 0;
    for (int change = 0; change < 1000; ++change) {
        lines += limit.take(Core::Instant() + change * Core::Duration(900)).has_value() ? 1 : 0;
    }
    cr_assert_eq(lines, Gateway::AcceptanceLinesPerSecond);
    const auto omitted = limit.take(Core::Instant() + Core::seconds(1));
    cr_assert(omitted == 1000 - Gateway::AcceptanceLinesPerSecond);
}
