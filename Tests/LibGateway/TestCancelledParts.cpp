/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Checks that a part whose search has ended leaves the queue for capacity at the gateway that serves it, from the caller's connection to the backend servers.
// Guards against work for searches that nobody waits for, which under overload takes the place of others.

#include <Support/NodeFixture.h>

#include <criterion/criterion.h>
#include <numeric>

namespace
{

/** Two gateways; the second serves the parts of the first one's searches, at servers with one connection each that hold their answers. */
class CancelledPartsFixture : public TestSupport::NodeFixture
{
public:
    /** Without `isTold` the second gateway can only learn the end of a search by a closed connection, and otherwise only by a message. */
    explicit CancelledPartsFixture(bool isTold)
    {
        this->coordinator.declare(nlohmann::json::parse(
            R"({"version": 1, "services": [{"name": "s0", "max_conns": 1}, {"name": "s1", "max_conns": 1}, {"name": "s2", "max_conns": 1}], "routes": [
            {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 60000, "target_latency_ms": 30000,
             "public": true, "gather": ["s0", "s1", "s2"], "max_attempts": 1, "top_k": 5, "min_coverage": 1.0}]})"));
        for (const char *shard : {"s0", "s1", "s2"}) {
            this->addBackend(shard, std::string("server-") + shard, "beside").script = [this](const Wire::Request &request, const auto &exchange) {
                this->held.emplace_back(request, exchange);
            };
        }
        this->asked = &this->addNode("here", [isTold](Gateway::GatewayOptions &options) {
            options.relay.cancelsParts = isTold;
            if (isTold) {
                options.pool.cancelTimeout = options.pool.abandonTimeout = Core::seconds(60);
            }
        });
        this->serving = &this->addNode("beside");
    }

    /** Sends a search and returns the connection of its caller. */
    std::shared_ptr<Wire::ClientConnection> begin(const std::string &id)
    {
        std::string bytes;
        const Wire::Headers headers{{"Host", "h.example"}, {"Request-Id", id}, {"Deadline-Ms", "60000"}};
        (void)Wire::appendRequest(bytes, {.method = "GET", .target = "/search/1", .headers = headers, .body = {}});
        auto connection = Wire::ClientConnection::create({.endpoint = this->asked->callerEndpoint}, *this->poll, this->timers).value();
        connection->send({.bytes = std::move(bytes),
            .recognise =
                [](const Wire::Response &) {
                    return true;
                },
            .done =
                [this](const Wire::ClientResult &result) {
                    this->answered += result.response.status == 200 ? 1 : 0;
                }});
        return connection;
    }

    [[nodiscard]] bool awaitWaiting(std::size_t count)
    {
        return this->runUntil([this, count] {
            const auto waiting = this->serving->node.backends().waitingByUrgency();
            return count == std::accumulate(waiting.begin(), waiting.end(), std::size_t(0), [](std::size_t sum, const auto &row) {
                return sum + row.second;
            });
        });
    }

    [[nodiscard]] bool awaitHeld(std::size_t count)
    {
        return this->runUntil([this, count] {
            return this->held.size() == count;
        });
    }

    void answerHeld()
    {
        for (const auto &[request, exchange] : std::exchange(this->held, {})) {
            const auto *id = Wire::findHeader(request.headers, "Request-Id");
            exchange->respond(TestSupport::successResponse(request, "signature-" + *id, std::string(16, 'r')));
        }
    }

    TestSupport::NodeUnderTest *asked{nullptr};
    TestSupport::NodeUnderTest *serving{nullptr};
    std::vector<std::pair<Wire::Request, Wire::ExchangePointer>> held;
    int answered{0};
};

}

// The searches would otherwise wait for 60 s.
Test(CancelledParts, aPartOfAnEndedSearchLeavesTheQueueAndSendsNothing)
{
    for (const bool isTold : {true, false}) {
        CancelledPartsFixture fixture(isTold);
        cr_assert(fixture.awaitReady());
        const auto first = fixture.begin("first");
        cr_assert(fixture.awaitHeld(3));
        const auto second = fixture.begin("second");
        cr_assert(fixture.awaitWaiting(3));
        second->close();
        cr_assert(fixture.awaitWaiting(0), "told %d", isTold ? 1 : 0);
        cr_assert_eq(fixture.serving->node.counters().partsCancelled, isTold ? 1 : 0);
        fixture.answerHeld();
        cr_assert(fixture.runUntil([&fixture] {
            return fixture.answered == 1;
        }));
        const auto third = fixture.begin("third");
        cr_assert(fixture.awaitHeld(3));
        for (const auto &[request, exchange] : fixture.held) {
            cr_assert_eq(*Wire::findHeader(request.headers, "Request-Id"), "third", "nothing is sent for the second");
        }
        cr_assert_eq(fixture.serving->node.requestsInFlight(), 1);
        first->close();
        third->close();
    }
}

// A gateway of a release without cancellations refuses the message. It must not pass for one that refuses parts.
Test(CancelledParts, aRefusedMessageSaysNothingAboutItsGateway)
{
    TestSupport::GatewayFixture fixture;
    const auto &gateway = fixture.addGateway([](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        exchange->respond(TestSupport::errorResponse(request, 503, true));
    });
    Gateway::CallerRequest message{.id = Core::RequestId("x"), .message = {.method = "GET", .target = "/", .headers = {{"Request-Id", "x"}}, .body = {}}};
    Gateway::addCancellation(message.message.headers, {.send = "7", .request = "x"});
    fixture.relays.sendMessage(Gateway::BackendName("gateway"), message);
    cr_assert(fixture.runUntil([&fixture] {
        return nlohmann::json::parse(fixture.relays.dump()).at(0).at("in_flight") == 0;
    }));
    cr_assert_eq(gateway.requests.size(), 1);
    cr_assert_eq(fixture.relays.counters().notExecuted, 0);
    auto headers = gateway.requests.front().headers;
    const auto part = Gateway::extractCancellation(headers);
    cr_assert(part.has_value() && part->send == "7" && part->request == "x");
}
