/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/DepartureReplication.h>

#include <LibCore/Log.h>

#include <utility>

namespace Coordinator
{

DepartureReplication::DepartureReplication(DepartureReplicationOptions options, Core::TimerService &timers) : options(std::move(options)), timers(timers)
{
}

void DepartureReplication::replicate(const Protocol::BackendAnnouncement &departure, OutcomeHook done)
{
    const auto known = this->replicated.find(departure.id);
    if (known != this->replicated.end() && known->second == Departure{.phase = departure.phase, .born = departure.born}) {
        done(DepartureOutcome::Stored);
        return;
    }
    this->nextBatch.push_back({.departure = departure, .done = std::move(done), .since = this->timers.now()});
    ++this->waiting;
    if (!this->batchTimer.isActive()) {
        this->batchTimer = this->timers.once(this->options.batchDelay, [this](Core::Instant) {
            this->sendBatch();
        });
    }
}

void DepartureReplication::forget(const std::string &id)
{
    this->replicated.erase(id);
}

void DepartureReplication::sendBatch()
{
    const auto batch = std::make_shared<Batch>();
    batch->departures = std::exchange(this->nextBatch, {});
    std::vector<Protocol::BackendAnnouncement> departures;
    for (const auto &item : batch->departures) {
        departures.push_back(item.departure);
    }
    const auto endpoints = this->peers();
    batch->asked = endpoints.size() + 1;
    batch->unanswered = batch->asked;
    // NOTE: The other coordinators are asked first, since a slow disk may block this process.
    for (const auto &endpoint : endpoints) {
        this->sendToPeer(endpoint, departures, this->makeReplyHook(batch, endpoint.toString()));
    }
    this->storeHere(this->makeReplyHook(batch, this->options.name));
}

DepartureReplication::StoredHook DepartureReplication::makeReplyHook(const std::shared_ptr<Batch> &batch, const std::string &holder)
{
    const std::weak_ptr<int> weak = this->alive;
    return [this, weak, batch, holder](bool isStored) {
        if (!weak.expired()) {
            this->handleReply(*batch, holder, isStored);
        }
    };
}

void DepartureReplication::handleReply(Batch &batch, const std::string &holder, bool isStored)
{
    --batch.unanswered;
    if (isStored) {
        batch.holders.push_back(holder);
    }
    if (batch.decided) {
        return;
    }
    if (batch.holders.size() >= this->options.requiredCopies) {
        this->finish(batch, DepartureOutcome::Stored);
    } else if (batch.holders.size() + batch.unanswered < this->options.requiredCopies) {
        this->finish(batch, DepartureOutcome::NotStored);
    }
}

void DepartureReplication::finish(Batch &batch, DepartureOutcome outcome)
{
    batch.decided = true;
    const auto now = this->timers.now();
    for (const auto &item : std::exchange(batch.departures, {})) {
        --this->waiting;
        this->logOutcome(batch, item, outcome);
        if (outcome == DepartureOutcome::Stored) {
            ++this->stored;
            this->latencies.add(now - item.since);
            this->replicated.insert_or_assign(item.departure.id, Departure{.phase = item.departure.phase, .born = item.departure.born});
        } else {
            ++this->notStored;
        }
        item.done(outcome);
    }
}

void DepartureReplication::logOutcome(const Batch &batch, const Waiting &item, DepartureOutcome outcome) const
{
    const bool isStored = outcome == DepartureOutcome::Stored;
    Core::logEvent(isStored ? Core::LogLevel::Information : Core::LogLevel::Warning,
        isStored ? "departure.acknowledged" : "departure.not_stored",
        {{"backend", item.departure.id},
            {"phase", static_cast<int>(item.departure.phase)},
            {"born", item.departure.born},
            {"holders", Core::joinList(batch.holders)},
            {"required", this->options.requiredCopies},
            {"asked", batch.asked},
            {"waited_ms", Core::toMilliseconds(this->timers.now() - item.since)}});
}

std::size_t DepartureReplication::waitingCount() const
{
    return this->waiting;
}

std::uint64_t DepartureReplication::storedCount() const
{
    return this->stored;
}

std::uint64_t DepartureReplication::notStoredCount() const
{
    return this->notStored;
}

const Metrics::LatencyHistogram &DepartureReplication::storedTimes() const
{
    return this->latencies;
}

}
