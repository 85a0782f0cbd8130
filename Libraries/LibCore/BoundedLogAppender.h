/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A log4cxx appender that never blocks on a slow reader and limits the rate of log
// lines. Lines above a limit are dropped; a line of its own states their number.

#pragma once

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/layout.h>

#include <cstdint>
#include <string>

namespace Core
{

/** Writes log lines to a descriptor. While the reader is slow, lines are buffered in bounded memory. */
class BoundedLogAppender : public log4cxx::AppenderSkeleton
{
public:
    /** Average rate limit. A request logs one or two lines, and one gateway receives tens of requests a second. */
    static constexpr std::int64_t LinesPerSecond = 400;
    /** Maximum number of lines at once, as they occur at a start or a fault. */
    static constexpr std::int64_t Burst = 2000;
    /** Lines are dropped while at least this much is buffered because nobody reads. */
    static constexpr std::size_t MaximumBufferedBytes = 256 * 1024;

    BoundedLogAppender(const log4cxx::LayoutPtr &layout, int descriptor);

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;
    void close() override;
    [[nodiscard]] bool requiresLayout() const override;

private:
    [[nodiscard]] bool consumePermit();
    void writeBuffered();
    void appendDroppedCount();

    // NOTE: AppenderSkeleton::getLayout() of log4cxx 1.0.0 returns nothing for an appender that was created in code.
    log4cxx::LayoutPtr lineLayout;
    int descriptor;
    std::string buffered;
    std::int64_t permits{Burst};
    std::int64_t lastRefillSecond{0};
    std::uint64_t droppedLines{0};
};

}
