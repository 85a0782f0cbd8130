/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/QueryService.h>

#include <LibCore/Identity.h>
#include <LibCore/Json.h>
#include <LibEntry/AnswerMerge.h>

#include <algorithm>

namespace Entry
{

static constexpr std::size_t MaximumTraces = 512;
static constexpr int MaximumRestarts = 2;
static constexpr std::chrono::seconds ShortRetryAfter{1};
static constexpr Core::Duration AssumedLatency = Core::milliseconds(10);

QueryService::QueryService(EntryState &state) : state(state)
{
}

std::size_t QueryService::activeCount() const
{
    return this->runs.size();
}

static Problem notRun(ProblemType type, std::string detail, std::optional<std::chrono::seconds> retryAfter)
{
    return Problem{.type = type, .run = RunState::NotRun, .detail = std::move(detail), .retryAfter = retryAfter};
}

std::optional<Problem> QueryService::admit(const RequestParameters &parameters, const SnapshotView &view) const
{
    // All entry instances share the slots of the replicas, so the estimate uses this instance's fraction of the slots, not its larger connection share.
    double slots = 0.0;
    for (const auto &replicas : view.replicas) {
        for (const auto id : replicas) {
            slots += this->state.backends.row(id).announcement.slots;
        }
    }
    const double instances = std::max(1, this->state.configuration.configuration().maximumEntryInstances);
    const AdmissionView admission{
        .parallelRequests = slots / static_cast<double>(view.replicas.size()) / instances,
        .typicalLatency = this->state.dispatcher.latencies(parameters.service).quantile(0.5, AssumedLatency),
        .deadline = Core::milliseconds(parameters.urgencyClass.deadlineMilliseconds),
        .priority = parameters.urgencyClass.priority,
    };
    const auto retryAfter = this->state.admission.refuse(parameters.service, admission);
    if (!retryAfter.has_value()) {
        return std::nullopt;
    }
    return notRun(ProblemType::Overloaded, "too many requests of this or a more urgent priority are waiting", retryAfter);
}

void QueryService::start(QueryCall call, AnswerHook done)
{
    const auto refuse = [this, &call, &done](const Problem &problem) {
        ++this->state.counters.refusedNotRun;
        logRefusal(this->state, problem, call.service, call.requestId);
        done(problemAnswer(problem, call.requestId));
    };
    auto &counted = call.operation == Operation::Search ? this->state.counters.searches : this->state.counters.lookups;
    ++counted;
    const auto parameters = resolveRequestParameters(this->state, call.service, call.urgencyClass);
    if (!parameters.has_value()) {
        refuse(parameters.error());
        return;
    }
    const auto view = this->state.snapshots.choose(call.service, this->state.backends, this->state.timers.now(), call.minimumSnapshot);
    if (!view) {
        refuse(notRun(ProblemType::NoSnapshot, "no usable backend server holds a snapshot of the required version", ShortRetryAfter));
        return;
    }
    const auto overload = this->admit(parameters.value(), *view);
    if (overload.has_value()) {
        refuse(overload.value());
        return;
    }
    BackendRequest request;
    request.operation = call.operation;
    request.service = call.service;
    request.subject = call.subject;
    request.limit = call.limit;
    const std::uint64_t id = this->nextRun++;
    this->state.admission.requestStarted(call.service, parameters->urgencyClass.priority);
    this->runs.emplace(id,
        Run{.call = std::move(call),
            .parameters = parameters.value(),
            .done = std::move(done),
            .request = std::make_shared<const BackendRequest>(std::move(request)),
            .view = view,
            .fanOut = nullptr,
            .startedAt = this->state.timers.now()});
    this->fanOut(id);
}

static std::vector<Core::ShardIndex> shardsOf(const QueryCall &call, const SnapshotView &view)
{
    if (call.operation == Operation::Record) {
        return {Core::ShardIndex(Core::shardOfKey(call.subject, view.shardCount()))};
    }
    std::vector<Core::ShardIndex> shards;
    for (std::int32_t index = 0; index < view.shardCount(); ++index) {
        shards.emplace_back(index);
    }
    return shards;
}

void QueryService::fanOut(std::uint64_t id)
{
    auto &run = this->runs.at(id);
    FanOutOptions options{
        .request = run.request,
        .view = run.view,
        .shards = shardsOf(run.call, *run.view),
        .priority = run.parameters.urgencyClass.priority,
        .deadline = run.parameters.deadline,
        .connectionShare = run.parameters.connectionShare,
    };
    this->state.counters.firstAttempts += options.shards.size();
    auto &policy = this->state.hedgePolicy(run.call.service);
    run.fanOut = std::make_unique<FanOut>(std::move(options), this->state.dispatcher, policy, this->state.backends, this->state.timers);
    run.fanOut->start([this, id](FanOutOutcome outcome) {
        this->handleOutcome(id, std::move(outcome));
    });
}

void QueryService::count(const FanOutOutcome &outcome)
{
    this->state.counters.hedges += outcome.hedges;
    this->state.counters.retries += outcome.retries;
}

bool QueryService::restartOnOtherSnapshot(std::uint64_t id, const FanOutOutcome &outcome)
{
    auto &run = this->runs.at(id);
    const Core::Instant now = this->state.timers.now();
    const auto typical = this->state.dispatcher.latencies(run.call.service).quantile(0.5, AssumedLatency);
    if (!outcome.snapshotLost || run.restarts >= MaximumRestarts || now + typical >= run.parameters.deadline) {
        return false;
    }
    const auto view = this->state.snapshots.choose(run.call.service, this->state.backends, now, run.call.minimumSnapshot);
    if (!view || view->key == run.view->key) {
        return false;
    }
    ++run.restarts;
    ++this->state.counters.snapshotRestarts;
    run.view = view;
    this->fanOut(id);
    return true;
}

static nlohmann::json snapshotToJson(const SnapshotKey &key)
{
    return {{"version", key.version}, {"shard_map", key.shardMap}};
}

void QueryService::handleOutcome(std::uint64_t id, FanOutOutcome outcome)
{
    this->count(outcome);
    // NOTE: The fan-out that called this hook is replaced or destroyed below. FanOut accesses no members after the hook.
    if (this->restartOnOtherSnapshot(id, outcome)) {
        return;
    }
    auto &run = this->runs.at(id);
    const Coverage coverage = coverageOf(outcome.shards);
    const auto &urgencyClass = run.parameters.urgencyClass;
    if (!isSufficient(coverage, urgencyClass)) {
        ++this->state.counters.refusedUnknown;
        Problem problem{.type = ProblemType::CoverageBelowMinimum, .run = RunState::Unknown, .detail = {}, .retryAfter = ShortRetryAfter};
        if (this->state.timers.now() >= run.parameters.deadline) {
            problem.type = ProblemType::DeadlineExceeded;
        }
        problem.detail = std::to_string(coverage.missing.size()) + " shards are missing; reason of the first: " + coverage.missing.front().reason;
        logRefusal(this->state, problem, run.call.service, run.call.requestId);
        auto document = problemDocument(problem, run.call.requestId.value());
        document["coverage"] = coverageToJson(coverage);
        document["snapshot"] = snapshotToJson(run.view->key);
        CallerAnswer refusal = problemAnswer(problem, run.call.requestId);
        refusal.body = Core::toText(document);
        this->answer(id, std::move(refusal), std::move(outcome.trace));
        return;
    }
    ++(coverage.isComplete() ? this->state.counters.answeredComplete : this->state.counters.answeredPartial);
    nlohmann::json document = {{"request_id", run.call.requestId.value()},
        {"service", run.call.service.value()},
        {"snapshot", snapshotToJson(run.view->key)},
        {"coverage", coverageToJson(coverage)}};
    CallerAnswer answer;
    if (run.call.operation == Operation::Search) {
        document["hits"] = mergeHits(outcome.shards, static_cast<std::size_t>(run.call.limit));
    } else if (outcome.shards.front().document.value("found", false)) {
        document["record"] = std::move(outcome.shards.front().document["record"]);
    } else {
        const Problem problem{.type = ProblemType::RecordNotFound, .run = RunState::Ran, .detail = {}, .retryAfter = std::nullopt};
        document.update(problemDocument(problem, run.call.requestId.value()));
        answer = problemAnswer(problem, run.call.requestId);
    }
    if (run.call.explain) {
        document["explain"] = traceToJson(outcome.trace, run.startedAt);
    }
    answer.body = Core::toText(document);
    this->answer(id, std::move(answer), std::move(outcome.trace));
}

void QueryService::answer(std::uint64_t id, CallerAnswer answer, std::vector<TraceStep> steps)
{
    const auto found = this->runs.find(id);
    const Run run = std::move(found->second);
    this->runs.erase(found);
    this->state.admission.requestFinished(run.call.service, run.parameters.urgencyClass.priority);
    this->traces.push_back(FinishedTrace{.requestId = run.call.requestId,
        .service = run.call.service,
        .snapshot = run.view->key,
        .startedAt = run.startedAt,
        .took = this->state.timers.now() - run.startedAt,
        .status = answer.status,
        .steps = std::move(steps)});
    if (this->traces.size() > MaximumTraces) {
        this->traces.pop_front();
    }
    run.done(std::move(answer));
}

nlohmann::json traceToJson(const std::vector<TraceStep> &steps, Core::Instant startedAt)
{
    auto document = nlohmann::json::array();
    for (const auto &step : steps) {
        nlohmann::json item = {{"at_ms", Core::toFractionalMilliseconds(step.at - startedAt)}, {"shard", step.shard.value()}, {"what", step.event}};
        if (!step.replica.empty()) {
            item["replica"] = step.replica;
        }
        if (!step.reason.empty()) {
            item["why"] = step.reason;
        }
        document.push_back(std::move(item));
    }
    return document;
}

std::optional<nlohmann::json> QueryService::trace(const Core::RequestId &requestId) const
{
    const auto found = std::find_if(this->traces.rbegin(), this->traces.rend(), [&requestId](const FinishedTrace &trace) {
        return trace.requestId == requestId;
    });
    if (found == this->traces.rend()) {
        return std::nullopt;
    }
    return nlohmann::json{{"request_id", found->requestId.value()},
        {"service", found->service.value()},
        {"snapshot", snapshotToJson(found->snapshot)},
        {"took_ms", Core::toFractionalMilliseconds(found->took)},
        {"status", found->status},
        {"steps", traceToJson(found->steps, found->startedAt)}};
}

}
