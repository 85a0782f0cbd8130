/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests that a text delta and a compressed text give exactly the original text or an error.

#include <LibFleet/TextDelta.h>

#include <criterion/criterion.h>
#include <random>
#include <vector>

static std::string randomText(std::mt19937 &random, std::size_t length)
{
    std::string text;
    for (std::size_t index = 0; index < length; ++index) {
        text += static_cast<char>('a' + random() % 4);
    }
    return text;
}

Test(TextDelta, turnsAnyTextIntoAnyOther)
{
    std::mt19937 random(7);
    for (int round = 0; round < 400; ++round) {
        const auto before = randomText(random, random() % 400);
        std::string after = before;
        for (unsigned edit = 0; edit < random() % 4; ++edit) {
            const auto at = after.empty() ? 0 : random() % after.size();
            after.erase(at, random() % 40);
            after.insert(std::min<std::size_t>(at, after.size()), randomText(random, random() % 40));
        }
        const auto applied = Fleet::applyTextDelta(before, Fleet::makeTextDelta(before, after));
        cr_assert(applied.has_value() && applied.value() == after, "round %d", round);
    }
}

Test(TextDelta, isShortForASmallChange)
{
    std::mt19937 random(3);
    const auto before = randomText(random, 300'000);
    auto after = before;
    after.replace(5, 3, "9");
    after.insert(200'000, "one more route");
    cr_assert(Fleet::makeTextDelta(before, after).size() < 400);
}

Test(TextDelta, isRejectedForAnotherBaseTextOrWhenTruncated)
{
    std::mt19937 random(5);
    const auto before = randomText(random, 500);
    const auto delta = Fleet::makeTextDelta(before, before + "more");
    cr_assert_not(Fleet::applyTextDelta("another text", delta).has_value());
    auto other = before;
    other[100] = 'z';
    cr_assert_not(Fleet::applyTextDelta(other, delta).has_value());
    for (std::size_t length = 0; length < delta.size(); ++length) {
        const auto applied = Fleet::applyTextDelta(before, std::string_view(delta).substr(0, length));
        cr_assert(!applied.has_value(), "truncated to %zu bytes", length);
    }
}

Test(CompressedText, expandsToTheOriginalOrFails)
{
    std::mt19937 random(9);
    const auto text = randomText(random, 5000);
    const auto bytes = Fleet::compressText(text);
    cr_assert(bytes.size() < text.size());
    cr_assert(Fleet::expandText(bytes, 5000).value() == text);
    cr_assert_not(Fleet::expandText(bytes, 4999).has_value(), "longer than allowed");
    for (std::size_t length = 0; length < bytes.size(); length += 13) {
        cr_assert_not(Fleet::expandText(std::string_view(bytes).substr(0, length), 5000).has_value());
    }
    cr_assert(Fleet::expandText(Fleet::compressText(""), 10).value().empty());
}
