/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Serves a Thrift service over framed TCP on the GLib loop. Calls on one
// connection run concurrently, so that many of them can share one commit. Their
// replies are sent in the order of the calls, as Thrift's clients expect.

#pragma once

#include <LibCore/ObjectPointer.h>
#include <LibCore/Result.h>
#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibRpc/FrameStream.h>

#include <deque>
#include <gio/gio.h>
#include <memory>
#include <thrift/async/TAsyncProcessor.h>
#include <unordered_map>

namespace Rpc
{

/** Endpoint, service and limits of a server. */
struct ServerOptions {
    /** Shown in log lines. */
    std::string name;
    Core::Endpoint endpoint;
    std::shared_ptr<apache::thrift::async::TAsyncProcessor> processor;
    FrameLimits limits;
    /**
     * Number of connections that the system queues until they are accepted. With the library's default of 10, hundreds of gateways that start together
     * get one place in ten, and a dropped first packet is sent again only after seconds. The system reduces the number to its own limit (4,096 on
     * Linux).
     */
    int backlog{4096};
    /** Connections beyond this number are closed at once. */
    std::size_t maximumConnections{4096};
    /** A connection on which more calls than this wait for their replies is closed. */
    std::size_t maximumWaitingCalls{1024};
    /** A connection with a partially received frame is closed after this time without a received byte, at the latest after twice this time. */
    Core::Duration partialFrameTimeout{Core::seconds(10)};
};

/** Listens from create() until destroyed. */
class RpcServer
{
public:
    /** Fails with Unreachable when the address can't be listened on. */
    [[nodiscard]] static Core::Result<std::unique_ptr<RpcServer>> create(ServerOptions options, Core::TimerService &timers);
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    [[nodiscard]] std::size_t connectionCount() const;
    /** Number of connections with replies that have not been written to the last byte. */
    [[nodiscard]] std::size_t unwrittenConnections() const;
    /** Whether no call waits and every reply has been written to the last byte. */
    [[nodiscard]] bool isIdle() const;

private:
    // A call whose reply has not been sent yet.
    struct Call {
        std::uint64_t number{0};
        bool finished{false};
        std::string reply;
    };
    struct Connection {
        std::shared_ptr<FrameStream> stream;
        // Invariant: calls are in the order of arrival; the first one has not finished, or its reply is being sent.
        std::deque<Call> calls;
        // Bytes that the stream had received at the last check for stalled connections.
        std::uint64_t receivedAtLastCheck{0};
    };

    RpcServer(ServerOptions options, Core::TimerService &timers);
    static gboolean incoming(GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data);
    void accept(GSocketConnection *connection);
    void handleFrame(std::uint64_t id, std::string frame);
    void finishCall(std::uint64_t id, std::uint64_t number, bool healthy, std::string reply);
    void sendFinishedReplies(std::uint64_t id);
    void closeStalledConnections();

    ServerOptions options;
    Core::ObjectPointer<GSocketService> service;
    std::unordered_map<std::uint64_t, Connection> connections;
    std::uint64_t nextConnection{1};
    std::uint64_t nextCall{1};
    Core::TimerSubscription stallTimer;
    // Calls that finish after the server was destroyed detect it by weak references to this object.
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
