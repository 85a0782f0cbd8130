/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One caller's request from its route to its answer: to one backend server, or
// to one of each shard with the parts merged.

#pragma once

#include <LibCore/LatencyDigest.h>
#include <LibGateway/ShardCall.h>

namespace Gateway
{

/** How a request ended, for logs and metrics. */
struct RequestSummary {
    const CallerRequest *request{nullptr};
    const Fleet::Route *route{nullptr};
    std::int64_t declarationVersion{0};
    int status{0};
    /** In one word, why it ended as it did. */
    const char *outcome{""};
    std::size_t shards{0};
    std::size_t answered{0};
    int attempts{0};
    int hedges{0};
    Core::Duration took{0};
    std::string detail;
};

/** What a request needs around it. */
struct RequestContext {
    BackendPool *pool{nullptr};
    Core::TimerService *timers{nullptr};
    const Dialect *dialect{nullptr};
    const RequestSettings *settings{nullptr};
    /** Latencies of this route's replies. */
    Core::LatencyDigest *latencies{nullptr};
};

/** Lives until it is answered; its owner drops it when `finished` is called. */
class RoutedRequest
{
public:
    using AnswerHook = std::function<void(Wire::Response response)>;
    using FinishedHook = std::function<void(const RequestSummary &summary)>;

    /** `services` are one service for a single request and all shards for a fan-out. The declaration is kept for as long as the request lives. */
    RoutedRequest(RequestContext context,
        std::shared_ptr<const Fleet::RouteTable> routes,
        const Fleet::Route &route,
        CallerRequest request,
        const std::vector<Core::ServiceName> &services);

    /** `answer` is called once, `finished` after it. */
    void start(AnswerHook answer, FinishedHook finished);

    /** The caller went away: nothing is sent any more, and what runs is cancelled. */
    void callerGone();

private:
    void callFinished();
    void look();
    void scheduleLook(Core::Instant due);
    void checkCoverage();
    void checkSingle();
    void answerMerged();
    void answerRefusal();
    void complete(Wire::Response response, const char *outcome);
    [[nodiscard]] std::size_t needed() const;
    [[nodiscard]] std::size_t countOf(CallState wanted) const;
    [[nodiscard]] bool isTargetDue() const;
    [[nodiscard]] RequestSummary summary(int status, const char *outcome) const;

    RequestContext context;
    std::shared_ptr<const Fleet::RouteTable> routes;
    const Fleet::Route &route;
    CallerRequest request;
    CallTerms terms;
    Core::Instant arrivedAt;
    // When an answer should leave to be in time.
    Core::Instant targetAt;
    std::vector<std::unique_ptr<ShardCall>> calls;
    bool starting{false};
    bool done{false};
    AnswerHook answerHook;
    FinishedHook finishedHook;
    Core::TimerSubscription lookTimer;
    std::optional<Core::Instant> nextLook;
};

}
