/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Schedules calls at a later time, for all parts of a process. The service has no event
// loop of its own: its owner provides the clock and calls runDue(). LoopTimer does so
// from the GLib loop, and tests do so directly.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Core
{

class TimerService;

/** Owns a subscription; its destruction cancels further calls. */
class TimerSubscription
{
public:
    TimerSubscription() = default;
    TimerSubscription(TimerService &service, std::uint64_t id);
    ~TimerSubscription();
    TimerSubscription(TimerSubscription &&other) noexcept;
    TimerSubscription &operator=(TimerSubscription &&other) noexcept;
    TimerSubscription(const TimerSubscription &) = delete;
    TimerSubscription &operator=(const TimerSubscription &) = delete;

    /** Cancels further calls at once. May be called from within the subscriber's own hook. */
    void cancel();

    /** Returns whether a call may still follow. */
    [[nodiscard]] bool isActive() const;

private:
    TimerService *service{nullptr};
    std::uint64_t id{0};
};

/** Subscribers with their due times. Their hooks are called in the order of the due times. */
class TimerService
{
public:
    using Hook = std::function<void(Instant now)>;

    explicit TimerService(Clock clock);

    /** Reads the time from the clock that was passed to the constructor. */
    [[nodiscard]] Instant now() const;

    /** Calls the hook once, after the delay. */
    [[nodiscard]] TimerSubscription once(Duration delay, Hook hook);

    /**
     * Calls the hook repeatedly, at multiples of the period on the clock, so that subscribers with the same period are called together and an
     * otherwise idle process wakes up once for all of them. After a late call, the calls that were missed are skipped instead of made in a burst.
     */
    [[nodiscard]] TimerSubscription every(Duration period, Hook hook);

    /** Calls every hook that is due. */
    void runDue();

    /** The time of the next call; empty when there are no subscribers. */
    [[nodiscard]] std::optional<Instant> nextDue() const;

    /** Called whenever the next due time may have become earlier. */
    std::function<void()> scheduleChanged;

private:
    friend class TimerSubscription;

    struct Subscriber {
        Hook hook;
        Duration period{0};
        Instant due;
    };
    // The due time and the id of a subscriber. Subscribers with equal due times are called in the order of subscription, so that tests are repeatable.
    using DueKey = std::pair<Instant, std::uint64_t>;

    std::uint64_t add(Duration delay, Duration period, Hook hook);
    void remove(std::uint64_t id);
    void runOne(std::uint64_t id, Instant time);

    Clock clock;
    // Invariant: every id in `queue` is a key of `subscribers`, with the same due time.
    std::map<DueKey, std::uint64_t> queue;
    std::unordered_map<std::uint64_t, Subscriber> subscribers;
    std::uint64_t nextId{1};
};

}
