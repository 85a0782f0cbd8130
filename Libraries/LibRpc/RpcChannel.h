/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The client side of Thrift over framed TCP. Connects when needed and ends every
// call exactly once, with an error when the reply does not arrive in time.

#pragma once

#include <LibCore/ObjectPointer.h>
#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibRpc/FrameStream.h>
#include <LibRpc/Serialization.h>

#include <deque>
#include <gio/gio.h>
#include <thrift/async/TAsyncChannel.h>

namespace Rpc
{

/** Server and timeouts of a channel. */
struct ChannelOptions {
    Core::Endpoint endpoint;
    /** Time from a call until its reply must have been received. */
    Core::Duration callTimeout{Core::seconds(2)};
    /**
     * Time until a connection must be established. Otherwise all waiting calls fail, and the next call opens a new connection. The first packet to a machine
     * that is just starting is lost, and the system sends it again only after a second, so a new connection is faster.
     */
    Core::Duration connectTimeout{Core::milliseconds(300)};
    FrameLimits limits;
};

/**
 * One connection to one server. Replies arrive in the order of the calls, so
 * when one call times out, all calls that wait on the connection fail with it.
 */
class RpcChannel : public apache::thrift::async::TAsyncChannel, public std::enable_shared_from_this<RpcChannel>
{
public:
    [[nodiscard]] static std::shared_ptr<RpcChannel> create(ChannelOptions options, Core::TimerService &timers);
    ~RpcChannel() override;
    RpcChannel(const RpcChannel &) = delete;
    RpcChannel &operator=(const RpcChannel &) = delete;

    [[nodiscard]] bool good() const override;
    [[nodiscard]] bool error() const override;
    [[nodiscard]] bool timedOut() const override;
    void sendMessage(const VoidCallback &callback, apache::thrift::transport::TMemoryBuffer *message) override;
    void recvMessage(const VoidCallback &callback, apache::thrift::transport::TMemoryBuffer *message) override;
    void sendAndRecvMessage(
        const VoidCallback &callback, apache::thrift::transport::TMemoryBuffer *request, apache::thrift::transport::TMemoryBuffer *reply) override;

    /** Returns the number of calls that wait for a reply. */
    [[nodiscard]] std::size_t waitingCalls() const;

    /** Returns the number of bytes sent and received since the channel was created. */
    [[nodiscard]] std::uint64_t bytesMoved() const;

    /** Returns why calls failed most recently; empty before the first failure. Thrift's own error only says that there was no reply. */
    [[nodiscard]] const std::string &lastFailure() const;

    /** Returns the address of the server. */
    [[nodiscard]] const Core::Endpoint &endpoint() const;

private:
    struct WaitingCall {
        VoidCallback callback;
        apache::thrift::transport::TMemoryBuffer *reply{nullptr};
        Core::Instant deadline;
    };

    RpcChannel(ChannelOptions options, Core::TimerService &timers);
    void connect();
    static void connected(GObject *source, GAsyncResult *result, gpointer data);
    void useConnection(Core::ObjectPointer<GSocketConnection> connection);
    void handleReply(const std::string &frame);
    void armTimeout();
    void failAll(const std::string &reason);

    ChannelOptions options;
    Core::TimerService &timers;
    std::shared_ptr<FrameStream> stream;
    Core::ObjectPointer<GCancellable> connecting;
    // Frames to be sent once the connection is established.
    std::vector<std::string> unsent;
    // Invariant: calls are in the order in which their requests were, or will be, written.
    std::deque<WaitingCall> waiting;
    Core::TimerSubscription timeout;
    Core::TimerSubscription connectTimer;
    std::uint64_t closedBytes{0};
    std::string failureReason;
};

/**
 * Makes one typed call. `start` calls a method of the client and passes it the
 * callback, `finish` calls the client's recv_ method, and `done` receives the
 * reply or fails with Unreachable.
 */
template<typename Client, typename Reply>
void call(const std::shared_ptr<RpcChannel> &channel,
    const std::function<void(Client &client, std::function<void(Client *)> callback)> &start,
    std::function<void(Client &client, Reply &reply)> finish,
    std::function<void(Core::Result<Reply> reply)> done)
{
    const auto client = std::make_shared<Client>(channel, protocolFactory().get());
    const auto callback = [client, finish = std::move(finish), done = std::move(done)](Client *) {
        Reply reply{};
        try {
            finish(*client, reply);
        } catch (const std::exception &exception) {
            done(Core::failure(Core::ErrorKind::Unreachable, exception.what()));
            return;
        }
        done(std::move(reply));
    };
    start(*client, callback);
}

}
