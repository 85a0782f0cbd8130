/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// HTTP/1.1 messages as plain values, and their serialization.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wire
{

/** What a client sends after a request to confirm it (ClientRequest::mayConfirm). Between requests, servers ignore an empty line. */
constexpr std::string_view Confirmation = "\r\n";

/** One header line. */
struct Header {
    std::string name;
    std::string value;
};

/** Header lines in the order of the message. */
using Headers = std::vector<Header>;

/** Returns whether two header names are equal, ignoring case (RFC 9110, section 5.1). */
[[nodiscard]] bool sameName(std::string_view left, std::string_view right);

/** Returns the value of the first header with this name, or nullptr. */
[[nodiscard]] const std::string *findHeader(const Headers &headers, std::string_view name);

/** Removes all headers with this name and returns the value of the last one; empty when there is none. */
[[nodiscard]] std::optional<std::string> extractHeader(Headers &headers, std::string_view name);

/** Returns whether a header applies to a single connection only and is never forwarded (RFC 9110, section 7.6.1). */
[[nodiscard]] bool isConnectionHeader(std::string_view name);

/** A complete request. */
struct Request {
    std::string method;
    /** The target of the request line, including the query. */
    std::string target;
    Headers headers;
    std::string body;
};

/** A complete response. */
struct Response {
    int status{0};
    Headers headers;
    std::string body;
};

/** The standard reason phrase of a status code, or "Other" for a code that is not in the table. */
[[nodiscard]] const char *reasonPhrase(int status);

/**
 * Appends a request. A Content-Length header is added when there is a body or the method usually has one. Appends nothing and returns false if the request
 * violates the grammar: a part of it would be read as something else.
 */
[[nodiscard]] bool appendRequest(std::string &bytes, const Request &request);

/** How a response is serialized, and what it states about the connection. */
struct ResponseOptions {
    /** Sent as `Connection: close`. */
    bool close{false};
    /** Sent as `Keep-Alive: timeout=`, unless it is 0 or `close` is set. */
    long idleSeconds{0};
    /** Set for a response to HEAD, which has a length but no body. */
    bool withoutBody{false};
};

/**
 * Appends a final response. Connection headers in `response` are omitted; those that are sent follow from `options`. Appends nothing and returns false if the
 * response violates the grammar.
 */
[[nodiscard]] bool appendResponse(std::string &bytes, const Response &response, const ResponseOptions &options);

}
