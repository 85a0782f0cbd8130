/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An HTTP/1.1 server for many small requests. libsoup costs several times the
// processor time that this takes (docs/QUERY-PATH.md, "The lean HTTP path"), and
// hides when a caller goes away or whether a request was read.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/TimerService.h>
#include <LibWire/MessageParser.h>
#include <LibWire/Socket.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace Wire
{

class ServerConnection;

/** One request that waits for its response. */
class Exchange
{
public:
    explicit Exchange(std::weak_ptr<ServerConnection> connection);

    /** To be called once. Does nothing when the caller is gone. */
    void respond(const Response &response);

    /** Whether the caller still waits. */
    [[nodiscard]] bool isOpen() const;

    /** Called once when the caller goes away before the response. */
    std::function<void()> aborted;

private:
    friend class ServerConnection;
    std::weak_ptr<ServerConnection> connection;
    bool open{true};
};

using ExchangePointer = std::shared_ptr<Exchange>;

/** Handles one whole request. */
using RequestHandler = std::function<void(Request request, const ExchangePointer &exchange)>;

/** What callers may send and how long they may take. May change while the server runs. */
struct ServerLimits {
    MessageLimits message{.headerBytes = 16 * 1024, .bodyBytes = 256 * 1024};
    /** From the first byte of a request to its last. */
    Core::Duration requestTimeout{Core::seconds(10)};
    /** A connection that rests for this long is closed. */
    Core::Duration idleTimeout{Core::seconds(60)};
};

/** How a server listens. */
struct ServerOptions {
    /** Shown in log lines. */
    std::string name;
    Core::Endpoint endpoint;
    RequestHandler handler;
    ServerLimits limits;
    /** Connections beyond that wait in the listening queue. */
    std::size_t maximumConnections{2000};
};

/** Counts for metrics. */
struct ServerCounters {
    std::uint64_t accepted{0};
    std::uint64_t requests{0};
    /** Callers that went away before their response. */
    std::uint64_t aborted{0};
    /** Requests that broke a limit or were no HTTP. */
    std::uint64_t malformed{0};
    std::uint64_t timedOut{0};
};

/** Listens from create() until destroyed. */
class Server : public Core::EventHandler
{
public:
    /** Fails with Unreachable when the address can't be listened on. */
    [[nodiscard]] static Core::Result<std::shared_ptr<Server>> create(ServerOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    ~Server() override;

    void setLimits(const ServerLimits &limits);

    /** From now on every response ends its connection, so that callers move on by themselves. */
    void endConnectionsAfterResponse();

    /** Closes the connections on which nothing is under way. */
    void closeIdleConnections();

    /** Stops taking new connections. */
    void stopListening();

    [[nodiscard]] std::size_t connectionCount() const;
    /** Requests without a response, and responses that are not written to the last byte. */
    [[nodiscard]] std::size_t inFlight() const;
    [[nodiscard]] const ServerCounters &counters() const;

    void handleEvents(std::uint32_t events) override;

private:
    friend class ServerConnection;
    Server(ServerOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    void accept();
    void startSweeps();
    void sweep();
    void forget(int descriptor);

    ServerOptions options;
    Core::EventPoll &poll;
    Core::TimerService &timers;
    Socket listener;
    bool listening{false};
    bool draining{false};
    std::unordered_map<int, std::shared_ptr<ServerConnection>> connections;
    // Connections may be in the listening queue that were left there, since there were as many as this server takes.
    bool mayHaveWaiting{false};
    // Invariant: active while there are connections.
    Core::TimerSubscription sweepTimer;
    ServerCounters counts;
};

/** One caller's connection. Requests on it are answered one at a time, in their order. */
class ServerConnection : public Core::EventHandler, public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Server &server, Socket socket);

    void handleEvents(std::uint32_t events) override;
    void respond(const Response &response);
    /** Ends the connection without a response. */
    void close();
    [[nodiscard]] bool isResting() const;
    void closeIfOverdue(Core::Instant now);

private:
    friend class Server;
    enum class Stage {
        /** Between requests, or reading one. */
        Reading,
        /** A request is with its handler. */
        Answering,
        /** The last response is out; waits for the other side to close, since closing with unread bytes would reset. */
        Lingering,
        Closed,
    };

    void readMore();
    void parse();
    void parseNext();
    void extractRequest();
    void refuse(int status);
    void writeMore();
    void responseWritten();
    void linger();
    void updateInterest();

    Server *server;
    Socket socket;
    MessageParser parser;
    Stage stage{Stage::Reading};
    std::string input;
    std::string output;
    std::size_t written{0};
    bool closeAfterResponse{false};
    bool continueSent{false};
    bool headRequest{false};
    bool wantsWrite{false};
    bool wantsRead{true};
    // Requests are being taken.
    bool parsing{false};
    ExchangePointer exchange;
    Core::Instant lastActivity;
    Core::Instant requestBegan;
};

}
