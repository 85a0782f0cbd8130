/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Log.h>

#include <LibCore/BoundedLogAppender.h>

#include <fmt/core.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace Core
{

LogField::LogField(std::string_view key, std::string_view value) : key(key), value(value)
{
}

LogField::LogField(std::string_view key, const char *value) : LogField(key, std::string_view(value))
{
}

LogField::LogField(std::string_view key, const std::string &value) : LogField(key, std::string_view(value))
{
}

LogField::LogField(std::string_view key, double value) : key(key), value(fmt::format("{:.3f}", value))
{
}

const char *logLevelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Information:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

static log4cxx::LoggerPtr programLogger()
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("crankrudder");
    return logger;
}

static log4cxx::LevelPtr toLibraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Information:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

static log4cxx::AppenderPtr makeAppender(const log4cxx::LayoutPtr &layout, LogStream stream)
{
    if (stream == LogStream::Error) {
        return log4cxx::AppenderPtr(new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemErr()));
    }
    return log4cxx::AppenderPtr(new BoundedLogAppender(layout, STDOUT_FILENO));
}

void startLogging(std::string_view programName, LogLevel lowestLevel, LogStream stream)
{
    const auto lastSlash = programName.rfind('/');
    const auto shortName = lastSlash == std::string_view::npos ? programName : programName.substr(lastSlash + 1);
    const std::string pattern = fmt::format("time=%d{{yyyy-MM-ddTHH:mm:ss.SSS}} level=%p program={} %m%n", shortName);
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
    log4cxx::BasicConfigurator::configure(makeAppender(layout, stream));
    programLogger()->setLevel(toLibraryLevel(lowestLevel));
}

static bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

// Escapes control characters, so that a value from outside the process can't break the line.
static std::string quote(std::string_view value)
{
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
            quoted += character;
        } else if (static_cast<unsigned char>(character) < 0x20) {
            quoted += fmt::format("\\x{:02x}", static_cast<unsigned>(character));
        } else {
            quoted += character;
        }
    }
    quoted += '"';
    return quoted;
}

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = fmt::format("event={}", event);
    for (const auto &field : fields) {
        line += fmt::format(" {}={}", field.key, needsQuotes(field.value) ? quote(field.value) : field.value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto libraryLevel = toLibraryLevel(level);
    const auto logger = programLogger();
    if (!logger->isEnabledFor(libraryLevel)) {
        return;
    }
    logger->forcedLog(libraryLevel, formatEvent(event, fields), log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}
