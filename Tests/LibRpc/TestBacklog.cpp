/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against lost connections when all gateways start at the same time and
// connect to one busy coordinator. The system silently drops a connection that does
// not fit into the queue, and the gateway's system tries again only seconds later.

#include <LibRpc/RpcServer.h>
#include <LibWire/Socket.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>
#include <poll.h>

namespace
{

// More than the library's default queue length of 10, fewer than any system's limit.
constexpr int Gateways = 100;
// Connections on loopback are established at once, or wait at least one second for a place in the queue.
constexpr int ConnectTimeoutMilliseconds = 500;

bool isConnected(const Wire::Socket &socket)
{
    pollfd descriptor{.fd = socket.number(), .events = POLLOUT, .revents = 0};
    return poll(&descriptor, 1, ConnectTimeoutMilliseconds) == 1 && (descriptor.revents & POLLOUT) != 0;
}

}

Test(RpcServer, queuesConnectionsOfAllGatewaysUntilTheyAreAccepted)
{
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    const auto server = Rpc::RpcServer::create({.name = "busy", .endpoint = endpoint, .processor = nullptr, .limits = {}}, fixture.timers);
    cr_assert(server.has_value());
    std::vector<Wire::Socket> gateways;
    for (int number = 0; number < Gateways; ++number) {
        gateways.push_back(Wire::Socket::connectTo(endpoint, Core::seconds(5)).value());
        cr_assert(isConnected(gateways.back()), "gateway %d got no place in the queue", number);
    }
}
