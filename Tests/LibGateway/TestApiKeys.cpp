/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Who is let in, as whom, and what backend servers and other gateways learn of it.

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
        this->near = &this->addBackend("one", "near", "here");
        this->far = &this->addBackend("one", "far", "there");
        for (int shard = 0; shard < MostShards; ++shard) {
            const auto name = std::to_string(shard);
            this->addBackend("shard-" + name, "server-" + name, "beside");
        }
    }

    /** Declares and waits until all gateways go by it. */
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

    /** What backend servers were told of the workspace, by all requests that reached them. */
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

    [[nodiscard]] bool keysWereSentOn() const
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

    TestSupport::ScriptedBackend *near{nullptr};
    TestSupport::ScriptedBackend *far{nullptr};
};

Wire::Headers key(const char *value)
{
    return {{"Credential", value}};
}

}

Test(ApiKeys, letInWhoHoldsOneAndNobodyElse)
{
    KeyFixture fixture;
    const auto &node = fixture.addNode("here");
    cr_assert(fixture.awaitReady());
    cr_assert_eq(fixture.ask(node, "/one/1").status, NeedsKey);
    for (const char *unknown : {"", "alpha", "alpha-secret-", "alpha-secret-11", "ALPHA-SECRET-1"}) {
        cr_assert_eq(fixture.ask(node, "/one/1", key(unknown)).status, NeedsKey, "%s", unknown);
    }
    cr_assert(fixture.workspacesSeen().empty(), "nothing of it was forwarded");
    const auto withoutKey = fixture.ask(node, "/one/1");
    const auto withUnknown = fixture.ask(node, "/one/1", key("gamma-secret-1"));
    cr_assert_eq(withoutKey.body, withUnknown.body, "the answer does not tell which of the two it was");
    cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-1")).status, Ok);
    cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-2")).status, Ok);
    cr_assert_eq(fixture.workspacesSeen(), std::set<std::string>{"alpha"});
    cr_assert_eq(fixture.ask(node, "/open/1").status, Ok, "a public route needs none");
    cr_assert_eq(fixture.ask(node, "/open/1", key("gamma-secret-1")).status, Ok);
    cr_assert_eq(fixture.ask(node, "/elsewhere/1").status, 404);
    cr_assert_not(fixture.keysWereSentOn());
    for (const auto &text : {node.node.dump(), node.node.metrics()}) {
        cr_assert_eq(text.find("-secret-"), std::string::npos);
    }
}

Test(ApiKeys, aCallerCannotClaimAWorkspaceByItsHeaders)
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

Test(ApiKeys, aPartOfASearchCarriesTheWorkspaceAndNotTheKey)
{
    KeyFixture fixture;
    const auto &asked = fixture.addNode("here");
    const auto &helper = fixture.addNode("beside");
    cr_assert(fixture.awaitReady());
    cr_assert_eq(fixture.ask(asked, "/search/1", key("alpha-secret-2")).status, Ok);
    cr_assert_not(helper.relayed.empty(), "the shards lie beside the other gateway");
    cr_assert_eq(fixture.workspacesSeen(), std::set<std::string>{"alpha"});
    cr_assert_not(fixture.keysWereSentOn());
}

Test(ApiKeys, followTheDeclaration)
{
    KeyFixture fixture;
    const auto &node = fixture.addNode("here");
    cr_assert(fixture.awaitReady());
    auto changed = declarationOf(2);
    changed["tenants"][0]["api_keys"] = {"alpha-secret-3"};
    changed["tenants"][1]["api_keys"] = nlohmann::json::array();
    fixture.change(changed);
    cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-1")).status, NeedsKey, "taken away");
    cr_assert_eq(fixture.ask(node, "/one/1", key("beta-secret-1")).status, NeedsKey, "the last one");
    cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-3")).status, Ok, "added");
    changed = declarationOf(3);
    changed.erase("tenants");
    fixture.change(changed);
    cr_assert_eq(fixture.ask(node, "/one/1").status, Ok, "no workspaces are declared any more");
}

Test(ApiKeys, aWorkspaceIsServedInItsRegionsOnly)
{
    KeyFixture fixture;
    const auto &node = fixture.addNode("there");
    cr_assert(fixture.awaitReady());
    cr_assert_eq(fixture.ask(node, "/one/1", key("beta-secret-1")).status, Ok);
    cr_assert_eq(fixture.far->requests.size(), 1, "the nearest one, where nothing binds");
    for (int request = 0; request < 6; ++request) {
        cr_assert_eq(fixture.ask(node, "/one/1", key("alpha-secret-1")).status, Ok);
    }
    cr_assert(fixture.far->requests.size() == 1 && fixture.near->requests.size() == 6);
}
