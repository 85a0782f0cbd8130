/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Requests and replies independent of the headers that encode them. An adapter
// provides the encode and decode hooks, so this library contains no header names
// of the protocols of callers and backend servers.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibFleet/RequestDigest.h>
#include <LibFleet/Workspaces.h>
#include <LibGateway/Scheduling/Urgency.h>
#include <LibWire/Message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gateway
{

/** Name of one incarnation of a backend server. */
using BackendName = Core::StrongValue<struct BackendNameTag, std::string>;

/**
 * Matches a reply with a send: both must have the same key. Where a dialect makes the key from the caller's request alone, all sends of one request have the
 * same key, and their replies can't be distinguished on one connection.
 */
using ReplyKey = Core::StrongValue<struct ReplyKeyTag, std::string>;

struct RequestTrace;

/** A caller's request after its headers were decoded. */
struct CallerRequest {
    /** Why the request has no unambiguous meaning, for log lines; nullptr if it has one. */
    const char *fault{nullptr};
    /** Empty when the caller gave none. */
    Core::RequestId id;
    std::string host;
    /** How long the caller waits; empty when it gave no timeout. */
    std::optional<Core::Duration> callerTimeout;
    /** The caller's secret, removed from the message; empty when it sent none. */
    std::optional<Fleet::ApiKey> key;
    /**
     * The workspace that the API key belongs to, or that the requesting gateway named; empty without either. It is sent to backend servers; a workspace
     * that the caller names is ignored.
     */
    std::optional<Fleet::WorkspaceName> workspace;
    /** How long the request waited for the quota decision. */
    Core::Duration waited{0};
    /** Set once the request is routed. */
    std::shared_ptr<RequestTrace> trace;
    Wire::Request message;
};

/** The load that a backend server reported in a reply. */
struct LoadReport {
    int running{0};
    int waiting{0};
    int slots{0};
    /** Ratio of the current to the usual duration of work on the machine; empty when it was not reported. */
    std::optional<double> slowdown;
};

/** A backend server's reply after its headers were decoded. */
struct BackendReply {
    /** Proves that the answer is the backend server's; empty when the reply carries no signature. */
    std::string signature;
    /** The backend server states that it did not run the request and never will. */
    bool notExecuted{false};
    /** The address belongs to another backend server now. */
    bool wrongBackend{false};
    std::optional<LoadReport> load;
    Wire::Response message;

    [[nodiscard]] bool isSuccess() const
    {
        return this->message.status >= 200 && this->message.status < 300;
    }
};

/** One send to one backend server. */
struct BackendRequest {
    const CallerRequest *caller{nullptr};
    BackendName backend;
    Core::Duration timeLeft{0};
    /** Unique among the sends of this gateway. */
    std::uint64_t number{0};
};

/** A request for the health of a backend server. */
struct HealthRequest {
    Core::Endpoint endpoint;
    /** Path of the service's health checks. */
    std::string target;
    ReplyKey key;
};

/** An answer that is merged from the replies of several backend servers. */
struct MergedAnswer {
    Core::RequestId id;
    std::vector<std::string> signatures;
    /** Number of shards that the answer lacks. */
    std::size_t missing{0};
    std::string body;
};

/** Why a request ends without a backend server's answer. */
enum class Refusal {
    /** The request was not executed anywhere and will not be; the caller may retry later. */
    NotRun,
    /** The request may have been executed, but no answer arrived in time. */
    TimedOut,
    /** The request may have been executed, but its answer was lost. */
    Failed,
    NoRoute,
    /** The request has no unambiguous meaning; see CallerRequest::fault. */
    Ambiguous,
    /** The route needs an API key, and the request has none or an unknown one. */
    Unauthorized,
    /** The request was not executed anywhere and will not be, because the workspace has used up its quota. */
    OverQuota,
};

/** Hooks that decode and encode the headers of one protocol. */
struct Dialect {
    std::function<CallerRequest(Wire::Request message)> readRequest;
    std::function<BackendReply(Wire::Response message)> readReply;
    /** Returns the key that the reply to a send must carry. */
    std::function<ReplyKey(const BackendRequest &request)> replyKey;
    /** Returns the key that a reply carries; empty when it carries none. */
    std::function<ReplyKey(const Wire::Response &message)> readReplyKey;
    /** Whether a reply without a key counts as a refusal of the send that waits on its connection. Without this hook every such reply is discarded. */
    std::function<bool(const Wire::Response &message)> isRefusalWithoutKey;
    /** Appends the bytes of a request to a backend server. Returns false if the request can't be written (Wire::appendRequest). */
    std::function<bool(std::string &bytes, const BackendRequest &request)> writeRequest;
    /** Appends the bytes of a request for the health of a backend server. Returns false if it can't be written. */
    std::function<bool(std::string &bytes, const HealthRequest &request)> writeHealthRequest;
    /** Returns how much longer the backend server of this name warms up, from the answer to a request for its health; nothing if that does not tell. */
    std::function<std::optional<Core::Duration>(const Wire::Response &message, const BackendName &backend)> readWarmupLeft;
    /** Converts a backend server's reply to the response that the caller receives. */
    std::function<Wire::Response(BackendReply reply)> forwardReply;
    std::function<Wire::Response(const MergedAnswer &answer)> writeMerged;
    /** Encodes a partial answer for another gateway. `body` is independent of the dialect: this library encodes and decodes it. */
    std::function<Wire::Response(const Core::RequestId &id, std::string body)> writePartial;
    std::function<Wire::Response(Refusal refusal, const Core::RequestId &id, Core::Duration retryAfter)> writeRefusal;
};

}
