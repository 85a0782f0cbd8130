/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Merges what the shards and parts of a search have answered so far.

#pragma once

#include <LibGateway/SearchRow.h>

#include <functional>
#include <string>

namespace Gateway
{

/** Reads the rows and parts of a search, which must outlive it. */
class SearchAnswer
{
public:
    using Rows = std::vector<SearchRow>;
    using Parts = std::vector<std::unique_ptr<SentPart>>;

    /** `topRecords`: how many of the greatest records the answer should contain. */
    SearchAnswer(const Rows &rows, const Parts &parts, std::size_t topRecords);

    /** Returns the greatest records of all answers. */
    [[nodiscard]] std::string records() const;

    /** Returns the signatures of the answered shards. */
    [[nodiscard]] std::vector<std::string> signatures() const;

    /**
     * Returns the lowest of the wanted records that have arrived, since a lesser record cannot be in the answer if these stay; empty if fewer than wanted have
     * arrived.
     */
    [[nodiscard]] std::string minimumRecord() const;

    /**
     * Logs an error if records may be missing from `records`: parts leave out records below the minimum record that they were sent, so the answer must not end
     * with a lesser one.
     */
    void verifyMinimumRecords(const std::string &records, const Core::RequestId &request) const;

private:
    /** Returns the greatest records of all parts and of the directly answered rows for which `counts` is true. */
    [[nodiscard]] std::string mergedRecords(const std::function<bool(const SearchRow &row)> &counts) const;

    const Rows &rows;
    const Parts &parts;
    std::size_t topRecords;
};

/** Logs an error if a shard is counted in two parts: each signature stands for one shard, so none may occur twice. */
void verifySignatures(std::vector<std::string> signatures, const Core::RequestId &request);

}
