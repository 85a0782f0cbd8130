/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/Problem.h>

#include <array>

namespace Entry
{

namespace
{
/** Status, name and title of a problem type. */
struct ProblemKind {
    ProblemType type;
    int status;
    const char *name;
    const char *title;
};
}

static constexpr std::array<ProblemKind, 19> Kinds{{
    {ProblemType::MalformedRequest, 400, "malformed-request", "The request breaks a rule of the interface"},
    {ProblemType::UnknownService, 404, "unknown-service", "No service of this name is declared"},
    {ProblemType::UnknownAction, 404, "unknown-action", "The service declares no action of this name"},
    {ProblemType::UnknownClass, 400, "unknown-class", "No urgency class of this name is declared"},
    {ProblemType::RecordNotFound, 404, "record-not-found", "The shard that would hold the record does not"},
    {ProblemType::Overloaded, 503, "overloaded", "The request could not be answered in time"},
    {ProblemType::Draining, 503, "draining", "This entry instance is stopping"},
    {ProblemType::ConfigurationStale, 503, "configuration-stale", "This entry instance cannot prove that its configuration is current"},
    {ProblemType::NoSnapshot, 503, "no-snapshot", "No index snapshot can be served"},
    {ProblemType::CoverageBelowMinimum, 503, "coverage-below-minimum", "Too few shards answered"},
    {ProblemType::DeadlineExceeded, 504, "deadline-exceeded", "The deadline passed"},
    {ProblemType::KeyReused, 422, "idempotency-key-reused", "The key belongs to another request"},
    {ProblemType::KeyExpired, 410, "idempotency-key-expired", "The key is older than the records that are kept"},
    {ProblemType::KeyInFuture, 400, "idempotency-key-in-future", "The key's time lies in the future"},
    {ProblemType::InProgress, 409, "in-progress", "The request is being run"},
    {ProblemType::OutcomeUnknown, 504, "outcome-unknown", "It is not known whether the request was run"},
    {ProblemType::RecordsUnavailable, 503, "records-unavailable", "The records of non-repeatable requests cannot be reached"},
    {ProblemType::BackendRefused, 503, "backend-refused", "The backend servers refused the request"},
    {ProblemType::TooLarge, 413, "too-large", "The request is too large"},
}};

static const ProblemKind &kindOf(ProblemType type)
{
    for (const auto &kind : Kinds) {
        if (kind.type == type) {
            return kind;
        }
    }
    return Kinds.front();
}

int problemStatus(ProblemType type)
{
    return kindOf(type).status;
}

const char *problemName(ProblemType type)
{
    return kindOf(type).name;
}

const char *runStateName(RunState run)
{
    switch (run) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

nlohmann::json problemDocument(const Problem &problem, const std::string &requestId)
{
    const auto &kind = kindOf(problem.type);
    nlohmann::json document = {
        {"type", std::string("urn:crankrudder:problem:") + kind.name},
        {"title", kind.title},
        {"status", kind.status},
        {"run", runStateName(problem.run)},
        {"request_id", requestId},
    };
    if (!problem.detail.empty()) {
        document["detail"] = problem.detail;
    }
    if (problem.retryAfter.has_value()) {
        document["retry_after_s"] = problem.retryAfter->count();
    }
    return document;
}

}
