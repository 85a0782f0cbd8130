/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Error answers to callers: RFC 9457 problem documents with a stable type and a
// member that tells whether the request was run.

#pragma once

#include <LibCore/Time.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Entry
{

/** Whether a request was run. NotRun is a guarantee, as the brief requires: "When a refusal says a request was not run, it was not run". */
enum class RunState {
    NotRun,
    Ran,
    Unknown,
};

/** Types of problems. docs/INTERFACES.md lists the status and meaning of each. */
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

/** A problem that is reported to a caller. */
struct Problem {
    ProblemType type{ProblemType::MalformedRequest};
    RunState run{RunState::NotRun};
    std::string detail;
    /** Time after which the caller should retry, in whole seconds. */
    std::optional<std::chrono::seconds> retryAfter;
};

/** HTTP status of a problem type. */
[[nodiscard]] int problemStatus(ProblemType type);

/** Last part of the type's URI. */
[[nodiscard]] const char *problemName(ProblemType type);

[[nodiscard]] const char *runStateName(RunState run);

/** Converts a problem to its JSON document. */
[[nodiscard]] nlohmann::json problemDocument(const Problem &problem, const std::string &requestId);

}
