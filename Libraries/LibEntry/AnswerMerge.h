/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Merges the results of shards into the answer to a query and computes its
// coverage. Pure functions.

#pragma once

#include <LibEntry/EntryState.h>
#include <LibEntry/FanOut.h>
#include <LibEntry/SnapshotChooser.h>

namespace Entry
{

/** The shards that an answer includes and those that are missing. */
struct Coverage {
    std::size_t total{0};
    std::vector<Core::ShardIndex> included;
    struct Missing {
        Core::ShardIndex shard;
        std::string reason;
    };
    std::vector<Missing> missing;

    /** Share of included shards, from 0 to 1. */
    [[nodiscard]] double share() const;
    [[nodiscard]] bool isComplete() const;
};

/** Computes the coverage from the results that arrived, never from the shards that were planned. */
[[nodiscard]] Coverage coverageOf(const std::vector<ShardResult> &shards);

/** Whether the urgency class allows an answer with this coverage. */
[[nodiscard]] bool isSufficient(const Coverage &coverage, const Protocol::UrgencyClass &urgencyClass);

[[nodiscard]] nlohmann::json coverageToJson(const Coverage &coverage);

/** Returns the best `limit` hits of all included shards, by descending score and then ascending id. Moves the hits out of the results. */
[[nodiscard]] nlohmann::json mergeHits(std::vector<ShardResult> &shards, std::size_t limit);

}
