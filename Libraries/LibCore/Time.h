/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Points in time and durations. Decisions are based on the monotonic clock only; the
// wall clock is used for values that people or other instances read.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>

namespace Core
{

/** A duration in microseconds. */
using Duration = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A point in time on this process's monotonic clock. Instants of different processes can't be compared. */
class Instant
{
public:
    Instant() = default;
    explicit Instant(Duration sinceStart) : offset(sinceStart)
    {
    }

    /** The time since the start of the clock. */
    [[nodiscard]] Duration sinceStart() const
    {
        return this->offset;
    }

    auto operator<=>(const Instant &) const = default;

    friend Instant operator+(Instant instant, Duration duration)
    {
        return Instant(instant.offset + duration);
    }
    friend Instant operator-(Instant instant, Duration duration)
    {
        return Instant(instant.offset - duration);
    }
    friend Duration operator-(Instant later, Instant earlier)
    {
        return later.offset - earlier.offset;
    }

private:
    Duration offset{0};
};

/** Milliseconds since the Unix epoch, as shown to operators and as contained in UUIDs. */
using WallTime = std::chrono::milliseconds;

/** The source of the time. Tests replace its functions. */
struct Clock {
    std::function<Instant()> now;
    std::function<WallTime()> wallTime;
};

/** The clocks of the system. Instants are read from CLOCK_BOOTTIME, so that they include the time for which the machine was suspended. */
[[nodiscard]] Clock systemClock();

/** Converts a duration to whole milliseconds, for output. */
[[nodiscard]] std::int64_t toMilliseconds(Duration duration);

/** Converts a duration to milliseconds with a fraction, for output. */
[[nodiscard]] double toFractionalMilliseconds(Duration duration);

}
