/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Daemon.h>

#include <csignal>
#include <cstdio>
#include <glib-unix.h>

namespace Core
{

Daemon::Daemon(std::string name)
    : name(std::move(name)), loop(g_main_loop_new(nullptr, FALSE)), timerService(systemClock()), loopTimer(this->timerService, nullptr)
{
    // Without SIGPIPE, a write to a connection that the peer has closed fails with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    this->terminateSource = g_unix_signal_add(SIGTERM, terminateSignal, this);
    this->interruptSource = g_unix_signal_add(SIGINT, interruptSignal, this);
    // SIGHUP ends a process that does not handle it. Parts that handle it add sources of their own.
    this->hangupSource = g_unix_signal_add(SIGHUP, hangupSignal, this);
    this->dumpSource = g_unix_signal_add(SIGUSR1, dumpSignal, this);
}

Daemon::~Daemon()
{
    g_source_remove(this->terminateSource);
    g_source_remove(this->interruptSource);
    g_source_remove(this->hangupSource);
    g_source_remove(this->dumpSource);
    // Removing the sources restores the default action, which would end the process by a signal instead of with its exit code.
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        std::signal(number, SIG_IGN);
    }
    g_main_loop_unref(this->loop);
}

TimerService &Daemon::timers()
{
    return this->timerService;
}

void Daemon::onStop(std::function<void()> hook)
{
    this->stopHook = std::move(hook);
}

void Daemon::onLateTimers(std::function<void()> hook)
{
    this->loopTimer.handleArrived = std::move(hook);
}

void Daemon::onDump(std::function<void()> hook)
{
    this->dumpHook = std::move(hook);
}

void Daemon::run()
{
    g_main_loop_run(this->loop);
    const auto now = this->timerService.now();
    logEvent(LogLevel::Information,
        "daemon.stopped",
        {{"daemon", this->name}, {"requests", this->stopRequests}, {"after_ms", toMilliseconds(now - this->stopRequestedAt.value_or(now))}});
}

void Daemon::quit()
{
    g_main_loop_quit(this->loop);
}

gboolean Daemon::terminateSignal(gpointer data)
{
    static_cast<Daemon *>(data)->handleStopSignal("SIGTERM");
    return G_SOURCE_CONTINUE;
}

gboolean Daemon::interruptSignal(gpointer data)
{
    static_cast<Daemon *>(data)->handleStopSignal("SIGINT");
    return G_SOURCE_CONTINUE;
}

gboolean Daemon::hangupSignal(gpointer data)
{
    logEvent(LogLevel::Information, "daemon.signal", {{"daemon", static_cast<Daemon *>(data)->name}, {"signal", "SIGHUP"}});
    return G_SOURCE_CONTINUE;
}

void Daemon::handleStopSignal(const char *signalName)
{
    logEvent(LogLevel::Information, "daemon.signal", {{"daemon", this->name}, {"signal", signalName}});
    this->requestStop();
}

void Daemon::requestStop()
{
    const auto now = this->timerService.now();
    if (!this->stopRequestedAt.has_value()) {
        this->stopRequestedAt = now;
    }
    ++this->stopRequests;
    logEvent(LogLevel::Information,
        "daemon.stop_requested",
        {{"daemon", this->name}, {"requests", this->stopRequests}, {"first_ms_ago", toMilliseconds(now - this->stopRequestedAt.value())}});
    if (!this->stopHook) {
        this->quit();
    } else if (this->stopRequests == 1) {
        this->stopHook();
    }
}

gboolean Daemon::dumpSignal(gpointer data)
{
    const auto &self = *static_cast<Daemon *>(data);
    if (self.dumpHook) {
        self.dumpHook();
    }
    return G_SOURCE_CONTINUE;
}

void addLogLevelSetting(Settings &settings, LogLevel &target)
{
    SettingOptions option{.name = "log-level", .valueName = "LEVEL", .help = "debug, info, warning or error.", .defaultValue = "info"};
    option.accept = [&target](const std::string &value) -> Result<void> {
        for (const auto level : {LogLevel::Debug, LogLevel::Information, LogLevel::Warning, LogLevel::Error}) {
            if (value == logLevelName(level)) {
                target = level;
                return {};
            }
        }
        return failure(ErrorKind::InvalidInput, "\"" + value + "\" is not one of debug, info, warning, error");
    };
    settings.add(std::move(option));
}

int runProgram(
    Settings &settings, int argumentCount, char **arguments, const LogLevel &logLevel, const std::function<Result<void>()> &program, LogStream stream)
{
    // A SIGHUP may arrive before anything handles it; the settings are read after this.
    std::signal(SIGHUP, SIG_IGN);
    const auto rest = settings.parse(argumentCount, arguments);
    if (!rest.has_value()) {
        std::fprintf(stderr, "%s\n", rest.error().message.c_str());
        return static_cast<int>(ExitCode::Usage);
    }
    if (settings.helpRequested()) {
        std::fputs(settings.helpText().c_str(), stdout);
        return static_cast<int>(ExitCode::Success);
    }
    if (!rest->empty()) {
        std::fprintf(stderr, "unexpected argument: %s\n", rest->front().c_str());
        return static_cast<int>(ExitCode::Usage);
    }
    startLogging(arguments[0], logLevel, stream);
    const auto outcome = program();
    if (!outcome.has_value()) {
        logEvent(LogLevel::Error, "daemon.failed", {{"kind", errorKindName(outcome.error().kind)}, {"error", outcome.error().message}});
        return static_cast<int>(ExitCode::Failure);
    }
    return static_cast<int>(ExitCode::Success);
}

}
