/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/HttpServer.h>

#include <LibCore/Log.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Http
{

namespace
{

/** Sends the response to one libsoup message. */
class SoupResponder final : public Responder
{
public:
    explicit SoupResponder(SoupServerMessage *message, std::uint64_t &abortedCount) : message(Core::shareObject(message)), abortedCount(abortedCount)
    {
        this->finishedHandler = g_signal_connect(message, "finished", G_CALLBACK(messageFinished), this);
    }

    ~SoupResponder() override
    {
        g_signal_handler_disconnect(this->message.get(), this->finishedHandler);
        if (!this->answered && !this->finished) {
            // A handler that did not respond must not leave the client waiting forever.
            soup_server_message_set_status(this->message.get(), SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
            soup_server_message_unpause(this->message.get());
        }
    }

    void respond(Response response) override
    {
        if (this->answered || this->finished) {
            return;
        }
        this->answered = true;
        auto *headers = soup_server_message_get_response_headers(this->message.get());
        for (const auto &header : response.headers) {
            soup_message_headers_replace(headers, header.name.c_str(), header.value.c_str());
        }
        soup_server_message_set_status(this->message.get(), static_cast<guint>(response.status), nullptr);
        soup_server_message_set_response(this->message.get(), response.contentType.c_str(), SOUP_MEMORY_COPY, response.body.data(), response.body.size());
        soup_server_message_unpause(this->message.get());
    }

private:
    static void messageFinished(SoupServerMessage *, gpointer data)
    {
        auto &self = *static_cast<SoupResponder *>(data);
        self.finished = true;
        if (!self.answered) {
            ++self.abortedCount;
            const auto hook = std::exchange(self.aborted, nullptr);
            if (hook) {
                hook();
            }
        }
    }

    Core::ObjectPointer<SoupServerMessage> message;
    std::uint64_t &abortedCount;
    gulong finishedHandler{0};
    bool answered{false};
    bool finished{false};
};

/** User data of a weak reference to a connection or message: the function to call once the object is released. */
struct ReleaseHook {
    std::function<void()> released;
};

}

HttpServer::HttpServer(ServerOptions options, Core::TimerService &timers)
    : options(std::move(options))
    , timers(timers)
    , service(g_socket_service_new())
    , server(soup_server_new("server-header", "crankrudder ", nullptr))
    , connections(std::make_shared<Connections>())
{
}

Core::Result<std::unique_ptr<HttpServer>> HttpServer::create(ServerOptions options, Core::TimerService &timers)
{
    std::unique_ptr<HttpServer> server(new HttpServer(std::move(options), timers));
    const auto &endpoint = server->options.endpoint;
    const Core::ObjectPointer<GSocketAddress> address(g_inet_socket_address_new_from_string(endpoint.address.c_str(), endpoint.port));
    GError *rawError = nullptr;
    auto *listener = G_SOCKET_LISTENER(server->service.get());
    g_socket_listener_set_backlog(listener, 1024);
    if (g_socket_listener_add_address(listener, address.get(), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &rawError) == FALSE) {
        const Core::ErrorPointer error(rawError);
        return Core::failure(Core::ErrorKind::Unreachable, "cannot listen on " + endpoint.toString() + ": " + error->message);
    }
    soup_server_add_early_handler(server->server.get(), nullptr, handleHeaders, server.get(), nullptr);
    soup_server_add_handler(server->server.get(), nullptr, handleRequest, server.get(), nullptr);
    g_signal_connect(server->service.get(), "incoming", G_CALLBACK(handleIncoming), server.get());
    g_socket_service_start(server->service.get());
    return server;
}

HttpServer::~HttpServer()
{
    g_signal_handlers_disconnect_by_data(this->service.get(), this);
    g_socket_service_stop(this->service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(this->service.get()));
    soup_server_remove_handler(this->server.get(), nullptr);
    soup_server_disconnect(this->server.get());
}

std::size_t HttpServer::connectionCount() const
{
    return this->connections->open;
}

const ServerCounters &HttpServer::counters() const
{
    return this->counts;
}

std::size_t HttpServer::requestsInFlight() const
{
    return this->connections->requests;
}

void HttpServer::setMaximumConnections(std::size_t maximum)
{
    this->options.maximumConnections = maximum;
}

gboolean HttpServer::handleIncoming(GSocketService *, GSocketConnection *connection, GObject *, gpointer data)
{
    static_cast<HttpServer *>(data)->accept(Core::shareObject(connection));
    return TRUE;
}

void HttpServer::handleRelease(gpointer data, GObject *)
{
    const std::unique_ptr<ReleaseHook> connection(static_cast<ReleaseHook *>(data));
    connection->released();
}

void HttpServer::accept(Core::ObjectPointer<GSocketConnection> connection)
{
    if (this->connections->open >= this->options.maximumConnections) {
        ++this->counts.refused;
        Core::logEvent(Core::LogLevel::Warning, "http.connection_refused", {{"server", this->options.name}, {"connections", this->connections->open}});
        return;
    }
    ++this->counts.accepted;
    ++this->connections->open;
    this->counts.peakConnections = std::max(this->counts.peakConnections, this->connections->open);
    const auto counted = this->connections;
    auto *open = new ReleaseHook{.released = [counted] {
        --counted->open;
    }};
    g_object_weak_ref(G_OBJECT(connection.get()), handleRelease, open);
    if (this->options.acceptDelay == Core::Duration(0)) {
        this->serve(connection.get());
        return;
    }
    const std::uint64_t id = this->nextDelayed++;
    const std::shared_ptr<GSocketConnection> kept(connection.release(), Core::ObjectUnref());
    this->delayed[id] = this->timers.once(this->options.acceptDelay, [this, id, kept](Core::Instant) {
        this->serve(kept.get());
        this->delayed.erase(id);
    });
}

void HttpServer::serve(GSocketConnection *connection)
{
    auto *socket = g_socket_connection_get_socket(connection);
    g_socket_set_timeout(socket, static_cast<guint>(this->options.idleTimeout.count()));
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    const Core::ObjectPointer<GSocketAddress> local(g_socket_connection_get_local_address(connection, nullptr));
    const Core::ObjectPointer<GSocketAddress> remote(g_socket_connection_get_remote_address(connection, nullptr));
    if (!local || !remote) {
        return;
    }
    soup_server_accept_iostream(this->server.get(), G_IO_STREAM(connection), local.get(), remote.get(), nullptr);
}

// Rejects a body that exceeds the limit while it is being received. Bodies without a declared length are only detected here.
static void checkBodySize(SoupServerMessage *message, GBytes *, gpointer data)
{
    const auto limit = GPOINTER_TO_SIZE(data);
    auto *body = soup_server_message_get_request_body(message);
    if (static_cast<std::size_t>(body->length) > limit) {
        soup_message_body_set_accumulate(body, FALSE);
        soup_server_message_set_status(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
    }
}

static constexpr const char *TooLargeDocument
    = R"({"type":"urn:crankrudder:problem:too-large","title":"The request is too large","status":413,"run":"not-run"})";

static void rejectTooLarge(SoupServerMessage *message)
{
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
    soup_server_message_set_status(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
    soup_server_message_set_response(message, "application/problem+json", SOUP_MEMORY_STATIC, TooLargeDocument, strlen(TooLargeDocument));
}

void HttpServer::handleHeaders(SoupServer *, SoupServerMessage *message, const char *, GHashTable *, gpointer data)
{
    const auto &self = *static_cast<HttpServer *>(data);
    // A request is counted from its headers on until its message is released: after the last byte of the response, and possibly after the server is destroyed.
    ++self.connections->requests;
    g_object_weak_ref(G_OBJECT(message), handleRelease, new ReleaseHook{.released = [counted = self.connections] {
        --counted->requests;
    }});
    auto *headers = soup_server_message_get_request_headers(message);
    const auto length = soup_message_headers_get_content_length(headers);
    if (length > static_cast<goffset>(self.options.maximumBodyBytes)) {
        soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
        rejectTooLarge(message);
        return;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(checkBodySize), GSIZE_TO_POINTER(self.options.maximumBodyBytes));
}

static std::map<std::string, std::string> readQuery(GHashTable *table)
{
    std::map<std::string, std::string> parameters;
    if (table == nullptr) {
        return parameters;
    }
    GHashTableIter iterator;
    g_hash_table_iter_init(&iterator, table);
    gpointer name = nullptr;
    gpointer value = nullptr;
    while (g_hash_table_iter_next(&iterator, &name, &value) != FALSE) {
        parameters[static_cast<const char *>(name)] = value == nullptr ? "" : static_cast<const char *>(value);
    }
    return parameters;
}

static Request readRequest(SoupServerMessage *message, const char *path, GHashTable *query)
{
    auto *headers = soup_server_message_get_request_headers(message);
    const auto *body = soup_server_message_get_request_body(message);
    Request request;
    request.method = soup_server_message_get_method(message);
    request.path = path;
    request.query = readQuery(query);
    const char *contentType = soup_message_headers_get_one(headers, "Content-Type");
    request.contentType = contentType == nullptr ? "" : contentType;
    if (body->data != nullptr) {
        request.body.assign(body->data, static_cast<std::size_t>(body->length));
    }
    request.header = [headers](const char *name) {
        const char *value = soup_message_headers_get_one(headers, name);
        return std::string(value == nullptr ? "" : value);
    };
    return request;
}

void HttpServer::handleRequest(SoupServer *, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data)
{
    auto &self = *static_cast<HttpServer *>(data);
    ++self.counts.requests;
    if (soup_server_message_get_status(message) == SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE) {
        rejectTooLarge(message);
        return;
    }
    soup_server_message_pause(message);
    const auto responder = std::make_shared<SoupResponder>(message, self.counts.aborted);
    self.options.handler(readRequest(message, path, query), responder);
}

}
