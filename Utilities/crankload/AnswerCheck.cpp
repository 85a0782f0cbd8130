/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "AnswerCheck.h"

#include <cmath>

namespace Load
{

static constexpr double ScoreTolerance = 1e-9;

const TestSupport::FakeIndex &AnswerCheck::index(const std::string &service, std::int64_t version, std::int32_t shardCount)
{
    auto &index = this->indexes[{service, version, shardCount}];
    if (!index) {
        index = std::make_unique<TestSupport::FakeIndex>(service, version, shardCount);
    }
    return *index;
}

static bool sameHits(const std::vector<TestSupport::FakeHit> &expected, const nlohmann::json &hits)
{
    if (!hits.is_array() || hits.size() != expected.size()) {
        return false;
    }
    for (std::size_t position = 0; position < expected.size(); ++position) {
        const bool sameId = hits[position].value("id", "") == expected[position].id;
        const bool sameScore = std::abs(hits[position].value("score", -1.0) - expected[position].score) < ScoreTolerance;
        if (!sameId || !sameScore) {
            return false;
        }
    }
    return true;
}

void AnswerCheck::checkSearch(const std::string &service, const std::string &query, std::size_t limit, const nlohmann::json &answer, Tally &tally)
{
    const auto coverage = answer.value("coverage", nlohmann::json::object());
    const auto snapshot = answer.value("snapshot", nlohmann::json::object());
    const auto hits = answer.value("hits", nlohmann::json::array());
    const auto version = snapshot.value("version", std::int64_t{0});
    std::set<std::int32_t> included;
    for (const auto &shard : coverage.value("included", nlohmann::json::array())) {
        included.insert(shard.get<std::int32_t>());
    }
    const auto shards = coverage.value("shards", 0);
    tally.shardsRequested += static_cast<std::uint64_t>(shards);
    tally.shardsIncluded += included.size();
    tally.partial += static_cast<std::size_t>(shards) == included.size() ? 0 : 1;
    for (const auto &hit : hits) {
        if (hit.value("version", std::int64_t{-1}) != version) {
            ++tally.mixedSnapshots;
            break;
        }
    }
    // The hits must be exactly the best ones of the shards that the answer claims to include.
    if (shards <= 0 || !sameHits(this->index(service, version, shards).search(query, limit, included), hits)) {
        ++tally.wrongAnswers;
    }
}

void AnswerCheck::checkRecord(const std::string &service, const std::string &id, const nlohmann::json &answer, Tally &tally)
{
    const auto record = answer.value("record", nlohmann::json::object());
    const auto version = answer.value("snapshot", nlohmann::json::object()).value("version", std::int64_t{0});
    ++tally.shardsRequested;
    ++tally.shardsIncluded;
    tally.mixedSnapshots += record.value("version", std::int64_t{-1}) == version ? 0 : 1;
    const bool right = record.value("id", "") == id && record.value("title", "") == this->index(service, version, 1).titleOf(id);
    tally.wrongAnswers += right ? 0 : 1;
}

}
