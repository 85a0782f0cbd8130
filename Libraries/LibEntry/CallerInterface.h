/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Parses the HTTP requests of callers into calls and converts answers to HTTP
// responses. docs/INTERFACES.md, section "Callers", describes the interface.

#pragma once

#include <LibEntry/ActionService.h>
#include <LibEntry/Problem.h>
#include <LibEntry/QueryService.h>
#include <LibHttp/Message.h>

#include <variant>

namespace Entry
{

/** A parsed request of a caller, or the problem why it is rejected. */
using CallerRequest = std::variant<QueryCall, ActionCall, Problem>;

/** Parses and validates a request. Nothing is run, so a returned Problem always has the run state NotRun. */
[[nodiscard]] CallerRequest readCallerRequest(const Http::Request &request, const Core::RequestId &requestId);

/** Converts an answer to an HTTP response. */
[[nodiscard]] Http::Response makeResponse(CallerAnswer answer, const Core::RequestId &requestId);

}
