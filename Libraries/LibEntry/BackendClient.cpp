/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/BackendClient.h>

#include <LibCore/Json.h>
#include <LibEntry/Announcement.h>

namespace Entry
{

static constexpr int StatusOk = 200;
static constexpr int FirstClientError = 400;
static constexpr int FirstServerError = 500;
static constexpr std::size_t MaximumActionBody = 64 * 1024;

BackendClient::BackendClient(Core::TimerService &timers) : http(timers)
{
}

const BackendClientCounters &BackendClient::counters() const
{
    return this->counts;
}

static std::string targetOf(const BackendRequest &request)
{
    switch (request.operation) {
    case Operation::Search:
        return "/v1/search?q=" + Http::escape(request.subject) + "&limit=" + std::to_string(request.limit);
    case Operation::Record:
        return "/v1/records/" + Http::escape(request.subject);
    case Operation::Action:
        return "/v1/actions/" + Http::escape(request.subject);
    }
    return "/";
}

static Http::ClientRequest makeRequest(const AttemptRequest &attempt)
{
    const auto &request = *attempt.request;
    Http::ClientRequest exchange;
    exchange.endpoint = attempt.endpoint;
    exchange.target = targetOf(request);
    exchange.connectionsPerHost = attempt.connectionShare;
    exchange.headers = {
        {BackendHeader::Attempt, attempt.attempt.value()},
        {BackendHeader::Service, request.service.value()},
        {BackendHeader::Shard, std::to_string(attempt.shard.value())},
        {BackendHeader::SnapshotVersion, std::to_string(attempt.snapshot.version)},
        {BackendHeader::ShardMap, attempt.snapshot.shardMap},
        {BackendHeader::TimeLeft, std::to_string(std::max<std::int64_t>(0, Core::toMilliseconds(attempt.timeLeft)))},
    };
    if (request.operation == Operation::Action) {
        // NOTE: Actions are sent as POST, since HttpClient resends a GET when its kept connection ends without a response.
        exchange.method = "POST";
        exchange.body = request.body;
        exchange.contentType = request.contentType;
        exchange.headers.push_back({BackendHeader::IdempotencyKey, request.idempotencyKey});
    }
    return exchange;
}

void BackendClient::send(const AttemptRequest &attempt, ResultHook done)
{
    ++this->counts.exchanges;
    const auto exchange = this->http.send(makeRequest(attempt), [this, attempt, done = std::move(done)](Http::ClientResult result) {
        this->exchanges.erase(attempt.attempt);
        const bool isAction = attempt.request->operation == Operation::Action;
        done(isAction ? this->readActionResult(attempt, std::move(result)) : this->readResult(attempt, std::move(result)));
    });
    this->exchanges.emplace(attempt.attempt, exchange);
}

void BackendClient::cancel(const Core::AttemptId &attempt)
{
    const auto found = this->exchanges.find(attempt);
    if (found != this->exchanges.end()) {
        this->http.cancel(found->second);
        this->exchanges.erase(found);
    }
}

static AttemptResult failedResult(AttemptStatus status, std::string message)
{
    AttemptResult result;
    result.status = status;
    result.message = std::move(message);
    return result;
}

static RefusalReason refusalFromName(const std::string &name)
{
    for (const auto reason : {RefusalReason::Draining, RefusalReason::Shedding, RefusalReason::SnapshotGone, RefusalReason::DeadlineTooShort}) {
        if (name == refusalReasonName(reason)) {
            return reason;
        }
    }
    return RefusalReason::Other;
}

// A refusal is accepted only if it names this attempt, since the refusal of another attempt does not prove that this one was not run.
static bool isRefusal(const AttemptRequest &attempt, const Http::ClientResult &result)
{
    return result.status >= FirstClientError && result.header(BackendHeader::Run) == "not-run"
        && result.header(BackendHeader::Attempt) == attempt.attempt.value();
}

static AttemptResult refusedResult(const Http::ClientResult &result)
{
    AttemptResult refused = failedResult(AttemptStatus::Refused, result.header(BackendHeader::Reason));
    refused.refusal = refusalFromName(refused.message);
    return refused;
}

AttemptResult BackendClient::readResult(const AttemptRequest &attempt, Http::ClientResult result)
{
    if (result.status == 0) {
        return failedResult(result.mayHaveBeenSent ? AttemptStatus::Failed : AttemptStatus::NotSent, result.error);
    }
    if (isRefusal(attempt, result)) {
        return refusedResult(result);
    }
    if (result.status != StatusOk) {
        return failedResult(AttemptStatus::Failed, "status " + std::to_string(result.status));
    }
    return this->readDocument(attempt, result);
}

static bool hasHits(const nlohmann::json &document)
{
    const auto hits = document.find("hits");
    if (hits == document.end() || !hits->is_array()) {
        return false;
    }
    for (const auto &hit : *hits) {
        const bool wellFormed = hit.is_object() && hit.contains("id") && hit["id"].is_string() && hit.contains("score") && hit["score"].is_number();
        if (!wellFormed) {
            return false;
        }
    }
    return true;
}

static bool hasRecord(const nlohmann::json &document)
{
    const auto found = document.find("found");
    if (found == document.end() || !found->is_boolean()) {
        return false;
    }
    return !found->get<bool>() || document.contains("record");
}

AttemptResult BackendClient::readDocument(const AttemptRequest &attempt, const Http::ClientResult &result)
{
    auto document = Core::parseObject(result.body);
    if (!document.has_value()) {
        ++this->counts.malformed;
        return failedResult(AttemptStatus::Failed, document.error().message);
    }
    const auto checked = checkReply(document.value(), attempt);
    if (!checked.has_value()) {
        ++this->counts.mismatched;
        return failedResult(AttemptStatus::Failed, checked.error().message);
    }
    const bool wellFormed = attempt.request->operation == Operation::Search ? hasHits(document.value()) : hasRecord(document.value());
    if (!wellFormed) {
        ++this->counts.malformed;
        return failedResult(AttemptStatus::Failed, "the reply has no valid hits or record");
    }
    AttemptResult answered;
    answered.status = AttemptStatus::Answered;
    answered.statusCode = result.status;
    answered.document = std::move(document.value());
    return answered;
}

AttemptResult BackendClient::readActionResult(const AttemptRequest &attempt, Http::ClientResult result)
{
    if (result.status == 0) {
        return failedResult(result.mayHaveBeenSent ? AttemptStatus::Failed : AttemptStatus::NotSent, result.error);
    }
    if (isRefusal(attempt, result)) {
        return refusedResult(result);
    }
    if (result.status >= FirstServerError || result.header(BackendHeader::Attempt) != attempt.attempt.value()) {
        ++this->counts.mismatched;
        return failedResult(AttemptStatus::Failed, "status " + std::to_string(result.status) + " does not tell whether the action ran");
    }
    if (result.body.size() > MaximumActionBody) {
        return failedResult(AttemptStatus::Failed, "the action ran, but its result exceeds 64 KiB and can't be recorded");
    }
    AttemptResult answered;
    answered.status = AttemptStatus::Answered;
    answered.statusCode = result.status;
    answered.contentType = result.contentType.empty() ? "application/octet-stream" : result.contentType;
    answered.body = std::move(result.body);
    return answered;
}

Core::Result<void> checkReply(const nlohmann::json &document, const AttemptRequest &attempt)
{
    const auto mismatch = [](const char *what) {
        return Core::failure(Core::ErrorKind::InvalidInput, std::string("the reply names another ") + what);
    };
    if (Core::textMember(document, "attempt").value_or("") != attempt.attempt.value()) {
        return mismatch("attempt");
    }
    if (Core::textMember(document, "service").value_or("") != attempt.request->service.value()) {
        return mismatch("service");
    }
    if (Core::integerMember(document, "shard", 0, INT32_MAX).value_or(-1) != attempt.shard.value()) {
        return mismatch("shard");
    }
    const auto snapshot = document.find("snapshot");
    if (snapshot == document.end() || !snapshot->is_object()) {
        return mismatch("snapshot");
    }
    const bool sameVersion = Core::integerMember(*snapshot, "version", 1, INT64_MAX).value_or(-1) == attempt.snapshot.version;
    const bool sameMap = Core::textMember(*snapshot, "shard_map").value_or("") == attempt.snapshot.shardMap;
    if (!sameVersion || !sameMap) {
        return mismatch("snapshot");
    }
    return {};
}

void BackendClient::probe(const Core::Endpoint &endpoint, std::function<void(Core::Result<Protocol::Announcement> announcement)> done)
{
    Http::ClientRequest request;
    request.endpoint = endpoint;
    request.target = "/v1/announcement";
    // NOTE: The connection is closed after the reply. Kept alive, it would count against the replica's connection cap without serving requests.
    request.headers = {{"Connection", "close"}};
    request.connectionsPerHost = 1;
    this->http.send(request, [done = std::move(done)](const Http::ClientResult &result) {
        if (result.status != StatusOk) {
            done(Core::failure(Core::ErrorKind::Unreachable, result.error));
            return;
        }
        const auto document = Core::parseObject(result.body);
        if (!document.has_value()) {
            done(tl::make_unexpected(document.error()));
            return;
        }
        done(announcementFromJson(document.value()));
    });
}

}
