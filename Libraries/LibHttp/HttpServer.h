/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An HTTP server on the GLib loop: libsoup with our own accepting, so that
// connections can be counted, capped and timed out.

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

/** How a server listens and what it tolerates. */
struct ServerOptions {
    /** Shown in log lines. */
    std::string name;
    Core::Endpoint endpoint;
    Handler handler;
    std::size_t maximumConnections{4096};
    std::size_t maximumBodyBytes{1024 * 1024};
    /** A connection on which nothing moves for this long is closed. */
    std::chrono::seconds idleTimeout{60};
    /** Waited before a new connection is served; for stand-ins of slow servers. */
    Core::Duration acceptDelay{0};
};

/** Counts for metrics. */
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
    /** Requests whose response has not been written to the last byte. */
    [[nodiscard]] std::size_t requestsInFlight() const;
    /** Changes the cap for connections yet to come. */
    void setMaximumConnections(std::size_t maximum);

private:
    HttpServer(ServerOptions options, Core::TimerService &timers);
    static gboolean incoming(GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data);
    static void connectionGone(gpointer data, GObject *connection);
    static void headersArrived(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    static void requestArrived(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data);
    void accept(Core::ObjectPointer<GSocketConnection> connection);
    void serve(GSocketConnection *connection);

    ServerOptions options;
    Core::TimerService &timers;
    Core::ObjectPointer<GSocketService> service;
    Core::ObjectPointer<SoupServer> server;
    // Shared with the weak references of connections, which may outlive the server.
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
