/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: callers name the fields twice by which a gateway decides, in any order and case. A
// backend server that reads the first one and one that reads the last one have to serve what
// the gateway checked.

#include <LibWire/MessageParser.h>
#include <Support/NodeFixture.h>

#include <criterion/criterion.h>
#include <random>

namespace
{

struct Form {
    std::string target;
    Wire::Headers headers;
};

/** Makes requests with each field zero times or more, most of them once. */
class Generator
{
public:
    Form make()
    {
        static const std::vector<std::string> targets{
            "/x", "/x?q=http://other.example/", "http://one.example/x", "HTTP://two.example:80", "https://three.example?q", "*"};
        Form form{.target = targets[this->random() % targets.size()], .headers = {}};
        this->add(form, {"Host", "host", "HOST"}, {"one.example", "two.example:80", "", "two .example", "one.example,two.example"});
        this->add(form, {"Request-Id", "request-id"}, {"a", "b"});
        this->add(form, {"Deadline-Ms", "DEADLINE-MS"}, {"100", "900"});
        this->add(form, {"Credential", "credential"}, {"key", "another"});
        this->add(form, {"Tenant"}, {"forged"});
        std::shuffle(form.headers.begin(), form.headers.end(), this->random);
        return form;
    }

private:
    void add(Form &form, const std::vector<std::string> &names, const std::vector<std::string> &values)
    {
        static constexpr std::array Counts{0, 1, 1, 1, 1, 1, 2};
        for (int left = Counts[this->random() % Counts.size()]; left > 0; --left) {
            const auto &value = values[this->random() % (this->random() % 3 == 0 ? values.size() : 1)];
            form.headers.push_back({.name = names[this->random() % names.size()], .value = value});
        }
    }

    std::mt19937 random{3};
};

std::vector<std::string> valuesOf(const Wire::Headers &headers, const char *name)
{
    std::vector<std::string> values;
    for (const auto &header : headers) {
        if (Wire::sameName(header.name, name)) {
            values.push_back(header.value);
        }
    }
    return values;
}

/** What a backend server receives of a request. */
Wire::Request sent(const Gateway::Dialect &dialect, const Gateway::CallerRequest &request)
{
    std::string bytes;
    cr_assert(dialect.writeRequest(bytes, {.caller = &request, .backend = Gateway::BackendName("i"), .timeLeft = Core::seconds(1)}));
    Wire::MessageParser parser(Wire::MessageKind::Request, {});
    parser.feed(bytes);
    return parser.extractRequest();
}

}

// Two Host lines were decided by the first and both sent on, so that a backend server that reads the last one served another host's request.
Test(RequestMeaning, isTheSameForEveryReader)
{
    const auto dialect = Platform::makeDialect();
    Generator generator;
    int clear = 0;
    for (int round = 0; round < 5000; ++round) {
        const auto form = generator.make();
        const auto request = dialect.readRequest({.method = "GET", .target = form.target, .headers = form.headers, .body = {}});
        const bool isRepeated = std::any_of(form.headers.begin(), form.headers.end(), [&form](const Wire::Header &header) {
            return !Wire::sameName(header.name, "Tenant") && valuesOf(form.headers, header.name.c_str()).size() > 1;
        });
        const auto hosts = valuesOf(form.headers, "Host");
        const bool isAbsolute = form.target.find("://") < form.target.find('?');
        const bool isHostValid = !hosts.empty() && (isAbsolute || (!hosts.front().empty() && hosts.front().find(' ') == std::string::npos));
        cr_assert_eq(request.fault != nullptr, isRepeated || !isHostValid, "%s", request.fault == nullptr ? "taken" : request.fault);
        if (request.fault != nullptr) {
            continue;
        }
        ++clear;
        const auto received = sent(dialect, request);
        cr_assert(valuesOf(received.headers, "Host") == std::vector<std::string>{request.host}, "%s", request.host.c_str());
        cr_assert_leq(valuesOf(received.headers, "Request-Id").size(), 1);
        cr_assert(valuesOf(received.headers, "Credential").empty() && valuesOf(received.headers, "Tenant").empty());
        cr_assert(received.target == "*" || received.target.starts_with('/'), "%s", received.target.c_str());
        cr_assert(form.target.find("three") == std::string::npos || request.host == "three.example");
    }
    cr_assert_gt(clear, 500);
}

// No Host was answered with 404, and so was a target in absolute form.
Test(RequestMeaning, ambiguousRequestsAreRefusedAndNotSent)
{
    TestSupport::NodeFixture fixture;
    fixture.coordinator.declare(nlohmann::json::parse(R"({"version": 1, "services": [{"name": "s"}], "routes": [
        {"name": "r", "host": "h.example", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 100, "service": "s"}]})"));
    auto &server = fixture.addBackend("s", "one", "here");
    const auto &gateway = fixture.addNode("here");
    cr_assert(fixture.awaitReady());
    for (const char *repeated : {"Host", "request-ID", "DEADLINE-MS"}) {
        cr_assert_eq(fixture.ask(gateway, "/x", {{repeated, "1"}}).status, 400, "%s", repeated);
    }
    cr_assert(server.requests.empty());
    cr_assert_eq(fixture.ask(gateway, "http://h.example/x?y").status, 200);
    cr_assert_eq(server.requests.back().target, "/x?y");
    cr_assert_eq(fixture.ask(gateway, "http://other.example/x").status, 404, "the target names the host, whatever the field says");
}

// Callers may send heads of 32 KiB, and gateways took parts of 16 KiB: 502.
Test(RequestMeaning, isPassedToOtherGatewaysWhateverItsSize)
{
    TestSupport::NodeFixture fixture;
    auto declaration = nlohmann::json::parse(R"({"version": 1, "services": [], "routes": [
        {"name": "r", "host": "h.example", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 2000, "gather": [],
         "top_k": 5, "min_coverage": 1.0}],
        "limits": {"max_header_bytes": 32768, "max_body_bytes": 524288, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})");
    for (int shard = 0; shard < 8; ++shard) {
        const auto name = "shard-" + std::to_string(shard);
        declaration["services"].push_back({{"name", name}, {"max_conns", 200}});
        declaration["routes"][0]["gather"].push_back(name);
        fixture.addBackend(name, "server-" + name, "beside");
    }
    fixture.coordinator.declare(declaration);
    const auto &requestingGateway = fixture.addNode("here");
    const auto &servingGateway = fixture.addNode("beside");
    for (auto &server : fixture.backends) {
        server->server->setLimits({.message = {.headerBytes = 64 * 1024}});
    }
    cr_assert(fixture.awaitReady());
    cr_assert_eq(fixture.ask(requestingGateway, "/x", {{"X-Large", std::string(20'000, 'x')}}).status, 200);
    cr_assert_not(servingGateway.relayed.empty(), "the shards are in the zone of the other gateway");
}
