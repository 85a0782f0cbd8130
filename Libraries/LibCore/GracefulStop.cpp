/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/GracefulStop.h>

#include <LibCore/Log.h>

#include <algorithm>

namespace Core
{

static constexpr Duration CheckPeriod = milliseconds(20);
// Reserved before the kill for writing the last answers, and for the end of the process itself: a share of the grace period, and no more than is needed.
static constexpr int FlushShare = 8;
static constexpr Duration MaximumFlushTime = milliseconds(750);
static constexpr int EndShare = 20;
static constexpr Duration MaximumEndTime = milliseconds(300);

const char *stopPhaseName(StopPhase phase)
{
    switch (phase) {
    case StopPhase::Running:
        return "running";
    case StopPhase::Announced:
        return "announced";
    case StopPhase::Draining:
        return "draining";
    case StopPhase::Closing:
        return "closing";
    case StopPhase::Flushing:
        return "flushing";
    case StopPhase::Ended:
        return "ended";
    }
    return "unknown";
}

StopSchedule StopSchedule::of(const StopTimes &times, Instant requestedAt)
{
    return {.requestedAt = requestedAt,
        .noticeEnds = requestedAt + std::min(times.notice, 2 * times.grace / 3),
        .answersDue = requestedAt + times.grace - std::min(MaximumFlushTime, times.grace / FlushShare),
        .end = requestedAt + times.grace - std::min(MaximumEndTime, times.grace / EndShare)};
}

GracefulStop::GracefulStop(StopTimes times, StopHooks hooks, TimerService &timers) : times(times), hooks(std::move(hooks)), timers(timers)
{
}

StopPhase GracefulStop::phase() const
{
    return this->currentPhase;
}

void GracefulStop::setGraceTime(Duration grace)
{
    this->times.grace = grace;
}

void GracefulStop::request()
{
    if (this->currentPhase != StopPhase::Running) {
        return;
    }
    const auto now = this->timers.now();
    this->schedule = StopSchedule::of(this->times, now);
    this->enter(StopPhase::Announced, now);
    if (this->hooks.begun) {
        this->hooks.begun(this->schedule);
    }
    const auto check = [this](Instant checkedAt) {
        this->check(checkedAt);
    };
    this->checks.push_back(this->timers.every(CheckPeriod, check));
    for (const auto moment : {this->schedule.noticeEnds, this->schedule.answersDue, this->schedule.end}) {
        this->checks.push_back(this->timers.once(moment - now, check));
    }
}

void GracefulStop::enter(StopPhase next, Instant now)
{
    this->currentPhase = next;
    this->phaseBegan = now;
    const auto load = this->hooks.load();
    logEvent(LogLevel::Information,
        "stop.phase",
        {{"phase", stopPhaseName(next)},
            {"after_ms", toMilliseconds(now - this->schedule.requestedAt)},
            {"requests", load.requests},
            {"connections", load.connections},
            {"answers_due_ms", toMilliseconds(this->schedule.answersDue - now)},
            {"end_ms", toMilliseconds(this->schedule.end - now)}});
}

// Requests are always waited for. Connections that carry none are waited for only for a while.
bool GracefulStop::hasDrained(const StopLoad &load, Instant now) const
{
    return load.requests == 0 && (load.connections == 0 || now - this->phaseBegan >= this->times.idleWait);
}

void GracefulStop::check(Instant now)
{
    if (this->currentPhase == StopPhase::Announced && now >= this->schedule.noticeEnds) {
        this->enter(StopPhase::Draining, now);
    }
    if (this->currentPhase >= StopPhase::Draining && this->hooks.closeIdleConnections) {
        this->hooks.closeIdleConnections();
    }
    const bool areAnswersDue = now >= this->schedule.answersDue;
    if (this->currentPhase == StopPhase::Draining && (areAnswersDue || this->hasDrained(this->hooks.load(), now))) {
        this->enter(StopPhase::Closing, now);
        if (this->hooks.stopListening) {
            this->hooks.stopListening();
        }
    }
    if (this->currentPhase == StopPhase::Closing && areAnswersDue) {
        this->enter(StopPhase::Flushing, now);
    }
    if (this->currentPhase == StopPhase::Flushing && this->hooks.answerAll) {
        this->hooks.answerAll();
    }
    const bool mayEnd = this->currentPhase == StopPhase::Closing || this->currentPhase == StopPhase::Flushing;
    if (mayEnd && (this->hasDrained(this->hooks.load(), now) || now >= this->schedule.end)) {
        this->enter(StopPhase::Ended, now);
        this->checks.clear();
        this->hooks.ended(this->hooks.load());
    }
}

}
