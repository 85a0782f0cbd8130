/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What goes between this instance and one backend server for one attempt, and
// the interface over which it goes. BackendClient is the real one; tests have
// their own.

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

/** What is asked of a shard. */
enum class Operation {
    Search,
    Record,
    /** Runs at most once; never hedged, never resent by the transport. */
    Action,
};

/** The part of a request that is the same for every shard. */
struct BackendRequest {
    Operation operation{Operation::Search};
    Core::ServiceName service;
    /** Search: the words. Record: the key. Action: the action's name. */
    std::string subject;
    /** Search: how many hits are wanted. */
    std::int32_t limit{0};
    /** Action: the caller's body and key. */
    std::string body;
    std::string contentType;
    std::string idempotencyKey;
};

/** One attempt at one backend server. */
struct AttemptRequest {
    Core::AttemptId attempt;
    BackendId backend;
    Core::Endpoint endpoint;
    std::int64_t incarnation{0};
    int connectionShare{1};
    Core::ShardIndex shard;
    SnapshotKey snapshot;
    /** Time left for the backend server, the network's share taken off. */
    Core::Duration timeLeft{0};
    std::shared_ptr<const BackendRequest> request;
};

/** How an attempt ended. */
enum class AttemptStatus {
    /** A reply that names this attempt, service, shard and snapshot. */
    Answered,
    /** The backend server says that it did not run the request. */
    Refused,
    /** No connection could be opened, so no byte was sent. */
    NotSent,
    /** Anything else: whether it ran is not known. */
    Failed,
};

/** Why a backend server refused. */
enum class RefusalReason {
    None,
    Draining,
    Shedding,
    SnapshotGone,
    DeadlineTooShort,
    Other,
};

/** What came back. */
struct AttemptResult {
    AttemptStatus status{AttemptStatus::Failed};
    RefusalReason refusal{RefusalReason::None};
    /** Answered: the whole document. */
    nlohmann::json document;
    /** Action: the backend server's own status and body. */
    std::int32_t statusCode{0};
    std::string contentType;
    std::string body;
    /** For people: what went wrong. */
    std::string message;
};

/** Sends attempts. Calls the hook exactly once for each, unless it was cancelled. */
class BackendTransport
{
public:
    using ResultHook = std::function<void(AttemptResult result)>;

    BackendTransport() = default;
    virtual ~BackendTransport() = default;
    BackendTransport(const BackendTransport &) = delete;
    BackendTransport &operator=(const BackendTransport &) = delete;

    virtual void send(const AttemptRequest &attempt, ResultHook done) = 0;

    /** Ends an attempt without calling its hook. Unknown ids are passed over. */
    virtual void cancel(const Core::AttemptId &attempt) = 0;
};

/** For output. */
[[nodiscard]] const char *refusalReasonName(RefusalReason reason);

}
