/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: a backend server is cold, and the coordinators don't tell the gateway so: it is
// cut off from them, or they have restarted and only know the server from their disks. The
// server's health path tells. It serves 4 requests a second while it is cold, and gets at
// most 11 in any second.

#include <Support/NodeFixture.h>

#include <criterion/criterion.h>
#include <deque>

namespace
{

constexpr int Allowed = 11;

/** A gateway and a backend server whose warm-up the test sets, and callers that send requests at a fixed rate. */
class WarmthFixture : public TestSupport::NodeFixture
{
public:
    WarmthFixture()
    {
        this->coordinator.declare(nlohmann::json::parse(R"({"version": 1, "services": [
            {"name": "s", "health_path": "/health", "max_conns": 50, "warmup_s": 10, "warmup_per_s": 4}], "routes": [
            {"name": "r", "host": "h.example", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 400, "target_latency_ms": 100, "service": "s"}]})"));
        this->server = &this->addBackend("s", "one", "here");
        this->server->script = [this](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            this->serve(request, exchange);
        };
    }

    void startGateway()
    {
        this->gateway = &this->addNode("here", [](Gateway::GatewayOptions &options) {
            options.pool.warmup = {.overshoot = 1.5, .slack = 5.0};
        });
        cr_assert(this->awaitReady());
    }

    /** Sends a request every 20 ms for this long, and runs the loop meanwhile. */
    void sendFor(Core::Duration time)
    {
        const auto end = this->timers.now() + time;
        while (this->timers.now() < end) {
            this->connections.push_back(this->begin(*this->gateway, "/x", {}, [this](const Wire::Response &response) {
                this->served += response.status == 200 ? 1 : 0;
            }));
            this->settle(Core::milliseconds(20));
        }
    }

    /** The most requests in any second that arrived while the backend server was cold. */
    [[nodiscard]] int mostInASecond() const
    {
        int most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            most = std::max(most, static_cast<int>(std::count_if(first, this->arrivals.end(), [first](Core::Instant time) {
                return time - *first <= Core::seconds(1);
            })));
        }
        return most;
    }

    TestSupport::ScriptedBackend *server{nullptr};
    TestSupport::NodeUnderTest *gateway{nullptr};
    bool isCold{false};
    bool tellsWarmup{true};
    int served{0};
    int checks{0};

private:
    void serve(const Wire::Request &request, const Wire::ExchangePointer &exchange)
    {
        if (request.target == "/health") {
            ++this->checks;
            Wire::Response response{.status = 200, .headers = {{"Instance-Id", this->server->id}}, .body = {}};
            if (this->tellsWarmup) {
                response.headers.push_back({"Warmup-Ms", this->isCold ? "8000" : "0"});
            }
            exchange->respond(response);
            return;
        }
        if (this->isCold) {
            this->arrivals.push_back(this->timers.now());
        }
        exchange->respond(TestSupport::successResponse(request, "signature", std::string(16, 'r')));
    }

    std::vector<Core::Instant> arrivals;
    std::deque<std::shared_ptr<Wire::ClientConnection>> connections;
};

}

// A gateway that was cut off from the coordinators took what it had heard last for true, and sent without limit to a server that had turned cold since.
Test(WarmthChecks, limitAServerThatTurnsColdWhileTheGatewayIsCutOff)
{
    WarmthFixture fixture;
    fixture.startGateway();
    fixture.sendFor(Core::milliseconds(200));
    cr_assert_eq(fixture.checks, 0, "the coordinator tells whether the server is cold");
    fixture.coordinator.isSilent = true;
    fixture.sendFor(Core::seconds(1));
    cr_assert_geq(fixture.served, 50, "a warm server should serve all requests, but served %d", fixture.served);
    fixture.isCold = true;
    fixture.sendFor(Core::seconds(2));
    cr_assert_leq(fixture.mostInASecond(), Allowed, "%d requests in a second", fixture.mostInASecond());
}

// A server that a restarted coordinator only knew from its disk counted as warm until its next heartbeat.
Test(WarmthChecks, limitAServerThatTheCoordinatorsHaveOnlyRestored)
{
    WarmthFixture fixture;
    fixture.coordinator.isRegistryConfirmed = false;
    fixture.isCold = true;
    fixture.startGateway();
    fixture.sendFor(Core::milliseconds(1500));
    cr_assert_leq(fixture.mostInASecond(), Allowed, "%d requests in a second", fixture.mostInASecond());
    cr_assert_gt(fixture.served, 0);
    // Once all is known again, the server is not asked any more.
    fixture.isCold = false;
    fixture.coordinator.isRegistryConfirmed = true;
    fixture.settle(Core::seconds(1));
    const auto checksBefore = fixture.checks;
    fixture.sendFor(Core::milliseconds(200));
    cr_assert_eq(fixture.checks, checksBefore);
}

// What can't be known counts as cold: the server gets its share, and is not asked without end.
Test(WarmthChecks, treatAServerAsColdThatDoesNotTell)
{
    WarmthFixture fixture;
    fixture.coordinator.isRegistryConfirmed = false;
    fixture.tellsWarmup = false;
    fixture.isCold = true;
    fixture.startGateway();
    fixture.sendFor(Core::milliseconds(1500));
    cr_assert_leq(fixture.mostInASecond(), Allowed, "%d requests in a second", fixture.mostInASecond());
    cr_assert_gt(fixture.served, 0);
    cr_assert_leq(fixture.checks, 3);
}
