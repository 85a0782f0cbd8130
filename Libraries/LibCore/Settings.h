/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Settings of a program. Each setting has a long flag and an environment variable of
// the same name. The flag takes precedence over the variable, and the variable over
// the default. An invalid value is reported with the name of its flag or variable
// before the program starts.

#pragma once

#include <LibCore/Result.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Core
{

/** The definition of a setting. */
struct SettingOptions {
    /** For example `data-folder`, for the flag --data-folder and the variable CRANKRUDDER_DATA_FOLDER. */
    std::string name;
    /** The placeholder for the value, which --help shows after the name. */
    std::string valueName;
    /** One sentence for --help. */
    std::string help;
    /** Shown by --help, and applied when neither the flag nor the variable is set. */
    std::string defaultValue;
    /** The program does not start when neither the flag nor the variable is set. */
    bool required{false};
    /** Checks and stores the value. An error message is shown after the name of the flag or variable. */
    std::function<Result<void>(const std::string &value)> accept;
};

/** An IP address and a port. */
struct Endpoint {
    std::string address;
    std::uint16_t port{0};

    auto operator<=>(const Endpoint &) const = default;
    [[nodiscard]] std::string toString() const;
    /** Parses `IP:port` or `[IPv6]:port`. Fails with InvalidInput; host names are rejected, since instances address each other by IP address. */
    [[nodiscard]] static Result<Endpoint> parse(std::string_view text);
};

/** The settings of one program. */
class Settings
{
public:
    Settings(std::string programName, std::string purpose);

    void add(SettingOptions options);

    /** These functions add a setting that is stored in a target of a common type. The target must outlive parse(). */
    void addText(SettingOptions options, std::string &target);
    void addInteger(SettingOptions options, std::int64_t &target, std::int64_t lowest, std::int64_t highest);
    void addEndpoint(SettingOptions options, Endpoint &target);
    /** The value is a comma-separated list, which must not be empty when the setting is required. */
    void addEndpoints(SettingOptions options, std::vector<Endpoint> &target);
    /** The value is one of the given words. */
    void addChoice(SettingOptions options, std::vector<std::string> choices, std::string &target);

    /**
     * Applies flags, environment variables and defaults, and returns the arguments after the flags. Fails with InvalidInput. A --help flag ends the
     * parsing and makes helpRequested() true.
     */
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

/** Splits a list at its separators and omits empty parts. */
[[nodiscard]] std::vector<std::string> splitList(std::string_view text, char separator = ',');

/** Joins the parts of a list; the inverse of splitList(). */
[[nodiscard]] std::string joinList(const std::vector<std::string> &parts, char separator = ',');

/** Parses an integer from `lowest` to `highest`. Fails with InvalidInput. */
[[nodiscard]] Result<std::int64_t> parseInteger(std::string_view text, std::int64_t lowest, std::int64_t highest);

}
