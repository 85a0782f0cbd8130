/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Reads HTTP/1.1 messages from bytes as they arrive, with the http_parser
// library. It never reads past the end of a message: what follows stays with
// the caller, who decides whom it belongs to.

#pragma once

#include <LibWire/Message.h>

#include <cstdint>
#include <http_parser.h>

namespace Wire
{

/** What a reader has to put up with at most. */
struct MessageLimits {
    std::size_t headerBytes{16 * 1024};
    std::size_t bodyBytes{64 * 1024 * 1024};
};

/** Which messages are read. */
enum class MessageKind {
    Request,
    Response,
};

/** Where a reader stands. */
enum class ParseState {
    /** More bytes are needed. */
    Partial,
    /** The message is whole. */
    Complete,
    /** The bytes are no message. */
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
};

/** Reads one message after the other; reset() starts the next one. */
class MessageParser
{
public:
    MessageParser(MessageKind kind, MessageLimits limits);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /** Takes bytes and returns how many of them belong to this message. */
    std::size_t feed(std::string_view bytes);

    /** The other side will send no more. A response without a length is whole then. */
    void feedEnd();

    /** Starts the next message. `limits` may have changed. */
    void reset(MessageLimits newLimits);

    /** The message that was started has no body, whatever length it names, as the response to HEAD (RFC 9110, section 9.3.2). */
    void expectNoBody();

    [[nodiscard]] ParseState state() const;
    /** Whether any byte of the message has arrived. */
    [[nodiscard]] bool hasBegun() const;
    [[nodiscard]] bool headersComplete() const;
    /** Whether the other side keeps the connection after this message. Valid once it is whole. */
    [[nodiscard]] bool keepsConnection() const;
    /** Whether a caller waits for "100 Continue" before it sends the body. */
    [[nodiscard]] bool expectsContinue() const;

    /** Valid once the message is whole, for the kind that is read. */
    [[nodiscard]] Request extractRequest();
    [[nodiscard]] Response extractResponse();

private:
    static int onUrl(http_parser *parser, const char *bytes, std::size_t count);
    static int onHeaderField(http_parser *parser, const char *bytes, std::size_t count);
    static int onHeaderValue(http_parser *parser, const char *bytes, std::size_t count);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *bytes, std::size_t count);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();
    [[nodiscard]] static MessageParser &self(http_parser *parser);
    [[nodiscard]] int countHeaderBytes(std::size_t count);

    MessageKind kind;
    MessageLimits limits;
    http_parser parser{};
    ParseState currentState{ParseState::Partial};
    bool begun{false};
    bool headersDone{false};
    bool keepAlive{false};
    bool valueStarted{false};
    bool withoutBody{false};
    std::size_t headerBytes{0};
    std::string target;
    Headers headers;
    std::string body;
};

}
