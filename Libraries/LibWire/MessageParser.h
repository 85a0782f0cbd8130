/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Parses HTTP/1.1 messages from bytes as they arrive and rejects what violates the
// grammar (LibWire/Grammar.h): what it accepts is passed on to other programs. The
// parser never consumes bytes after the end of a message: they stay with the caller,
// who decides which message they belong to.

#pragma once

#include <LibWire/Message.h>

#include <cstdint>

namespace Wire
{

/** Maximum sizes of an accepted message. */
struct MessageLimits {
    /** Of the target and of the names and values of the fields, together. A line longer than that is not accepted either. */
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
    /** What the next byte belongs to. */
    enum class Stage {
        StartLine,
        Field,
        /** The body, of which `bodyLeft` bytes are missing. */
        Body,
        /** A body that ends with the stream. */
        BodyUntilEnd,
        ChunkSize,
        /** The content of a chunk, of which `bodyLeft` bytes are missing. */
        Chunk,
        ChunkEnd,
        Trailer,
    };

    std::size_t takeLine(std::string_view bytes);
    std::size_t takeBody(std::string_view bytes);
    void takePartialLine(std::string_view bytes);
    /** Returns whether the current line becomes too long with these bytes. */
    [[nodiscard]] bool exceedsLineLimit(std::string_view further) const;
    [[nodiscard]] bool mayBecomeLine(std::string_view start) const;
    void handleLine(std::string_view line);
    void handleStartLine(std::string_view line);
    void handleField(std::string_view line);
    void handleChunkSize(std::string_view line);
    void handleHeadEnd();
    void handleInterimResponse();
    void startBody();
    void expectBody(Stage newStage, std::uint64_t bytes);
    /** Reads the fields that determine the end of the message and of its connection. Returns false if they are invalid. */
    [[nodiscard]] bool readFraming();
    void countHeaderBytes(std::size_t count);
    void complete();

    MessageKind kind;
    MessageLimits limits;
    ParseState currentState{ParseState::Partial};
    Stage stage{Stage::StartLine};
    bool begun{false};
    bool headersDone{false};
    bool withoutBody{false};
    std::size_t headerBytes{0};
    std::size_t interimResponses{0};
    // The start of a line that has not arrived completely. Invariant: at most as long as a line may be.
    std::string partialLine;
    std::uint64_t bodyLeft{0};
    // How the message states its end and that of its connection.
    std::optional<std::uint64_t> contentLength;
    bool isChunked{false};
    bool keepAlive{false};
    int minorVersion{1};
    int status{0};
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

}
