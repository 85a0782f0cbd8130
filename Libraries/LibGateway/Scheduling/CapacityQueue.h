/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The order in which requests that wait for capacity at one service are offered it.
//
// Load pattern: for some seconds more requests wait than the service's backend servers
// take, because one workspace sends many times its usual demand, or because bursts of all
// workspaces together exceed the capacity. Without fairness the workspace that sends most
// takes most of the capacity, and a small one is late with nearly all of its requests.
// Some requests will be late whatever the order is, and serving them first makes those
// late that could still be answered in time.
//
// A request is in time if it starts at least one typical latency before its target: an
// answer after the target is worth a tenth of one before it. The typical latency is the
// median, so half of the requests that start a moment later are still answered within the
// target. Therefore late requests are not refused but come after the others.

#pragma once

#include <LibFleet/Workspaces.h>
#include <LibGateway/Scheduling/Urgency.h>
#include <LibGateway/Scheduling/WaiterOrder.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace Gateway
{

struct RequestTrace;

/** A request that waits for capacity. */
struct CapacityWaiter {
    Urgency urgency;
    /** The workspace whose share of the capacity the request counts for. Requests without one are one flow with an empty name. */
    Fleet::WorkspaceName flow;
    /** Share of the flow in relation to the other flows of the same urgency. */
    double weight{1.0};
    /** The latest start from which the answer is expected within the target. */
    Core::Instant startBy;
    /** Target latency of the request; how long it waited is judged by it. */
    Core::Duration target{0};
    /** The request, for logs; may be nullptr. */
    std::shared_ptr<const RequestTrace> trace;
    /** The regions that the request may use; nullptr for all. They must stay valid while the request waits, and may become fewer. */
    const Fleet::AllowedRegions *regions{nullptr};
    /** Sends the request if it can use the capacity that is free now, and returns whether it did. */
    std::function<bool()> offer;
};

/** How a wait for capacity ended. */
struct CapacityWait {
    CapacityWaiter waiter;
    Core::Duration waited{0};
    /** Whether the request was sent. Otherwise it has left without capacity. */
    bool wasSent{false};
    /** Whether the wait ended early enough for an answer within the target. */
    bool wasInTime{false};
    /** Number of requests of the same or a higher urgency that waited when this one came. */
    std::size_t ahead{0};
    /** Number of offers that the request could not use. */
    int declined{0};
    /** Numbers of other requests that waited when the wait ended: all, and those of the same flow and urgency. */
    std::size_t othersWaiting{0};
    std::size_t othersOfFlow{0};
    /** Whether requests like it had become late recently, so that the newest came first. */
    bool wasOverloaded{false};
};

/**
 * The requests that wait at one service. Capacity is offered to them in this order:
 * C1. By urgency.
 * C2. Within one urgency, by start-time fair queueing among the flows: the flow with the smallest start time comes first. A request that is sent advances the
 *     start time of its flow by 1 / weight. The virtual time of the urgency is the greatest start time at which a request was sent; a flow that was idle starts
 *     there. So each flow that always has waiting requests is sent a share in proportion to its weight, and a flow that wants less than its share comes first
 *     whenever it has a request.
 * C3. Within one flow as WaiterOrder says: requests that can be in time come first, and of these the one with the least time left, or the newest under
 * overload. C4. Only a request that was sent counts. One that can't use the capacity it is offered keeps its place. The same capacity is then offered to the
 * other flows of the urgency before another request of its flow. C5. A request is not offered capacity while no server of its regions has any. It would use up
 * an offer, and some of those behind it could use the capacity.
 */
class CapacityQueue
{
public:
    /** How many waiting requests are offered the same free capacity at most. With hundreds waiting, each answer would make all of them search otherwise. */
    static constexpr std::size_t MaximumOffers = 4;

    CapacityQueue() = default;
    CapacityQueue(const CapacityQueue &) = delete;
    CapacityQueue &operator=(const CapacityQueue &) = delete;

    /** Adds a request. Its `offer` hook may add, remove and offer capacity to other requests of this queue. */
    [[nodiscard]] WaiterNumber add(CapacityWaiter waiter, Core::Instant now);

    /** Removes a request that waits no longer. Returns nothing when it did not wait. */
    std::optional<CapacityWait> remove(WaiterNumber number, Core::Instant now);

    /** Whether a server of these regions has free capacity for some request. */
    using CapacityCheck = std::function<bool(const Fleet::AllowedRegions &regions)>;

    /**
     * Offers free capacity until one request has used it. A request that can't use it may be the only one, since the idle connection has sent its key before,
     * so the next one is offered it as long as `hasCapacity` returns true. Requests that are added meanwhile are not offered it. Returns the wait of the
     * request that was sent.
     */
    std::optional<CapacityWait> offer(Core::Instant now, const CapacityCheck &hasCapacity);

    /**
     * Offers free capacity to a request that has just come, unless it was offered some. offer() must be called before, so that the requests that come before
     * it have had their turn: MaximumOffers of them that can't use the capacity must not keep it from a request that can.
     */
    std::optional<CapacityWait> offerTo(WaiterNumber number, Core::Instant now, const CapacityCheck &hasCapacity);

    [[nodiscard]] bool isEmpty() const;
    /** Returns how many requests of this or a higher urgency wait. */
    [[nodiscard]] std::size_t waitingUpTo(const Urgency &urgency) const;
    /** Adds the numbers of waiting requests to `counts`. */
    void countByUrgency(std::map<Urgency, std::size_t> &counts) const;
    /** Returns the number of flows in the table, including idle ones. */
    [[nodiscard]] std::size_t flowCount() const;

private:
    /** The waiting requests that may use the same regions, across all flows. */
    struct Scope {
        Fleet::AllowedRegions regions;
        std::size_t waiting{0};
        // As found when capacity was offered last.
        bool hasCapacity{false};
    };

    /** The requests of one flow and scope. */
    struct Lane {
        Scope *scope{nullptr};
        WaiterOrder order;
    };

    struct Flow {
        Urgency urgency;
        Fleet::WorkspaceName name;
        double startTime{0.0};
        std::size_t waiting{0};
        // The number of the request that ended the flow's last idle time.
        WaiterNumber activatedBy;
        // Invariant: one for each scope that the flow has waiting requests in.
        std::list<Lane> lanes;
    };
    /** By start time. Flows with equal start times follow each other from the one that was idle last, which has received least. */
    struct FlowOrder {
        bool operator()(const Flow *left, const Flow *right) const;
    };
    using OrderedFlows = std::set<Flow *, FlowOrder>;

    /** The flows of one urgency. */
    struct Level {
        double virtualTime{0.0};
        std::size_t waiting{0};
        // Invariant: each flow is in `backlogged` if it has waiting requests, and otherwise in `idle`. An idle flow has a start time after the virtual time.
        std::unordered_map<Fleet::WorkspaceName, Flow> flows;
        OrderedFlows backlogged;
        OrderedFlows idle;
    };

    struct Entry {
        CapacityWaiter waiter;
        Core::Instant since;
        std::size_t ahead{0};
        int declined{0};
        Flow *flow{nullptr};
        Lane *lane{nullptr};
    };

    /** The offers of one call of offer(). */
    struct Round {
        struct Declined {
            WaiterNumber number;
            // Compared only, since the flow may not exist any more.
            const Flow *flow{nullptr};
        };

        // Requests from this number on were added during the round.
        WaiterNumber firstNew;
        Core::Instant now;
        std::array<Declined, MaximumOffers> declined{};
        std::size_t offers{0};

        [[nodiscard]] bool hasDeclined(WaiterNumber number) const;
        /** Returns how many requests of the flow could not use the capacity. */
        [[nodiscard]] std::size_t declinedBy(const Flow &flow) const;
    };

    [[nodiscard]] static Flow &flowFor(Level &level, const CapacityWaiter &waiter, WaiterNumber number);
    [[nodiscard]] static const Fleet::AllowedRegions &regionsOf(const CapacityWaiter &waiter);
    [[nodiscard]] Scope &scopeFor(const Fleet::AllowedRegions &regions);
    void enterLane(WaiterNumber number, Entry &entry, Core::Instant now);
    void leaveLane(WaiterNumber number, Entry &entry);
    /** Moves a request whose regions have become fewer to their lane, and returns whether it was one. */
    [[nodiscard]] bool moveIfRestricted(WaiterNumber number, Core::Instant now);
    /** Checks each scope for capacity, and returns whether any has some. */
    [[nodiscard]] bool checkScopes(const CapacityCheck &hasCapacity);
    [[nodiscard]] std::optional<WaiterNumber> nextFor(const Round &round);
    [[nodiscard]] std::optional<WaiterNumber> nextOf(Level &level, const Round &round) const;
    [[nodiscard]] std::optional<WaiterNumber> nextOf(Flow &flow, const Round &round) const;
    [[nodiscard]] bool mayOffer(WaiterNumber number, const Round &round) const;
    /** Returns whether the request used the capacity. */
    [[nodiscard]] bool runOffer(WaiterNumber number);
    /** Removes a request from its flow. An idle flow is kept only if its start time is after the virtual time. */
    [[nodiscard]] std::optional<CapacityWait> extract(WaiterNumber number, bool wasSent, Core::Instant now);
    static void chargeFlow(Level &level, Flow &flow, double weight);
    static void setIdle(Level &level, Flow &flow);
    static void dropIdleFlows(Level &level);

    // Invariant: each level has waiting requests. When the last one leaves, nobody competes, so what the flows received before no longer matters.
    std::map<Urgency, Level> levels;
    // Invariant: each scope has waiting requests.
    std::list<Scope> scopes;
    std::unordered_map<WaiterNumber, Entry> entries;
    std::uint64_t nextNumber{1};
};

}
