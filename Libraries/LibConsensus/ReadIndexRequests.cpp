/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConsensus/ReadIndexRequests.h>

#include <algorithm>
#include <iterator>

namespace Consensus
{

ReadIndexRequests::ReadIndexRequests(std::int64_t firstNumber) : firstNumber(firstNumber), lastNumber(firstNumber)
{
}

void ReadIndexRequests::add(ConfirmHook hook)
{
    this->readers.push_back(Reader{.hook = std::move(hook), .number = std::nullopt, .sentAt = {}, .index = std::nullopt});
}

bool ReadIndexRequests::isRequestDue() const
{
    return !this->readers.empty() && !this->readers.back().number.has_value();
}

std::int64_t ReadIndexRequests::startRequest(Core::Instant now)
{
    ++this->lastNumber;
    for (auto &reader : this->readers) {
        if (!reader.number.has_value()) {
            reader.number = this->lastNumber;
            reader.sentAt = now;
        }
    }
    return this->lastNumber;
}

void ReadIndexRequests::handleReply(std::int64_t number, std::int64_t index)
{
    // C5. A reply to a request that this incarnation has not sent belongs to an earlier incarnation and is ignored.
    const bool wasSent = number > this->firstNumber && number <= this->lastNumber;
    if (!wasSent) {
        return;
    }
    for (auto &reader : this->readers) {
        const bool isCovered = reader.number.has_value() && reader.number.value() <= number;
        if (isCovered && !reader.index.has_value()) {
            reader.index = index;
        }
    }
}

void ReadIndexRequests::confirmUpTo(std::int64_t committedIndex)
{
    this->completeWhere(
        [committedIndex](const Reader &reader) {
            return reader.index.has_value() && reader.index.value() <= committedIndex;
        },
        true);
}

void ReadIndexRequests::failSentBefore(Core::Instant before)
{
    this->completeWhere(
        [before](const Reader &reader) {
            return reader.number.has_value() && reader.sentAt < before;
        },
        false);
}

void ReadIndexRequests::failAll()
{
    this->completeWhere(
        [](const Reader &) {
            return true;
        },
        false);
}

// NOTE: Readers are removed from the list before their hooks are called, since a hook may add a new reader.
void ReadIndexRequests::completeWhere(const std::function<bool(const Reader &reader)> &shouldComplete, bool confirmed)
{
    const auto firstCompleted = std::stable_partition(this->readers.begin(), this->readers.end(), [&shouldComplete](const Reader &reader) {
        return !shouldComplete(reader);
    });
    const std::vector<Reader> completed(std::make_move_iterator(firstCompleted), std::make_move_iterator(this->readers.end()));
    this->readers.erase(firstCompleted, this->readers.end());
    for (const auto &reader : completed) {
        reader.hook(confirmed);
    }
}

}
