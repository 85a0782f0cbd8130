/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/Socket.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Wire
{

static constexpr std::size_t ReadChunkBytes = 16 * 1024;

Socket::Socket(int descriptor) : descriptor(descriptor)
{
}

Socket::~Socket()
{
    if (this->descriptor >= 0) {
        close(this->descriptor);
    }
}

Socket::Socket(Socket &&other) noexcept : descriptor(std::exchange(other.descriptor, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(this->descriptor, other.descriptor);
    return *this;
}

static Core::Result<sockaddr_in> toAddress(const Core::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1) {
        return Core::failure(Core::ErrorKind::InvalidInput, endpoint.address + " is not an IPv4 address");
    }
    return address;
}

static tl::unexpected<Core::Error> systemFailure(const char *call)
{
    return Core::failure(Core::ErrorKind::Unreachable, std::string(call) + ": " + std::strerror(errno));
}

static void setOption(int descriptor, int level, int option, int value)
{
    // A failure is ignored: without the option the connection is slower to send or to detect a failure, but still correct.
    setsockopt(descriptor, level, option, &value, sizeof(value));
}

Core::Result<Socket> Socket::connectTo(const Core::Endpoint &endpoint, Core::Duration acknowledgementTimeout)
{
    const auto address = toAddress(endpoint);
    if (!address.has_value()) {
        return tl::make_unexpected(address.error());
    }
    Socket created(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!created.isOpen()) {
        return systemFailure("socket");
    }
    setOption(created.descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(created.descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(Core::toMilliseconds(acknowledgementTimeout)));
    const auto *generic = reinterpret_cast<const sockaddr *>(&address.value());
    if (connect(created.descriptor, generic, sizeof(sockaddr_in)) != 0 && errno != EINPROGRESS) {
        return systemFailure("connect");
    }
    return created;
}

Core::Result<Socket> Socket::listenOn(const Core::Endpoint &endpoint, int backlog)
{
    const auto address = toAddress(endpoint);
    if (!address.has_value()) {
        return tl::make_unexpected(address.error());
    }
    Socket created(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!created.isOpen()) {
        return systemFailure("socket");
    }
    setOption(created.descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address.value());
    if (bind(created.descriptor, generic, sizeof(sockaddr_in)) != 0) {
        return systemFailure("bind");
    }
    if (listen(created.descriptor, backlog) != 0) {
        return systemFailure("listen");
    }
    return created;
}

Socket Socket::acceptOne() const
{
    Socket accepted(accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted.isOpen()) {
        setOption(accepted.descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    }
    return accepted;
}

int Socket::number() const
{
    return this->descriptor;
}

bool Socket::isOpen() const
{
    return this->descriptor >= 0;
}

// The state of the connection after a failed call.
static Transfer transferAfterError(int error)
{
    if (error == EAGAIN || error == EWOULDBLOCK) {
        return Transfer::Open;
    }
    return error == ETIMEDOUT ? Transfer::Unacknowledged : Transfer::Broken;
}

Transfer Socket::read(std::string &bytes, std::size_t limit) const
{
    std::array<char, ReadChunkBytes> chunk{};
    std::size_t received = 0;
    while (received < limit) {
        const ssize_t count = recv(this->descriptor, chunk.data(), chunk.size(), 0);
        if (count > 0) {
            bytes.append(chunk.data(), static_cast<std::size_t>(count));
            received += static_cast<std::size_t>(count);
            if (static_cast<std::size_t>(count) < chunk.size()) {
                return Transfer::Open;
            }
        } else if (count == 0) {
            return Transfer::Ended;
        } else if (errno != EINTR) {
            return transferAfterError(errno);
        }
    }
    return Transfer::Open;
}

Transfer Socket::write(std::string_view bytes, std::size_t &offset) const
{
    while (offset < bytes.size()) {
        const ssize_t count = send(this->descriptor, bytes.data() + offset, bytes.size() - offset, MSG_NOSIGNAL);
        if (count >= 0) {
            offset += static_cast<std::size_t>(count);
        } else if (errno != EINTR) {
            return transferAfterError(errno);
        }
    }
    return Transfer::Open;
}

void Socket::acknowledge() const
{
    // The system returns to its own mode with the next bytes that are sent, so this is called for each request.
    setOption(this->descriptor, IPPROTO_TCP, TCP_QUICKACK, 1);
}

bool Socket::hasEnded() const
{
    char next = 0;
    const ssize_t count = recv(this->descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    const bool isOpen = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
    return !isOpen;
}

int Socket::connectError() const
{
    int error = 0;
    socklen_t length = sizeof(error);
    if (getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0) {
        return errno;
    }
    return error;
}

bool Socket::awaitsAcknowledgement() const
{
    int queued = 0;
    int unsent = 0;
    if (ioctl(this->descriptor, SIOCOUTQ, &queued) != 0 || ioctl(this->descriptor, SIOCOUTQNSD, &unsent) != 0) {
        return false;
    }
    return queued > unsent;
}

void Socket::finishWriting() const
{
    shutdown(this->descriptor, SHUT_WR);
}

void Socket::resetOnClose() const
{
    const linger immediate{.l_onoff = 1, .l_linger = 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
}

}
