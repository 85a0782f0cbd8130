/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/HttpClient.h>

namespace Http
{

static constexpr guint IdleSeconds = 120;
static constexpr std::int64_t SessionLifetimeMicroseconds = 600'000'000;

/** User data of libsoup's callback, by which it finds its exchange. */
struct HttpClient::CallbackContext {
    HttpClient *client;
    std::weak_ptr<int> alive;
    ExchangeId id;
};

HttpClient::~HttpClient()
{
    for (const auto &[id, exchange] : this->exchanges) {
        g_signal_handlers_disconnect_by_data(exchange->message.get(), exchange.get());
        g_cancellable_cancel(exchange->cancellable.get());
    }
}

std::size_t HttpClient::inFlight() const
{
    return this->exchanges.size();
}

HttpClient::Session &HttpClient::sessionFor(const SessionKey &key)
{
    const std::int64_t now = g_get_monotonic_time();
    auto &found = this->sessions[key];
    found.lastUsedMicroseconds = now;
    if (found.session) {
        return found;
    }
    found.session.reset(soup_session_new_with_options(
        "max-conns", key.connectionsPerHost, "max-conns-per-host", key.connectionsPerHost, "idle-timeout", IdleSeconds, "timeout", 0, nullptr));
    this->removeUnusedSessions(now);
    return found;
}

void HttpClient::removeUnusedSessions(std::int64_t now)
{
    // Hosts change over time, so a session that was not used for its lifetime is removed together with its connections.
    std::erase_if(this->sessions, [now](const auto &item) {
        return item.second.inFlight == 0 && now - item.second.lastUsedMicroseconds > SessionLifetimeMicroseconds;
    });
}

void HttpClient::handleStarting(SoupMessage *, gpointer data)
{
    static_cast<Exchange *>(data)->started = true;
}

ExchangeId HttpClient::send(const ClientRequest &request, ResultHook done)
{
    const ExchangeId id = this->nextId++;
    const std::string uri = "http://" + request.endpoint.toString() + request.target;
    auto exchange = std::make_unique<Exchange>();
    exchange->message.reset(soup_message_new(request.method.c_str(), uri.c_str()));
    exchange->cancellable.reset(g_cancellable_new());
    exchange->done = std::move(done);
    auto *message = exchange->message.get();
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    auto *headers = soup_message_get_request_headers(message);
    for (const auto &header : request.headers) {
        soup_message_headers_replace(headers, header.name.c_str(), header.value.c_str());
    }
    if (!request.body.empty() || request.method == "POST") {
        GBytes *body = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(message, request.contentType.c_str(), body);
        g_bytes_unref(body);
    }
    // libsoup emits this signal right before it writes the first byte of the request.
    g_signal_connect(message, "starting", G_CALLBACK(handleStarting), exchange.get());
    exchange->sessionKey = SessionKey{.endpoint = request.endpoint, .connectionsPerHost = request.connectionsPerHost};
    auto &session = this->sessionFor(exchange->sessionKey);
    ++session.inFlight;
    auto *context = new CallbackContext{.client = this, .alive = this->alive, .id = id};
    soup_session_send_and_read_async(session.session.get(), message, G_PRIORITY_DEFAULT, exchange->cancellable.get(), handleResponse, context);
    this->exchanges.emplace(id, std::move(exchange));
    return id;
}

void HttpClient::handleResponse(GObject *source, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<CallbackContext> context(static_cast<CallbackContext *>(data));
    GError *rawError = nullptr;
    GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &rawError);
    const Core::ErrorPointer error(rawError);
    const std::unique_ptr<GBytes, void (*)(GBytes *)> body(bytes, g_bytes_unref);
    if (context->alive.expired()) {
        return;
    }
    auto &client = *context->client;
    const auto found = client.exchanges.find(context->id);
    if (found == client.exchanges.end()) {
        return;
    }
    const auto exchange = std::move(found->second);
    client.exchanges.erase(found);
    --client.sessions[exchange->sessionKey].inFlight;
    g_signal_handlers_disconnect_by_data(exchange->message.get(), exchange.get());

    ClientResult answer;
    answer.mayHaveBeenSent = exchange->started;
    if (error) {
        answer.error = error->message;
    } else {
        gsize size = 0;
        const auto *content = static_cast<const char *>(g_bytes_get_data(body.get(), &size));
        answer.body.assign(content == nullptr ? "" : content, size);
        answer.status = static_cast<int>(soup_message_get_status(exchange->message.get()));
    }
    auto *headers = soup_message_get_response_headers(exchange->message.get());
    const char *contentType = soup_message_headers_get_one(headers, "Content-Type");
    answer.contentType = contentType == nullptr ? "" : contentType;
    answer.header = [headers](const char *name) {
        const char *value = soup_message_headers_get_one(headers, name);
        return std::string(value == nullptr ? "" : value);
    };
    exchange->done(std::move(answer));
}

void HttpClient::cancel(ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    const auto exchange = std::move(found->second);
    this->exchanges.erase(found);
    --this->sessions[exchange->sessionKey].inFlight;
    g_signal_handlers_disconnect_by_data(exchange->message.get(), exchange.get());
    g_cancellable_cancel(exchange->cancellable.get());
}

}
