/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A clock that stands still until a test moves it, and the timers on it.

#pragma once

#include <LibCore/TimerService.h>

namespace TestSupport
{

/** Time under a test's control. */
class ManualTime
{
public:
    ManualTime() : timerService(this->clock())
    {
    }

    /** Reads this time; the wall clock moves along, from a fixed date. */
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

    /** Moves the time on, stopping at each timer that is due on the way. */
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
