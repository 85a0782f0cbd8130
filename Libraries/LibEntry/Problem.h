/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Answers that are no success, as callers see them: RFC 9457 problem documents
// with a stable type and a word on whether the request was run.

#pragma once

#include <LibCore/Time.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Entry
{

/** Whether the request was run (brief: "When a refusal says a request was not run, it was not run"). */
enum class RunState {
    NotRun,
    Ran,
    Unknown,
};

/** The kinds of problem; docs/INTERFACES.md lists status and meaning of each. */
enum class ProblemType {
    MalformedRequest,
    UnknownService,
    UnknownAction,
    UnknownClass,
    RecordNotFound,
    Overloaded,
    Draining,
    ConfigurationStale,
    NoSnapshot,
    CoverageBelowMinimum,
    DeadlineExceeded,
    KeyReused,
    KeyExpired,
    KeyInFuture,
    InProgress,
    OutcomeUnknown,
    RecordsUnavailable,
    BackendRefused,
    TooLarge,
};

/** One problem document. */
struct Problem {
    ProblemType type{ProblemType::MalformedRequest};
    RunState run{RunState::NotRun};
    std::string detail;
    /** When the caller should come back, in whole seconds. */
    std::optional<std::chrono::seconds> retryAfter;
};

/** The HTTP status of a type. */
[[nodiscard]] int problemStatus(ProblemType type);

/** The last part of the type's URI. */
[[nodiscard]] const char *problemName(ProblemType type);

[[nodiscard]] const char *runStateName(RunState run);

/** The document. */
[[nodiscard]] nlohmann::json problemDocument(const Problem &problem, const std::string &requestId);

}
