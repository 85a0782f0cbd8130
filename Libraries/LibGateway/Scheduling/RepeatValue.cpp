/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/RepeatValue.h>

#include <LibCore/Settings.h>

#include <algorithm>
#include <vector>

namespace Gateway
{

// What an answer after the target earns, compared to one in time.
static constexpr double LateValue = 0.1;
// Half of the answers take longer than the typical latency. With less time left than the first multiple of it hardly any answer is in time, and with more than
// the second nearly every one is.
static constexpr double HardlyInTime = 0.5;
static constexpr double NearlyAlwaysInTime = 1.5;
// More shards than any search has; larger numbers in a header are invalid.
static constexpr std::int64_t MaximumShards = 1'000'000;
static constexpr std::size_t StateFields = 4;

const char *repeatKindName(RepeatKind kind)
{
    switch (kind) {
    case RepeatKind::RetryAfterRefusal:
        return "retry-after-refusal";
    case RepeatKind::RetryAfterFailure:
        return "retry-after-failure";
    case RepeatKind::Hedge:
        return "hedge";
    }
    return "unknown";
}

double singleRepeatValue(Core::Duration timeLeftToTarget, Core::Duration typicalLatency)
{
    const double timeLeft = Core::toFractionalMilliseconds(timeLeftToTarget);
    const double typical = Core::toFractionalMilliseconds(typicalLatency);
    if (timeLeft <= HardlyInTime * typical) {
        return LateValue;
    }
    if (timeLeft >= NearlyAlwaysInTime * typical) {
        return HighestRepeatValue;
    }
    const double share = (timeLeft / typical - HardlyInTime) / (NearlyAlwaysInTime - HardlyInTime);
    return LateValue + share * (HighestRepeatValue - LateValue);
}

// Returns how much one more shard adds to the square of the share of shards that are included.
static double valueOfOneMoreShard(const SearchState &state)
{
    const auto square = [&state](std::size_t shards) {
        const double share = static_cast<double>(shards) / static_cast<double>(state.all);
        return share * share;
    };
    return square(state.answered + 1) - square(state.answered);
}

double repeatValue(const SearchState &state, Core::Duration timeLeftToTarget, Core::Duration typicalLatency)
{
    if (state.answered + state.open < state.required) {
        return 0.0;
    }
    const double inTime = singleRepeatValue(timeLeftToTarget, typicalLatency);
    return state.answered < state.required ? inTime : inTime * std::min(HighestRepeatValue, valueOfOneMoreShard(state));
}

SearchState stateWithout(const SearchState &search, std::size_t shardsOfPart)
{
    SearchState others = search;
    others.open -= std::min(search.open, shardsOfPart);
    return others;
}

SearchState stateWith(const SearchState &others, std::size_t answeredOfPart, std::size_t openOfPart)
{
    SearchState search = others;
    search.answered += answeredOfPart;
    search.open += openOfPart;
    return search;
}

std::string formatSearchState(const SearchState &state)
{
    return std::to_string(state.answered) + "," + std::to_string(state.open) + "," + std::to_string(state.required) + "," + std::to_string(state.all);
}

std::optional<SearchState> parseSearchState(const std::string &text)
{
    std::vector<std::size_t> numbers;
    for (const auto &word : Core::splitList(text)) {
        const auto number = Core::parseInteger(word, 0, MaximumShards);
        if (!number.has_value()) {
            return std::nullopt;
        }
        numbers.push_back(static_cast<std::size_t>(number.value()));
    }
    if (numbers.size() != StateFields) {
        return std::nullopt;
    }
    const SearchState state{.answered = numbers[0], .open = numbers[1], .required = numbers[2], .all = numbers[3]};
    const bool isValid = state.required > 0 && state.required <= state.all && state.answered + state.open <= state.all;
    return isValid ? std::optional(state) : std::nullopt;
}

}
