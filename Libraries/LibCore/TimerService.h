/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The one place where parts ask to be called at a later time. The service
// itself is pure: whoever owns it says when it is. LoopTimer drives it from the
// GLib loop, and tests drive it by hand.

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

/** Holds a subscription; letting it go cancels the calls. */
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

    /** Cancels at once. Safe to call from within the subscriber's own hook. */
    void cancel();

    /** Whether a call may still come. */
    [[nodiscard]] bool isActive() const;

private:
    TimerService *service{nullptr};
    std::uint64_t id{0};
};

/** A table of due times. Subscribers are called in the order of their due times. */
class TimerService
{
public:
    using Hook = std::function<void(Instant now)>;

    explicit TimerService(Clock clock);

    /** The time, read from the clock that this service was made with. */
    [[nodiscard]] Instant now() const;

    /** Calls the hook once, when the delay has passed. */
    [[nodiscard]] TimerSubscription once(Duration delay, Hook hook);

    /**
     * Calls the hook again and again, at multiples of the period on the clock, so that subscribers of one period are called together and a process
     * that has nothing else to do wakes up once for all of them. A late call does not cause a burst.
     */
    [[nodiscard]] TimerSubscription every(Duration period, Hook hook);

    /** Calls every hook that is due. */
    void runDue();

    /** When runDue() has work next; nothing when there are no subscribers. */
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
    // Equal due times keep the order in which they were asked for, which makes tests repeatable.
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
