/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Quotas across several gateways, with their messages on the wire.

#include <Support/NodeFixture.h>

#include <criterion/criterion.h>

using TestSupport::NodeFixture;
using TestSupport::NodeUnderTest;

namespace
{

constexpr int Ok = 200;
constexpr int OverQuota = 429;
constexpr int NotRun = 503;
// Quota of the workspace "small" in the declaration.
constexpr double SmallBurst = 12.0;
constexpr double SmallPerSecond = 4.0;

nlohmann::json declaration()
{
    return nlohmann::json::parse(R"({"version": 1,
        "routes": [{"name": "one", "host": "h.example", "path_prefix": "/one/", "route_type": "idempotent", "timeout_ms": 4000, "priority": 2, "service": "one"},
                   {"name": "urgent", "host": "h.example", "path_prefix": "/urgent/", "route_type": "idempotent", "timeout_ms": 4000, "service": "one"}],
        "services": [{"name": "one", "max_conns": 200}],
        "tenants": [{"name": "small", "api_keys": ["small-secret"], "rate_per_s": 4, "burst": 12},
                    {"name": "large", "api_keys": ["large-secret"], "rate_per_s": 0}]})");
}

class QuotaFixture : public NodeFixture
{
public:
    explicit QuotaFixture(const std::vector<std::string> &zones, Core::Duration timeout = Core::milliseconds(2600))
    {
        this->coordinator.declare(declaration());
        this->backend = &this->addBackend("one", "server", "here");
        for (const auto &zone : zones) {
            this->addNode(zone, [timeout](Gateway::GatewayOptions &options) {
                options.quotas.quota.usedShare = 1.0;
                options.readinessTimeout = timeout;
            });
        }
    }

    Wire::Response askAs(const NodeUnderTest &node, const std::string &key)
    {
        return this->ask(node, "/one/1", {{"Credential", key}});
    }

    /** Returns how many queries gateways have sent each other. */
    [[nodiscard]] std::uint64_t queries() const
    {
        std::uint64_t count = 0;
        for (const auto &node : this->nodes) {
            count += node->relayed.size();
        }
        return count;
    }

    TestSupport::ScriptedBackend *backend{nullptr};
};

}

Test(Quotas, applyToAllGatewaysTogether)
{
    QuotaFixture fixture({"here", "here", "beside", "there", "there"});
    cr_assert(fixture.awaitReady());
    // Waits until the shares have filled up to the whole burst.
    fixture.settle(Core::milliseconds(1500) + Core::seconds(static_cast<std::int64_t>(SmallBurst / SmallPerSecond)));
    const auto began = fixture.timers.now();
    int granted = 0;
    int refused = 0;
    for (int round = 0; round < 6; ++round) {
        for (const auto &node : fixture.nodes) {
            const auto answer = fixture.askAs(*node, "small-secret");
            granted += answer.status == Ok ? 1 : 0;
            if (answer.status == OverQuota) {
                ++refused;
                const auto *retryAfterHeader = Wire::findHeader(answer.headers, "Retry-After");
                cr_assert(retryAfterHeader != nullptr && std::stod(*retryAfterHeader) > 0.0);
            }
        }
    }
    cr_assert_eq(granted + refused, 30);
    const double seconds = Core::toFractionalMilliseconds(fixture.timers.now() - began) / 1000.0;
    cr_assert(granted <= SmallBurst + SmallPerSecond * seconds, "%d in %.3f s", granted, seconds);
    cr_assert(granted >= 0.7 * SmallBurst, "%d in %.3f s", granted, seconds);
    cr_assert_eq(fixture.backend->requests.size(), static_cast<std::size_t>(granted), "refused requests were not executed");
    for (const auto &node : fixture.nodes) {
        cr_assert_eq(fixture.askAs(*node, "large-secret").status, Ok, "the quota of another workspace does not apply");
    }
}

Test(Quotas, requestsAreRefusedAsNotRunWithoutAKeeper)
{
    QuotaFixture fixture({"here"});
    cr_assert(fixture.awaitReady());
    // A draining gateway gives up its shares, since another one may hold them.
    fixture.nodes.front()->node.beginStop(Core::StopSchedule::of({}, fixture.timers.now()));
    const auto answer = fixture.askAs(*fixture.nodes.front(), "small-secret");
    cr_assert_eq(answer.status, NotRun, "without a keeper the quota is not known to be exhausted");
    cr_assert_not_null(Wire::findHeader(answer.headers, "Retry-After"));
    cr_assert_eq(fixture.askAs(*fixture.nodes.front(), "large-secret").status, Ok);
}

Test(Quotas, quotaQueryHeadersOfCallersAreIgnored)
{
    QuotaFixture fixture({"here"});
    cr_assert(fixture.awaitReady());
    const auto answer = fixture.ask(*fixture.nodes.front(),
        "/one/1",
        {{"Credential", "large-secret"},
            {Gateway::RelayHeader::Quota, "small"},
            {Gateway::RelayHeader::QuotaTerms, "0,0,d,5000,100,2"},
            {Gateway::RelayHeader::QuotaExhausted, "127.0.0.1:1=500"}});
    cr_assert_eq(answer.status, Ok);
    for (const char *name : {Gateway::RelayHeader::Quota, Gateway::RelayHeader::QuotaTerms, Gateway::RelayHeader::QuotaExhausted}) {
        cr_assert_null(Wire::findHeader(fixture.backend->requests.back().headers, name), "%s is not forwarded", name);
    }
}

// Guards against callers that are refused again when they return as they were told.
Test(Quotas, refusedCallersReturnToAnyGatewayOfTheRegion)
{
    QuotaFixture fixture({"here", "here", "beside", "beside", "here"});
    cr_assert(fixture.awaitReady());
    fixture.settle(Core::milliseconds(2300));
    int refused = 0;
    int served = 0;
    for (int request = 0; request < 30 && refused < 4; ++request) {
        const auto content = "/one/" + std::to_string(request);
        const auto &node = *fixture.nodes[static_cast<std::size_t>(request) % fixture.nodes.size()];
        const auto first = fixture.ask(node, content, {{"Credential", "small-secret"}});
        if (first.status != OverQuota) {
            continue;
        }
        ++refused;
        const auto wait = std::stod(*Wire::findHeader(first.headers, "Retry-After"));
        cr_assert(wait > 0.0 && wait < 1.7, "%.3f", wait);
        // Another caller, who is refused as well unless a reserved token has just expired.
        (void)fixture.ask(*fixture.nodes[0], content + "-other", {{"Credential", "small-secret"}});
        fixture.settle(Core::milliseconds(static_cast<std::int64_t>(wait * 1000.0) + 5));
        const auto &other = *fixture.nodes[static_cast<std::size_t>(request + 2) % fixture.nodes.size()];
        served += fixture.ask(other, content, {{"Credential", "small-secret"}}).status == Ok ? 1 : 0;
    }
    cr_assert(refused == 4 && served == 4, "%d of %d", served, refused);
}

// Guards against refusals that query one keeper after the other although all of them were found exhausted a moment before.
Test(Quotas, mostRefusalsTakeOneQuery)
{
    QuotaFixture fixture({"here", "here", "beside", "there", "there", "there"});
    cr_assert(fixture.awaitReady());
    fixture.settle(Core::milliseconds(2300));
    int refused = 0;
    int quick = 0;
    for (int request = 0; request < 200; ++request) {
        const auto before = fixture.queries();
        const auto &node = *fixture.nodes[static_cast<std::size_t>(request) % fixture.nodes.size()];
        const auto target = (request % 50 == 1 ? "/urgent/" : "/one/") + std::to_string(request);
        if (fixture.ask(node, target, {{"Credential", "small-secret"}}).status == OverQuota) {
            ++refused;
            quick += fixture.queries() - before <= 1 ? 1 : 0;
        }
    }
    cr_assert(refused > 150 && quick >= 0.9 * refused, "%d of %d", quick, refused);
}

// Guards against refusals while one of the keepers of other regions has a token.
Test(Quotas, nothingIsRefusedWhileAnyKeeperHasATokenAndThereIsTime)
{
    // A zone that belongs to no region is one of its own, so there are six keepers with two tokens each.
    QuotaFixture fixture({"here", "here", "there", "there", "far", "far"});
    cr_assert(fixture.awaitReady());
    fixture.settle(Core::milliseconds(2300) + Core::seconds(3));
    const auto askUntil = [&fixture](int count, const std::string &path) {
        int granted = 0;
        while (granted < count && fixture.ask(*fixture.nodes.front(), path + std::to_string(granted), {{"Credential", "small-secret"}}).status == Ok) {
            ++granted;
        }
        return granted;
    };
    cr_assert_eq(askUntil(8, "/one/"), 8);
    // Of which keepers are exhausted for more urgent requests nothing is known.
    cr_assert_eq(askUntil(4, "/urgent/"), 4);
}

// Guards against many callers with the same content who compete for the tokens of one share, and against reservations at the next one that nobody finds.
Test(Quotas, popularContentIsReservedAtTwoKeepers)
{
    QuotaFixture fixture({"here", "beside", "here", "beside"});
    cr_assert(fixture.awaitReady());
    fixture.settle(Core::milliseconds(2300));
    const auto keepersWith = [&fixture](const std::string &event) {
        return std::count_if(fixture.nodes.begin(), fixture.nodes.end(), [&event](const auto &node) {
            const auto page = node->node.metrics();
            const auto sample = "crankrudder_quota_reservations_total{event=\"" + event + "\"} ";
            const auto place = page.find(sample);
            return place != std::string::npos && page[place + sample.size()] != '0';
        });
    };
    // Callers whose time ends within 50 ms of each other would be taken for one, and the longest that they wait is 1.6 s. They return as told, one after the
    // other, to any gateway.
    std::vector<Core::Instant> returns;
    std::size_t sent = 0;
    for (auto nextAt = fixture.timers.now(); sent < 24 || !returns.empty(); fixture.settle(Core::milliseconds(5))) {
        const auto now = fixture.timers.now();
        const auto &node = *fixture.nodes[(sent + returns.size()) % fixture.nodes.size()];
        const auto due = std::min_element(returns.begin(), returns.end());
        if (due != returns.end() && *due <= now) {
            returns.erase(due);
            (void)fixture.ask(node, "/one/popular", {{"Credential", "small-secret"}});
        } else if (sent < 24 && nextAt <= now) {
            ++sent;
            nextAt = now + Core::milliseconds(60);
            const auto answer = fixture.ask(node, "/one/popular", {{"Credential", "small-secret"}});
            const auto wait = answer.status == OverQuota ? std::stod(*Wire::findHeader(answer.headers, "Retry-After")) : 2.0;
            if (wait < 1.6) {
                returns.push_back(fixture.timers.now() + Core::milliseconds(static_cast<std::int64_t>(wait * 1000.0) + 5));
            }
        }
    }
    cr_assert_eq(keepersWith("made"), 2);
    cr_assert_eq(keepersWith("claimed"), 2);
}

// Guards against a division by urgency that never applies: the keepers of an overloaded workspace have to learn from each other that none has a token.
Test(Quotas, urgentRequestsComeFirstWhenAllKeepersAreExhausted)
{
    QuotaFixture fixture({"here", "here", "there", "there"});
    cr_assert(fixture.awaitReady());
    fixture.settle(Core::milliseconds(2300));
    const auto urgentPeriod = Core::milliseconds(400);
    const int urgentRequests = 16;
    int urgent = 0;
    int granted = 0;
    std::size_t request = 0;
    // The urgent requests alone are fewer than the quota; the others are some fifty times the quota.
    for (auto urgentAt = fixture.timers.now() + Core::seconds(2); urgent < urgentRequests; fixture.settle(Core::milliseconds(4))) {
        const bool isUrgent = fixture.timers.now() >= urgentAt;
        const auto &node = *fixture.nodes[++request % fixture.nodes.size()];
        const auto answer = fixture.ask(node, (isUrgent ? "/urgent/" : "/one/") + std::to_string(request), {{"Credential", "small-secret"}});
        if (isUrgent) {
            ++urgent;
            urgentAt = urgentAt + urgentPeriod;
            granted += answer.status == Ok ? 1 : 0;
        }
    }
    cr_assert(granted >= urgentRequests / 2, "%d of %d", granted, urgentRequests);
}

// Guards against calling a quota used up when its keepers have only just started, and against a Retry-After at which they still grant nothing.
Test(Quotas, keepersThatJustStartedDoNotSayOverQuota)
{
    QuotaFixture fixture({"here", "here"});
    cr_assert(fixture.awaitReady());
    const auto answer = fixture.askAs(*fixture.nodes.front(), "small-secret");
    cr_assert_eq(answer.status, NotRun, "%d", answer.status);
    const auto wait = std::stod(*Wire::findHeader(answer.headers, "Retry-After"));
    cr_assert(wait > 0.5 && wait <= 2.0, "%.3f", wait);
    fixture.settle(Core::milliseconds(static_cast<std::int64_t>(wait * 1000.0) + 5));
    cr_assert_eq(fixture.askAs(*fixture.nodes.front(), "small-secret").status, Ok);
}

// Scenario: all gateways restart while a declared service has no server, so that none of them is ready yet, and callers send requests nevertheless.
Test(Quotas, areKeptByGatewaysThatAreNotReady)
{
    QuotaFixture fixture({"here", "there"}, Core::seconds(600));
    auto document = declaration();
    document["services"].push_back({{"name", "gone"}});
    document["routes"].push_back(document["routes"][0]);
    document["routes"].back()["path_prefix"] = "/gone/";
    document["routes"].back()["service"] = "gone";
    fixture.coordinator.declare(document);
    cr_assert(fixture.runUntil([&fixture] {
        const auto answer = fixture.askAs(*fixture.nodes.front(), "small-secret");
        fixture.settle();
        return answer.status == Ok;
    }));
}

Test(QuotaReplies, roundTrip)
{
    const Gateway::QuotaReply refused{.isKeeper = true, .granted = false, .freeAfter = Core::milliseconds(12), .retryAfter = Core::milliseconds(345)};
    const auto read = Gateway::readQuotaReply(Gateway::writeQuotaReply(refused, false));
    cr_assert(read.has_value() && !read->granted && read->freeAfter == refused.freeAfter && read->retryAfter == refused.retryAfter);
    cr_assert(Gateway::readQuotaReply(Gateway::writeQuotaReply({.isKeeper = true, .granted = true}, false))->granted);
    for (const char *bad : {"", "1", "1,2", "1,2,3,4", "1,x,3", "1,-2,3"}) {
        cr_assert_not(Gateway::readQuotaReply(bad).has_value(), "%s", bad);
    }
}
