/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/CallerInterface.h>

#include <LibCore/Settings.h>

#include <glib.h>

namespace Entry
{

static constexpr std::size_t MaximumQueryBytes = 4096;
static constexpr std::size_t MaximumKeyBytes = 512;
static constexpr std::size_t MaximumActionBytes = 64 * 1024;
static constexpr std::int64_t MaximumLimit = 1000;
static constexpr std::int32_t DefaultLimit = 10;

static Problem malformed(std::string detail)
{
    return Problem{.type = ProblemType::MalformedRequest, .run = RunState::NotRun, .detail = std::move(detail), .retryAfter = std::nullopt};
}

static bool isPlainText(const std::string &text)
{
    return g_utf8_validate_len(text.data(), text.size(), nullptr) != FALSE && text.find('\0') == std::string::npos;
}

static Core::Result<std::int64_t> numberParameter(
    const Http::Request &request, const char *name, std::int64_t fallback, std::int64_t lowest, std::int64_t highest)
{
    const std::string text = request.parameter(name);
    if (text.empty()) {
        return fallback;
    }
    auto number = Core::parseInteger(text, lowest, highest);
    if (!number.has_value()) {
        return Core::failure(Core::ErrorKind::InvalidInput, std::string(name) + ": " + number.error().message);
    }
    return number;
}

static CallerRequest readQuery(const Http::Request &request, QueryCall call)
{
    if (request.method != "GET") {
        return malformed("use GET");
    }
    if (call.subject.empty() || !isPlainText(call.subject)) {
        return malformed("the query text or the key is empty or not valid UTF-8");
    }
    const std::size_t longest = call.operation == Operation::Search ? MaximumQueryBytes : MaximumKeyBytes;
    if (call.subject.size() > longest) {
        return malformed("the query text or the key is longer than " + std::to_string(longest) + " bytes");
    }
    const auto limit = numberParameter(request, "limit", DefaultLimit, 1, MaximumLimit);
    if (!limit.has_value()) {
        return malformed(limit.error().message);
    }
    const auto minimum = numberParameter(request, "minimum_snapshot", 0, 0, INT64_MAX);
    if (!minimum.has_value()) {
        return malformed(minimum.error().message);
    }
    call.limit = static_cast<std::int32_t>(limit.value());
    call.minimumSnapshot = minimum.value();
    call.urgencyClass = request.parameter("class");
    call.explain = request.parameter("explain") == "1";
    return call;
}

static CallerRequest readAction(const Http::Request &request, ActionCall call)
{
    if (request.method != "POST") {
        return malformed("use POST");
    }
    if (request.body.size() > MaximumActionBytes) {
        return Problem{.type = ProblemType::TooLarge, .run = RunState::NotRun, .detail = {}, .retryAfter = std::nullopt};
    }
    call.key = request.header("Idempotency-Key");
    if (call.key.empty()) {
        return malformed("the header Idempotency-Key is missing; it must be a UUID of version 7");
    }
    call.routingKey = request.header("Crankrudder-Routing-Key");
    call.body = request.body;
    call.contentType = request.contentType.empty() ? "application/json" : request.contentType;
    return call;
}

CallerRequest readCallerRequest(const Http::Request &request, const Core::RequestId &requestId)
{
    const auto segments = Http::splitPath(request.path);
    const bool isService = segments.size() >= 4 && segments[0] == "v1" && segments[1] == "services";
    if (isService && segments[3] == "search" && segments.size() == 4) {
        return readQuery(request,
            QueryCall{.requestId = requestId,
                .service = Core::ServiceName(segments[2]),
                .operation = Operation::Search,
                .subject = request.parameter("q"),
                .urgencyClass = {}});
    }
    if (isService && segments[3] == "records" && segments.size() == 5) {
        return readQuery(request,
            QueryCall{
                .requestId = requestId, .service = Core::ServiceName(segments[2]), .operation = Operation::Record, .subject = segments[4], .urgencyClass = {}});
    }
    if (isService && segments[3] == "actions" && segments.size() == 5) {
        return readAction(request,
            ActionCall{.requestId = requestId,
                .service = Core::ServiceName(segments[2]),
                .action = segments[4],
                .key = {},
                .routingKey = {},
                .body = {},
                .contentType = {}});
    }
    return malformed("unknown path; see /v1/services/{service}/search, /records/{key} and /actions/{action}");
}

Http::Response makeResponse(CallerAnswer answer, const Core::RequestId &requestId)
{
    Http::Response response{.status = answer.status, .contentType = std::move(answer.contentType), .body = std::move(answer.body), .headers = {}};
    response.headers.push_back({"Crankrudder-Request-Id", requestId.value()});
    if (answer.retryAfter.has_value()) {
        response.headers.push_back({"Retry-After", std::to_string(answer.retryAfter->count())});
    }
    return response;
}

}
