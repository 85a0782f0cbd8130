/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A follower's questions to the leader whether what is applied here is current.
// With them any instance can confirm a read, so that askers spread over all
// instances instead of meeting at the leader. Pure; rules C3 to C5 in
// docs/REPLICATED-LOG.md.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Consensus
{

/** One question stands for all readers that waited when it left. */
class ReadIndexRequests
{
public:
    /** `confirmed` is true when what is applied here holds all that was committed when the reader came. */
    using ConfirmHook = std::function<void(bool confirmed)>;

    /** `firstNumber` must differ from life to life of a process: C5. An answer to an earlier life must not count for this one. */
    explicit ReadIndexRequests(std::int64_t firstNumber);

    /** A reader came; it is covered by the next question. */
    void add(ConfirmHook hook);

    /** Whether a reader waits that no question covers yet. */
    [[nodiscard]] bool isRequestDue() const;

    /** The number of a question that leaves now and covers all readers so far. */
    [[nodiscard]] std::int64_t nextReadIndexRequest(Core::Instant now);

    /** The leader answered a question: its quorum committed up to `index` by then. Later questions came after that, so it says nothing of them. */
    void handleAnswer(std::int64_t number, std::int64_t index);

    /** Calls the hooks of readers whose answer is in and reached by what is committed here. */
    void finish(std::int64_t committedHere);

    /** Calls the hooks of readers whose question left before `before` and has no answer. */
    void failAskedBefore(Core::Instant before);
    /** The leader that was asked is not the leader any more. */
    void failAll();

private:
    struct Reader {
        ConfirmHook hook;
        // Of the question that covers it; none yet while it has not left.
        std::optional<std::int64_t> number;
        Core::Instant askedAt;
        // The answer.
        std::optional<std::int64_t> index;
    };

    void finishWhere(const std::function<bool(const Reader &reader)> &isOver, bool confirmed);

    // Invariant: in the order of arrival, so that those without a question come last.
    std::vector<Reader> readers;
    // Numbers after the first one up to the last one are of questions of this life.
    std::int64_t firstNumber;
    std::int64_t lastNumber;
};

}
