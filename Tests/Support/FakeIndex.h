/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A small deterministic index: whoever knows service, version and number of
// shards can work out the right answer to any query.

#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace TestSupport
{

/** One document as a hit. */
struct FakeHit {
    std::string id;
    double score{0.0};
    std::string title;
    std::int64_t version{0};

    auto operator<=>(const FakeHit &) const = default;
};

/** All documents of one service at one version. */
class FakeIndex
{
public:
    static constexpr std::int32_t DocumentCount = 2000;

    FakeIndex(std::string service, std::int64_t version, std::int32_t shardCount);

    /** The best hits of some shards: by score downwards, equal scores by id upwards. */
    [[nodiscard]] std::vector<FakeHit> search(const std::string &query, std::size_t limit, const std::set<std::int32_t> &shards) const;

    /** The shard that holds a document, or -1 when there is none of this id. */
    [[nodiscard]] std::int32_t shardOf(const std::string &id) const;
    [[nodiscard]] std::string titleOf(const std::string &id) const;

    [[nodiscard]] static std::string documentId(const std::string &service, std::int32_t number);

    /** Some words that find something. */
    [[nodiscard]] static std::string exampleQuery(std::uint32_t number);

private:
    struct Document {
        std::string id;
        std::string title;
        std::vector<std::string> words;
        std::int32_t shard{0};
        double weight{0.0};
    };

    [[nodiscard]] const Document *find(const std::string &id) const;

    std::int64_t version;
    std::vector<Document> documents;
};

}
