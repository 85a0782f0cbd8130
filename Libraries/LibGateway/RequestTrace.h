/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What is known of a caller's request, also after it was destroyed. A request's id
// differs between its retries, so the trace also identifies its content, by a digest
// that all gateways compute alike.

#pragma once

#include <LibGateway/Dialect.h>

namespace Gateway
{

/** Shared by all sends of one request. */
struct RequestTrace {
    /** Identifies one attempt of the caller. */
    Core::RequestId id;
    /** Identifies the content, which is the same for all attempts. */
    Fleet::RequestDigest digest;
    /** When this gateway received the request. */
    Core::Instant receivedAt;
    /** Whether backend servers crashed under earlier attempts; see Fleet::RequestStanding::Suspect. */
    bool isSuspect{false};
    /** Number of sends whose connection broke. */
    int breaks{0};
    /** Number of backend servers that crashed while they ran the request. */
    int crashes{0};
    /** Whether a backend server ran the request to its end. */
    bool answered{false};
};

/**
 * Returns the digest of the method, host, target, workspace and body of a request. Other headers are left out, since they may differ between the retries of one
 * request.
 */
[[nodiscard]] Fleet::RequestDigest digestOf(const CallerRequest &request);

/** Returns the trace of a request that was received now. To be called once the workspace is known. */
[[nodiscard]] std::shared_ptr<RequestTrace> makeTrace(const CallerRequest &request, Core::Instant now);

/**
 * Returns whether a request is not to be sent to further backend servers, since those that ran it have crashed and none has answered. One crash is enough if it
 * is a suspect.
 */
[[nodiscard]] bool isDangerousToRepeat(const RequestTrace &trace);

/** Returns whether a send that broke is repeated only once it is known if the backend server has crashed. */
[[nodiscard]] bool mustAwaitCrashCheck(const RequestTrace &trace);

/** Returns the number of crashes to report to the gateway that requested a part: enough that it does not repeat a suspect that nobody has answered. */
[[nodiscard]] int crashesToReport(const RequestTrace &trace);

}
