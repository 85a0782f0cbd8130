/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Points in time and lengths of time. Decisions use the monotonic clock only;
// the wall clock is used where people or other instances read the result.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>

namespace Core
{

/** A length of time. */
using Duration = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A point on this process's monotonic clock. Never compared between processes. */
class Instant
{
public:
    Instant() = default;
    explicit Instant(Duration sinceStart) : offset(sinceStart)
    {
    }

    /** Time since the clock's own start. */
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

/** Milliseconds since the Unix epoch, as operators and UUIDs know it. */
using WallTime = std::chrono::milliseconds;

/** Where parts read the time. Tests replace the hooks. */
struct Clock {
    std::function<Instant()> now;
    std::function<WallTime()> wallTime;
};

/** The machine's clocks. CLOCK_BOOTTIME is read, so that a suspended machine sees the time that passed. */
[[nodiscard]] Clock systemClock();

/** For output: whole milliseconds. */
[[nodiscard]] std::int64_t toMilliseconds(Duration duration);

/** For output: milliseconds with a fraction. */
[[nodiscard]] double toFractionalMilliseconds(Duration duration);

}
