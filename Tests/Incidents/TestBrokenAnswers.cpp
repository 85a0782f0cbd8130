/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against passing on, or drawing conclusions from, bytes that are no HTTP response.
//
// What was seen: a caller received an answer with status 000 from a backend server
// in trouble. Other heads ended early, at a line that began with a carriage return,
// so that the rest of the head reached the caller as the body of a success.
//
// Cause: the library that parsed responses takes any three digits for a status and,
// as Debian builds it, any byte after a carriage return for a line feed. Its verdict
// was trusted, and the fields that it reported were passed on.

#include <LibHttp/HttpClient.h>
#include <Support/DuplicatingBackend.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>

using namespace TestSupport;

namespace
{

const std::string completeRecord = "a record of 16 b";

/** A response in which `ID` stands for the id of the request. */
struct RawResponse {
    const char *name;
    std::string bytes;
};

/** The field by which a server states that a request was not executed. */
const std::string notExecuted = "Not-Executed: 1\r\n";

/** A response whose status line is `start`, with the fields that every answer carries, and `fields`. */
RawResponse response(const char *name, const std::string &start, const std::string &fields = "", const std::string &body = "a record of 16 b")
{
    return {name,
        start + "\r\nRequest-Id: ID\r\nResponse-Signature: signature\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

/** Responses that violate RFC 9112 or RFC 9110, with `statement` among their fields. */
std::vector<RawResponse> brokenResponses(const std::string &statement = "")
{
    std::vector<RawResponse> all;
    for (const char *status : {"000", "001", "099", "600", "999", "0200", "20", "2", "-20", "+20", "2x0", "101"}) {
        all.push_back(response(status, std::string("HTTP/1.1 ") + status + " Status", statement));
    }
    for (const char *version : {"HTTP/0.9", "HTTP/2.0", "HTTP/1.10", "HTTP/11", "http/1.1", "ICY"}) {
        all.push_back(response(version, std::string(version) + " 200 OK", statement));
    }
    all.push_back(response("control byte in the reason", "HTTP/1.1 200 O\x01K", statement));
    all.push_back(response("CR in the reason", "HTTP/1.1 200 O\rK", statement));
    for (const char *field :
        {"A B: c", " A: b", "A\t: b", "A\x01: b", "A\x7f: b", ": b", "no colon", "\rA: b", "A: b\rC", "A: b\rC: d", "A: \x01", "A: b\r", "\r"}) {
        all.push_back(response(field, "HTTP/1.1 200 OK", statement + field + "\r\n"));
    }
    all.push_back(response("NUL in a name", "HTTP/1.1 200 OK", statement + std::string("A\0: b\r\n", 7)));
    const std::string chunked = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n" + statement + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string record = "a record of 16 b";
    for (const auto &body : {"10\rX" + record + "\r\n0\r\n\r\n", "10\r\n" + record + "\rX0\r\n\r\n", "10 x\r\n" + record + "\r\n0\r\n\r\n"}) {
        all.push_back({"chunk", chunked + body});
    }
    for (const std::string size : {"0x10", "10;a\x01"}) {
        all.push_back({"chunk size", chunked + size + "\r\n" + record + "\r\n0\r\n\r\n"});
    }
    for (const std::string trailer : {"A B: c\r\n\r\n", "A\x01: c\r\n\r\n", "\rX"}) {
        all.push_back({"trailer", chunked + "10\r\n" + record + "\r\n0\r\n" + trailer});
    }
    all.push_back(
        {"two codings", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + statement + "Transfer-Encoding: gzip, chunked\r\n\r\n10\r\na record of 16 b\r\n0\r\n\r\n"});
    return all;
}

/** Responses that a sound server may send. Each has the same body. */
std::vector<RawResponse> soundResponses()
{
    const std::string fields = "Request-Id: ID\r\nResponse-Signature: signature\r\n";
    return {response("length", "HTTP/1.1 200 OK"),
        response("empty reason", "HTTP/1.1 200 "),
        response("no space before an empty reason", "HTTP/1.1 200"),
        response("reason in another language", "HTTP/1.1 200 D\xc3\xa9j\xc3\xa0 \tvu"),
        response("unknown fields", "HTTP/1.1 200 OK", "X-!#$%&'*+-.^_`|~9:\t\"v\xe4lue\" \t\r\nEmpty:\r\n"),
        response("interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK"),
        {"chunks", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: Chunked\r\n\r\n1;a=\"b\"\r\na\r\n00F\r\n record of 16 b\r\n000\r\nTrailer: x\r\n\r\n"},
        {"surplus response", response("", "HTTP/1.1 200 OK").bytes + response("", "HTTP/1.1 000 OK").bytes}};
}

/** A fixture with servers that answer each request with the same bytes, and a route to one service. */
class RawFixture : public GatewayFixture
{
public:
    RawFixture()
    {
        this->route().targets = {{Core::ServiceName("service"), 1.0}};
    }

    void addSound(const std::string &service, const std::string &record)
    {
        (void)this->add(service, "sound", [record](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            exchange->respond(successResponse(request, "sound", record));
        });
    }

    std::shared_ptr<DuplicatingBackend> addRaw(const std::string &service, const std::string &id, const std::string &bytes)
    {
        auto server = std::make_shared<DuplicatingBackend>(*this);
        server->listen();
        server->onRun = [bytes](const DuplicatingRun &run) {
            auto answer = bytes;
            for (auto place = answer.find("ID"); place != std::string::npos; place = answer.find("ID", place)) {
                answer.replace(place, 2, *Wire::findHeader(run.request.headers, "Request-Id"));
            }
            run.connection->writeBytes(answer);
            // What follows the end of a body without a length would be awaited until the deadline.
            run.connection->close();
        };
        announce(this->pool, service, id, server->endpoint, "here");
        return server;
    }
};

}

Test(BrokenAnswers, brokenAnswerReachesNoCaller)
{
    for (const auto &broken : brokenResponses()) {
        RawFixture fixture;
        (void)fixture.addRaw("service", "server", broken.bytes);
        const auto answer = fixture.ask("x");
        cr_expect_eq(answer.status, 502, "%s: status %d, body '%s'", broken.name, answer.status, answer.body.c_str());
        cr_expect(Wire::findHeader(answer.headers, "Response-Signature") == nullptr, "%s", broken.name);
    }
}

Test(BrokenAnswers, brokenAnswerDoesNotStateThatNothingRan)
{
    for (const auto &broken : brokenResponses(notExecuted)) {
        RawFixture fixture;
        fixture.route().maximumAttempts = 3;
        const auto first = fixture.addRaw("service", "first", broken.bytes);
        const auto second = fixture.addRaw("service", "second", broken.bytes);
        const auto answer = fixture.ask("x", "POST");
        cr_expect_eq(answer.status, 502, "%s: status %d", broken.name, answer.status);
        cr_expect_eq(first->runs.size() + second->runs.size(), 1, "%s: sent %zu times", broken.name, first->runs.size() + second->runs.size());
    }
}

Test(BrokenAnswers, idempotentRequestIsServedByAnotherServer)
{
    for (const auto &broken : brokenResponses()) {
        RawFixture fixture;
        fixture.route().idempotent = true;
        fixture.route().maximumAttempts = 2;
        (void)fixture.addRaw("service", "broken", broken.bytes);
        fixture.addSound("service", completeRecord);
        for (const char *id : {"a", "b", "c"}) {
            const auto answer = fixture.ask(id);
            const auto *signature = Wire::findHeader(answer.headers, "Response-Signature");
            cr_expect(signature != nullptr && *signature == "sound", "%s: status %d", broken.name, answer.status);
        }
    }
}

Test(BrokenAnswers, searchMergesNoRecordsOfBrokenAnswer)
{
    for (const auto &broken : brokenResponses()) {
        RawFixture fixture;
        fixture.route().targets.clear();
        fixture.route().shards = {Core::ServiceName("sound"), Core::ServiceName("broken")};
        fixture.route().topRecords = 4;
        fixture.route().minimumCoverage = 0.5;
        (void)fixture.addRaw("broken", "server", broken.bytes);
        fixture.addSound("sound", "record of sound!");
        const auto answer = fixture.ask("x");
        const auto *missing = Wire::findHeader(answer.headers, "Missing-Parts");
        cr_expect(missing != nullptr && *missing == "1", "%s: status %d", broken.name, answer.status);
        cr_expect_str_eq(answer.body.c_str(), "record of sound!", "%s", broken.name);
    }
}

Test(BrokenAnswers, brokenPartOfAnotherGatewayIsNotMerged)
{
    for (const std::string start : {"HTTP/1.1 0200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 200 O\x01K"}) {
        RawFixture fixture;
        const Core::ServiceName shard("shard");
        fixture.route().targets.clear();
        fixture.route().shards = {shard};
        fixture.route().topRecords = 1;
        fixture.route().idempotent = true;
        fixture.route().maximumAttempts = 2;
        fixture.route().targetLatency = Core::seconds(5);
        fixture.relayed = {shard};
        const auto gateway = std::make_shared<DuplicatingBackend>(fixture);
        gateway->listen();
        GatewayFixture::announce(fixture.relays, Gateway::relayService("there").value(), "gateway", gateway->endpoint, "there");
        gateway->onRun = [&start](const DuplicatingRun &run) {
            Protocol::PartialAnswer part;
            part.records = "not the part's..";
            part.signatures = {"signature"};
            std::string bytes;
            (void)Wire::appendResponse(bytes, partOf(run.request, part), {});
            run.connection->writeBytes(start + bytes.substr(bytes.find('\r')));
        };
        fixture.addSound("shard", completeRecord);
        const auto answer = fixture.ask("x");
        cr_expect_str_eq(answer.body.c_str(), completeRecord.c_str(), "%s: status %d", start.c_str(), answer.status);
    }
}

// A response without a length ends with its connection. One that was cut within its head must not count as such.
Test(BrokenAnswers, headCutAtAnyByteIsNoAnswer)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\na record of 16 b";
    const auto headBytes = whole.find("\r\n\r\n") + 4;
    for (std::size_t cut = 0; cut < headBytes; ++cut) {
        RawFixture fixture;
        (void)fixture.addRaw("service", "server", whole.substr(0, cut));
        cr_expect_eq(fixture.ask("x").status, 502, "cut at %zu", cut);
    }
}

/** Sends a request with the client of entry instances and of the load client. */
static Http::ClientResult fetch(RawFixture &fixture, const std::string &bytes)
{
    Http::HttpClient client(fixture.timers);
    std::optional<Http::ClientResult> result;
    const auto server = fixture.addRaw("service", "server", bytes);
    client.send({.endpoint = server->endpoint, .target = "/", .headers = {{"Request-Id", "x"}}}, [&result](Http::ClientResult received) {
        result = std::move(received);
    });
    (void)fixture.runUntil([&result] {
        return result.has_value();
    });
    return result.value_or(Http::ClientResult());
}

Test(BrokenAnswers, httpClientReportsBrokenAnswersAsNone)
{
    for (const auto &broken : brokenResponses()) {
        RawFixture fixture;
        const auto result = fetch(fixture, broken.bytes);
        cr_expect_eq(result.status, 0, "%s: status %d, body '%s'", broken.name, result.status, result.body.c_str());
        cr_expect(result.mayHaveBeenSent, "%s", broken.name);
    }
}

Test(BrokenAnswers, soundAnswersAreAcceptedByGatewayAndClient)
{
    for (const auto &sound : soundResponses()) {
        RawFixture fixture;
        const auto result = fetch(fixture, sound.bytes);
        cr_expect(result.status == 200 && result.body == completeRecord, "%s: status %d: %s", sound.name, result.status, result.error.c_str());
        RawFixture gateway;
        (void)gateway.addRaw("service", "server", sound.bytes);
        const auto answer = gateway.ask("x");
        cr_expect(answer.status == 200 && answer.body == completeRecord, "%s: status %d", sound.name, answer.status);
    }
}
