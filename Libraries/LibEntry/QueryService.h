/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Answers searches and single-record look-ups of callers: pins a snapshot, fans
// out to its shards, merges the results and reports their coverage.

#pragma once

#include <LibEntry/EntryState.h>
#include <LibEntry/FanOut.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace Entry
{

/** A search or look-up as requested by a caller. */
struct QueryCall {
    Core::RequestId requestId;
    Core::ServiceName service;
    Operation operation{Operation::Search};
    /** Search: the query text. Record: the record key. */
    std::string subject;
    std::int32_t limit{10};
    /** Name of the urgency class. If empty, the class declared for the service. */
    std::string urgencyClass;
    /** Lowest snapshot version that may be used for the answer. */
    std::int64_t minimumSnapshot{0};
    /** Whether the answer includes the trace of the request. */
    bool explain{false};
};

/** Trace of a finished request. */
struct FinishedTrace {
    Core::RequestId requestId;
    Core::ServiceName service;
    SnapshotKey snapshot;
    Core::Instant startedAt;
    Core::Duration took{0};
    int status{0};
    std::vector<TraceStep> steps;
};

/** Processes queries until they are answered. */
class QueryService
{
public:
    explicit QueryService(EntryState &state);

    /** Starts a query. `done` is called exactly once, at the deadline at the latest. */
    void start(QueryCall call, AnswerHook done);

    /** Number of queries that are not answered yet. */
    [[nodiscard]] std::size_t activeCount() const;

    /** Returns the trace of a finished request as JSON, or nothing if it is no longer kept. */
    [[nodiscard]] std::optional<nlohmann::json> trace(const Core::RequestId &requestId) const;

private:
    struct Run {
        QueryCall call;
        RequestParameters parameters;
        AnswerHook done;
        std::shared_ptr<const BackendRequest> request;
        std::shared_ptr<const SnapshotView> view;
        std::unique_ptr<FanOut> fanOut;
        Core::Instant startedAt;
        int restarts{0};
    };

    [[nodiscard]] std::optional<Problem> admit(const RequestParameters &parameters, const SnapshotView &view) const;
    void fanOut(std::uint64_t id);
    void handleOutcome(std::uint64_t id, FanOutOutcome outcome);
    [[nodiscard]] bool restartOnOtherSnapshot(std::uint64_t id, const FanOutOutcome &outcome);
    void answer(std::uint64_t id, CallerAnswer answer, std::vector<TraceStep> steps);
    void count(const FanOutOutcome &outcome);

    EntryState &state;
    std::unordered_map<std::uint64_t, Run> runs;
    std::uint64_t nextRun{1};
    std::deque<FinishedTrace> traces;
};

/** Converts steps to JSON, with times in milliseconds since `startedAt`. */
[[nodiscard]] nlohmann::json traceToJson(const std::vector<TraceStep> &steps, Core::Instant startedAt);

}
