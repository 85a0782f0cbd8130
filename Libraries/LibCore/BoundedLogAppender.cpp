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
    this->writeWaiting();
}

bool BoundedLogAppender::takePermit()
{
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    if (now != this->lastSecond) {
        const auto passed = this->lastSecond == 0 ? 1 : now - this->lastSecond;
        this->permits = std::min(Burst, this->permits + passed * LinesPerSecond);
        this->lastSecond = now;
    }
    if (this->permits == 0) {
        return false;
    }
    --this->permits;
    return true;
}

void BoundedLogAppender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool)
{
    if (!this->takePermit() || this->waiting.size() >= WaitingBytes) {
        ++this->untold;
        return;
    }
    this->tellLeftOut();
    log4cxx::LogString line;
    this->lineLayout->format(line, event, pool);
    this->waiting += line;
    this->writeWaiting();
}

void BoundedLogAppender::tellLeftOut()
{
    if (this->untold > 0) {
        this->waiting += "event=log.left_out lines=" + std::to_string(this->untold) + "\n";
        this->untold = 0;
    }
}

void BoundedLogAppender::writeWaiting()
{
    while (!this->waiting.empty()) {
        pollfd state{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
        if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that polls as writable takes this much without blocking (POSIX, PIPE_BUF).
        const auto count = std::min<std::size_t>(this->waiting.size(), PIPE_BUF);
        const ssize_t written = write(this->descriptor, this->waiting.data(), count);
        if (written <= 0) {
            return;
        }
        this->waiting.erase(0, static_cast<std::size_t>(written));
    }
}

}
