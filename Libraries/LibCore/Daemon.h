/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What every daemon does alike: one GLib loop, timers, signals, exit codes.

#pragma once

#include <LibCore/Log.h>
#include <LibCore/LoopTimer.h>
#include <LibCore/Result.h>
#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>

#include <functional>
#include <glib.h>
#include <string>

namespace Core
{

/** Exit codes of all programs; listed in docs/OPERATING.md. */
enum class ExitCode {
    Success = 0,
    /** The program ran and failed. */
    Failure = 1,
    /** A setting or argument is wrong. */
    Usage = 2,
};

/** The loop of one process. */
class Daemon
{
public:
    explicit Daemon(std::string name);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    [[nodiscard]] TimerService &timers();

    /** Called on the first SIGTERM or SIGINT. A second one quits at once. Without a hook the first one quits. */
    void onStop(std::function<void()> hook);

    /** Called on SIGUSR1, to write the state to standard output. */
    void onDump(std::function<void()> hook);

    /** Runs until quit(). */
    void run();
    void quit();

    /** Begins a planned stop, as SIGTERM does. */
    void requestStop();

private:
    static gboolean stopSignal(gpointer data);
    static gboolean dumpSignal(gpointer data);

    std::string name;
    GMainLoop *loop;
    TimerService timerService;
    LoopTimer loopTimer;
    std::function<void()> stopHook;
    std::function<void()> dumpHook;
    bool stopping{false};
    guint terminateSource{0};
    guint interruptSource{0};
    guint dumpSource{0};
};

/** Adds --log-level. */
void addLogLevelSetting(Settings &settings, LogLevel &target);

/** Parses the settings, prints help or errors, starts logging and runs the program. Returns the exit code. */
[[nodiscard]] int runProgram(Settings &settings,
    int argumentCount,
    char **arguments,
    const LogLevel &logLevel,
    const std::function<Result<void>()> &program,
    LogStream stream = LogStream::Error);

}
