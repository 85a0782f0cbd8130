/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/ContactSummary.h>

#include <algorithm>

namespace Fleet
{

static constexpr std::size_t KeptRows = 2;

ContactSummary::ContactSummary(const BackendRegistry &gateways, Core::Instant now) : takenAt(now), position(gateways.position())
{
    std::unordered_map<std::string, const BackendRecord *> byAddress;
    for (const auto *record : gateways.readyRecords()) {
        auto &latest = byAddress[record->announcement.address];
        if (latest == nullptr || latest->changePosition < record->changePosition) {
            latest = record;
        }
        if (record->isEstablished) {
            this->establishedAddresses.insert(record->announcement.address);
        }
    }
    Rows all;
    Rows confirmed;
    for (const auto &[address, record] : byAddress) {
        all.push_back({.contact = record->lastContact, .address = address});
        if (!record->confirmBy.has_value()) {
            confirmed.push_back(all.back());
        }
    }
    this->oldest = oldestOf(std::move(all));
    this->oldestConfirmed = oldestOf(std::move(confirmed));
}

ContactSummary::Rows ContactSummary::oldestOf(Rows rows)
{
    const auto kept = std::min(KeptRows, rows.size());
    const auto keptEnd = rows.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(rows.begin(), keptEnd, rows.end(), [](const Row &left, const Row &right) {
        return left.contact < right.contact;
    });
    rows.resize(kept);
    return rows;
}

std::optional<Core::Instant> ContactSummary::oldestExcept(const std::string &address) const
{
    const auto &rows = this->establishedAddresses.contains(address) ? this->oldestConfirmed : this->oldest;
    const auto found = std::find_if(rows.begin(), rows.end(), [&address](const Row &row) {
        return row.address != address;
    });
    return found == rows.end() ? std::optional(this->takenAt) : found->contact;
}

Core::Duration ContactSummary::ageAt(Core::Instant now) const
{
    return now - this->takenAt;
}

bool ContactSummary::isOf(const BackendRegistry &gateways) const
{
    return this->position == gateways.position();
}

}
