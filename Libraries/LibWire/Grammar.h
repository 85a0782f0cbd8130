/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The grammar of HTTP/1.1 messages (RFC 9112) and of their fields (RFC 9110), line by
// line. Where a rule lets recipients accept more than senders may send, the line is
// rejected: implementations disagree on such lines, and what one of them takes for
// the end of a message is the start of another for the next.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Wire
{

/** Statuses outside of this range are invalid (RFC 9110, section 15). */
constexpr int MinimumStatus = 100;
constexpr int MaximumStatus = 599;
/** Responses with a lower status are interim: a final response follows. */
constexpr int MinimumFinalStatus = 200;

/** Returns whether text is a token, such as a method or the name of a field (RFC 9110, section 5.6.2). */
[[nodiscard]] bool isToken(std::string_view text);

/** Returns whether text consists of bytes that the value of a field or a reason phrase may contain: no control bytes but the tab (RFC 9110, section 5.5). */
[[nodiscard]] bool isFieldText(std::string_view text);

/** Returns whether text may be the target of a request: not empty, without white space and control bytes. The URI itself is not checked. */
[[nodiscard]] bool isTarget(std::string_view text);

struct StatusLine {
    int status{0};
    int minorVersion{1};
};

struct RequestLine {
    std::string_view method;
    std::string_view target;
    int minorVersion{1};
};

/** A field without the white space around its value. */
struct FieldLine {
    std::string_view name;
    std::string_view value;
};

// Each of these takes a line without its CR LF, and returns nothing if the line is invalid.

/** The space before an empty reason phrase may be absent: many servers omit it, and no other reading is possible. */
[[nodiscard]] std::optional<StatusLine> parseStatusLine(std::string_view line);
[[nodiscard]] std::optional<RequestLine> parseRequestLine(std::string_view line);
[[nodiscard]] std::optional<FieldLine> parseFieldLine(std::string_view line);

/** Returns the size of a chunk in bytes, UINT64_MAX if it is not representable. Extensions are ignored (RFC 9112, section 7.1). */
[[nodiscard]] std::optional<std::uint64_t> parseChunkSize(std::string_view line);

/** Returns the value of a Content-Length field in bytes, UINT64_MAX if it is not representable. */
[[nodiscard]] std::optional<std::uint64_t> parseContentLength(std::string_view value);

// Each of these takes what has arrived of a line, and returns whether the line can still become a valid one. A server in trouble may send noise without
// ending a line, and its requests should not wait for the end.

[[nodiscard]] bool mayBecomeStatusLine(std::string_view start);
[[nodiscard]] bool mayBecomeFieldLine(std::string_view start);
[[nodiscard]] bool mayBecomeChunkSize(std::string_view start);

/** Returns whether a list of tokens, such as the value of a Connection field, contains a token, ignoring case (RFC 9110, section 5.6.1). */
[[nodiscard]] bool listContains(std::string_view list, std::string_view token);

}
