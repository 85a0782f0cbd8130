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
    }
    for (const auto &[address, record] : byAddress) {
        this->oldest.push_back({.contact = record->lastContact, .address = address});
    }
    const auto kept = std::min(KeptRows, this->oldest.size());
    const auto keptEnd = this->oldest.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(this->oldest.begin(), keptEnd, this->oldest.end(), [](const Row &left, const Row &right) {
        return left.contact < right.contact;
    });
    this->oldest.resize(kept);
}

std::optional<Core::Instant> ContactSummary::oldestExcept(const std::string &address) const
{
    const auto found = std::find_if(this->oldest.begin(), this->oldest.end(), [&address](const Row &row) {
        return row.address != address;
    });
    return found == this->oldest.end() ? std::optional(this->takenAt) : found->contact;
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
