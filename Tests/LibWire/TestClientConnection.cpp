/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests ClientConnection against a server that sends exactly the bytes that a test specifies.

#include <LibWire/ClientConnection.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>
#include <thread>

using TestSupport::LoopFixture;

namespace
{

/** Accepts one connection, records the received bytes and sends the bytes that a test passes to it. */
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

    /** All bytes that have arrived so far. */
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

/** A connection to a ByteServer, and the results of its requests. */
class Client
{
public:
    Client(LoopFixture &fixture, const ByteServer &server, std::optional<Core::Duration> trialMargin = std::nullopt)
        : fixture(fixture)
        , connection(
              Wire::ClientConnection::create({.endpoint = server.endpoint, .trialMargin = trialMargin, .limits = {}}, *fixture.poll, fixture.timers).value())
    {
    }

    Client(LoopFixture &fixture, const ByteServer &server, std::shared_ptr<Wire::ReceiveBudget> budget)
        : fixture(fixture)
        , connection(
              Wire::ClientConnection::create({.endpoint = server.endpoint, .limits = {}, .receiveBudget = std::move(budget)}, *fixture.poll, fixture.timers)
                  .value())
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

std::string makeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

Test(ClientConnection, withdrawsARequestThatWasNotSent)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("first");
    cr_assert(client.connection->withdraw());
    cr_assert(server.accept());
    fixture.settle();
    cr_assert(server.received().empty(), "no byte of a withdrawn request may be sent");
    client.send("second");
    cr_assert(fixture.runUntil([&server] {
        return server.received().find("second") != std::string::npos;
    }));
    cr_assert(server.received().find("first") == std::string::npos);
    cr_assert_not(client.connection->withdraw(), "a request that was sent can't be withdrawn");
}

Test(ClientConnection, discardsASurplusResponse)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a");
    cr_assert(server.accept());
    fixture.settle();
    server.send(makeResponse("old", "x") + makeResponse("a", "mine"));
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].end == Wire::ClientEnd::Answered);
    cr_assert(client.results[0].response.body == "mine");
}

Test(ClientConnection, closesWhenBytesFollowTheResponse)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a");
    cr_assert(server.accept());
    fixture.settle();
    server.send(makeResponse("a", "mine") + "more");
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].end == Wire::ClientEnd::Answered);
    cr_assert(client.connection->isClosed());
}

Test(ClientConnection, closesWhenBytesArriveWhileIdle)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a");
    cr_assert(server.accept());
    fixture.settle();
    server.send(makeResponse("a", "mine"));
    cr_assert(client.hasResults(1));
    cr_assert_not(client.connection->isClosed());
    server.send(makeResponse("a", "again"));
    cr_assert(fixture.runUntil([&client] {
        return client.connection->isClosed();
    }));
}

Test(ClientConnection, distinguishesAResetFromTheEndOfTheStream)
{
    struct Case {
        const char *name;
        bool reset;
        const char *bytes;
        Wire::ClientEnd end;
    };
    const std::vector<Case> cases{
        {"no length, ended", false, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart", Wire::ClientEnd::Answered},
        {"no length, reset", true, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart", Wire::ClientEnd::Broken},
        {"a length, ended early", false, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npart", Wire::ClientEnd::Broken},
        {"chunks, ended early", false, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", Wire::ClientEnd::Broken},
        {"no HTTP", false, "garbage garbage\r\n\r\n", Wire::ClientEnd::Malformed},
        {"nothing", false, "", Wire::ClientEnd::Broken},
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
        cr_assert(client.results[0].end == item.end, "%s", item.name);
    }
}

// A backend server at its connection limit accepts one more connection and resets it. If a request were sent on that connection, the client would
// have to assume that it may have run.
Test(ClientConnection, sendsNoRequestWhenTheServerResetsANewConnection)
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

Test(ClientConnection, sendsTheRequestAfterTheTrialPeriod)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server, Core::milliseconds(1));
    client.send("first");
    cr_assert_not(client.connection->isConnected(), "nothing is sent during the trial period");
    cr_assert(server.accept());
    cr_assert(fixture.runUntil([&server] {
        return server.received().find("first") != std::string::npos;
    }));
    server.send(makeResponse("first", "mine"));
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].end == Wire::ClientEnd::Answered);
}

Test(ClientConnection, reportsNotSentWhenConnectingFails)
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

Test(ClientConnection, completesAResponseToHeadAfterItsHeaders)
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

Test(ClientConnection, sendsAWithdrawnRequestAgain)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    client.send("a");
    cr_assert(client.connection->withdraw());
    cr_assert_not(client.connection->hasSent("a"), "the withdrawn request was not sent");
    client.send("a");
    cr_assert(client.connection->hasSent("a"));
    cr_assert(server.accept());
    server.send(makeResponse("a", "mine"));
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].response.body == "mine");
}

// A connection stores the key hashes of all its requests, so their number has to be bounded.
Test(ClientConnection, closesAtTheRequestLimitAndRemembersAllKeysUntilThen)
{
    static constexpr std::size_t RequestsAboveLimit = 10'000;
    LoopFixture fixture;
    ByteServer server(fixture);
    Client client(fixture, server);
    std::size_t sent = 0;
    while (!client.connection->isClosed() && sent < RequestsAboveLimit) {
        client.send(std::to_string(sent));
        cr_assert(sent > 0 || server.accept());
        server.send(makeResponse(std::to_string(sent), ""));
        cr_assert(client.hasResults(++sent));
        cr_assert(client.connection->hasSent("0"));
    }
    cr_assert(client.connection->isClosed(), "the connection is still open after %zu requests", sent);
    cr_assert(client.results.back().end == Wire::ClientEnd::Answered, "the last request is answered, too");
}

namespace
{

/** A request to a server that responds only when the test says so. The test decides whether its bytes count as acknowledged. */
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

// Guards against requests that wait in vain when a fifth of all machines loses power: each kept-alive connection to such a machine accepts bytes
// without an error.
Test(AcknowledgementTimeout, endsARequestBeforeTheSystemDetectsTheFailure)
{
    HeldRequest held(false);
    cr_assert(held.fixture.runUntil([&held] {
        return held.result.has_value();
    }));
    cr_assert(held.result->end == Wire::ClientEnd::Unacknowledged, "%s", held.result->reason.c_str());
    cr_assert(held.connection->isClosed());
}

// Guards against a request that runs twice: a machine that was frozen or disconnected must not receive a request that has been sent to another
// machine in the meantime.
Test(AcknowledgementTimeout, resetsTheConnectionSoThatNothingIsDeliveredLater)
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
    cr_assert(transfer == Wire::Transfer::Broken, "an orderly close would deliver the bytes that were sent before");
}

Test(AcknowledgementTimeout, doesNotApplyToASlowServerThatAcknowledges)
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

// Guards against a healthy gateway that counts as unreachable: after this process was held up, the limit has passed although the response is there unread.
Test(AcknowledgementTimeout, doesNotCountTheTimeInWhichThisProcessDidNotRun)
{
    HeldRequest held(false);
    cr_assert(held.fixture.runUntil([&held] {
        return held.exchange != nullptr;
    }));
    held.exchange->respond({.status = 200, .headers = {}, .body = "unread"});
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cr_assert(held.fixture.runUntil([&held] {
        return held.result.has_value();
    }));
    cr_assert(held.result->end == Wire::ClientEnd::Answered, "%s", held.result->reason.c_str());
}

Test(AcknowledgementTimeout, isNotTriggeredByBytesThatTheSystemAcknowledged)
{
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    const auto listener = Wire::Socket::listenOn(endpoint, 4).value();
    const auto caller = Wire::Socket::connectTo(endpoint, Core::seconds(5)).value();
    std::size_t offset = 0;
    cr_assert(caller.write("acknowledged by the other machine, whether or not its program reads it", offset) == Wire::Transfer::Open);
    cr_assert(fixture.runUntil([&caller] {
        return !caller.awaitsAcknowledgement();
    }));
}

Test(ConnectLimit, endsAnAttemptThatGetsNoReply)
{
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    // Nothing accepts connections here, so these fill the listening queue, and a further attempt to connect gets no reply.
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

// Guards against a server that is told that a request will not be given up while it still may be.
Test(Confirmation, isSentOnceTheRequestIsAcknowledgedAndMayBeConfirmed)
{
    TestSupport::LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    bool isAcknowledged = false;
    bool mayConfirm = false;
    bool isConfirmed = false;
    Wire::ExchangePointer waiting;
    std::optional<Wire::ClientResult> result;
    const auto server = Wire::Server::create({.name = "test",
                                                 .endpoint = endpoint,
                                                 .handler =
                                                     [&](const Wire::Request &, const auto &exchange) {
                                                         waiting = exchange;
                                                         waiting->confirmed = [&] {
                                                             isConfirmed = true;
                                                             cr_assert(isAcknowledged && mayConfirm);
                                                         };
                                                     },
                                                 .limits = {}},
        *fixture.poll,
        fixture.timers)
                            .value();
    int checks = 0;
    const auto connection = Wire::ClientConnection::create({.endpoint = endpoint,
                                                               .acknowledgementTimeout = Core::milliseconds(80),
                                                               .awaitsAcknowledgement =
                                                                   [&](const Wire::Socket &) {
                                                                       // The first check finds no acknowledgement, the second one must not confirm.
                                                                       isAcknowledged = ++checks > 1;
                                                                       mayConfirm = checks > 2;
                                                                       return !isAcknowledged;
                                                                   }},
        *fixture.poll,
        fixture.timers)
                                .value();
    connection->send({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        .mayConfirm =
            [&mayConfirm] {
                return mayConfirm;
            },
        .recognise =
            [](const Wire::Response &) {
                return true;
            },
        .done =
            [&result](const Wire::ClientResult &ended) {
                result = ended;
            }});
    cr_assert(fixture.runUntil([&] {
        return isConfirmed;
    }));
    waiting->respond({.status = 200, .headers = {}, .body = {}});
    cr_assert(fixture.runUntil([&] {
        return result.has_value();
    }));
    cr_assert(result->end == Wire::ClientEnd::Answered && result->confirmed);
}

// Guards against bytes that are no answer and do not end: whatever they look like, the connection is given up long before its memory or time is.
Test(ClientConnection, givesUpResponsesWithoutEnd)
{
    const std::string block(16 * 1024, 'x');
    struct Case {
        const char *name;
        std::string beginning;
        std::string repeated;
    };
    const std::vector<Case> cases{{"header", "HTTP/1.1 200 OK\r\nId: a\r\nX: ", block},
        {"reason phrase", "HTTP/1.1 200 ", block},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"responses to others", "", makeResponse("b", "")},
        {"chunk extension", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", block},
        {"trailers", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
        {"body until the close", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", block},
        {"body in chunks", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n"}};
    for (const auto &endless : cases) {
        LoopFixture fixture;
        ByteServer server(fixture);
        const auto budget = std::make_shared<Wire::ReceiveBudget>(1024 * 1024);
        Client client(fixture, server, budget);
        client.send("a");
        cr_assert(server.accept());
        server.send(endless.beginning);
        std::size_t largest = 0;
        cr_assert(fixture.runUntil([&] {
            server.send(endless.repeated);
            g_main_context_iteration(fixture.context, FALSE);
            largest = std::max(largest, budget->used());
            return !client.results.empty();
        }),
            "%s",
            endless.name);
        cr_assert(client.results[0].end == Wire::ClientEnd::Malformed, "%s", endless.name);
        cr_assert(largest < 2 * 1024 * 1024, "%s took %zu bytes", endless.name, largest);
        cr_assert_eq(budget->used(), 0U, "%s", endless.name);
    }
}

// Guards against small answers that are given up because another one does not end.
Test(ClientConnection, smallResponsesDoNotPayForOthers)
{
    LoopFixture fixture;
    ByteServer server(fixture);
    const auto budget = std::make_shared<Wire::ReceiveBudget>(1024 * 1024);
    Client client(fixture, server, budget);
    client.send("a");
    cr_assert(server.accept());
    budget->replace(0, 2 * 1024 * 1024);
    server.send(makeResponse("a", std::string(32 * 1024, 'x')));
    cr_assert(client.hasResults(1));
    cr_assert(client.results[0].end == Wire::ClientEnd::Answered);
}
