/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An address that refuses connections for as long as this object exists. Its port is
// bound and not listened on: a port that is merely free can be taken by another test
// program that runs in parallel, which would accept the connections.

#pragma once

#include <LibWire/Socket.h>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace TestSupport
{

/** A bound port of the loopback interface. */
class RefusingEndpoint
{
public:
    /** Binds `port`, on which nobody listens any more; 0 binds any free port. */
    explicit RefusingEndpoint(std::uint16_t port = 0) : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int enabled = 1;
        (void)setsockopt(this->socket.number(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        socklen_t length = sizeof(address);
        cr_assert_eq(bind(this->socket.number(), reinterpret_cast<sockaddr *>(&address), length), 0, "port %d can't be bound", port);
        (void)getsockname(this->socket.number(), reinterpret_cast<sockaddr *>(&address), &length);
        this->endpoint = Core::Endpoint{.address = "127.0.0.1", .port = ntohs(address.sin_port)};
    }

    Core::Endpoint endpoint;

private:
    Wire::Socket socket;
};

}
