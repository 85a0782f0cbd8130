/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Json.h>

#include <fmt/core.h>

namespace Core
{

// Documents with deeper nesting are rejected before the parser recurses into them, since they could exhaust the stack.
static constexpr int MaximumDepth = 32;

static bool exceedsMaximumDepth(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    bool escaped = false;
    for (const char character : text) {
        if (inString) {
            inString = escaped || character != '"';
            escaped = !escaped && character == '\\';
            continue;
        }
        inString = character == '"';
        escaped = false;
        depth += (character == '{' || character == '[') ? 1 : 0;
        depth -= (character == '}' || character == ']') ? 1 : 0;
        if (depth > MaximumDepth) {
            return true;
        }
    }
    return false;
}

Result<nlohmann::json> parseObject(std::string_view text)
{
    if (exceedsMaximumDepth(text)) {
        return failure(ErrorKind::InvalidInput, "the JSON document is nested too deeply");
    }
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        return failure(ErrorKind::InvalidInput, "the text is not JSON");
    }
    if (!document.is_object()) {
        return failure(ErrorKind::InvalidInput, "the JSON document is not an object");
    }
    return document;
}

Result<std::string> textMember(const nlohmann::json &object, const char *name, std::size_t maximumLength)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        return failure(ErrorKind::InvalidInput, fmt::format("\"{}\" is missing or not a string", name));
    }
    const auto &text = found->get_ref<const std::string &>();
    if (text.size() > maximumLength) {
        return failure(ErrorKind::InvalidInput, fmt::format("\"{}\" is longer than {} bytes", name, maximumLength));
    }
    return text;
}

Result<std::int64_t> integerMember(const nlohmann::json &object, const char *name, std::int64_t lowest, std::int64_t highest)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_integer()) {
        return failure(ErrorKind::InvalidInput, fmt::format("\"{}\" is missing or not an integer", name));
    }
    const bool tooLarge = found->is_number_unsigned() && found->get<std::uint64_t>() > INT64_MAX;
    const std::int64_t number = tooLarge ? INT64_MAX : found->get<std::int64_t>();
    if (tooLarge || number < lowest || number > highest) {
        return failure(ErrorKind::InvalidInput, fmt::format("\"{}\" is not between {} and {}", name, lowest, highest));
    }
    return number;
}

std::string toText(const nlohmann::json &document, int indentation)
{
    return document.dump(indentation, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
