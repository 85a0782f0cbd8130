/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The read index requests of a follower to the leader, which confirm that the follower's applied state is current (rules C3 to C5 in
// docs/REPLICATED-LOG.md). With them any member can confirm a read, so that reads spread over all members instead of loading the leader.
// The class sends nothing itself; the caller does.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Consensus
{

/** Readers that wait for a confirmation. One read index request covers all readers that were waiting when it was sent. */
class ReadIndexRequests
{
public:
    /** `confirmed` is true when all entries that were committed when the reader was added are applied on this instance. */
    using ConfirmHook = std::function<void(bool confirmed)>;

    /** Requests are numbered after `firstNumber`. It has to differ between incarnations of a process, so that a reply to an earlier one is ignored (C5). */
    explicit ReadIndexRequests(std::int64_t firstNumber);

    /** Adds a reader, which the next request covers. */
    void add(ConfirmHook hook);

    /** Whether a reader waits that no request covers yet. */
    [[nodiscard]] bool isRequestDue() const;

    /** Returns the number of a new request, to be sent now, that covers all readers which no earlier request covers. */
    [[nodiscard]] std::int64_t startRequest(Core::Instant now);

    /**
     * Handles the leader's reply to a request: all entries that were committed when the leader received the request have an index of at most
     * `index`. The reply covers the readers of this request and of earlier ones, but no later readers, since more entries may have been
     * committed before those were added.
     */
    void handleReply(std::int64_t number, std::int64_t index);

    /** Confirms the readers whose request has a reply with an index of at most `committedIndex`, the commit index of this instance. */
    void confirmUpTo(std::int64_t committedIndex);

    /** Fails the readers whose request was sent before `before` and that are not confirmed yet. */
    void failSentBefore(Core::Instant before);
    /** Fails all readers, since the leader that received the requests is no longer the leader. */
    void failAll();

private:
    struct Reader {
        ConfirmHook hook;
        // Number of the request that covers this reader; none while that has not been sent.
        std::optional<std::int64_t> number;
        Core::Instant sentAt;
        // Read index from the reply; none while no reply was received.
        std::optional<std::int64_t> index;
    };

    void completeWhere(const std::function<bool(const Reader &reader)> &shouldComplete, bool confirmed);

    // Invariant: in the order of arrival, so that readers without a request come last.
    std::vector<Reader> readers;
    // The requests of this incarnation have the numbers after firstNumber up to lastNumber.
    std::int64_t firstNumber;
    std::int64_t lastNumber;
};

}
