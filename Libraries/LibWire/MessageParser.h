/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Parses HTTP/1.1 messages from bytes as they arrive, with the http_parser
// library. The parser never consumes bytes after the end of a message: they stay
// with the caller, who decides which message they belong to.

#pragma once

#include <LibWire/Message.h>

#include <cstdint>
#include <http_parser.h>

namespace Wire
{

/** Maximum sizes of an accepted message. */
struct MessageLimits {
    std::size_t headerBytes{16 * 1024};
    std::size_t bodyBytes{64 * 1024 * 1024};
};

/** The kind of message that is parsed. */
enum class MessageKind {
    Request,
    Response,
};

/** State of the message that is being parsed. */
enum class ParseState {
    /** More bytes are needed. */
    Partial,
    /** The message is complete. */
    Complete,
    /** The bytes are not a valid message. */
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
};

/** Parses one message after another; reset() starts the next one. */
class MessageParser
{
public:
    MessageParser(MessageKind kind, MessageLimits limits);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /** Parses bytes and returns how many of them belong to this message. */
    std::size_t feed(std::string_view bytes);

    /** To be called when the other side has ended its stream. This completes a response that declares no length; another partial message is malformed. */
    void feedEnd();

    /** Starts the next message with the given limits. */
    void reset(MessageLimits newLimits);

    /** States that the current message has no body, whatever length it declares. This holds for a response to HEAD (RFC 9110, section 9.3.2). */
    void expectNoBody();

    [[nodiscard]] ParseState state() const;
    /** Returns whether any byte of the message has arrived. */
    [[nodiscard]] bool hasBegun() const;
    [[nodiscard]] bool headersComplete() const;
    /** Number of bytes of the body that have arrived. */
    [[nodiscard]] std::size_t bodyBytes() const;
    /** Returns whether the other side keeps the connection open after this message. Valid once the message is complete. */
    [[nodiscard]] bool keepsConnection() const;
    /** Returns whether the sender waits for "100 Continue" before it sends the body. */
    [[nodiscard]] bool expectsContinue() const;

    /** Moves the message out of the parser. Valid once the message is complete, for a parser of this kind of message. */
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
    std::size_t interimResponses{0};
    std::string target;
    Headers headers;
    std::string body;
};

}
