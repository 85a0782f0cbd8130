/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Many requests that come together on one connection, each answered from within
// its handler. Handled one within the other they use up the stack: two kilobytes
// each at a gateway, which reads thousands of them ahead.

#include <LibWire/Server.h>
#include <Support/LoopFixture.h>

#include <algorithm>
#include <criterion/criterion.h>

Test(PipelinedRequests, areHandledOneAfterTheOther)
{
    static constexpr int Requests = 100;
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    int handled = 0;
    int depth = 0;
    int deepest = 0;
    const auto server = Wire::Server::create({.name = "test",
                                                 .endpoint = endpoint,
                                                 .handler =
                                                     [&](const Wire::Request &, const Wire::ExchangePointer &exchange) {
                                                         ++handled;
                                                         deepest = std::max(deepest, ++depth);
                                                         exchange->respond(Wire::Response{.status = 200, .headers = {}, .body = {}});
                                                         --depth;
                                                     },
                                                 .limits = {}},
        *fixture.poll,
        fixture.timers)
                            .value();
    const auto caller = Wire::Socket::connectTo(endpoint, Core::seconds(5)).value();
    cr_assert(fixture.runUntil([&server] {
        return server->connectionCount() == 1;
    }));
    std::string bytes;
    for (int number = 0; number < Requests; ++number) {
        bytes += "GET / HTTP/1.1\r\n\r\n";
    }
    std::size_t written = 0;
    cr_assert(caller.write(bytes, written) == Wire::Transfer::Open && written == bytes.size());
    cr_assert(fixture.runUntil([&handled] {
        return handled == Requests;
    }));
    cr_assert_eq(deepest, 1, "%d handlers were under way within one another", deepest);
}
