/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/CapacityQueues.h>

#include <utility>

namespace Gateway
{

CapacityQueues::CapacityQueues(const Core::TimerService &timers, CapacityHooks hooks) : timers(timers), hooks(std::move(hooks))
{
}

WaiterNumber CapacityQueues::add(const Core::ServiceName &service, CapacityWaiter waiter)
{
    return this->queues[service].add(std::move(waiter), this->timers.now());
}

void CapacityQueues::remove(const Core::ServiceName &service, WaiterNumber number)
{
    const auto now = this->timers.now();
    const auto found = this->queues.find(service);
    const auto wait = found == this->queues.end() ? std::nullopt : found->second.remove(number, now);
    if (wait.has_value()) {
        this->ended.record(service, wait.value(), now);
    }
}

void CapacityQueues::offer(const Core::ServiceName &service)
{
    if (this->queues.empty()) {
        return;
    }
    const auto found = this->queues.find(service);
    if (found == this->queues.end() || found->second.isEmpty()) {
        return;
    }
    bool wasSent = true;
    for (auto left = this->hooks.limitOf(service); wasSent && left > 0; --left) {
        wasSent = this->offerOnce(service, found->second, std::nullopt);
    }
}

void CapacityQueues::offerToNew(const Core::ServiceName &service, WaiterNumber number)
{
    this->offer(service);
    (void)this->offerOnce(service, this->queues.at(service), number);
}

bool CapacityQueues::offerOnce(const Core::ServiceName &service, CapacityQueue &queue, std::optional<WaiterNumber> only)
{
    const auto now = this->timers.now();
    const auto check = [this, &service](const Fleet::AllowedRegions &regions) {
        return this->hooks.hasCapacity(service, regions);
    };
    const auto sent = only.has_value() ? queue.offerTo(only.value(), now, check) : queue.offer(now, check);
    if (sent.has_value()) {
        this->ended.record(service, sent.value(), now);
    }
    return sent.has_value();
}

void CapacityQueues::offerAtAll()
{
    std::erase_if(this->queues, [](const auto &row) {
        return row.second.isEmpty();
    });
    for (const auto &[service, queue] : this->queues) {
        this->offer(service);
    }
}

bool CapacityQueues::isEmpty() const
{
    return this->queues.empty();
}

bool CapacityQueues::isAwaited(const Core::ServiceName &service) const
{
    if (this->queues.empty()) {
        return false;
    }
    const auto found = this->queues.find(service);
    return found != this->queues.end() && !found->second.isEmpty();
}

std::map<Urgency, std::size_t> CapacityQueues::waitingByUrgency() const
{
    std::map<Urgency, std::size_t> counts;
    for (const auto &[service, queue] : this->queues) {
        queue.countByUrgency(counts);
    }
    return counts;
}

const CapacityWaits &CapacityQueues::waits() const
{
    return this->ended;
}

}
