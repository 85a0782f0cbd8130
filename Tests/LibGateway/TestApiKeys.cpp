/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Authentication of callers by API key, and what backend servers and other gateways
// receive of the key and the workspace.

#include <Support/NodeFixture.h>

#include <criterion/criterion.h>
#include <set>

using TestSupport::NodeFixture;

namespace
{

constexpr int Ok = 200;
constexpr int NeedsKey = 401;
constexpr int MostShards = 8;

nlohmann::json declarationOf(int version)
{
    auto document = nlohmann::json::parse(R"({"version": 1,
        "routes": [
            {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 2000,
             "gather": [], "max_attempts": 2, "top_k": 5, "min_coverage": 1.0},
            {"name": "open", "host": "h.example", "path_prefix": "/open/", "route_type": "idempotent", "timeout_ms": 4000, "public": true, "service": "one"},
            {"name": "one", "host": "h.example", "path_prefix": "/one/", "route_type": "idempotent", "timeout_ms": 4000, "service": "one"}],
        "services": [{"name": "one", "max_conns": 200}],
        "tenants": [{"name": "alpha", "api_keys": ["alpha-secret-1", "alpha-secret-2"], "allowed_regions": ["home"]},
                    {"name": "beta", "api_keys": ["beta-secret-1"]}]})");
    document["version"] = version;
    for (int shard = 0; shard < MostShards; ++shard) {
        const auto name = "shard-" + std::to_string(shard);
        document["routes"][0]["gather"].push_back(name);
        document["services"].push_back({{"name", name}, {"max_conns", 200}});
    }
    return document;
}

class KeyFixture : public NodeFixture
{
public:
    KeyFixture()
    {
        this->coordinator.declare(declarationOf(1));
        this->sameRegionBackend = &this->addBackend("one", "near", "here");
        this->otherRegionBackend = &this->addBackend("one", "far", "there");
        for (int shard = 0; shard < MostShards; ++shard) {
            const auto name = std::to_string(shard);
            this->addBackend("shard-" + name, "server-" + name, "beside");
        }
    }

    /** Declares the document and waits until it is active on all gateways. */
    void change(const nlohmann::json &document)
    {
        this->coordinator.declare(document);
        cr_assert(this->runUntil([&] {
            return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &row) {
                const auto held = nlohmann::json::parse(row->node.dump())["declaration_version"].template get<int>();
                return held == document["version"].template get<int>();
            });
        }));
    }

    /** The workspaces that backend servers received in the requests so far. */
    [[nodiscard]] std::set<std::string> workspacesSeen() const
    {
        std::set<std::string> names;
        for (const auto &backend : this->backends) {
            for (const auto &request : backend->requests) {
                const auto *name = Wire::findHeader(request.headers, "Tenant");
                names.insert(name == nullptr ? "nobody" : *name);
            }
        }
        return names;
    }

    [[nodiscard]] bool keysWereForwarded() const
    {
        const auto carriesKey = [](const Wire::Request &request) {
            return std::any_of(request.headers.begin(), request.headers.end(), [](const Wire::Header &header) {
                return header.value.find("-secret-") != std::string::npos;
            });
        };
        const auto sent = [&carriesKey](const auto &requests) {
            return std::any_of(requests.begin(), requests.end(), carriesKey);
        };
        return std::any_of(this->backends.begin(), this->backends.end(), [&sent](const auto &backend) {
            return sent(backend->requests);
        }) || std::any_of(this->nodes.begin(), this->nodes.end(), [&sent](const auto &node) {
            return sent(node->relayed);
        });
    }

    TestSupport::ScriptedBackend *sameRegionBackend{nullptr};
    TestSupport::ScriptedBackend *otherRegionBackend{nullptr};
};

Wire::Headers key(const char *value)
{
    return {{"Credential", value}};
}

}

Test(ApiKeys, onlyRequestsWithAKnownKeyAreAdmitted)
{
    KeyFixture fixture;
    const auto &node = fixture.addNode("here");
    cr_assert(fixture.awaitReady());
    cr_assert_eq(fixture.ask(node, "/one/1").status, NeedsKey);
    for (const char *unknown : {"", "alpha", "alpha-secret-", "alpha-secret-11", "ALPHA-SECRET-1"}) {
        cr_assert_eq(fixture.ask(node, "/one/1", key(unknown)).status, NeedsKey, "%s", unknown);
    }
    cr_assert(fixture.workspacesSeen().empty(), "refused requests are not forwarded");
    const auto withoutKey = fixture.ask(node, "/one/1");
    const auto withUnknown = fixture.ask(node, "/one/1", key("gamma-secret-1"));
    cr_assert_eq(withoutKey.body, withUnknown.body, "the answer does not reveal whether the key was missing or unknown");
    cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-1")).status, Ok);
    cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-2")).status, Ok);
    cr_assert_eq(fixture.workspacesSeen(), std::set<std::string>{"alpha"});
    cr_assert_eq(fixture.ask(node, "/open/1").status, Ok, "a public route needs no key");
    cr_assert_eq(fixture.ask(node, "/open/1", key("gamma-secret-1")).status, Ok);
    cr_assert_eq(fixture.ask(node, "/elsewhere/1").status, 404);
    cr_assert_not(fixture.keysWereForwarded());
    for (const auto &text : {node.node.dump(), node.node.metrics()}) {
        cr_assert_eq(text.find("-secret-"), std::string::npos);
    }
}

Test(ApiKeys, workspaceHeadersOfCallersAreIgnored)
{
    KeyFixture fixture;
    const auto &node = fixture.addNode("here");
    cr_assert(fixture.awaitReady());
    const Wire::Headers forged{{"Tenant", "alpha"},
        {Gateway::RelayHeader::Workspace, "alpha"},
        {Gateway::RelayHeader::Parameters, "100,100,0,0,0,0,0,0,5"},
        {Gateway::RelayHeader::Shards, "one"}};
    cr_assert_eq(fixture.ask(node, "/one/1", forged).status, NeedsKey);
    auto withKey = forged;
    withKey.push_back({"Credential", "beta-secret-1"});
    cr_assert_eq(fixture.ask(node, "/one/1", withKey).status, Ok);
    cr_assert_eq(fixture.ask(node, "/search/1", withKey).status, Ok);
    cr_assert_eq(fixture.workspacesSeen(), std::set<std::string>{"beta"});
    for (const auto &backend : fixture.backends) {
        for (const auto &request : backend->requests) {
            cr_assert_null(Wire::findHeader(request.headers, Gateway::RelayHeader::Workspace));
        }
    }
}

Test(ApiKeys, relayedPartsCarryTheWorkspaceAndNotTheKey)
{
    KeyFixture fixture;
    const auto &requestingGateway = fixture.addNode("here");
    const auto &servingGateway = fixture.addNode("beside");
    cr_assert(fixture.awaitReady());
    cr_assert_eq(fixture.ask(requestingGateway, "/search/1", key("alpha-secret-2")).status, Ok);
    cr_assert_not(servingGateway.relayed.empty(), "the shards are in the zone of the other gateway");
    cr_assert_eq(fixture.workspacesSeen(), std::set<std::string>{"alpha"});
    cr_assert_not(fixture.keysWereForwarded());
}

Test(ApiKeys, keyChangesApplyWithTheDeclaration)
{
    KeyFixture fixture;
    const auto &node = fixture.addNode("here");
    cr_assert(fixture.awaitReady());
    auto changed = declarationOf(2);
    changed["tenants"][0]["api_keys"] = {"alpha-secret-3"};
    changed["tenants"][1]["api_keys"] = nlohmann::json::array();
    fixture.change(changed);
    cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-1")).status, NeedsKey, "key was removed");
    cr_assert_eq(fixture.ask(node, "/one/1", key("beta-secret-1")).status, NeedsKey, "the last key was removed");
    cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-3")).status, Ok, "added");
    changed = declarationOf(3);
    changed.erase("tenants");
    fixture.change(changed);
    cr_assert_eq(fixture.ask(node, "/one/1").status, Ok, "without declared workspaces no key is needed");
}

Test(ApiKeys, aWorkspaceIsServedOnlyInItsAllowedRegions)
{
    KeyFixture fixture;
    const auto &node = fixture.addNode("there");
    cr_assert(fixture.awaitReady());
    cr_assert_eq(fixture.ask(node, "/one/1", key("beta-secret-1")).status, Ok);
    cr_assert_eq(fixture.otherRegionBackend->requests.size(), 1, "without a restriction the nearest region serves");
    for (int request = 0; request < 6; ++request) {
        cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-1")).status, Ok);
    }
    cr_assert(fixture.otherRegionBackend->requests.size() == 1 && fixture.sameRegionBackend->requests.size() == 6);
}
