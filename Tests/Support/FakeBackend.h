/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The model of one backend server: an in-memory index of a shard behind HTTP,
// with slots, a connection cap, drain, shedding, deadlines, cancellation, and
// faults that can be switched on while it runs.

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

/** One snapshot that is held. */
struct FakeSnapshot {
    std::int64_t version{1};
    std::string shardMap{"map-1"};
    std::int32_t shardCount{1};
    std::int32_t shard{0};
};

/** What goes wrong, changeable while it runs. */
struct FakeFaults {
    double stragglerPercent{0.0};
    double stragglerFactor{20.0};
    /** none, attempt, shard, snapshot, truncated; or stale-content, which nobody but a caller who knows the index can see. */
    std::string wrongReply{"none"};
    /** true, zero, huge: what load reports say. */
    std::string loadReport{"true"};
    /** Requests are taken and never answered. */
    bool frozen{false};
};

/** What the backend server is like. */
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
    /** After the start everything takes three times as long. */
    Core::Duration warmupTime{0};
    std::size_t queueLimit{32};
    Core::Duration announcePeriod{Core::milliseconds(1000)};
    /** Lines of executed actions are appended here; empty: nowhere. */
    std::string actionLog;
    std::uint64_t seed{1};
    FakeFaults faults;
};

/** What it did. */
struct FakeCounters {
    std::uint64_t requests{0};
    std::uint64_t executed{0};
    std::uint64_t shed{0};
    std::uint64_t refusedDraining{0};
    std::uint64_t cancelled{0};
    std::uint64_t duplicateActions{0};
    std::size_t maximumQueueLength{0};
};

/** Serves from create() until destroyed. */
class FakeBackend
{
public:
    [[nodiscard]] static Core::Result<std::unique_ptr<FakeBackend>> create(FakeBackendOptions options, Core::TimerService &timers);
    FakeBackend(const FakeBackend &) = delete;
    FakeBackend &operator=(const FakeBackend &) = delete;

    /** Announces that it leaves, refuses new work and calls `done` when nothing runs any more. */
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
    void takeFault(const Http::Request &request, const Http::ResponderPointer &responder);
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
