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

bool CapacityQueue::FlowOrder::operator()(const Flow *left, const Flow *right) const
{
    if (left->startTime != right->startTime) {
        return left->startTime < right->startTime;
    }
    return left->activatedBy > right->activatedBy;
}

bool CapacityQueue::Round::hasDeclined(WaiterNumber number) const
{
    return std::any_of(this->declined.begin(), this->declined.end(), [number](const Declined &item) {
        return item.number == number;
    });
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
    ++flow.waiting;
    auto &entry = this->entries[number];
    entry = Entry{.waiter = std::move(waiter), .since = now, .ahead = ahead, .flow = &flow};
    this->enterLane(number, entry, now);
    return number;
}

// Returns the flow of a new request. C2: one that was idle starts at the virtual time, or later if it was sent more than its share just before.
CapacityQueue::Flow &CapacityQueue::flowFor(Level &level, const CapacityWaiter &waiter, WaiterNumber number)
{
    auto &flow = level.flows[waiter.flow];
    if (flow.waiting > 0) {
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

const Fleet::AllowedRegions &CapacityQueue::regionsOf(const CapacityWaiter &waiter)
{
    static const Fleet::AllowedRegions anywhere;
    return waiter.regions == nullptr ? anywhere : *waiter.regions;
}

// There are few: the regions are those of routes and workspaces.
CapacityQueue::Scope &CapacityQueue::scopeFor(const Fleet::AllowedRegions &regions)
{
    const auto found = std::find_if(this->scopes.begin(), this->scopes.end(), [&regions](const Scope &scope) {
        return scope.regions == regions;
    });
    return found != this->scopes.end() ? *found : this->scopes.emplace_back(Scope{.regions = regions});
}

void CapacityQueue::enterLane(WaiterNumber number, Entry &entry, Core::Instant now)
{
    auto &scope = this->scopeFor(regionsOf(entry.waiter));
    ++scope.waiting;
    auto &lanes = entry.flow->lanes;
    const auto found = std::find_if(lanes.begin(), lanes.end(), [&scope](const Lane &lane) {
        return lane.scope == &scope;
    });
    auto &lane = found != lanes.end() ? *found : lanes.emplace_back(Lane{.scope = &scope, .order = {}});
    lane.order.add({.number = number, .startBy = entry.waiter.startBy, .target = entry.waiter.target}, now);
    entry.lane = &lane;
}

void CapacityQueue::leaveLane(WaiterNumber number, Entry &entry)
{
    auto &lane = *std::exchange(entry.lane, nullptr);
    auto &scope = *lane.scope;
    lane.order.remove(number, entry.waiter.startBy);
    if (lane.order.size() == 0) {
        entry.flow->lanes.remove_if([&lane](const Lane &item) {
            return &item == &lane;
        });
    }
    if (--scope.waiting == 0) {
        this->scopes.remove_if([&scope](const Scope &item) {
            return &item == &scope;
        });
    }
}

bool CapacityQueue::moveIfRestricted(WaiterNumber number, Core::Instant now)
{
    auto &entry = this->entries.at(number);
    if (regionsOf(entry.waiter) == entry.lane->scope->regions) {
        return false;
    }
    this->leaveLane(number, entry);
    this->enterLane(number, entry, now);
    return true;
}

std::optional<CapacityWait> CapacityQueue::remove(WaiterNumber number, Core::Instant now)
{
    return this->extract(number, false, now);
}

bool CapacityQueue::checkScopes(const CapacityCheck &hasCapacity)
{
    bool hasAny = false;
    for (auto &scope : this->scopes) {
        scope.hasCapacity = hasCapacity(scope.regions);
        hasAny = hasAny || scope.hasCapacity;
    }
    return hasAny;
}

std::optional<CapacityWait> CapacityQueue::offer(Core::Instant now, const CapacityCheck &hasCapacity)
{
    Round round{.firstNew = WaiterNumber(this->nextNumber), .now = now};
    bool hasAny = this->checkScopes(hasCapacity);
    while (hasAny && round.offers < MaximumOffers) {
        const auto next = this->nextFor(round);
        if (!next.has_value()) {
            return std::nullopt;
        }
        if (this->moveIfRestricted(next.value(), now)) {
            hasAny = this->checkScopes(hasCapacity);
            continue;
        }
        round.declined.at(round.offers++) = {.number = next.value(), .flow = this->entries.at(next.value()).flow};
        if (this->runOffer(next.value())) {
            return this->extract(next.value(), true, now);
        }
        hasAny = this->checkScopes(hasCapacity);
    }
    return std::nullopt;
}

std::optional<CapacityWait> CapacityQueue::offerTo(WaiterNumber number, Core::Instant now, const CapacityCheck &hasCapacity)
{
    const auto found = this->entries.find(number);
    const bool isOpen = found != this->entries.end() && found->second.waiter.offer && found->second.declined == 0;
    if (!isOpen || !hasCapacity(regionsOf(found->second.waiter)) || !this->runOffer(number)) {
        return std::nullopt;
    }
    return this->extract(number, true, now);
}

std::optional<WaiterNumber> CapacityQueue::nextFor(const Round &round)
{
    for (auto &[urgency, level] : this->levels) {
        if (const auto next = this->nextOf(level, round); next.has_value()) {
            return next;
        }
    }
    return std::nullopt;
}

// C2 and C4. The first pass nearly always ends at the first flow that may use a server with capacity.
std::optional<WaiterNumber> CapacityQueue::nextOf(Level &level, const Round &round) const
{
    for (std::size_t declined = 0; declined <= round.offers; ++declined) {
        for (auto *flow : level.backlogged) {
            if (round.declinedBy(*flow) != declined) {
                continue;
            }
            if (const auto next = this->nextOf(*flow, round); next.has_value()) {
                return next;
            }
        }
    }
    return std::nullopt;
}

// C3 and C5.
std::optional<WaiterNumber> CapacityQueue::nextOf(Flow &flow, const Round &round) const
{
    bool newestFirst = false;
    for (auto &lane : flow.lanes) {
        lane.order.update(round.now);
        newestFirst = newestFirst || (lane.scope->hasCapacity && lane.order.isOverloaded(round.now));
    }
    std::optional<WaiterOrder::Candidate> best;
    for (const auto &lane : flow.lanes) {
        if (!lane.scope->hasCapacity) {
            continue;
        }
        const auto next = lane.order.first(newestFirst, [this, &round](WaiterNumber number) {
            return this->mayOffer(number, round);
        });
        if (next.has_value() && (!best.has_value() || WaiterOrder::comesBefore(next.value(), best.value(), newestFirst))) {
            best = next;
        }
    }
    return best.has_value() ? std::optional(best->number) : std::nullopt;
}

// A request whose hook runs now has no hook here; it is excluded when its hook offers capacity in turn.
bool CapacityQueue::mayOffer(WaiterNumber number, const Round &round) const
{
    return number < round.firstNew && !round.hasDeclined(number) && this->entries.at(number).waiter.offer;
}

bool CapacityQueue::runOffer(WaiterNumber number)
{
    // NOTE: The hook may remove any request, this one included, so the entry is looked up again afterwards.
    auto hook = std::exchange(this->entries.at(number).waiter.offer, nullptr);
    const bool wasUsed = hook();
    const auto found = this->entries.find(number);
    if (found != this->entries.end() && !wasUsed) {
        found->second.waiter.offer = std::move(hook);
        ++found->second.declined;
    }
    return wasUsed;
}

std::optional<CapacityWait> CapacityQueue::extract(WaiterNumber number, bool wasSent, Core::Instant now)
{
    const auto found = this->entries.find(number);
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    auto &entry = found->second;
    auto &flow = *entry.flow;
    auto &level = this->levels.at(flow.urgency);
    const bool wasOverloaded = entry.lane->order.isOverloaded(now);
    this->leaveLane(number, entry);
    --flow.waiting;
    CapacityWait wait{.waiter = std::move(entry.waiter),
        .waited = now - entry.since,
        .wasSent = wasSent,
        .ahead = entry.ahead,
        .declined = entry.declined,
        .othersWaiting = this->entries.size() - 1,
        .othersOfFlow = flow.waiting,
        .wasOverloaded = wasOverloaded};
    wait.wasInTime = now <= wait.waiter.startBy;
    this->entries.erase(found);
    if (--level.waiting == 0) {
        this->levels.erase(wait.waiter.urgency);
        return wait;
    }
    if (wasSent) {
        chargeFlow(level, flow, wait.waiter.weight);
    }
    if (flow.waiting == 0) {
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
