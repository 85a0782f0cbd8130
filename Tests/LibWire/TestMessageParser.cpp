/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests MessageParser. Where a test concerns incremental parsing, it feeds the input in two pieces, split at every position.

#include <LibWire/MessageParser.h>

#include <criterion/criterion.h>
#include <random>

using Wire::MessageKind;
using Wire::MessageParser;
using Wire::ParseState;

namespace
{

constexpr Wire::MessageLimits SmallLimits{.headerBytes = 200, .bodyBytes = 20};

/** Feeds the bytes in two pieces and returns how many of them belong to the message. */
std::size_t feedInTwoPieces(MessageParser &parser, std::string_view bytes, std::size_t cut)
{
    std::size_t consumed = parser.feed(bytes.substr(0, cut));
    if (consumed == cut) {
        consumed += parser.feed(bytes.substr(cut));
    }
    return consumed;
}

}

Test(MessageParser, parsesRequestsSplitAtAnyPosition)
{
    struct Case {
        const char *name;
        const char *bytes;
        ParseState state;
        const char *body;
    };
    const std::vector<Case> cases{
        {"plain", "GET /a/b?c=1 HTTP/1.1\r\nHost: h\r\n\r\n", ParseState::Complete, ""},
        {"length", "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", ParseState::Complete, "hello"},
        {"chunks", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", ParseState::Complete, "hello"},
        {"chunks with a trailer", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n", ParseState::Complete, "hello"},
        {"both lengths", "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ParseState::Malformed, ""},
        {"two lengths", "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", ParseState::Malformed, ""},
        {"negative length", "POST /a HTTP/1.1\r\nContent-Length: -5\r\n\r\nhello", ParseState::Malformed, ""},
        {"unknown coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nhello", ParseState::Malformed, ""},
        {"no HTTP", "hello there\r\n\r\n", ParseState::Malformed, ""},
        {"blank before colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", ParseState::Malformed, ""},
        {"body over the limit", "POST /a HTTP/1.1\r\nContent-Length: 21\r\n\r\n", ParseState::BodyTooLarge, ""},
        {"chunks over the limit",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n123456789012345678901\r\n0\r\n\r\n",
            ParseState::BodyTooLarge,
            ""},
        {"blank in a name", "GET / HTTP/1.1\r\nHost h: h\r\n\r\n", ParseState::Malformed, ""},
        {"control byte in a name", "GET / HTTP/1.1\r\nHost\x01: h\r\n\r\n", ParseState::Malformed, ""},
        {"control byte in a value", "GET / HTTP/1.1\r\nHost: \x01\r\n\r\n", ParseState::Malformed, ""},
        {"control byte in the target", "GET /\x7f HTTP/1.1\r\n\r\n", ParseState::Malformed, ""},
        {"folded field", "GET / HTTP/1.1\r\nHost: h\r\n i\r\n\r\n", ParseState::Malformed, ""},
        {"CR without LF at the end of the head", "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\rXhello", ParseState::Malformed, ""},
        {"CR without LF in a value", "GET / HTTP/1.1\r\nHost: h\rA: b\r\n\r\n", ParseState::Malformed, ""},
        {"LF without CR", "GET / HTTP/1.1\nHost: h\n\n", ParseState::Malformed, ""},
        {"CR without LF in the request line", "GET / HTTP/1.1\rHost: h\r\n\r\n", ParseState::Malformed, ""},
        {"unknown version", "GET / HTTP/2.0\r\n\r\n", ParseState::Malformed, ""},
        {"two blanks", "GET  / HTTP/1.1\r\n\r\n", ParseState::Malformed, ""},
        {"length in two parts", "POST /a HTTP/1.1\r\nContent-Length: 5 5\r\n\r\nhello", ParseState::Malformed, ""},
        {"length that overflows", "POST /a HTTP/1.1\r\nContent-Length: 18446744073709551621\r\n\r\nhello", ParseState::BodyTooLarge, ""},
        {"chunk that overflows", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello", ParseState::BodyTooLarge, ""},
        {"empty lines before a request", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", ParseState::Complete, ""},
        // A server may ignore an offer of another protocol (RFC 9110, section 7.8).
        {"another protocol", "GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", ParseState::Complete, ""},
    };
    for (const auto &item : cases) {
        const std::string_view bytes(item.bytes);
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            MessageParser parser(MessageKind::Request, SmallLimits);
            (void)feedInTwoPieces(parser, bytes, cut);
            cr_assert(parser.state() == item.state, "%s, cut at %zu: state %d", item.name, cut, static_cast<int>(parser.state()));
            if (item.state == ParseState::Complete) {
                cr_assert(parser.extractRequest().body == item.body, "%s, cut at %zu", item.name, cut);
            }
        }
    }
}

Test(MessageParser, rejectsHeadersAboveTheLimit)
{
    MessageParser parser(MessageKind::Request, SmallLimits);
    (void)parser.feed("GET / HTTP/1.1\r\nLong: " + std::string(300, 'x') + "\r\n\r\n");
    cr_assert(parser.state() == ParseState::HeadersTooLarge);
}

Test(MessageParser, consumesNoBytesAfterTheMessage)
{
    const std::string first = "POST /first HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    const std::string both = first + "GET /second HTTP/1.1\r\n\r\n";
    for (std::size_t cut = 0; cut <= both.size(); ++cut) {
        MessageParser parser(MessageKind::Request, SmallLimits);
        cr_assert(feedInTwoPieces(parser, both, cut) == first.size(), "cut at %zu", cut);
        cr_assert(parser.extractRequest().target == "/first");
    }
}

Test(MessageParser, recognisesCompleteResponses)
{
    struct Case {
        const char *name;
        const char *bytes;
        bool ends;
        ParseState state;
    };
    const std::vector<Case> cases{
        {"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, ParseState::Complete},
        {"too short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", true, ParseState::Malformed},
        {"no length, open", "HTTP/1.1 200 OK\r\n\r\nhi", false, ParseState::Partial},
        {"no length, ended", "HTTP/1.1 200 OK\r\n\r\nhi", true, ParseState::Complete},
        {"after an interim one", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, ParseState::Complete},
        {"only an interim one", "HTTP/1.1 100 Continue\r\n\r\n", true, ParseState::Malformed},
        {"no content", "HTTP/1.1 204 No Content\r\n\r\n", false, ParseState::Complete},
        {"nothing", "", true, ParseState::Malformed},
    };
    for (const auto &item : cases) {
        MessageParser parser(MessageKind::Response, SmallLimits);
        (void)parser.feed(item.bytes);
        if (item.ends) {
            parser.feedEnd();
        }
        cr_assert(parser.state() == item.state, "%s", item.name);
    }
}

// A server in trouble may send noise and keep the connection open. Its request is answered sooner if the noise is recognised before a line ends.
Test(MessageParser, recognisesNoiseBeforeTheLineEnds)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::pair<std::string, std::vector<const char *>>> cases{
        {"", {"n", "\r\n", "HTTP/1.1 0", "HTTP/1.1 6", "HTTP/1.1 200O", "HTTP/1.1 200 \x01", "HTTP/1.1 200 OK\rX"}},
        {head, {"A b", " ", "A: \x01", "A: b\rc"}},
        {head + "Transfer-Encoding: chunked\r\n\r\n", {"x", "5x", "5\r\nhelloX", "0\r\nA b"}}};
    for (const auto &[start, ends] : cases) {
        for (const char *end : ends) {
            const auto bytes = start + end;
            for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
                MessageParser parser(MessageKind::Response, SmallLimits);
                (void)feedInTwoPieces(parser, bytes, cut);
                cr_assert(parser.state() == ParseState::Malformed, "%s, cut at %zu", bytes.c_str(), cut);
            }
        }
    }
}

Test(MessageParser, limitsLinesThatDoNotEnd)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto &start : {std::string("HTTP/1.1 200 "), head + "A: ", head + "Transfer-Encoding: chunked\r\n\r\n5;"}) {
        MessageParser parser(MessageKind::Response, SmallLimits);
        (void)parser.feed(start);
        for (int number = 0; number < 1000 && parser.state() == ParseState::Partial; ++number) {
            (void)parser.feed("x");
        }
        cr_assert(parser.state() == ParseState::HeadersTooLarge, "%s", start.c_str());
    }
}

// The verdict on a response must not depend on the segments in which it arrives, and fields of an accepted one can be written again.
Test(MessageParser, acceptsOnlyValidResponsesInRandomRuns)
{
    static constexpr int Seeds = 20000;
    const std::vector<std::string> valid{"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 100 Go\r\n\r\nHTTP/1.0 404 \r\nA: b\r\n\r\nhello",
        "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nC: d\r\n\r\n"};
    const std::string noise("\r\n\t \0\x01\x7f\xff:;09aZ/", 15);
    for (int seed = 0; seed < Seeds; ++seed) {
        std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
        auto bytes = valid[random() % valid.size()];
        for (auto changes = random() % 3; changes > 0; --changes) {
            const auto place = random() % bytes.size();
            const auto removed = random() % 2;
            bytes.replace(place, removed, 1, noise[random() % noise.size()]);
        }
        MessageParser whole(MessageKind::Response, SmallLimits);
        const auto consumed = whole.feed(bytes);
        whole.feedEnd();
        MessageParser byByte(MessageKind::Response, SmallLimits);
        std::size_t fed = 0;
        while (fed < bytes.size() && byByte.state() == ParseState::Partial) {
            fed += byByte.feed(bytes.substr(fed, 1));
        }
        byByte.feedEnd();
        cr_assert((whole.state() == ParseState::Complete) == (byByte.state() == ParseState::Complete), "seed %d", seed);
        if (whole.state() != ParseState::Complete) {
            continue;
        }
        cr_assert_eq(consumed, fed, "seed %d", seed);
        const auto response = whole.extractResponse();
        cr_assert(response.status >= 200 && response.status <= 599, "seed %d: status %d", seed, response.status);
        cr_assert(response.body == byByte.extractResponse().body, "seed %d", seed);
        for (const auto &header : response.headers) {
            cr_assert(!header.name.empty() && header.name.find_first_of("\r\n\t \x01\x7f:") == std::string::npos, "seed %d", seed);
            cr_assert(header.value.find_first_of(std::string_view("\r\n\0\x01\x7f", 5)) == std::string::npos, "seed %d", seed);
        }
    }
}

Test(MessageParser, writerRefusesRequestsThatItCannotParse)
{
    const Wire::Request valid{.method = "GET", .target = "/a", .headers = {{"A", "b c\t\xe4"}}, .body = {}};
    std::string bytes;
    cr_assert(Wire::appendRequest(bytes, valid));
    const std::string valueWithNul(1, '\0');
    for (const auto &request : {Wire::Request{"", "/a", {}, {}},
             Wire::Request{"G T", "/a", {}, {}},
             Wire::Request{"GET /b HTTP/1.1\r\n", "/a", {}, {}},
             Wire::Request{"GET", "", {}, {}},
             Wire::Request{"GET", "/a b", {}, {}},
             Wire::Request{"GET", "/a\r\n\r\n", {}, {}},
             Wire::Request{"GET", "/a", {{"", "b"}}, {}},
             Wire::Request{"GET", "/a", {{"A:", "b"}}, {}},
             Wire::Request{"GET", "/a", {{"A", "b\r\nC: d"}}, {}},
             Wire::Request{"GET", "/a", {{"A", valueWithNul}}, {}}}) {
        cr_assert_not(Wire::appendRequest(bytes, request), "%s %s", request.method.c_str(), request.target.c_str());
    }
    MessageParser parser(MessageKind::Request, SmallLimits);
    cr_assert_eq(parser.feed(bytes), bytes.size(), "nothing of the refused requests is written");
    cr_assert(parser.state() == ParseState::Complete);
}
