/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which owner of a cell gets the next part, by how busy the owners say they are.
//
// Load pattern: demand swings between zones by half within 17 s and out of phase, and
// gateways are stopped and started in turn. Each gateway always prefers the same owner of a
// cell, to which its connections are open, so that an owner may be at its limit while
// another one is idle. Owners report their load with their answers to parts.
//
// All gateways that send parts to an owner see about the same reports, and see the effect
// of their decisions about a second later. If each followed every report, all would leave
// an owner and return to it together. Therefore:
// O1. A share of the parts is diverted from the preferred owner, in proportion to the
//     difference of loads beyond a margin, never all. Each report moves the share by a part
//     of the way and by a bounded step.
// O2. The share does not fall until the difference is smaller by a second margin.
// O3. An owner whose load is unknown, or whose report is older than ReportLifetime, is
//     neither passed over nor chosen in place of another one. An owner without a report
//     gets a single part now and then while the preferred one is busy, to learn its load.
// Pure.

#pragma once

#include <LibGateway/Dialect.h>
#include <LibGateway/Scheduling/LogLimit.h>
#include <LibGateway/Scheduling/LoopLoad.h>

#include <array>
#include <unordered_map>
#include <vector>

namespace Gateway
{

/** A report is not used after this time. A quarter of the period in which demand swings by half would be too late to act on. */
inline constexpr Core::Duration ReportLifetime = Core::seconds(2);

/** Counters for metrics. */
struct OwnerLoadCounters {
    /** Ranks that are counted one by one; the last one includes all that follow. */
    static constexpr std::size_t Ranks = 4;

    /** Parts that were answered by an owner, by its rank in the preference of this gateway. */
    std::array<std::uint64_t, Ranks> answeredByRank{};
    /** Parts that were sent to another owner than the preferred one because that was busier. */
    std::uint64_t passedOver{0};
    /** Parts that were sent to an owner to learn its load. */
    std::uint64_t probes{0};
    std::uint64_t reports{0};
    /** Headers that were invalid, or were on the way for longer than ReportLifetime. */
    std::uint64_t ignored{0};
};

/** An owner with its load. */
struct KnownOwner {
    BackendName name;
    LoopReport load;
};

/** Loads of the owners to which this gateway sends parts. */
class OwnerLoad
{
public:
    /** Takes in the header of an answer. `transit` is the time for which it may have been on the way. */
    void receive(const BackendName &owner, std::string_view header, Core::Duration transit, Core::Instant now);

    /**
     * Moves the owner that should get the next part to the front; `owners` are those of one cell in the order of preference. The least busy one of the others
     * comes second if its load is known, and is returned then.
     */
    std::optional<KnownOwner> arrange(std::vector<BackendName> &owners, Core::Instant now);

    /** Counts a part that an owner answered; `rank` is its place in the order of preference. */
    void recordAnswer(std::size_t rank);

    /** Removes owners of which nothing was heard for a while. To be called about once a second. */
    void forget(Core::Instant now);

    /** Returns the load that an owner has reported; nothing if that is unknown or too old. */
    [[nodiscard]] std::optional<LoopReport> loadOf(const BackendName &owner, Core::Instant now) const;
    /** Returns the share of the parts that are diverted from an owner, from 0 to 1. */
    [[nodiscard]] double divertedShareOf(const BackendName &owner) const;
    [[nodiscard]] std::size_t ownerCount() const;
    [[nodiscard]] const OwnerLoadCounters &counters() const;

private:
    struct Owner {
        // Set once the owner has reported.
        std::optional<Core::Instant> reportedAt;
        LoopReport load;
        // Share of parts that are diverted from this owner when it is the preferred one. Invariant: from 0 to MaximumShare.
        double diverted{0.0};
        // Sum of the shares of parts so far, less the parts that were diverted. Invariant: less than 1.
        double credit{0.0};
        Core::Instant adjustedAt;
        // When a part was last sent to learn the load.
        std::optional<Core::Instant> probedAt;
    };
    static constexpr int LinesPerSecond = 2;

    [[nodiscard]] static bool isFresh(const Owner &owner, Core::Instant now);
    [[nodiscard]] static bool mayProbe(const Owner &owner, Core::Instant now);
    /** Returns the place of the least busy of the owners after the first one; 0 if none of their loads is known. */
    [[nodiscard]] std::size_t leastBusyOther(const std::vector<BackendName> &owners, Core::Instant now) const;
    /** Moves one of the others to the front if its load is not known and is to be learned. */
    void probe(std::vector<BackendName> &owners, Core::Instant now);
    /** Applies the reports that came since the last adjustment to the share that is diverted from `preferred`. */
    static void adjust(Owner &preferred, const Owner &other, Core::Instant now);
    void logPassedOver(const BackendName &owner, const BackendName &chosen, Core::Instant now);

    std::unordered_map<BackendName, Owner> owners;
    OwnerLoadCounters counts;
    LogLimit lines{LinesPerSecond};
};

}
