/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRpc/RpcChannel.h>

#include <thrift/transport/TTransportException.h>

namespace Rpc
{

using apache::thrift::transport::TMemoryBuffer;
using apache::thrift::transport::TTransportException;

using WeakChannel = std::weak_ptr<RpcChannel>;

RpcChannel::RpcChannel(ChannelOptions options, Core::TimerService &timers) : options(std::move(options)), timers(timers)
{
}

std::shared_ptr<RpcChannel> RpcChannel::create(ChannelOptions options, Core::TimerService &timers)
{
    return std::shared_ptr<RpcChannel>(new RpcChannel(std::move(options), timers));
}

RpcChannel::~RpcChannel()
{
    if (this->connecting) {
        g_cancellable_cancel(this->connecting.get());
    }
    if (this->stream) {
        this->stream->close("the channel was destroyed");
    }
}

bool RpcChannel::good() const
{
    return this->stream != nullptr;
}

bool RpcChannel::error() const
{
    return this->stream == nullptr;
}

bool RpcChannel::timedOut() const
{
    return false;
}

std::size_t RpcChannel::waitingCalls() const
{
    return this->waiting.size();
}

std::uint64_t RpcChannel::bytesMoved() const
{
    const std::uint64_t open = this->stream ? this->stream->bytesSent() + this->stream->bytesReceived() : 0;
    return this->closedBytes + open;
}

const Core::Endpoint &RpcChannel::endpoint() const
{
    return this->options.endpoint;
}

const std::string &RpcChannel::lastFailure() const
{
    return this->failureReason;
}

void RpcChannel::sendMessage(const VoidCallback &, TMemoryBuffer *)
{
    // No procedure is one-way, so the generated clients never call this function.
    throw TTransportException(TTransportException::INTERNAL_ERROR, "one-way calls are not used");
}

void RpcChannel::recvMessage(const VoidCallback &, TMemoryBuffer *)
{
    throw TTransportException(TTransportException::INTERNAL_ERROR, "one-way calls are not used");
}

void RpcChannel::sendAndRecvMessage(const VoidCallback &callback, TMemoryBuffer *request, TMemoryBuffer *reply)
{
    this->waiting.push_back(WaitingCall{.callback = callback, .reply = reply, .deadline = this->timers.now() + this->options.callTimeout});
    std::string payload = request->getBufferAsString();
    request->resetBuffer();
    if (this->stream) {
        this->stream->send(payload);
    } else {
        this->unsent.push_back(std::move(payload));
        this->connect();
    }
    if (!this->timeout.isActive()) {
        this->armTimeout();
    }
}

void RpcChannel::connect()
{
    if (this->connecting) {
        return;
    }
    this->connecting.reset(g_cancellable_new());
    this->connectTimer = this->timers.once(this->options.connectTimeout, [this](Core::Instant) {
        this->failAll("no connection in time");
    });
    const Core::ObjectPointer<GSocketClient> client(g_socket_client_new());
    // Instances connect by IP number. Looking up a proxy would load the desktop's settings, which takes time and writes below the home folder.
    g_socket_client_set_enable_proxy(client.get(), FALSE);
    const Core::ObjectPointer<GSocketAddress> address(
        g_inet_socket_address_new_from_string(this->options.endpoint.address.c_str(), this->options.endpoint.port));
    g_socket_client_connect_async(
        client.get(), G_SOCKET_CONNECTABLE(address.get()), this->connecting.get(), connected, new WeakChannel(this->weak_from_this()));
}

void RpcChannel::connected(GObject *source, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<WeakChannel> channel(static_cast<WeakChannel *>(data));
    GError *rawError = nullptr;
    Core::ObjectPointer<GSocketConnection> connection(g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, &rawError));
    const Core::ErrorPointer error(rawError);
    const auto self = channel->lock();
    if (!self) {
        return;
    }
    if (error && g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_CANCELLED) != FALSE) {
        return;
    }
    self->connecting.reset();
    self->connectTimer.cancel();
    if (error) {
        self->failAll(error->message);
        return;
    }
    self->useConnection(std::move(connection));
}

void RpcChannel::useConnection(Core::ObjectPointer<GSocketConnection> connection)
{
    g_socket_set_option(g_socket_connection_get_socket(connection.get()), 6 /* IPPROTO_TCP */, 1 /* TCP_NODELAY */, 1, nullptr);
    this->stream = FrameStream::create(Core::ObjectPointer<GIOStream>(G_IO_STREAM(connection.release())), this->options.limits);
    const WeakChannel weak = this->weak_from_this();
    this->stream->start(
        [weak](const std::string &frame) {
            if (const auto self = weak.lock()) {
                self->handleReply(frame);
            }
        },
        [weak](const std::string &reason) {
            if (const auto self = weak.lock()) {
                self->failAll(reason);
            }
        });
    for (const auto &payload : std::exchange(this->unsent, {})) {
        if (this->stream) {
            this->stream->send(payload);
        }
    }
}

void RpcChannel::handleReply(const std::string &frame)
{
    if (this->waiting.empty()) {
        this->failAll("received a reply without a waiting call");
        return;
    }
    const WaitingCall finished = std::move(this->waiting.front());
    this->waiting.pop_front();
    finished.reply->resetBuffer();
    finished.reply->write(reinterpret_cast<const std::uint8_t *>(frame.data()), static_cast<std::uint32_t>(frame.size()));
    this->armTimeout();
    finished.callback();
}

void RpcChannel::armTimeout()
{
    if (this->waiting.empty()) {
        this->timeout.cancel();
        return;
    }
    const Core::Duration wait = std::max(Core::Duration(0), this->waiting.front().deadline - this->timers.now());
    this->timeout = this->timers.once(wait, [this](Core::Instant) {
        this->failAll("no answer in time");
    });
}

void RpcChannel::failAll(const std::string &reason)
{
    const auto keepAlive = this->shared_from_this();
    this->failureReason = reason;
    if (this->connecting) {
        g_cancellable_cancel(this->connecting.get());
        this->connecting.reset();
        this->connectTimer.cancel();
    }
    const auto closing = std::exchange(this->stream, nullptr);
    if (closing) {
        this->closedBytes += closing->bytesSent() + closing->bytesReceived();
        closing->close(reason);
    }
    this->unsent.clear();
    this->timeout.cancel();
    // An empty reply buffer makes the generated client throw an exception, which call() converts into an error value.
    for (const auto &failed : std::exchange(this->waiting, {})) {
        failed.reply->resetBuffer();
        failed.callback();
    }
}

}
