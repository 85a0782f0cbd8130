/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An HTTP/1.1 server for many small requests. It does not use libsoup, which takes
// several times the processor time (docs/QUERY-PATH.md, "The lean HTTP path") and
// does not report when a caller disconnects or whether a request was read.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/TimerService.h>
#include <LibWire/MessageParser.h>
#include <LibWire/Socket.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Wire
{

class ServerConnection;

/** How a connection ended on which a response was awaited. */
enum class ConnectionEnd {
    /** The other side ended it in order. */
    ClosedByCaller,
    /** The other side reset it, or can't be reached any more. */
    Broken,
    /** This side closed it. */
    ClosedHere,
};

/** Name of the end in log lines. */
[[nodiscard]] const char *connectionEndName(ConnectionEnd end);

/** A request that awaits its response. */
class Exchange
{
public:
    explicit Exchange(std::weak_ptr<ServerConnection> connection);

    /** Sends the response. To be called once. Does nothing when the caller has disconnected. */
    void respond(const Response &response);

    /** Returns whether the caller still waits for the response. */
    [[nodiscard]] bool isOpen() const;

    /** Like isOpen(), but also notices a caller that has disconnected since the event loop last ran, which takes a system call. */
    [[nodiscard]] bool isAwaited() const;

    /** Called once if the connection ends before the response. */
    std::function<void(ConnectionEnd end)> aborted;

    /** Called when the caller has received the acknowledgement of the request, if it tells so before the response (ClientRequest::mayConfirm). */
    std::function<void()> confirmed;

private:
    friend class ServerConnection;
    std::weak_ptr<ServerConnection> connection;
    bool open{true};
};

using ExchangePointer = std::shared_ptr<Exchange>;

/** Handles one complete request. */
using RequestHandler = std::function<void(Request request, const ExchangePointer &exchange)>;

/** Limits on the size of requests and on the time that callers may take. They may change while the server runs. */
struct ServerLimits {
    MessageLimits message{.headerBytes = 16 * 1024, .bodyBytes = 256 * 1024};
    /** Maximum time from the first byte of a request to its last. */
    Core::Duration requestTimeout{Core::seconds(10)};
    /** Told to callers. A connection that has been idle for this long is closed soon after. Time in which a response is written does not count. */
    Core::Duration idleTimeout{Core::seconds(60)};
};

/** Options of a server. */
struct ServerOptions {
    /** Shown in log lines. */
    std::string name;
    Core::Endpoint endpoint;
    RequestHandler handler;
    ServerLimits limits;
    /** Further connections wait in the listening queue. */
    std::size_t maximumConnections{2000};
    /** Acknowledges requests when they are read, so that callers can tell a server that runs from one that does not before it responds. */
    bool acknowledgesAtOnce{false};
};

/** Counts for metrics. */
struct ServerCounters {
    std::uint64_t accepted{0};
    std::uint64_t requests{0};
    /** Requests whose caller disconnected before the response. */
    std::uint64_t aborted{0};
    /** Requests that exceeded a limit of ServerLimits or were not valid HTTP. */
    std::uint64_t malformed{0};
    /** Requests that exceeded ServerLimits::requestTimeout; `malformed` includes them. */
    std::uint64_t timedOut{0};
    /** Connections on which bytes arrived after this side had ended them; the bytes were discarded. */
    std::uint64_t discarded{0};
    /** Connections that this side ended since they were idle. */
    std::uint64_t idleClosed{0};
    /** Connections that ended while a response was written. */
    std::uint64_t unwritten{0};
    /** Responses of the handler that violate the grammar of HTTP; the caller received 500 instead. */
    std::uint64_t invalidResponses{0};
};

/** What the connections of a server hold. Each connection counts once. */
struct ServerLoad {
    /** Requests without a response. */
    std::size_t answering{0};
    /** Responses that are not completely written. */
    std::size_t writing{0};
    /** Requests that have arrived in part. */
    std::size_t receiving{0};
    std::size_t idle{0};
    /** Connections that wait for the other side to close. */
    std::size_t lingering{0};

    /** Requests that have arrived, also in part, and whose response is not completely written. */
    [[nodiscard]] std::size_t requests() const
    {
        return this->answering + this->writing + this->receiving;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return this->requests() + this->idle + this->lingering;
    }
};

/** Listens from create() until stopListening() or its destruction. */
class Server : public Core::EventHandler
{
public:
    /** Fails with Unreachable when the server can't listen on the address. */
    [[nodiscard]] static Core::Result<std::shared_ptr<Server>> create(ServerOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    ~Server() override;

    void setLimits(const ServerLimits &limits);

    /** From now on every response closes its connection, so that callers reconnect to other servers by themselves. */
    void endConnectionsAfterResponse();

    /** Closes the connections that have had neither a request in progress nor unwritten output for `idleTime`. What has arrived on them is read first. */
    void closeIdleConnections(Core::Duration idleTime);

    /** Responds to every request that has arrived in part, without waiting for the rest, and closes its connection. */
    void rejectPartialRequests(const Response &response);

    /** Responds to every request that has no response yet. A later response to it has no effect. */
    void answerOpenRequests(const Response &response);

    /** Accepts the connections that wait in the listening queue, and stops listening. */
    void stopListening();

    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] ServerLoad load() const;
    [[nodiscard]] const ServerCounters &counters() const;

    void handleEvents(std::uint32_t events) override;

private:
    friend class ServerConnection;
    Server(ServerOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    void accept();
    void closeListener();
    void startSweeps();
    void sweep();
    void removeConnection(int descriptor);
    /** Returns the connections. Handling one of them may remove it and others. */
    [[nodiscard]] std::vector<std::shared_ptr<ServerConnection>> allConnections() const;

    ServerOptions options;
    Core::EventPoll &poll;
    Core::TimerService &timers;
    Socket listener;
    bool listening{false};
    bool draining{false};
    std::unordered_map<int, std::shared_ptr<ServerConnection>> connections;
    // Set when accepting stopped at `maximumConnections`: further connections may wait in the listening queue.
    bool mayHaveQueuedConnections{false};
    // Invariant: active while there are connections.
    Core::TimerSubscription sweepTimer;
    ServerCounters counts;
};

/** The connection of one caller. Its requests are answered one at a time, in the order of their arrival. */
class ServerConnection : public Core::EventHandler, public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Server &server, Socket socket);

    void handleEvents(std::uint32_t events) override;
    void respond(const Response &response);
    /** Closes the connection without a response. */
    void close(ConnectionEnd end);
    /** Returns whether the connection has neither a request in progress nor unwritten output. */
    [[nodiscard]] bool isIdle() const;
    /** Returns whether the other side has neither ended nor reset the connection. */
    [[nodiscard]] bool isConnected() const;
    /** Enforces the timeouts of ServerLimits and the linger timeout. */
    void closeIfTimedOut(Core::Instant now);

private:
    friend class Server;
    enum class Stage {
        /** Waits for a request or receives one. */
        Reading,
        /** The handler has received a request and has not responded yet. */
        Answering,
        /** The last response was written. Waits for the other side to close, since closing with unread bytes would reset the connection. */
        Lingering,
        Closed,
    };

    void readMore();
    void discardInput();
    void endIdle();
    /** Whether the next request, or the rest of one that has arrived in part, has taken longer than ServerLimits allow. */
    [[nodiscard]] bool isRequestOverdue(Core::Instant now) const;
    void closeIfIdle(Core::Duration idleTime);
    void rejectPartial(const Response &response);
    void answerOpen(const Response &response);
    /** Handles the confirmation of the request that is being answered. */
    void takeConfirmation();
    void parse();
    void parseNext();
    void handleRequest();
    void rejectRequest(int status);
    void writeMore();
    void responseWritten();
    /** Replaces a response that can't be sent. */
    void respondInvalid(int status, const ResponseOptions &options);
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
    // Set while parse() runs, to prevent recursion through a handler that responds at once.
    bool parsing{false};
    // Set once bytes were discarded.
    bool hasDiscarded{false};
    // Set if this side ended the connection since it was idle.
    bool endedIdle{false};
    ExchangePointer exchange;
    // As the caller was told with the last response. Later limits apply from the next response on.
    Core::Duration idleTimeout;
    // When bytes were last received, a response was sent, or its caller had room for more of it.
    Core::Instant lastActivity;
    Core::Instant requestStartedAt;
};

}
