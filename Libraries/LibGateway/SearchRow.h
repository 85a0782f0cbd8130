/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// State of one shard of a search at the gateway that serves the search or a part of it.

#pragma once

#include <LibGateway/RelayedPart.h>

#include <memory>
#include <vector>

namespace Gateway
{

/** A part that was relayed to another gateway, with the indexes of its shards in the table of rows. */
struct SentPart {
    std::unique_ptr<RelayedPart> part;
    std::vector<std::size_t> rowNumbers;
};

/** One shard of a search: how it is requested, and what is known of its answer. */
struct SearchRow {
    Core::ServiceName shard;
    // Set if this gateway sends to the shard directly.
    std::unique_ptr<ShardCall> call;
    // Set if the shard was relayed to another gateway.
    RelayedPart *part{nullptr};
    // The answer of the shard is in `part`.
    bool inPart{false};
    // Attempts of other gateways that may have run and have ended.
    Protocol::MissingShard remoteAttempts;
    // The last part from which this shard was missing, and whether the shard may be retried.
    const SentPart *missingFromPart{nullptr};
    bool mayRetry{false};
    // The shard is missing from that part, and the retry budget of the gateway that served it denied a repeat.
    bool lacksRepeatThere{false};
    // The shard was missing from a part, and the part that retries it is about to be sent.
    bool isRetryPlanned{false};

    /** Returns whether the shard was answered by a direct call, and its answer is not part of a relayed part. */
    [[nodiscard]] bool isAnsweredDirectly() const;
    [[nodiscard]] bool isAnswered() const;
    [[nodiscard]] bool isOpen() const;
    /** Returns whether the shard can still be answered: its call or part is open, was not started yet, or will be retried. */
    [[nodiscard]] bool isObtainable() const;
    /** Returns whether the shard may have run by an attempt of this gateway. */
    [[nodiscard]] bool mayHaveRunDirectly() const;
    /** Returns whether the missing shard was denied a repeat by this gateway or by the one that it was relayed to last. */
    [[nodiscard]] bool lacksRepeat() const;
    /** Records the attempts for the shard that `sentPart`, which does not include its answer, reports. The route allows `maximumAttempts`. */
    void recordMissing(const SentPart &sentPart, const Protocol::MissingShard &missing, int maximumAttempts);
    /** Returns the attempts for the missing shard as they are reported to another gateway. The route allows `maximumAttempts`. */
    [[nodiscard]] Protocol::MissingShard describeMissing(int maximumAttempts) const;
};

}
