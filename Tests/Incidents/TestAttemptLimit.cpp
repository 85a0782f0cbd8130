/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against attempts at more servers of a shard than the route allows, made by
// two gateways that do not know of each other's: one has given up a part of a search,
// the other is serving it.

#include <Support/NodeFixture.h>

#include <criterion/criterion.h>
#include <set>

using TestSupport::NodeFixture;

namespace
{

constexpr int Shards = 12;
constexpr int ServersOfShard = 3;
constexpr std::size_t MaximumAttempts = 2;

nlohmann::json declaration()
{
    auto document = nlohmann::json::parse(R"({"version": 1, "services": [], "routes": [
        {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 400,
         "public": true, "gather": [], "max_attempts": 2, "top_k": 5, "min_coverage": 1.0}]})");
    for (int shard = 0; shard < Shards; ++shard) {
        const auto name = "s" + std::to_string(shard);
        document["routes"][0]["gather"].push_back(name);
        document["services"].push_back({{"name", name}, {"max_conns", 200}});
    }
    return document;
}

/** A gateway that relays its searches to a second one, which hedges early, and servers that run requests without answering them. */
class AttemptFixture : public NodeFixture
{
public:
    explicit AttemptFixture(bool partsSeemUnacknowledged)
    {
        this->coordinator.declare(declaration());
        for (int shard = 0; shard < Shards; ++shard) {
            for (int server = 0; server < ServersOfShard; ++server) {
                const auto service = "s" + std::to_string(shard);
                auto &backend = this->addBackend(service, service + "-" + std::to_string(server), "beside");
                backend.script = [this, service, id = backend.id](const auto &request, const auto &exchange) {
                    this->ran[service].insert(id);
                    if (this->answersHedges && this->ran[service].size() == MaximumAttempts) {
                        exchange->respond(TestSupport::successResponse(request, "signature-" + id, std::string(16, 'r')));
                    } else {
                        this->held.push_back(exchange);
                    }
                };
            }
        }
        this->asked = &this->addNode("here", [partsSeemUnacknowledged](Gateway::GatewayOptions &options) {
            // The two gateways choose among equal servers independently of each other.
            options.pool.choice.seed = 2;
            if (partsSeemUnacknowledged) {
                options.pool.awaitsAcknowledgement = [](const Wire::Socket &) {
                    return true;
                };
            }
        });
        this->serving = &this->addNode("beside", [](Gateway::GatewayOptions &options) {
            options.pool.trial.reset();
            options.requests.hedgeFactor = 0.0;
            options.requests.hedgeFloor = Core::milliseconds(5);
        });
        cr_assert(this->awaitReady());
    }

    /** Returns the largest number of servers of a shard that ran a request. */
    [[nodiscard]] std::size_t mostServers() const
    {
        std::size_t most = 0;
        for (const auto &[service, servers] : this->ran) {
            most = std::max(most, servers.size());
        }
        return most;
    }

    TestSupport::NodeUnderTest *asked{nullptr};
    TestSupport::NodeUnderTest *serving{nullptr};
    // Servers that ran the search, by shard.
    std::map<std::string, std::set<std::string>> ran;
    std::vector<Wire::ExchangePointer> held;
    bool answersHedges{false};
};

}

// A gateway took a part for lost because its bytes were not acknowledged within 20 ms, counted one attempt for each shard and sent the shards again. The other
// gateway had received the part and had hedged by then, so shards ran at three servers where two are allowed.
Test(AttemptLimit, holdsIfAPartThatIsServedIsTakenForLost)
{
    AttemptFixture fixture(true);
    (void)fixture.ask(*fixture.asked, "/search/1");
    fixture.settle(Core::milliseconds(100));
    cr_assert_geq(fixture.serving->relayed.size(), 1, "no part was relayed");
    cr_assert_leq(fixture.mostServers(), MaximumAttempts, "a shard ran at %zu servers", fixture.mostServers());
}

// Attempts that the route allows are still made: every shard is answered by the second server that gets it.
Test(AttemptLimit, leavesHedgesToTheGatewayThatServesThePart)
{
    AttemptFixture fixture(false);
    fixture.answersHedges = true;
    const auto answer = fixture.ask(*fixture.asked, "/search/1");
    cr_assert_eq(answer.status, 200);
    cr_assert_geq(fixture.serving->relayed.size(), 1, "no part was relayed");
    cr_assert_eq(fixture.mostServers(), MaximumAttempts);
}
