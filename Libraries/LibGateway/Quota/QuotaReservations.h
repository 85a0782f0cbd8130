/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tokens of one share of a quota that are kept for callers who were refused and told when
// to return. Load pattern: a workspace requests more than its quota for some seconds, so
// that a caller who returns when told finds its token taken by one that arrived a moment
// earlier. A second refusal costs a caller most, since it returns only once. Pure.

#pragma once

#include <LibGateway/Dialect.h>

#include <vector>

namespace Gateway
{

/** The content of a share's token bucket at one time. */
struct TokenSupply {
    double tokens{0.0};
    double perSecond{0.0};
    double capacity{0.0};
    /** When the bucket begins to fill; not before the time that is passed along with the supply. */
    Core::Instant fillsFrom;
};

/** What a request of one urgency may take (DemandShares). */
struct TokenDemand {
    Urgency urgency;
    /** Tokens that it has to leave for others. */
    double forOthers{0.0};
    /** Tokens per second that it can count on. */
    double perSecond{0.0};
};

/** Counts and times of reservations. */
struct ReservationOptions {
    /** A reservation is kept this long after its time: a new connection, a hop to the keeper and a loaded gateway take up to about this long. */
    Core::Duration grace{Core::milliseconds(250)};
    /** A caller that returns this much before its time is still served by its reservation: Retry-After is rounded to milliseconds. */
    Core::Duration earlyTolerance{Core::milliseconds(3)};
    /** Reservations further ahead than this are not made, since the quota may have changed by then. */
    Core::Duration maximumWait{Core::seconds(5)};
    /** Maximum number of reservations of one share. */
    std::size_t maximumCount{128};
    /** Two queries with one digest whose callers' deadlines differ by more than this are of two callers. */
    Core::Duration deadlineTolerance{Core::milliseconds(50)};
};

/** One reserved token. */
struct QuotaReservation {
    Fleet::RequestDigest digest;
    Urgency urgency;
    /** When the token is there. */
    Core::Instant at;
    /** When the caller's time is over; tells apart several callers with the same content. */
    Core::Instant deadline;
};

/**
 * The reservations of one share. They do not hold tokens: a token is taken from the bucket when its reservation is claimed, so no window can contain more
 * grants than the bucket permits. V1. The bucket has a token for each reservation at its time, if nobody else takes more than freeTokens(). V2. A reservation's
 * time never changes: its caller was told. Urgent requests get earlier times since less urgent ones reserve from a smaller rate.
 */
class QuotaReservations
{
public:
    explicit QuotaReservations(ReservationOptions options);

    /** Returns how many tokens may be taken now without delaying a reservation, below 1 when none. */
    [[nodiscard]] double freeTokens(const TokenSupply &supply, Core::Instant now) const;

    /**
     * Returns the earliest time at which the bucket has a token that is not reserved and `demand.forOthers` tokens beyond that. It is not before `notBefore`,
     * and after the reservations of the same urgency. At most a day from now.
     */
    [[nodiscard]] Core::Instant nextFreeToken(const TokenSupply &supply, const TokenDemand &demand, Core::Instant notBefore, Core::Instant now) const;

    /** Adds a reservation. Returns false if there are too many, or its time is too far ahead. */
    [[nodiscard]] bool add(QuotaReservation reservation, Core::Instant now);

    /** Returns the reservation that a query with this digest and deadline is for; nullptr when there is none. The pointer is valid until the next change. */
    [[nodiscard]] const QuotaReservation *find(const Fleet::RequestDigest &digest, Core::Instant deadline, Core::Instant now) const;

    /** Whether the time of a reservation has come. */
    [[nodiscard]] bool isDue(const QuotaReservation &reservation, Core::Instant now) const;

    /** Removes a reservation that find() returned. */
    void remove(const QuotaReservation *reservation);

    /** Removes reservations whose caller has not returned. Returns their urgencies. */
    std::vector<Urgency> expire(Core::Instant now);

    /** Removes the reservations with the latest times until V1 holds again, after the supply became smaller. Returns how many. */
    std::size_t fitTo(const TokenSupply &supply, Core::Instant now);

    [[nodiscard]] std::size_t count() const;

private:
    /** Whether the bucket has a token for each reservation when its time comes, with one more at `time`. */
    [[nodiscard]] bool hasTokensFor(const TokenSupply &supply, Core::Instant time, Core::Instant now) const;

    ReservationOptions options;
    // Invariant: ordered by time; among equal times by urgency, then by arrival.
    std::vector<QuotaReservation> reservations;
};

}
