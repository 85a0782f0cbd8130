/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What an HTTP handler gets and gives, free of the library that carries it.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Http
{

/** One name and value. */
struct Header {
    std::string name;
    std::string value;
};

/** A whole request. */
struct Request {
    std::string method;
    /** Decoded, without the query. */
    std::string path;
    /** The query's parameters, decoded. Of two with one name the last counts. */
    std::map<std::string, std::string> query;
    std::string contentType;
    std::string body;
    /** The value of a header, empty when it is not there. */
    std::function<std::string(const char *name)> header;

    /** A query parameter, empty when it is not there. */
    [[nodiscard]] std::string parameter(const std::string &name) const;
};

/** A whole response. */
struct Response {
    int status{200};
    std::string contentType{"application/json"};
    std::string body;
    std::vector<Header> headers;
};

/** Gives the response of one request. May be called later; calls after the connection is gone do nothing. */
class Responder
{
public:
    Responder() = default;
    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;
    virtual ~Responder() = default;

    /** To be called once. */
    virtual void respond(Response response) = 0;

    /** Called when the client went away before the response. */
    std::function<void()> aborted;
};

using ResponderPointer = std::shared_ptr<Responder>;

/** Handles one request. */
using Handler = std::function<void(const Request &request, const ResponderPointer &responder)>;

/** Text that may stand in a path segment or query value. */
[[nodiscard]] std::string escape(const std::string &text);

/** The segments of a path, empty ones left out. */
[[nodiscard]] std::vector<std::string> splitPath(const std::string &path);

}
