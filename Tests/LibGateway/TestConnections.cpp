/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Kept connections while they are closed: each closing tells those who wait for
// room, and one of them may take a connection that is looked at just then.

#include <Support/GatewayFixture.h>
#include <Support/StutteringBackend.h>

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
        , server(std::make_shared<StutteringBackend>(*this))
        , idleSecondsOfFirst(idleSecondsOfFirst)
    {
        this->pool.setGatewayCount(1, 1);
        this->server->listen();
        this->server->onRun = [this](const StutteringRun &run) {
            this->answer(run);
        };
        GatewayFixture::announce(this->pool, service.value(), "server", this->server->endpoint, "here");
    }

    void answer(const StutteringRun &run) const
    {
        static constexpr int Together = 2;
        if (run.number < Together) {
            return;
        }
        if (run.number > Together) {
            run.connection->write(goodAnswer(run.request, "signature", "body"));
            return;
        }
        for (const auto &waiting : this->server->runs) {
            const Wire::ConnectionTerms terms{.idleSeconds = waiting.number == 1 ? this->idleSecondsOfFirst : 0};
            waiting.connection->write(goodAnswer(waiting.request, "signature", "body"), terms);
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
    std::shared_ptr<StutteringBackend> server;
    // How long the server says that it keeps the first connection; 0 when it does not say.
    long idleSecondsOfFirst;
    std::vector<Gateway::BackendName> none;
    Fleet::AllowedRegions anywhere;
    int replies{0};
};

}

Test(Connections, oneThatIsPickedIsNotTakenByThoseWhoWaitForRoom)
{
    ConnectionsFixture fixture(GatewayFixture::poolOptions(0.0), 1);
    fixture.send("a");
    fixture.send("b");
    cr_assert(fixture.hasReplies(2));
    (void)fixture.pool.waitForRoom(service, 0, [&fixture] {
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
    (void)fixture.pool.waitForRoom(service, 0, [&fixture] {
        fixture.send("waits");
    });
    cr_assert(fixture.hasReplies(3));
}
