/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: three gateways in three regions, and backend servers that refuse most requests for some seconds. Each gateway relays parts of its searches to the
// others, until these refuse too much and it sends by itself. When the serving gateway counted the requests of a part, the place where a search was counted
// moved: the former gateway had made its repeats already, and the new one was granted repeats for the same share of the searches, 1.17 of the allowed ones
// within a window.

#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>

using TestSupport::GatewayFixture;

namespace
{

constexpr int Searches = 60;

/** Searches over one shard in a part, whose serving gateway reports that the backend server refused it. There is no slack, so repeats need counted requests. */
class RefusedPartFixture : public GatewayFixture
{
public:
    RefusedPartFixture() : GatewayFixture(0.0)
    {
        const Core::ServiceName shard("shard");
        this->route().idempotent = true;
        this->route().maximumAttempts = 2;
        this->route().targetLatency = Core::seconds(8);
        this->route().topRecords = 1;
        this->route().minimumCoverage = 1.0;
        this->route().shards = {shard};
        this->relayed = {shard};
        this->server = &this->add("shard", "server", [](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            exchange->respond(TestSupport::successResponse(request, "signature", std::string(16, 'x')));
        });
        this->gateway = &this->addGateway([](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            Protocol::PartialAnswer answer;
            answer.missing.emplace_back();
            answer.missing.back().serviceName = "shard";
            answer.missing.back().sends = 1;
            answer.missing.back().counted = true;
            exchange->respond(TestSupport::partOf(request, answer));
        });
    }

    void search()
    {
        for (int number = 0; number < Searches; ++number) {
            (void)this->ask("search-" + std::to_string(number));
        }
    }

    /** Whether the serving gateway was told that the request is counted already. */
    [[nodiscard]] bool wasToldAsCounted() const
    {
        auto headers = this->gateway->requests.front().headers;
        return Gateway::extractRelayParameters(headers)->before.counted;
    }

    TestSupport::ScriptedBackend *server{nullptr};
    TestSupport::ScriptedBackend *gateway{nullptr};
};

}

Test(RequestCounting, gatewayThatTookARequestHasTheRepeatsOfItsParts)
{
    RefusedPartFixture fixture;
    fixture.search();
    cr_assert(fixture.wasToldAsCounted());
    // 0.95 of a tenth of the requests: the other tenth is for the window after them.
    cr_assert_eq(fixture.server->requests.size(), 5U);
}

Test(RequestCounting, ownersCountTheRequestsOfTheirParts)
{
    RefusedPartFixture fixture;
    fixture.owners = {Gateway::BackendName("gateway")};
    fixture.search();
    cr_assert_not(fixture.wasToldAsCounted());
    cr_assert_eq(fixture.server->requests.size(), 0U);
}
