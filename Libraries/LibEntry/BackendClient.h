/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Sends attempts to backend servers over HTTP and checks that each reply belongs
// to its attempt. The protocol is described in docs/INTERFACES.md, section
// "Backend servers".

#pragma once

#include <LibCore/Result.h>
#include <LibCore/TimerService.h>
#include <LibEntry/BackendTransport.h>
#include <LibHttp/HttpClient.h>
#include <LibProtocol/Generated/entry_types.h>

#include <unordered_map>

namespace Entry
{

/** Counters for metrics. */
struct BackendClientCounters {
    std::uint64_t exchanges{0};
    /** Replies that name another attempt, service, shard or snapshot, or to an action a server error without a refusal. */
    std::uint64_t mismatched{0};
    std::uint64_t malformed{0};
};

/** Transport over HTTP. */
class BackendClient final : public BackendTransport
{
public:
    explicit BackendClient(Core::TimerService &timers);

    void send(const AttemptRequest &attempt, ResultHook done) override;
    void cancel(const Core::AttemptId &attempt) override;

    /** Requests the current announcement of a backend server. */
    void probe(const Core::Endpoint &endpoint, std::function<void(Core::Result<Protocol::Announcement> announcement)> done);

    [[nodiscard]] const BackendClientCounters &counters() const;

private:
    [[nodiscard]] AttemptResult readResult(const AttemptRequest &attempt, Http::ClientResult result);
    [[nodiscard]] AttemptResult readActionResult(const AttemptRequest &attempt, Http::ClientResult result);
    [[nodiscard]] AttemptResult readDocument(const AttemptRequest &attempt, const Http::ClientResult &result);

    Http::HttpClient http;
    std::unordered_map<Core::AttemptId, Http::ExchangeId> exchanges;
    BackendClientCounters counts;
};

/** Returns an error unless the document names the attempt, service, shard and snapshot of this attempt. A free function, so that tests can call it directly. */
[[nodiscard]] Core::Result<void> checkReply(const nlohmann::json &document, const AttemptRequest &attempt);

/** HTTP headers between entry instances and backend servers. */
namespace BackendHeader
{
constexpr const char *Attempt = "Crankrudder-Attempt";
constexpr const char *Service = "Crankrudder-Service";
constexpr const char *Shard = "Crankrudder-Shard";
constexpr const char *SnapshotVersion = "Crankrudder-Snapshot-Version";
constexpr const char *ShardMap = "Crankrudder-Shard-Map";
constexpr const char *TimeLeft = "Crankrudder-Time-Left-Ms";
constexpr const char *Run = "Crankrudder-Run";
constexpr const char *Reason = "Crankrudder-Reason";
constexpr const char *IdempotencyKey = "Idempotency-Key";
}

}
