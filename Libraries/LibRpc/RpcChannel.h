/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The calling side of Thrift over framed TCP: connects when needed, answers
// every call exactly once, with an error when the answer did not come in time.

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

/** Whom to call and how long to wait. */
struct ChannelOptions {
    Core::Endpoint endpoint;
    Core::Duration callTimeout{Core::seconds(2)};
    /** A connection that is not up after this long is tried anew; the first packet to a machine that is just starting is lost, and is sent again only after a
     * second. */
    Core::Duration connectTimeout{Core::milliseconds(300)};
    FrameLimits limits;
};

/**
 * One connection to one server. Answers come in the order of the calls, so
 * when one call times out all calls that wait on the connection fail with it.
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

    /** Calls that wait for an answer. */
    [[nodiscard]] std::size_t waitingCalls() const;

    /** Bytes that this channel has sent and received since it was made. */
    [[nodiscard]] std::uint64_t bytesMoved() const;

    /** Why the last calls that failed did; empty before any has. Thrift's own error only says that no answer was there. */
    [[nodiscard]] const std::string &lastFailure() const;

    /** Whom this channel calls. */
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
    // Frames that wait for the connection to open.
    std::vector<std::string> unsent;
    // Invariant: in the order in which the requests were, or will be, written.
    std::deque<WaitingCall> waiting;
    Core::TimerSubscription timeout;
    Core::TimerSubscription connectTimer;
    std::uint64_t closedBytes{0};
    std::string failureReason;
};

/**
 * Makes one typed call. `start` calls the client's method with the callback it
 * is given, `finish` is the client's recv_ method, `done` gets the outcome.
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
