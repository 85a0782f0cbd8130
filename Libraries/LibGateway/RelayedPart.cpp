/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RelayedPart.h>

#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <LibGateway/PackedSignatures.h>
#include <LibRpc/Serialization.h>

#include <algorithm>
#include <set>

namespace Gateway
{

// Larger and negative numbers of attempts in an answer can't be true.
static constexpr std::int32_t MaximumReportedAttempts = 1000;

// Multiple of the measured shortest round trip that is expected for a part. Queues and a connection that has to be opened make it longer.
static constexpr double RoundTripFactor = 1.3;
// Added to the time after which missing acknowledgements break a connection: timers run late, and a connection may have to be opened first.
static constexpr Core::Duration GiveUpMargin = Core::milliseconds(8);
// Time for the additional hop: two gateways that run on small shares of a core.
static constexpr Core::Duration RelayOverhead = Core::milliseconds(4);

RelayedPart::RelayedPart(
    const RequestContext &context, const Fleet::Route &route, const CallerRequest &request, const PartPlan &plan, const PartParameters &partParameters)
    : context(context)
    , route(route)
    , plan(plan)
    , relayServiceName(relayService(plan.zone))
    , relayRoute(makeRelayRoute(route, this->relayServiceName))
    , request(request)
{
    const auto now = context.timers->now();
    // The serving gateway is given so much less time that its part arrives by the time when the whole answer should be sent.
    const auto transitTime = scaled(context.relays->roundTripTo(this->relayServiceName), RoundTripFactor) + RelayOverhead;
    this->parameters = makeCallParameters(*context.settings, *this->relayRoute, this->request, *context.relayLatencies, now);
    this->parameters.expiresAt = std::min(this->parameters.expiresAt, partParameters.expiresAt);
    this->parameters.urgency = urgencyOf(context.workspace, route);
    this->parameters.capacityWeight = capacityWeightOf(context.workspace);
    this->parameters.preferred = plan.owners;
    if (context.ownerLoad != nullptr) {
        if (const auto other = context.ownerLoad->arrange(this->parameters.preferred, now); other.has_value()) {
            this->request.message.headers.push_back(makeOtherOwnerHeader(other.value()));
        }
    }
    this->giveUpTime = std::min(context.settings->maximumGiveUpTime, context.relays->acknowledgementLimitTo(this->relayServiceName) + GiveUpMargin);
    // The reset of the connection that gives the part up takes up to a round trip to arrive.
    const auto repeatHold = std::max(partParameters.repeatHold, this->giveUpTime + context.relays->roundTripTo(this->relayServiceName));
    // The request's body must not be sent to regions where the request may not be served either.
    this->parameters.allowedRegions = partParameters.allowedRegions;
    addRelayParameters(this->request.message.headers,
        RelayParameters{.timeLeftToTarget = std::max(Core::Duration(0), partParameters.targetAt - now - transitTime),
            .timeLeftToDeadline = std::max(Core::Duration(0), this->parameters.expiresAt - now - transitTime),
            .maximumMissing = partParameters.maximumMissing,
            .mayRelayFurther = plan.mayRelayFurther,
            .isHedge = plan.isHedge,
            .before = plan.before,
            .shards = plan.shards,
            .minimumRecord = plan.minimumRecord,
            .topRecords = partParameters.topRecords,
            .allowedRegions = partParameters.allowedRegions,
            .workspace = this->request.workspace,
            .searchState = partParameters.searchState,
            .evidence = context.pool->evidenceOf(plan.shards, EvidenceScope::All),
            .repeatHold = repeatHold});
    if (context.cancelsParts) {
        // NOTE: Called also while this part is destroyed, so it refers to nothing in it.
        this->parameters.attemptAbandoned = [relays = context.relays, id = this->request.id](const BackendName &gateway, AttemptId send) {
            CallerRequest message{.id = id, .message = {.method = "GET", .target = "/", .headers = {}, .body = {}}};
            addCancellation(message.message.headers, {.send = std::to_string(send), .request = id.value()});
            relays->sendMessage(gateway, message);
        };
    }
    this->parameters.mayConfirm = [weak = std::weak_ptr<int>(this->alive), isHoldOver = partParameters.isHoldOver] {
        return !weak.expired() && isHoldOver();
    };
    this->relayCall = std::make_unique<ShardCall>(this->parameters, this->relayServiceName, *context.relays, *context.timers);
}

void RelayedPart::start(std::function<void()> finished)
{
    this->relayCall->start([this, finished = std::move(finished)] {
        this->handleOutcome();
        finished();
    });
}

void RelayedPart::handleOutcome()
{
    this->open = false;
    if (this->relayCall->state() != CallState::Answered) {
        return;
    }
    auto answer = Rpc::deserialize<Protocol::PartialAnswer>(this->relayCall->reply().message.body);
    if (const auto unpacked = answer.has_value() ? unpackSignatures(answer.value()) : Core::Result<void>(); !unpacked.has_value()) {
        answer = tl::make_unexpected(unpacked.error());
    }
    if (!answer.has_value()) {
        Core::logEvent(Core::LogLevel::Error, "part.unreadable", {{"request", this->request.id.value()}, {"error", answer.error().message}});
        return;
    }
    if (const auto unrequested = this->unrequestedMissing(answer.value());
        !unrequested.empty() || answer->signatures.size() + answer->missing.size() != this->plan.shards.size()) {
        Core::logEvent(Core::LogLevel::Error,
            "part.incomplete",
            {{"request", this->request.id.value()},
                {"shards", this->plan.shards.size()},
                {"signatures", answer->signatures.size()},
                {"missing", answer->missing.size()},
                {"not_asked", Core::joinList(unrequested)}});
        return;
    }
    this->context.relayLatencies->add(this->relayCall->latency());
    this->countOwner();
    this->partial = std::move(answer.value());
    for (auto &shard : this->partial.missing) {
        shard.executions = std::clamp(shard.executions, 0, MaximumReportedAttempts);
        shard.sends = std::clamp(shard.sends, 0, MaximumReportedAttempts);
    }
    const auto *denied = Wire::findHeader(this->relayCall->reply().message.headers, RelayHeader::DeniedRepeats);
    const auto *evidence = Wire::findHeader(this->relayCall->reply().message.headers, RelayHeader::Evidence);
    if (evidence != nullptr) {
        // When the answer was written is not known. It was on the way for at most as long as the call took, also if this gateway was stopped meanwhile.
        this->context.pool->receiveEvidence(*evidence, this->relayCall->answeredBy().value(), this->relayCall->latency());
    }
    this->deniedRepeats = denied == nullptr ? std::vector<std::string>() : Core::splitList(*denied);
}

void RelayedPart::countOwner()
{
    const auto owner = std::find(this->plan.owners.begin(), this->plan.owners.end(), this->relayCall->answeredBy());
    if (this->context.ownerLoad != nullptr && owner != this->plan.owners.end()) {
        this->context.ownerLoad->recordAnswer(static_cast<std::size_t>(owner - this->plan.owners.begin()));
    }
}

bool RelayedPart::lacksRepeatFor(const Core::ServiceName &shard) const
{
    return std::find(this->deniedRepeats.begin(), this->deniedRepeats.end(), shard.value()) != this->deniedRepeats.end();
}

// Signatures do not tell which shard they belong to: a shard counts as answered if it is not listed as missing. A wrong name among the missing ones would make
// a shard count that was not answered.
std::vector<std::string> RelayedPart::unrequestedMissing(const Protocol::PartialAnswer &answer) const
{
    std::multiset<std::string> requested;
    for (const auto &shard : this->plan.shards) {
        requested.insert(shard.value());
    }
    std::vector<std::string> unrequested;
    for (const auto &shard : answer.missing) {
        if (requested.extract(shard.serviceName).empty()) {
            unrequested.push_back(shard.serviceName);
        }
    }
    return unrequested;
}

void RelayedPart::sendNoMore()
{
    this->relayCall->sendNoMore();
}

void RelayedPart::cancel(bool callerGone)
{
    if (this->open) {
        this->open = false;
        this->relayCall->cancel(callerGone);
    }
}

bool RelayedPart::isOpen() const
{
    return this->open;
}

Core::Instant RelayedPart::expiresAt() const
{
    return this->parameters.expiresAt;
}

bool RelayedPart::isUnderWay() const
{
    return this->open && this->relayCall->hasSentAttempt();
}

bool RelayedPart::wasRead() const
{
    return this->partial.signatures.size() + this->partial.missing.size() > 0;
}

bool RelayedPart::reportsExecutions() const
{
    // The serving gateway counts the send that it hedges among the executions.
    const int own = this->plan.isHedge ? HedgedExecutions : 0;
    const bool byMissing = std::any_of(this->partial.missing.begin(), this->partial.missing.end(), [own](const Protocol::MissingShard &shard) {
        return shard.executions > own;
    });
    return byMissing || !this->partial.signatures.empty();
}

// The send that was answered counts as an execution of the call, but what it has run is as the answer reports.
bool RelayedPart::mayHaveRun() const
{
    const int answeredSends = this->wasRead() ? 1 : 0;
    return this->reportsExecutions() || this->relayCall->executions() > answeredSends;
}

bool RelayedPart::isHedge() const
{
    return this->plan.isHedge;
}

const PartPlan &RelayedPart::sentPlan() const
{
    return this->plan;
}

bool RelayedPart::hasOwners() const
{
    return !this->plan.owners.empty();
}

bool RelayedPart::isRetry() const
{
    return this->plan.isRetry;
}

const std::string &RelayedPart::zone() const
{
    return this->plan.zone;
}

const ShardCall &RelayedPart::call() const
{
    return *this->relayCall;
}

const Protocol::PartialAnswer &RelayedPart::answer() const
{
    return this->partial;
}

std::vector<Protocol::MissingShard> RelayedPart::missing() const
{
    switch (this->relayCall->state()) {
    case CallState::Answered:
        // It is not known what ran for an answer that cannot be read, so all attempts that the route allows are assumed.
        return this->wasRead() ? this->partial.missing : this->allMissing(this->route.maximumAttempts, 1);
    case CallState::NotRun:
        return this->allMissing(0, 0);
    default:
        break;
    }
    return this->allMissing(this->assumedAttempts(), 1);
}

// A part that broke in time has made one attempt at each shard at most: until then the serving gateway makes no second one unless the part was confirmed, and
// later the reset of the connection keeps it from doing so. Whether the part has arrived is not known.
int RelayedPart::assumedAttempts() const
{
    const auto brokeAfter = this->relayCall->brokeAfter();
    const bool brokeInTime = brokeAfter.has_value() && brokeAfter.value() <= this->giveUpTime;
    return brokeInTime && !this->relayCall->wasConfirmed() ? 1 : this->route.maximumAttempts;
}

void RelayedPart::recordIfLost() const
{
    const bool isLost = !this->open && this->relayCall->state() == CallState::Failed;
    if (!isLost || this->context.lostParts == nullptr) {
        return;
    }
    this->context.lostParts->record({.request = this->request.id,
                                        .zone = this->plan.zone,
                                        .shards = this->plan.shards.size(),
                                        .after = this->relayCall->brokeAfter(),
                                        .reason = this->relayCall->failureReason(),
                                        .assumedAttempts = this->assumedAttempts(),
                                        .maximumAttempts = this->route.maximumAttempts},
        this->context.timers->now());
}

std::vector<Protocol::MissingShard> RelayedPart::allMissing(int executions, int sends) const
{
    std::vector<Protocol::MissingShard> all;
    for (const auto &shard : this->plan.shards) {
        all.emplace_back();
        all.back().serviceName = shard.value();
        all.back().executions = executions;
        all.back().sends = sends;
        all.back().counted = sends > 0;
    }
    return all;
}

}
