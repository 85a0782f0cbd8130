/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// One line of key=value pairs for each event, written through log4cxx. The
// events are listed in docs/OPERATING.md.

#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Core
{

/** How much an operator has to care. */
enum class LogLevel {
    Debug,
    Information,
    Warning,
    Error,
};

/** As settings spell it. */
[[nodiscard]] const char *logLevelName(LogLevel level);

/** One key=value pair of a log line. */
struct LogField {
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, const std::string &value);
    template<std::integral Number>
    LogField(std::string_view key, Number value) : key(key), value(std::to_string(value))
    {
    }
    LogField(std::string_view key, double value);

    std::string key;
    std::string value;
};

/** Where a program logs. */
enum class LogStream {
    /** For daemons: lines go out without ever blocking, and only so many a second. */
    Output,
    /** For commands, whose output is their result. */
    Error,
};

/** Sets up log4cxx. Called once, before any other part starts. */
void startLogging(std::string_view programName, LogLevel lowestLevel, LogStream stream);

/** Writes `event=<name> key=value …`. Values with blanks or quotes are quoted. */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/** The line that logEvent() writes, without time and level. */
[[nodiscard]] std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

}
