/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Checks answers against the deterministic index that the fake backend servers serve.

#pragma once

#include "Tally.h"

#include <LibCore/Json.h>
#include <Support/FakeIndex.h>

#include <map>
#include <memory>

namespace Load
{

/** Computes the expected answers from FakeIndex and counts differences. */
class AnswerCheck
{
public:
    /** Adds coverage, mixed snapshots and wrong hits of the answer to a search to `tally`. */
    void checkSearch(const std::string &service, const std::string &query, std::size_t limit, const nlohmann::json &answer, Tally &tally);

    /** Adds a mixed snapshot or a wrong record in the answer to a look-up to `tally`. */
    void checkRecord(const std::string &service, const std::string &id, const nlohmann::json &answer, Tally &tally);

private:
    [[nodiscard]] const TestSupport::FakeIndex &index(const std::string &service, std::int64_t version, std::int32_t shardCount);

    struct Key {
        std::string service;
        std::int64_t version{0};
        std::int32_t shardCount{0};
        auto operator<=>(const Key &) const = default;
    };
    std::map<Key, std::unique_ptr<TestSupport::FakeIndex>> indexes;
};

}
