/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Open-loop load: requests are sent at scheduled times whether or not earlier ones have been answered, so that slow answers do not
// reduce the load and thereby hide their own effect on latency.

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

/** Kind of the requests in a stream. */
enum class StreamKind {
    Search,
    Lookup,
    Action,
};

/** One stream of requests to one service, with exponentially distributed gaps. */
struct Stream {
    std::string service;
    StreamKind kind{StreamKind::Search};
    double ratePerSecond{0.0};
    /** An answer that takes at most this long counts as within the deadline. */
    Core::Duration deadline{Core::milliseconds(1000)};
    Tally tally;
};

/** Options of the driver. */
struct LoadOptions {
    std::vector<Stream> streams;
    Core::Duration duration{Core::seconds(10)};
    std::uint64_t seed{1};
    /** Percentage of the actions that are sent twice at once, with the same key. */
    int resentPercent{20};
    std::string action{"enqueue"};
    /** File that gets the keys of actions whose last answer was "not run". Empty: no file. */
    std::string notRunLog;
};

/** Sends the streams' requests for the given time, then waits up to 20 s for outstanding answers. */
class LoadDriver
{
public:
    LoadDriver(LoadOptions options, Balancer &balancer, Http::HttpClient &http, Core::TimerService &timers);

    void start(std::function<void()> finished);

    /** The streams with their tallies. */
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
    void handleActionAnswer(const std::shared_ptr<ActionState> &action, const Http::ClientResult &result);
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
