/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests how the platform's documents, headers and settings are parsed, both valid and invalid ones.

#include <LibGateway/RelayPlan.h>
#include <platform/ConfigurationCodec.h>
#include <platform/HeartbeatCodec.h>
#include <platform/RequestDialect.h>
#include <platform/SettingsFile.h>

#include <LibCore/Json.h>

#include <LibCore/Settings.h>

#include <criterion/criterion.h>
#include <random>

namespace
{

nlohmann::json goodConfiguration()
{
    return nlohmann::json::parse(R"({"version": 7,
        "routes": [
            {"name": "search", "host": "h.example", "path_prefix": "/s/", "route_type": "idempotent", "timeout_ms": 500, "target_latency_ms": 80,
             "priority": 2, "gather": ["a", "b"], "max_attempts": 2, "top_k": 5, "min_coverage": 0.75},
            {"name": "split", "host": "h.example", "path_prefix": "/t/", "route_type": "non_idempotent", "timeout_ms": 900,
             "targets": [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]},
            {"name": "one", "host": "h.example", "path_prefix": "/o/", "timeout_ms": 900, "service": "a", "new_field": [1]}],
        "services": [{"name": "a", "max_conns": 26}, {"name": "b"}],
        "limits": {"max_header_bytes": 100, "max_body_bytes": 200, "header_timeout_ms": 300, "idle_timeout_ms": 400}})");
}

}

Test(ConfigurationCodec, parsesRoutesServicesAndLimits)
{
    const auto read = Platform::readConfiguration(goodConfiguration().dump());
    cr_assert(read.has_value());
    const auto &declaration = *read.value();
    cr_assert(declaration.version.value() == 7);
    cr_assert(declaration.routes.size() == 3);
    const auto &search = declaration.routes[0];
    cr_assert(search.isFanOut() && search.idempotent && search.shards.size() == 2 && search.topRecords == 5 && search.maximumAttempts == 2);
    cr_assert(search.timeout == Core::milliseconds(500) && search.targetLatency == Core::milliseconds(80));
    cr_assert_not(declaration.routes[1].idempotent);
    cr_assert(declaration.routes[1].targets[0].weight == 3.0);
    cr_assert(declaration.services.at(Core::ServiceName("a")).connectionCap == 26);
    cr_assert(declaration.limits.idleTimeout == Core::milliseconds(400));
}

Test(ConfigurationCodec, rejectsTruncatedAndInvalidDocuments)
{
    const std::string good = goodConfiguration().dump();
    for (std::size_t length = 0; length < good.size(); length += 7) {
        cr_assert_not(Platform::readConfiguration(good.substr(0, length)).has_value(), "cut at %zu", length);
    }
    struct Case {
        const char *name;
        std::function<void(nlohmann::json &document)> makeInvalid;
    };
    const std::vector<Case> cases{
        {"no version",
            [](auto &document) {
                document.erase("version");
            }},
        {"version is text",
            [](auto &document) {
                document["version"] = "7";
            }},
        {"no routes",
            [](auto &document) {
                document.erase("routes");
            }},
        {"no services",
            [](auto &document) {
                document.erase("services");
            }},
        {"unknown service",
            [](auto &document) {
                document["routes"][2]["service"] = "z";
            }},
        {"unknown target",
            [](auto &document) {
                document["routes"][1]["targets"][0]["service"] = "z";
            }},
        {"unknown shard",
            [](auto &document) {
                document["routes"][0]["gather"][1] = "z";
            }},
        {"one place twice",
            [](auto &document) {
                document["routes"][2]["path_prefix"] = "/s/";
            }},
        {"no weight",
            [](auto &document) {
                document["routes"][1]["targets"] = {{{"service", "a"}, {"weight", 0}}, {{"service", "b"}, {"weight", 0}}};
            }},
        {"negative weight",
            [](auto &document) {
                document["routes"][1]["targets"][0]["weight"] = -1;
            }},
        {"no timeout",
            [](auto &document) {
                document["routes"][0]["timeout_ms"] = 0;
            }},
        {"timeout missing",
            [](auto &document) {
                document["routes"][0].erase("timeout_ms");
            }},
        {"no destination",
            [](auto &document) {
                document["routes"][2].erase("service");
            }},
        {"allowed regions are no list",
            [](auto &document) {
                document["routes"][0]["allowed_regions"] = "bern";
            }},
        {"an allowed region is no text",
            [](auto &document) {
                document["routes"][0]["allowed_regions"] = {"bern", 7};
            }},
        {"public is text",
            [](auto &document) {
                document["routes"][0]["public"] = "yes";
            }},
        {"workspaces are no list",
            [](auto &document) {
                document["tenants"] = {{"name", "w"}};
            }},
        {"a workspace without a name",
            [](auto &document) {
                document["tenants"] = {{{"api_keys", {"k"}}}};
            }},
        {"two workspaces of one name",
            [](auto &document) {
                document["tenants"] = {{{"name", "w"}}, {{"name", "w"}}};
            }},
        {"a key that two workspaces share",
            [](auto &document) {
                document["tenants"] = {{{"name", "v"}, {"api_keys", {"a", "b"}}}, {{"name", "w"}, {"api_keys", {"c", "b"}}}};
            }},
        {"a key that is no text",
            [](auto &document) {
                document["tenants"] = {{{"name", "w"}, {"api_keys", {"a", 7}}}};
            }},
        {"an empty key",
            [](auto &document) {
                document["tenants"] = {{{"name", "w"}, {"api_keys", {""}}}};
            }},
        {"a negative rate",
            [](auto &document) {
                document["tenants"] = {{{"name", "w"}, {"rate_per_s", -1}}};
            }},
        {"a burst that is text",
            [](auto &document) {
                document["tenants"] = {{{"name", "w"}, {"burst", "16"}}};
            }},
        {"a warm-up is no number",
            [](auto &document) {
                document["services"][0]["warmup_s"] = "3";
            }},
        {"limit is text",
            [](auto &document) {
                document["limits"]["max_body_bytes"] = "x";
            }},
    };
    for (const auto &item : cases) {
        auto document = goodConfiguration();
        item.makeInvalid(document);
        cr_assert_not(Platform::readConfiguration(document.dump()).has_value(), "%s", item.name);
    }
}

Test(ConfigurationCodec, parsesAllowedRegionsAndWarmupRates)
{
    auto document = goodConfiguration();
    document["routes"][0]["allowed_regions"] = {"bern", "zurich"};
    document["routes"][1]["allowed_regions"] = nlohmann::json::array();
    document["services"][0]["warmup_s"] = 3.5;
    document["services"][0]["warmup_per_s"] = 4;
    const auto read = Platform::readConfiguration(document.dump());
    cr_assert(read.has_value());
    const auto &routes = read.value()->routes;
    cr_assert(routes[0].allowedRegions.allows("bern") && !routes[0].allowedRegions.allows("lausanne") && !routes[0].allowedRegions.allows(""));
    cr_assert(routes[1].allowedRegions.isAnywhere() && routes[2].allowedRegions.isAnywhere(), "an empty list allows all regions");
    const auto &service = read.value()->services.at(Core::ServiceName("a"));
    cr_assert(service.warmupTime == Core::milliseconds(3500) && service.warmupRequestsPerSecond == 4.0);
    cr_assert(read.value()->services.at(Core::ServiceName("b")).warmupRequestsPerSecond == 0.0);
    cr_assert(Platform::checkRegions(*read.value(), {{"z1", "bern"}, {"z2", "zurich"}}).has_value());
    cr_assert_not(Platform::checkRegions(*read.value(), {{"z1", "bern"}}).has_value());
}

Test(ConfigurationCodec, parsesWorkspacesWithKeysAndQuotas)
{
    auto document = goodConfiguration();
    cr_assert_not(Platform::readConfiguration(document.dump()).value()->workspaces.has_value(), "a document without the list of workspaces requires no keys");
    document["tenants"] = nlohmann::json::array();
    cr_assert(Platform::readConfiguration(document.dump()).value()->workspaces.has_value(),
        "an empty list still requires keys, so removing the last workspace admits nobody");
    document["routes"][1]["public"] = true;
    document["tenants"]
        = {{{"name", "v"}, {"api_keys", {"one", "two", "one"}}, {"priority", 3}, {"rate_per_s", 2.5}, {"burst", 4}, {"allowed_regions", {"bern"}}},
            {{"name", "w"}, {"api_keys", nlohmann::json::array()}}};
    const auto read = Platform::readConfiguration(document.dump());
    cr_assert(read.has_value());
    const auto &workspaces = read.value()->workspaces.value();
    const auto *owner = workspaces.holderOf(Fleet::ApiKey("two"));
    cr_assert(owner != nullptr && owner == workspaces.holderOf(Fleet::ApiKey("one")) && owner == workspaces.find(Fleet::WorkspaceName("v")));
    cr_assert(owner->priority == 3 && owner->quota.requestsPerSecond == 2.5 && owner->quota.burst == 4.0);
    cr_assert(owner->allowedRegions.allows("bern") && !owner->allowedRegions.allows("zurich"));
    for (const char *unknown : {"", "One", "on", "oneone", "v", "w"}) {
        cr_assert_null(workspaces.holderOf(Fleet::ApiKey(unknown)), "%s", unknown);
    }
    cr_assert_not(workspaces.find(Fleet::WorkspaceName("w"))->quota.isBounded());
    cr_assert(!read.value()->routes[0].isPublic && read.value()->routes[1].isPublic);
    cr_assert(Platform::checkRegions(*read.value(), {{"z1", "bern"}}).has_value());
    cr_assert_not(Platform::checkRegions(*read.value(), {{"z2", "zurich"}}).has_value());
}

// Error messages are shown to operators and callers and are written to logs, so they must not contain API keys.
Test(ConfigurationCodec, errorMessagesContainNoApiKey)
{
    const std::vector<nlohmann::json> faulty{{{{"name", "v"}, {"api_keys", {"secret"}}}, {{"name", "w"}, {"api_keys", {"secret"}}}},
        {{{"name", "v"}, {"api_keys", "secret"}}},
        {{{"name", "v"}, {"api_keys", {"secret", 1}}}},
        {{{"name", "v"}, {"api_keys", {"secret"}}, {"rate_per_s", "x"}}}};
    for (const auto &tenants : faulty) {
        auto document = goodConfiguration();
        document["tenants"] = tenants;
        const auto read = Platform::readConfiguration(document.dump());
        cr_assert_not(read.has_value());
        cr_assert(read.error().message.find("secret") == std::string::npos, "%s", read.error().message.c_str());
    }
}

// Bodies that no backend server wrote must not register one: missing fields, wrong types, unknown states, changed bytes.
Test(HeartbeatCodec, rejectsMissingFieldsWrongTypesAndCorruptedBytes)
{
    const auto good = nlohmann::json::parse(
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","capacity":2,"state":"ready","warmup_left_ms":0,"sequence":4,"born":1790000000000})");
    const auto read = Platform::readHeartbeat("i-1", good.dump());
    cr_assert(read.has_value() && read->born == 1790000000000);
    const std::vector<nlohmann::json> others{nullptr, true, -1, 2.5, "x", nlohmann::json::array(), nlohmann::json::object()};
    for (const auto &[name, value] : good.items()) {
        auto without = good;
        without.erase(name);
        cr_assert(Platform::readHeartbeat("i-1", without.dump()).has_value() == (name == "born"), "without %s", name.c_str());
        for (const auto &other : others) {
            auto document = good;
            document[name] = other;
            const bool isText = other.is_string() && value.is_string();
            const bool mayBeRead = isText && name != "state" && name != "address";
            cr_assert(Platform::readHeartbeat("i-1", document.dump()).has_value() == mayBeRead, "%s is %s", name.c_str(), other.dump().c_str());
        }
    }
    const std::string text = good.dump();
    std::mt19937 random(3);
    for (int round = 0; round < 2000; ++round) {
        auto bytes = text;
        for (int change = 0; change < 3; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        // The corrupted body may still be valid. It must not cause an exception, and if it is accepted, it has a service and a valid address.
        const auto corrupted = Platform::readHeartbeat("i-1", bytes);
        cr_assert(!corrupted.has_value() || (!corrupted->serviceName.empty() && Core::Endpoint::parse(corrupted->address).has_value()));
    }
    cr_assert_eq(Platform::readStartTime(R"({"born":5})"), 5);
    for (const char *other : {"", "x", "{}", R"({"born":"5"})", R"({"born":0.5})"}) {
        cr_assert_eq(Platform::readStartTime(other), 0);
    }
}

Test(RequestDialect, parsesLoadReportsWithAndWithoutSlowdown)
{
    const auto dialect = Platform::makeDialect();
    const auto read = [&dialect](const char *text) {
        return dialect.readReply(Wire::Response{.status = 200, .headers = {{"Server-Load", text}}, .body = {}}).load;
    };
    cr_assert(read("3,1,8").has_value() && read("3,1,8")->waiting == 1 && !read("3,1,8")->slowdown.has_value());
    cr_assert(read("3,1,8,400").has_value() && read("3,1,8,400")->slots == 8 && read("3,1,8,400")->slowdown == 4.0);
    cr_assert(read("3,1,8,100,7").has_value(), "further figures are ignored");
    for (const char *bad : {"", "3", "3,1", "3,1,x", "3,1,8,x", "3,1,8,-1"}) {
        cr_assert_not(read(bad).has_value(), "%s", bad);
    }
}

Test(HeartbeatCodec, parsesHeartbeatsAndRejectsInvalidOnes)
{
    const std::string good
        = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","capacity":2,"state":"ready","warmup_left_ms":9,"sequence":4})";
    const auto read = Platform::readHeartbeat("i-1", good);
    cr_assert(read.has_value() && read->phase == Protocol::BackendPhase::READY && read->sequence == 4 && read->slots == 2);
    for (const char *bad : {"", "{}", "[]", R"({"service":"s"})", "{\"service\":"}) {
        cr_assert_not(Platform::readHeartbeat("i-1", bad).has_value(), "%s", bad);
    }
    cr_assert_not(Platform::readHeartbeat("", good).has_value());
    auto document = nlohmann::json::parse(good);
    document["state"] = "resting";
    cr_assert_not(Platform::readHeartbeat("i-1", document.dump()).has_value());
    document["state"] = "draining";
    document["address"] = "nowhere";
    cr_assert_not(Platform::readHeartbeat("i-1", document.dump()).has_value());
}

Test(RequestDialect, forwardsEndToEndHeadersAndSetsGatewayHeaders)
{
    const auto dialect = Platform::makeDialect();
    Wire::Request message{.method = "POST",
        .target = "/a/b?c=1",
        .headers = {{"Host", "h.example"},
            {"Request-Id", "id-1"},
            {"Deadline-Ms", "500"},
            {"Target-Instance", "forged"},
            {"Connection", "keep-alive, X-Hop"},
            {"X-Hop", "1"},
            {"X-Other", "2"},
            {"Transfer-Encoding", "chunked"}},
        .body = "body"};
    const auto request = dialect.readRequest(std::move(message));
    cr_assert(request.id.value() == "id-1" && request.host == "h.example" && request.callerTimeout == Core::milliseconds(500));
    std::string bytes;
    cr_assert(dialect.writeRequest(bytes, {.caller = &request, .backend = Gateway::BackendName("i-9"), .timeLeft = Core::milliseconds(321)}));
    cr_assert(bytes.starts_with("POST /a/b?c=1 HTTP/1.1\r\n"));
    for (const char *present :
        {"Host: h.example\r\n", "Request-Id: id-1\r\n", "X-Other: 2\r\n", "Deadline-Ms: 321\r\n", "Target-Instance: i-9\r\n", "Content-Length: 4\r\n"}) {
        cr_assert(bytes.find(present) != std::string::npos, "%s", present);
    }
    for (const char *absent : {"forged", "X-Hop", "Deadline-Ms: 500", "chunked", "keep-alive"}) {
        cr_assert(bytes.find(absent) == std::string::npos, "%s", absent);
    }
}

Test(RequestDialect, sendsTheWorkspaceToBackendServersAndNeverTheApiKey)
{
    const auto dialect = Platform::makeDialect();
    auto request = dialect.readRequest(Wire::Request{.method = "GET",
        .target = "/",
        .headers = {{"Request-Id", "x"}, {"credential", "the-key"}, {"TENANT", "forged"}, {"Credential", "another-key"}, {"Connection", "Tenant"}},
        .body = {}});
    cr_assert(request.key.has_value() && !request.workspace.has_value());
    const auto written = [&](const Gateway::Dialect &used) {
        std::string bytes;
        cr_assert(used.writeRequest(bytes, {.caller = &request, .backend = Gateway::BackendName("i"), .timeLeft = Core::seconds(1), .number = 7}));
        return bytes;
    };
    cr_assert(written(dialect).find("enant: ") == std::string::npos && written(dialect).find("forged") == std::string::npos);
    request.workspace = Fleet::WorkspaceName("w");
    cr_assert_neq(written(dialect).find("Tenant: w\r\n"), std::string::npos);
    cr_assert_eq(written(Gateway::makeRelayDialect(dialect)).find("Tenant"), std::string::npos, "gateways send the workspace in the parameters of a part");
    for (const auto &bytes : {written(dialect), written(Gateway::makeRelayDialect(dialect))}) {
        cr_assert(bytes.find("-key") == std::string::npos, "%s", bytes.c_str());
    }
}

Test(RequestDialect, sendsRetryAfterOnlyWhenNothingWasExecuted)
{
    const auto dialect = Platform::makeDialect();
    struct Case {
        Gateway::Refusal refusal;
        int status;
        bool mayRetry;
    };
    const std::vector<Case> cases{{Gateway::Refusal::NotRun, 503, true},
        {Gateway::Refusal::TimedOut, 504, false},
        {Gateway::Refusal::Failed, 502, false},
        {Gateway::Refusal::NoRoute, 404, false},
        {Gateway::Refusal::Unauthorized, 401, false}};
    for (const auto &item : cases) {
        const auto response = dialect.writeRefusal(item.refusal, Core::RequestId("id"), Core::milliseconds(150));
        cr_assert(response.status == item.status);
        const auto *retryAfter = Wire::findHeader(response.headers, "Retry-After");
        cr_assert((retryAfter != nullptr) == item.mayRetry);
        cr_assert(retryAfter == nullptr || *retryAfter == "0.150");
    }
}

Test(SettingsFile, parsesKnownSettingsAndIgnoresUnknownOnes)
{
    const auto read = Platform::parseProcessSettings(
        "node_name=n1\nip=10.1.0.9\nzone=z1\nzones.z1=r1\nzones.z2=r2\nlisten_addrs.frontend=10.1.0.9:8104\ninternal_ports=7380,7395\n"
        "seed_nodes=10.1.0.9:8106,10.2.0.21:8106\nbootstrap=true\nlimits.cpu_quota=0.12\nfault_tolerance.machines=2\nbounds.retry_budget_ratio=0.2\nfuture."
        "field=x\nno equals sign\n");
    cr_assert(read.has_value());
    cr_assert(read->regions.size() == 2 && read->seeds.size() == 2 && read->firstStart && read->toleratedFailures == 2);
    cr_assert(read->processorShare == 0.12);
    cr_assert(Platform::watchEndpoints(read.value())[1].toString() == "10.2.0.21:7380");
    cr_assert_not(read->readinessListen.has_value());
    for (const char *bad : {"", "ip=10.1.0.9\n", "ip=1.2.3.4\ninternal_ports=x\n", "ip=1.2.3.4\ninternal_ports=7000,7001\nseed_nodes=nowhere\n"}) {
        cr_assert_not(Platform::parseProcessSettings(bad).has_value(), "%s", bad);
    }
}

// Guards against a program that does not start because the platform gives a time as a fraction.
Test(SettingsFile, parsesTimesWithFractions)
{
    const std::string required = "ip=1.2.3.4\ninternal_ports=7000,7001\n";
    const auto read = Platform::parseProcessSettings(required + "bounds.grace_s=2.5\nbounds.catch_up_s=4.0\n");
    cr_assert(read.has_value());
    cr_assert(read->stopTime == Core::milliseconds(2500));
    cr_assert(read->catchUpTime == Core::seconds(4));
    for (const char *bad : {"bounds.grace_s=0\n", "bounds.grace_s=-1\n", "bounds.grace_s=1e300\n", "bounds.grace_s=nan\n"}) {
        cr_assert_not(Platform::parseProcessSettings(required + bad).has_value(), "%s", bad);
    }
}

Test(RequestDialect, forwardsMatchingAndRelayHeadersThatConnectionLists)
{
    const auto dialect = Platform::makeDialect();
    const auto relay = Gateway::makeRelayDialect(dialect);
    const Gateway::CallerRequest request{.id = Core::RequestId("x"),
        .message = {.method = "GET",
            .target = "/",
            .headers = {{"Request-Id", "x"},
                {"Own", "y"},
                {Gateway::RelayHeader::AllowedRegions, "home"},
                {"Connection", "request-id, own, crankrudder-send, crankrudder-allowed-regions"}},
            .body = {}}};
    std::string bytes;
    cr_assert(relay.writeRequest(bytes, {.caller = &request, .backend = Gateway::BackendName("g"), .timeLeft = Core::seconds(1), .number = 7}));
    cr_assert_neq(bytes.find("Request-Id: x"), std::string::npos, "sent: %s", bytes.c_str());
    cr_assert_neq(bytes.find("Crankrudder-Send: 7"), std::string::npos, "sent: %s", bytes.c_str());
    cr_assert_neq(bytes.find("Crankrudder-Allowed-Regions: home"), std::string::npos, "sent: %s", bytes.c_str());
    cr_assert_eq(bytes.find("Own"), std::string::npos, "sent: %s", bytes.c_str());
}
