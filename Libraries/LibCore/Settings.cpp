/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Settings.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <getopt.h>
#include <gio/gio.h>

namespace Core
{

std::string Endpoint::toString() const
{
    const bool isVersion6 = this->address.find(':') != std::string::npos;
    return isVersion6 ? fmt::format("[{}]:{}", this->address, this->port) : fmt::format("{}:{}", this->address, this->port);
}

std::string joinList(const std::vector<std::string> &parts, char separator)
{
    std::string text;
    for (const auto &part : parts) {
        if (!text.empty()) {
            text += separator;
        }
        text += part;
    }
    return text;
}

std::vector<std::string> splitList(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        if (end > 0) {
            parts.emplace_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

Result<std::int64_t> parseInteger(std::string_view text, std::int64_t lowest, std::int64_t highest)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return failure(ErrorKind::InvalidInput, fmt::format("\"{}\" is not an integer", text));
    }
    if (number < lowest || number > highest) {
        return failure(ErrorKind::InvalidInput, fmt::format("{} is not between {} and {}", number, lowest, highest));
    }
    return number;
}

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return failure(ErrorKind::InvalidInput, fmt::format("\"{}\" is not of the form IP:port", text));
    }
    std::string address(text.substr(0, colon));
    if (address.size() >= 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    if (g_hostname_is_ip_address(address.c_str()) == FALSE) {
        return failure(ErrorKind::InvalidInput, fmt::format("\"{}\" is not an IP address", address));
    }
    const auto port = parseInteger(text.substr(colon + 1), 1, UINT16_MAX);
    if (!port.has_value()) {
        return failure(ErrorKind::InvalidInput, "port: " + port.error().message);
    }
    return Endpoint{.address = address, .port = static_cast<std::uint16_t>(port.value())};
}

Settings::Settings(std::string programName, std::string purpose) : programName(std::move(programName)), purpose(std::move(purpose))
{
}

void Settings::add(SettingOptions option)
{
    this->options.push_back(std::move(option));
}

void Settings::addText(SettingOptions option, std::string &target)
{
    option.accept = [&target](const std::string &value) -> Result<void> {
        target = value;
        return {};
    };
    this->add(std::move(option));
}

void Settings::addInteger(SettingOptions option, std::int64_t &target, std::int64_t lowest, std::int64_t highest)
{
    option.accept = [&target, lowest, highest](const std::string &value) -> Result<void> {
        return parseInteger(value, lowest, highest).map([&target](std::int64_t number) {
            target = number;
        });
    };
    this->add(std::move(option));
}

void Settings::addEndpoint(SettingOptions option, Endpoint &target)
{
    option.accept = [&target](const std::string &value) -> Result<void> {
        return Endpoint::parse(value).map([&target](const Endpoint &endpoint) {
            target = endpoint;
        });
    };
    this->add(std::move(option));
}

void Settings::addEndpoints(SettingOptions option, std::vector<Endpoint> &target)
{
    const bool required = option.required;
    option.accept = [&target, required](const std::string &value) -> Result<void> {
        target.clear();
        for (const auto &part : splitList(value)) {
            const auto endpoint = Endpoint::parse(part);
            if (!endpoint.has_value()) {
                return tl::make_unexpected(endpoint.error());
            }
            target.push_back(endpoint.value());
        }
        if (required && target.empty()) {
            return failure(ErrorKind::InvalidInput, "the list is empty");
        }
        return {};
    };
    this->add(std::move(option));
}

void Settings::addChoice(SettingOptions option, std::vector<std::string> choices, std::string &target)
{
    option.accept = [&target, choices = std::move(choices)](const std::string &value) -> Result<void> {
        if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
            return failure(ErrorKind::InvalidInput, fmt::format("\"{}\" is not one of {}", value, fmt::join(choices, ", ")));
        }
        target = value;
        return {};
    };
    this->add(std::move(option));
}

static std::string environmentName(const std::string &settingName)
{
    std::string name = "CRANKRUDDER_";
    for (const char character : settingName) {
        name += character == '-' ? '_' : static_cast<char>(g_ascii_toupper(character));
    }
    return name;
}

Result<void> Settings::acceptValue(const SettingOptions &option, const std::string &value, const std::string &origin) const
{
    auto outcome = option.accept(value);
    if (!outcome.has_value()) {
        return failure(ErrorKind::InvalidInput, fmt::format("{}: {}", origin, outcome.error().message));
    }
    return outcome;
}

Result<void> Settings::applyEnvironmentAndDefaults(const std::vector<bool> &given) const
{
    for (std::size_t index = 0; index < this->options.size(); ++index) {
        const auto &option = this->options[index];
        if (given[index]) {
            continue;
        }
        const std::string variable = environmentName(option.name);
        const char *fromEnvironment = std::getenv(variable.c_str());
        if (fromEnvironment == nullptr && option.required) {
            return failure(ErrorKind::InvalidInput, fmt::format("--{} (or {}) is required", option.name, variable));
        }
        const bool fromVariable = fromEnvironment != nullptr;
        const std::string value = fromVariable ? fromEnvironment : option.defaultValue;
        auto outcome = this->acceptValue(option, value, fromVariable ? variable : "--" + option.name);
        if (!outcome.has_value()) {
            return outcome;
        }
    }
    return {};
}

Result<std::vector<std::string>> Settings::parse(int argumentCount, char **arguments)
{
    std::vector<option> longOptions;
    for (const auto &setting : this->options) {
        longOptions.push_back({setting.name.c_str(), required_argument, nullptr, 0});
    }
    longOptions.push_back({"help", no_argument, nullptr, 'h'});
    longOptions.push_back({nullptr, 0, nullptr, 0});

    std::vector<bool> given(this->options.size(), false);
    optind = 0;
    opterr = 0;
    while (true) {
        int index = 0;
        const int found = getopt_long(argumentCount, arguments, "+h", longOptions.data(), &index);
        if (found == -1) {
            break;
        }
        if (found == 'h') {
            this->showHelp = true;
            return std::vector<std::string>{};
        }
        if (found == '?') {
            return failure(ErrorKind::InvalidInput, fmt::format("{}: unknown flag or missing value", arguments[optind - 1]));
        }
        const auto &option = this->options[static_cast<std::size_t>(index)];
        given[static_cast<std::size_t>(index)] = true;
        auto outcome = this->acceptValue(option, optarg, "--" + option.name);
        if (!outcome.has_value()) {
            return tl::make_unexpected(outcome.error());
        }
    }
    auto outcome = this->applyEnvironmentAndDefaults(given);
    if (!outcome.has_value()) {
        return tl::make_unexpected(outcome.error());
    }
    return std::vector<std::string>(arguments + optind, arguments + argumentCount);
}

bool Settings::helpRequested() const
{
    return this->showHelp;
}

std::string Settings::helpText() const
{
    std::string text = fmt::format("{}: {}\n\nSettings (flag, environment variable):\n", this->programName, this->purpose);
    for (const auto &option : this->options) {
        const std::string need = option.required ? "required" : fmt::format("default \"{}\"", option.defaultValue);
        text += fmt::format("  --{} {}\n      {} ({}; {})\n", option.name, option.valueName, option.help, environmentName(option.name), need);
    }
    text += "  --help\n      Shows this text.\n";
    return text;
}

}
