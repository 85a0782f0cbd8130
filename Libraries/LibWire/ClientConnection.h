/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One kept HTTP/1.1 connection to one server, with one request under way at a
// time. Nothing is ever sent twice by itself, and an answer counts only when its
// owner recognises it as the answer to the request that was sent. What it is
// recognised by goes over a connection only once: a second, late answer to a
// first send would be taken for the answer to another one of the same key.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/TimerService.h>
#include <LibWire/MessageParser.h>
#include <LibWire/Socket.h>

#include <functional>
#include <memory>
#include <vector>

namespace Wire
{

/** How a request on a connection ended. */
enum class ClientEnd {
    /** The whole response is there. */
    Answered,
    /** The connection did not come up, so the server can't have seen the request. */
    NotSent,
    /** The server took the connection and reset it before a request was sent on it, as one does that has as many as it takes. */
    ConnectionRejected,
    /** The connection broke, or what came was no response. The request may have run. */
    Broken,
    /** As Broken, but the other side's machine has most likely never had the request. */
    Unacknowledged,
};

/** Handed to the owner when a request has ended. */
struct ClientResult {
    ClientEnd end{ClientEnd::Broken};
    Response response;
    /** For logs; empty when answered. */
    std::string reason;
};

/** What is sent, and how its answer is known. */
struct ClientRequest {
    std::string bytes;
    /** What `recognise` knows the answer by; sends of the same key can't be told apart. */
    std::string key;
    /** The response has no body, whatever length it names: a request of the method HEAD. */
    bool isHead{false};
    /** Whether a response belongs to the request. One that does not is passed over. */
    std::function<bool(const Response &response)> recognise;
    /** Called once, unless close() or withdraw() comes first. */
    std::function<void(ClientResult result)> done;
};

/** How a connection is made. */
struct ClientConnectionOptions {
    Core::Endpoint endpoint;
    /** Sent bytes that stay unacknowledged for this long break the connection; where it is short, after a few round trips already. */
    Core::Duration acknowledgementTimeout{Core::milliseconds(1500)};
    /** A connection that is not up after this long ends. Nothing where the owner looks after that. */
    std::optional<Core::Duration> connectLimit;
    /** Whether bytes that were sent on a socket are not acknowledged yet. */
    std::function<bool(const Socket &socket)> awaitsAcknowledgement{&Socket::awaitsAcknowledgement};
    /**
     * A server that has as many connections as it takes accepts one more and resets it at once. Requests wait on a new connection until that
     * reset would be here, a round trip and this margin, since one that was sent may have run. Nothing where servers have no such limit.
     */
    std::optional<Core::Duration> trialMargin;
    MessageLimits limits;
};

/** How long a machine that runs may take to acknowledge what is sent to it over such a round trip. */
[[nodiscard]] Core::Duration acknowledgementLimit(Core::Duration roundTrip);

/** Connects at once; the first request may be sent before the connection is up. */
class ClientConnection : public Core::EventHandler, public std::enable_shared_from_this<ClientConnection>
{
public:
    [[nodiscard]] static Core::Result<std::shared_ptr<ClientConnection>> create(
        ClientConnectionOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    ~ClientConnection() override;

    /** Only on a connection that is idle and has not carried a request of this key. */
    void send(ClientRequest request);

    /** Whether a request of this key was sent here before; its answer may yet come a second time. */
    [[nodiscard]] bool hasSent(const std::string &key) const;

    /** Ends the connection and drops the request under way without calling its hook. */
    void close();

    /** Takes the request back if none of it has left, and keeps the connection. Returns whether that was so; the result hook is not called then. */
    [[nodiscard]] bool withdraw();

    /** Whether a request may be sent now. */
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] bool isConnected() const;
    [[nodiscard]] bool isClosed() const;
    /** Requests that were answered on this connection. */
    [[nodiscard]] std::uint64_t answered() const;
    /** Until when the server may be taken to keep it while idle. */
    [[nodiscard]] Core::Instant idleUntil() const;
    [[nodiscard]] Core::Instant lastUsed() const;
    /** How long connecting took; 0 before it is up. */
    [[nodiscard]] Core::Duration connectTime() const;

    /** Called once the connection can't be used any more, after the result hook. */
    std::function<void()> closed;

    void handleEvents(std::uint32_t events) override;

private:
    ClientConnection(ClientConnectionOptions options, Socket socket, Core::EventPoll &poll, Core::TimerService &timers);
    void connected();
    void endTrial();
    void connectionRejected(const std::string &reason);
    void writeFirst();
    void writeMore();
    void writeFailed(Transfer transfer);
    void watchForSilence();
    void connectTimedOut();
    void startResponse();
    void readMore();
    void parse();
    void responseWhole();
    void finish(ClientResult result, bool keep);
    void fail(const std::string &reason);
    void noteKeepAlive(const Response &response);
    void setWantsWrite(bool wants);

    ClientConnectionOptions options;
    Socket socket;
    Core::EventPoll &poll;
    Core::TimerService &timers;
    MessageParser parser;
    std::string output;
    std::size_t written{0};
    std::string input;
    std::function<bool(const Response &response)> recognise;
    // Of the request under way; see ClientRequest.
    bool isHead{false};
    // Invariant: set exactly while a request is under way.
    std::function<void(ClientResult result)> done;
    // Hashes of the keys of all requests that were sent here, in their order. Invariant: none is forgotten, and none stands twice.
    std::vector<std::size_t> carried;
    // Requests may be sent.
    bool up{false};
    // The server has accepted the connection, and the trial is on.
    bool accepted{false};
    bool gone{false};
    bool unacknowledged{false};
    bool wantsWrite{true};
    std::uint64_t answers{0};
    Core::Instant startedAt;
    Core::Instant lastUse;
    Core::Instant keptUntil;
    Core::Duration connecting{0};
    Core::TimerSubscription trialTimer;
    Core::TimerSubscription failTimer;
    // Active while a request is under way whose silence the system would notice too late.
    Core::TimerSubscription silenceTimer;
    Core::TimerSubscription connectTimer;
};

}
