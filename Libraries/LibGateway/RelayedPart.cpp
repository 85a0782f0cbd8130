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

// The shortest round trip is what was measured; queues and a connection that has to be opened make it longer.
static constexpr double RelayWayFactor = 1.3;
// A hop more: two gateways on small shares of a core.
static constexpr Core::Duration RelayOverhead = Core::milliseconds(4);

RelayedPart::RelayedPart(
    const RequestContext &context, const Fleet::Route &route, const CallerRequest &request, const PartPlan &plan, const PartTerms &partTerms)
    : context(context), route(route), plan(plan), relays(relayService(plan.zone)), relayRoute(makeRelayRoute(route, this->relays)), request(request)
{
    const auto now = context.timers->now();
    // The other gateway answers so early that its part is here when the whole answer should leave.
    const auto way = scaled(context.relays->roundTripTo(this->relays), RelayWayFactor) + RelayOverhead;
    this->parameters = makeTerms(*context.settings, *this->relayRoute, this->request, *context.relayLatencies, now);
    this->parameters.expiresAt = std::min(this->parameters.expiresAt, partTerms.expiresAt);
    this->parameters.urgency = urgencyOf(context.workspace, route);
    this->parameters.preferred = plan.owners;
    // The request's body is not to travel where it may not be served, either.
    this->parameters.allowedRegions = partTerms.allowedRegions;
    addRelayParameters(this->request.message.headers,
        RelayParameters{.timeLeftToTarget = std::max(Core::Duration(0), partTerms.targetAt - now - way),
            .timeLeftToDeadline = std::max(Core::Duration(0), this->parameters.expiresAt - now - way),
            .maximumMissing = partTerms.maximumMissing,
            .mayRelayFurther = plan.mayRelayFurther,
            .isHedge = plan.isHedge,
            .before = plan.before,
            .shards = plan.shards,
            .minimumRecord = plan.minimumRecord,
            .topRecords = partTerms.topRecords,
            .allowedRegions = partTerms.allowedRegions,
            .workspace = this->request.workspace});
    this->relayCall = std::make_unique<ShardCall>(this->parameters, this->relays, *context.relays, *context.timers);
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
    if (const auto notAsked = this->missingButNotAsked(answer.value());
        !notAsked.empty() || answer->signatures.size() + answer->missing.size() != this->plan.shards.size()) {
        Core::logEvent(Core::LogLevel::Error,
            "part.incomplete",
            {{"request", this->request.id.value()},
                {"shards", this->plan.shards.size()},
                {"signatures", answer->signatures.size()},
                {"missing", answer->missing.size()},
                {"not_asked", Core::joinList(notAsked)}});
        return;
    }
    this->context.relayLatencies->add(this->relayCall->latency());
    this->partial = std::move(answer.value());
}

// Signatures don't tell whose they are: a shard is taken to be in if it is not named as missing. So a wrong name makes one count that is not in.
std::vector<std::string> RelayedPart::missingButNotAsked(const Protocol::PartialAnswer &answer) const
{
    std::multiset<std::string> asked;
    for (const auto &shard : this->plan.shards) {
        asked.insert(shard.value());
    }
    std::vector<std::string> notAsked;
    for (const auto &shard : answer.missing) {
        if (asked.extract(shard.serviceName).empty()) {
            notAsked.push_back(shard.serviceName);
        }
    }
    return notAsked;
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

bool RelayedPart::mayHaveRun() const
{
    return this->relayCall->executions() > 0;
}

bool RelayedPart::isHedge() const
{
    return this->plan.isHedge;
}

const PartPlan &RelayedPart::asked() const
{
    return this->plan;
}

bool RelayedPart::hasOwners() const
{
    return !this->plan.owners.empty();
}

bool RelayedPart::isAgain() const
{
    return this->plan.isAgain;
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
    const bool wasRead = this->partial.signatures.size() + this->partial.missing.size() > 0;
    switch (this->relayCall->state()) {
    case CallState::Answered:
        // What ran for an answer that can't be read is not known.
        return wasRead ? this->partial.missing : this->allMissing(this->route.maximumAttempts, 1);
    case CallState::NotRun:
        return this->allMissing(0, 0);
    default:
        break;
    }
    if (this->relayCall->state() == CallState::FailedUnacknowledged || this->brokeAtOnce()) {
        // Its machine fell silent or started again, so it most likely has not taken the part; an attempt at each shard is counted for it all the same.
        return this->allMissing(this->relayCall->executions(), this->relayCall->executions());
    }
    // What ran for the other gateway is not known, so nothing may be sent in its place.
    return this->allMissing(this->route.maximumAttempts, 1);
}

// A machine that started again resets what it knows nothing of, a round trip after the send. Also a gateway that did take the part has sent each shard
// at most once by then, since no backend server's answer can be there.
bool RelayedPart::brokeAtOnce() const
{
    const auto brokeAfter = this->relayCall->brokeAfter();
    return this->relayCall->state() == CallState::Failed && brokeAfter.has_value() && brokeAfter.value() <= this->context.settings->immediateBreak;
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
