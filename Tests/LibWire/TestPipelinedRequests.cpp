/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests many pipelined requests on one connection, each answered from within its
// handler. Guards against nested handlers, which would exhaust the stack: each takes
// two kilobytes at a gateway, which reads thousands of requests ahead.

#include <LibWire/Server.h>
#include <Support/LoopFixture.h>

#include <algorithm>
#include <criterion/criterion.h>

Test(PipelinedRequests, areHandledWithoutNesting)
{
    static constexpr int Requests = 100;
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    int handled = 0;
    int depth = 0;
    int maximumDepth = 0;
    const auto server = Wire::Server::create({.name = "test",
                                                 .endpoint = endpoint,
                                                 .handler =
                                                     [&](const Wire::Request &, const Wire::ExchangePointer &exchange) {
                                                         ++handled;
                                                         maximumDepth = std::max(maximumDepth, ++depth);
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
    cr_assert_eq(maximumDepth, 1, "%d handlers ran nested", maximumDepth);
}
