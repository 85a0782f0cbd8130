/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/HttpClient.h>

#include <algorithm>
#include <utility>

namespace Http
{

static constexpr std::size_t MaximumResponseBytes = 16 * 1024 * 1024;
// What unfinished responses may take together; responses below 64 KiB are not affected.
static constexpr std::size_t UnfinishedResponsesBytes = 64 * 1024 * 1024;
static constexpr Core::Duration SweepPeriod = Core::seconds(10);

HttpClient::HttpClient(Core::TimerService &timers)
    : timers(timers)
    , receiveBudget(std::make_shared<Wire::ReceiveBudget>(UnfinishedResponsesBytes))
    , sweepTimer(timers.every(SweepPeriod, [this](Core::Instant) {
        this->sweep();
    }))
{
}

HttpClient::~HttpClient()
{
    for (const auto &[key, host] : std::exchange(this->hosts, {})) {
        for (const auto &connection : host.connections) {
            connection->closed = nullptr;
            connection->close();
        }
    }
}

std::size_t HttpClient::inFlight() const
{
    return this->exchanges.size();
}

static Wire::Request wireRequest(const ClientRequest &request)
{
    Wire::Request message{.method = request.method, .target = request.target, .headers = {{"Host", request.endpoint.toString()}}, .body = request.body};
    for (const auto &header : request.headers) {
        message.headers.push_back({header.name, header.value});
    }
    if (!request.contentType.empty()) {
        message.headers.push_back({"Content-Type", request.contentType});
    }
    return message;
}

ExchangeId HttpClient::send(const ClientRequest &request, ResultHook done)
{
    const ExchangeId id = this->nextId++;
    const HostKey key{.endpoint = request.endpoint, .connectionsPerHost = request.connectionsPerHost};
    auto &exchange = this->exchanges[id];
    exchange.host = key;
    exchange.method = request.method;
    exchange.done = std::move(done);
    if (!Wire::appendRequest(exchange.bytes, wireRequest(request))) {
        this->failLater(id, "the request violates the grammar of HTTP");
        return id;
    }
    this->hosts[key].waiting.push_back(id);
    this->startWaiting(key);
    return id;
}

void HttpClient::startWaiting(const HostKey &key)
{
    auto &waiting = this->hosts[key].waiting;
    while (!waiting.empty()) {
        const auto id = waiting.front();
        if (!this->exchanges.contains(id)) {
            waiting.pop_front();
            continue;
        }
        const auto connection = this->connectionTo(key);
        if (!connection.has_value()) {
            waiting.pop_front();
            this->failLater(id, connection.error().message);
            continue;
        }
        if (!connection.value()) {
            return;
        }
        waiting.pop_front();
        this->sendOn(connection.value(), id);
    }
}

Core::Result<HttpClient::ConnectionPointer> HttpClient::connectionTo(const HostKey &key)
{
    auto &connections = this->hosts[key].connections;
    closeExpired(connections, this->timers.now());
    const auto idle = std::find_if(connections.begin(), connections.end(), [](const auto &connection) {
        return connection->isIdle();
    });
    if (idle != connections.end()) {
        return *idle;
    }
    if (connections.size() >= static_cast<std::size_t>(key.connectionsPerHost)) {
        return ConnectionPointer();
    }
    return this->open(key);
}

Core::Result<HttpClient::ConnectionPointer> HttpClient::open(const HostKey &key)
{
    if (!this->poll) {
        auto created = Core::EventPoll::create(g_main_context_default());
        if (!created.has_value()) {
            return tl::make_unexpected(created.error());
        }
        this->poll = std::move(created.value());
    }
    auto opened = Wire::ClientConnection::create(
        {.endpoint = key.endpoint, .limits = {.bodyBytes = MaximumResponseBytes}, .receiveBudget = this->receiveBudget}, *this->poll, this->timers);
    if (opened.has_value()) {
        opened.value()->closed = [this, key, raw = opened.value().get()] {
            this->connectionClosed(key, raw);
        };
        this->hosts[key].connections.push_back(opened.value());
    }
    return opened;
}

void HttpClient::sendOn(const ConnectionPointer &connection, ExchangeId id)
{
    auto &exchange = this->exchanges.at(id);
    exchange.connection = connection;
    exchange.usesKeptConnection = connection->answered() > 0;
    connection->send({.bytes = exchange.bytes,
        .key = std::to_string(id) + (exchange.wasResent ? "/2" : "/1"),
        .isHead = exchange.method == "HEAD",
        .verifyOpen = exchange.usesKeptConnection,
        .recognise = {},
        .done = [this, id](Wire::ClientResult result) {
            this->finish(id, std::move(result));
        }});
}

// Converts a response, and keeps its headers for the result hook.
static ClientResult readResponse(Wire::Response response)
{
    const auto headers = std::make_shared<const Wire::Headers>(std::move(response.headers));
    ClientResult result;
    result.status = response.status;
    result.body = std::move(response.body);
    result.header = [headers](const char *name) {
        const auto *value = Wire::findHeader(*headers, name);
        return value == nullptr ? std::string() : *value;
    };
    result.contentType = result.header("Content-Type");
    return result;
}

void HttpClient::finish(ExchangeId id, Wire::ClientResult result)
{
    auto &exchange = this->exchanges.at(id);
    exchange.connection = nullptr;
    if (result.end == Wire::ClientEnd::Answered) {
        this->complete(id, readResponse(std::move(result.response)));
        return;
    }
    const bool wasNotSent = result.end == Wire::ClientEnd::NotSent || result.end == Wire::ClientEnd::ConnectionRejected;
    const bool endedWithoutResponse = wasNotSent || (result.end == Wire::ClientEnd::Broken && exchange.method == "GET");
    // The server may have closed the connection as idle while the request was under way.
    if (exchange.usesKeptConnection && endedWithoutResponse && !std::exchange(exchange.wasResent, true)) {
        // Sent once the connection is removed, which follows.
        this->hosts[exchange.host].waiting.push_front(id);
        return;
    }
    ClientResult failed;
    failed.mayHaveBeenSent = !wasNotSent;
    failed.error = result.reason;
    failed.header = [](const char *) {
        return std::string();
    };
    this->complete(id, std::move(failed));
}

void HttpClient::complete(ExchangeId id, ClientResult result)
{
    const auto found = this->exchanges.find(id);
    const auto exchange = std::move(found->second);
    this->exchanges.erase(found);
    exchange.done(std::move(result));
    // The connection is idle again, unless it was closed.
    this->startWaiting(exchange.host);
}

void HttpClient::failLater(ExchangeId id, const std::string &error)
{
    this->failures[id] = this->timers.once(Core::Duration(0), [this, id, error](Core::Instant) {
        this->failures.erase(id);
        if (this->exchanges.contains(id)) {
            this->finish(id, Wire::ClientResult{.end = Wire::ClientEnd::NotSent, .response = {}, .reason = error});
        }
    });
}

void HttpClient::cancel(ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    const auto connection = std::move(found->second.connection);
    this->exchanges.erase(found);
    if (connection) {
        connection->close();
    }
}

void HttpClient::connectionClosed(const HostKey &key, const Wire::ClientConnection *connection)
{
    auto &host = this->hosts[key];
    std::erase_if(host.connections, [connection](const auto &open) {
        return open.get() == connection;
    });
    this->startWaiting(key);
    if (host.connections.empty() && host.waiting.empty()) {
        this->hosts.erase(key);
    }
}

void HttpClient::closeExpired(std::vector<ConnectionPointer> &connections, Core::Instant now)
{
    std::erase_if(connections, [now](const auto &connection) {
        const bool isExpired = connection->isIdle() && now >= connection->idleUntil();
        if (isExpired) {
            connection->closed = nullptr;
            connection->close();
        }
        return isExpired;
    });
}

void HttpClient::sweep()
{
    for (auto &[key, host] : this->hosts) {
        closeExpired(host.connections, this->timers.now());
    }
    std::erase_if(this->hosts, [](const auto &item) {
        return item.second.connections.empty() && item.second.waiting.empty();
    });
}

}
