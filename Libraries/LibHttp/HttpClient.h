/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An HTTP client on the GLib loop: libsoup, with one session for each host.
// libsoup walks all messages and all connections of a session at each step of
// any of them, so a session shared by many hosts costs the square of what is in
// flight (docs/QUERY-PATH.md gives the figures).

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

/** A request to be sent. */
struct ClientRequest {
    std::string method{"GET"};
    Core::Endpoint endpoint;
    /** Path and query, escaped. */
    std::string target;
    std::vector<Header> headers;
    std::string contentType;
    std::string body;
    /** Connections that may be open to this host. */
    int connectionsPerHost{8};
};

/** How an exchange ended. */
struct ClientResult {
    /** 0 when no whole response came. */
    int status{0};
    std::string contentType;
    std::string body;
    /** The value of a response header, empty when it is not there. */
    std::function<std::string(const char *name)> header;
    /** Whether any byte of the request may have left. Only false is proof. */
    bool mayHaveBeenSent{true};
    std::string error;
};

/** Names an exchange until it ends. */
using ExchangeId = std::uint64_t;

/** Sends requests. Requests with a method other than GET are never sent twice by the library. */
class HttpClient
{
public:
    using ResultHook = std::function<void(ClientResult result)>;

    HttpClient() = default;
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** The hook is called exactly once, from the loop, unless the exchange is cancelled. */
    ExchangeId send(const ClientRequest &request, ResultHook done);

    /** Ends an exchange without calling its hook; its connection is closed, which tells the server. */
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
    struct Finish;

    [[nodiscard]] Session &sessionFor(const SessionKey &key);
    void dropUnusedSessions(std::int64_t now);
    static void starting(SoupMessage *message, gpointer data);
    static void responseArrived(GObject *source, GAsyncResult *result, gpointer data);

    std::map<SessionKey, Session> sessions;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges;
    ExchangeId nextId{1};
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
