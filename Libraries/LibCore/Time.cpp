/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Time.h>

#include <ctime>

namespace Core
{

static Instant readMonotonicClock()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

static WallTime readWallClock()
{
    return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

Clock systemClock()
{
    return Clock{.now = readMonotonicClock, .wallTime = readWallClock};
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

double toFractionalMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

}
