/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RoutedRequest.h>

#include <LibGateway/RecordMerge.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

static Core::Duration scaled(Core::Duration duration, double factor)
{
    return Core::Duration(static_cast<Core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

RoutedRequest::RoutedRequest(RequestContext context,
    std::shared_ptr<const Fleet::RouteTable> routes,
    const Fleet::Route &route,
    CallerRequest request,
    const std::vector<Core::ServiceName> &services)
    : context(context), routes(std::move(routes)), route(route), request(std::move(request)), arrivedAt(context.timers->now())
{
    const auto &settings = *context.settings;
    const auto patience = this->request.patience.value_or(settings.defaultPatience);
    this->terms.request = &this->request;
    this->terms.route = &route;
    this->terms.settings = context.settings;
    this->terms.deadline = this->arrivedAt + patience;
    this->terms.giveUpAt = this->arrivedAt + std::min(patience, route.timeout) - settings.answerReserve;
    this->terms.typicalLatency = context.latencies->quantile(0.5, scaled(route.targetLatency, settings.assumedLatencyShare), 20.0);
    const auto ceiling = scaled(route.targetLatency, settings.hedgeCeilingShare);
    this->terms.hedgeDelay = std::clamp(scaled(this->terms.typicalLatency, settings.hedgeFactor), std::min(settings.hedgeFloor, ceiling), std::max(settings.hedgeFloor, ceiling));
    this->targetAt = this->arrivedAt + scaled(route.targetLatency, 1.0 - settings.returnShare);
    for (const auto &service : services) {
        this->calls.push_back(std::make_unique<ShardCall>(this->terms, service, *context.pool, *context.timers));
    }
}

void RoutedRequest::start(AnswerHook answer, FinishedHook finished)
{
    this->answerHook = std::move(answer);
    this->finishedHook = std::move(finished);
    this->starting = true;
    for (const auto &call : this->calls) {
        call->start([this] {
            this->callFinished();
        });
    }
    this->starting = false;
    this->scheduleLook(this->arrivedAt + this->terms.hedgeDelay);
    this->callFinished();
}

void RoutedRequest::callFinished()
{
    if (this->starting || this->done) {
        return;
    }
    if (this->route.isFanOut()) {
        this->checkCoverage();
    } else {
        this->checkSingle();
    }
}

void RoutedRequest::scheduleLook(Core::Instant due)
{
    const auto wanted = std::min({due, this->terms.giveUpAt, this->isTargetDue() ? this->terms.giveUpAt : this->targetAt});
    this->lookTimer = this->context.timers->once(std::max(Core::Duration(0), wanted - this->context.timers->now()), [this](Core::Instant) {
        this->look();
    });
}

void RoutedRequest::look()
{
    const auto now = this->context.timers->now();
    if (now >= this->terms.giveUpAt) {
        for (const auto &call : this->calls) {
            call->giveUp(false);
        }
        this->callFinished();
        return;
    }
    auto next = this->terms.giveUpAt;
    for (const auto &call : this->calls) {
        const auto again = call->hedgeIfDue();
        next = std::min(next, again.value_or(next));
    }
    const bool neverSent = !this->route.isFanOut() && this->calls.front()->state() == CallState::Waiting;
    const auto roomUntil = this->arrivedAt + scaled(this->route.targetLatency, this->context.settings->roomWaitShare);
    if (neverSent && now >= roomUntil) {
        this->calls.front()->giveUp(false);
    } else if (neverSent) {
        next = std::min(next, roomUntil);
    }
    // NOTE: The next look is planned first, because the last line may end this request.
    this->scheduleLook(next);
    this->callFinished();
}

std::size_t RoutedRequest::countOf(CallState wanted) const
{
    return static_cast<std::size_t>(std::count_if(this->calls.begin(), this->calls.end(), [wanted](const auto &call) {
        return call->state() == wanted;
    }));
}

std::size_t RoutedRequest::needed() const
{
    // A hair less, so that 0.89 of 100 shards are 89 of them whatever the rounding of the product.
    const double exact = this->route.minimumCoverage * static_cast<double>(this->calls.size()) - 1e-9;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(exact)));
}

bool RoutedRequest::isTargetDue() const
{
    return this->context.timers->now() >= this->targetAt;
}

// A merged answer leaves when all parts are in; when the target is due and enough are in; and after the target as soon as enough are in.
void RoutedRequest::checkCoverage()
{
    const auto answered = this->countOf(CallState::Answered);
    const auto unfinished = this->countOf(CallState::Waiting) + this->countOf(CallState::UnderWay);
    const bool enough = answered >= this->needed();
    if (enough && (unfinished == 0 || this->isTargetDue())) {
        this->answerMerged();
    } else if (answered + unfinished < this->needed()) {
        for (const auto &call : this->calls) {
            call->giveUp(false);
        }
        this->answerRefusal();
    }
}

void RoutedRequest::answerMerged()
{
    MergedAnswer answer;
    answer.id = this->request.id;
    std::vector<std::string_view> parts;
    for (const auto &call : this->calls) {
        if (call->state() == CallState::Answered) {
            answer.signatures.push_back(call->reply().signature);
            parts.emplace_back(call->reply().message.body);
            this->context.latencies->add(call->latency());
        }
    }
    answer.missing = this->calls.size() - answer.signatures.size();
    answer.body = mergeGreatest(parts, this->route.topRecords);
    for (const auto &call : this->calls) {
        call->giveUp(false);
    }
    this->complete(this->context.dialect->writeMerged(answer), answer.missing == 0 ? "complete" : "partial");
}

void RoutedRequest::checkSingle()
{
    auto &call = *this->calls.front();
    switch (call.state()) {
    case CallState::Waiting:
    case CallState::UnderWay:
        break;
    case CallState::Answered:
        this->context.latencies->add(call.latency());
        this->complete(this->context.dialect->passOn(std::move(call.reply())), "answered");
        break;
    case CallState::FailedWithReply:
        this->complete(this->context.dialect->passOn(std::move(call.reply())), "failed-by-backend");
        break;
    case CallState::Failed:
    case CallState::NotRun:
        this->answerRefusal();
        break;
    }
}

void RoutedRequest::answerRefusal()
{
    const bool mayHaveRun = std::any_of(this->calls.begin(), this->calls.end(), [](const auto &call) {
        return call->mayHaveRun();
    });
    const bool timeIsUp = this->context.timers->now() >= this->terms.giveUpAt;
    const auto refusal = !mayHaveRun ? Refusal::NotRun : timeIsUp ? Refusal::TimedOut : Refusal::Failed;
    const char *outcome = !mayHaveRun ? "not-run" : timeIsUp ? "timed-out" : "failed";
    this->complete(this->context.dialect->writeRefusal(refusal, this->request.id, this->context.settings->comeBackAfter), outcome);
}

void RoutedRequest::callerGone()
{
    if (this->done) {
        return;
    }
    for (const auto &call : this->calls) {
        call->giveUp(true);
    }
    this->answerHook = nullptr;
    this->complete(Wire::Response{}, "caller-gone");
}

RequestSummary RoutedRequest::summary(int status, const char *outcome) const
{
    RequestSummary result;
    result.request = &this->request;
    result.route = &this->route;
    result.declarationVersion = this->routes->declaration().version.value();
    result.status = status;
    result.outcome = outcome;
    result.shards = this->calls.size();
    result.answered = this->countOf(CallState::Answered);
    result.took = this->context.timers->now() - this->arrivedAt;
    for (const auto &call : this->calls) {
        result.attempts += call->attempts();
        result.hedges += call->hedges();
        const bool missing = call->state() != CallState::Answered;
        if (missing && result.detail.size() < 120) {
            result.detail += call->service().value() + ":" + (call->failureReason().empty() ? "late" : call->failureReason()) + ";";
        }
    }
    return result;
}

void RoutedRequest::complete(Wire::Response response, const char *outcome)
{
    this->done = true;
    this->lookTimer.cancel();
    const auto result = this->summary(response.status, outcome);
    const auto answer = std::exchange(this->answerHook, nullptr);
    if (answer) {
        answer(std::move(response));
    }
    // NOTE: The hook drops this request, so it comes last.
    const auto hook = std::exchange(this->finishedHook, nullptr);
    hook(result);
}

}
