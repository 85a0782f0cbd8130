/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/MessageParser.h>

#include <algorithm>

namespace Wire
{

// Return values of the http_parser callbacks; Stop makes the parser stop with an error.
static constexpr int Stop = 1;
static constexpr int Continue = 0;
// Return value of onHeadersComplete for a message without a body.
static constexpr int SkipBody = 1;

// A server may send interim responses without end in place of a final one.
static constexpr std::size_t MaximumInterimResponses = 16;

MessageParser::MessageParser(MessageKind kind, MessageLimits limits) : kind(kind), limits(limits)
{
    this->reset(limits);
}

void MessageParser::reset(MessageLimits newLimits)
{
    this->limits = newLimits;
    http_parser_init(&this->parser, this->kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
    this->currentState = ParseState::Partial;
    this->begun = false;
    this->headersDone = false;
    this->keepAlive = false;
    this->valueStarted = false;
    this->withoutBody = false;
    this->headerBytes = 0;
    this->interimResponses = 0;
    this->target.clear();
    this->headers.clear();
    this->body.clear();
}

MessageParser &MessageParser::self(http_parser *parser)
{
    return *static_cast<MessageParser *>(parser->data);
}

const http_parser_settings &MessageParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = onUrl;
        made.on_header_field = onHeaderField;
        made.on_header_value = onHeaderValue;
        made.on_headers_complete = onHeadersComplete;
        made.on_body = onBody;
        made.on_message_complete = onMessageComplete;
        return made;
    }();
    return settings;
}

void MessageParser::expectNoBody()
{
    this->withoutBody = true;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    if (this->currentState != ParseState::Partial || bytes.empty()) {
        return 0;
    }
    this->begun = true;
    const std::size_t consumed = http_parser_execute(&this->parser, &callbacks(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    if (error == HPE_PAUSED) {
        http_parser_pause(&this->parser, 0);
        return consumed;
    }
    if (error == HPE_HEADER_OVERFLOW) {
        this->currentState = ParseState::HeadersTooLarge;
    } else if (error != HPE_OK && this->currentState == ParseState::Partial) {
        this->currentState = ParseState::Malformed;
    }
    return consumed;
}

void MessageParser::feedEnd()
{
    if (this->currentState != ParseState::Partial) {
        return;
    }
    // NOTE: The end of the stream completes only a response that declares no length; http_parser recognises such a response.
    http_parser_execute(&this->parser, &callbacks(), nullptr, 0);
    if (this->currentState == ParseState::Partial) {
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
    return Request{.method = http_method_str(static_cast<http_method>(this->parser.method)),
        .target = std::move(this->target),
        .headers = std::move(this->headers),
        .body = std::move(this->body)};
}

Response MessageParser::extractResponse()
{
    return Response{.status = static_cast<int>(this->parser.status_code), .headers = std::move(this->headers), .body = std::move(this->body)};
}

int MessageParser::countHeaderBytes(std::size_t count)
{
    this->headerBytes += count;
    if (this->headerBytes <= this->limits.headerBytes) {
        return Continue;
    }
    this->currentState = ParseState::HeadersTooLarge;
    return Stop;
}

int MessageParser::onUrl(http_parser *parser, const char *bytes, std::size_t count)
{
    auto &reader = self(parser);
    reader.target.append(bytes, count);
    return reader.countHeaderBytes(count);
}

int MessageParser::onHeaderField(http_parser *parser, const char *bytes, std::size_t count)
{
    auto &reader = self(parser);
    if (reader.headersDone) {
        // This is a trailer after a chunked body. It is checked but not passed to the caller.
        return reader.countHeaderBytes(count);
    }
    if (reader.headers.empty() || reader.valueStarted) {
        reader.headers.push_back({});
        reader.valueStarted = false;
    }
    reader.headers.back().name.append(bytes, count);
    return reader.countHeaderBytes(count);
}

int MessageParser::onHeaderValue(http_parser *parser, const char *bytes, std::size_t count)
{
    auto &reader = self(parser);
    if (!reader.headersDone) {
        reader.valueStarted = true;
        reader.headers.back().value.append(bytes, count);
    }
    return reader.countHeaderBytes(count);
}

int MessageParser::onHeadersComplete(http_parser *parser)
{
    auto &reader = self(parser);
    reader.headersDone = true;
    // Implementations disagree on white space before the colon, so a message that has it is rejected (RFC 9112, section 5.1).
    const bool namesAreValid = std::all_of(reader.headers.begin(), reader.headers.end(), [](const Header &header) {
        return !header.name.empty() && header.name.find_first_of(" \t") == std::string::npos;
    });
    if (!namesAreValid) {
        reader.currentState = ParseState::Malformed;
        return -1;
    }
    if (reader.withoutBody) {
        return SkipBody;
    }
    const bool lengthKnown = parser->content_length != UINT64_MAX;
    if (lengthKnown && parser->content_length > reader.limits.bodyBytes) {
        reader.currentState = ParseState::BodyTooLarge;
        return -1;
    }
    return Continue;
}

int MessageParser::onBody(http_parser *parser, const char *bytes, std::size_t count)
{
    auto &reader = self(parser);
    if (reader.body.size() + count > reader.limits.bodyBytes) {
        reader.currentState = ParseState::BodyTooLarge;
        return Stop;
    }
    reader.body.append(bytes, count);
    return Continue;
}

int MessageParser::onMessageComplete(http_parser *parser)
{
    auto &reader = self(parser);
    const bool interim = reader.kind == MessageKind::Response && parser->status_code >= 100 && parser->status_code < 200;
    if (interim) {
        // An interim response such as "100 Continue" precedes the final response.
        if (++reader.interimResponses > MaximumInterimResponses) {
            reader.currentState = ParseState::Malformed;
            return Stop;
        }
        reader.headers.clear();
        reader.headersDone = false;
        reader.valueStarted = false;
        return Continue;
    }
    reader.keepAlive = http_should_keep_alive(parser) != 0;
    reader.currentState = ParseState::Complete;
    http_parser_pause(parser, 1);
    return Continue;
}

}
