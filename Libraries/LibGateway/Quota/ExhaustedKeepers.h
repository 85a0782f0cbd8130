/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which quota keepers have nothing left, as a gateway knows it from their replies and from
// what other gateways pass on. Load pattern: a workspace requests several times its quota,
// and each of its requests is refused only after its keepers were queried one after the
// other, which costs the time in which a refusal is still worth something. Pure.

#pragma once

#include <LibGateway/Quota/QuotaMessages.h>

#include <map>

namespace Gateway
{

/** Remembers exhausted keepers by workspace, address and urgency. A keeper without a token for one urgency may have one for another. */
class ExhaustedKeepers
{
public:
    /** Nothing is remembered for longer, since a share may be taken over or its requests may end. */
    static constexpr Core::Duration MaximumValidity = Core::milliseconds(500);

    /** What is known of one keeper. */
    struct Knowledge {
        Core::Instant until;
        /** When this gateway learned it. */
        Core::Instant learnedAt;
        /** When the keeper may have a token, as far as that is known; unlike `until` it may be further ahead than MaximumValidity. */
        Core::Instant statedAt;
        /** It has replied that it grants nothing yet, so its share is not used up. */
        bool isStarting{false};
    };

    /** Replaces what is known of a keeper by what it replied itself. */
    void learnFromKeeper(const Fleet::WorkspaceName &workspace, const std::string &address, const Urgency &urgency, const QuotaReply &reply, Core::Instant now);

    /** Forgets that a keeper is exhausted for this urgency and more urgent ones, since it has granted a request. */
    void learnOfGrant(const Fleet::WorkspaceName &workspace, const std::string &address, const Urgency &urgency);

    /** Adds what another gateway knows; what is known here for longer stays. */
    void learnFromOther(const Fleet::WorkspaceName &workspace, const ExhaustedKeeper &keeper, const Urgency &urgency, Core::Instant now);

    /** Returns what is known of a keeper that has nothing for this urgency; nothing if it may have a token. */
    [[nodiscard]] std::optional<Knowledge> find(
        const Fleet::WorkspaceName &workspace, const std::string &address, const Urgency &urgency, Core::Instant now) const;

    /** Returns all keepers of a workspace that have nothing for this urgency. */
    [[nodiscard]] std::vector<ExhaustedKeeper> list(const Fleet::WorkspaceName &workspace, const Urgency &urgency, Core::Instant now) const;

    void clear();
    void forgetExpired(Core::Instant now);

private:
    using Key = std::pair<Fleet::WorkspaceName, std::string>;
    using ByUrgency = std::map<Urgency, Knowledge>;

    [[nodiscard]] static std::optional<Knowledge> latestOf(const ByUrgency &known, const Urgency &urgency, Core::Instant now);

    std::map<Key, ByUrgency> keepers;
};

}
