/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A client connection against a server that answers byte by byte as a test says.

#include <LibWire/ClientConnection.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>

using TestSupport::LoopFixture;

namespace
{

/** Accepts one connection, notes what comes and sends what it is told. */
class ByteServer : public Core::EventHandler
{
public:
    explicit ByteServer(LoopFixture &fixture)
        : fixture(fixture), endpoint(TestSupport::freeEndpoint()), listener(std::move(Wire::Socket::listenOn(this->endpoint, 4).value()))
    {
    }

    [[nodiscard]] bool accept()
    {
        return this->fixture.runUntil([this] {
            if (!this->socket.isOpen()) {
                this->socket = this->listener.acceptOne();
            }
            g_main_context_iteration(this->fixture.context, FALSE);
            return this->socket.isOpen();
        });
    }

    void send(std::string_view bytes) const
    {
        std::size_t offset = 0;
        (void)this->socket.write(bytes, offset);
    }

    /** What has arrived so far. */
    [[nodiscard]] const std::string &received()
    {
        (void)this->socket.read(this->bytes, 65536);
        return this->bytes;
    }

    void handleEvents(std::uint32_t) override
    {
    }

    LoopFixture &fixture;
    Core::Endpoint endpoint;
    Wire::Socket listener;
    Wire::Socket socket;
    std::string bytes;
};

/** A connection to it, and how its requests ended. */
class Client
{
public:
    Client(LoopFixture &fixture, const ByteServer &server, std::optional<Core::Duration> trialMargin = std::nullopt)
        : fixture(fixture)
        , connection(
              Wire::ClientConnection::create({.endpoint = server.endpoint, .trialMargin = trialMargin, .limits = {}}, *fixture.poll, fixture.timers).value())
    {
    }

    void send(const std::string &id, bool isHead = false)
    {
        this->connection->send({.bytes = (isHead ? "HEAD /" : "GET /") + id + " HTTP/1.1\r\nHost: h\r\n\r\n",
            .key = id,
            .isHead = isHead,
            .recognise =
                [id](const Wire::Response &response) {
                    const auto *found = Wire::findHeader(response.headers, "Id");
                    return found != nullptr && *found == id;
                },
            .done =
                [this](Wire::ClientResult result) {
                    this->results.push_back(std::move(result));
                }});
    }

    [[nodiscard]] bool hasResults(std::size_t count)
    {
        return this->fixture.runUntil([this, count] {
            return this->results.size() >= count;
        });
    }

    LoopFixture &fixture;
    std::shared_ptr<Wire::ClientConnection> connection;
    std::vector<Wire::ClientResult> results;
};

std::string answerTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

Test(ClientConnection, takesARequestBackThatHasNotLeft)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("first");
    cr_assert(client.connection->withdraw());
    cr_assert(server.accept());
    fixture.settle();
    cr_assert(server.received().empty(), "nothing of a request that was taken back may leave");
    client.send("second");
    cr_assert(fixture.runUntil([&server] {
        return server.received().find("second") != std::string::npos;
    }));
    cr_assert(server.received().find("first") == std::string::npos);
    cr_assert_not(client.connection->withdraw(), "what has left can't be taken back");
}

Test(ClientConnection, passesOverASurplusAnswer)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a");
    cr_assert(server.accept());
    fixture.settle();
    server.send(answerTo("old", "x") + answerTo("a", "mine"));
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].end == Wire::ClientEnd::Answered);
    cr_assert(client.results[0].response.body == "mine");
}

Test(ClientConnection, dropsAConnectionWithBytesBehindTheAnswer)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a");
    cr_assert(server.accept());
    fixture.settle();
    server.send(answerTo("a", "mine") + "more");
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].end == Wire::ClientEnd::Answered);
    cr_assert(client.connection->isClosed());
}

Test(ClientConnection, dropsAnIdleConnectionOnWhichBytesArrive)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a");
    cr_assert(server.accept());
    fixture.settle();
    server.send(answerTo("a", "mine"));
    cr_assert(client.hasResults(1));
    cr_assert_not(client.connection->isClosed());
    server.send(answerTo("a", "again"));
    cr_assert(fixture.runUntil([&client] {
        return client.connection->isClosed();
    }));
}

Test(ClientConnection, tellsAResetFromAnEnd)
{
    struct Case {
        const char *name;
        bool reset;
        const char *bytes;
        bool whole;
    };
    const std::vector<Case> cases{
        {"no length, ended", false, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart", true},
        {"no length, reset", true, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart", false},
        {"a length, ended early", false, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npart", false},
        {"chunks, ended early", false, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
        {"no HTTP", false, "garbage garbage\r\n\r\n", false},
        {"nothing", false, "", false},
    };
    for (const auto &item : cases) {
        LoopFixture fixture;
        ByteServer server(fixture);
        Client client(fixture, server);
        client.send("a");
        cr_assert(server.accept());
        fixture.settle();
        (void)server.received();
        server.send(item.bytes);
        fixture.settle();
        if (item.reset) {
            server.socket.resetOnClose();
        }
        server.socket = Wire::Socket();
        cr_assert(client.hasResults(1), "%s", item.name);
        cr_assert((client.results[0].end == Wire::ClientEnd::Answered) == item.whole, "%s", item.name);
        cr_assert(item.whole || client.results[0].end == Wire::ClientEnd::Broken, "%s", item.name);
    }
}

// Backend servers that have as many connections as they take accept one more and reset it. A request that was sent on it would have to be taken
// for one that may have run.
Test(ClientConnection, sendsNothingOnANewConnectionThatTheServerResets)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server, Core::seconds(60));
    client.send("first");
    cr_assert(server.accept());
    server.socket = Wire::Socket();
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].end == Wire::ClientEnd::ConnectionRejected);
    cr_assert(client.connection->isClosed());
}

Test(ClientConnection, sendsOnANewConnectionOnceItsTrialIsOver)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server, Core::milliseconds(1));
    client.send("first");
    cr_assert_not(client.connection->isConnected(), "nothing has left yet");
    cr_assert(server.accept());
    cr_assert(fixture.runUntil([&server] {
        return server.received().find("first") != std::string::npos;
    }));
    server.send(answerTo("first", "mine"));
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].end == Wire::ClientEnd::Answered);
}

Test(ClientConnection, knowsThatNothingWasSentWithoutAConnection)
{
    LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    const auto connection = Wire::ClientConnection::create({.endpoint = endpoint, .limits = {}}, *fixture.poll, fixture.timers).value();
    std::optional<Wire::ClientEnd> end;
    connection->send({.bytes = "GET / HTTP/1.1\r\n\r\n", .key = "a", .recognise = nullptr, .done = [&end](const Wire::ClientResult &result) {
                          end = result.end;
                      }});
    cr_assert(fixture.runUntil([&end] {
        return end.has_value();
    }));
    cr_assert(end == Wire::ClientEnd::NotSent);
}

Test(ClientConnection, takesNoBytesForTheBodyOfAResponseToHead)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a", true);
    cr_assert(server.accept());
    fixture.settle();
    server.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 70\r\n\r\n");
    cr_assert(client.hasResults(1), "the response ends with its headers");
    cr_assert(client.results[0].end == Wire::ClientEnd::Answered);
    cr_assert(client.results[0].response.body.empty());
}

Test(ClientConnection, maySendAgainWhatWasTakenBack)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a");
    cr_assert(client.connection->withdraw());
    cr_assert_not(client.connection->hasSent("a"), "it has not left");
    client.send("a");
    cr_assert(client.connection->hasSent("a"));
    cr_assert(server.accept());
    server.send(answerTo("a", "mine"));
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].response.body == "mine");
}

// It knows all that it carried, so it can't be kept for ever.
Test(ClientConnection, endsAfterManyRequestsAndForgetsNoneBefore)
{
    static constexpr std::size_t Many = 10'000;
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    std::size_t sent = 0;
    while (!client.connection->isClosed() && sent < Many) {
        client.send(std::to_string(sent));
        cr_assert(sent > 0 || server.accept());
        server.send(answerTo(std::to_string(sent), ""));
        cr_assert(client.hasResults(++sent));
        cr_assert(client.connection->hasSent("0"));
    }
    cr_assert(client.connection->isClosed(), "it went on for %zu requests", sent);
    cr_assert(client.results.back().end == Wire::ClientEnd::Answered, "the last one is answered, too");
}

namespace
{

/** A server that holds its answer, and a request whose acknowledgement a test decides. */
class HeldRequest
{
public:
    explicit HeldRequest(bool isAcknowledged)
    {
        this->server = Wire::Server::create({.name = "test",
                                                .endpoint = this->endpoint,
                                                .handler =
                                                    [this](const Wire::Request &, const auto &exchange) {
                                                        this->exchange = exchange;
                                                    },
                                                .limits = {}},
            *this->fixture.poll,
            this->fixture.timers)
                           .value();
        this->connection = Wire::ClientConnection::create({.endpoint = this->endpoint,
                                                              .acknowledgementTimeout = Core::milliseconds(80),
                                                              .awaitsAcknowledgement =
                                                                  [isAcknowledged](const Wire::Socket &) {
                                                                      return !isAcknowledged;
                                                                  }},
            *this->fixture.poll,
            this->fixture.timers)
                               .value();
        this->connection->send({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            .recognise =
                [](const Wire::Response &) {
                    return true;
                },
            .done =
                [this](const Wire::ClientResult &ended) {
                    this->result = ended;
                }});
    }

    TestSupport::LoopFixture fixture;
    Core::Endpoint endpoint{TestSupport::freeEndpoint()};
    Wire::ExchangePointer exchange;
    std::shared_ptr<Wire::Server> server;
    std::shared_ptr<Wire::ClientConnection> connection;
    std::optional<Wire::ClientResult> result;
};

}

// The load pattern: a fifth of all machines loses power, and each kept connection to one of them takes what is sent without a word.
Test(Silence, ofAMachineEndsARequestBeforeTheSystemRetransmits)
{
    HeldRequest held(false);
    cr_assert(held.fixture.runUntil([&held] {
        return held.result.has_value();
    }));
    cr_assert(held.result->end == Wire::ClientEnd::Unacknowledged, "%s", held.result->reason.c_str());
    cr_assert(held.connection->isClosed());
}

// A machine that was frozen or cut off must not run what was asked of another one in its place meanwhile.
Test(Silence, resetsTheConnectionSoThatNothingIsDeliveredLater)
{
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    const auto listener = Wire::Socket::listenOn(endpoint, 4).value();
    const auto connection = Wire::ClientConnection::create({.endpoint = endpoint,
                                                               .acknowledgementTimeout = Core::milliseconds(80),
                                                               .awaitsAcknowledgement =
                                                                   [](const Wire::Socket &) {
                                                                       return true;
                                                                   }},
        *fixture.poll,
        fixture.timers)
                                .value();
    connection->send({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        .recognise =
            [](const Wire::Response &) {
                return true;
            },
        .done =
            [](const Wire::ClientResult &) {
            }});
    Wire::Socket accepted;
    std::string bytes;
    auto transfer = Wire::Transfer::Open;
    cr_assert(fixture.runUntil([&] {
        if (!accepted.isOpen()) {
            accepted = listener.acceptOne();
        } else if (transfer == Wire::Transfer::Open) {
            transfer = accepted.read(bytes, 1000);
        }
        return transfer != Wire::Transfer::Open;
    }));
    cr_assert(transfer == Wire::Transfer::Broken, "an orderly end delivers what came before it");
}

Test(Silence, isNotThatOfAServerThatTakesItsTime)
{
    HeldRequest held(true);
    held.fixture.settle(Core::milliseconds(400));
    cr_assert(!held.result.has_value() && held.exchange != nullptr);
    held.exchange->respond({.status = 200, .headers = {}, .body = "late"});
    cr_assert(held.fixture.runUntil([&held] {
        return held.result.has_value();
    }));
    cr_assert(held.result->end == Wire::ClientEnd::Answered && held.result->response.body == "late");
}

Test(Silence, isToldByTheSystemOnlyOfWhatIsUnacknowledged)
{
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    const auto listener = Wire::Socket::listenOn(endpoint, 4).value();
    const auto caller = Wire::Socket::connectTo(endpoint, Core::seconds(5)).value();
    std::size_t offset = 0;
    cr_assert(caller.write("taken by the other machine, whether or not its program reads it", offset) == Wire::Transfer::Open);
    cr_assert(fixture.runUntil([&caller] {
        return !caller.awaitsAcknowledgement();
    }));
}

Test(Connecting, endsWhereNobodyAnswersInTime)
{
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    // With nobody who accepts, this many fill the queue, and what comes then is not answered.
    const auto listener = Wire::Socket::listenOn(endpoint, 1).value();
    std::vector<Wire::Socket> others;
    for (int number = 0; number < 4; ++number) {
        others.push_back(Wire::Socket::connectTo(endpoint, Core::seconds(5)).value());
    }
    fixture.settle(Core::milliseconds(50));
    std::optional<Wire::ClientResult> result;
    const auto connection
        = Wire::ClientConnection::create({.endpoint = endpoint, .connectLimit = Core::milliseconds(30)}, *fixture.poll, fixture.timers).value();
    connection->send({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        .recognise =
            [](const Wire::Response &) {
                return true;
            },
        .done =
            [&result](const Wire::ClientResult &ended) {
                result = ended;
            }});
    cr_assert(fixture.runUntil([&result] {
        return result.has_value();
    }));
    cr_assert(result->end == Wire::ClientEnd::NotSent, "%s", result->reason.c_str());
}
