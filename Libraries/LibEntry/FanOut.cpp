/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/FanOut.h>

#include <algorithm>

namespace Entry
{

// A trace with more steps keeps only the first ones.
static constexpr std::size_t MaximumTraceSteps = 512;
static constexpr Core::Duration MinimumHedgeCheckDelay = Core::milliseconds(1);

FanOut::FanOut(FanOutOptions options, Dispatcher &dispatcher, HedgePolicy &hedgePolicy, const BackendTable &table, Core::TimerService &timers)
    : options(std::move(options)), dispatcher(dispatcher), hedgePolicy(hedgePolicy), table(table), timers(timers)
{
}

FanOut::~FanOut()
{
    for (auto &shard : this->shards) {
        this->cancelOutstanding(shard);
    }
}

void FanOut::start(DoneHook doneHook)
{
    this->done = std::move(doneHook);
    this->shards.resize(this->options.shards.size());
    // NOTE: The timer also ends a request that has nothing to send, so that `done` is never called from within start().
    const Core::Duration timeLeft = std::max(Core::Duration(0), this->options.deadline - this->timers.now());
    this->deadlineTimer = this->timers.once(timeLeft, [this](Core::Instant) {
        this->deadlineReached();
    });
    for (std::size_t position = 0; position < this->shards.size(); ++position) {
        this->shards[position].result.shard = this->options.shards[position];
        if (this->hasUntriedReplica(this->shards[position])) {
            this->hedgePolicy.recordFirstAttempt();
            this->submit(position, "first");
        } else {
            this->resolveMissing(position, "no-replica");
        }
    }
    this->finishWhenResolved();
    this->armHedgeTimer();
}

bool FanOut::hasUntriedReplica(const ShardState &shard) const
{
    const auto &replicas = this->options.view->replicas[static_cast<std::size_t>(shard.result.shard.value())];
    return std::any_of(replicas.begin(), replicas.end(), [this, &shard](BackendId id) {
        const bool tried = std::find(shard.tried.begin(), shard.tried.end(), id) != shard.tried.end();
        return !tried && this->table.isUsable(this->table.row(id), this->timers.now());
    });
}

SubRequest FanOut::makeSubRequest(std::size_t position)
{
    const auto &shard = this->shards[position];
    return SubRequest{
        .request = this->options.request,
        .view = this->options.view,
        .shard = shard.result.shard,
        .priority = this->options.priority,
        .deadline = this->options.deadline,
        .connectionShare = this->options.connectionShare,
        .excluded = shard.tried,
        .sent = {},
        .done = {},
    };
}

void FanOut::submit(std::size_t position, const std::string &kind)
{
    auto subRequest = this->makeSubRequest(position);
    ++this->shards[position].attempts;
    ++this->outcome.attempts;
    subRequest.sent = [this, position, kind](const ReplicaChoice &choice) {
        auto &shard = this->shards[position];
        shard.lastSent = this->timers.now();
        shard.tried.push_back(choice.id);
        this->trace(position, kind, this->table.row(choice.id).announcement.replicaName, choice.reason);
    };
    // The hook needs the id that submit() returns. It is called only after submit() has returned.
    const auto id = std::make_shared<SubRequestId>();
    subRequest.done = [this, position, id](SubRequestOutcome result) {
        this->handleOutcome(position, *id, std::move(result));
    };
    *id = this->dispatcher.submit(std::move(subRequest));
    this->shards[position].outstanding.push_back(*id);
}

void FanOut::handleOutcome(std::size_t position, SubRequestId id, SubRequestOutcome result)
{
    auto &shard = this->shards[position];
    std::erase(shard.outstanding, id);
    if (shard.resolved) {
        return;
    }
    if (result.result.status != AttemptStatus::Answered) {
        this->handleFailure(position, result);
        return;
    }
    shard.result.included = true;
    shard.result.document = std::move(result.result.document);
    shard.resolved = true;
    this->trace(position, "answered", this->table.row(result.backend.value()).announcement.replicaName, {});
    this->cancelOutstanding(shard);
    this->finishWhenResolved();
}

static std::string missingReasonOf(const SubRequestOutcome &outcome)
{
    if (!outcome.backend.has_value()) {
        return "no-capacity";
    }
    if (outcome.result.status == AttemptStatus::Refused) {
        return refusalReasonName(outcome.result.refusal);
    }
    return "failed";
}

void FanOut::handleFailure(std::size_t position, const SubRequestOutcome &failed)
{
    auto &shard = this->shards[position];
    shard.lastError = missingReasonOf(failed);
    const std::string replica = failed.backend.has_value() ? this->table.row(failed.backend.value()).announcement.replicaName : std::string();
    this->trace(position, "failed", replica, shard.lastError + ": " + failed.result.message);
    if (!shard.outstanding.empty() || shard.retryPending) {
        return;
    }
    if (failed.result.refusal == RefusalReason::SnapshotGone && !this->hasUntriedReplica(shard)) {
        this->outcome.snapshotLost = true;
        this->resolveMissing(position, "snapshot-gone");
        this->finishWhenResolved();
        return;
    }
    if (!this->mayRetry(shard, failed.result)) {
        this->resolveMissing(position, shard.lastError);
        this->finishWhenResolved();
        return;
    }
    this->retry(position);
}

bool FanOut::mayRetry(const ShardState &shard, const AttemptResult &result)
{
    if (shard.attempts >= this->options.maximumAttemptsPerShard || this->timers.now() + this->options.retryDelay >= this->options.deadline) {
        return false;
    }
    // An attempt that was refused or not sent put no load on the backend servers, so its retry does not consume the retry budget.
    const bool costless = result.status == AttemptStatus::Refused || result.status == AttemptStatus::NotSent;
    return costless || this->hedgePolicy.consumeRetry();
}

void FanOut::retry(std::size_t position)
{
    auto &shard = this->shards[position];
    ++this->outcome.retries;
    if (this->hasUntriedReplica(shard)) {
        this->submit(position, "retry");
        return;
    }
    // All replicas have been tried. After a delay each of them may be tried again.
    shard.tried.clear();
    shard.retryPending = true;
    const auto delay = this->options.retryDelay * shard.attempts;
    this->retryTimers.push_back(this->timers.once(delay, [this, position](Core::Instant) {
        auto &waiting = this->shards[position];
        waiting.retryPending = false;
        if (!waiting.resolved) {
            this->submit(position, "retry");
        }
    }));
}

void FanOut::resolveMissing(std::size_t position, const std::string &reason)
{
    auto &shard = this->shards[position];
    shard.resolved = true;
    shard.result.missingReason = reason;
    this->trace(position, "missing", {}, reason);
}

void FanOut::finishWhenResolved()
{
    const bool allResolved = std::all_of(this->shards.begin(), this->shards.end(), [](const ShardState &shard) {
        return shard.resolved;
    });
    if (allResolved || this->outcome.snapshotLost) {
        this->deadlineTimer = this->timers.once(Core::Duration(0), [this](Core::Instant) {
            this->deadlineReached();
        });
    }
}

void FanOut::cancelOutstanding(ShardState &shard)
{
    for (const auto id : std::exchange(shard.outstanding, {})) {
        this->dispatcher.cancel(id);
    }
}

void FanOut::armHedgeTimer()
{
    const auto delay = this->hedgePolicy.delay(this->dispatcher.latencies(this->options.request->service));
    if (!delay.has_value()) {
        return;
    }
    const Core::Instant now = this->timers.now();
    std::optional<Core::Instant> earliest;
    for (const auto &shard : this->shards) {
        if (shard.resolved || shard.hedges >= this->options.maximumHedgesPerShard) {
            continue;
        }
        // A sub-request that still waits in the queue for capacity is checked again after one delay.
        const Core::Instant due = shard.lastSent.value_or(now) + delay.value();
        earliest = std::min(earliest.value_or(due), due);
    }
    if (!earliest.has_value() || earliest.value() >= this->options.deadline) {
        return;
    }
    // A hedge that is due but could not be sent is checked again after a quarter of the delay.
    const Core::Duration wait = std::max({MinimumHedgeCheckDelay, delay.value() / 4, earliest.value() - now});
    this->hedgeTimer = this->timers.once(wait, [this](Core::Instant time) {
        this->sendDueHedges(time);
    });
}

void FanOut::sendDueHedges(Core::Instant now)
{
    const auto delay = this->hedgePolicy.delay(this->dispatcher.latencies(this->options.request->service));
    for (std::size_t position = 0; delay.has_value() && position < this->shards.size(); ++position) {
        auto &shard = this->shards[position];
        const bool due = shard.lastSent.has_value() && shard.lastSent.value() + delay.value() <= now;
        if (shard.resolved || shard.hedges >= this->options.maximumHedgesPerShard || !due) {
            continue;
        }
        if (!this->hasUntriedReplica(shard)) {
            // All replicas have been tried. A second attempt at the same replica may still be faster, since the cause of a slow attempt may be transient.
            shard.tried.clear();
        }
        // A hedge is sent only to an idle replica, since on a busy one it would delay the first attempt of another request.
        if (!this->dispatcher.hasIdleReplica(this->makeSubRequest(position)) || !this->hedgePolicy.consumeHedge()) {
            continue;
        }
        ++shard.hedges;
        ++this->outcome.hedges;
        this->submit(position, "hedge");
    }
    this->armHedgeTimer();
}

void FanOut::deadlineReached()
{
    for (std::size_t position = 0; position < this->shards.size(); ++position) {
        auto &shard = this->shards[position];
        if (!shard.resolved) {
            this->cancelOutstanding(shard);
            this->resolveMissing(position, shard.lastSent.has_value() ? shard.lastError : "no-capacity");
        }
    }
    this->finish();
}

void FanOut::finish()
{
    this->hedgeTimer.cancel();
    this->deadlineTimer.cancel();
    this->retryTimers.clear();
    for (auto &shard : this->shards) {
        this->outcome.shards.push_back(std::move(shard.result));
    }
    const auto hook = std::exchange(this->done, nullptr);
    hook(std::move(this->outcome));
}

void FanOut::trace(std::size_t position, const std::string &event, const std::string &replica, const std::string &reason)
{
    if (this->outcome.trace.size() >= MaximumTraceSteps) {
        return;
    }
    this->outcome.trace.push_back(
        TraceStep{.at = this->timers.now(), .shard = this->shards[position].result.shard, .event = event, .replica = replica, .reason = reason});
}

}
