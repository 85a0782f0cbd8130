/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/MessageParser.h>

#include <LibWire/Grammar.h>

#include <algorithm>

namespace Wire
{

// A server may send interim responses without end in place of a final one.
static constexpr std::size_t MaximumInterimResponses = 16;
// What a line contains besides the bytes that count towards the limit: method, version and separators.
static constexpr std::size_t LineOverheadBytes = 64;
// Whether an unfinished line can still become valid shows in its first bytes. Checking them again with each further byte would take quadratic time.
static constexpr std::size_t StructureBytes = 64;

// Room that a message without unusually many fields needs.
static constexpr std::size_t UsualFields = 8;

static constexpr int SwitchingProtocols = 101;
static constexpr int NoContent = 204;
static constexpr int NotModified = 304;

MessageParser::MessageParser(MessageKind kind, MessageLimits limits) : kind(kind), limits(limits)
{
}

void MessageParser::reset(MessageLimits newLimits)
{
    this->limits = newLimits;
    this->currentState = ParseState::Partial;
    this->stage = Stage::StartLine;
    this->begun = false;
    this->headersDone = false;
    this->withoutBody = false;
    this->headerBytes = 0;
    this->interimResponses = 0;
    this->partialLine.clear();
    this->bodyLeft = 0;
    this->contentLength.reset();
    this->isChunked = false;
    this->keepAlive = false;
    this->method.clear();
    this->target.clear();
    this->headers.clear();
    this->body.clear();
}

void MessageParser::expectNoBody()
{
    this->withoutBody = true;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (this->currentState == ParseState::Partial && consumed < bytes.size()) {
        this->begun = true;
        const auto rest = bytes.substr(consumed);
        const bool isBody = this->stage == Stage::Body || this->stage == Stage::BodyUntilEnd || this->stage == Stage::Chunk;
        consumed += isBody ? this->takeBody(rest) : this->takeLine(rest);
    }
    return consumed;
}

void MessageParser::feedEnd()
{
    if (this->currentState != ParseState::Partial) {
        return;
    }
    if (this->stage == Stage::BodyUntilEnd) {
        this->complete();
    } else {
        this->currentState = ParseState::Malformed;
    }
}

ParseState MessageParser::state() const
{
    return this->currentState;
}

bool MessageParser::hasBegun() const
{
    return this->begun;
}

bool MessageParser::headersComplete() const
{
    return this->headersDone;
}

std::size_t MessageParser::bodyBytes() const
{
    return this->body.size();
}

bool MessageParser::keepsConnection() const
{
    return this->keepAlive;
}

bool MessageParser::expectsContinue() const
{
    const auto *expectation = findHeader(this->headers, "Expect");
    return expectation != nullptr && sameName(*expectation, "100-continue");
}

Request MessageParser::extractRequest()
{
    return Request{.method = std::move(this->method), .target = std::move(this->target), .headers = std::move(this->headers), .body = std::move(this->body)};
}

Response MessageParser::extractResponse()
{
    return Response{.status = this->status, .headers = std::move(this->headers), .body = std::move(this->body)};
}

// ---- Lines

// Returns the number of bytes up to the end of the line.
std::size_t MessageParser::takeLine(std::string_view bytes)
{
    const auto lineFeed = bytes.find('\n');
    if (lineFeed == std::string_view::npos) {
        this->takePartialLine(bytes);
        return bytes.size();
    }
    auto line = bytes.substr(0, lineFeed);
    if (this->exceedsLineLimit(line)) {
        this->currentState = ParseState::HeadersTooLarge;
        return lineFeed + 1;
    }
    if (!this->partialLine.empty()) {
        this->partialLine.append(line);
        line = this->partialLine;
    }
    if (line.ends_with('\r')) {
        this->handleLine(line.substr(0, line.size() - 1));
    } else {
        this->currentState = ParseState::Malformed;
    }
    this->partialLine.clear();
    return lineFeed + 1;
}

bool MessageParser::exceedsLineLimit(std::string_view further) const
{
    return this->partialLine.size() + further.size() > this->limits.headerBytes + LineOverheadBytes;
}

void MessageParser::takePartialLine(std::string_view bytes)
{
    if (this->exceedsLineLimit(bytes)) {
        this->currentState = ParseState::HeadersTooLarge;
        return;
    }
    // A carriage return that is not followed by a line feed.
    const bool isInterrupted = this->partialLine.ends_with('\r');
    const bool checksStructure = this->partialLine.size() < StructureBytes;
    this->partialLine.append(bytes);
    const auto withoutReturn = [](std::string_view text) {
        text.remove_suffix(text.ends_with('\r') ? 1 : 0);
        return text;
    };
    const bool mayBecomeLine = !checksStructure || this->mayBecomeLine(withoutReturn(this->partialLine));
    if (isInterrupted || !isFieldText(withoutReturn(bytes)) || !mayBecomeLine) {
        this->currentState = ParseState::Malformed;
    }
}

bool MessageParser::mayBecomeLine(std::string_view start) const
{
    switch (this->stage) {
    case Stage::StartLine:
        return this->kind == MessageKind::Request || mayBecomeStatusLine(start);
    case Stage::Field:
    case Stage::Trailer:
        return mayBecomeFieldLine(start);
    case Stage::ChunkSize:
        return mayBecomeChunkSize(start);
    default:
        return start.empty();
    }
}

void MessageParser::handleLine(std::string_view line)
{
    switch (this->stage) {
    case Stage::StartLine:
        this->handleStartLine(line);
        break;
    case Stage::Field:
    case Stage::Trailer:
        this->handleField(line);
        break;
    case Stage::ChunkSize:
        this->handleChunkSize(line);
        break;
    case Stage::ChunkEnd:
        this->stage = Stage::ChunkSize;
        if (!line.empty()) {
            this->currentState = ParseState::Malformed;
        }
        break;
    case Stage::Body:
    case Stage::BodyUntilEnd:
    case Stage::Chunk:
        break;
    }
}

void MessageParser::handleStartLine(std::string_view line)
{
    if (this->kind == MessageKind::Response) {
        const auto parsed = parseStatusLine(line);
        if (!parsed.has_value()) {
            this->currentState = ParseState::Malformed;
            return;
        }
        this->status = parsed->status;
        this->minorVersion = parsed->minorVersion;
        this->stage = Stage::Field;
        return;
    }
    if (line.empty()) {
        // Servers ignore empty lines before a request (RFC 9112, section 2.2).
        this->countHeaderBytes(1);
        return;
    }
    const auto parsed = parseRequestLine(line);
    if (!parsed.has_value()) {
        this->currentState = ParseState::Malformed;
        return;
    }
    this->method = parsed->method;
    this->target = parsed->target;
    this->minorVersion = parsed->minorVersion;
    this->stage = Stage::Field;
    this->countHeaderBytes(this->target.size());
}

void MessageParser::handleField(std::string_view line)
{
    const bool isTrailer = this->stage == Stage::Trailer;
    if (line.empty() && isTrailer) {
        this->complete();
        return;
    }
    if (line.empty()) {
        this->handleHeadEnd();
        return;
    }
    const auto field = parseFieldLine(line);
    if (!field.has_value()) {
        this->currentState = ParseState::Malformed;
        return;
    }
    // Trailers are checked but not passed to the caller.
    if (!isTrailer) {
        if (this->headers.empty()) {
            this->headers.reserve(UsualFields);
        }
        this->headers.push_back({.name = std::string(field->name), .value = std::string(field->value)});
    }
    this->countHeaderBytes(field->name.size() + field->value.size());
}

void MessageParser::countHeaderBytes(std::size_t count)
{
    this->headerBytes += count;
    if (this->headerBytes > this->limits.headerBytes) {
        this->currentState = ParseState::HeadersTooLarge;
    }
}

// ---- The end of the head, and the body

void MessageParser::handleHeadEnd()
{
    if (this->kind == MessageKind::Response && this->status < MinimumFinalStatus) {
        this->handleInterimResponse();
        return;
    }
    this->headersDone = true;
    if (this->readFraming()) {
        this->startBody();
    } else {
        this->currentState = ParseState::Malformed;
    }
}

// An interim response such as "100 Continue" precedes the final response.
void MessageParser::handleInterimResponse()
{
    // No request offers another protocol, so a server that switches to one answers none of them.
    if (this->status == SwitchingProtocols || ++this->interimResponses > MaximumInterimResponses) {
        this->currentState = ParseState::Malformed;
        return;
    }
    this->headers.clear();
    this->stage = Stage::StartLine;
}

// Implementations disagree on messages that state their length in two ways or in a coding that is not understood (RFC 9112, section 6.3).
bool MessageParser::readFraming()
{
    bool closes = false;
    bool keeps = false;
    for (const auto &header : this->headers) {
        if (sameName(header.name, "Content-Length")) {
            const auto length = parseContentLength(header.value);
            if (!length.has_value() || this->contentLength.has_value()) {
                return false;
            }
            this->contentLength = length;
        } else if (sameName(header.name, "Transfer-Encoding")) {
            if (this->isChunked || !sameName(header.value, "chunked")) {
                return false;
            }
            this->isChunked = true;
        } else if (sameName(header.name, "Connection")) {
            closes = closes || listContains(header.value, "close");
            keeps = keeps || listContains(header.value, "keep-alive");
        }
    }
    const bool isPersistent = this->minorVersion > 0;
    this->keepAlive = !closes && (isPersistent || keeps);
    return !this->isChunked || (isPersistent && !this->contentLength.has_value());
}

void MessageParser::startBody()
{
    const bool isResponse = this->kind == MessageKind::Response;
    if (this->withoutBody || (isResponse && (this->status == NoContent || this->status == NotModified))) {
        this->complete();
    } else if (this->isChunked) {
        this->stage = Stage::ChunkSize;
    } else if (isResponse && !this->contentLength.has_value()) {
        this->keepAlive = false;
        this->stage = Stage::BodyUntilEnd;
    } else if (this->contentLength.value_or(0) == 0) {
        this->complete();
    } else {
        this->expectBody(Stage::Body, this->contentLength.value());
    }
}

void MessageParser::handleChunkSize(std::string_view line)
{
    const auto size = parseChunkSize(line);
    if (!size.has_value()) {
        this->currentState = ParseState::Malformed;
    } else if (size.value() == 0) {
        this->stage = Stage::Trailer;
    } else {
        this->expectBody(Stage::Chunk, size.value());
    }
}

void MessageParser::expectBody(Stage newStage, std::uint64_t bytes)
{
    this->stage = newStage;
    this->bodyLeft = bytes;
    if (bytes > this->limits.bodyBytes - this->body.size()) {
        this->currentState = ParseState::BodyTooLarge;
    }
}

// Returns the number of bytes that belong to the body or to the current chunk.
std::size_t MessageParser::takeBody(std::string_view bytes)
{
    if (this->stage == Stage::BodyUntilEnd) {
        if (bytes.size() > this->limits.bodyBytes - this->body.size()) {
            this->currentState = ParseState::BodyTooLarge;
            return 0;
        }
        this->body.append(bytes);
        return bytes.size();
    }
    const auto content = bytes.substr(0, std::min<std::uint64_t>(bytes.size(), this->bodyLeft));
    this->body.append(content);
    this->bodyLeft -= content.size();
    if (this->bodyLeft > 0) {
        return content.size();
    }
    if (this->stage == Stage::Chunk) {
        this->stage = Stage::ChunkEnd;
    } else {
        this->complete();
    }
    return content.size();
}

void MessageParser::complete()
{
    this->currentState = ParseState::Complete;
}

}
