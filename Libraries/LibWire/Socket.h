/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Non-blocking TCP sockets that close themselves.

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Settings.h>
#include <LibCore/Time.h>

#include <string>
#include <string_view>

namespace Wire
{

/** How a read or write ended. */
enum class Transfer {
    /** Some bytes moved, or none can move now. */
    Open,
    /** The other side sent its end of the stream. */
    Ended,
    /** The connection was reset. */
    Broken,
    /** Bytes that were sent stayed unacknowledged for the silence limit: the other side's machine has most likely never had them. */
    Unacknowledged,
};

/** Owns a descriptor. */
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

    /** Starts to connect. `acknowledgementTimeout` is how long sent bytes may stay unacknowledged before the connection counts as broken. */
    [[nodiscard]] static Core::Result<Socket> connectTo(const Core::Endpoint &endpoint, Core::Duration acknowledgementTimeout);

    /** Listens with a queue for `backlog` connections. */
    [[nodiscard]] static Core::Result<Socket> listenOn(const Core::Endpoint &endpoint, int backlog);

    /** The next connection, or a socket that is not open when none waits. */
    [[nodiscard]] Socket acceptOne() const;

    [[nodiscard]] int number() const;
    [[nodiscard]] bool isOpen() const;

    /** Appends what has arrived, up to about `limit` bytes. */
    [[nodiscard]] Transfer read(std::string &bytes, std::size_t limit) const;

    /** Writes from `offset` on and moves it forward. */
    [[nodiscard]] Transfer write(std::string_view bytes, std::size_t &offset) const;

    /** What became of connectTo(): 0, or an errno value. */
    [[nodiscard]] int connectError() const;
    /** Whether bytes that were sent are not acknowledged yet; false where the system does not tell. */
    [[nodiscard]] bool awaitsAcknowledgement() const;

    /** Tells the other side that no more bytes follow. */
    void finishWriting() const;

    /** Makes the close that follows a reset, so that the other side stops at once. */
    void resetOnClose() const;

private:
    int descriptor{-1};
};

}
