/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A persistent HTTP/1.1 connection from a client to one server, with at most one
// request in flight. The connection never sends a request twice by itself. A
// response counts only when the owner of the request recognises it, by the key of
// the request, as the response to that request. Each key is sent at most once per
// connection: otherwise a second, late response to the first request with a key
// would be taken for the response to the next request with the same key.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/TimerService.h>
#include <LibWire/MessageParser.h>
#include <LibWire/ReceiveBudget.h>
#include <LibWire/Socket.h>

#include <functional>
#include <memory>
#include <vector>

namespace Wire
{

/** How a request on a connection ended. */
enum class ClientEnd {
    /** A complete response has arrived. */
    Answered,
    /** The connection was not established, or had ended before the send, so the server can't have received the request. */
    NotSent,
    /** The server accepted the connection and reset it before a request was sent on it. A server does so at its connection limit. */
    ConnectionRejected,
    /** The connection failed before a response to the request had arrived. The request may have run. */
    Broken,
    /** What arrived is no valid response to the request, or too large a one. The request may have run. */
    Malformed,
    /** Like Broken, but sent bytes stayed unacknowledged: the server's machine has most likely never received the request. */
    Unacknowledged,
};

/** Passed to the owner of a request when the request has ended. */
struct ClientResult {
    ClientEnd end{ClientEnd::Broken};
    Response response;
    /** For log lines; empty when the request was answered. */
    std::string reason;
    /** The server may have been told that the request was acknowledged; see ClientRequest::mayConfirm. */
    bool confirmed{false};
};

/** A request, and how its response is recognised. */
struct ClientRequest {
    /** The serialized request. */
    std::string bytes;
    /** Identifies the response for `recognise`; the responses to two requests with the same key can't be told apart. */
    std::string key;
    /** The method of the request is HEAD, so that the response has no body, whatever length it declares. */
    bool isHead{false};
    /** Whether it is checked before the write if the server has ended the connection, which takes a system call. */
    bool verifyOpen{false};
    /**
     * If set, the server is told by an empty line after the request that its acknowledgement has arrived, so that it knows that the request will not fail as
     * Unacknowledged. That takes place when the acknowledgement is checked and the hook returns true.
     */
    std::function<bool()> mayConfirm;
    /** Returns whether a response belongs to the request. A response that does not is discarded. */
    std::function<bool(const Response &response)> recognise;
    /** Called once, unless close() or withdraw() ends the request before. */
    std::function<void(ClientResult result)> done;
};

/** Options of a new connection. */
struct ClientConnectionOptions {
    Core::Endpoint endpoint;
    /** The connection fails when sent bytes stay unacknowledged for this long. Below 200 ms, it fails after acknowledgementLimit() if that is shorter. */
    Core::Duration acknowledgementTimeout{Core::milliseconds(1500)};
    /** The connection fails when it is not established after this long. Empty when the owner enforces a limit itself. */
    std::optional<Core::Duration> connectLimit;
    /** Returns whether sent bytes of a socket are not acknowledged yet. Tests replace it. */
    std::function<bool(const Socket &socket)> awaitsAcknowledgement{&Socket::awaitsAcknowledgement};
    /**
     * A server at its connection limit accepts one more connection and resets it at once. A request that was sent before the reset arrives may have
     * run. Requests therefore wait on a new connection for a trial period: the round trip after which the reset would have arrived, and this margin.
     * Empty for servers without such a limit; there is no trial period then.
     */
    std::optional<Core::Duration> trialMargin;
    MessageLimits limits;
    /** Memory for unfinished responses, shared with other connections; may be nullptr. */
    std::shared_ptr<ReceiveBudget> receiveBudget;
};

/** The longest time that a running machine may take to acknowledge sent bytes, given the round-trip time to it. */
[[nodiscard]] Core::Duration acknowledgementLimit(Core::Duration roundTrip);

/** Connects on creation. The first request may be passed to send() before the connection is established. */
class ClientConnection : public Core::EventHandler, public std::enable_shared_from_this<ClientConnection>
{
public:
    /** Fails with the error of Socket::connectTo(). */
    [[nodiscard]] static Core::Result<std::shared_ptr<ClientConnection>> create(
        ClientConnectionOptions options, Core::EventPoll &poll, Core::TimerService &timers);
    ~ClientConnection() override;

    /** Sends a request. The connection must be idle and must not have sent a request with this key. */
    void send(ClientRequest request);

    /** Returns whether a request with this key was sent on this connection. A second response to it may still arrive. */
    [[nodiscard]] bool hasSent(const std::string &key) const;

    /** Closes the connection and cancels the request in flight without calling its `done` hook. */
    void close();

    /** Cancels the request if none of its bytes were sent, and keeps the connection. Returns whether it did so; the `done` hook is not called then. */
    [[nodiscard]] bool withdraw();

    /** Returns whether a request may be sent now. */
    [[nodiscard]] bool isIdle() const;
    /** Returns whether the connection is established, its trial period is over, and the request in flight, if any, was written or is about to be. */
    [[nodiscard]] bool isConnected() const;
    [[nodiscard]] bool isClosed() const;
    /** Returns whether the server ended the connection while no request was in flight, earlier than it had announced. */
    [[nodiscard]] bool endedUnexpectedlyWhileIdle() const;
    /** Number of requests that were answered on this connection. */
    [[nodiscard]] std::uint64_t answered() const;
    /** The time until which the server can be expected to keep the connection open while it is idle. */
    [[nodiscard]] Core::Instant idleUntil() const;
    /** When the last request was sent or its response arrived; before the first request, when the connection was created. */
    [[nodiscard]] Core::Instant lastUsed() const;
    /** How long it took to establish the connection; 0 until then. */
    [[nodiscard]] Core::Duration connectTime() const;

    /** Called once when the connection can't be used any more, after the `done` hook of the request. */
    std::function<void()> closed;
    /** Called once when the server has accepted the connection, with 0, or when connecting has failed, with an errno value. Not called after close(). */
    std::function<void(int error)> connectEnded;

    void handleEvents(std::uint32_t events) override;

private:
    ClientConnection(ClientConnectionOptions options, Socket socket, Core::EventPoll &poll, Core::TimerService &timers);
    void handleConnected();
    void startTrial();
    void endTrial();
    void connectionRejected(const std::string &reason);
    void writeFirst();
    void writeMore();
    void writeFailed(Transfer transfer);
    void failUnsent();
    void startAcknowledgementTimer();
    void scheduleAcknowledgementCheck(Core::Duration delay, Core::Duration period);
    void checkAcknowledgement(Core::Duration period);
    /** Confirms the acknowledged request if that is wanted. Returns false if it is wanted and not possible yet. */
    [[nodiscard]] bool confirm();
    void connectTimedOut();
    void connectFailed(int error, const std::string &reason);
    void startResponse();
    void readMore();
    /** Reports to the receive budget what this connection holds, in bytes. */
    void reportHeld(std::size_t bytes);
    void parse();
    void handleResponse();
    void finish(ClientResult result, bool keep);
    void fail(const std::string &reason);
    void failMalformed(const std::string &reason);
    void applyKeepAlive(const Response &response);
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
    std::function<bool()> mayConfirm;
    // The confirmation of the request in flight was written, or may have been.
    bool confirmed{false};
    // ClientRequest::isHead of the request in flight.
    bool isHead{false};
    // Invariant: set if and only if a request is in flight.
    std::function<void(ClientResult result)> done;
    // Hashes of the keys of all requests that were sent on this connection, in the order of sending. Invariant: complete and without duplicates.
    std::vector<std::size_t> sentKeyHashes;
    // The connection is established and its trial period is over: requests are written to the socket.
    bool ready{false};
    // The connection is established and in its trial period: requests wait.
    bool inTrial{false};
    bool hasClosed{false};
    bool unacknowledged{false};
    bool endedWhileIdle{false};
    // The connection had ended when the request in flight was to be written. Invariant: nothing of that request was written.
    bool endedBeforeSend{false};
    bool wantsWrite{true};
    std::uint64_t answerCount{0};
    // Responses that belonged to no request in flight, on this connection so far.
    std::size_t surplusCount{0};
    // What was reported to the receive budget. Invariant: 0 unless a request is in flight.
    std::size_t heldBytes{0};
    Core::Instant startedAt;
    Core::Instant lastUse;
    Core::Instant keptAliveUntil;
    Core::Duration connectDuration{0};
    Core::TimerSubscription trialTimer;
    Core::TimerSubscription failTimer;
    // Active while a request is in flight whose missing acknowledgement the system would notice too late.
    Core::TimerSubscription acknowledgementTimer;
    // Number of further checks without an acknowledgement after which the request fails.
    int acknowledgementChecksLeft{0};
    Core::TimerSubscription connectTimer;
};

}
