/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The common parts of all daemons: GLib main loop, timers, signal handling and exit
// codes.

#pragma once

#include <LibCore/Log.h>
#include <LibCore/LoopTimer.h>
#include <LibCore/Result.h>
#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>

#include <functional>
#include <glib.h>
#include <optional>
#include <string>

namespace Core
{

/** Exit codes of all programs; listed in docs/OPERATING.md. */
enum class ExitCode {
    Success = 0,
    /** The program started and failed. */
    Failure = 1,
    /** A setting or argument is invalid. */
    Usage = 2,
};

/** The main loop of a process. */
class Daemon
{
public:
    explicit Daemon(std::string name);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    [[nodiscard]] TimerService &timers();

    /** Sets the hook that the first SIGTERM or SIGINT calls. Further signals do not shorten the stop. Without a hook the loop quits at once. */
    void onStop(std::function<void()> hook);

    /** Sets the hook that handles what has arrived before timers that are late; see LoopTimer. */
    void onLateTimers(std::function<void()> hook);

    /** Sets the hook that SIGUSR1 calls, to write the state to standard output. */
    void onDump(std::function<void()> hook);

    /** Runs the loop until quit() is called. */
    void run();
    void quit();

    /** Starts a planned stop, as SIGTERM does. */
    void requestStop();

private:
    static gboolean terminateSignal(gpointer data);
    static gboolean interruptSignal(gpointer data);
    static gboolean hangupSignal(gpointer data);
    static gboolean dumpSignal(gpointer data);
    void handleStopSignal(const char *signalName);

    std::string name;
    GMainLoop *loop;
    TimerService timerService;
    LoopTimer loopTimer;
    std::function<void()> stopHook;
    std::function<void()> dumpHook;
    // When the stop was requested for the first time, and how often so far.
    std::optional<Instant> stopRequestedAt;
    int stopRequests{0};
    guint terminateSource{0};
    guint interruptSource{0};
    guint hangupSource{0};
    guint dumpSource{0};
};

/** Adds the setting --log-level, whose value goes to `target`. */
void addLogLevelSetting(Settings &settings, LogLevel &target);

/** Parses the settings, prints help or errors, starts logging and runs the program. Arguments after the flags are an error. Returns an ExitCode. */
[[nodiscard]] int runProgram(Settings &settings,
    int argumentCount,
    char **arguments,
    const LogLevel &logLevel,
    const std::function<Result<void>()> &program,
    LogStream stream = LogStream::Error);

}
