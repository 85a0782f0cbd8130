/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/Server.h>

#include <LibCore/Log.h>

#include <sys/epoll.h>

namespace Wire
{

static constexpr int ListenBacklog = 512;
static constexpr std::size_t ReadLimitBytes = 64 * 1024;
// Maximum size of further requests that are buffered while a request is being answered.
static constexpr std::size_t PipelinedLimitBytes = 64 * 1024;
// How often timeouts are checked; a timeout is enforced to within this period.
static constexpr Core::Duration SweepPeriod = Core::milliseconds(250);
// How long a response is kept for a caller that takes no byte of it. Callers give up sooner.
static constexpr Core::Duration StalledWriteTimeout = Core::seconds(30);
// A request that a caller sent just before the idle timeout may still be on its way.
static constexpr Core::Duration IdleGracePeriod = Core::seconds(1);
// How long a connection waits, after its last response, for the other side to close it.
static constexpr Core::Duration LingerTimeout = Core::seconds(1);

const char *connectionEndName(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::ClosedByCaller:
        return "closed-by-caller";
    case ConnectionEnd::Broken:
        return "broken";
    case ConnectionEnd::ClosedHere:
        return "closed-here";
    }
    return "broken";
}

// ---- Exchange

Exchange::Exchange(std::weak_ptr<ServerConnection> connection) : connection(std::move(connection))
{
}

void Exchange::respond(const Response &response)
{
    if (!this->open) {
        return;
    }
    this->open = false;
    this->aborted = nullptr;
    this->confirmed = nullptr;
    if (const auto target = this->connection.lock()) {
        target->respond(response);
    }
}

bool Exchange::isOpen() const
{
    return this->open;
}

bool Exchange::isAwaited() const
{
    const auto target = this->connection.lock();
    return this->open && target && target->isConnected();
}

// ---- Server

Server::Server(ServerOptions options, Core::EventPoll &poll, Core::TimerService &timers) : options(std::move(options)), poll(poll), timers(timers)
{
}

Core::Result<std::shared_ptr<Server>> Server::create(ServerOptions options, Core::EventPoll &poll, Core::TimerService &timers)
{
    auto listener = Socket::listenOn(options.endpoint, ListenBacklog);
    if (!listener.has_value()) {
        return Core::failure(Core::ErrorKind::Unreachable, options.name + " " + options.endpoint.toString() + ": " + listener.error().message);
    }
    std::shared_ptr<Server> server(new Server(std::move(options), poll, timers));
    server->listener = std::move(listener.value());
    server->listening = true;
    // NOTE: EventPoll owns its handlers until they are removed. The server is only removed by stopListening(), at the latest in its destructor, which
    // would never run if EventPoll owned the server. EventPoll therefore gets a pointer that owns nothing.
    poll.add(server->listener.number(), EPOLLIN, std::shared_ptr<Core::EventHandler>(std::shared_ptr<Core::EventHandler>(), server.get()));
    return server;
}

Server::~Server()
{
    this->closeListener();
    const auto remaining = std::exchange(this->connections, {});
    for (const auto &[descriptor, connection] : remaining) {
        connection->close(ConnectionEnd::ClosedHere);
    }
}

void Server::setLimits(const ServerLimits &limits)
{
    this->options.limits = limits;
}

void Server::endConnectionsAfterResponse()
{
    this->draining = true;
}

std::vector<std::shared_ptr<ServerConnection>> Server::allConnections() const
{
    std::vector<std::shared_ptr<ServerConnection>> all;
    all.reserve(this->connections.size());
    for (const auto &[descriptor, connection] : this->connections) {
        all.push_back(connection);
    }
    return all;
}

void Server::closeIdleConnections(Core::Duration idleTime)
{
    for (const auto &connection : this->allConnections()) {
        connection->closeIfIdle(idleTime);
    }
}

void Server::rejectPartialRequests(const Response &response)
{
    for (const auto &connection : this->allConnections()) {
        connection->rejectPartial(response);
    }
}

void Server::answerOpenRequests(const Response &response)
{
    for (const auto &connection : this->allConnections()) {
        connection->answerOpen(response);
    }
}

void Server::stopListening()
{
    if (!this->listening) {
        return;
    }
    // The system resets the connections that are still in the listening queue when the listener is closed.
    this->accept();
    this->closeListener();
}

void Server::closeListener()
{
    if (!this->listening) {
        return;
    }
    this->listening = false;
    this->poll.remove(this->listener.number());
    this->listener = Socket();
}

std::size_t Server::connectionCount() const
{
    return this->connections.size();
}

ServerLoad Server::load() const
{
    ServerLoad load;
    for (const auto &[descriptor, connection] : this->connections) {
        if (connection->stage == ServerConnection::Stage::Answering) {
            ++load.answering;
        } else if (connection->written < connection->output.size()) {
            ++load.writing;
        } else if (connection->stage == ServerConnection::Stage::Lingering) {
            ++load.lingering;
        } else {
            ++(connection->isIdle() ? load.idle : load.receiving);
        }
    }
    return load;
}

const ServerCounters &Server::counters() const
{
    return this->counts;
}

void Server::handleEvents(std::uint32_t)
{
    this->accept();
}

void Server::accept()
{
    while (this->connections.size() < this->options.maximumConnections) {
        Socket accepted = this->listener.acceptOne();
        if (!accepted.isOpen()) {
            return;
        }
        ++this->counts.accepted;
        const int descriptor = accepted.number();
        const auto connection = std::make_shared<ServerConnection>(*this, std::move(accepted));
        this->connections[descriptor] = connection;
        this->poll.add(descriptor, EPOLLIN | EPOLLRDHUP, connection);
        this->startSweeps();
    }
    this->mayHaveQueuedConnections = true;
}

void Server::startSweeps()
{
    if (this->sweepTimer.isActive()) {
        return;
    }
    this->sweepTimer = this->timers.every(SweepPeriod, [this](Core::Instant) {
        this->sweep();
    });
}

void Server::sweep()
{
    const auto now = this->timers.now();
    for (const auto &connection : this->allConnections()) {
        connection->closeIfTimedOut(now);
    }
    if (this->listening && std::exchange(this->mayHaveQueuedConnections, false)) {
        this->accept();
    }
    if (this->connections.empty() && !this->mayHaveQueuedConnections) {
        this->sweepTimer.cancel();
    }
}

void Server::removeConnection(int descriptor)
{
    this->connections.erase(descriptor);
}

// ---- ServerConnection

ServerConnection::ServerConnection(Server &server, Socket socket)
    : server(&server)
    , socket(std::move(socket))
    , parser(MessageKind::Request, server.options.limits.message)
    , idleTimeout(server.options.limits.idleTimeout)
    , lastActivity(server.timers.now())
    , requestStartedAt(this->lastActivity)
{
}

bool ServerConnection::isIdle() const
{
    return this->stage == Stage::Reading && !this->parser.hasBegun() && this->input.empty() && this->written == this->output.size();
}

bool ServerConnection::isConnected() const
{
    return this->stage != Stage::Closed && !this->socket.hasEnded();
}

void ServerConnection::handleEvents(std::uint32_t events)
{
    if ((events & EPOLLERR) != 0 || (events & EPOLLHUP) != 0) {
        this->close((events & EPOLLERR) != 0 ? ConnectionEnd::Broken : ConnectionEnd::ClosedByCaller);
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        this->lastActivity = this->server->timers.now();
        this->writeMore();
    }
    if (this->stage != Stage::Closed && (events & (EPOLLIN | EPOLLRDHUP)) != 0) {
        this->readMore();
    }
}

void ServerConnection::readMore()
{
    const auto bytesBefore = this->input.size();
    const auto transfer = this->socket.read(this->input, ReadLimitBytes);
    const auto end = transfer == Transfer::Ended ? ConnectionEnd::ClosedByCaller : ConnectionEnd::Broken;
    if (this->stage == Stage::Lingering) {
        this->discardInput();
        if (transfer != Transfer::Open) {
            this->close(end);
        }
        return;
    }
    // The end of the stream means that the caller has disconnected: callers of this interface keep their side open while they wait for a response.
    if (transfer != Transfer::Open) {
        this->close(end);
        return;
    }
    if (this->input.size() == bytesBefore) {
        return;
    }
    this->lastActivity = this->server->timers.now();
    if (this->server->options.acknowledgesAtOnce) {
        this->socket.acknowledge();
    }
    this->parse();
    this->takeConfirmation();
}

// These bytes crossed the end of the connection, or a caller ignores it.
void ServerConnection::discardInput()
{
    if (!this->input.empty() && !std::exchange(this->hasDiscarded, true)) {
        ++this->server->counts.discarded;
        Core::logEvent(Core::LogLevel::Information,
            "request.crossed_close",
            {{"server", this->server->options.name},
                {"bytes", this->input.size()},
                {"cause", this->endedIdle ? "idle" : "response"},
                {"after_ms", Core::toMilliseconds(this->server->timers.now() - this->lastActivity)}});
    }
    this->input.clear();
}

void ServerConnection::takeConfirmation()
{
    if (this->stage != Stage::Answering || !this->input.starts_with(Confirmation)) {
        return;
    }
    this->input.erase(0, Confirmation.size());
    const auto current = this->exchange;
    if (current && current->confirmed) {
        // NOTE: The hook may respond, which clears it.
        const auto hook = current->confirmed;
        hook();
    }
}

// A handler that responds at once causes a nested call for the next request. The nested call returns immediately, and the loop of the outer call
// handles the next request after the handler has returned. Otherwise the stack could overflow: a caller may pipeline thousands of requests, and each
// nested handler takes two kilobytes of the stack.
void ServerConnection::parse()
{
    if (this->parsing) {
        return;
    }
    const auto keepAlive = this->shared_from_this();
    this->parsing = true;
    while (this->stage == Stage::Reading && this->output.empty() && !this->input.empty()) {
        this->parseNext();
    }
    this->parsing = false;
    this->updateInterest();
}

void ServerConnection::parseNext()
{
    if (!this->parser.hasBegun()) {
        this->requestStartedAt = this->server->timers.now();
        // The confirmation of a request that was answered before it arrived.
        if (this->input.starts_with(Confirmation)) {
            this->input.erase(0, Confirmation.size());
            return;
        }
    }
    const std::size_t consumed = this->parser.feed(this->input);
    this->input.erase(0, consumed);
    switch (this->parser.state()) {
    case ParseState::Partial:
        if (this->parser.headersComplete() && this->parser.expectsContinue() && !this->continueSent) {
            this->continueSent = true;
            this->output += "HTTP/1.1 100 Continue\r\n\r\n";
            this->writeMore();
        }
        break;
    case ParseState::Complete:
        this->handleRequest();
        break;
    case ParseState::Malformed:
        this->rejectRequest(400);
        break;
    case ParseState::HeadersTooLarge:
        this->rejectRequest(431);
        break;
    case ParseState::BodyTooLarge:
        this->rejectRequest(413);
        break;
    }
}

void ServerConnection::handleRequest()
{
    ++this->server->counts.requests;
    this->stage = Stage::Answering;
    this->closeAfterResponse = !this->parser.keepsConnection();
    Request request = this->parser.extractRequest();
    this->headRequest = request.method == "HEAD";
    this->exchange = std::make_shared<Exchange>(this->weak_from_this());
    const auto current = this->exchange;
    this->server->options.handler(std::move(request), current);
}

void ServerConnection::rejectRequest(int status)
{
    ++this->server->counts.malformed;
    this->stage = Stage::Answering;
    this->closeAfterResponse = true;
    Core::logEvent(Core::LogLevel::Information, "request.unreadable", {{"server", this->server->options.name}, {"status", status}});
    this->respond(Response{.status = status, .headers = {}, .body = {}});
}

void ServerConnection::respond(const Response &response)
{
    if (this->stage != Stage::Answering) {
        return;
    }
    this->exchange.reset();
    const bool serverCloses = this->server->draining || findHeader(response.headers, "Connection") != nullptr;
    this->closeAfterResponse = this->closeAfterResponse || serverCloses;
    this->idleTimeout = this->server->options.limits.idleTimeout;
    const auto idleSeconds = std::chrono::duration_cast<std::chrono::seconds>(this->idleTimeout).count();
    const ResponseOptions written{.close = this->closeAfterResponse, .idleSeconds = idleSeconds, .withoutBody = this->headRequest};
    if (!appendResponse(this->output, response, written)) {
        this->respondInvalid(response.status, written);
    }
    this->stage = Stage::Reading;
    this->parser.reset(this->server->options.limits.message);
    this->continueSent = false;
    this->lastActivity = this->server->timers.now();
    this->writeMore();
}

void ServerConnection::respondInvalid(int status, const ResponseOptions &options)
{
    static constexpr int InternalServerError = 500;
    ++this->server->counts.invalidResponses;
    Core::logEvent(Core::LogLevel::Error, "response.invalid", {{"server", this->server->options.name}, {"status", status}});
    (void)appendResponse(this->output, Response{.status = InternalServerError, .headers = {}, .body = {}}, options);
}

void ServerConnection::writeMore()
{
    if (this->socket.write(this->output, this->written) != Transfer::Open) {
        this->close(ConnectionEnd::Broken);
        return;
    }
    if (this->written == this->output.size()) {
        this->output.clear();
        this->written = 0;
        this->responseWritten();
        return;
    }
    this->updateInterest();
}

void ServerConnection::responseWritten()
{
    if (this->stage == Stage::Reading && this->closeAfterResponse) {
        this->linger();
        return;
    }
    this->updateInterest();
    if (this->stage == Stage::Reading && !this->input.empty()) {
        this->parse();
    }
}

void ServerConnection::linger()
{
    if (this->stage == Stage::Closed) {
        return;
    }
    this->stage = Stage::Lingering;
    this->lastActivity = this->server->timers.now();
    this->input.clear();
    this->socket.finishWriting();
    this->updateInterest();
}

void ServerConnection::updateInterest()
{
    if (this->stage == Stage::Closed) {
        return;
    }
    const bool write = this->written < this->output.size();
    const bool read = this->stage != Stage::Answering || this->input.size() < PipelinedLimitBytes;
    if (write == this->wantsWrite && read == this->wantsRead) {
        return;
    }
    this->wantsWrite = write;
    this->wantsRead = read;
    std::uint32_t events = read ? static_cast<std::uint32_t>(EPOLLIN | EPOLLRDHUP) : 0U;
    events |= write ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
    this->server->poll.modify(this->socket.number(), events);
}

void ServerConnection::close(ConnectionEnd end)
{
    if (this->stage == Stage::Closed) {
        return;
    }
    if (this->written < this->output.size()) {
        ++this->server->counts.unwritten;
        Core::logEvent(Core::LogLevel::Information,
            "response.unwritten",
            {{"server", this->server->options.name},
                {"end", connectionEndName(end)},
                {"written", this->written},
                {"bytes", this->output.size()},
                {"after_ms", Core::toMilliseconds(this->server->timers.now() - this->lastActivity)}});
    }
    const auto keepAlive = this->shared_from_this();
    this->stage = Stage::Closed;
    this->server->poll.remove(this->socket.number());
    this->server->removeConnection(this->socket.number());
    this->socket = Socket();
    const auto pending = std::exchange(this->exchange, nullptr);
    if (!pending) {
        return;
    }
    pending->open = false;
    ++this->server->counts.aborted;
    const auto hook = std::exchange(pending->aborted, nullptr);
    if (hook) {
        hook(end);
    }
}

void ServerConnection::endIdle()
{
    ++this->server->counts.idleClosed;
    this->endedIdle = true;
    this->linger();
}

void ServerConnection::closeIfIdle(Core::Duration idleTime)
{
    if (!this->isIdle() || this->server->timers.now() - this->lastActivity < idleTime) {
        return;
    }
    // A request may have arrived since the loop last ran.
    this->readMore();
    if (this->isIdle()) {
        this->endIdle();
    }
}

void ServerConnection::rejectPartial(const Response &response)
{
    if (this->stage != Stage::Reading || !this->parser.hasBegun()) {
        return;
    }
    this->stage = Stage::Answering;
    this->closeAfterResponse = true;
    this->respond(response);
}

void ServerConnection::answerOpen(const Response &response)
{
    // NOTE: respond() releases this connection's reference to the exchange.
    if (const auto open = this->exchange) {
        open->respond(response);
    }
}

void ServerConnection::closeIfTimedOut(Core::Instant now)
{
    if (this->stage == Stage::Lingering && now - this->lastActivity >= LingerTimeout) {
        this->close(ConnectionEnd::ClosedHere);
        return;
    }
    if (this->written < this->output.size()) {
        if (now - this->lastActivity >= StalledWriteTimeout) {
            this->close(ConnectionEnd::ClosedHere);
        }
        return;
    }
    if (!this->isRequestOverdue(now)) {
        return;
    }
    // After a pause of this process, what arrived in time may not have been read yet.
    this->readMore();
    if (!this->isRequestOverdue(now)) {
        return;
    }
    if (this->parser.hasBegun()) {
        ++this->server->counts.timedOut;
        this->rejectRequest(408);
    } else {
        this->endIdle();
    }
}

bool ServerConnection::isRequestOverdue(Core::Instant now) const
{
    if (this->stage != Stage::Reading || this->written < this->output.size()) {
        return false;
    }
    if (this->parser.hasBegun()) {
        return now - this->requestStartedAt >= this->server->options.limits.requestTimeout;
    }
    return now - this->lastActivity >= this->idleTimeout + IdleGracePeriod;
}

}
