/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/ExhaustedKeepers.h>

#include <algorithm>

namespace Gateway
{

void ExhaustedKeepers::learnFromKeeper(
    const Fleet::WorkspaceName &workspace, const std::string &address, const Urgency &urgency, const QuotaReply &reply, Core::Instant now)
{
    this->keepers[{workspace, address}][urgency]
        = {.until = now + std::min(reply.freeAfter, MaximumValidity), .learnedAt = now, .statedAt = now + reply.freeAfter, .isStarting = reply.isStarting};
}

void ExhaustedKeepers::learnOfGrant(const Fleet::WorkspaceName &workspace, const std::string &address, const Urgency &urgency)
{
    const auto found = this->keepers.find({workspace, address});
    if (found == this->keepers.end()) {
        return;
    }
    std::erase_if(found->second, [&urgency](const auto &item) {
        return item.first <= urgency;
    });
}

void ExhaustedKeepers::learnFromOther(const Fleet::WorkspaceName &workspace, const ExhaustedKeeper &keeper, const Urgency &urgency, Core::Instant now)
{
    const auto until = now + std::min(keeper.validFor, MaximumValidity);
    const Knowledge learned{.until = until, .learnedAt = now, .statedAt = until, .isStarting = keeper.isStarting};
    const auto [known, isNew] = this->keepers[{workspace, keeper.address}].try_emplace(urgency, learned);
    auto &held = known->second;
    if (isNew || held.until >= until) {
        held.isStarting = held.isStarting || keeper.isStarting;
        return;
    }
    // A gateway of an older build does not pass on that a keeper is starting.
    const bool wasStarting = held.isStarting && held.until > now;
    const auto statedAt = std::max(held.statedAt, until);
    held = learned;
    held.isStarting = wasStarting || keeper.isStarting;
    held.statedAt = statedAt;
}

std::optional<ExhaustedKeepers::Knowledge> ExhaustedKeepers::latestOf(const ByUrgency &known, const Urgency &urgency, Core::Instant now)
{
    std::optional<Knowledge> latest;
    for (const auto &[of, knowledge] : known) {
        // A keeper that has nothing for an urgent request may have the guaranteed token of a less urgent one.
        const bool applies = of == urgency && knowledge.until > now;
        if (applies && (!latest.has_value() || latest->until < knowledge.until)) {
            latest = knowledge;
        }
    }
    return latest;
}

std::optional<ExhaustedKeepers::Knowledge> ExhaustedKeepers::find(
    const Fleet::WorkspaceName &workspace, const std::string &address, const Urgency &urgency, Core::Instant now) const
{
    const auto found = this->keepers.find({workspace, address});
    return found == this->keepers.end() ? std::nullopt : latestOf(found->second, urgency, now);
}

std::vector<ExhaustedKeeper> ExhaustedKeepers::list(const Fleet::WorkspaceName &workspace, const Urgency &urgency, Core::Instant now) const
{
    std::vector<ExhaustedKeeper> exhausted;
    for (auto next = this->keepers.lower_bound({workspace, std::string()}); next != this->keepers.end() && next->first.first == workspace; ++next) {
        const auto known = latestOf(next->second, urgency, now);
        if (known.has_value()) {
            exhausted.push_back({.address = next->first.second, .validFor = known->until - now, .isStarting = known->isStarting});
        }
    }
    return exhausted;
}

void ExhaustedKeepers::clear()
{
    this->keepers.clear();
}

void ExhaustedKeepers::forgetExpired(Core::Instant now)
{
    for (auto &[key, known] : this->keepers) {
        std::erase_if(known, [now](const auto &item) {
            return item.second.until <= now;
        });
    }
    std::erase_if(this->keepers, [](const auto &item) {
        return item.second.empty();
    });
}

}
