/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/SingleRequest.h>

#include <algorithm>

namespace Gateway
{

SingleRequest::SingleRequest(
    RequestContext context, std::shared_ptr<const Fleet::RouteTable> routes, const Fleet::Route &route, CallerRequest request, const Core::ServiceName &service)
    : RoutedRequest(context, std::move(routes), route, std::move(request)), call(this->makeCall(service))
{
}

void SingleRequest::startCalls()
{
    if (!this->context.pool->hasEligible(this->call->service(), this->parameters.allowedRegions)) {
        // No backend server can run the request, so completeIfPossible() refuses it immediately.
        this->call->cancel(false);
        return;
    }
    this->call->start([this] {
        this->callFinished();
    });
}

void SingleRequest::completeIfPossible()
{
    switch (this->call->state()) {
    case CallState::Waiting:
    case CallState::InFlight:
        break;
    case CallState::Answered:
        this->context.latencies->add(this->call->latency());
        this->complete(this->context.dialect->forwardReply(std::move(this->call->reply())), RequestOutcome::Answered);
        break;
    case CallState::FailedWithReply:
        this->complete(this->context.dialect->forwardReply(std::move(this->call->reply())), RequestOutcome::FailedByBackend);
        break;
    case CallState::Failed:
    case CallState::NotRun:
        this->refuse(this->call->executions() > 0 ? RunEvidence::DirectAttempt : RunEvidence::None, this->call->lacksServers());
        break;
    }
}

Core::Instant SingleRequest::handleLateCalls()
{
    auto next = this->call->hedgeIfDue().value_or(this->parameters.expiresAt);
    if (this->call->state() != CallState::Waiting) {
        return next;
    }
    // Without free capacity the request is refused early instead of being served late: the caller retries, possibly at a gateway with free capacity.
    const auto roomUntil = this->arrivedAt + scaled(this->route.targetLatency, this->context.settings->capacityWaitShare);
    if (this->now() >= roomUntil) {
        this->call->cancel(false);
        return next;
    }
    return std::min(next, roomUntil);
}

void SingleRequest::cancelCalls(bool callerIsGone)
{
    this->call->cancel(callerIsGone);
}

void SingleRequest::describe(RequestSummary &summary) const
{
    summary.shards = 1;
    summary.answered = this->call->state() == CallState::Answered ? 1 : 0;
    summary.mostAttempts = this->call->executions();
    describeCall(summary, *this->call);
}

}
