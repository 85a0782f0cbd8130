/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/Message.h>

#include <LibWire/Grammar.h>

#include <algorithm>
#include <array>
#include <strings.h>

namespace Wire
{

bool sameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header &header) {
        return sameName(header.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

std::optional<std::string> extractHeader(Headers &headers, std::string_view name)
{
    std::optional<std::string> value;
    std::erase_if(headers, [&value, name](Header &header) {
        const bool isNamed = sameName(header.name, name);
        if (isNamed) {
            value = std::move(header.value);
        }
        return isNamed;
    });
    return value;
}

bool isConnectionHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> Names{"connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length"};
    return std::any_of(Names.begin(), Names.end(), [name](std::string_view known) {
        return sameName(known, name);
    });
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 307:
        return "Temporary Redirect";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Other";
    }
}

static void appendHeader(std::string &bytes, std::string_view name, std::string_view value)
{
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
}

static bool areValid(const Headers &headers)
{
    return std::all_of(headers.begin(), headers.end(), [](const Header &header) {
        return isToken(header.name) && isFieldText(header.value);
    });
}

bool appendRequest(std::string &bytes, const Request &request)
{
    if (!isToken(request.method) || !isTarget(request.target) || !areValid(request.headers)) {
        return false;
    }
    bytes += request.method;
    bytes += ' ';
    bytes += request.target;
    bytes += " HTTP/1.1\r\n";
    for (const auto &header : request.headers) {
        appendHeader(bytes, header.name, header.value);
    }
    const bool usuallyHasBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (usuallyHasBody || !request.body.empty()) {
        appendHeader(bytes, "Content-Length", std::to_string(request.body.size()));
    }
    bytes += "\r\n";
    bytes += request.body;
    return true;
}

bool appendResponse(std::string &bytes, const Response &response, const ResponseOptions &options)
{
    if (response.status < MinimumFinalStatus || response.status > MaximumStatus || !areValid(response.headers)) {
        return false;
    }
    bytes += "HTTP/1.1 ";
    bytes += std::to_string(response.status);
    bytes += ' ';
    bytes += reasonPhrase(response.status);
    bytes += "\r\n";
    for (const auto &header : response.headers) {
        if (!isConnectionHeader(header.name)) {
            appendHeader(bytes, header.name, header.value);
        }
    }
    const bool mayHaveBody = response.status != 204 && response.status != 304;
    if (mayHaveBody) {
        appendHeader(bytes, "Content-Length", std::to_string(response.body.size()));
    }
    if (options.close) {
        appendHeader(bytes, "Connection", "close");
    } else if (options.idleSeconds > 0) {
        appendHeader(bytes, "Keep-Alive", "timeout=" + std::to_string(options.idleSeconds));
    }
    bytes += "\r\n";
    if (mayHaveBody && !options.withoutBody) {
        bytes += response.body;
    }
    return true;
}

}
