/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Kept connections while they are closed: each closing tells those who wait for
// room, and one of them may take a connection that is looked at just then.

#include <Support/DuplicatingBackend.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>

using namespace TestSupport;

namespace
{

const Core::ServiceName service("service");

/** A pool over one server that answers each request when two have come, and what its attempts came to. */
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
    // How long the server says that it keeps the first connection; 0 when it does not say.
    long idleSecondsOfFirst;
    std::vector<Gateway::BackendName> none;
    Fleet::AllowedRegions anywhere;
    int replies{0};
};

/** Takes one connection only and resets the others at once, as one at max_conns does. */
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
            const bool full = (this->takesNoOther && !this->inner->connections.empty())
                || std::any_of(this->inner->connections.begin(), this->inner->connections.end(), [](const auto &held) {
                       return held->socket.isOpen();
                   });
            if (full) {
                ++this->connectionRejected;
                // After the other side has seen that it was accepted.
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
    // Others take each place that is given up.
    bool takesNoOther{false};
    std::vector<Wire::Socket> surplus;
    Core::TimerSubscription reset;
};

/** Sends one request after the other, and what became of them. */
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

    /** False when there is no room. */
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

Test(Connections, oneThatIsPickedIsNotTakenByThoseWhoWaitForRoom)
{
    ConnectionsFixture fixture(GatewayFixture::poolOptions(0.0), 1);
    fixture.send("a");
    fixture.send("b");
    cr_assert(fixture.hasReplies(2));
    (void)fixture.pool.waitForCapacity(service, {}, [&fixture] {
        fixture.send("waits");
    });
    // The first connection expires while the loop does not run, so that the next send closes it.
    g_usleep(1'000'000);
    fixture.send("c");
    cr_assert(fixture.hasReplies(4));
}

Test(Connections, oneThatRestedTooLongIsNotClosedUnderARequestThatTookIt)
{
    auto options = GatewayFixture::poolOptions(0.0);
    options.idleLimit = Core::Duration(0);
    ConnectionsFixture fixture(options);
    fixture.send("a");
    fixture.send("b");
    cr_assert(fixture.hasReplies(2));
    (void)fixture.pool.waitForCapacity(service, {}, [&fixture] {
        fixture.send("waits");
    });
    cr_assert(fixture.hasReplies(3));
}

// A server that is full refuses requests and resets new connections. What it refused is asked again over another connection.
Test(Connections, whatWasNotRunStaysNotRunWhereTheServerResetsTheConnectionForAskingAgain)
{
    for (const bool idempotent : {true, false}) {
        GatewayFixture fixture;
        fixture.route().targets = {{service, 1.0}};
        fixture.route().maximumAttempts = 3;
        fixture.route().idempotent = idempotent;
        auto options = GatewayFixture::poolOptions(100.0);
        // Long after the last reset, when other new connections are not tried out.
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
        cr_assert_eq(answer.status, 503, "idempotent %d: status %d, turned away %d", idempotent, answer.status, server->connectionRejected);
        cr_assert_eq(server->inner->runs.size(), 1);
        fixture.request.reset();
    }
}

Test(Connections, aKeptOneStaysUntilTheOneThatIsOpenedBesideItIsUp)
{
    auto options = GatewayFixture::poolOptions(0.0);
    options.undeclaredCap = 1;
    SendingFixture fixture(options);
    fixture.server->takesNoOther = true;
    fixture.server->inner->onRun = [](const DuplicatingRun &run) {
        run.connection->write(run.number == 1 ? errorResponse(run.request, 503, true) : successResponse(run.request, "signature", "body"));
    };
    cr_assert(fixture.send("x"));
    cr_assert(fixture.hasEnds(1));
    cr_assert(fixture.send("x"));
    cr_assert(fixture.hasEnds(2));
    cr_assert(fixture.send("y"), "no room: %zu connections", fixture.pool.connectionCount());
    cr_assert(fixture.hasEnds(3));
    cr_assert_eq(fixture.ends.back(), Gateway::AttemptEnd::Replied);
}

// One that has sent its request over the idle connection can't use it, and the server takes no other one just now.
Test(Connections, roomThatTheFirstInTheRowCannotUseIsOfferedToTheNext)
{
    auto options = GatewayFixture::poolOptions(0.0);
    options.undeclaredCap = 2;
    options.connectionRejected = {.firstPause = Core::seconds(60), .longestPause = Core::seconds(60)};
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
    cr_assert_eq(fixture.ends.back(), Gateway::AttemptEnd::NotSent, "turned away");
    cr_assert(fixture.send("busy"));
    cr_assert(fixture.runUntil([&held] {
        return held.has_value();
    }));
    bool nextWasSent = false;
    (void)fixture.pool.waitForCapacity(service, {}, [&] {
        nextWasSent = fixture.send("next");
    });
    std::function<void()> first = [&] {
        if (!fixture.send("x")) {
            (void)fixture.pool.waitForCapacity(service, {}, first);
        }
    };
    (void)fixture.pool.waitForCapacity(service, {}, first);
    held->connection->write(successResponse(held->request, "signature", "body"));
    cr_assert(fixture.runUntil([&nextWasSent] {
        return nextWasSent;
    }));
}

// The load pattern: a gateway of a large fleet, which knows thousands of backend servers and uses a few. What it costs at rest must not grow with them.
Test(Sweeps, lookOnlyAtBackendServersWithConnections)
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
    cr_assert(swept > 0 && swept < Others / 100, "one row in each sweep, not %lu rows", static_cast<unsigned long>(swept));
}
