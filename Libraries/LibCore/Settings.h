/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Settings of a program: long flags, each with an environment variable of the
// same name. A flag goes before the environment, the environment before the
// default. Faulty values are reported with the flag's name before anything starts.

#pragma once

#include <LibCore/Result.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Core
{

/** What a setting is called and what it does with its value. */
struct SettingOptions {
    /** As in `data-folder`, which makes --data-folder and CRANKRUDDER_DATA_FOLDER. */
    std::string name;
    /** Shown by --help after the name. */
    std::string valueName;
    /** One sentence for --help. */
    std::string help;
    /** Shown by --help and applied when neither flag nor variable is there. */
    std::string defaultValue;
    /** Without it the program does not start. */
    bool required{false};
    /** Takes the value over; its error message is shown with the flag's name. */
    std::function<Result<void>(const std::string &value)> accept;
};

/** A host and port by IP number. */
struct Endpoint {
    std::string address;
    std::uint16_t port{0};

    auto operator<=>(const Endpoint &) const = default;
    [[nodiscard]] std::string toString() const;
    /** Reads `IP:port` or `[IPv6]:port`; host names are refused, since instances talk by IP number. */
    [[nodiscard]] static Result<Endpoint> parse(std::string_view text);
};

/** The settings of one program. */
class Settings
{
public:
    Settings(std::string programName, std::string purpose);

    void add(SettingOptions options);

    /** Convenience for the common kinds of target. The target has to outlive parse(). */
    void addText(SettingOptions options, std::string &target);
    void addInteger(SettingOptions options, std::int64_t &target, std::int64_t lowest, std::int64_t highest);
    void addEndpoint(SettingOptions options, Endpoint &target);
    /** A comma-separated list; a required one may not be empty. */
    void addEndpoints(SettingOptions options, std::vector<Endpoint> &target);
    /** One of some words. */
    void addChoice(SettingOptions options, std::vector<std::string> choices, std::string &target);

    /** Applies flags, environment and defaults. Returns what stands after the flags. Prints help and sets helpRequested. */
    [[nodiscard]] Result<std::vector<std::string>> parse(int argumentCount, char **arguments);

    [[nodiscard]] bool helpRequested() const;
    [[nodiscard]] std::string helpText() const;

private:
    [[nodiscard]] Result<void> acceptValue(const SettingOptions &option, const std::string &value, const std::string &origin) const;
    [[nodiscard]] Result<void> applyEnvironmentAndDefaults(const std::vector<bool> &given) const;

    std::string programName;
    std::string purpose;
    std::vector<SettingOptions> options;
    bool showHelp{false};
};

/** The parts of a comma-separated list, empty ones left out. */
[[nodiscard]] std::vector<std::string> splitList(std::string_view text, char separator = ',');

/** The opposite of splitList(). */
[[nodiscard]] std::string joinList(const std::vector<std::string> &parts, char separator = ',');

/** Reads a whole number within limits. */
[[nodiscard]] Result<std::int64_t> parseInteger(std::string_view text, std::int64_t lowest, std::int64_t highest);

}
