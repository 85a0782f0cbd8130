/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests HttpClient against a server whose responses and connections the test controls.

#include <LibHttp/HttpClient.h>
#include <Support/DuplicatingBackend.h>

#include <criterion/criterion.h>

using namespace TestSupport;

namespace
{

/** A client, a server that answers each request with its target, and the results in the order of their arrival. */
class ClientFixture : public LoopFixture
{
public:
    ClientFixture()
    {
        this->server->listen();
        this->server->onRun = answer;
    }

    static void answer(const DuplicatingRun &run)
    {
        run.connection->write(Wire::Response{.status = 200, .headers = {{"Content-Type", "text/plain"}}, .body = run.request.target});
    }

    Http::ExchangeId send(const std::string &target, const std::string &method = "GET")
    {
        return this->client.send({.method = method, .endpoint = this->server->endpoint, .target = target, .connectionsPerHost = 2}, [this](const auto &result) {
            this->results.push_back(result);
        });
    }

    [[nodiscard]] bool hasResults(std::size_t count)
    {
        return this->runUntil([this, count] {
            return this->results.size() >= count;
        });
    }

    std::shared_ptr<DuplicatingBackend> server{std::make_shared<DuplicatingBackend>(*this)};
    std::vector<Http::ClientResult> results;
    Http::HttpClient client{this->timers};
};

}

Test(HttpClient, keepsNoMoreConnectionsThanItMay)
{
    ClientFixture fixture;
    for (int number = 0; number < 6; ++number) {
        fixture.send("/" + std::to_string(number));
    }
    cr_assert(fixture.hasResults(6));
    cr_assert_eq(fixture.server->connections.size(), 2U);
    cr_assert_eq(fixture.client.inFlight(), 0U);
    for (const auto &result : fixture.results) {
        cr_assert(result.status == 200 && result.contentType == "text/plain" && result.body.size() == 2);
    }
}

// The server may close a kept connection while a request is under way. Whether the request ran is unknown then. An invalid response is no such end.
Test(HttpClient, resendsOnlyReadsWhenAKeptConnectionEnds)
{
    struct Case {
        const char *method;
        const char *response;
        std::size_t runs;
        int status;
    };
    for (const auto &item : {Case{"GET", "", 3, 200}, Case{"POST", "", 2, 0}, Case{"GET", "HTTP/1.1 000 OK\r\n\r\n", 2, 0}}) {
        ClientFixture fixture;
        fixture.send("/first");
        cr_assert(fixture.hasResults(1));
        fixture.server->onRun = [&item](const DuplicatingRun &run) {
            if (run.number > 2) {
                ClientFixture::answer(run);
                return;
            }
            run.connection->writeBytes(item.response);
            run.connection->close();
        };
        fixture.send("/second", item.method);
        cr_assert(fixture.hasResults(2));
        cr_assert_eq(fixture.server->runs.size(), item.runs, "%s %s", item.method, item.response);
        cr_assert_eq(fixture.results[1].status, item.status, "%s %s", item.method, item.response);
        cr_assert(fixture.results[1].mayHaveBeenSent && fixture.results[1].error.empty() == (item.status != 0));
    }
}

// Guards against requests that wait for the next sweep, since connections which must not be used any more count towards the limit.
Test(HttpClient, expiredConnectionsHoldUpNoRequests)
{
    static constexpr std::size_t Requests = 12;
    ClientFixture fixture;
    fixture.server->onRun = [](const DuplicatingRun &run) {
        run.connection->writeBytes("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
    };
    std::size_t sent = 0;
    cr_assert(fixture.runUntil([&fixture, &sent] {
        if (sent == fixture.results.size() && sent < Requests) {
            fixture.send("/" + std::to_string(++sent));
        }
        return fixture.results.size() == Requests;
    }),
        "%zu of %zu requests answered",
        fixture.results.size(),
        Requests);
}

Test(HttpClient, givesUpBodiesWithoutEnd)
{
    ClientFixture fixture;
    const std::string block(256 * 1024, 'x');
    fixture.server->onRun = [](const DuplicatingRun &run) {
        run.connection->writeBytes("HTTP/1.1 200 OK\r\n\r\n");
    };
    fixture.send("/endless");
    std::size_t blocks = 0;
    cr_assert(fixture.runUntil([&] {
        if (!fixture.server->runs.empty() && fixture.server->connections[0]->socket.isOpen()) {
            fixture.server->connections[0]->writeBytes(block);
            ++blocks;
        }
        g_main_context_iteration(fixture.context, FALSE);
        return !fixture.results.empty();
    }));
    cr_assert_eq(fixture.results[0].status, 0, "after %zu blocks", blocks);
}

Test(HttpClient, cancelledRequestClosesItsConnectionAndMakesRoom)
{
    ClientFixture fixture;
    fixture.server->onRun = [](const DuplicatingRun &) {
    };
    const auto first = fixture.send("/1");
    fixture.send("/2");
    fixture.send("/3");
    cr_assert(fixture.runUntil([&fixture] {
        return fixture.server->runs.size() == 2;
    }));
    fixture.server->onRun = ClientFixture::answer;
    fixture.client.cancel(first);
    cr_assert(fixture.hasResults(1));
    cr_assert_str_eq(fixture.results[0].body.c_str(), "/3");
    cr_assert_not(fixture.server->connections[0]->socket.isOpen());
}

Test(HttpClient, refusedConnectionProvesThatNothingWasSent)
{
    ClientFixture fixture;
    fixture.client.send({.endpoint = freeEndpoint(), .target = "/"}, [&fixture](const auto &result) {
        fixture.results.push_back(result);
    });
    fixture.send("/ not a target");
    cr_assert(fixture.hasResults(2));
    for (const auto &result : fixture.results) {
        cr_assert(result.status == 0 && !result.mayHaveBeenSent && !result.error.empty());
    }
}
