/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The order of the waiting requests of one workspace that may use the same regions.
//
// Load pattern: requests with targets of 80 and 200 ms wait for the same servers, and
// arrive at one to three times the rate that these serve. Near the capacity a queue is
// short and comes from a burst: all can be in time if those with the least time left go
// first. Beyond the capacity some will be late whatever the order is. Least time left
// first then starts each request at the last moment from which the typical latency
// suffices, so that all that take longer than typical are late; the newest have time to
// spare. A caller values an answer within its target ten times as much as a later one.
//
// The queue can observe which case it is in: at the capacity or below, hardly any request
// becomes too late while it waits.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace Gateway
{

/** Identifies a waiting request within one CapacityQueue. Later ones have greater numbers. */
using WaiterNumber = Core::StrongValue<struct WaiterNumberTag, std::uint64_t>;

/** What the order of a waiting request depends on. */
struct WaiterTimes {
    WaiterNumber number;
    /** The latest start from which the answer is expected within the target. */
    Core::Instant startBy;
    /** Target latency of the request. */
    Core::Duration target{0};
};

/**
 * Orders waiting requests:
 * W1. Those that can still be in time come before those that can't. Of the latter, the newest comes first.
 * W2. Of those that can be in time, the one with the least time left comes first, unless requests have become late recently: then the newest comes first.
 * W3. "Recently" is the target of the request that became late. It arrived about that long ago, so the overload that made it late has lasted as long.
 */
class WaiterOrder
{
public:
    /** A request and what it is compared by. */
    struct Candidate {
        WaiterNumber number;
        Core::Instant startBy;
        bool isInTime{false};
    };
    using Condition = std::function<bool(WaiterNumber number)>;

    /** A request that comes too late to be in time says nothing about the overload here. */
    void add(const WaiterTimes &times, Core::Instant now);
    void remove(WaiterNumber number, Core::Instant startBy);

    /** Moves the requests that can't be in time any more behind the others. Must be called before first() and isOverloaded(). */
    void update(Core::Instant now);
    /** Whether requests have become late recently (W3). */
    [[nodiscard]] bool isOverloaded(Core::Instant now) const;
    /** Returns the first request that fulfils the condition. */
    [[nodiscard]] std::optional<Candidate> first(bool newestFirst, const Condition &mayTake) const;
    /** Whether the left request comes before the right one. */
    [[nodiscard]] static bool comesBefore(const Candidate &left, const Candidate &right, bool newestFirst);

    [[nodiscard]] std::size_t size() const;

private:
    struct ByStart {
        Core::Instant startBy;
        WaiterNumber number;
        Core::Duration target{0};
        /** Of requests with equal times the newest comes first. */
        bool operator<(const ByStart &other) const;
    };

    [[nodiscard]] std::optional<Candidate> firstInTime(bool newestFirst, const Condition &mayTake) const;

    // Invariant: a request is either in both of `byStart` and `newest`, or in `late`. It becomes late once, since its time doesn't change.
    std::set<ByStart> byStart;
    std::set<WaiterNumber, std::greater<>> newest;
    std::set<WaiterNumber, std::greater<>> late;
    std::optional<Core::Instant> overloadedUntil;
};

}
