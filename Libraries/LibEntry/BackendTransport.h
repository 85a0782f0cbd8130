/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Request and result of one attempt at a backend server, and the interface that
// sends attempts. BackendClient implements it over HTTP, tests use a fake.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibEntry/BackendTable.h>
#include <LibEntry/SnapshotChooser.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace Entry
{

/** Operation of a request. */
enum class Operation {
    Search,
    Record,
    /** Runs at most once, so it is never hedged and never resent by the transport. */
    Action,
};

/** The fields of a request that are the same for every shard. */
struct BackendRequest {
    Operation operation{Operation::Search};
    Core::ServiceName service;
    /** Search: the query text. Record: the record key. Action: the name of the action. */
    std::string subject;
    /** Search: maximum number of hits. */
    std::int32_t limit{0};
    /** Action: body, its content type, and idempotency key of the caller. */
    std::string body;
    std::string contentType;
    std::string idempotencyKey;
};

/** Parameters of one attempt at a backend server. */
struct AttemptRequest {
    Core::AttemptId attempt;
    BackendId backend;
    Core::Endpoint endpoint;
    std::int64_t incarnation{0};
    int connectionShare{1};
    Core::ShardIndex shard;
    SnapshotKey snapshot;
    /** Time left for the backend server, reduced by the time reserved for the network. */
    Core::Duration timeLeft{0};
    std::shared_ptr<const BackendRequest> request;
};

/** How an attempt ended. */
enum class AttemptStatus {
    /** The backend server answered. The reply names the attempt, and for searches and records also its service, shard and snapshot. */
    Answered,
    /** The backend server refused the request without running it. */
    Refused,
    /** No connection could be opened, so nothing was sent. */
    NotSent,
    /** Any other outcome. It is unknown whether the request was run. */
    Failed,
};

/** Why a backend server refused a request. */
enum class RefusalReason {
    None,
    Draining,
    Shedding,
    SnapshotGone,
    DeadlineTooShort,
    Other,
};

/** Result of an attempt. */
struct AttemptResult {
    AttemptStatus status{AttemptStatus::Failed};
    RefusalReason refusal{RefusalReason::None};
    /** Search and Record, when answered: the reply. */
    nlohmann::json document;
    /** Action, when answered: HTTP status, content type and body of the reply. */
    std::int32_t statusCode{0};
    std::string contentType;
    std::string body;
    /** Cause of a refusal or failure, for logs and problem documents. */
    std::string message;
};

/** Sends attempts. The hook of an attempt is called exactly once, unless the attempt is cancelled. */
class BackendTransport
{
public:
    using ResultHook = std::function<void(AttemptResult result)>;

    BackendTransport() = default;
    virtual ~BackendTransport() = default;
    BackendTransport(const BackendTransport &) = delete;
    BackendTransport &operator=(const BackendTransport &) = delete;

    virtual void send(const AttemptRequest &attempt, ResultHook done) = 0;

    /** Cancels an attempt without calling its hook. Unknown ids are ignored. */
    virtual void cancel(const Core::AttemptId &attempt) = 0;
};

/** Name of a reason, as on the wire and in traces. */
[[nodiscard]] const char *refusalReasonName(RefusalReason reason);

}
