/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Writes log lines without ever waiting for whoever reads them, and no more than
// so many a second. What was left out is counted in a line of its own.

#pragma once

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/layout.h>

#include <cstdint>
#include <string>

namespace Core
{

/** Appends to a descriptor. Lines wait in bounded memory while the reader is slow. */
class BoundedLogAppender : public log4cxx::AppenderSkeleton
{
public:
    /** Lines a second on average; a request costs one or two, and one gateway takes tens of requests a second. */
    static constexpr std::int64_t LinesPerSecond = 400;
    /** Lines that may come at once, for starts and faults. */
    static constexpr std::int64_t Burst = 2000;
    /** Bytes that wait at most while nobody reads. */
    static constexpr std::size_t WaitingBytes = 256 * 1024;

    BoundedLogAppender(const log4cxx::LayoutPtr &layout, int descriptor);

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;
    void close() override;
    [[nodiscard]] bool requiresLayout() const override;

private:
    [[nodiscard]] bool takePermit();
    void writeWaiting();
    void tellLeftOut();

    // NOTE: AppenderSkeleton::getLayout() of log4cxx 1.0.0 gives nothing back for an appender made in code.
    log4cxx::LayoutPtr lineLayout;
    int descriptor;
    std::string waiting;
    std::int64_t permits{Burst};
    std::int64_t lastSecond{0};
    std::uint64_t untold{0};
};

}
