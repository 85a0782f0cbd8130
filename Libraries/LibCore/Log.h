/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Structured logging through log4cxx: each event is one line of key=value pairs. The
// events are listed in docs/OPERATING.md.

#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Core
{

/** The severity of an event for operators. */
enum class LogLevel {
    Debug,
    Information,
    Warning,
    Error,
};

/** Returns the name of a level in settings. */
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

/** The stream that a program logs to. */
enum class LogStream {
    /** Standard output, for daemons. Writing never blocks, and the rate of lines is limited (BoundedLogAppender). */
    Output,
    /** Standard error, for commands, since their standard output is their result. */
    Error,
};

/** Sets up log4cxx. To be called once, before any other part of the program starts. */
void startLogging(std::string_view programName, LogLevel lowestLevel, LogStream stream);

/** Writes `event=<name> key=value …`. Empty values and values with white space, quotes, backslashes or equals signs are quoted. */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/** Returns the line that logEvent() writes, without time, level and program. */
[[nodiscard]] std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

}
