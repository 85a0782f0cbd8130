/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRpc/RpcServer.h>

#include <LibCore/Log.h>
#include <LibRpc/Serialization.h>

#include <algorithm>

namespace Rpc
{

using apache::thrift::transport::TMemoryBuffer;

RpcServer::RpcServer(ServerOptions options, Core::TimerService &timers)
    : options(std::move(options)), service(g_socket_service_new()), stallTimer(timers.every(this->options.partialFrameTimeout, [this](Core::Instant) {
        this->closeStalledConnections();
    }))
{
}

Core::Result<std::unique_ptr<RpcServer>> RpcServer::create(ServerOptions options, Core::TimerService &timers)
{
    std::unique_ptr<RpcServer> server(new RpcServer(std::move(options), timers));
    const auto &endpoint = server->options.endpoint;
    const Core::ObjectPointer<GSocketAddress> address(g_inet_socket_address_new_from_string(endpoint.address.c_str(), endpoint.port));
    GError *rawError = nullptr;
    auto *listener = G_SOCKET_LISTENER(server->service.get());
    g_socket_listener_set_backlog(listener, server->options.backlog);
    if (g_socket_listener_add_address(listener, address.get(), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &rawError) == FALSE) {
        const Core::ErrorPointer error(rawError);
        return Core::failure(Core::ErrorKind::Unreachable, "cannot listen on " + endpoint.toString() + ": " + error->message);
    }
    g_signal_connect(server->service.get(), "incoming", G_CALLBACK(incoming), server.get());
    g_socket_service_start(server->service.get());
    return server;
}

RpcServer::~RpcServer()
{
    g_signal_handlers_disconnect_by_data(this->service.get(), this);
    g_socket_service_stop(this->service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(this->service.get()));
    auto open = std::move(this->connections);
    this->connections.clear();
    for (auto &[id, connection] : open) {
        connection.stream->close("the server is stopping");
    }
}

std::size_t RpcServer::connectionCount() const
{
    return this->connections.size();
}

std::size_t RpcServer::unwrittenConnections() const
{
    return static_cast<std::size_t>(std::count_if(this->connections.begin(), this->connections.end(), [](const auto &item) {
        return item.second.stream->hasUnwritten();
    }));
}

bool RpcServer::isIdle() const
{
    return std::all_of(this->connections.begin(), this->connections.end(), [](const auto &item) {
        const auto &connection = item.second;
        return connection.calls.empty() && !connection.stream->hasUnwritten();
    });
}

gboolean RpcServer::incoming(GSocketService *, GSocketConnection *connection, GObject *, gpointer data)
{
    static_cast<RpcServer *>(data)->accept(connection);
    return TRUE;
}

void RpcServer::accept(GSocketConnection *socketConnection)
{
    if (this->connections.size() >= this->options.maximumConnections) {
        Core::logEvent(Core::LogLevel::Warning, "rpc.connection_refused", {{"server", this->options.name}, {"connections", this->connections.size()}});
        return;
    }
    g_tcp_connection_set_graceful_disconnect(G_TCP_CONNECTION(socketConnection), FALSE);
    g_socket_set_option(g_socket_connection_get_socket(socketConnection), 6 /* IPPROTO_TCP */, 1 /* TCP_NODELAY */, 1, nullptr);
    const std::uint64_t id = this->nextConnection++;
    auto stream = FrameStream::create(Core::shareObject(G_IO_STREAM(socketConnection)), this->options.limits);
    this->connections.emplace(id, Connection{.stream = stream, .calls = {}});
    const std::weak_ptr<int> stillAlive = this->alive;
    stream->start(
        [this, id, stillAlive](std::string frame) {
            if (!stillAlive.expired()) {
                this->handleFrame(id, std::move(frame));
            }
        },
        [this, id, stillAlive](const std::string &) {
            if (!stillAlive.expired()) {
                this->connections.erase(id);
            }
        });
}

void RpcServer::handleFrame(std::uint64_t id, std::string frame)
{
    auto &connection = this->connections.at(id);
    if (connection.calls.size() >= this->options.maximumWaitingCalls) {
        connection.stream->close("too many calls wait on one connection");
        return;
    }
    const std::uint64_t number = this->nextCall++;
    connection.calls.push_back(Call{.number = number});

    const auto request = std::make_shared<TMemoryBuffer>();
    request->write(reinterpret_cast<const std::uint8_t *>(frame.data()), static_cast<std::uint32_t>(frame.size()));
    const auto reply = std::make_shared<TMemoryBuffer>();
    const auto input = protocolFactory()->getProtocol(request);
    const auto output = protocolFactory()->getProtocol(reply);
    const std::weak_ptr<int> stillAlive = this->alive;
    // NOTE: The generated processor keeps raw pointers to both protocols until it calls this function, so the function owns them.
    const auto answer = [this, id, number, reply, stillAlive, input, output](bool healthy) {
        if (!stillAlive.expired()) {
            this->finishCall(id, number, healthy, reply->getBufferAsString());
        }
    };
    try {
        this->options.processor->process(answer, input, output);
    } catch (const std::exception &exception) {
        // The bytes are not a Thrift call. There is no request to reply to, so the connection is closed.
        Core::logEvent(Core::LogLevel::Warning, "rpc.malformed_call", {{"server", this->options.name}, {"error", exception.what()}});
        this->finishCall(id, number, false, {});
    }
}

void RpcServer::finishCall(std::uint64_t id, std::uint64_t number, bool healthy, std::string reply)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
        return;
    }
    // NOTE: Closing the stream erases the connection, so this reference keeps the stream alive.
    const auto stream = found->second.stream;
    for (auto &call : found->second.calls) {
        if (call.number == number) {
            call.finished = true;
            call.reply = std::move(reply);
            break;
        }
    }
    this->sendFinishedReplies(id);
    if (!healthy) {
        stream->close("malformed call");
    }
}

void RpcServer::sendFinishedReplies(std::uint64_t id)
{
    // NOTE: Sending may close the stream, which erases the connection, so it is looked up again each time.
    for (auto found = this->connections.find(id); found != this->connections.end(); found = this->connections.find(id)) {
        auto &connection = found->second;
        if (connection.calls.empty() || !connection.calls.front().finished) {
            return;
        }
        const Call finished = std::move(connection.calls.front());
        connection.calls.pop_front();
        if (!finished.reply.empty()) {
            const auto stream = connection.stream;
            stream->send(finished.reply);
        }
    }
}

void RpcServer::closeStalledConnections()
{
    std::vector<std::shared_ptr<FrameStream>> stalled;
    for (auto &[id, connection] : this->connections) {
        const std::uint64_t received = connection.stream->bytesReceived();
        if (connection.stream->hasPartialFrame() && connection.receivedAtLastCheck == received) {
            stalled.push_back(connection.stream);
        }
        connection.receivedAtLastCheck = received;
    }
    for (const auto &stream : stalled) {
        stream->close("a partially received frame made no progress in time");
    }
}

}
