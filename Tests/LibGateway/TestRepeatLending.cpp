/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Whole gateways that lend each other repeats. Guards against callers who get no repeats at the gateways to which they have moved while those that they came
// from have some left.

#include <Support/NodeFixture.h>

#include <criterion/criterion.h>
#include <set>

using TestSupport::NodeFixture;
using TestSupport::NodeUnderTest;

namespace
{

constexpr double Slack = 60.0;
constexpr int Ok = 200;

/** Three gateways, and backend servers that refuse the first send of each request. */
class RefusingFixture : public NodeFixture
{
public:
    RefusingFixture()
    {
        this->coordinator.declare(nlohmann::json::parse(R"({"version": 1,
            "routes": [{"name": "one", "host": "h.example", "path_prefix": "/one/", "route_type": "idempotent", "timeout_ms": 4000, "service": "one", "max_attempts": 2}],
            "services": [{"name": "one", "max_conns": 200}]})"));
        for (const char *id : {"server-1", "server-2"}) {
            (void)this->addBackend("one", id, "here");
            this->backends.back()->script = [this, id](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
                const bool isFirst = this->seen.insert(*Wire::findHeader(request.headers, "Request-Id")).second;
                exchange->respond(isFirst ? TestSupport::errorResponse(request, 503, true) : TestSupport::successResponse(request, id, "body"));
            };
        }
        for (const char *zone : {"here", "beside", "there"}) {
            this->addNode(zone, [](Gateway::GatewayOptions &options) {
                options.pool.budget.slack = Slack;
            });
        }
        cr_assert(this->awaitReady());
        // Time for the gateways to be counted, and their pool of each other to be filled.
        this->settle(Core::milliseconds(300));
    }

    /** Returns how many of the requests at a gateway were answered, which takes a repeat each. They are sent over several periods in which it may borrow. */
    int answered(const NodeUnderTest &node, int requests)
    {
        int count = 0;
        for (int request = 0; request < requests; ++request) {
            this->settle(Core::milliseconds(25));
            count += this->ask(node, "/one/1").status == Ok ? 1 : 0;
        }
        return count;
    }

    std::set<std::string> seen;
};

}

Test(RepeatLending, aGatewayGetsRepeatsThatOthersDoNotNeed)
{
    RefusingFixture fixture;
    const int answered = fixture.answered(*fixture.nodes.front(), 36);
    // Its own third of the slack, with what its requests have earned.
    const int own = static_cast<int>(0.95 * (Slack / 3.0 + 0.1 * 36.0));
    cr_assert_gt(answered, own + 8, "%d of 36, %d are its own", answered, own);
    cr_assert_leq(answered, static_cast<int>(0.95 * (Slack + 0.2 * 36.0)), "%d", answered);
    const auto metrics = fixture.nodes.front()->node.metrics();
    cr_assert(metrics.find("crankrudder_repeats_borrowed_total 0\n") == std::string::npos);
}

// A caller can't ask a gateway for the repeats of others, nor can the header reach a backend server.
Test(RepeatLending, aCallerCantBorrow)
{
    RefusingFixture fixture;
    const auto answer = fixture.ask(*fixture.nodes.front(), "/one/1", {{Gateway::RelayHeader::RepeatLoans, "1"}});
    cr_assert_eq(answer.status, Ok);
    for (const auto &backend : fixture.backends) {
        for (const auto &request : backend->requests) {
            cr_assert(Wire::findHeader(request.headers, Gateway::RelayHeader::RepeatLoans) == nullptr);
        }
    }
}
