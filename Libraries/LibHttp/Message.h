/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Requests and responses as HTTP handlers see them, independent of the HTTP
// library.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Http
{

/** A header's name and value. */
struct Header {
    std::string name;
    std::string value;
};

/** A completely received request. */
struct Request {
    std::string method;
    /** The path, decoded and without the query. */
    std::string path;
    /** The query's parameters, decoded. When a name occurs more than once, its last value counts. */
    std::map<std::string, std::string> query;
    std::string contentType;
    std::string body;
    /** Returns the value of a header; empty when the header is absent. */
    std::function<std::string(const char *name)> header;

    /** Returns a query parameter; empty when it is absent. */
    [[nodiscard]] std::string parameter(const std::string &name) const;
};

/** A complete response. */
struct Response {
    int status{200};
    std::string contentType{"application/json"};
    std::string body;
    std::vector<Header> headers;
};

/** Sends the response to one request, during the handler or later. Does nothing once the connection is closed. */
class Responder
{
public:
    Responder() = default;
    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;
    virtual ~Responder() = default;

    /** Sends the response. Must be called exactly once. */
    virtual void respond(Response response) = 0;

    /** Called when the client closes the connection before the response. */
    std::function<void()> aborted;
};

using ResponderPointer = std::shared_ptr<Responder>;

/** Handles one request. */
using Handler = std::function<void(const Request &request, const ResponderPointer &responder)>;

/** Percent-encodes text for use in a path segment or query value. */
[[nodiscard]] std::string escape(const std::string &text);

/** Returns the segments of a path without empty ones. */
[[nodiscard]] std::vector<std::string> splitPath(const std::string &path);

}
