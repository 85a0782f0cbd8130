/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A clock that advances only when a test says so, and a timer service that uses it.

#pragma once

#include <LibCore/TimerService.h>

namespace TestSupport
{

/** Manually advanced time with its timers. */
class ManualTime
{
public:
    ManualTime() : timerService(this->clock())
    {
    }

    /** A clock that reads this time. Its wall clock advances equally, from a fixed date. */
    [[nodiscard]] Core::Clock clock()
    {
        return Core::Clock{
            .now =
                [this] {
                    return this->time;
                },
            .wallTime =
                [this] {
                    return Epoch + std::chrono::duration_cast<Core::WallTime>(this->time.sinceStart());
                },
        };
    }

    [[nodiscard]] Core::TimerService &timers()
    {
        return this->timerService;
    }

    [[nodiscard]] Core::Instant now() const
    {
        return this->time;
    }

    /** Advances the time by `duration` and runs each timer that falls due at its own time. */
    void advance(Core::Duration duration)
    {
        const Core::Instant end = this->time + duration;
        this->timerService.runDue();
        while (true) {
            const auto due = this->timerService.nextDue();
            if (!due.has_value() || due.value() > end) {
                break;
            }
            this->time = std::max(this->time, due.value());
            this->timerService.runDue();
        }
        this->time = end;
    }

private:
    static constexpr Core::WallTime Epoch{1'790'000'000'000};

    Core::Instant time{Core::seconds(1000)};
    Core::TimerService timerService;
};

}
