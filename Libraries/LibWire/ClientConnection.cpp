/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/ClientConnection.h>

#include <LibCore/Invariant.h>
#include <LibCore/Settings.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <functional>
#include <sys/epoll.h>
#include <utility>

namespace Wire
{

static constexpr std::size_t ReadLimitBytes = 256 * 1024;
// Assumed idle timeout of a server that does not state one in a Keep-Alive header.
static constexpr Core::Duration DefaultIdleTimeout = Core::seconds(30);
// Servers state the idle timeout in whole seconds; a server that sends "timeout=5" may close the connection slightly earlier.
static constexpr Core::Duration IdleMargin = Core::milliseconds(700);
// The system detects a missing acknowledgement no sooner than this after a send, even when TCP_USER_TIMEOUT is shorter.
static constexpr Core::Duration MinimumRetransmissionTimeout = Core::milliseconds(200);
// A running machine acknowledges within one round trip. Further round trips and the margin allow for saturated links.
static constexpr int RoundTripsToAcknowledgement = 4;
static constexpr Core::Duration AcknowledgementMargin = Core::milliseconds(20);
// Added to the round trip before the first check.
static constexpr Core::Duration EarliestCheckMargin = Core::milliseconds(2);
// The limit is divided into this many checks. A check that runs late by its own period does not count, so the time in which this process did not run is not
// taken for time in which the other machine was silent.
static constexpr int AcknowledgementChecks = 4;
// A connection closes after this many requests, since it stores the key hashes of all of them: at most 8 KiB, at the cost of one new connection per
// thousand sends.
static constexpr std::size_t RequestsPerConnection = 1024;

// A server that repeats each of its responses stays below this. One that sends them without end does not.
static constexpr std::size_t SurplusResponsesPerRequest = 2;
static constexpr std::size_t SurplusAllowance = 8;

Core::Duration acknowledgementLimit(Core::Duration roundTrip)
{
    return RoundTripsToAcknowledgement * roundTrip + AcknowledgementMargin;
}

Core::Result<std::shared_ptr<ClientConnection>> ClientConnection::create(ClientConnectionOptions options, Core::EventPoll &poll, Core::TimerService &timers)
{
    auto socket = Socket::connectTo(options.endpoint, options.acknowledgementTimeout);
    if (!socket.has_value()) {
        return tl::make_unexpected(socket.error());
    }
    const int descriptor = socket->number();
    std::shared_ptr<ClientConnection> connection(new ClientConnection(std::move(options), std::move(socket.value()), poll, timers));
    poll.add(descriptor, EPOLLIN | EPOLLOUT | EPOLLRDHUP, connection);
    if (const auto limit = connection->options.connectLimit; limit.has_value()) {
        connection->connectTimer = timers.once(limit.value(), [raw = connection.get()](Core::Instant) {
            raw->connectTimedOut();
        });
    }
    return connection;
}

ClientConnection::ClientConnection(ClientConnectionOptions options, Socket socket, Core::EventPoll &poll, Core::TimerService &timers)
    : options(std::move(options))
    , socket(std::move(socket))
    , poll(poll)
    , timers(timers)
    , parser(MessageKind::Response, this->options.limits)
    , startedAt(timers.now())
    , lastUse(this->startedAt)
    , keptAliveUntil(this->startedAt + DefaultIdleTimeout)
{
}

ClientConnection::~ClientConnection()
{
    this->reportHeld(0);
}

void ClientConnection::send(ClientRequest request)
{
    Core::verify(this->isIdle(), "requests are sent on idle connections only");
    Core::verify(!this->hasSent(request.key), "each key is sent at most once per connection");
    this->sentKeyHashes.push_back(std::hash<std::string>{}(request.key));
    this->output = std::move(request.bytes);
    this->written = 0;
    this->recognise = std::move(request.recognise);
    this->done = std::move(request.done);
    this->mayConfirm = std::move(request.mayConfirm);
    this->confirmed = false;
    this->isHead = request.isHead;
    this->startResponse();
    this->lastUse = this->timers.now();
    if (!this->ready) {
        return;
    }
    if (request.verifyOpen && this->socket.hasEnded()) {
        this->endedBeforeSend = true;
        this->failTimer = this->timers.once(Core::Duration(0), [this](Core::Instant) {
            this->failUnsent();
        });
        return;
    }
    this->writeFirst();
}

// The server has ended a kept connection and the event loop has not processed that yet. A request that was written now would have to be assumed to have run.
// Like a failed write, this is reported from the event loop.
void ClientConnection::failUnsent()
{
    this->endedWhileIdle = this->timers.now() < this->keptAliveUntil;
    this->finish(ClientResult{.end = ClientEnd::NotSent, .response = {}, .reason = "the server closed the connection before the send"}, false);
}

// The write fails when the server has reset the connection unnoticed. The failure is reported from the event loop and not from within send(), since
// the sender can only assign it to the request once send() has returned.
void ClientConnection::writeFirst()
{
    const auto transfer = this->socket.write(this->output, this->written);
    if (transfer == Transfer::Open) {
        this->setWantsWrite(this->written < this->output.size());
        this->startAcknowledgementTimer();
        return;
    }
    this->failTimer = this->timers.once(Core::Duration(0), [this, transfer](Core::Instant) {
        this->writeFailed(transfer);
    });
}

void ClientConnection::startAcknowledgementTimer()
{
    if (this->options.acknowledgementTimeout >= MinimumRetransmissionTimeout || !this->done) {
        return;
    }
    const auto limit = std::min(this->options.acknowledgementTimeout, acknowledgementLimit(this->connectDuration));
    this->acknowledgementChecksLeft = AcknowledgementChecks;
    const auto period = limit / AcknowledgementChecks;
    // The acknowledgement can't be there before a round trip has passed.
    this->scheduleAcknowledgementCheck(std::max(period, this->connectDuration + EarliestCheckMargin), period);
}

void ClientConnection::scheduleAcknowledgementCheck(Core::Duration delay, Core::Duration period)
{
    const auto dueAt = this->timers.now() + delay;
    this->acknowledgementTimer = this->timers.once(delay, [this, period, dueAt](Core::Instant now) {
        // After this process was held up, the reply may be there unread, or come from a process on the same machine that was held up as well.
        const bool wasHeldUp = now - dueAt >= period;
        this->acknowledgementChecksLeft -= wasHeldUp ? 0 : 1;
        this->checkAcknowledgement(period);
    });
}

void ClientConnection::checkAcknowledgement(Core::Duration period)
{
    if (!this->done) {
        return;
    }
    const bool isAcknowledged = !this->options.awaitsAcknowledgement(this->socket);
    if (isAcknowledged && this->confirm()) {
        return;
    }
    if (this->acknowledgementChecksLeft > 0) {
        this->scheduleAcknowledgementCheck(period, period);
        return;
    }
    if (isAcknowledged) {
        return;
    }
    this->unacknowledged = true;
    // The reset discards the bytes in transit. After an orderly close the system would retransmit them, and a machine that recovers seconds
    // later would run the request.
    this->socket.resetOnClose();
    this->fail("sent bytes were not acknowledged in time");
}

bool ClientConnection::confirm()
{
    if (!this->mayConfirm || this->confirmed) {
        return true;
    }
    const bool isWritten = this->written == this->output.size();
    if (!isWritten || !this->mayConfirm()) {
        return false;
    }
    this->confirmed = true;
    std::size_t offset = 0;
    // A failed write is noticed when the response is read.
    (void)this->socket.write(Confirmation, offset);
    return true;
}

bool ClientConnection::hasSent(const std::string &key) const
{
    return std::find(this->sentKeyHashes.begin(), this->sentKeyHashes.end(), std::hash<std::string>{}(key)) != this->sentKeyHashes.end();
}

bool ClientConnection::isIdle() const
{
    return !this->hasClosed && !this->done;
}

bool ClientConnection::isConnected() const
{
    return this->ready && !this->endedBeforeSend;
}

bool ClientConnection::isClosed() const
{
    return this->hasClosed;
}

bool ClientConnection::endedUnexpectedlyWhileIdle() const
{
    return this->endedWhileIdle;
}

std::uint64_t ClientConnection::answered() const
{
    return this->answerCount;
}

Core::Instant ClientConnection::idleUntil() const
{
    return this->keptAliveUntil;
}

Core::Instant ClientConnection::lastUsed() const
{
    return this->lastUse;
}

Core::Duration ClientConnection::connectTime() const
{
    return this->connectDuration;
}

void ClientConnection::close()
{
    if (this->hasClosed) {
        return;
    }
    const auto keepAlive = this->shared_from_this();
    this->hasClosed = true;
    this->reportHeld(0);
    this->done = nullptr;
    this->recognise = nullptr;
    this->mayConfirm = nullptr;
    this->trialTimer.cancel();
    this->failTimer.cancel();
    this->acknowledgementTimer.cancel();
    this->connectTimer.cancel();
    this->poll.remove(this->socket.number());
    this->socket = Socket();
    const auto hook = std::exchange(this->closed, nullptr);
    if (hook) {
        hook();
    }
}

bool ClientConnection::withdraw()
{
    if (this->hasClosed || this->isConnected() || !this->done) {
        return false;
    }
    this->output.clear();
    this->written = 0;
    this->done = nullptr;
    this->recognise = nullptr;
    this->mayConfirm = nullptr;
    this->sentKeyHashes.pop_back();
    return true;
}

void ClientConnection::handleEvents(std::uint32_t events)
{
    if (this->endedBeforeSend) {
        this->failUnsent();
        return;
    }
    if (this->inTrial) {
        this->connectionRejected("the server reset the new connection");
        return;
    }
    if (!this->ready) {
        this->handleConnected();
        if (this->hasClosed || !this->ready) {
            return;
        }
    }
    if ((events & EPOLLOUT) != 0) {
        this->writeMore();
    }
    if (!this->hasClosed && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
        this->readMore();
    }
}

void ClientConnection::connectTimedOut()
{
    if (!this->ready && !this->inTrial) {
        this->connectFailed(ETIMEDOUT, "connect: not established within the connect limit");
    }
}

void ClientConnection::connectFailed(int error, const std::string &reason)
{
    const auto hook = std::exchange(this->connectEnded, nullptr);
    this->finish(ClientResult{.end = ClientEnd::NotSent, .response = {}, .reason = reason}, false);
    if (hook) {
        hook(error);
    }
}

void ClientConnection::handleConnected()
{
    this->connectTimer.cancel();
    const int error = this->socket.connectError();
    if (error != 0) {
        this->connectFailed(error, std::string("connect: ") + std::strerror(error));
        return;
    }
    this->connectDuration = this->timers.now() - this->startedAt;
    if (this->options.trialMargin.has_value()) {
        this->startTrial();
    } else {
        this->ready = true;
    }
    const auto hook = std::exchange(this->connectEnded, nullptr);
    if (hook) {
        hook(0);
    }
}

void ClientConnection::startTrial()
{
    this->inTrial = true;
    this->setWantsWrite(false);
    const auto trial = this->connectDuration + this->options.trialMargin.value();
    this->trialTimer = this->timers.once(trial, [this](Core::Instant) {
        this->endTrial();
    });
}

void ClientConnection::endTrial()
{
    const auto keepAlive = this->shared_from_this();
    this->inTrial = false;
    this->ready = true;
    if (this->done) {
        this->writeMore();
    }
}

// Anything that the server does before the first request ends the connection. The waiting request can't have run, since only a request that was sent
// may have run.
void ClientConnection::connectionRejected(const std::string &reason)
{
    this->finish(ClientResult{.end = ClientEnd::ConnectionRejected, .response = {}, .reason = reason}, false);
}

void ClientConnection::writeMore()
{
    const auto transfer = this->socket.write(this->output, this->written);
    if (transfer != Transfer::Open) {
        this->writeFailed(transfer);
        return;
    }
    this->setWantsWrite(this->written < this->output.size());
    this->startAcknowledgementTimer();
}

void ClientConnection::writeFailed(Transfer transfer)
{
    this->unacknowledged = transfer == Transfer::Unacknowledged;
    this->fail("the connection failed while the request was being sent");
}

void ClientConnection::setWantsWrite(bool wants)
{
    if (wants == this->wantsWrite) {
        return;
    }
    this->wantsWrite = wants;
    const auto reading = static_cast<std::uint32_t>(EPOLLIN | EPOLLRDHUP);
    this->poll.modify(this->socket.number(), wants ? reading | static_cast<std::uint32_t>(EPOLLOUT) : reading);
}

void ClientConnection::startResponse()
{
    this->parser.reset(this->options.limits);
    if (this->isHead) {
        this->parser.expectNoBody();
    }
}

void ClientConnection::readMore()
{
    const auto transfer = this->socket.read(this->input, ReadLimitBytes);
    const bool isUnsolicited = !this->done && !this->input.empty();
    if (isUnsolicited) {
        // Bytes that arrive without a request in flight belong to no request, and neither do the bytes after them, so the connection is unusable.
        this->close();
        return;
    }
    this->parse();
    if (this->done) {
        this->reportHeld(this->parser.bodyBytes() + this->input.size());
    }
    if (this->done && this->options.receiveBudget && this->options.receiveBudget->isExceededBy(this->heldBytes)) {
        this->failMalformed("unfinished responses take more memory than they may");
    }
    if (this->hasClosed || transfer == Transfer::Open) {
        return;
    }
    if (transfer == Transfer::Ended && this->done) {
        // The end of the stream completes a response that declares no length; a reset never does.
        this->parser.feedEnd();
        if (this->parser.state() == ParseState::Complete) {
            this->handleResponse();
        }
    }
    if (this->hasClosed) {
        return;
    }
    this->unacknowledged = transfer == Transfer::Unacknowledged;
    if (this->unacknowledged) {
        this->fail("sent bytes were not acknowledged in time");
    } else {
        this->fail(transfer == Transfer::Ended ? "the server closed the connection" : "the connection was reset");
    }
}

void ClientConnection::reportHeld(std::size_t bytes)
{
    if (this->options.receiveBudget) {
        this->options.receiveBudget->replace(this->heldBytes, bytes);
        this->heldBytes = bytes;
    }
}

static const char *malformedReason(ParseState state)
{
    switch (state) {
    case ParseState::HeadersTooLarge:
        return "the head of the response is too large";
    case ParseState::BodyTooLarge:
        return "the body of the response is too large";
    default:
        return "the response violates the grammar of HTTP";
    }
}

void ClientConnection::parse()
{
    while (!this->hasClosed && this->done && !this->input.empty()) {
        const std::size_t consumed = this->parser.feed(this->input);
        this->input.erase(0, consumed);
        if (this->parser.state() == ParseState::Partial) {
            return;
        }
        if (this->parser.state() != ParseState::Complete) {
            this->failMalformed(malformedReason(this->parser.state()));
            return;
        }
        this->handleResponse();
    }
}

void ClientConnection::handleResponse()
{
    const bool serverKeepsAlive = this->parser.keepsConnection();
    Response response = this->parser.extractResponse();
    if (this->recognise && !this->recognise(response)) {
        if (!serverKeepsAlive) {
            this->failMalformed("the response belongs to another request");
            return;
        }
        ++this->surplusCount;
        if (this->surplusCount > SurplusResponsesPerRequest * this->sentKeyHashes.size() + SurplusAllowance) {
            this->failMalformed("too many responses belong to no request");
            return;
        }
        // This is a surplus response to an earlier request; the response to the current one may still follow.
        this->startResponse();
        return;
    }
    ++this->answerCount;
    this->applyKeepAlive(response);
    // If the response arrived before the whole request was written, the server is still reading it and would take the next request for its rest.
    const bool requestWritten = this->written == this->output.size();
    const bool belowRequestLimit = this->sentKeyHashes.size() < RequestsPerConnection;
    const bool keep = serverKeepsAlive && requestWritten && belowRequestLimit && this->input.empty();
    this->finish(ClientResult{.end = ClientEnd::Answered, .response = std::move(response), .reason = {}}, keep);
}

void ClientConnection::applyKeepAlive(const Response &response)
{
    this->lastUse = this->timers.now();
    this->keptAliveUntil = this->lastUse + DefaultIdleTimeout;
    const auto *value = findHeader(response.headers, "Keep-Alive");
    if (value == nullptr) {
        return;
    }
    const auto position = value->find("timeout=");
    if (position == std::string::npos) {
        return;
    }
    const std::string digits = value->substr(position + 8, value->find_first_not_of("0123456789", position + 8) - position - 8);
    const auto timeout = Core::parseInteger(digits, 0, 86'400);
    if (timeout.has_value()) {
        this->keptAliveUntil = this->lastUse + std::max(Core::Duration(0), Core::Duration(Core::seconds(timeout.value())) - IdleMargin);
    }
}

void ClientConnection::finish(ClientResult result, bool keep)
{
    const auto keepAlive = this->shared_from_this();
    const auto hook = std::exchange(this->done, nullptr);
    this->reportHeld(0);
    this->recognise = nullptr;
    this->mayConfirm = nullptr;
    result.confirmed = this->confirmed;
    this->acknowledgementTimer.cancel();
    if (!keep) {
        this->hasClosed = true;
        this->trialTimer.cancel();
        this->failTimer.cancel();
        this->connectTimer.cancel();
        this->poll.remove(this->socket.number());
        this->socket = Socket();
    }
    if (hook) {
        hook(std::move(result));
    }
    if (!keep) {
        const auto closedHook = std::exchange(this->closed, nullptr);
        if (closedHook) {
            closedHook();
        }
    }
}

void ClientConnection::failMalformed(const std::string &reason)
{
    this->finish(ClientResult{.end = ClientEnd::Malformed, .response = {}, .reason = reason}, false);
}

void ClientConnection::fail(const std::string &reason)
{
    const auto end = this->unacknowledged ? ClientEnd::Unacknowledged : ClientEnd::Broken;
    this->endedWhileIdle = !this->done && !this->unacknowledged && this->timers.now() < this->keptAliveUntil;
    this->finish(ClientResult{.end = end, .response = {}, .reason = reason}, false);
}

}
