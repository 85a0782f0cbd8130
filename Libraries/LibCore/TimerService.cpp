/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/TimerService.h>

namespace Core
{

TimerSubscription::TimerSubscription(TimerService &service, std::uint64_t id) : service(&service), id(id)
{
}

TimerSubscription::~TimerSubscription()
{
    this->cancel();
}

TimerSubscription::TimerSubscription(TimerSubscription &&other) noexcept : service(std::exchange(other.service, nullptr)), id(other.id)
{
}

TimerSubscription &TimerSubscription::operator=(TimerSubscription &&other) noexcept
{
    if (this != &other) {
        this->cancel();
        this->service = std::exchange(other.service, nullptr);
        this->id = other.id;
    }
    return *this;
}

void TimerSubscription::cancel()
{
    if (this->service != nullptr) {
        std::exchange(this->service, nullptr)->remove(this->id);
    }
}

bool TimerSubscription::isActive() const
{
    return this->service != nullptr && this->service->subscribers.contains(this->id);
}

TimerService::TimerService(Clock clock) : clock(std::move(clock))
{
}

Instant TimerService::now() const
{
    return this->clock.now();
}

// Returns the first multiple of the period that is later than a time.
static Instant nextMultiple(Duration period, Instant time)
{
    return Instant((time.sinceStart() / period + 1) * period);
}

TimerSubscription TimerService::once(Duration delay, Hook hook)
{
    return {*this, this->add(delay, Duration(0), std::move(hook))};
}

TimerSubscription TimerService::every(Duration period, Hook hook)
{
    const auto time = this->now();
    return {*this, this->add(nextMultiple(period, time) - time, period, std::move(hook))};
}

std::uint64_t TimerService::add(Duration delay, Duration period, Hook hook)
{
    const std::uint64_t id = this->nextId++;
    const Instant due = this->now() + delay;
    this->subscribers.emplace(id, Subscriber{.hook = std::move(hook), .period = period, .due = due});
    this->queue.emplace(DueKey{due, id}, id);
    if (this->scheduleChanged && this->queue.begin()->second == id) {
        this->scheduleChanged();
    }
    return id;
}

void TimerService::remove(std::uint64_t id)
{
    const auto subscriber = this->subscribers.find(id);
    if (subscriber == this->subscribers.end()) {
        return;
    }
    this->queue.erase(DueKey{subscriber->second.due, id});
    this->subscribers.erase(subscriber);
}

void TimerService::runOne(std::uint64_t id, Instant time)
{
    auto &subscriber = this->subscribers.at(id);
    this->queue.erase(DueKey{subscriber.due, id});
    // NOTE: The hook is copied, because it may cancel its own subscription while it runs.
    const Hook hook = subscriber.hook;
    if (subscriber.period > Duration(0)) {
        subscriber.due = nextMultiple(subscriber.period, time);
        this->queue.emplace(DueKey{subscriber.due, id}, id);
    } else {
        this->subscribers.erase(id);
    }
    hook(time);
}

void TimerService::runDue()
{
    const Instant time = this->now();
    while (!this->queue.empty() && this->queue.begin()->first.first <= time) {
        this->runOne(this->queue.begin()->second, time);
    }
}

std::optional<Instant> TimerService::nextDue() const
{
    if (this->queue.empty()) {
        return std::nullopt;
    }
    return this->queue.begin()->first.first;
}

}
