/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against an incident: for some seconds after many backend servers had ended,
// searches were answered with 502 although none of them had reached a backend server.

#include <Support/NodeFixture.h>
#include <Support/RefusingEndpoint.h>

#include <criterion/criterion.h>

using TestSupport::NodeFixture;

namespace
{

constexpr int NotRun = 503;
constexpr int ShardsOfZone = 4;

/** Two gateways in zones of different regions, each of which has the only backend servers of half of the shards. */
class MissingServersFixture : public NodeFixture
{
public:
    MissingServersFixture()
    {
        auto document = nlohmann::json::parse(R"({"version": 1, "services": [], "routes": [
            {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 2000,
             "gather": [], "max_attempts": 2, "top_k": 5, "min_coverage": 0.9}]})");
        for (const std::string zone : {"here", "there"}) {
            this->addNode(zone);
            for (int number = 0; number < ShardsOfZone; ++number) {
                const auto shard = zone + "-" + std::to_string(number);
                document["routes"][0]["gather"].push_back(shard);
                document["services"].push_back({{"name", shard}, {"max_conns", 200}});
                this->addBackend(shard, shard + "-a", zone);
                this->addBackend(shard, shard + "-b", zone);
            }
        }
        this->coordinator.declare(document);
        cr_assert(this->awaitReady());
        this->settle(Core::milliseconds(200));
    }

    /** Ends all backend servers. Their addresses refuse connections from then on. */
    void endAll()
    {
        for (const auto &backend : this->backends) {
            backend->server.reset();
            this->refusing.emplace_back(backend->endpoint.port);
        }
    }

    [[nodiscard]] std::size_t runs() const
    {
        std::size_t all = 0;
        for (const auto &backend : this->backends) {
            all += backend->requests.size();
        }
        return all;
    }

private:
    std::vector<TestSupport::RefusingEndpoint> refusing;
};

}

Test(MissingServers, searchesThatReachedNoBackendServerAreRefusedAsNotRun)
{
    MissingServersFixture fixture;
    cr_assert_eq(fixture.ask(*fixture.nodes[0], "/search/first").status, 200);
    cr_assert_eq(fixture.ask(*fixture.nodes[1], "/search/first").status, 200);
    const auto before = fixture.runs();
    fixture.endAll();
    fixture.settle(Core::milliseconds(20));
    for (int number = 0; number < 10; ++number) {
        const auto answer = fixture.ask(*fixture.nodes[static_cast<std::size_t>(number % 2)], "/search/" + std::to_string(number));
        cr_assert_eq(answer.status, NotRun, "search %d: status %d", number, answer.status);
        cr_assert_not_null(Wire::findHeader(answer.headers, "Retry-After"));
    }
    cr_assert_eq(fixture.runs(), before);
    cr_assert(fixture.nodes[0]->node.metrics().find("crankrudder_unanswered_total{may_have_run=\"no\",outcome=\"not-run\"} 5") != std::string::npos);
    cr_assert(!fixture.nodes[0]->relayed.empty() && !fixture.nodes[1]->relayed.empty(), "parts were relayed");
}
