/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// An open-loop load: requests leave at their times whether or not earlier ones
// have been answered, so that slow answers can't hide behind each other.

#pragma once

#include "AnswerCheck.h"
#include "Balancer.h"
#include "Tally.h"

#include <LibCore/TimerService.h>
#include <LibHttp/HttpClient.h>

#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Load
{

/** What a stream of requests asks. */
enum class StreamKind {
    Search,
    Lookup,
    Action,
};

/** One stream of requests to one service. */
struct Stream {
    std::string service;
    StreamKind kind{StreamKind::Search};
    double ratePerSecond{0.0};
    /** Counts for "within the deadline". */
    Core::Duration deadline{Core::milliseconds(1000)};
    Tally tally;
};

/** Knobs of the driver. */
struct LoadOptions {
    std::vector<Stream> streams;
    Core::Duration duration{Core::seconds(10)};
    std::uint64_t seed{1};
    /** Of a hundred actions, how many are sent again with the same key at once. */
    int resentPercent{20};
    std::string action{"enqueue"};
    /** Keys whose last answer said "not run" are written here; empty: nowhere. */
    std::string notRunLog;
};

/** Runs the streams, then waits for what is out. */
class LoadDriver
{
public:
    LoadDriver(LoadOptions options, Balancer &balancer, Http::HttpClient &http, Core::TimerService &timers);

    void start(std::function<void()> finished);

    /** What was seen, stream by stream. */
    [[nodiscard]] std::vector<Stream> &streams();

private:
    struct ActionState {
        std::size_t stream{0};
        std::string key;
        int sends{0};
        int outstanding{0};
        bool answered{false};
        bool lastSaidNotRun{false};
        Core::Instant firstSent;
    };

    void scheduleNext(std::size_t stream);
    void sendOne(std::size_t stream);
    void sendSearch(std::size_t stream);
    void sendLookup(std::size_t stream);
    void sendAction(const std::shared_ptr<ActionState> &action);
    void takeActionAnswer(const std::shared_ptr<ActionState> &action, const Http::ClientResult &result);
    void retryAction(const std::shared_ptr<ActionState> &action);
    void countRefusal(Tally &tally, const Http::ClientResult &result) const;
    [[nodiscard]] bool countAnswer(std::size_t stream, const Http::ClientResult &result, Core::Instant sentAt);
    void finishIfIdle();

    LoadOptions options;
    Balancer &balancer;
    Http::HttpClient &http;
    Core::TimerService &timers;
    AnswerCheck check;
    std::mt19937_64 random;
    std::vector<Core::TimerSubscription> streamTimers;
    std::vector<Core::TimerSubscription> retryTimers;
    Core::TimerSubscription idleTimer;
    Core::Instant endsAt;
    std::size_t outstanding{0};
    std::ofstream notRunLog;
    std::function<void()> finished;
};

}
