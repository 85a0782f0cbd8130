/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Support/FakeIndex.h>

#include <LibCore/Identity.h>

#include <algorithm>
#include <array>
#include <fmt/core.h>
#include <sstream>

namespace TestSupport
{

static constexpr std::array<const char *, 16> Words{"bogie",
    "bracket",
    "valve",
    "cap",
    "hinge",
    "sleeve",
    "socket",
    "rotor",
    "driver",
    "session",
    "connector",
    "kutaisi",
    "batumi",
    "depot",
    "ledger",
    "tariff"};

static std::uint64_t hashOf(const std::string &text)
{
    // FNV-1a suffices: the hash has to be evenly distributed, not secure.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : text) {
        hash = (hash ^ static_cast<std::uint8_t>(character)) * 1099511628211ULL;
    }
    return hash;
}

static std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    std::string word;
    while (stream >> word) {
        words.push_back(word);
    }
    return words;
}

std::string FakeIndex::documentId(const std::string &service, std::int32_t number)
{
    return fmt::format("{}-{:05}", service, number);
}

std::string FakeIndex::exampleQuery(std::uint32_t number)
{
    return std::string(Words[number % Words.size()]) + " " + Words[(number / Words.size()) % Words.size()];
}

FakeIndex::FakeIndex(std::string service, std::int64_t version, std::int32_t shardCount) : version(version)
{
    for (std::int32_t number = 0; number < DocumentCount; ++number) {
        Document document;
        document.id = documentId(service, number);
        const std::uint64_t hash = hashOf(document.id);
        for (const unsigned shift : {0U, 8U, 16U}) {
            document.words.emplace_back(Words[(hash >> shift) % Words.size()]);
        }
        document.title = fmt::format("{} {} {} revision {}", document.words[0], document.words[1], document.words[2], version);
        document.shard = Core::shardOfKey(document.id, shardCount);
        // The weight depends on the version, so that an answer mixed from two versions has a detectably wrong order.
        document.weight = static_cast<double>(hashOf(document.id + ":" + std::to_string(version)) % 1'000'003) / 1'000'003.0;
        this->documents.push_back(std::move(document));
    }
}

std::vector<FakeHit> FakeIndex::search(const std::string &query, std::size_t limit, const std::set<std::int32_t> &shards) const
{
    const auto wanted = splitWords(query);
    std::vector<FakeHit> hits;
    for (const auto &document : this->documents) {
        if (!shards.contains(document.shard)) {
            continue;
        }
        const auto matches = std::count_if(wanted.begin(), wanted.end(), [&document](const std::string &word) {
            return std::find(document.words.begin(), document.words.end(), word) != document.words.end();
        });
        if (matches > 0) {
            hits.push_back({.id = document.id, .score = static_cast<double>(matches) + document.weight, .title = document.title, .version = this->version});
        }
    }
    std::sort(hits.begin(), hits.end(), [](const FakeHit &first, const FakeHit &second) {
        return first.score != second.score ? first.score > second.score : first.id < second.id;
    });
    hits.resize(std::min(limit, hits.size()));
    return hits;
}

const FakeIndex::Document *FakeIndex::find(const std::string &id) const
{
    const auto found = std::lower_bound(this->documents.begin(), this->documents.end(), id, [](const Document &document, const std::string &wanted) {
        return document.id < wanted;
    });
    return found != this->documents.end() && found->id == id ? &*found : nullptr;
}

std::int32_t FakeIndex::shardOf(const std::string &id) const
{
    const auto *document = this->find(id);
    return document == nullptr ? -1 : document->shard;
}

std::string FakeIndex::titleOf(const std::string &id) const
{
    const auto *document = this->find(id);
    return document == nullptr ? std::string() : document->title;
}

}
