/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An HTTP client on the GLib loop, based on libsoup with one session per host.
// libsoup iterates over all messages and connections of a session at each step of
// any of them, so the cost of a session shared by many hosts would grow with the
// square of the requests in flight (docs/QUERY-PATH.md gives the figures).

#pragma once

#include <LibCore/ObjectPointer.h>
#include <LibCore/Settings.h>
#include <LibHttp/Message.h>

#include <cstdint>
#include <functional>
#include <libsoup/soup.h>
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
    /** Maximum number of open connections to this host. */
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

/** Sends requests. libsoup never sends a request twice unless its method is GET. */
class HttpClient
{
public:
    using ResultHook = std::function<void(ClientResult result)>;

    HttpClient() = default;
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request. The hook is called exactly once, from the loop, unless the exchange is cancelled. */
    ExchangeId send(const ClientRequest &request, ResultHook done);

    /** Cancels an exchange without calling its hook. Its connection is closed, by which the server detects the cancellation. */
    void cancel(ExchangeId id);

    [[nodiscard]] std::size_t inFlight() const;

private:
    struct SessionKey {
        Core::Endpoint endpoint;
        int connectionsPerHost{0};
        auto operator<=>(const SessionKey &) const = default;
    };
    struct Session {
        Core::ObjectPointer<SoupSession> session;
        std::size_t inFlight{0};
        std::int64_t lastUsedMicroseconds{0};
    };

    struct Exchange {
        SessionKey sessionKey;
        Core::ObjectPointer<SoupMessage> message;
        Core::ObjectPointer<GCancellable> cancellable;
        ResultHook done;
        bool started{false};
    };
    struct CallbackContext;

    [[nodiscard]] Session &sessionFor(const SessionKey &key);
    void removeUnusedSessions(std::int64_t now);
    static void handleStarting(SoupMessage *message, gpointer data);
    static void handleResponse(GObject *source, GAsyncResult *result, gpointer data);

    std::map<SessionKey, Session> sessions;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges;
    ExchangeId nextId{1};
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
