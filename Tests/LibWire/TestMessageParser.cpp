/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests MessageParser. Where a test concerns incremental parsing, it feeds the input in two pieces, split at every position.

#include <LibWire/MessageParser.h>

#include <criterion/criterion.h>

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
