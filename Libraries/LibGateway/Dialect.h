/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What requests and replies mean, free of the headers in which they say it. An
// adapter fills the hooks; nothing in this library knows a header's name.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibFleet/Workspaces.h>
#include <LibWire/Message.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Gateway
{

/** Name of one incarnation of a backend server. */
using BackendName = Core::StrongValue<struct BackendNameTag, std::string>;

/**
 * What an answer has to say to be the answer to a send. Where it names only the caller's request, several sends of one request have the same key, and
 * their answers can't be told apart on one connection.
 */
using ReplyKey = Core::StrongValue<struct ReplyKeyTag, std::string>;

/** A caller's request, its envelope read. */
struct CallerRequest {
    /** Empty when the caller gave none. */
    Core::RequestId id;
    std::string host;
    /** How long the caller waits; nothing when it did not say. */
    std::optional<Core::Duration> callerTimeout;
    /** The caller's secret, taken out of the message; nothing when it sent none. */
    std::optional<Fleet::ApiKey> key;
    /** Whose request it is, as far as the key showed. Backend servers are told, whatever the caller said of itself. */
    std::optional<Fleet::WorkspaceName> workspace;
    /** How long it waited here until its workspace's quota let it in. */
    Core::Duration waited{0};
    Wire::Request message;
};

/** Which requests go first; the least is most urgent. Workspaces go before routes. */
struct Urgency {
    int workspace{0};
    int route{0};
    auto operator<=>(const Urgency &) const = default;
};

/** How busy a backend server said that it is. */
struct LoadReport {
    int running{0};
    int waiting{0};
    int slots{0};
    /** How many times as long as usual work takes on its machine now; nothing where it does not say. */
    std::optional<double> slowdown;
};

/** A backend server's reply, its envelope read. */
struct BackendReply {
    /** The backend server's proof that this is its answer; empty when there is none. */
    std::string signature;
    /** The backend server says that it did not run the request and never will. */
    bool notExecuted{false};
    /** Another backend server has the address now. */
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
    /** No other send of this gateway has the same. */
    std::uint64_t number{0};
};

/** An answer put together from the parts of several backend servers. */
struct MergedAnswer {
    Core::RequestId id;
    std::vector<std::string> signatures;
    std::size_t missing{0};
    std::string body;
};

/** How a request ended that has no backend server's answer. */
enum class Refusal {
    /** Nothing ran and nothing will: come back later. */
    NotRun,
    /** Something may have run, and no answer came in time. */
    TimedOut,
    /** Something may have run, and its answer was lost. */
    Failed,
    NoRoute,
    /** The route needs an API key, and there was none or an unknown one. */
    Unauthorized,
    /** Nothing ran and nothing will: the workspace has sent as much as it may. */
    OverQuota,
};

/** Reads and writes the envelopes. */
struct Dialect {
    std::function<CallerRequest(Wire::Request message)> readRequest;
    std::function<BackendReply(Wire::Response message)> readReply;
    /** The key of a send, and the one that a reply carries; empty when it carries none. */
    std::function<ReplyKey(const BackendRequest &request)> replyKey;
    std::function<ReplyKey(const Wire::Response &message)> readReplyKey;
    /** Whether a reply without a key may be taken as a refusal of the send that waits; never where there is no hook. */
    std::function<bool(const Wire::Response &message)> isRefusalWithoutKey;
    /** Appends the bytes of a request to a backend server. */
    std::function<void(std::string &bytes, const BackendRequest &request)> writeRequest;
    /** A backend server's reply as the caller gets it. */
    std::function<Wire::Response(BackendReply reply)> forwardReply;
    std::function<Wire::Response(const MergedAnswer &answer)> writeMerged;
    /** A partial answer for another gateway, whose body is ours. */
    std::function<Wire::Response(const Core::RequestId &id, std::string body)> writePartial;
    std::function<Wire::Response(Refusal refusal, const Core::RequestId &id, Core::Duration retryAfter)> writeRefusal;
};

}
