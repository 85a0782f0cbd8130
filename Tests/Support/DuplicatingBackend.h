/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A test backend server that answers a request twice. The duplicate is sent late, when the next request arrives on the same
// connection, so that it stands where the answer to that request is expected.

#pragma once

#include <Support/LoopFixture.h>

#include <LibWire/MessageParser.h>
#include <LibWire/Socket.h>

#include <algorithm>
#include <functional>
#include <sys/epoll.h>
#include <vector>

namespace TestSupport
{

class DuplicatingBackend;

/** Server side of one connection to a DuplicatingBackend. */
class DuplicatingConnection : public Core::EventHandler
{
public:
    DuplicatingConnection(DuplicatingBackend &backend, Wire::Socket socket) : backend(backend), socket(std::move(socket))
    {
    }

    void handleEvents(std::uint32_t events) override;

    void write(const Wire::Response &response, const Wire::ResponseOptions &options = {}) const
    {
        std::string bytes;
        (void)Wire::appendResponse(bytes, response, options);
        this->writeBytes(bytes);
    }

    /** Writes bytes as they are, which may be no response. */
    void writeBytes(std::string_view bytes) const
    {
        std::size_t offset = 0;
        (void)this->socket.write(bytes, offset);
    }

    void close();

    DuplicatingBackend &backend;
    Wire::Socket socket;
    Wire::MessageParser parser{Wire::MessageKind::Request, {}};
    std::string input;
    // Duplicates that are sent when the next request arrives on this connection.
    std::vector<Wire::Response> duplicates;
};

/** One received request that a test has yet to answer. */
struct DuplicatingRun {
    int number{0};
    Wire::Request request;
    std::shared_ptr<DuplicatingConnection> connection;
};

/** Records each received request. The test decides when and how it is answered and whether a duplicate of the answer follows. */
class DuplicatingBackend : public Core::EventHandler, public std::enable_shared_from_this<DuplicatingBackend>
{
public:
    explicit DuplicatingBackend(LoopFixture &fixture)
        : fixture(fixture), endpoint(freeEndpoint()), listener(std::move(Wire::Socket::listenOn(this->endpoint, 16).value()))
    {
    }

    void listen()
    {
        this->fixture.poll->add(this->listener.number(), EPOLLIN, this->shared_from_this());
    }

    void handleEvents(std::uint32_t) override
    {
        for (auto accepted = this->listener.acceptOne(); accepted.isOpen(); accepted = this->listener.acceptOne()) {
            const int descriptor = accepted.number();
            this->connections.push_back(std::make_shared<DuplicatingConnection>(*this, std::move(accepted)));
            this->fixture.poll->add(descriptor, EPOLLIN | EPOLLRDHUP, this->connections.back());
        }
    }

    /** Answers `run` now, and once more when the next request arrives on its connection, with the same request id and headers but with `secondBody`. */
    void answerTwice(const DuplicatingRun &run, Wire::Response response, const std::string &duplicateBody) const
    {
        run.connection->write(response);
        response.body = duplicateBody;
        run.connection->duplicates.push_back(std::move(response));
    }

    /** Called for each received request, after the duplicates that were due on its connection have been sent. */
    std::function<void(const DuplicatingRun &run)> onRun;

    LoopFixture &fixture;
    Core::Endpoint endpoint;
    Wire::Socket listener;
    std::vector<std::shared_ptr<DuplicatingConnection>> connections;
    std::vector<DuplicatingRun> runs;
};

inline void DuplicatingConnection::close()
{
    if (this->socket.isOpen()) {
        this->backend.fixture.poll->remove(this->socket.number());
        this->socket = Wire::Socket();
    }
}

inline void DuplicatingConnection::handleEvents(std::uint32_t)
{
    if (!this->socket.isOpen()) {
        return;
    }
    const auto transfer = this->socket.read(this->input, 65536);
    while (!this->input.empty()) {
        const auto consumed = this->parser.feed(this->input);
        this->input.erase(0, consumed);
        if (this->parser.state() != Wire::ParseState::Complete) {
            break;
        }
        for (const auto &duplicate : std::exchange(this->duplicates, {})) {
            this->write(duplicate);
        }
        const auto &connections = this->backend.connections;
        const auto self = std::find_if(connections.begin(), connections.end(), [this](const auto &connection) {
            return connection.get() == this;
        });
        this->backend.runs.push_back(
            {.number = static_cast<int>(this->backend.runs.size()) + 1, .request = this->parser.extractRequest(), .connection = *self});
        this->parser.reset({});
        this->backend.onRun(this->backend.runs.back());
    }
    if (transfer != Wire::Transfer::Open) {
        this->close();
    }
}

}
