/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// HTTP/1.1 messages as plain values, and the text that they travel as.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wire
{

/** One header line. */
struct Header {
    std::string name;
    std::string value;
};

/** Header lines in the order in which they came. */
using Headers = std::vector<Header>;

/** Whether two header names are the same; case does not count (RFC 9110, section 5.1). */
[[nodiscard]] bool sameName(std::string_view left, std::string_view right);

/** The value of the first header with this name, or nullptr. */
[[nodiscard]] const std::string *findHeader(const Headers &headers, std::string_view name);

/** Removes all headers with this name, and returns the value of the last of them; nothing when there is none. */
[[nodiscard]] std::optional<std::string> extractHeader(Headers &headers, std::string_view name);

/** Whether a header concerns one connection only, so that it is never passed on (RFC 9110, section 7.6.1). */
[[nodiscard]] bool isConnectionHeader(std::string_view name);

/** A whole request. */
struct Request {
    std::string method;
    /** As it stood in the request line, query included. */
    std::string target;
    Headers headers;
    std::string body;
};

/** A whole response. */
struct Response {
    int status{0};
    Headers headers;
    std::string body;
};

/** The usual words for a status. */
[[nodiscard]] const char *reasonPhrase(int status);

/** Appends a request's line and headers, with a length when there is a body or the method usually has one. */
void appendRequest(std::string &bytes, const Request &request);

/** What the server says about the connection along with a response. */
struct ResponseOptions {
    bool close{false};
    /** Sent as `Keep-Alive: timeout=`; nothing is sent for 0. */
    long idleSeconds{0};
    /** A response to HEAD carries a length but no body. */
    bool withoutBody{false};
};

/** Appends a whole response. Connection headers in `response` are left out; they are made from `options`. */
void appendResponse(std::string &bytes, const Response &response, const ResponseOptions &options);

}
