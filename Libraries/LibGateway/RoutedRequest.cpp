/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RoutedRequest.h>

#include <algorithm>

namespace Gateway
{

// Latencies that have to be known before they are taken for usual.
static constexpr double FewestLatencies = 20.0;
// Characters of a log line that tell of missing shards.
static constexpr std::size_t LongestDetail = 160;

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

Core::Duration scaled(Core::Duration duration, double factor)
{
    return Core::Duration(static_cast<Core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// How long after its arrival an answer should leave to reach the caller in time.
static Core::Duration timeToTarget(const RequestSettings &settings, const Fleet::Route &route)
{
    const auto reserve = std::max(scaled(route.targetLatency, settings.returnShare), settings.returnFloor);
    return std::max(route.targetLatency - reserve, route.targetLatency / 2);
}

Core::Duration typicalLatencyOf(const RequestSettings &settings, const Fleet::Route &route, const Core::LatencyDigest &latencies)
{
    return latencies.quantile(0.5, scaled(route.targetLatency, settings.assumedLatencyShare), FewestLatencies);
}

Urgency urgencyOf(const Fleet::Workspace *workspace, const Fleet::Route &route)
{
    return {.workspace = workspace == nullptr ? 0 : workspace->priority, .route = route.priority};
}

CallTerms makeTerms(
    const RequestSettings &settings, const Fleet::Route &route, const CallerRequest &request, const Core::LatencyDigest &latencies, Core::Instant now)
{
    const auto patience = request.patience.value_or(settings.defaultPatience);
    CallTerms terms;
    terms.request = &request;
    terms.route = &route;
    terms.deadline = now + patience;
    terms.targetAt = now + timeToTarget(settings, route);
    terms.giveUpAt = now + std::min(patience, route.timeout) - settings.answerReserve;
    terms.typicalLatency = typicalLatencyOf(settings, route, latencies);
    terms.allowedRegions = route.allowedRegions;
    const auto ceiling = std::max(settings.hedgeFloor, scaled(route.targetLatency, settings.hedgeCeilingShare));
    terms.hedgeDelay = std::clamp(scaled(terms.typicalLatency, settings.hedgeFactor), settings.hedgeFloor, ceiling);
    return terms;
}

RoutedRequest::RoutedRequest(RequestContext context, std::shared_ptr<const Fleet::RouteTable> routes, const Fleet::Route &route, CallerRequest request)
    : context(context)
    , routes(std::move(routes))
    , route(route)
    , request(std::move(request))
    , terms(makeTerms(*context.settings, route, this->request, *context.latencies, context.timers->now() - this->request.waited))
    , arrivedAt(context.timers->now() - this->request.waited)
{
    this->terms.urgency = urgencyOf(context.workspace, route);
    if (context.workspace != nullptr) {
        this->terms.allowedRegions = this->terms.allowedRegions.intersectedWith(context.workspace->allowedRegions);
    }
    if (context.relayTerms.has_value()) {
        this->terms.targetAt = this->arrivedAt + context.relayTerms->targetLeft;
        this->terms.giveUpAt = std::min(this->terms.giveUpAt, this->arrivedAt + context.relayTerms->holdLeft);
        this->terms.allowedRegions = this->terms.allowedRegions.intersectedWith(context.relayTerms->allowedRegions);
    }
}

RoutedRequest::~RoutedRequest() = default;

Core::Instant RoutedRequest::now() const
{
    return this->context.timers->now();
}

std::unique_ptr<ShardCall> RoutedRequest::makeCall(const Core::ServiceName &service)
{
    return std::make_unique<ShardCall>(this->terms, service, *this->context.pool, *this->context.timers);
}

void RoutedRequest::start(AnswerHook answer, FinishedHook finished)
{
    this->answerHook = std::move(answer);
    this->finishedHook = std::move(finished);
    this->withoutCompleting([this] {
        this->startCalls();
    });
    this->scheduleLook(this->arrivedAt + this->terms.hedgeDelay);
    this->callFinished();
}

void RoutedRequest::callFinished()
{
    if (!this->completionHeld && !this->done) {
        this->check();
    }
}

void RoutedRequest::withoutCompleting(const std::function<void()> &steps)
{
    const bool heldBefore = std::exchange(this->completionHeld, true);
    steps();
    this->completionHeld = heldBefore;
}

bool RoutedRequest::isTargetDue() const
{
    return this->now() >= this->terms.targetAt;
}

bool RoutedRequest::isTimeUp() const
{
    return this->now() >= this->terms.giveUpAt;
}

void RoutedRequest::scheduleLook(Core::Instant due)
{
    auto wanted = std::min(due, this->terms.giveUpAt);
    if (!this->isTargetDue()) {
        wanted = std::min(wanted, this->terms.targetAt);
    }
    this->lookTimer = this->context.timers->once(std::max(Core::Duration(0), wanted - this->now()), [this](Core::Instant) {
        this->look();
    });
}

void RoutedRequest::look()
{
    if (this->isTimeUp()) {
        this->giveUpCalls(false);
        this->callFinished();
        return;
    }
    auto next = this->terms.giveUpAt;
    this->withoutCompleting([this, &next] {
        next = this->lookAtCalls();
    });
    // NOTE: The next look is planned first, because the last line may end this request.
    this->scheduleLook(next);
    this->callFinished();
}

void RoutedRequest::keepTo(const Fleet::RouteTable &newer)
{
    const auto *same = newer.match(this->request.host, this->request.message.target);
    if (same != nullptr) {
        this->terms.allowedRegions = this->terms.allowedRegions.intersectedWith(same->allowedRegions);
    }
    const auto *workspace = this->request.workspace.has_value() ? newer.declaration().workspaceNamed(this->request.workspace.value()) : nullptr;
    if (workspace != nullptr) {
        this->terms.allowedRegions = this->terms.allowedRegions.intersectedWith(workspace->allowedRegions);
    }
}

void RoutedRequest::callerGone()
{
    if (this->done) {
        return;
    }
    this->giveUpCalls(true);
    this->answerHook = nullptr;
    this->complete(Wire::Response{}, RequestOutcome::CallerGone);
}

void RoutedRequest::refuse(bool mayHaveRun)
{
    const auto refusal = !mayHaveRun ? Refusal::NotRun : this->isTimeUp() ? Refusal::TimedOut : Refusal::Failed;
    const auto outcome = !mayHaveRun ? RequestOutcome::NotRun : this->isTimeUp() ? RequestOutcome::TimedOut : RequestOutcome::Failed;
    this->complete(this->context.dialect->writeRefusal(refusal, this->request.id, this->context.settings->comeBackAfter), outcome);
}

void RoutedRequest::describeCall(RequestSummary &summary, const ShardCall &call)
{
    summary.attempts += call.attempts();
    summary.hedges += call.hedges();
    const bool missing = call.state() != CallState::Answered;
    if (missing && summary.detail.size() < LongestDetail) {
        summary.detail += call.service().value() + ":" + (call.failureReason().empty() ? "late" : call.failureReason()) + ";";
    }
}

void RoutedRequest::complete(Wire::Response response, RequestOutcome outcome)
{
    this->done = true;
    this->lookTimer.cancel();
    RequestSummary summary;
    summary.request = &this->request;
    summary.route = &this->route;
    summary.declarationVersion = this->routes->declaration().version.value();
    summary.status = response.status;
    summary.outcome = outcome;
    summary.took = this->now() - this->arrivedAt;
    this->describe(summary);
    const auto answer = std::exchange(this->answerHook, nullptr);
    if (answer) {
        answer(std::move(response));
    }
    // NOTE: The hook drops this request, so it comes last.
    const auto hook = std::exchange(this->finishedHook, nullptr);
    hook(summary);
}

}
