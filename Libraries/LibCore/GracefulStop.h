/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The planned stop of a process. It alone decides when the process ends, so that
// every request that was taken has a final answer before that moment. docs/design/
// planned-stop.md has a table of the phases.

#pragma once

#include <LibCore/TimerService.h>

#include <functional>
#include <vector>

namespace Core
{

/** Phases of a planned stop. They follow each other in this order, and no phase is entered twice. */
enum class StopPhase {
    /** No stop was requested. */
    Running,
    /** Callers are told to go elsewhere, and their requests are served as before if they can be finished. */
    Announced,
    /** Callers had time to go elsewhere. Connections that nobody uses are closed. */
    Draining,
    /** No connection is accepted any more. What was taken is finished. */
    Closing,
    /** Every request has its final answer, late ones are refused, and output is written. */
    Flushing,
    /** The process may end. */
    Ended,
};

/** Name of the phase in log lines. */
[[nodiscard]] const char *stopPhaseName(StopPhase phase);

/** Settings of a stop. */
struct StopTimes {
    /** From the request to stop until the process is killed. */
    Duration grace{seconds(6)};
    /** How long callers take to go elsewhere; two thirds of `grace` are the most that is waited for. */
    Duration notice{0};
    /** After the notice, and again while closing, idle connections delay the end by this time at most. */
    Duration idleWait{seconds(1)};
};

/** Moments of a stop. Invariant: noticeEnds <= answersDue <= end. */
struct StopSchedule {
    Instant requestedAt;
    Instant noticeEnds;
    /** Until then every request that was taken has its final answer. */
    Instant answersDue;
    /** The process ends by itself at this time at the latest, shortly before it would be killed. */
    Instant end;

    [[nodiscard]] static StopSchedule of(const StopTimes &times, Instant requestedAt);
};

/** What delays the end of a process. */
struct StopLoad {
    /** Requests that have arrived, also in part, and whose answer is not completely written. */
    std::size_t requests{0};
    std::size_t connections{0};
};

/** Hooks of the process that is stopped. Only `load` and `ended` have to be set. */
struct StopHooks {
    /** Called at the first request to stop. From now on requests are refused if they can't be finished by `answersDue`. */
    std::function<void(const StopSchedule &schedule)> begun;
    /** Called at each check from Draining on. */
    std::function<void()> closeIdleConnections;
    /** Called when Closing begins. Connections that wait to be accepted have to be accepted first. */
    std::function<void()> stopListening;
    /** Called at each check of Flushing, since requests may still arrive on open connections: gives each that is left its final answer. */
    std::function<void()> answerAll;
    std::function<StopLoad()> load;
    /** Called once, with what was left unanswered: nothing, unless a response could not be written in time. */
    std::function<void(const StopLoad &left)> ended;
};

/** Takes a process through the phases of a stop. */
class GracefulStop
{
public:
    GracefulStop(StopTimes times, StopHooks hooks, TimerService &timers);
    GracefulStop(const GracefulStop &) = delete;
    GracefulStop &operator=(const GracefulStop &) = delete;

    /** Begins the stop. Repeated requests change nothing. */
    void request();

    /** Applies a changed setting to a stop that has not begun yet. */
    void setGraceTime(Duration grace);

    [[nodiscard]] StopPhase phase() const;

private:
    void check(Instant now);
    void enter(StopPhase next, Instant now);
    [[nodiscard]] bool hasDrained(const StopLoad &load, Instant now) const;

    StopTimes times;
    StopHooks hooks;
    TimerService &timers;
    StopPhase currentPhase{StopPhase::Running};
    // Set from Announced on.
    StopSchedule schedule;
    Instant phaseBegan;
    // Periodic checks, and one at each moment of the schedule.
    std::vector<TimerSubscription> checks;
};

}
