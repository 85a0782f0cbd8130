/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RequestTrace.h>

#include <LibCore/Identity.h>

#include <algorithm>

namespace Gateway
{

// Half of a SHA-256 digest in hexadecimal: 128 bits, so that no two requests that are made on purpose have the same digest.
static constexpr std::size_t DigestCharacters = 32;

// One or two crashes may be a coincidence, and a request that is not repeated after them would fail for no reason.
static constexpr int CrashesUntilDangerous = 3;

// The length before each part keeps a part from being taken for the end of the previous one.
static void appendPart(std::string &parts, const std::string &part)
{
    parts += std::to_string(part.size());
    parts += ':';
    parts += part;
}

Fleet::RequestDigest digestOf(const CallerRequest &request)
{
    std::string parts;
    appendPart(parts, request.message.method);
    appendPart(parts, request.host);
    appendPart(parts, request.message.target);
    appendPart(parts, request.workspace.has_value() ? request.workspace->value() : std::string());
    appendPart(parts, request.message.body);
    return Fleet::RequestDigest(Core::sha256(parts).substr(0, DigestCharacters));
}

bool isDangerousToRepeat(const RequestTrace &trace)
{
    return !trace.answered && trace.crashes >= (trace.isSuspect ? 1 : CrashesUntilDangerous);
}

bool mustAwaitCrashCheck(const RequestTrace &trace)
{
    return !trace.answered && (trace.isSuspect || trace.breaks >= CrashesUntilDangerous);
}

int crashesToReport(const RequestTrace &trace)
{
    return trace.isSuspect && !trace.answered ? std::max(trace.crashes, CrashesUntilDangerous) : trace.crashes;
}

std::shared_ptr<RequestTrace> makeTrace(const CallerRequest &request, Core::Instant now)
{
    return std::make_shared<RequestTrace>(RequestTrace{.id = request.id, .digest = digestOf(request), .receivedAt = now});
}

}
