/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/SearchRow.h>

#include <algorithm>

namespace Gateway
{

bool SearchRow::isAnsweredDirectly() const
{
    return !this->inPart && this->call && this->call->state() == CallState::Answered;
}

bool SearchRow::isAnswered() const
{
    return this->inPart || this->isAnsweredDirectly();
}

bool SearchRow::isOpen() const
{
    const bool byPart = this->part != nullptr && this->part->isOpen();
    const bool byCall = this->call && !isFinished(this->call->state());
    return !this->isAnswered() && (byPart || byCall);
}

bool SearchRow::isObtainable() const
{
    const bool notStarted = !this->call && this->part == nullptr;
    return !this->isAnswered() && (this->isOpen() || notStarted || this->mayRetry || this->isRetryPlanned);
}

// The executions of a call include those that other gateways reported before it, and hedges in flight at other gateways, which their parts account for.
bool SearchRow::mayHaveRunDirectly() const
{
    return this->call && this->call->executions() - this->call->openRelayedHedges() > this->remoteAttempts.executions;
}

bool SearchRow::lacksRepeat() const
{
    return this->call ? this->call->lacksRepeat() : this->lacksRepeatThere;
}

void SearchRow::recordMissing(const SentPart &sentPart, const Protocol::MissingShard &missing, int maximumAttempts)
{
    const auto before = this->remoteAttempts;
    this->remoteAttempts = missing;
    // A gateway of another build may report less than it was told.
    const auto &told = sentPart.part->sentPlan().before;
    this->remoteAttempts.executions = std::max(missing.executions, told.executions);
    this->remoteAttempts.sends = std::max(missing.sends, told.sends);
    this->remoteAttempts.counted = missing.counted || told.counted;
    this->missingFromPart = &sentPart;
    this->lacksRepeatThere = sentPart.part->lacksRepeatFor(this->shard);
    if (sentPart.part->call().state() != CallState::Answered) {
        // An answered part reports all attempts, including earlier ones. Without an answer only the attempts for this part are known, so the earlier ones are
        // added.
        this->remoteAttempts.executions += before.executions;
        this->remoteAttempts.sends += before.sends;
        this->remoteAttempts.counted = this->remoteAttempts.counted || before.counted;
    }
    this->mayRetry = this->remoteAttempts.executions < maximumAttempts;
}

Protocol::MissingShard SearchRow::describeMissing(int maximumAttempts) const
{
    Protocol::MissingShard missing = this->remoteAttempts;
    missing.serviceName = this->shard.value();
    const bool isReported = this->missingFromPart != nullptr && this->missingFromPart->part.get() == this->part;
    if (this->call) {
        missing.executions = this->call->executions();
        missing.sends = this->remoteAttempts.sends + this->call->attempts();
        missing.counted = true;
    } else if (this->part != nullptr && !isReported && this->part->mayHaveRun()) {
        // It is not known what the other gateway has run, so all attempts that the route allows are assumed.
        missing.executions = maximumAttempts;
        missing.sends = 1;
        missing.counted = true;
    }
    return missing;
}

}
