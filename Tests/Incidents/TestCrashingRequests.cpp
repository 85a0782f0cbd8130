/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against sending a request that crashes every backend server that runs it to
// one server after the other: by repeats and hedges of one attempt, by retries of its
// caller, and whenever it comes back, at any gateway.

#include <Support/NodeFixture.h>

#include <criterion/criterion.h>

using TestSupport::NodeFixture;

namespace
{

constexpr int NotRun = 503;
constexpr int Ok = 200;
constexpr int Shards = 6;
constexpr const char *CrashingTarget = "/search/crash";

nlohmann::json declaration()
{
    auto document = nlohmann::json::parse(R"({"version": 1,
        "routes": [
            {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 1000,
             "gather": [], "max_attempts": 2, "top_k": 5, "min_coverage": 0.5},
            {"name": "one", "host": "h.example", "path_prefix": "/one/", "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 1000,
             "max_attempts": 2, "service": "one"},
            {"name": "action", "host": "h.example", "path_prefix": "/action/", "route_type": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 1000,
             "max_attempts": 2, "service": "one"}],
        "services": [{"name": "one", "max_conns": 200}]})");
    for (int shard = 0; shard < Shards; ++shard) {
        const auto name = "shard-" + std::to_string(shard);
        document["routes"][0]["gather"].push_back(name);
        document["services"].push_back({{"name", name}, {"max_conns", 200}});
    }
    return document;
}

/** Gateways, and backend servers that crash while they run a request whose target contains "crash". */
class CrashFixture : public NodeFixture
{
public:
    explicit CrashFixture(int gateways)
    {
        this->coordinator.declare(declaration());
        for (int number = 0; number < gateways; ++number) {
            this->addNode("here");
        }
        this->replaceCrashed();
        cr_assert(this->awaitReady());
    }

    /** Starts a backend server of each service in place of every one that has crashed. */
    void replaceCrashed()
    {
        for (int shard = 0; shard < Shards; ++shard) {
            this->fill("shard-" + std::to_string(shard));
        }
        this->fill("one");
        this->settle(Core::milliseconds(200));
    }

    /** Sends a request at one gateway, replaces the backend servers that crashed, and returns the status. */
    int askOnce(std::size_t gateway, const std::string &target)
    {
        const auto status = this->ask(*this->nodes[gateway], target).status;
        this->replaceCrashed();
        return status;
    }

    /** Sends a request at the first gateway and leaves while a backend server runs it. */
    void askAndLeave(const std::string &target)
    {
        const int before = this->crashes;
        std::string bytes;
        (void)Wire::appendRequest(bytes,
            {.method = "GET",
                .target = target,
                .headers = {{"Host", "h.example"}, {"Request-Id", "left-" + std::to_string(before)}, {"Deadline-Ms", "5000"}},
                .body = {}});
        const auto connection = Wire::ClientConnection::create({.endpoint = this->nodes[0]->callerEndpoint}, *this->poll, this->timers).value();
        connection->send({.bytes = std::move(bytes), .recognise = {}, .done = {}});
        cr_assert(this->runUntil([&] {
            return this->crashes > before;
        }));
        connection->close();
        this->settle(2 * this->runTime);
        this->replaceCrashed();
    }

    /** Ends all backend servers at the same moment, while they run what they have received. */
    void endAll()
    {
        for (const auto &[name, backend] : this->running) {
            backend->server.reset();
        }
    }

    /** Announces that all backend servers are in a phase, and waits until the gateways know it. */
    void announceAll(Protocol::BackendPhase::type phase)
    {
        for (const auto *announcement : this->coordinator.backends.ready()) {
            this->announced.push_back(*announcement);
        }
        for (auto &announcement : this->announced) {
            announcement.phase = phase;
            ++announcement.sequence;
            this->coordinator.backends.merge(announcement, this->timers.now());
        }
        this->settle();
    }

    /** Ends the backend servers of one service. */
    void endService(const std::string &service)
    {
        for (int replica = 0; replica < Replicas; ++replica) {
            this->running[service + "/" + std::to_string(replica)]->server.reset();
        }
    }

    /** The standing of the only request that a gateway suspects or has quarantined; empty if there is none. */
    [[nodiscard]] std::string standingAt(std::size_t gateway) const
    {
        const auto document = nlohmann::json::parse(this->nodes[gateway]->node.dump());
        const auto &listed = document["crashing_requests"];
        return listed.empty() ? std::string() : listed[0]["standing"].get<std::string>();
    }

    /** Number of runs of crashing requests so far. */
    int crashes{0};
    /** Number of runs of other requests so far. */
    int harmlessRuns{0};
    /** Treats harmless requests in place of an answer. */
    TestSupport::ScriptedBackend::Script harmless;
    /** Time from the start of a crashing run to the crash. */
    Core::Duration runTime{Core::milliseconds(2)};

private:
    static constexpr int Replicas = 2;

    void fill(const std::string &service)
    {
        for (int replica = 0; replica < Replicas; ++replica) {
            auto &running = this->running[service + "/" + std::to_string(replica)];
            if (running == nullptr || !running->server) {
                running = &this->start(service);
            }
        }
    }

    TestSupport::ScriptedBackend &start(const std::string &service)
    {
        auto &backend = this->addBackend(service, "server-" + std::to_string(++this->lastBackend), "here");
        backend.script = [this, &backend, answer = backend.script](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            if (request.target.find("crash") == std::string::npos) {
                ++this->harmlessRuns;
                (this->harmless ? this->harmless : answer)(request, exchange);
                return;
            }
            ++this->crashes;
            this->pending.push_back(this->timers.once(this->runTime, [&backend](Core::Instant) {
                backend.server.reset();
            }));
        };
        return backend;
    }

    std::vector<Protocol::BackendAnnouncement> announced;
    std::map<std::string, TestSupport::ScriptedBackend *> running;
    std::vector<Core::TimerSubscription> pending;
    int lastBackend{0};
};

}

Test(CrashingRequests, searchIsNotSentAfterThreeRoundsOfCrashes)
{
    CrashFixture fixture(1);
    static constexpr int Rounds = 3;
    for (int round = 0; round < Rounds; ++round) {
        (void)fixture.askOnce(0, CrashingTarget);
    }
    const int before = fixture.crashes;
    const auto answer = fixture.ask(*fixture.nodes[0], CrashingTarget);
    cr_assert_eq(answer.status, NotRun, "answered with %d", answer.status);
    cr_assert_eq(fixture.crashes, before, "%d more backend servers ran it", fixture.crashes - before);
    const auto *retryAfter = Wire::findHeader(answer.headers, "Retry-After");
    cr_assert(retryAfter != nullptr && std::stod(*retryAfter) > 60.0, "the caller is told when it may be run again");
    cr_assert_eq(fixture.ask(*fixture.nodes[0], "/search/harmless").status, Ok);
    cr_assert(fixture.nodes[0]->node.metrics().find("crankrudder_requests_total{outcome=\"quarantined\"} 1") != std::string::npos);
}

Test(CrashingRequests, singleRequestIsNotSentAfterThreeRoundsOfCrashes)
{
    // Retried by the gateway, and not to be retried by anybody.
    for (const std::string target : {"/one/crash", "/action/crash"}) {
        CrashFixture fixture(1);
        static constexpr int Rounds = 3;
        for (int round = 0; round < Rounds; ++round) {
            cr_assert_neq(fixture.askOnce(0, target), NotRun, "%s ran in round %d", target.c_str(), round);
        }
        const int before = fixture.crashes;
        cr_assert_eq(fixture.askOnce(0, target), NotRun, "%s", target.c_str());
        cr_assert_eq(fixture.crashes, before, "%s", target.c_str());
    }
}

Test(CrashingRequests, suspectIsSentToOneBackendServerOnly)
{
    CrashFixture fixture(1);
    (void)fixture.askOnce(0, CrashingTarget);
    const int first = fixture.crashes;
    cr_assert_geq(first, Shards, "the first attempt reaches every shard");
    (void)fixture.askOnce(0, CrashingTarget);
    cr_assert_eq(fixture.crashes - first, 1, "%d crashed in the second attempt", fixture.crashes - first);
}

Test(CrashingRequests, attemptIsNotRepeatedAfterThreeCrashes)
{
    CrashFixture fixture(1);
    (void)fixture.ask(*fixture.nodes[0], CrashingTarget);
    fixture.settle();
    // Each shard is sent the search once. Repeats that were sent before the third crash was known come on top.
    static constexpr int MostRepeats = 3;
    cr_assert_leq(fixture.crashes, Shards + MostRepeats, "%d backend servers crashed", fixture.crashes);
}

Test(CrashingRequests, retryAtAnotherGatewayDoesNotEndTheRemainingServers)
{
    CrashFixture fixture(2);
    // Both gateways have connections to the backend servers.
    cr_assert_eq(fixture.ask(*fixture.nodes[0], "/search/harmless").status, Ok);
    cr_assert_eq(fixture.ask(*fixture.nodes[1], "/search/harmless").status, Ok);
    (void)fixture.ask(*fixture.nodes[0], CrashingTarget);
    cr_assert(fixture.runUntil([&fixture] {
        return fixture.nodes[1]->node.backends().hasServersEnding();
    }));
    const int before = fixture.crashes;
    (void)fixture.ask(*fixture.nodes[1], CrashingTarget);
    fixture.settle();
    static constexpr int MostCrashes = 3;
    cr_assert_leq(fixture.crashes - before, MostCrashes, "%d crashed under the retry", fixture.crashes - before);
}

Test(CrashingRequests, plannedEndOfServersCausesNoCaution)
{
    for (const auto phase : {Protocol::BackendPhase::READY, Protocol::BackendPhase::DRAINING}) {
        CrashFixture fixture(1);
        cr_assert_eq(fixture.ask(*fixture.nodes[0], "/search/harmless").status, Ok);
        fixture.announceAll(phase);
        fixture.endAll();
        fixture.settle(Core::milliseconds(50));
        const bool isPlanned = phase == Protocol::BackendPhase::DRAINING;
        cr_assert_eq(fixture.nodes[0]->node.backends().hasServersEnding(), !isPlanned);
    }
}

Test(CrashingRequests, searchesAreServedRightAfterManyServersCrashed)
{
    CrashFixture fixture(2);
    (void)fixture.askOnce(0, CrashingTarget);
    // Gateway 0 has seen the crashes and sends searches to one shard first; also when the servers of that shard are gone.
    for (int number = 0; number < 3; ++number) {
        cr_assert_eq(fixture.ask(*fixture.nodes[0], "/search/harmless-" + std::to_string(number)).status, Ok);
    }
    fixture.endService("shard-0");
    cr_assert_eq(fixture.ask(*fixture.nodes[0], "/search/harmless").status, Ok);
}

Test(CrashingRequests, isRefusedAtEveryGateway)
{
    CrashFixture fixture(3);
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
        (void)fixture.askOnce(gateway, CrashingTarget);
    }
    cr_assert(fixture.runUntil([&fixture] {
        return fixture.standingAt(0) == "quarantined" && fixture.standingAt(1) == "quarantined";
    }));
    const int before = fixture.crashes;
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
        cr_assert_eq(fixture.askOnce(gateway, CrashingTarget), NotRun);
    }
    cr_assert_eq(fixture.crashes, before);
}

Test(CrashingRequests, gatewayThatStartsLaterRefusesIt)
{
    CrashFixture fixture(1);
    static constexpr int Rounds = 3;
    for (int round = 0; round < Rounds; ++round) {
        (void)fixture.askOnce(0, CrashingTarget);
    }
    fixture.addNode("here");
    cr_assert(fixture.awaitReady());
    const int before = fixture.crashes;
    cr_assert_eq(fixture.askOnce(1, CrashingTarget), NotRun);
    cr_assert_eq(fixture.crashes, before);
}

Test(CrashingRequests, severalAtOnceAreAllRefused)
{
    CrashFixture fixture(2);
    const std::vector<std::string> targets{"/search/crash-1", "/search/crash-2", "/one/crash-3", "/action/crash-4"};
    static constexpr std::size_t Rounds = 4;
    for (std::size_t round = 0; round < Rounds; ++round) {
        for (const auto &target : targets) {
            (void)fixture.askOnce(round % 2, target);
        }
    }
    const int before = fixture.crashes;
    for (const auto &target : targets) {
        cr_assert_eq(fixture.askOnce(0, target), NotRun, "%s", target.c_str());
    }
    cr_assert_eq(fixture.crashes, before);
}

Test(CrashingRequests, requestThatRanWhereServersEndedIsServed)
{
    CrashFixture fixture(1);
    // All backend servers end together, three times, each time while they run the same harmless search.
    static constexpr int Times = 3;
    for (int time = 0; time < Times; ++time) {
        bool ended = false;
        const int runsBefore = fixture.harmlessRuns;
        fixture.harmless = [](const Wire::Request &, const Wire::ExchangePointer &) {
        };
        const auto watch = fixture.timers.every(Core::milliseconds(1), [&](Core::Instant) {
            if (!ended && fixture.harmlessRuns > runsBefore) {
                ended = true;
                fixture.endAll();
            }
        });
        (void)fixture.askOnce(0, "/search/harmless");
        cr_assert(ended);
        // It is served in between, as a request that crashes backend servers never is.
        fixture.harmless = nullptr;
        cr_assert_eq(fixture.askOnce(0, "/search/harmless"), Ok, "time %d", time);
        cr_assert(fixture.standingAt(0).empty());
    }
}

Test(CrashingRequests, brokenConnectionsAreNoCrashes)
{
    CrashFixture fixture(1);
    // Every connection ends without an answer to the request; the backend servers go on.
    fixture.harmless = [](const Wire::Request &, const Wire::ExchangePointer &exchange) {
        exchange->respond({.status = Ok, .headers = {{"Request-Id", "another"}, {"Connection", "close"}}, .body = {}});
    };
    static constexpr int Times = 4;
    for (int time = 0; time < Times; ++time) {
        (void)fixture.askOnce(0, "/search/harmless");
    }
    cr_assert(fixture.standingAt(0).empty());
    fixture.harmless = nullptr;
    cr_assert_eq(fixture.askOnce(0, "/search/harmless"), Ok);
}

Test(CrashingRequests, crashUnderAnAbandonedAttemptCounts)
{
    CrashFixture fixture(1);
    // The callers have gone when the backend servers crash.
    fixture.runTime = Core::milliseconds(50);
    static constexpr int Times = 3;
    for (int time = 0; time < Times; ++time) {
        fixture.askAndLeave("/one/crash");
    }
    cr_assert(fixture.standingAt(0) == "quarantined");
}
