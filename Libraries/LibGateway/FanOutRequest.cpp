/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/FanOutRequest.h>

#include <LibGateway/RecordMerge.h>
#include <LibRpc/Serialization.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// The shortest round trip is what was measured; queues and a connection that has to be opened make it longer.
static constexpr double RelayWayFactor = 1.3;
// Two programs and two links more than without the other gateway.
static constexpr Core::Duration RelayOverhead = Core::milliseconds(4);

FanOutRequest::RelayedShards::RelayedShards(const Fleet::Route &route, const RelayPlan &plan, const CallerRequest &request, Core::Duration targetLeft)
    : shards(plan.relayed), route(makeRelayRoute(route, plan.relays)), request(request)
{
    addRelayTerms(this->request.message.headers, RelayTerms{.targetLeft = targetLeft, .shards = this->shards});
}

FanOutRequest::FanOutRequest(
    RequestContext context, std::shared_ptr<const Fleet::RouteTable> routes, const Fleet::Route &route, CallerRequest request, RelayPlan plan, Asker asker)
    : RoutedRequest(context, std::move(routes), route, std::move(request)), plan(std::move(plan)), asker(asker)
{
}

// ---- Calls

void FanOutRequest::startCalls()
{
    for (const auto &shard : this->plan.direct) {
        this->startDirect(shard, Protocol::MissingShard());
    }
    if (!this->plan.relayed.empty()) {
        this->startRelayed();
    }
}

// `before` is what another gateway did for the shard.
void FanOutRequest::startDirect(const Core::ServiceName &shard, const Protocol::MissingShard &before)
{
    this->calls.push_back(this->makeCall(shard));
    auto &call = *this->calls.back();
    call.countEarlier(before.executions, before.sends);
    call.start([this] {
        this->callFinished();
    });
}

void FanOutRequest::startRelayed()
{
    // The other gateway answers so early that its part is here when the whole answer should leave.
    const auto way = scaled(this->context.relays->roundTripTo(this->plan.relays), RelayWayFactor) + RelayOverhead;
    const auto target = std::max(Core::Duration(0), this->terms.targetAt - this->now() - way);
    this->relayed = std::make_unique<RelayedShards>(this->route, this->plan, this->request, target);
    auto &part = *this->relayed;
    part.terms = makeTerms(*this->context.settings, *part.route, part.request, *this->context.relayLatencies, this->now());
    part.terms.giveUpAt = std::min(part.terms.giveUpAt, this->arrivedAt + this->plan.targetsHeld * this->route.targetLatency);
    part.call = std::make_unique<ShardCall>(part.terms, this->plan.relays, *this->context.relays, *this->context.timers);
    part.call->start([this] {
        this->withoutCompleting([this] {
            this->takeRelayedAnswer();
        });
        this->callFinished();
    });
}

void FanOutRequest::takeRelayedAnswer()
{
    auto &part = *this->relayed;
    if (std::exchange(part.taken, true)) {
        return;
    }
    std::vector<Protocol::MissingShard> missing;
    switch (part.call->state()) {
    case CallState::Answered: {
        auto answer = Rpc::deserialize<Protocol::PartialAnswer>(part.call->reply().message.body);
        if (answer.has_value()) {
            this->context.relayLatencies->add(part.call->latency());
            part.answer = std::move(answer.value());
            missing = part.answer.missing;
        } else {
            part.lost = part.shards.size();
        }
        break;
    }
    case CallState::NotRun:
    case CallState::FailedUnacknowledged:
        // No other gateway has taken it, so it is all asked from here, in the time that is left. One whose machine fell silent most likely has
        // not either; an attempt at each shard is counted for it all the same.
        for (const auto &shard : part.shards) {
            missing.emplace_back();
            missing.back().serviceName = shard.value();
            missing.back().executions = part.call->executions();
            missing.back().sends = part.call->executions();
        }
        break;
    default:
        // What ran for the other gateway is not known, so nothing may be sent in its place.
        part.lost = part.shards.size();
        break;
    }
    this->askMissingDirectly(missing);
}

void FanOutRequest::askMissingDirectly(const std::vector<Protocol::MissingShard> &missing)
{
    for (const auto &shard : missing) {
        const bool allowed = shard.executions < this->route.maximumAttempts && !this->isTimeUp();
        if (allowed) {
            this->startDirect(Core::ServiceName(shard.serviceName), shard);
        } else {
            ++this->relayed->lost;
        }
    }
}

Core::Instant FanOutRequest::lookAtCalls()
{
    auto next = this->terms.giveUpAt;
    // NOTE: By number, since a call that fails at once may add others.
    for (std::size_t index = 0; index < this->calls.size(); ++index) {
        next = std::min(next, this->calls[index]->hedgeIfDue().value_or(next));
    }
    if (!this->relayed || this->relayed->taken) {
        return next;
    }
    if (this->now() >= this->relayed->terms.giveUpAt) {
        this->relayed->call->giveUp(false);
        this->takeRelayedAnswer();
        return next;
    }
    return std::min(next, this->relayed->terms.giveUpAt);
}

void FanOutRequest::giveUpCalls(bool callerIsGone)
{
    for (const auto &call : this->calls) {
        call->giveUp(callerIsGone);
    }
    if (this->relayed && !this->relayed->taken) {
        this->relayed->call->giveUp(callerIsGone);
        this->relayed->taken = true;
        this->relayed->lost = this->relayed->shards.size();
    }
}

// ---- Coverage

std::size_t FanOutRequest::needed() const
{
    // A hair less, so that 0.89 of 100 shards are 89 of them whatever the rounding of the product.
    const double exact = this->route.minimumCoverage * static_cast<double>(this->route.shards.size()) - 1e-9;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(exact)));
}

std::size_t FanOutRequest::answeredCount() const
{
    const auto direct = std::count_if(this->calls.begin(), this->calls.end(), [](const auto &call) {
        return call->state() == CallState::Answered;
    });
    return static_cast<std::size_t>(direct) + (this->relayed ? this->relayed->answer.signatures.size() : 0);
}

std::size_t FanOutRequest::openCount() const
{
    const auto direct = std::count_if(this->calls.begin(), this->calls.end(), [](const auto &call) {
        return !isFinished(call->state());
    });
    return static_cast<std::size_t>(direct) + (this->relayed && !this->relayed->taken ? this->relayed->shards.size() : 0);
}

bool FanOutRequest::mayHaveRun() const
{
    const bool direct = std::any_of(this->calls.begin(), this->calls.end(), [](const auto &call) {
        return call->executions() > 0;
    });
    const bool byOther = this->relayed && this->relayed->call->executions() > 0;
    return direct || byOther;
}

void FanOutRequest::check()
{
    if (this->asker == Asker::Caller) {
        this->checkForCaller();
    } else {
        this->checkForOtherGateway();
    }
}

// A merged answer leaves when all parts are in; when the target is due and enough are in; and after the target as soon as enough are in.
void FanOutRequest::checkForCaller()
{
    const auto answered = this->answeredCount();
    const auto open = this->openCount();
    const bool enough = answered >= this->needed();
    if (enough && (open == 0 || this->isTargetDue())) {
        this->answerCaller();
    } else if (answered + open < this->needed()) {
        this->giveUpCalls(false);
        this->refuse(this->mayHaveRun());
    }
}

void FanOutRequest::checkForOtherGateway()
{
    if (this->openCount() == 0 || this->isTargetDue()) {
        this->answerOtherGateway();
    }
}

std::string FanOutRequest::mergedRecords()
{
    std::vector<std::string_view> parts;
    for (const auto &call : this->calls) {
        if (call->state() == CallState::Answered) {
            parts.emplace_back(call->reply().message.body);
            this->context.latencies->add(call->latency());
        }
    }
    if (this->relayed) {
        parts.emplace_back(this->relayed->answer.records);
    }
    return mergeGreatest(parts, this->route.topRecords);
}

void FanOutRequest::answerCaller()
{
    MergedAnswer answer;
    answer.id = this->request.id;
    answer.body = this->mergedRecords();
    for (const auto &call : this->calls) {
        if (call->state() == CallState::Answered) {
            answer.signatures.push_back(call->reply().signature);
        }
    }
    if (this->relayed) {
        const auto &others = this->relayed->answer.signatures;
        answer.signatures.insert(answer.signatures.end(), others.begin(), others.end());
    }
    answer.missing = this->route.shards.size() - answer.signatures.size();
    this->giveUpCalls(false);
    this->complete(this->context.dialect->writeMerged(answer), answer.missing == 0 ? RequestOutcome::Answered : RequestOutcome::Partial);
}

void FanOutRequest::answerOtherGateway()
{
    Protocol::PartialAnswer answer;
    answer.records = this->mergedRecords();
    for (const auto &call : this->calls) {
        if (call->state() == CallState::Answered) {
            answer.signatures.push_back(call->reply().signature);
        }
    }
    this->giveUpCalls(false);
    for (const auto &call : this->calls) {
        if (call->state() != CallState::Answered) {
            answer.missing.emplace_back();
            answer.missing.back().serviceName = call->service().value();
            answer.missing.back().executions = call->executions();
            answer.missing.back().sends = call->attempts();
        }
    }
    const auto outcome = answer.missing.empty() ? RequestOutcome::Answered : RequestOutcome::Partial;
    this->complete(this->context.dialect->writePartial(this->request.id, Rpc::serialize(answer)), outcome);
}

void FanOutRequest::describe(RequestSummary &summary) const
{
    summary.shards = this->asker == Asker::Caller ? this->route.shards.size() : this->plan.direct.size();
    summary.answered = this->answeredCount();
    summary.relayed = this->plan.relayed.size();
    for (const auto &call : this->calls) {
        describeCall(summary, *call);
    }
    if (this->relayed) {
        describeCall(summary, *this->relayed->call);
    }
}

}
