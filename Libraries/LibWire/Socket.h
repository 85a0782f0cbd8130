/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Non-blocking TCP sockets that close their descriptors when destroyed.

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Settings.h>
#include <LibCore/Time.h>

#include <string>
#include <string_view>

namespace Wire
{

/** The state of a connection after a read or write. */
enum class Transfer {
    /** Some bytes were transferred, or none can be transferred now. */
    Open,
    /** The other side has ended its stream. */
    Ended,
    /** The connection was reset or failed otherwise. */
    Broken,
    /** Sent bytes stayed unacknowledged for the acknowledgement timeout: the other side's machine has most likely never received them. */
    Unacknowledged,
};

/** Owns the descriptor of a socket. */
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor);
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /**
     * Starts to connect. The connection fails when sent bytes stay unacknowledged for `acknowledgementTimeout`. Fails with InvalidInput when the
     * address is not an IPv4 address, and with Unreachable on an error of the system.
     */
    [[nodiscard]] static Core::Result<Socket> connectTo(const Core::Endpoint &endpoint, Core::Duration acknowledgementTimeout);

    /** Listens with a queue for `backlog` connections. Fails as connectTo() does. */
    [[nodiscard]] static Core::Result<Socket> listenOn(const Core::Endpoint &endpoint, int backlog);

    /** Accepts the next connection. Returns a socket that is not open when none waits. */
    [[nodiscard]] Socket acceptOne() const;

    /** The descriptor; -1 when the socket is not open. */
    [[nodiscard]] int number() const;
    [[nodiscard]] bool isOpen() const;

    /** Appends the bytes that have arrived, up to about `limit` bytes. */
    [[nodiscard]] Transfer read(std::string &bytes, std::size_t limit) const;

    /** Writes the bytes from `offset` on and advances `offset`. */
    [[nodiscard]] Transfer write(std::string_view bytes, std::size_t &offset) const;

    /** The outcome of connectTo(): 0, or an errno value. */
    [[nodiscard]] int connectError() const;
    /** Returns whether sent bytes are not acknowledged yet; false when the system does not report it. */
    [[nodiscard]] bool awaitsAcknowledgement() const;

    /** Acknowledges the bytes that have arrived. Without this the system may hold the acknowledgement back, for 40 ms and longer, to send it with the response.
     */
    void acknowledge() const;

    /** Returns whether the other side has ended its stream or reset the connection, and no received bytes are left to read. */
    [[nodiscard]] bool hasEnded() const;

    /** Ends the stream in this direction, so that the other side sees that no more bytes follow. */
    void finishWriting() const;

    /** Makes a later close reset the connection, so that unsent bytes are discarded and the other side stops at once. */
    void resetOnClose() const;

private:
    int descriptor{-1};
};

}
