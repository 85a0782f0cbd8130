/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/ClientConnection.h>

#include <LibCore/Invariant.h>
#include <LibCore/Settings.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <sys/epoll.h>
#include <utility>

namespace Wire
{

static constexpr std::size_t ReadLimitBytes = 256 * 1024;
// A server that does not say how long it keeps idle connections is taken to do so for this long.
static constexpr Core::Duration DefaultIdleTime = Core::seconds(30);
// Servers tell whole seconds; one that says "timeout=5" may close a little earlier.
static constexpr Core::Duration IdleMargin = Core::milliseconds(700);
// The system looks for missing acknowledgements no sooner than this after a send, whatever limit it is told.
static constexpr Core::Duration ShortestRetransmission = Core::milliseconds(200);
// A machine that runs acknowledges within a round trip; some more, and a margin for full links.
static constexpr int RoundTripsToAcknowledgement = 4;
static constexpr Core::Duration AcknowledgementMargin = Core::milliseconds(20);
// A connection ends after so many requests, so that it can know all of their keys: 8 KiB, for one new connection in a thousand sends.
static constexpr std::size_t RequestsPerConnection = 1024;

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
    , keptUntil(this->startedAt + DefaultIdleTime)
{
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::send(ClientRequest request)
{
    Core::verify(this->isIdle(), "a request is sent on an idle connection only");
    Core::verify(!this->hasSent(request.key), "no key goes over the same connection twice");
    this->carried.push_back(std::hash<std::string>{}(request.key));
    this->output = std::move(request.bytes);
    this->written = 0;
    this->recognise = std::move(request.recognise);
    this->done = std::move(request.done);
    this->isHead = request.isHead;
    this->startResponse();
    this->lastUse = this->timers.now();
    if (this->up) {
        this->writeFirst();
    }
}

// The server may have reset the connection unnoticed. That is told from the loop, when the sender knows the send that it is told of.
void ClientConnection::writeFirst()
{
    const auto transfer = this->socket.write(this->output, this->written);
    if (transfer == Transfer::Open) {
        this->setWantsWrite(this->written < this->output.size());
        this->watchForSilence();
        return;
    }
    this->failTimer = this->timers.once(Core::Duration(0), [this, transfer](Core::Instant) {
        this->writeFailed(transfer);
    });
}

void ClientConnection::watchForSilence()
{
    if (this->options.acknowledgementTimeout >= ShortestRetransmission || !this->done) {
        return;
    }
    const auto limit = std::min(this->options.acknowledgementTimeout, acknowledgementLimit(this->connecting));
    this->silenceTimer = this->timers.once(limit, [this](Core::Instant) {
        if (this->done && this->options.awaitsAcknowledgement(this->socket)) {
            this->unacknowledged = true;
            // What is on its way is dropped. After an orderly close the system would go on to deliver it, to a machine that comes back seconds later.
            this->socket.resetOnClose();
            this->fail("what was sent stayed unacknowledged");
        }
    });
}

bool ClientConnection::hasSent(const std::string &key) const
{
    return std::find(this->carried.begin(), this->carried.end(), std::hash<std::string>{}(key)) != this->carried.end();
}

bool ClientConnection::isIdle() const
{
    return !this->gone && !this->done;
}

bool ClientConnection::isConnected() const
{
    return this->up;
}

bool ClientConnection::isClosed() const
{
    return this->gone;
}

std::uint64_t ClientConnection::answered() const
{
    return this->answers;
}

Core::Instant ClientConnection::idleUntil() const
{
    return this->keptUntil;
}

Core::Instant ClientConnection::lastUsed() const
{
    return this->lastUse;
}

Core::Duration ClientConnection::connectTime() const
{
    return this->connecting;
}

void ClientConnection::close()
{
    if (this->gone) {
        return;
    }
    const auto keepAlive = this->shared_from_this();
    this->gone = true;
    this->done = nullptr;
    this->recognise = nullptr;
    this->trialTimer.cancel();
    this->failTimer.cancel();
    this->silenceTimer.cancel();
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
    if (this->gone || this->up || !this->done) {
        return false;
    }
    this->output.clear();
    this->written = 0;
    this->done = nullptr;
    this->recognise = nullptr;
    this->carried.pop_back();
    return true;
}

void ClientConnection::handleEvents(std::uint32_t events)
{
    if (this->accepted) {
        this->connectionRejected("the server reset the new connection");
        return;
    }
    if (!this->up) {
        this->connected();
        if (this->gone || !this->up) {
            return;
        }
    }
    if ((events & EPOLLOUT) != 0) {
        this->writeMore();
    }
    if (!this->gone && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
        this->readMore();
    }
}

void ClientConnection::connectTimedOut()
{
    if (!this->up && !this->accepted) {
        this->finish(ClientResult{.end = ClientEnd::NotSent, .response = {}, .reason = "connect: no answer in time"}, false);
    }
}

void ClientConnection::connected()
{
    this->connectTimer.cancel();
    const int error = this->socket.connectError();
    if (error != 0) {
        this->finish(ClientResult{.end = ClientEnd::NotSent, .response = {}, .reason = std::string("connect: ") + std::strerror(error)}, false);
        return;
    }
    this->connecting = this->timers.now() - this->startedAt;
    if (!this->options.trialMargin.has_value()) {
        this->up = true;
        return;
    }
    this->accepted = true;
    this->setWantsWrite(false);
    const auto trial = this->connecting + this->options.trialMargin.value();
    this->trialTimer = this->timers.once(trial, [this](Core::Instant) {
        this->endTrial();
    });
}

void ClientConnection::endTrial()
{
    const auto keepAlive = this->shared_from_this();
    this->accepted = false;
    this->up = true;
    if (this->done) {
        this->writeMore();
    }
}

// Anything that the server does before a request is there ends the connection; only a request that was sent may have run.
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
    this->watchForSilence();
}

void ClientConnection::writeFailed(Transfer transfer)
{
    this->unacknowledged = transfer == Transfer::Unacknowledged;
    this->fail("the connection broke while the request was sent");
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
    const bool surplus = !this->done && !this->input.empty();
    if (surplus) {
        // Bytes that nobody asked for belong to no request, and neither does what follows them.
        this->close();
        return;
    }
    this->parse();
    if (this->gone || transfer == Transfer::Open) {
        return;
    }
    if (transfer == Transfer::Ended && this->done) {
        // The end of the stream may end a response that names no length; a reset never does.
        this->parser.feedEnd();
        if (this->parser.state() == ParseState::Complete) {
            this->responseWhole();
        }
    }
    if (this->gone) {
        return;
    }
    this->unacknowledged = transfer == Transfer::Unacknowledged;
    if (this->unacknowledged) {
        this->fail("what was sent stayed unacknowledged");
    } else {
        this->fail(transfer == Transfer::Ended ? "the server closed the connection" : "the connection was reset");
    }
}

void ClientConnection::parse()
{
    while (!this->gone && this->done && !this->input.empty()) {
        const std::size_t consumed = this->parser.feed(this->input);
        this->input.erase(0, consumed);
        if (this->parser.state() == ParseState::Partial) {
            return;
        }
        if (this->parser.state() != ParseState::Complete) {
            this->fail("the bytes are no response");
            return;
        }
        this->responseWhole();
    }
}

void ClientConnection::responseWhole()
{
    const bool serverKeeps = this->parser.keepsConnection();
    Response response = this->parser.extractResponse();
    if (this->recognise && !this->recognise(response)) {
        if (!serverKeeps) {
            this->fail("the answer belongs to another request");
            return;
        }
        // A surplus answer to an earlier request; the right one may still follow.
        this->startResponse();
        return;
    }
    ++this->answers;
    this->noteKeepAlive(response);
    // An answer that came before the request was out leaves the server reading: what is sent next would be taken for its rest.
    const bool requestOut = this->written == this->output.size();
    const bool mayCarryMore = this->carried.size() < RequestsPerConnection;
    const bool keep = serverKeeps && requestOut && mayCarryMore && this->input.empty();
    this->finish(ClientResult{.end = ClientEnd::Answered, .response = std::move(response), .reason = {}}, keep);
}

void ClientConnection::noteKeepAlive(const Response &response)
{
    this->lastUse = this->timers.now();
    this->keptUntil = this->lastUse + DefaultIdleTime;
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
        this->keptUntil = this->lastUse + std::max(Core::Duration(0), Core::Duration(Core::seconds(timeout.value())) - IdleMargin);
    }
}

void ClientConnection::finish(ClientResult result, bool keep)
{
    const auto keepAlive = this->shared_from_this();
    const auto hook = std::exchange(this->done, nullptr);
    this->recognise = nullptr;
    this->silenceTimer.cancel();
    if (!keep) {
        this->gone = true;
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

void ClientConnection::fail(const std::string &reason)
{
    const auto end = this->unacknowledged ? ClientEnd::Unacknowledged : ClientEnd::Broken;
    this->finish(ClientResult{.end = end, .response = {}, .reason = reason}, false);
}

}
