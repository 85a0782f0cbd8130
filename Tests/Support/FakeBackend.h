/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Simulates one backend server: serves an in-memory index of a shard over HTTP, with slots, a connection cap, draining, load
// shedding, deadlines, cancellation and faults that can be injected while it runs.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <LibProtocol/Generated/entry_types.h>
#include <Support/FakeIndex.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace TestSupport
{

/** A snapshot of one shard's index that the backend server holds. */
struct FakeSnapshot {
    std::int64_t version{1};
    std::string shardMap{"map-1"};
    std::int32_t shardCount{1};
    std::int32_t shard{0};
};

/** Injected faults; they can be changed while the backend server runs, by code or by a request to /fault. */
struct FakeFaults {
    double stragglerPercent{0.0};
    double stragglerFactor{20.0};
    /** One of none, attempt, shard, snapshot, truncated or stale-content. Only a caller that knows the index can detect stale-content. */
    std::string wrongReply{"none"};
    /** Load in the announcements: true (the real one), zero or huge. */
    std::string loadReport{"true"};
    /** Requests are accepted and never answered. */
    bool frozen{false};
};

/** Identity, capacity, timing and initial faults of a FakeBackend. */
struct FakeBackendOptions {
    std::string service;
    std::string replica;
    std::string zone{"zone-a"};
    Core::Endpoint endpoint;
    std::vector<Core::Endpoint> announceTo;
    std::vector<FakeSnapshot> snapshots;
    int slots{2};
    std::size_t connectionCap{25};
    Core::Duration connectionOpenCost{0};
    Core::Duration serviceTime{Core::milliseconds(4)};
    /** The share of the service time that varies, exponentially distributed. */
    double variableShare{0.5};
    /** For this time after the start each request takes three times as long. */
    Core::Duration warmupTime{0};
    std::size_t queueLimit{32};
    Core::Duration announcePeriod{Core::milliseconds(1000)};
    /** File that gets the idempotency key of each executed action, one per line. Empty: no file. */
    std::string actionLog;
    std::uint64_t seed{1};
    FakeFaults faults;
};

/** Counts of what a FakeBackend did since its start. */
struct FakeCounters {
    std::uint64_t requests{0};
    std::uint64_t executed{0};
    std::uint64_t shed{0};
    std::uint64_t refusedDraining{0};
    std::uint64_t cancelled{0};
    std::uint64_t duplicateActions{0};
    std::size_t maximumQueueLength{0};
};

/** A backend server that serves from create() until its destruction. */
class FakeBackend
{
public:
    [[nodiscard]] static Core::Result<std::unique_ptr<FakeBackend>> create(FakeBackendOptions options, Core::TimerService &timers);
    FakeBackend(const FakeBackend &) = delete;
    FakeBackend &operator=(const FakeBackend &) = delete;

    /** Announces that it drains, refuses new requests and calls `done` once no request is running or queued. */
    void drain(std::function<void()> done);

    void setSnapshots(std::vector<FakeSnapshot> snapshots);
    [[nodiscard]] FakeFaults &faults();
    [[nodiscard]] const FakeCounters &counters() const;
    [[nodiscard]] const Http::ServerCounters &connectionCounters() const;
    [[nodiscard]] const FakeBackendOptions &description() const;

private:
    struct Work {
        std::uint64_t id{0};
        Http::Request request;
        Http::ResponderPointer responder;
        Core::Instant deadline;
        Core::TimerSubscription timer;
    };

    FakeBackend(FakeBackendOptions options, Core::TimerService &timers);
    void handle(const Http::Request &request, const Http::ResponderPointer &responder);
    void handleFaultRequest(const Http::Request &request, const Http::ResponderPointer &responder);
    void enqueue(const Http::Request &request, const Http::ResponderPointer &responder);
    void startNext();
    void finishWork(std::uint64_t id);
    void abandon(std::uint64_t id);
    [[nodiscard]] Core::Duration sampleServiceTime();
    [[nodiscard]] const FakeSnapshot *requestedSnapshot(const Http::Request &request) const;
    [[nodiscard]] Http::Response execute(const Http::Request &request);
    [[nodiscard]] Http::Response executeAction(const Http::Request &request);
    [[nodiscard]] Http::Response refusal(const Http::Request &request, const char *reason) const;
    [[nodiscard]] const FakeIndex &index(const FakeSnapshot &snapshot);
    [[nodiscard]] Protocol::Announcement announcement() const;
    void announce();
    void checkDrained();

    FakeBackendOptions options;
    Core::TimerService &timers;
    std::mt19937_64 random;
    std::unique_ptr<Http::HttpServer> server;
    Http::HttpClient client;
    Core::Instant startedAt;
    std::int64_t incarnation{0};
    mutable std::int64_t sequence{0};
    bool draining{false};
    std::function<void()> drained;
    std::uint64_t nextWork{1};
    std::deque<Work> queue;
    std::map<std::uint64_t, Work> running;
    std::set<std::string> executedKeys;
    FakeCounters counts;
    Core::TimerSubscription announceTimer;
    Core::TimerSubscription drainTimer;
};

}
