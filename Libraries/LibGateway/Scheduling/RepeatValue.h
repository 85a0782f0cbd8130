/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Computes what a repeat (a retry or a hedge) is worth to the request that asks for
// it, from 0 to 1. It addresses a load where half of the backend servers refuse most
// requests for seconds, so that more repeats are asked for than the budget allows. A
// search whose coverage is reached earns by the square of the share of shards that are
// included, and one that misses it earns nothing. A repeat is therefore worth most to
// a search that still needs shards, little to one that has enough, and nothing to one
// that has lost too many. An answer after the target earns a tenth, and so does a
// repeat that leads to one.
// Does no I/O.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace Gateway
{

/** Why a request is sent again. */
enum class RepeatKind {
    /** Every earlier send was refused, and none has run. */
    RetryAfterRefusal,
    /** An earlier send may have run and brought no answer. */
    RetryAfterFailure,
    /** An earlier send is late. */
    Hedge,
};

/** Returns the name of the kind in log lines and metrics. */
[[nodiscard]] const char *repeatKindName(RepeatKind kind);

/** Value of a repeat of which nothing is known, for example of a part from a gateway that does not send the state of its search. */
constexpr double HighestRepeatValue = 1.0;

/** Numbers of the shards of a search. Those that are neither answered nor open are lost. */
struct SearchState {
    std::size_t answered{0};
    /** Shards that can still be answered, including the one that a repeat is for. */
    std::size_t open{0};
    /** Shards that the route's coverage requires. */
    std::size_t required{1};
    /** All shards of the search. */
    std::size_t all{1};
};

/** Returns the value, from 0 to 1, of a repeat for one of the open shards of a search. `timeLeftToTarget` is negative after the target. */
[[nodiscard]] double repeatValue(const SearchState &state, Core::Duration timeLeftToTarget, Core::Duration typicalLatency);

/** Returns the value, from 0 to 1, of a repeat of a request that is answered by a single backend server. */
[[nodiscard]] double singleRepeatValue(Core::Duration timeLeftToTarget, Core::Duration typicalLatency);

/** Returns the state of a search without the shards of a part, as it is sent with the part. All of the part's shards must be open. */
[[nodiscard]] SearchState stateWithout(const SearchState &search, std::size_t shardsOfPart);

/**
 * Returns the state of a whole search as a gateway that serves a part of it knows it: `others` is the state of the other shards when the part was sent. What
 * has become of them since is unknown. Answered shards stay answered and lost ones lost, so the result never counts a search as lost or as covered too early.
 */
[[nodiscard]] SearchState stateWith(const SearchState &others, std::size_t answeredOfPart, std::size_t openOfPart);

/** Returns the state as the value of the header RelayHeader::SearchState: `ANSWERED,OPEN,REQUIRED,ALL`. */
[[nodiscard]] std::string formatSearchState(const SearchState &state);

/** Returns nullopt if the text is not a valid state. */
[[nodiscard]] std::optional<SearchState> parseSearchState(const std::string &text);

}
