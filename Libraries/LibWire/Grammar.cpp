/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibWire/Grammar.h>

#include <LibWire/Message.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Wire
{

namespace
{

constexpr std::size_t ByteValues = 256;
using ByteClass = std::array<bool, ByteValues>;

constexpr bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

constexpr bool isLetter(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
}

constexpr bool isBlank(char byte)
{
    return byte == ' ' || byte == '\t';
}

/** Visible characters of ASCII, and the bytes of other character sets (VCHAR and obs-text in RFC 9110). */
constexpr bool isVisible(char byte)
{
    return static_cast<unsigned char>(byte) > ' ' && byte != '\x7f';
}

constexpr bool isTokenByte(char byte)
{
    return isDigit(byte) || isLetter(byte) || (byte != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos);
}

template<typename Predicate>
constexpr ByteClass makeClass(Predicate contains)
{
    ByteClass made{};
    for (std::size_t value = 0; value < ByteValues; ++value) {
        made[value] = contains(static_cast<char>(value));
    }
    return made;
}

constexpr ByteClass TokenBytes = makeClass(isTokenByte);
constexpr ByteClass VisibleBytes = makeClass(isVisible);
constexpr ByteClass FieldBytes = makeClass([](char byte) {
    return isVisible(byte) || isBlank(byte);
});

bool consistsOf(const ByteClass &bytes, std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [&bytes](char byte) {
        return bytes[static_cast<unsigned char>(byte)];
    });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && isBlank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isBlank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

// Returns how many of the first bytes form a number, and stores it; a number that is not representable is stored as UINT64_MAX.
std::size_t readNumber(std::string_view text, int base, std::uint64_t &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (error == std::errc::result_out_of_range) {
        number = UINT64_MAX;
    }
    return error == std::errc::invalid_argument ? 0 : static_cast<std::size_t>(end - text.data());
}

constexpr std::string_view VersionStart = "HTTP/1.";
constexpr std::size_t VersionBytes = VersionStart.size() + 1;

// A minor version above 1 is compatible with 1 (RFC 9110, section 2.5).
std::optional<int> parseVersion(std::string_view text)
{
    if (text.size() != VersionBytes || !text.starts_with(VersionStart) || !isDigit(text.back())) {
        return std::nullopt;
    }
    return text.back() - '0';
}

constexpr std::size_t StatusDigits = 3;
// The version, a space and the status.
constexpr std::size_t StatusLineBytes = VersionBytes + 1 + StatusDigits;

}

bool isToken(std::string_view text)
{
    return !text.empty() && consistsOf(TokenBytes, text);
}

bool isFieldText(std::string_view text)
{
    return consistsOf(FieldBytes, text);
}

bool isTarget(std::string_view text)
{
    return !text.empty() && consistsOf(VisibleBytes, text);
}

std::optional<StatusLine> parseStatusLine(std::string_view line)
{
    if (line.size() < StatusLineBytes || line[VersionBytes] != ' ') {
        return std::nullopt;
    }
    const auto minorVersion = parseVersion(line.substr(0, VersionBytes));
    const auto digits = line.substr(VersionBytes + 1, StatusDigits);
    const auto rest = line.substr(StatusLineBytes);
    std::uint64_t status = 0;
    const bool isNumber = readNumber(digits, 10, status) == StatusDigits;
    const bool isInRange = status >= MinimumStatus && status <= MaximumStatus;
    const bool hasReason = rest.empty() || (rest.front() == ' ' && isFieldText(rest));
    if (!minorVersion.has_value() || !isNumber || !isInRange || !hasReason) {
        return std::nullopt;
    }
    return StatusLine{.status = static_cast<int>(status), .minorVersion = minorVersion.value()};
}

std::optional<RequestLine> parseRequestLine(std::string_view line)
{
    const auto methodEnd = line.find(' ');
    const auto targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd <= methodEnd) {
        return std::nullopt;
    }
    const auto method = line.substr(0, methodEnd);
    const auto target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const auto minorVersion = parseVersion(line.substr(targetEnd + 1));
    if (!isToken(method) || !isTarget(target) || !minorVersion.has_value()) {
        return std::nullopt;
    }
    return RequestLine{.method = method, .target = target, .minorVersion = minorVersion.value()};
}

std::optional<FieldLine> parseFieldLine(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return std::nullopt;
    }
    const auto value = trimmed(line.substr(colon + 1));
    if (!isFieldText(value)) {
        return std::nullopt;
    }
    return FieldLine{.name = line.substr(0, colon), .value = value};
}

std::optional<std::uint64_t> parseChunkSize(std::string_view line)
{
    std::uint64_t size = 0;
    const auto digits = readNumber(line, 16, size);
    const auto extension = line.substr(digits);
    const bool hasExtension = trimmed(extension).starts_with(';') && isFieldText(extension);
    if (digits == 0 || (!extension.empty() && !hasExtension)) {
        return std::nullopt;
    }
    return size;
}

std::optional<std::uint64_t> parseContentLength(std::string_view value)
{
    std::uint64_t length = 0;
    if (value.empty() || readNumber(value, 10, length) != value.size()) {
        return std::nullopt;
    }
    return length;
}

bool mayBecomeStatusLine(std::string_view start)
{
    static constexpr std::string_view Example = "HTTP/1.1 200 ";
    // What has not arrived is taken from a valid line.
    std::string line(start.substr(0, Example.size()));
    line += Example.substr(line.size());
    return parseStatusLine(line).has_value();
}

bool mayBecomeFieldLine(std::string_view start)
{
    return start.empty() || isToken(start.substr(0, start.find(':')));
}

bool mayBecomeChunkSize(std::string_view start)
{
    std::uint64_t size = 0;
    const auto digits = readNumber(start, 16, size);
    const bool isFollowedByExtension = start.size() == digits || start[digits] == ';' || isBlank(start[digits]);
    return start.empty() || (digits > 0 && isFollowedByExtension);
}

bool listContains(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (sameName(trimmed(list.substr(0, comma)), token)) {
            return true;
        }
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return false;
}

}
