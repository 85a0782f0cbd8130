/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The requests that wait for capacity at the services of one pool, and when they are
// offered some.
//
// Load pattern: a burst of searches, each over 90 shards, finds the backend servers of
// many services full. Targets are as short as 80 ms, so a place that becomes free must be
// offered in the event that frees it. As many offers are made as there are places: one an
// event would let requests wait for each other although servers are idle, for example
// when a server comes back.

#pragma once

#include <LibCore/TimerService.h>
#include <LibGateway/Scheduling/CapacityWaits.h>

namespace Gateway
{

/** What the queues need to know of the backend servers. Both hooks are called only for services at which requests wait. */
struct CapacityHooks {
    /** Whether a server of the service in one of these regions has free capacity for some request. */
    std::function<bool(const Core::ServiceName &service, const Fleet::AllowedRegions &regions)> hasCapacity;
    /** Returns how many requests all servers of the service can take if none is in flight. */
    std::function<std::size_t(const Core::ServiceName &service)> limitOf;
};

/** The capacity queues of all services at which requests wait. */
class CapacityQueues
{
public:
    CapacityQueues(const Core::TimerService &timers, CapacityHooks hooks);

    [[nodiscard]] WaiterNumber add(const Core::ServiceName &service, CapacityWaiter waiter);
    /** Ends a wait. Does nothing if it has ended. */
    void remove(const Core::ServiceName &service, WaiterNumber number);

    /**
     * Offers capacity as long as there is some and a request that uses it. Bounded by what the servers can take, since a send that fails at once leaves its
     * capacity free.
     */
    void offer(const Core::ServiceName &service);
    /** Offers capacity as offer() does, and then to a request that has just been added if none was offered to it. */
    void offerToNew(const Core::ServiceName &service, WaiterNumber number);
    /** Offers capacity at all services. Must not be called within an offer, since it removes the queues that have become empty. */
    void offerAtAll();

    /** Whether no service has a queue. Queues remain for a moment after their last request has left. */
    [[nodiscard]] bool isEmpty() const;
    /** Whether requests wait at the service. */
    [[nodiscard]] bool isAwaited(const Core::ServiceName &service) const;
    /** Returns how many requests wait at all services, by urgency. */
    [[nodiscard]] std::map<Urgency, std::size_t> waitingByUrgency() const;
    /** Returns the histograms of waits that have ended. */
    [[nodiscard]] const CapacityWaits &waits() const;

private:
    /** Offers capacity until one request, or this one only, has used it; returns whether it did. */
    [[nodiscard]] bool offerOnce(const Core::ServiceName &service, CapacityQueue &queue, std::optional<WaiterNumber> only);

    const Core::TimerService &timers;
    CapacityHooks hooks;
    // Invariant: includes every service at which requests wait. Entries are removed in offerAtAll() only, so that offers may refer to them.
    std::map<Core::ServiceName, CapacityQueue> queues;
    CapacityWaits ended;
};

}
