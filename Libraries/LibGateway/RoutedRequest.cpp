/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RoutedRequest.h>

#include <algorithm>

namespace Gateway
{

// Number of measured latencies from which on their median is used as the typical latency.
static constexpr double MinimumLatencySamples = 20.0;
// Length limit of the list of missing shards in a log line, in characters.
static constexpr std::size_t MaximumDetailLength = 160;
// Callers wait for a third of the time that they have left at most, whatever they are told, and retry once.
static constexpr int RetryDelayDivisor = 3;
// Backend servers that had ended refused connections for about 3 s, so a longer delay is no more likely to find them running.
static constexpr Core::Duration MaximumRetryDelay = Core::seconds(3);

const char *outcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::Partial:
        return "partial";
    case RequestOutcome::FailedByBackend:
        return "failed-by-backend";
    case RequestOutcome::NotRun:
        return "not-run";
    case RequestOutcome::TimedOut:
        return "timed-out";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::CallerGone:
        return "caller-gone";
    }
    return "failed";
}

const char *evidenceName(RunEvidence evidence)
{
    switch (evidence) {
    case RunEvidence::None:
        return "no";
    case RunEvidence::DirectAttempt:
        return "direct-attempt";
    case RunEvidence::PartInFlight:
        return "part-in-flight";
    case RunEvidence::PartReport:
        return "part-report";
    }
    return "no";
}

Core::Duration scaled(Core::Duration duration, double factor)
{
    return Core::Duration(static_cast<Core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// Returns the time from arrival until the answer should be sent in order to reach the caller within the target latency.
static Core::Duration timeToTarget(const RequestSettings &settings, const Fleet::Route &route)
{
    const auto reserve = std::max(scaled(route.targetLatency, settings.returnReserveShare), settings.minimumReturnReserve);
    return std::max(route.targetLatency - reserve, route.targetLatency / 2);
}

Core::Duration typicalLatencyOf(const RequestSettings &settings, const Fleet::Route &route, const Core::LatencyDigest &latencies)
{
    return latencies.quantile(0.5, scaled(route.targetLatency, settings.assumedLatencyShare), MinimumLatencySamples);
}

Urgency urgencyOf(const Fleet::Workspace *workspace, const Fleet::Route &route)
{
    return {.workspace = workspace == nullptr ? 0 : workspace->priority, .route = route.priority};
}

double capacityWeightOf(const Fleet::Workspace *workspace)
{
    return workspace != nullptr && workspace->quota.isBounded() ? workspace->quota.requestsPerSecond : 1.0;
}

CallParameters makeCallParameters(
    const RequestSettings &settings, const Fleet::Route &route, const CallerRequest &request, const Core::LatencyDigest &latencies, Core::Instant now)
{
    const auto callerTimeout = request.callerTimeout.value_or(settings.defaultTimeout);
    CallParameters parameters;
    parameters.request = &request;
    parameters.route = &route;
    parameters.deadline = now + callerTimeout;
    parameters.targetAt = now + timeToTarget(settings, route);
    parameters.expiresAt = now + std::min(callerTimeout, route.timeout) - settings.answerReserve;
    parameters.typicalLatency = typicalLatencyOf(settings, route, latencies);
    parameters.allowedRegions = route.allowedRegions;
    const auto ceiling = std::max(settings.hedgeFloor, scaled(route.targetLatency, settings.hedgeCeilingShare));
    parameters.hedgeDelay = std::clamp(scaled(parameters.typicalLatency, settings.hedgeFactor), settings.hedgeFloor, ceiling);
    return parameters;
}

RoutedRequest::RoutedRequest(RequestContext context, std::shared_ptr<const Fleet::RouteTable> routes, const Fleet::Route &route, CallerRequest request)
    : context(context)
    , routes(std::move(routes))
    , route(route)
    , request(std::move(request))
    , parameters(makeCallParameters(*context.settings, route, this->request, *context.latencies, context.timers->now() - this->request.waited))
    , arrivedAt(context.timers->now() - this->request.waited)
{
    this->parameters.urgency = urgencyOf(context.workspace, route);
    this->parameters.capacityWeight = capacityWeightOf(context.workspace);
    if (context.workspace != nullptr) {
        this->parameters.allowedRegions = this->parameters.allowedRegions.intersectedWith(context.workspace->allowedRegions);
    }
    if (context.endsBy.has_value() && context.endsBy.value() < this->parameters.expiresAt) {
        this->parameters.expiresAt = context.endsBy.value();
        this->expiresByStop = true;
    }
    if (context.relayParameters.has_value()) {
        this->parameters.targetAt = this->arrivedAt + context.relayParameters->timeLeftToTarget;
        this->parameters.expiresAt = std::min(this->parameters.expiresAt, this->arrivedAt + context.relayParameters->timeLeftToDeadline);
        this->parameters.allowedRegions = this->parameters.allowedRegions.intersectedWith(context.relayParameters->allowedRegions);
        this->parameters.repeatFrom = this->arrivedAt + context.relayParameters->repeatHold;
        this->parameters.earlierAttempts = context.relayParameters->earlierAttempts();
        this->parameters.isAwaited = context.isAwaited;
    }
}

RoutedRequest::~RoutedRequest() = default;

Core::Instant RoutedRequest::now() const
{
    return this->context.timers->now();
}

std::unique_ptr<ShardCall> RoutedRequest::makeCall(const Core::ServiceName &service)
{
    return std::make_unique<ShardCall>(this->parameters, service, *this->context.pool, *this->context.timers);
}

void RoutedRequest::start(AnswerHook answer, FinishedHook finished)
{
    this->answerHook = std::move(answer);
    this->finishedHook = std::move(finished);
    this->withCompletionDeferred([this] {
        this->startCalls();
    });
    this->scheduleCheck(this->arrivedAt + this->parameters.hedgeDelay);
    this->callFinished();
}

void RoutedRequest::callFinished()
{
    if (!this->completionDeferred && !this->done) {
        this->completeIfPossible();
    }
}

void RoutedRequest::withCompletionDeferred(const std::function<void()> &steps)
{
    const bool heldBefore = std::exchange(this->completionDeferred, true);
    steps();
    this->completionDeferred = heldBefore;
}

bool RoutedRequest::isTargetReached() const
{
    return this->now() >= this->parameters.targetAt;
}

bool RoutedRequest::isExpired() const
{
    return this->now() >= this->parameters.expiresAt;
}

void RoutedRequest::scheduleCheck(Core::Instant due)
{
    auto wanted = std::min(due, this->parameters.expiresAt);
    if (!this->isTargetReached()) {
        wanted = std::min(wanted, this->parameters.targetAt);
    }
    this->checkTimer = this->context.timers->once(std::max(Core::Duration(0), wanted - this->now()), [this](Core::Instant) {
        this->runScheduledCheck();
    });
}

void RoutedRequest::runScheduledCheck()
{
    if (this->isExpired()) {
        this->cancelCalls(false);
        this->callFinished();
        return;
    }
    auto next = this->parameters.expiresAt;
    this->withCompletionDeferred([this, &next] {
        next = this->handleLateCalls();
    });
    // NOTE: The next check is scheduled first, because callFinished() may destroy this request.
    this->scheduleCheck(next);
    this->callFinished();
}

void RoutedRequest::restrictTo(const Fleet::RouteTable &newer)
{
    const auto *same = newer.match(this->request.host, this->request.message.target);
    if (same != nullptr) {
        this->parameters.allowedRegions = this->parameters.allowedRegions.intersectedWith(same->allowedRegions);
    }
    const auto *workspace = this->request.workspace.has_value() ? newer.declaration().workspaceNamed(this->request.workspace.value()) : nullptr;
    if (workspace != nullptr) {
        this->parameters.allowedRegions = this->parameters.allowedRegions.intersectedWith(workspace->allowedRegions);
    }
}

void RoutedRequest::endBy(Core::Instant latest)
{
    if (this->done || latest >= this->parameters.expiresAt) {
        return;
    }
    this->parameters.expiresAt = latest;
    this->expiresByStop = true;
    this->runScheduledCheck();
}

void RoutedRequest::callerGone(Wire::ConnectionEnd end)
{
    if (this->done) {
        return;
    }
    this->connectionEnd = end;
    this->cancelCalls(true);
    this->answerHook = nullptr;
    this->complete(Wire::Response{}, RequestOutcome::CallerGone);
}

void RoutedRequest::receiptConfirmed()
{
    const auto now = this->now();
    if (this->done || now >= this->parameters.repeatFrom) {
        return;
    }
    this->parameters.repeatFrom = now;
    this->withCompletionDeferred([this] {
        this->releaseCalls();
    });
    this->runScheduledCheck();
}

void RoutedRequest::releaseCalls()
{
}

bool RoutedRequest::isPart(const PartId &part) const
{
    return this->context.relayParameters.has_value() && this->context.relayParameters->send == part.send && this->request.id.value() == part.request;
}

void RoutedRequest::searchEnded()
{
    if (this->done) {
        return;
    }
    this->cancelCalls(true);
    this->complete(Wire::Response{.status = 200, .headers = {{RelayHeader::Partial, "1"}}, .body = {}}, RequestOutcome::CallerGone);
}

// A caller retries once. One that retries while the backend servers are still missing is refused for good, so it is told to wait as long as it may.
Core::Duration RoutedRequest::retryDelay(bool lacksServers) const
{
    const auto usual = this->context.settings->retryAfter;
    if (!lacksServers) {
        return usual;
    }
    const auto longest = std::min((this->parameters.deadline - this->now()) / RetryDelayDivisor, MaximumRetryDelay);
    return std::max(usual, longest);
}

void RoutedRequest::refuse(RunEvidence evidenceOfRun, bool lacksServers)
{
    this->evidence = evidenceOfRun;
    const bool mayHaveRun = evidenceOfRun != RunEvidence::None;
    const auto refusal = !mayHaveRun ? Refusal::NotRun : this->isExpired() ? Refusal::TimedOut : Refusal::Failed;
    const auto outcome = !mayHaveRun ? RequestOutcome::NotRun : this->isExpired() ? RequestOutcome::TimedOut : RequestOutcome::Failed;
    this->complete(this->context.dialect->writeRefusal(refusal, this->request.id, this->retryDelay(lacksServers)), outcome);
}

void RoutedRequest::describeCall(RequestSummary &summary, const ShardCall &call)
{
    summary.attempts += call.attempts();
    summary.hedges += call.hedges();
    const bool missing = call.state() != CallState::Answered;
    if (missing && summary.detail.size() < MaximumDetailLength) {
        summary.detail += call.service().value() + ":" + (call.failureReason().empty() ? "late" : call.failureReason()) + ";";
    }
}

RequestSummary RoutedRequest::currentState() const
{
    RequestSummary summary;
    summary.request = &this->request;
    summary.route = &this->route;
    summary.declarationVersion = this->routes->declaration().version.value();
    summary.took = this->now() - this->arrivedAt;
    summary.endedByStop = this->expiresByStop && this->isExpired();
    summary.connectionEnd = this->connectionEnd;
    this->describe(summary);
    return summary;
}

void RoutedRequest::complete(Wire::Response response, RequestOutcome outcome)
{
    this->done = true;
    this->checkTimer.cancel();
    auto summary = this->currentState();
    summary.status = response.status;
    summary.outcome = outcome;
    summary.evidence = outcome == RequestOutcome::FailedByBackend ? RunEvidence::DirectAttempt : this->evidence;
    const auto answer = std::exchange(this->answerHook, nullptr);
    if (answer) {
        answer(std::move(response));
    }
    // NOTE: The hook destroys this request, so it is called last.
    const auto hook = std::exchange(this->finishedHook, nullptr);
    hook(summary);
}

}
