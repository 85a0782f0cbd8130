/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/WaiterOrder.h>

#include <algorithm>

namespace Gateway
{

bool WaiterOrder::ByStart::operator<(const ByStart &other) const
{
    return this->startBy != other.startBy ? this->startBy < other.startBy : this->number > other.number;
}

void WaiterOrder::add(const WaiterTimes &times, Core::Instant now)
{
    if (times.startBy < now) {
        this->late.insert(times.number);
        return;
    }
    this->byStart.insert({.startBy = times.startBy, .number = times.number, .target = times.target});
    this->newest.insert(times.number);
}

void WaiterOrder::remove(WaiterNumber number, Core::Instant startBy)
{
    if (this->late.erase(number) == 0) {
        this->newest.erase(number);
        this->byStart.erase({.startBy = startBy, .number = number});
    }
}

void WaiterOrder::update(Core::Instant now)
{
    while (!this->byStart.empty() && this->byStart.begin()->startBy < now) {
        const auto first = this->byStart.begin();
        this->overloadedUntil = std::max(this->overloadedUntil.value_or(now), first->startBy + first->target);
        this->late.insert(this->newest.extract(first->number));
        this->byStart.erase(first);
    }
}

bool WaiterOrder::isOverloaded(Core::Instant now) const
{
    return this->overloadedUntil.has_value() && now < this->overloadedUntil.value();
}

std::optional<WaiterOrder::Candidate> WaiterOrder::first(bool newestFirst, const Condition &mayTake) const
{
    if (const auto inTime = this->firstInTime(newestFirst, mayTake); inTime.has_value()) {
        return inTime;
    }
    const auto found = std::find_if(this->late.begin(), this->late.end(), mayTake);
    return found == this->late.end() ? std::nullopt : std::optional(Candidate{.number = *found});
}

std::optional<WaiterOrder::Candidate> WaiterOrder::firstInTime(bool newestFirst, const Condition &mayTake) const
{
    if (newestFirst) {
        const auto found = std::find_if(this->newest.begin(), this->newest.end(), mayTake);
        return found == this->newest.end() ? std::nullopt : std::optional(Candidate{.number = *found, .isInTime = true});
    }
    const auto found = std::find_if(this->byStart.begin(), this->byStart.end(), [&mayTake](const ByStart &item) {
        return mayTake(item.number);
    });
    return found == this->byStart.end() ? std::nullopt : std::optional(Candidate{.number = found->number, .startBy = found->startBy, .isInTime = true});
}

bool WaiterOrder::comesBefore(const Candidate &left, const Candidate &right, bool newestFirst)
{
    if (left.isInTime != right.isInTime) {
        return left.isInTime;
    }
    const bool byTime = left.isInTime && !newestFirst && left.startBy != right.startBy;
    return byTime ? left.startBy < right.startBy : left.number > right.number;
}

std::size_t WaiterOrder::size() const
{
    return this->newest.size() + this->late.size();
}

}
