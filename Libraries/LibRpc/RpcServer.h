/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Serves a Thrift service over framed TCP on the GLib loop. Calls of one
// connection run side by side, so that many of them can share one commit; their
// answers leave in the order of the calls, as Thrift's clients expect.

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

/** How a server listens and what it tolerates. */
struct ServerOptions {
    /** Shown in log lines. */
    std::string name;
    Core::Endpoint endpoint;
    std::shared_ptr<apache::thrift::async::TAsyncProcessor> processor;
    FrameLimits limits;
    /**
     * Connections that the system holds until they are accepted. With the library's 10, hundreds of gateways that start together win one place
     * in ten, and a first packet that is dropped is tried again only after seconds. The system cuts it to its own limit (4,096 on Linux).
     */
    int backlog{4096};
    /** Further connections are closed at once. */
    std::size_t maximumConnections{4096};
    /** Calls that one connection may have waiting before it is closed. */
    std::size_t maximumWaitingCalls{1024};
    /** A frame has to arrive whole within about this long. */
    Core::Duration partialFrameLimit{Core::seconds(10)};
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
    /** Whether no call waits and every answer has been written to the last byte. */
    [[nodiscard]] bool isIdle() const;

private:
    // One call that has not been answered to the client yet.
    struct Call {
        std::uint64_t number{0};
        bool ended{false};
        std::string reply;
    };
    struct Connection {
        std::shared_ptr<FrameStream> stream;
        // Invariant: in the order of arrival; the first one has not ended, or is being sent.
        std::deque<Call> calls;
        // Bytes seen at the last sweep while a frame was unfinished.
        std::uint64_t stalledAt{0};
    };

    RpcServer(ServerOptions options, Core::TimerService &timers);
    static gboolean incoming(GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data);
    void accept(GSocketConnection *connection);
    void takeFrame(std::uint64_t id, std::string frame);
    void callEnded(std::uint64_t id, std::uint64_t number, bool healthy, std::string reply);
    void sendEnded(std::uint64_t id);
    void closeStalled();

    ServerOptions options;
    Core::ObjectPointer<GSocketService> service;
    std::unordered_map<std::uint64_t, Connection> connections;
    std::uint64_t nextConnection{1};
    std::uint64_t nextCall{1};
    Core::TimerSubscription sweep;
    // Answers that come after the server is gone find this expired.
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
