/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/CapacityQueue.h>

#include <algorithm>
#include <utility>

namespace Gateway
{

// Weights below it are raised to it, so that one request doesn't hold back its flow without bound. The smallest quota in use is above one request a second.
static constexpr double MinimumWeight = 0.01;

std::size_t CapacityQueue::Flow::size() const
{
    return this->inTime.size() + this->late.size();
}

bool CapacityQueue::FlowOrder::operator()(const Flow *left, const Flow *right) const
{
    if (left->startTime != right->startTime) {
        return left->startTime < right->startTime;
    }
    return left->activatedBy > right->activatedBy;
}

// A request whose hook runs now has no hook here; it is excluded when its hook offers capacity in turn.
bool CapacityQueue::Round::mayOffer(WaiterNumber number, const Entry &entry) const
{
    const bool hasDeclined = std::any_of(this->declined.begin(), this->declined.end(), [number](const Declined &item) {
        return item.number == number;
    });
    return number < this->firstNew && !hasDeclined && entry.waiter.offer;
}

std::size_t CapacityQueue::Round::declinedBy(const Flow &flow) const
{
    return static_cast<std::size_t>(std::count_if(this->declined.begin(), this->declined.end(), [&flow](const Declined &item) {
        return item.flow == &flow;
    }));
}

WaiterNumber CapacityQueue::add(CapacityWaiter waiter, Core::Instant now)
{
    const WaiterNumber number(this->nextNumber++);
    const auto ahead = this->waitingUpTo(waiter.urgency);
    auto &level = this->levels[waiter.urgency];
    auto &flow = flowFor(level, waiter, number);
    ++level.waiting;
    this->flowOf[number] = &flow;
    flow.inTime.emplace(number, Entry{.waiter = std::move(waiter), .since = now, .ahead = ahead});
    return number;
}

// Returns the flow of a new request. C2: one that was idle starts at the virtual time, or later if it was sent more than its share just before.
CapacityQueue::Flow &CapacityQueue::flowFor(Level &level, const CapacityWaiter &waiter, WaiterNumber number)
{
    auto &flow = level.flows[waiter.flow];
    if (flow.size() > 0) {
        return flow;
    }
    level.idle.erase(&flow);
    flow.urgency = waiter.urgency;
    flow.name = waiter.flow;
    flow.startTime = std::max(flow.startTime, level.virtualTime);
    flow.activatedBy = number;
    level.backlogged.insert(&flow);
    return flow;
}

std::optional<CapacityWait> CapacityQueue::remove(WaiterNumber number, Core::Instant now)
{
    return this->extract(number, false, now);
}

std::optional<CapacityWait> CapacityQueue::offer(Core::Instant now, const std::function<bool()> &hasCapacity)
{
    Round round{.firstNew = WaiterNumber(this->nextNumber)};
    while (round.offers < MaximumOffers) {
        const auto next = this->nextFor(round, now);
        if (!next.has_value()) {
            return std::nullopt;
        }
        round.declined.at(round.offers++) = {.number = next.value(), .flow = this->flowOf.at(next.value())};
        if (this->offerTo(next.value())) {
            return this->extract(next.value(), true, now);
        }
        if (!hasCapacity()) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::optional<WaiterNumber> CapacityQueue::nextFor(const Round &round, Core::Instant now)
{
    for (auto &[urgency, level] : this->levels) {
        if (const auto next = nextOf(level, round, now); next.has_value()) {
            return next;
        }
    }
    return std::nullopt;
}

// C2 and C4. The first pass nearly always ends at the first flow.
std::optional<WaiterNumber> CapacityQueue::nextOf(Level &level, const Round &round, Core::Instant now)
{
    for (std::size_t declined = 0; declined <= round.offers; ++declined) {
        for (auto *flow : level.backlogged) {
            if (round.declinedBy(*flow) != declined) {
                continue;
            }
            if (const auto next = nextOf(*flow, round, now); next.has_value()) {
                return next;
            }
        }
    }
    return std::nullopt;
}

// C3. Each request is found late at most once, so an offer passes over few of them.
std::optional<WaiterNumber> CapacityQueue::nextOf(Flow &flow, const Round &round, Core::Instant now)
{
    for (auto entry = flow.inTime.begin(); entry != flow.inTime.end();) {
        const auto current = entry++;
        if (now > current->second.waiter.startBy) {
            flow.late.insert(flow.inTime.extract(current));
        } else if (round.mayOffer(current->first, current->second)) {
            return current->first;
        }
    }
    const auto late = std::find_if(flow.late.begin(), flow.late.end(), [&round](const auto &item) {
        return round.mayOffer(item.first, item.second);
    });
    return late == flow.late.end() ? std::nullopt : std::optional(late->first);
}

bool CapacityQueue::offerTo(WaiterNumber number)
{
    // NOTE: The hook may remove any request, this one included, so the entry is looked up again afterwards.
    auto hook = std::exchange(this->entryOf(number)->waiter.offer, nullptr);
    const bool wasUsed = hook();
    auto *entry = this->entryOf(number);
    if (entry != nullptr && !wasUsed) {
        entry->waiter.offer = std::move(hook);
        ++entry->declined;
    }
    return wasUsed;
}

CapacityQueue::Entry *CapacityQueue::entryOf(WaiterNumber number)
{
    const auto found = this->flowOf.find(number);
    if (found == this->flowOf.end()) {
        return nullptr;
    }
    auto &flow = *found->second;
    const auto inTime = flow.inTime.find(number);
    return inTime != flow.inTime.end() ? &inTime->second : &flow.late.at(number);
}

std::optional<CapacityWait> CapacityQueue::extract(WaiterNumber number, bool wasSent, Core::Instant now)
{
    auto *entry = this->entryOf(number);
    if (entry == nullptr) {
        return std::nullopt;
    }
    auto &flow = *this->flowOf.at(number);
    auto &level = this->levels.at(flow.urgency);
    CapacityWait wait{.waiter = std::move(entry->waiter),
        .waited = now - entry->since,
        .wasSent = wasSent,
        .ahead = entry->ahead,
        .declined = entry->declined,
        .othersWaiting = this->flowOf.size() - 1,
        .othersOfFlow = flow.size() - 1};
    wait.wasInTime = now <= wait.waiter.startBy;
    if (flow.inTime.erase(number) == 0) {
        flow.late.erase(number);
    }
    this->flowOf.erase(number);
    if (--level.waiting == 0) {
        this->levels.erase(wait.waiter.urgency);
        return wait;
    }
    if (wasSent) {
        chargeFlow(level, flow, wait.waiter.weight);
    }
    if (flow.size() == 0) {
        setIdle(level, flow);
    }
    dropIdleFlows(level);
    return wait;
}

// C2.
void CapacityQueue::chargeFlow(Level &level, Flow &flow, double weight)
{
    level.backlogged.erase(&flow);
    level.virtualTime = std::max(level.virtualTime, flow.startTime);
    flow.startTime += 1.0 / std::max(weight, MinimumWeight);
    level.backlogged.insert(&flow);
}

void CapacityQueue::setIdle(Level &level, Flow &flow)
{
    level.backlogged.erase(&flow);
    level.idle.insert(&flow);
}

// A flow whose start time has passed would start at the virtual time, as a flow that is not in the table.
void CapacityQueue::dropIdleFlows(Level &level)
{
    while (!level.idle.empty() && (*level.idle.begin())->startTime <= level.virtualTime) {
        auto *flow = *level.idle.begin();
        level.idle.erase(level.idle.begin());
        const auto name = flow->name;
        level.flows.erase(name);
    }
}

bool CapacityQueue::isEmpty() const
{
    return this->levels.empty();
}

std::size_t CapacityQueue::waitingUpTo(const Urgency &urgency) const
{
    std::size_t count = 0;
    for (auto level = this->levels.begin(); level != this->levels.end() && level->first <= urgency; ++level) {
        count += level->second.waiting;
    }
    return count;
}

void CapacityQueue::countByUrgency(std::map<Urgency, std::size_t> &counts) const
{
    for (const auto &[urgency, level] : this->levels) {
        counts[urgency] += level.waiting;
    }
}

std::size_t CapacityQueue::flowCount() const
{
    std::size_t count = 0;
    for (const auto &[urgency, level] : this->levels) {
        count += level.flows.size();
    }
    return count;
}

}
