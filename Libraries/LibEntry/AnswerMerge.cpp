/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/AnswerMerge.h>

#include <algorithm>

namespace Entry
{

double Coverage::share() const
{
    return this->total == 0 ? 0.0 : static_cast<double>(this->included.size()) / static_cast<double>(this->total);
}

bool Coverage::isComplete() const
{
    return this->total > 0 && this->included.size() == this->total;
}

Coverage coverageOf(const std::vector<ShardResult> &shards)
{
    Coverage coverage;
    coverage.total = shards.size();
    for (const auto &shard : shards) {
        if (shard.included) {
            coverage.included.push_back(shard.shard);
        } else {
            coverage.missing.push_back({.shard = shard.shard, .reason = shard.missingReason});
        }
    }
    return coverage;
}

bool isSufficient(const Coverage &coverage, const Protocol::UrgencyClass &urgencyClass)
{
    if (coverage.isComplete()) {
        return true;
    }
    // NOTE: At least one shard is required, even if the declared minimum is 0.
    return urgencyClass.partialAllowed && !coverage.included.empty() && coverage.share() >= urgencyClass.minimumCoverage;
}

nlohmann::json coverageToJson(const Coverage &coverage)
{
    auto included = nlohmann::json::array();
    for (const auto shard : coverage.included) {
        included.push_back(shard.value());
    }
    auto missing = nlohmann::json::array();
    for (const auto &shard : coverage.missing) {
        missing.push_back({{"shard", shard.shard.value()}, {"reason", shard.reason}});
    }
    return {{"shards", coverage.total}, {"complete", coverage.isComplete()}, {"included", std::move(included)}, {"missing", std::move(missing)}};
}

namespace
{
/** A hit with its sort keys. */
struct RankedHit {
    double score{0.0};
    std::string id;
    nlohmann::json *document{nullptr};
};
}

static bool ranksBefore(const RankedHit &first, const RankedHit &second)
{
    if (first.score != second.score) {
        return first.score > second.score;
    }
    return first.id < second.id;
}

nlohmann::json mergeHits(std::vector<ShardResult> &shards, std::size_t limit)
{
    std::vector<RankedHit> ranked;
    for (auto &shard : shards) {
        if (!shard.included) {
            continue;
        }
        // BackendClient has validated the document.
        for (auto &hit : shard.document["hits"]) {
            ranked.push_back({.score = hit["score"].get<double>(), .id = hit["id"].get<std::string>(), .document = &hit});
        }
    }
    const auto count = std::min(limit, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), ranksBefore);
    auto hits = nlohmann::json::array();
    for (std::size_t index = 0; index < count; ++index) {
        hits.push_back(std::move(*ranked[index].document));
    }
    return hits;
}

}
