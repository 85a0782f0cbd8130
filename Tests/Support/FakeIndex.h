/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A small deterministic search index. Its content follows from service, version and number of shards, so that a test or a load
// client can compute the right answer to any query.

#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace TestSupport
{

/** A document in the answer to a search. */
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

    /** The `limit` best hits of `shards`, ordered by falling score, then by rising id. */
    [[nodiscard]] std::vector<FakeHit> search(const std::string &query, std::size_t limit, const std::set<std::int32_t> &shards) const;

    /** The shard that holds the document, or -1 if there is no document with this id. */
    [[nodiscard]] std::int32_t shardOf(const std::string &id) const;
    /** The title of the document, empty if there is no document with this id. */
    [[nodiscard]] std::string titleOf(const std::string &id) const;

    [[nodiscard]] static std::string documentId(const std::string &service, std::int32_t number);

    /** A query that has hits; `number` selects one of the examples. */
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
