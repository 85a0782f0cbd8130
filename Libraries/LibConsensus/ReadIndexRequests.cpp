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
    this->readers.push_back(Reader{.hook = std::move(hook), .number = std::nullopt, .askedAt = {}, .index = std::nullopt});
}

bool ReadIndexRequests::isRequestDue() const
{
    return !this->readers.empty() && !this->readers.back().number.has_value();
}

std::int64_t ReadIndexRequests::nextReadIndexRequest(Core::Instant now)
{
    ++this->lastNumber;
    for (auto &reader : this->readers) {
        if (!reader.number.has_value()) {
            reader.number = this->lastNumber;
            reader.askedAt = now;
        }
    }
    return this->lastNumber;
}

void ReadIndexRequests::handleAnswer(std::int64_t number, std::int64_t index)
{
    // C5. What this life has not asked was asked by an earlier one.
    const bool wasAsked = number > this->firstNumber && number <= this->lastNumber;
    if (!wasAsked) {
        return;
    }
    for (auto &reader : this->readers) {
        const bool isCovered = reader.number.has_value() && reader.number.value() <= number;
        if (isCovered && !reader.index.has_value()) {
            reader.index = index;
        }
    }
}

void ReadIndexRequests::finish(std::int64_t committedHere)
{
    this->finishWhere(
        [committedHere](const Reader &reader) {
            return reader.index.has_value() && reader.index.value() <= committedHere;
        },
        true);
}

void ReadIndexRequests::failAskedBefore(Core::Instant before)
{
    this->finishWhere(
        [before](const Reader &reader) {
            return reader.number.has_value() && reader.askedAt < before;
        },
        false);
}

void ReadIndexRequests::failAll()
{
    this->finishWhere(
        [](const Reader &) {
            return true;
        },
        false);
}

// NOTE: Readers are taken out before their hooks are called, since a hook may bring a new reader.
void ReadIndexRequests::finishWhere(const std::function<bool(const Reader &reader)> &isOver, bool confirmed)
{
    const auto firstOver = std::stable_partition(this->readers.begin(), this->readers.end(), [&isOver](const Reader &reader) {
        return !isOver(reader);
    });
    const std::vector<Reader> over(std::make_move_iterator(firstOver), std::make_move_iterator(this->readers.end()));
    this->readers.erase(firstOver, this->readers.end());
    for (const auto &reader : over) {
        reader.hook(confirmed);
    }
}

}
