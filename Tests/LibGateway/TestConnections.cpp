/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Closing of kept-alive connections: each closing notifies requests that wait for
// capacity, and one of them may use a connection that is just being examined.

#include <Support/DuplicatingBackend.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>

using namespace TestSupport;

namespace
{

const Core::ServiceName service("service");

/** A pool with one server that answers the first two requests together and each later one at once; counts the replies. */
class ConnectionsFixture : public LoopFixture
{
public:
    explicit ConnectionsFixture(Gateway::BackendPoolOptions options, long idleSecondsOfFirst = 0)
        : dialect(Platform::makeDialect())
        , pool(std::move(options), this->dialect, *this->poll, this->timers)
        , server(std::make_shared<DuplicatingBackend>(*this))
        , idleSecondsOfFirst(idleSecondsOfFirst)
    {
        this->pool.setGatewayCount(1, 1);
        this->server->listen();
        this->server->onRun = [this](const DuplicatingRun &run) {
            this->answer(run);
        };
        GatewayFixture::announce(this->pool, service.value(), "server", this->server->endpoint, "here");
    }

    void answer(const DuplicatingRun &run) const
    {
        static constexpr int Together = 2;
        if (run.number < Together) {
            return;
        }
        if (run.number > Together) {
            run.connection->write(successResponse(run.request, "signature", "body"));
            return;
        }
        for (const auto &waiting : this->server->runs) {
            const Wire::ResponseOptions parameters{.idleSeconds = waiting.number == 1 ? this->idleSecondsOfFirst : 0};
            waiting.connection->write(successResponse(waiting.request, "signature", "body"), parameters);
        }
    }

    void send(const std::string &id)
    {
        auto *backend = this->pool.choose({.service = service, .tried = this->none, .allowedRegions = this->anywhere});
        cr_assert_not_null(backend);
        const Gateway::CallerRequest request{
            .id = Core::RequestId(id), .message = {.method = "GET", .target = "/", .headers = {{"Request-Id", id}}, .body = {}}};
        this->pool.send(*backend, {.caller = &request, .timeLeft = Core::seconds(5), .done = [this](const Gateway::AttemptOutcome &outcome) {
                                       this->replies += outcome.end == Gateway::AttemptEnd::Replied ? 1 : 0;
                                   }});
    }

    [[nodiscard]] bool hasReplies(int count)
    {
        return this->runUntil([this, count] {
            return this->replies >= count;
        });
    }

    Gateway::Dialect dialect;
    Gateway::BackendPool pool;
    std::shared_ptr<DuplicatingBackend> server;
    // How long the server announces that it keeps the first connection; 0 when it announces nothing.
    long idleSecondsOfFirst;
    std::vector<Gateway::BackendName> none;
    Fleet::AllowedRegions anywhere;
    int replies{0};
};

/** Accepts only one connection and resets the others at once, as a server at max_conns does. */
class OneConnectionBackend : public Core::EventHandler, public std::enable_shared_from_this<OneConnectionBackend>
{
public:
    explicit OneConnectionBackend(LoopFixture &fixture) : inner(std::make_shared<DuplicatingBackend>(fixture))
    {
    }

    void listen()
    {
        this->inner->fixture.poll->add(this->inner->listener.number(), EPOLLIN, this->shared_from_this());
    }

    void handleEvents(std::uint32_t) override
    {
        for (auto accepted = this->inner->listener.acceptOne(); accepted.isOpen(); accepted = this->inner->listener.acceptOne()) {
            const bool full = (this->rejectsAllFurther && !this->inner->connections.empty())
                || std::any_of(this->inner->connections.begin(), this->inner->connections.end(), [](const auto &held) {
                       return held->socket.isOpen();
                   });
            if (full) {
                ++this->connectionRejected;
                // Resets the connection only after the gateway has seen it accepted.
                accepted.resetOnClose();
                this->surplus.push_back(std::move(accepted));
                this->reset = this->inner->fixture.timers.once(Core::Duration(0), [this](Core::Instant) {
                    this->surplus.clear();
                });
                continue;
            }
            const int descriptor = accepted.number();
            this->inner->connections.push_back(std::make_shared<DuplicatingConnection>(*this->inner, std::move(accepted)));
            this->inner->fixture.poll->add(descriptor, EPOLLIN | EPOLLRDHUP, this->inner->connections.back());
        }
    }

    std::shared_ptr<DuplicatingBackend> inner;
    int connectionRejected{0};
    // Rejects new connections even after the first one has closed, as if others took each free place.
    bool rejectsAllFurther{false};
    std::vector<Wire::Socket> surplus;
    Core::TimerSubscription reset;
};

/** Sends requests one after the other and records how each attempt ended. */
class SendingFixture : public LoopFixture
{
public:
    explicit SendingFixture(Gateway::BackendPoolOptions options)
        : dialect(Platform::makeDialect())
        , pool(std::move(options), this->dialect, *this->poll, this->timers)
        , server(std::make_shared<OneConnectionBackend>(*this))
    {
        this->pool.setGatewayCount(1, 1);
        this->server->listen();
        GatewayFixture::announce(this->pool, service.value(), "server", this->server->inner->endpoint, "here");
    }

    /** Returns false when there is no free capacity. */
    bool send(const std::string &id)
    {
        const Gateway::CallerRequest request{
            .id = Core::RequestId(id), .message = {.method = "GET", .target = "/", .headers = {{"Request-Id", id}}, .body = {}}};
        auto *backend = this->pool.choose({.service = service, .tried = this->none, .allowedRegions = this->anywhere, .request = &request});
        if (backend == nullptr) {
            return false;
        }
        this->pool.send(*backend, {.caller = &request, .timeLeft = Core::seconds(5), .done = [this](const Gateway::AttemptOutcome &outcome) {
                                       this->ends.push_back(outcome.end);
                                   }});
        return true;
    }

    [[nodiscard]] bool hasEnds(std::size_t count)
    {
        return this->runUntil([this, count] {
            return this->ends.size() >= count;
        });
    }

    Gateway::Dialect dialect;
    Gateway::BackendPool pool;
    std::shared_ptr<OneConnectionBackend> server;
    std::vector<Gateway::BackendName> none;
    Fleet::AllowedRegions anywhere;
    std::vector<Gateway::AttemptEnd> ends;
};

}

Test(Connections, aPickedConnectionIsNotUsedByAWaitingRequest)
{
    ConnectionsFixture fixture(GatewayFixture::poolOptions(0.0), 1);
    fixture.send("a");
    fixture.send("b");
    cr_assert(fixture.hasReplies(2));
    (void)fixture.pool.waitForCapacity(service, {.offer = [&fixture] {
        fixture.send("waits");
        return true;
    }});
    // The first connection expires while the event loop does not run, so that the next send closes it.
    g_usleep(1'000'000);
    fixture.send("c");
    cr_assert(fixture.hasReplies(4));
}

Test(Connections, anIdleConnectionIsNotClosedOnceARequestUsesIt)
{
    auto options = GatewayFixture::poolOptions(0.0);
    options.idleTimeout = Core::Duration(0);
    ConnectionsFixture fixture(options);
    fixture.send("a");
    fixture.send("b");
    cr_assert(fixture.hasReplies(2));
    (void)fixture.pool.waitForCapacity(service, {.offer = [&fixture] {
        fixture.send("waits");
        return true;
    }});
    cr_assert(fixture.hasReplies(3));
}

// A server at its cap refuses requests and resets new connections. The retry of a refused request needs another connection.
Test(Connections, aRefusedRequestStaysNotRunWhenItsRetryIsRejected)
{
    for (const bool idempotent : {true, false}) {
        GatewayFixture fixture;
        fixture.route().targets = {{service, 1.0}};
        fixture.route().maximumAttempts = 3;
        fixture.route().idempotent = idempotent;
        auto options = GatewayFixture::poolOptions(100.0);
        // As long after the last reset, when new connections for other requests are not tried out.
        options.trial->period = Core::Duration(0);
        Gateway::BackendPool pool(options, fixture.dialect, *fixture.poll, fixture.timers);
        pool.setGatewayCount(1, 1);
        const auto server = std::make_shared<OneConnectionBackend>(fixture);
        server->listen();
        GatewayFixture::announce(pool, service.value(), "server", server->inner->endpoint, "here");
        server->inner->onRun = [](const DuplicatingRun &run) {
            run.connection->write(run.number == 1 ? errorResponse(run.request, 503, true) : successResponse(run.request, "signature", "body"));
        };
        fixture.usedPool = &pool;
        const auto answer = fixture.ask("x", idempotent ? "GET" : "POST");
        cr_assert_eq(answer.status, 503, "idempotent %d: status %d, rejected connections %d", idempotent, answer.status, server->connectionRejected);
        cr_assert_eq(server->inner->runs.size(), 1);
        fixture.request.reset();
    }
}

Test(Connections, anIdleConnectionIsKeptUntilTheAdditionalOneIsEstablished)
{
    auto options = GatewayFixture::poolOptions(0.0);
    options.undeclaredCap = 1;
    SendingFixture fixture(options);
    fixture.server->rejectsAllFurther = true;
    fixture.server->inner->onRun = [](const DuplicatingRun &run) {
        run.connection->write(run.number == 1 ? errorResponse(run.request, 503, true) : successResponse(run.request, "signature", "body"));
    };
    cr_assert(fixture.send("x"));
    cr_assert(fixture.hasEnds(1));
    cr_assert(fixture.send("x"));
    cr_assert(fixture.hasEnds(2));
    cr_assert(fixture.send("y"), "no free capacity: %zu connections", fixture.pool.connectionCount());
    cr_assert(fixture.hasEnds(3));
    cr_assert_eq(fixture.ends.back(), Gateway::AttemptEnd::Replied);
}

// The first waiter has sent its request over the idle connection before, so it cannot use that one, and the server accepts no other connection at the moment.
Test(Connections, capacityThatTheFirstWaiterCannotUseIsOfferedToTheNext)
{
    auto options = GatewayFixture::poolOptions(0.0);
    options.undeclaredCap = 2;
    options.connectionRejected = {.initialDelay = Core::seconds(60), .maximumDelay = Core::seconds(60)};
    SendingFixture fixture(options);
    std::optional<DuplicatingRun> held;
    fixture.server->inner->onRun = [&held](const DuplicatingRun &run) {
        if (run.number == 2) {
            held = run;
        } else {
            run.connection->write(successResponse(run.request, "signature", "body"));
        }
    };
    cr_assert(fixture.send("x"));
    cr_assert(fixture.hasEnds(1));
    cr_assert(fixture.send("x"));
    cr_assert(fixture.hasEnds(2));
    cr_assert_eq(fixture.ends.back(), Gateway::AttemptEnd::NotSent, "connection rejected");
    cr_assert(fixture.send("busy"));
    cr_assert(fixture.runUntil([&held] {
        return held.has_value();
    }));
    bool nextWasSent = false;
    (void)fixture.pool.waitForCapacity(service, {.offer = [&] {
        nextWasSent = fixture.send("next");
        return nextWasSent;
    }});
    (void)fixture.pool.waitForCapacity(service, {.offer = [&fixture] {
        return fixture.send("x");
    }});
    held->connection->write(successResponse(held->request, "signature", "body"));
    cr_assert(fixture.runUntil([&nextWasSent] {
        return nextWasSent;
    }));
}

// Scenario: a gateway of a large fleet, which knows thousands of backend servers and uses a few. The cost of an idle gateway must not grow with the number of
// servers.
Test(Sweeps, visitOnlyBackendServersWithConnections)
{
    TestSupport::GatewayFixture fixture;
    fixture.route().idempotent = true;
    fixture.route().targetLatency = Core::milliseconds(100);
    fixture.route().targets = {{.service = Core::ServiceName("s"), .weight = 1.0}};
    fixture.add("s", "used", [](const auto &request, const auto &exchange) {
        exchange->respond(TestSupport::successResponse(request, "signature", "body"));
    });
    static constexpr int Others = 20'000;
    for (int number = 0; number < Others; ++number) {
        TestSupport::GatewayFixture::announce(
            fixture.pool, "other-" + std::to_string(number % 200), "other-" + std::to_string(number), {.address = "127.0.0.1", .port = 9}, "there");
    }
    cr_assert_eq(fixture.ask("request").status, 200);
    const auto before = fixture.pool.counters().swept;
    fixture.settle(Core::milliseconds(500));
    const auto swept = fixture.pool.counters().swept - before;
    cr_assert(swept > 0 && swept < Others / 100, "expected one backend server in each sweep, visited %lu", static_cast<unsigned long>(swept));
}
