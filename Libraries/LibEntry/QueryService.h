/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Searches and single-record look-ups from callers: pins a snapshot, fans out,
// merges, and reports coverage.

#pragma once

#include <LibEntry/EntryState.h>
#include <LibEntry/FanOut.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace Entry
{

/** A caller's search or look-up. */
struct QueryCall {
    Core::RequestId requestId;
    Core::ServiceName service;
    Operation operation{Operation::Search};
    /** Search: the words. Record: the key. */
    std::string subject;
    std::int32_t limit{10};
    /** Empty: the service's own class. */
    std::string urgencyClass;
    /** The answer comes from this snapshot version or a later one. */
    std::int64_t minimumSnapshot{0};
    /** Adds the steps of the request to the answer. */
    bool explain{false};
};

/** A finished request, kept for explanations. */
struct FinishedTrace {
    Core::RequestId requestId;
    Core::ServiceName service;
    SnapshotKey snapshot;
    Core::Instant startedAt;
    Core::Duration took{0};
    int status{0};
    std::vector<TraceStep> steps;
};

/** Runs queries until they are answered. */
class QueryService
{
public:
    explicit QueryService(EntryState &state);

    /** `done` is called exactly once, at the deadline at the latest. */
    void start(QueryCall call, AnswerHook done);

    [[nodiscard]] std::size_t underWay() const;

    /** The steps of a recent request, as JSON, or nothing when it is not kept. */
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
    [[nodiscard]] bool restartElsewhere(std::uint64_t id, const FanOutOutcome &outcome);
    void answer(std::uint64_t id, CallerAnswer answer, std::vector<TraceStep> steps);
    void count(const FanOutOutcome &outcome);

    EntryState &state;
    std::unordered_map<std::uint64_t, Run> runs;
    std::uint64_t nextRun{1};
    std::deque<FinishedTrace> traces;
};

/** The steps as JSON, times in milliseconds since the start. */
[[nodiscard]] nlohmann::json traceToJson(const std::vector<TraceStep> &steps, Core::Instant startedAt);

}
