/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/SearchAnswer.h>

#include <LibCore/Log.h>
#include <LibGateway/RecordMerge.h>

#include <algorithm>

namespace Gateway
{

SearchAnswer::SearchAnswer(const Rows &rows, const Parts &parts, std::size_t topRecords) : rows(rows), parts(parts), topRecords(topRecords)
{
}

std::string SearchAnswer::records() const
{
    return this->mergedRecords([](const SearchRow &) {
        return true;
    });
}

std::string SearchAnswer::mergedRecords(const std::function<bool(const SearchRow &row)> &counts) const
{
    std::vector<std::string_view> merged;
    for (const auto &row : this->rows) {
        if (row.isAnsweredDirectly() && counts(row)) {
            merged.emplace_back(row.call->reply().message.body);
        }
    }
    for (const auto &sentPart : this->parts) {
        merged.emplace_back(sentPart->part->answer().records);
    }
    return mergeGreatest(merged, this->topRecords);
}

std::vector<std::string> SearchAnswer::signatures() const
{
    std::vector<std::string> all;
    for (const auto &row : this->rows) {
        if (row.isAnsweredDirectly()) {
            all.push_back(row.call->reply().signature);
        }
    }
    for (const auto &sentPart : this->parts) {
        const auto &others = sentPart->part->answer().signatures;
        all.insert(all.end(), others.begin(), others.end());
    }
    return all;
}

// A direct answer whose hedge is in flight may still be replaced by the answer of another backend server, which need not hold the same records, so such rows
// are left out.
std::string SearchAnswer::minimumRecord() const
{
    const auto records = this->mergedRecords([](const SearchRow &row) {
        return row.part == nullptr || !row.part->isOpen();
    });
    const bool isFull = !records.empty() && records.size() == this->topRecords * RecordBytes;
    return isFull ? records.substr(records.size() - RecordBytes) : std::string();
}

void SearchAnswer::verifyMinimumRecords(const std::string &records, const Core::RequestId &request) const
{
    const bool isFull = records.size() == this->topRecords * RecordBytes;
    for (const auto &sentPart : this->parts) {
        const auto &minimum = sentPart->part->sentPlan().minimumRecord;
        const bool mayLackRecords = !minimum.empty() && !sentPart->part->answer().signatures.empty();
        if (mayLackRecords && (!isFull || records.compare(records.size() - RecordBytes, RecordBytes, minimum) < 0)) {
            Core::logEvent(Core::LogLevel::Error, "answer.lacks_records", {{"request", request.value()}, {"zone", sentPart->part->zone()}});
        }
    }
}

void verifySignatures(std::vector<std::string> signatures, const Core::RequestId &request)
{
    std::sort(signatures.begin(), signatures.end());
    if (const auto duplicate = std::adjacent_find(signatures.begin(), signatures.end()); duplicate != signatures.end()) {
        Core::logEvent(Core::LogLevel::Error, "answer.signature_twice", {{"request", request.value()}, {"signature", *duplicate}});
    }
}

}
