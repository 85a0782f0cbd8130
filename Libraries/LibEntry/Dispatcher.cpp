/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/Dispatcher.h>

#include <LibCore/Identity.h>

#include <algorithm>

namespace Entry
{

Dispatcher::Dispatcher(DispatcherOptions options, BackendTable &table, BackendTransport &transport, Core::TimerService &timers)
    : options(std::move(options)), table(table), transport(transport), timers(timers), selector(this->options.selector, this->options.seed)
{
}

Dispatcher::QueueKey Dispatcher::keyOf(const SubRequest &subRequest)
{
    return QueueKey{.service = subRequest.request->service, .snapshot = subRequest.view->key, .shard = subRequest.shard};
}

SubRequestId Dispatcher::submit(SubRequest subRequest)
{
    const SubRequestId id(this->nextId++);
    const QueueKey key = keyOf(subRequest);
    const auto queue = this->queues.find(key);
    // NOTE: A new sub-request is queued behind waiting ones. drainQueue() sends the most urgent one first.
    const bool queueIsEmpty = queue == this->queues.end() || queue->second.empty();
    if (queueIsEmpty && this->trySend(id, subRequest)) {
        return id;
    }
    this->queues[key].emplace(id, Waiting{.subRequest = std::move(subRequest), .since = this->timers.now()});
    this->queueOf[id] = key;
    return id;
}

AttemptRequest Dispatcher::makeAttempt(const SubRequest &subRequest, BackendId id, Core::Instant now) const
{
    const auto &announcement = this->table.row(id).announcement;
    return AttemptRequest{
        .attempt = Core::AttemptId(Core::randomToken()),
        .backend = id,
        .endpoint = Core::Endpoint{.address = announcement.address, .port = static_cast<std::uint16_t>(announcement.port)},
        .incarnation = announcement.incarnation,
        .connectionShare = subRequest.connectionShare,
        .shard = subRequest.shard,
        .snapshot = subRequest.view->key,
        .timeLeft = subRequest.deadline - now - this->options.networkReserve,
        .request = subRequest.request,
    };
}

bool Dispatcher::trySend(SubRequestId id, SubRequest &subRequest)
{
    const Core::Instant now = this->timers.now();
    const auto &replicas = subRequest.view->replicas[static_cast<std::size_t>(subRequest.shard.value())];
    const auto choice = this->selector.choose(replicas, subRequest.excluded, this->table, subRequest.connectionShare, now);
    if (!choice.has_value()) {
        return false;
    }
    auto &backend = this->table.row(choice->id);
    this->selector.recordSent(backend, subRequest.connectionShare, now);
    ++this->counts.sent;
    const AttemptRequest attempt = this->makeAttempt(subRequest, choice->id, now);
    InFlight entry{.subRequest = std::move(subRequest), .attempt = attempt.attempt, .backend = choice->id, .incarnation = attempt.incarnation, .sentAt = now};
    const auto sentHook = entry.subRequest.sent;
    this->inFlight.emplace(id, std::move(entry));
    if (sentHook) {
        sentHook(choice.value());
    }
    this->transport.send(attempt, [this, id](AttemptResult result) {
        this->finish(id, std::move(result));
    });
    return true;
}

void Dispatcher::recordResult(const InFlight &attempt, const AttemptResult &result, Core::Duration latency)
{
    const Core::Instant now = this->timers.now();
    auto &backend = this->table.row(attempt.backend);
    const bool sameIncarnation = backend.announcement.incarnation == attempt.incarnation;
    switch (result.status) {
    case AttemptStatus::Answered:
        ++this->counts.answered;
        this->selector.recordSuccess(backend, latency, attempt.subRequest.connectionShare);
        this->table.recordReply(attempt.backend, attempt.incarnation, now);
        this->latencies(attempt.subRequest.request->service).add(latency);
        return;
    case AttemptStatus::Refused:
        ++this->counts.refused;
        this->selector.recordRefused(backend, result.refusal == RefusalReason::Shedding);
        if (result.refusal == RefusalReason::Draining && sameIncarnation) {
            this->table.markLeaving(attempt.backend, attempt.incarnation);
        }
        return;
    case AttemptStatus::NotSent:
    case AttemptStatus::Failed:
        ++this->counts.failed;
        this->selector.recordFailure(backend, now);
        return;
    }
}

void Dispatcher::finish(SubRequestId id, AttemptResult result)
{
    const auto found = this->inFlight.find(id);
    if (found == this->inFlight.end()) {
        return;
    }
    const InFlight attempt = std::move(found->second);
    this->inFlight.erase(found);
    const Core::Duration latency = this->timers.now() - attempt.sentAt;
    this->recordResult(attempt, result, latency);
    attempt.subRequest.done(SubRequestOutcome{.result = std::move(result), .backend = attempt.backend, .latency = latency});
    this->drainQueuesOf(attempt.backend);
}

bool Dispatcher::cancelIfWaiting(SubRequestId id)
{
    const auto queued = this->queueOf.find(id);
    if (queued == this->queueOf.end()) {
        return false;
    }
    this->queues[queued->second].erase(id);
    this->queueOf.erase(queued);
    return true;
}

void Dispatcher::cancel(SubRequestId id)
{
    if (this->cancelIfWaiting(id)) {
        return;
    }
    const auto found = this->inFlight.find(id);
    if (found == this->inFlight.end()) {
        return;
    }
    const InFlight attempt = std::move(found->second);
    this->inFlight.erase(found);
    ++this->counts.cancelled;
    this->transport.cancel(attempt.attempt);
    this->selector.recordCancelled(this->table.row(attempt.backend), this->timers.now() - attempt.sentAt);
    this->drainQueuesOf(attempt.backend);
}

void Dispatcher::drainQueuesOf(BackendId id)
{
    const auto &announcement = this->table.row(id).announcement;
    const Core::ServiceName service(announcement.serviceName);
    std::vector<QueueKey> keys;
    for (const auto &holding : announcement.snapshots) {
        keys.push_back({.service = service, .snapshot = {.version = holding.version, .shardMap = holding.shardMap}, .shard = Core::ShardIndex(holding.shard)});
    }
    for (const auto &key : keys) {
        this->drainQueue(key);
    }
}

Dispatcher::Queue::iterator Dispatcher::mostUrgent(Queue &queue, Core::Instant now) const
{
    // Waiting sub-requests gain priority over time, so that low-priority ones do not starve.
    const auto urgency = [this, now](const Waiting &waiting) {
        return waiting.subRequest.priority - (now - waiting.since) / this->options.agingPeriod;
    };
    return std::min_element(queue.begin(), queue.end(), [&urgency](const auto &first, const auto &second) {
        return urgency(first.second) < urgency(second.second);
    });
}

void Dispatcher::drainQueue(const QueueKey &key)
{
    auto queue = this->queues.find(key);
    while (queue != this->queues.end() && !queue->second.empty()) {
        // The sub-request is extracted before it is sent, since sending may call hooks that change the queues.
        auto next = queue->second.extract(this->mostUrgent(queue->second, this->timers.now()));
        const SubRequestId id = next.key();
        this->queueOf.erase(id);
        if (!this->trySend(id, next.mapped().subRequest)) {
            this->queueOf[id] = key;
            this->queues[key].insert(std::move(next));
            return;
        }
        queue = this->queues.find(key);
    }
    if (queue != this->queues.end()) {
        this->queues.erase(queue);
    }
}

bool Dispatcher::hasIdleReplica(const SubRequest &subRequest) const
{
    const auto &replicas = subRequest.view->replicas[static_cast<std::size_t>(subRequest.shard.value())];
    return std::any_of(replicas.begin(), replicas.end(), [this, &subRequest](BackendId id) {
        const auto &backend = this->table.row(id);
        const auto &excluded = subRequest.excluded;
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        const bool usable = this->table.isUsable(backend, this->timers.now()) && ReplicaSelector::hasCapacity(backend, subRequest.connectionShare);
        return !isExcluded && usable && backend.health.inFlight < std::max(1, backend.announcement.slots);
    });
}

void Dispatcher::expireWaiting(Core::Instant now)
{
    std::vector<SubRequest> expired;
    for (auto &[key, queue] : this->queues) {
        for (auto item = queue.begin(); item != queue.end();) {
            // A sub-request that could not reach a backend server before its deadline expires without being sent.
            if (item->second.subRequest.deadline - this->options.networkReserve > now) {
                ++item;
                continue;
            }
            expired.push_back(std::move(item->second.subRequest));
            this->queueOf.erase(item->first);
            item = queue.erase(item);
        }
    }
    std::erase_if(this->queues, [](const auto &item) {
        return item.second.empty();
    });
    for (auto &subRequest : expired) {
        ++this->counts.expiredInQueue;
        AttemptResult result;
        result.status = AttemptStatus::NotSent;
        result.message = "no replica had free capacity before the deadline";
        subRequest.done(SubRequestOutcome{.result = std::move(result), .backend = std::nullopt, .latency = Core::Duration(0)});
    }
    // Leases and ejections end without a reply that would drain a queue, so all queues are tried again here.
    std::vector<QueueKey> keys;
    for (const auto &[key, queue] : this->queues) {
        keys.push_back(key);
    }
    for (const auto &key : keys) {
        this->drainQueue(key);
    }
}

std::size_t Dispatcher::waitingCount() const
{
    return this->queueOf.size();
}

std::size_t Dispatcher::inFlightCount() const
{
    return this->inFlight.size();
}

const DispatcherCounters &Dispatcher::counters() const
{
    return this->counts;
}

Core::LatencyDigest &Dispatcher::latencies(const Core::ServiceName &service)
{
    return this->digests[service];
}

}
