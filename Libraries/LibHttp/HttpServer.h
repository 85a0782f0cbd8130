/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An HTTP server on the GLib loop, based on libsoup. Connections are accepted
// outside libsoup, so that they can be counted, limited in number and timed out.

#pragma once

#include <LibCore/ObjectPointer.h>
#include <LibCore/Result.h>
#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibHttp/Message.h>

#include <cstdint>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <unordered_map>

namespace Http
{

/** Endpoint, handler and limits of a server. */
struct ServerOptions {
    /** Shown in log lines. */
    std::string name;
    Core::Endpoint endpoint;
    Handler handler;
    std::size_t maximumConnections{4096};
    std::size_t maximumBodyBytes{1024 * 1024};
    /** A connection on which no byte is received or sent for this time is closed. */
    std::chrono::seconds idleTimeout{60};
    /** Delay before a new connection is served. Used by fake servers that imitate slow ones. */
    Core::Duration acceptDelay{0};
};

/** Counters for metrics. */
struct ServerCounters {
    std::uint64_t accepted{0};
    std::uint64_t refused{0};
    std::uint64_t requests{0};
    std::uint64_t aborted{0};
    std::size_t peakConnections{0};
};

/** Listens from create() until destroyed. */
class HttpServer
{
public:
    /** Fails with Unreachable when the address can't be listened on. */
    [[nodiscard]] static Core::Result<std::unique_ptr<HttpServer>> create(ServerOptions options, Core::TimerService &timers);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] const ServerCounters &counters() const;
    /** Returns the number of requests whose headers have arrived and whose response has not been written to the last byte. */
    [[nodiscard]] std::size_t requestsInFlight() const;
    /** Changes the limit for connections that are accepted from now on. */
    void setMaximumConnections(std::size_t maximum);

private:
    HttpServer(ServerOptions options, Core::TimerService &timers);
    static gboolean handleIncoming(GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data);
    static void handleRelease(gpointer data, GObject *connection);
    static void handleHeaders(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    static void handleRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    void accept(Core::ObjectPointer<GSocketConnection> connection);
    void serve(GSocketConnection *connection);

    ServerOptions options;
    Core::TimerService &timers;
    Core::ObjectPointer<GSocketService> service;
    Core::ObjectPointer<SoupServer> server;
    // Shared with the hooks of connections and messages, which may be released after the server is destroyed.
    struct Connections {
        std::size_t open{0};
        std::size_t requests{0};
    };
    std::shared_ptr<Connections> connections;
    std::map<std::uint64_t, Core::TimerSubscription> delayed;
    std::uint64_t nextDelayed{1};
    ServerCounters counts;
};

}
