/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests Server with raw bytes on real connections.

#include <LibWire/Server.h>
#include <Support/LoopFixture.h>

#include <chrono>
#include <criterion/criterion.h>
#include <thread>

using TestSupport::LoopFixture;

namespace
{

/** A server whose requests the test answers explicitly, and one connected caller. */
class ServerFixture
{
public:
    explicit ServerFixture(Wire::ServerLimits limits = {}) : endpoint(TestSupport::freeEndpoint())
    {
        this->server = Wire::Server::create({.name = "test",
                                                .endpoint = this->endpoint,
                                                .handler =
                                                    [this](Wire::Request request, const auto &exchange) {
                                                        this->requests.push_back(std::move(request));
                                                        this->exchanges.push_back(exchange);
                                                    },
                                                .limits = limits},
            *this->fixture.poll,
            this->fixture.timers)
                           .value();
        this->caller = Wire::Socket::connectTo(this->endpoint, Core::seconds(5)).value();
        this->fixture.settle();
    }

    void send(std::string_view bytes)
    {
        std::size_t offset = 0;
        (void)this->caller.write(bytes, offset);
    }

    [[nodiscard]] bool hasRequests(std::size_t count)
    {
        return this->fixture.runUntil([this, count] {
            return this->requests.size() >= count;
        });
    }

    [[nodiscard]] bool callerReads(const std::string &text)
    {
        return this->fixture.runUntil([this, &text] {
            this->ended = this->caller.read(this->received, 65536) != Wire::Transfer::Open || this->ended;
            g_main_context_iteration(this->fixture.context, FALSE);
            return this->received.find(text) != std::string::npos;
        });
    }

    LoopFixture fixture;
    Core::Endpoint endpoint;
    std::vector<Wire::Request> requests;
    std::vector<Wire::ExchangePointer> exchanges;
    std::shared_ptr<Wire::Server> server;
    Wire::Socket caller;
    std::string received;
    bool ended{false};
};

Wire::Response respondWith(const std::string &body)
{
    return Wire::Response{.status = 200, .headers = {}, .body = body};
}

}

Test(Server, answersPipelinedRequestsInOrder)
{
    ServerFixture served;
    served.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    cr_assert(served.hasRequests(1));
    served.fixture.settle();
    cr_assert(served.requests.size() == 1, "the second request waits for the response to the first one");
    served.exchanges[0]->respond(respondWith("one"));
    cr_assert(served.hasRequests(2));
    served.exchanges[1]->respond(respondWith("two"));
    cr_assert(served.callerReads("two"));
    cr_assert(served.received.find("one") < served.received.find("two"));
}

Test(Server, reportsThatTheCallerDisconnected)
{
    ServerFixture served;
    served.send("GET /1 HTTP/1.1\r\n\r\n");
    cr_assert(served.hasRequests(1));
    bool aborted = false;
    served.exchanges[0]->aborted = [&aborted](Wire::ConnectionEnd end) {
        aborted = end == Wire::ConnectionEnd::ClosedByCaller;
    };
    served.caller = Wire::Socket();
    cr_assert(served.fixture.runUntil([&aborted] {
        return aborted;
    }));
    cr_assert_not(served.exchanges[0]->isOpen());
    served.exchanges[0]->respond(respondWith("nobody"));
    cr_assert(served.server->load().requests() == 0);
}

Test(Server, rejectsRequestsThatExceedItsLimits)
{
    struct Case {
        const char *name;
        std::string bytes;
        const char *status;
    };
    const std::vector<Case> cases{
        {"no HTTP", "garbage\r\n\r\n", "400"},
        {"headers", "GET / HTTP/1.1\r\nA: " + std::string(400, 'x') + "\r\n\r\n", "431"},
        {"body", "POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", "413"},
        {"time", "GET / HTTP/1.1\r\nA: ", "408"},
    };
    for (const auto &item : cases) {
        ServerFixture served({.message = {.headerBytes = 300, .bodyBytes = 50}, .requestTimeout = Core::milliseconds(50)});
        served.send(item.bytes);
        cr_assert(served.callerReads(std::string("HTTP/1.1 ") + item.status), "%s", item.name);
        cr_assert(served.callerReads("Connection: close"), "%s", item.name);
        cr_assert(served.requests.empty(), "%s", item.name);
    }
}

Test(Server, closesConnectionsAfterTheResponseWhileDraining)
{
    ServerFixture served;
    served.send("GET /1 HTTP/1.1\r\n\r\n");
    cr_assert(served.hasRequests(1));
    served.server->endConnectionsAfterResponse();
    served.exchanges[0]->respond(respondWith("last"));
    cr_assert(served.callerReads("Connection: close"));
    cr_assert(served.callerReads("last"));
    cr_assert(served.fixture.runUntil([&served] {
        std::string more;
        return served.caller.read(more, 100) == Wire::Transfer::Ended;
    }));
}

// A gateway that held back its acknowledgement of a part, as systems do for requests that are answered later, was taken for one that does not run.
Test(Server, acknowledgesARequestBeforeItIsAnswered)
{
    constexpr int Rounds = 60;
    // A system acknowledges the first segments of a connection at once, and may do so later now and then.
    constexpr int MaximumHeldBack = Rounds / 2;
    LoopFixture fixture;
    const auto endpoint = TestSupport::freeEndpoint();
    Wire::ExchangePointer waiting;
    int heldBack = 0;
    Wire::Socket caller;
    const auto server = Wire::Server::create({.name = "test",
                                                 .endpoint = endpoint,
                                                 .handler =
                                                     [&](const Wire::Request &, const auto &exchange) {
                                                         heldBack += caller.awaitsAcknowledgement() ? 1 : 0;
                                                         waiting = exchange;
                                                     },
                                                 .limits = {},
                                                 .acknowledgesAtOnce = true},
        *fixture.poll,
        fixture.timers)
                            .value();
    caller = std::move(Wire::Socket::connectTo(endpoint, Core::seconds(5)).value());
    fixture.settle();
    std::string received;
    for (int round = 0; round < Rounds; ++round) {
        std::size_t offset = 0;
        (void)caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n", offset);
        cr_assert(fixture.runUntil([&waiting] {
            return waiting != nullptr;
        }));
        std::exchange(waiting, nullptr)->respond({.status = 200, .headers = {}, .body = "x"});
        received.clear();
        cr_assert(fixture.runUntil([&] {
            (void)caller.read(received, 65536);
            g_main_context_iteration(fixture.context, FALSE);
            return received.find("\r\n\r\nx") != std::string::npos;
        }));
    }
    cr_assert(heldBack < MaximumHeldBack, "%d of %d requests were not acknowledged when they were handled", heldBack, Rounds);
}

// Guards against a confirmation that is taken for the beginning of the next request, which would then be timed out.
Test(Server, reportsTheConfirmationOfARequest)
{
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    ServerFixture served;
    served.send(request);
    cr_assert(served.hasRequests(1));
    int confirmations = 0;
    served.exchanges[0]->confirmed = [&confirmations] {
        ++confirmations;
    };
    served.send("\r\n");
    cr_assert(served.fixture.runUntil([&confirmations] {
        return confirmations == 1;
    }));
    served.exchanges[0]->respond({.status = 200, .headers = {}, .body = "first"});
    cr_assert(served.callerReads("first"));
    // This one crosses the response.
    served.send("\r\n");
    served.fixture.settle();
    cr_assert_eq(confirmations, 1);
    served.server->closeIdleConnections(Core::Duration(0));
    cr_assert(served.fixture.runUntil([&served] {
        std::string more;
        return served.caller.read(more, 100) == Wire::Transfer::Ended;
    }));
}

Test(Server, readsARequestAfterAConfirmation)
{
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    ServerFixture served;
    served.send(request + "\r\n" + request);
    cr_assert(served.hasRequests(1));
    served.exchanges[0]->respond({.status = 200, .headers = {}, .body = "first"});
    cr_assert(served.hasRequests(2));
    cr_assert_str_eq(served.requests[1].target.c_str(), "/a");
}

// Guards against a connection that is closed before it could bring its first request, or while a request waits to be read.
Test(Server, closesOnlyConnectionsThatHaveBeenIdleForAWhile)
{
    ServerFixture served;
    served.server->closeIdleConnections(Core::seconds(60));
    cr_assert_eq(served.server->load().idle, 1U);
    served.send("GET /late HTTP/1.1\r\n\r\n");
    served.server->closeIdleConnections(Core::Duration(0));
    cr_assert_eq(served.requests.size(), 1U, "the request had arrived");
    served.exchanges[0]->respond(respondWith("served"));
    cr_assert(served.callerReads("served"));
}

// Guards against a half uploaded request that gets no answer when the server ends.
Test(Server, rejectsRequestsThatHaveArrivedInPart)
{
    ServerFixture served;
    served.send("POST /half HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345");
    cr_assert(served.fixture.runUntil([&served] {
        return served.server->load().receiving == 1;
    }));
    served.server->rejectPartialRequests({.status = 503, .headers = {}, .body = {}});
    cr_assert(served.callerReads("503"));
    cr_assert(served.received.find("Connection: close") != std::string::npos);
    cr_assert(served.requests.empty());
}

// Guards against requests whose handler never responds: they get a final response, and a later one has no effect.
Test(Server, answersOpenRequestsForTheirHandler)
{
    ServerFixture served;
    served.send("GET /slow HTTP/1.1\r\n\r\n");
    cr_assert(served.hasRequests(1));
    served.server->answerOpenRequests({.status = 503, .headers = {}, .body = "stopping"});
    served.exchanges[0]->respond(respondWith("too late"));
    cr_assert(served.callerReads("stopping"));
    served.fixture.settle();
    cr_assert(served.received.find("too late") == std::string::npos);
}

// Guards against connections in the listening queue that are reset when the server stops to listen.
Test(Server, acceptsWaitingConnectionsBeforeItStopsListening)
{
    ServerFixture served;
    auto waiting = Wire::Socket::connectTo(served.endpoint, Core::seconds(5)).value();
    std::size_t offset = 0;
    const std::string_view request = "GET /waiting HTTP/1.1\r\n\r\n";
    while (offset < request.size()) {
        (void)waiting.write(request, offset);
    }
    served.server->stopListening();
    cr_assert(served.hasRequests(1));
    cr_assert_str_eq(served.requests[0].target.c_str(), "/waiting");
}

// Guards against a long response that ends in the middle: a caller that read slowly lost the rest at the idle timeout.
Test(Server, writesAResponseThatTakesLongerThanTheIdleTimeout)
{
    ServerFixture served({.idleTimeout = Core::milliseconds(100)});
    served.send("GET /large HTTP/1.1\r\n\r\n");
    cr_assert(served.hasRequests(1));
    const std::string body(16 * 1024 * 1024, 'x');
    served.exchanges[0]->respond(respondWith(body + "end"));
    served.fixture.settle(Core::milliseconds(900));
    cr_assert_eq(served.server->load().writing, 1U, "the caller has not read it yet");
    std::string received;
    cr_assert(served.fixture.runUntil([&served, &received, &body] {
        std::size_t before = 0;
        do {
            before = received.size();
            (void)served.caller.read(received, body.size());
            g_main_context_iteration(served.fixture.context, FALSE);
        } while (received.size() > before);
        return received.ends_with("end");
    }));
}

// Guards against a request that is discarded unread: after a pause of the process the idle timeout was enforced before what had arrived was read.
Test(Server, readsARequestThatArrivedBeforeTheIdleTimeout)
{
    ServerFixture served({.idleTimeout = Core::milliseconds(300)});
    served.send("GET /first HTTP/1.1\r\n\r\n");
    cr_assert(served.hasRequests(1));
    served.exchanges[0]->respond(respondWith("one"));
    cr_assert(served.callerReads("one"));
    served.send("GET /in-time HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(1800));
    cr_assert(served.hasRequests(2));
    served.exchanges[1]->respond(respondWith("two"));
    cr_assert(served.callerReads("two"));
}

// As above, for a request whose last bytes arrived in time.
Test(Server, readsTheRestOfARequestThatArrivedBeforeItsTimeout)
{
    ServerFixture served({.requestTimeout = Core::milliseconds(300)});
    served.send("POST /upload HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345");
    cr_assert(served.fixture.runUntil([&served] {
        return served.server->load().receiving == 1;
    }));
    served.send("67890");
    std::this_thread::sleep_for(std::chrono::milliseconds(1800));
    cr_assert(served.hasRequests(1));
    cr_assert_str_eq(served.requests[0].body.c_str(), "1234567890");
}

// Guards against connections that are closed although their callers were told a longer idle timeout: a new configuration had shortened it.
Test(Server, keepsTheIdleTimeoutThatItHasStated)
{
    ServerFixture served({.idleTimeout = Core::seconds(5)});
    served.send("GET /first HTTP/1.1\r\n\r\n");
    cr_assert(served.hasRequests(1));
    served.exchanges[0]->respond(respondWith("one"));
    cr_assert(served.callerReads("timeout=5"));
    served.server->setLimits({.idleTimeout = Core::milliseconds(100)});
    served.fixture.settle(Core::milliseconds(1600));
    served.send("GET /again HTTP/1.1\r\n\r\n");
    cr_assert(served.hasRequests(2));
}

// A response with such a field would be read as another one, or as two.
Test(Server, replacesAResponseThatCannotBeWritten)
{
    ServerFixture served;
    const std::vector<Wire::Response> invalid{{.status = 200, .headers = {{"A", "b\r\nC: d"}}, .body = "wrong"},
        {.status = 200, .headers = {{"A b", "c"}}, .body = "wrong"},
        {.status = 0, .headers = {}, .body = "wrong"},
        {.status = 100, .headers = {}, .body = "wrong"},
        {.status = 600, .headers = {}, .body = "wrong"}};
    for (const auto &response : invalid) {
        const auto before = served.requests.size();
        served.received.clear();
        served.send("GET /1 HTTP/1.1\r\n\r\n");
        cr_assert(served.hasRequests(before + 1));
        served.exchanges.back()->respond(response);
        cr_assert(served.callerReads("\r\n\r\n"));
        cr_assert(served.received.starts_with("HTTP/1.1 500 "), "%s", served.received.c_str());
        cr_assert(served.received.find("wrong") == std::string::npos);
    }
    cr_assert_eq(served.server->counters().invalidResponses, invalid.size());
}
