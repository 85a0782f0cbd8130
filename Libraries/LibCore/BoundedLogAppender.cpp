/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/BoundedLogAppender.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Core
{

BoundedLogAppender::BoundedLogAppender(const log4cxx::LayoutPtr &layout, int descriptor)
    : log4cxx::AppenderSkeleton(layout), lineLayout(layout), descriptor(descriptor)
{
}

bool BoundedLogAppender::requiresLayout() const
{
    return true;
}

void BoundedLogAppender::close()
{
    this->writeBuffered();
}

bool BoundedLogAppender::consumePermit()
{
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    if (now != this->lastRefillSecond) {
        const auto passed = this->lastRefillSecond == 0 ? 1 : now - this->lastRefillSecond;
        this->permits = std::min(Burst, this->permits + passed * LinesPerSecond);
        this->lastRefillSecond = now;
    }
    if (this->permits == 0) {
        return false;
    }
    --this->permits;
    return true;
}

void BoundedLogAppender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool)
{
    if (!this->consumePermit() || this->buffered.size() >= MaximumBufferedBytes) {
        ++this->droppedLines;
        return;
    }
    this->appendDroppedCount();
    log4cxx::LogString line;
    this->lineLayout->format(line, event, pool);
    this->buffered += line;
    this->writeBuffered();
}

void BoundedLogAppender::appendDroppedCount()
{
    if (this->droppedLines > 0) {
        this->buffered += "event=log.left_out lines=" + std::to_string(this->droppedLines) + "\n";
        this->droppedLines = 0;
    }
}

void BoundedLogAppender::writeBuffered()
{
    while (!this->buffered.empty()) {
        pollfd state{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
        if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that is reported as writable accepts this much without blocking (POSIX, PIPE_BUF).
        const auto count = std::min<std::size_t>(this->buffered.size(), PIPE_BUF);
        const ssize_t written = write(this->descriptor, this->buffered.data(), count);
        if (written <= 0) {
            return;
        }
        this->buffered.erase(0, static_cast<std::size_t>(written));
    }
}

}
