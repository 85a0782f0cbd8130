/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The load pattern: all gateways start at the same moment and connect to the same
// coordinator while it is busy. A connection that finds no place in the queue is
// dropped in silence and tried again seconds later.

#include <LibRpc/RpcServer.h>
#include <LibWire/Socket.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>
#include <poll.h>

namespace
{

// More than the library's queue of 10, fewer than any system's limit.
constexpr int Gateways = 100;
// Connections on loopback are up at once, or wait for a place for a second at least.
constexpr int PatienceMilliseconds = 500;

bool isConnected(const Wire::Socket &socket)
{
    pollfd descriptor{.fd = socket.number(), .events = POLLOUT, .revents = 0};
    return poll(&descriptor, 1, PatienceMilliseconds) == 1 && (descriptor.revents & POLLOUT) != 0;
}

}

Test(RpcServer, holdsConnectionsOfAllGatewaysUntilItAcceptsThem)
{
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    const auto server = Rpc::RpcServer::create({.name = "busy", .endpoint = endpoint, .processor = nullptr, .limits = {}}, fixture.timers);
    cr_assert(server.has_value());
    std::vector<Wire::Socket> gateways;
    for (int number = 0; number < Gateways; ++number) {
        gateways.push_back(Wire::Socket::connectTo(endpoint, Core::seconds(5)).value());
        cr_assert(isConnected(gateways.back()), "gateway %d found no place", number);
    }
}
