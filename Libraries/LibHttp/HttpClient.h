/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An HTTP client on the GLib loop, over LibWire, with kept connections per host.
// LibWire reads the responses: libsoup accepts fields and chunks that violate the
// grammar, and keeps a body of any length.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibHttp/Message.h>
#include <LibWire/ClientConnection.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Http
{

/** A request to send. */
struct ClientRequest {
    std::string method{"GET"};
    Core::Endpoint endpoint;
    /** Path and query, escaped. */
    std::string target;
    std::vector<Header> headers;
    std::string contentType;
    std::string body;
    /** Maximum number of open connections to this host. Further requests wait for one. */
    int connectionsPerHost{8};
};

/** The outcome of an exchange. */
struct ClientResult {
    /** The response's status; 0 when no complete response was received. */
    int status{0};
    std::string contentType;
    std::string body;
    /** Returns the value of a response header; empty when the header is absent. Valid only during the result hook. */
    std::function<std::string(const char *name)> header;
    /** Whether any byte of the request may have been sent. False proves that none was sent; true proves nothing. */
    bool mayHaveBeenSent{true};
    /** Empty when a complete response was received. */
    std::string error;
};

/** Identifies an exchange until it ends. */
using ExchangeId = std::uint64_t;

/** Sends requests. A request is sent a second time only if its method is GET and a kept connection ended without a response. */
class HttpClient
{
public:
    using ResultHook = std::function<void(ClientResult result)>;

    explicit HttpClient(Core::TimerService &timers);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request. The hook is called exactly once, from the loop, unless the exchange is cancelled. It must not destroy the client. */
    ExchangeId send(const ClientRequest &request, ResultHook done);

    /** Cancels an exchange without calling its hook. Its connection is closed, by which the server detects the cancellation. */
    void cancel(ExchangeId id);

    [[nodiscard]] std::size_t inFlight() const;

private:
    using ConnectionPointer = std::shared_ptr<Wire::ClientConnection>;

    struct HostKey {
        Core::Endpoint endpoint;
        int connectionsPerHost{0};
        auto operator<=>(const HostKey &) const = default;
    };
    struct Host {
        // Invariant: at most connectionsPerHost; none is closed.
        std::vector<ConnectionPointer> connections;
        // Requests that wait for a connection, in the order of their arrival. Those that were cancelled are not in `exchanges` any more.
        std::deque<ExchangeId> waiting;
    };
    struct Exchange {
        HostKey host;
        std::string bytes;
        std::string method;
        // Set while the request is in flight.
        ConnectionPointer connection;
        // The connection had answered a request before.
        bool usesKeptConnection{false};
        bool wasResent{false};
        ResultHook done;
    };

    void startWaiting(const HostKey &key);
    /** Returns an idle connection or a new one, nullptr if all are in use, or an error if none can be opened. */
    [[nodiscard]] Core::Result<ConnectionPointer> connectionTo(const HostKey &key);
    [[nodiscard]] Core::Result<ConnectionPointer> open(const HostKey &key);
    void sendOn(const ConnectionPointer &connection, ExchangeId id);
    void finish(ExchangeId id, Wire::ClientResult result);
    void complete(ExchangeId id, ClientResult result);
    void failLater(ExchangeId id, const std::string &error);
    void connectionClosed(const HostKey &key, const Wire::ClientConnection *connection);
    /** Closes and removes the idle connections that their servers may close at any moment. */
    static void closeExpired(std::vector<ConnectionPointer> &connections, Core::Instant now);
    void sweep();

    Core::TimerService &timers;
    std::shared_ptr<Wire::ReceiveBudget> receiveBudget;
    // Created with the first connection. Invariant: outlives the connections.
    std::unique_ptr<Core::EventPoll> poll;
    std::map<HostKey, Host> hosts;
    std::unordered_map<ExchangeId, Exchange> exchanges;
    ExchangeId nextId{1};
    // Exchanges that failed before they were sent; reported from the loop.
    std::map<ExchangeId, Core::TimerSubscription> failures;
    // Releases the connections of hosts that are not used any more.
    Core::TimerSubscription sweepTimer;
};

}
