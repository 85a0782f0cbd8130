/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Limits the log lines of one kind in a second. While half of the backend servers refuse,
// an event for each of them would take more processor time than the requests. Pure.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace Gateway
{

class LogLimit
{
public:
    /** `linesPerSecond` is the maximum number of lines in any period of one second that starts with a line. */
    explicit LogLimit(int linesPerSecond);

    /** Returns the number of events that were not logged since the last line; nothing if this event is not to be logged either. */
    [[nodiscard]] std::optional<std::uint64_t> take(Core::Instant now);

private:
    int linesPerSecond{0};
    std::optional<Core::Instant> periodFrom;
    int linesInPeriod{0};
    std::uint64_t omitted{0};
};

}
