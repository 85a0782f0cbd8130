/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Puts the answer to a query together from what the shards sent. Pure.

#pragma once

#include <LibEntry/EntryState.h>
#include <LibEntry/FanOut.h>
#include <LibEntry/SnapshotChooser.h>

namespace Entry
{

/** Which shards an answer includes and which it lacks. */
struct Coverage {
    std::size_t total{0};
    std::vector<Core::ShardIndex> included;
    struct Missing {
        Core::ShardIndex shard;
        std::string reason;
    };
    std::vector<Missing> missing;

    [[nodiscard]] double share() const;
    [[nodiscard]] bool isComplete() const;
};

/** Read off the shards' results, never off the plan. */
[[nodiscard]] Coverage coverageOf(const std::vector<ShardResult> &shards);

/** Whether the class allows an answer with this coverage. */
[[nodiscard]] bool isEnough(const Coverage &coverage, const Protocol::UrgencyClass &urgencyClass);

[[nodiscard]] nlohmann::json coverageToJson(const Coverage &coverage);

/** The best hits of all included shards: by score downwards, equal scores by id upwards. Moves the hits out of the results. */
[[nodiscard]] nlohmann::json mergeHits(std::vector<ShardResult> &shards, std::size_t limit);

}
