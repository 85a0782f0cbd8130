/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaReservations.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Gateway
{

static constexpr double MicrosecondsInASecond = 1'000'000.0;
// Longer waits are reported as a day.
static constexpr double MaximumWaitSeconds = 86'400.0;
// Rounding of a token's time to microseconds must not make a reservation look as if its token came too late.
static constexpr double TokenTolerance = 1e-4;
// At the time that a caller is told, rounding must not have left a fraction of its token missing.
static constexpr Core::Duration RoundingMargin = Core::milliseconds(1);

// Returns the tokens that the bucket would have at a time if none were taken.
static double tokensAt(const TokenSupply &supply, Core::Instant time)
{
    const double seconds = time > supply.fillsFrom ? static_cast<double>((time - supply.fillsFrom).count()) / MicrosecondsInASecond : 0.0;
    return supply.tokens + seconds * supply.perSecond;
}

// Follows the bucket's content while reserved tokens are taken. Tokens beyond its capacity are lost.
class FutureTokens
{
public:
    FutureTokens(const TokenSupply &supply, Core::Instant now) : supply(supply), tokens(supply.tokens), filledUntil(std::max(now, supply.fillsFrom))
    {
    }

    // Takes a token at a time, which is not before the last one. Returns what is left, below 0 if there was none.
    double take(Core::Instant time)
    {
        if (time > this->filledUntil) {
            const double seconds = static_cast<double>((time - this->filledUntil).count()) / MicrosecondsInASecond;
            this->tokens = std::min(this->supply.capacity, this->tokens + seconds * this->supply.perSecond);
            this->filledUntil = time;
        }
        this->tokens -= 1.0;
        return this->tokens;
    }

private:
    const TokenSupply &supply;
    double tokens{0.0};
    Core::Instant filledUntil;
};

// Returns when `tokens` more than the supply's have been filled at a rate.
static Core::Instant timeOfTokens(const TokenSupply &supply, double tokens, double perSecond, Core::Instant now)
{
    if (tokens <= 0.0) {
        return now;
    }
    const double seconds = perSecond > 0.0 ? std::min(tokens / perSecond, MaximumWaitSeconds) : MaximumWaitSeconds;
    return std::max(now, supply.fillsFrom) + Core::Duration(static_cast<std::int64_t>(std::ceil(seconds * MicrosecondsInASecond))) + RoundingMargin;
}

QuotaReservations::QuotaReservations(ReservationOptions options) : options(options)
{
}

std::size_t QuotaReservations::count() const
{
    return this->reservations.size();
}

bool QuotaReservations::isDue(const QuotaReservation &reservation, Core::Instant now) const
{
    return now + this->options.earlyTolerance >= reservation.at;
}

double QuotaReservations::freeTokens(const TokenSupply &supply, Core::Instant now) const
{
    double free = supply.tokens;
    FutureTokens future(supply, now);
    for (const auto &reservation : this->reservations) {
        free = std::min(free, future.take(std::max(now, reservation.at)) + TokenTolerance);
    }
    return free;
}

bool QuotaReservations::hasTokensFor(const TokenSupply &supply, Core::Instant time, Core::Instant now) const
{
    FutureTokens future(supply, now);
    bool isTaken = false;
    for (const auto &reservation : this->reservations) {
        if (!isTaken && time < reservation.at) {
            isTaken = true;
            if (future.take(std::max(now, time)) < -TokenTolerance) {
                return false;
            }
        }
        if (future.take(std::max(now, reservation.at)) < -TokenTolerance) {
            return false;
        }
    }
    return isTaken || future.take(std::max(now, time)) >= -TokenTolerance;
}

Core::Instant QuotaReservations::nextFreeToken(const TokenSupply &supply, const TokenDemand &demand, Core::Instant notBefore, Core::Instant now) const
{
    // The time is the earliest one at which the tokens suffice for the reservations until then, and for all later ones at their times. Each reservation that
    // is passed needs a token more.
    const double needed = 1.0 + demand.forOthers;
    double before = 0.0;
    auto time = std::max(notBefore, timeOfTokens(supply, needed - supply.tokens, demand.perSecond, now));
    for (const auto &next : this->reservations) {
        before += 1.0;
        const bool isBefore = next.at <= time || next.urgency == demand.urgency;
        const bool wouldBeDelayed = tokensAt(supply, std::max(now, next.at)) + TokenTolerance < before + needed;
        if (isBefore || wouldBeDelayed) {
            time = std::max({time, next.at, timeOfTokens(supply, needed + before - supply.tokens, demand.perSecond, now)});
        }
    }
    // The bucket holds no more than its capacity, so tokens that fill before `notBefore` can't all be reserved for that time.
    const auto perToken = timeOfTokens(supply, 1.0, supply.perSecond, now) - std::max(now, supply.fillsFrom);
    for (std::size_t step = 0; step <= this->reservations.size() && !this->hasTokensFor(supply, time, now); ++step) {
        time = time + perToken;
    }
    return time;
}

bool QuotaReservations::add(QuotaReservation reservation, Core::Instant now)
{
    if (this->reservations.size() >= this->options.maximumCount || reservation.at - now > this->options.maximumWait) {
        return false;
    }
    const auto place
        = std::upper_bound(this->reservations.begin(), this->reservations.end(), reservation, [](const QuotaReservation &left, const QuotaReservation &right) {
              return std::tie(left.at, left.urgency) < std::tie(right.at, right.urgency);
          });
    this->reservations.insert(place, std::move(reservation));
    return true;
}

const QuotaReservation *QuotaReservations::find(const Fleet::RequestDigest &digest, Core::Instant deadline, Core::Instant now) const
{
    for (const auto &reservation : this->reservations) {
        // Before its time a reservation is found only by a caller with the same deadline. Another one with the same content gets its own.
        const auto difference = std::max(deadline - reservation.deadline, reservation.deadline - deadline);
        const bool isOfCaller = this->isDue(reservation, now) || difference <= this->options.deadlineTolerance;
        if (reservation.digest == digest && isOfCaller) {
            return &reservation;
        }
    }
    return nullptr;
}

void QuotaReservations::remove(const QuotaReservation *reservation)
{
    this->reservations.erase(this->reservations.begin() + (reservation - this->reservations.data()));
}

std::vector<Urgency> QuotaReservations::expire(Core::Instant now)
{
    std::vector<Urgency> expired;
    std::erase_if(this->reservations, [this, now, &expired](const QuotaReservation &reservation) {
        const bool hasExpired = now - reservation.at > this->options.grace;
        if (hasExpired) {
            expired.push_back(reservation.urgency);
        }
        return hasExpired;
    });
    return expired;
}

std::size_t QuotaReservations::fitTo(const TokenSupply &supply, Core::Instant now)
{
    std::size_t removed = 0;
    while (!this->reservations.empty() && this->freeTokens(supply, now) < 0.0) {
        this->reservations.pop_back();
        ++removed;
    }
    return removed;
}

}
