/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Reads callers' HTTP requests into calls. docs/INTERFACES.md, "Callers".

#pragma once

#include <LibEntry/ActionService.h>
#include <LibEntry/Problem.h>
#include <LibEntry/QueryService.h>
#include <LibHttp/Message.h>

#include <variant>

namespace Entry
{

/** What a caller asked for, or what is wrong with it. */
using CallerRequest = std::variant<QueryCall, ActionCall, Problem>;

/** Checks every part of a request. Nothing of it has been run when a Problem comes back. */
[[nodiscard]] CallerRequest readCallerRequest(const Http::Request &request, const Core::RequestId &requestId);

/** The response that an answer makes. */
[[nodiscard]] Http::Response makeResponse(CallerAnswer answer, const Core::RequestId &requestId);

}
