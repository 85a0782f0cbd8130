/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RetryBudget.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Gateway
{

// Fraction of what may be consumed that is lent at a time, so that the gateway that lends has repeats for its own requests.
static constexpr double LendableShare = 0.5;

RetryBudget::RetryBudget(RetryBudgetOptions options) : options(options)
{
}

// ---- Slices

Core::Duration RetryBudget::sliceLength() const
{
    return this->options.window / SlicesInWindow;
}

std::int64_t RetryBudget::sliceNumberAt(Core::Instant now) const
{
    return now.sinceStart() / this->sliceLength();
}

template<typename Count, std::size_t Size>
static Count &ringSlot(std::array<Count, Size> &ring, std::int64_t slice)
{
    return ring[static_cast<std::size_t>(slice) % Size];
}

/** Adds as much as fits, and returns how much that was. */
template<typename Count>
static int addTo(Count &counter, int number)
{
    const int added = std::min(number, static_cast<int>(std::numeric_limits<Count>::max()) - static_cast<int>(counter));
    counter = static_cast<Count>(counter + added);
    return added;
}

template<typename Count, std::size_t Size>
static int sumOf(const std::array<Count, Size> &counters)
{
    return std::accumulate(counters.begin(), counters.end(), 0);
}

void RetryBudget::advance(Core::Instant now)
{
    const auto target = this->sliceNumberAt(now);
    if (target - this->current > RequestSlices) {
        // Nothing that was counted is in a window any more.
        this->requests = {};
        this->repeats = {};
        this->requested = {};
        this->exhausted = {};
        this->current = target;
    }
    for (; this->current < target; ++this->current) {
        ringSlot(this->requests, this->current + 1) = 0;
        ringSlot(this->repeats, this->current + 1 + LoanSlices) = 0;
        for (auto *counters : {&this->requested, &this->exhausted}) {
            std::rotate(counters->rbegin(), counters->rbegin() + 1, counters->rend());
            counters->front() = 0;
        }
    }
}

double RetryBudget::requestsIn(std::int64_t slice) const
{
    const bool isHeld = slice >= 0 && slice <= this->current && slice > this->current - RequestSlices;
    return isHeld ? this->requests[static_cast<std::size_t>(slice % RequestSlices)] : 0.0;
}

double RetryBudget::repeatsIn(std::int64_t slice) const
{
    const bool isHeld = slice >= 0 && slice <= this->current + LoanSlices && slice > this->current + LoanSlices - RepeatSlices;
    return isHeld ? this->repeats[static_cast<std::size_t>(slice % RepeatSlices)] : 0.0;
}

RetryBudget::SliceSums RetryBudget::sumsAt(std::int64_t slice) const
{
    const auto first = slice - SlicesInWindow;
    SliceSums sums{.repeats = this->repeatsIn(first)};
    for (std::int64_t number = 1; number <= SlicesInWindow + LoanSlices; ++number) {
        sums.requests += this->requestsIn(first + number);
        sums.repeats += this->repeatsIn(first + number);
        sums.requestsBefore += number < SlicesInWindow ? this->requestsIn(first - number) : 0.0;
    }
    return sums;
}

void RetryBudget::recordRequest(Core::Instant now)
{
    this->advance(now);
    (void)addTo(ringSlot(this->requests, this->current), 1);
}

// ---- Limit

// Looks at the windows that end now and whole slices later, until the last repeat has left. What will be received later is unknown and counts as nothing. Of
// the slices in which a window begins and ends, the requests count by the part that lies in the window, and the repeats as a whole.
double RetryBudget::headroomWith(SliceSums sums, Core::Instant now, double slackShare) const
{
    const auto slice = this->sliceNumberAt(now);
    const double elapsed = static_cast<double>((now.sinceStart() % this->sliceLength()).count()) / static_cast<double>(this->sliceLength().count());
    const double slack = now < this->options.slackFrom + this->loanValidity() ? 0.0 : this->options.slack * slackShare;
    double headroom = std::numeric_limits<double>::max();
    for (auto first = slice - SlicesInWindow; first <= slice + LoanSlices; ++first) {
        // The current slice has been received before now, so that a window that begins now contains nothing of it.
        const double elapsedOfFirst = first < slice ? elapsed : 1.0;
        const double boundary = this->requestsIn(first);
        const double requests = sums.requests + (1.0 - elapsedOfFirst) * boundary;
        const double requestsBefore = sums.requestsBefore + elapsedOfFirst * boundary + (1.0 - elapsed) * this->requestsIn(first - SlicesInWindow);
        const double allowed = this->options.ratio * (requests + requestsBefore) / 2.0 + slack;
        headroom = std::min(headroom, this->options.usedShare * allowed - sums.repeats);
        sums.requests -= this->requestsIn(first + 1);
        sums.requestsBefore += boundary - this->requestsIn(first - SlicesInWindow + 1);
        sums.repeats -= this->repeatsIn(first);
    }
    return headroom;
}

double RetryBudget::headroomAt(Core::Instant now, double slackShare) const
{
    return this->headroomWith(this->sumsAt(this->sliceNumberAt(now)), now, slackShare);
}

double RetryBudget::borrowedAt(Core::Instant now) const
{
    double borrowed = 0.0;
    for (const auto &loan : this->loans) {
        borrowed += now < loan.validUntil ? loan.count : 0;
    }
    return borrowed;
}

double RetryBudget::thresholdFor(double repeatsInWindow, double limit) const
{
    const double unranked = this->options.unrankedShare * limit;
    if (repeatsInWindow <= unranked) {
        return 0.0;
    }
    return std::min(HighestRepeatValue, (repeatsInWindow - unranked) / (limit - unranked));
}

BudgetUse RetryBudget::useAt(Core::Instant now, double slackShare) const
{
    const auto sums = this->sumsAt(this->sliceNumberAt(now));
    const double borrowed = this->borrowedAt(now);
    const double limit = sums.repeats + std::max(0.0, this->headroomWith(sums, now, slackShare)) + borrowed;
    return {.repeats = sums.repeats, .requests = sums.requests, .limit = limit, .borrowed = borrowed, .threshold = this->thresholdFor(sums.repeats, limit)};
}

// ---- Repeats

bool RetryBudget::consumeRetry(Core::Instant now, double slackShare, double value)
{
    if (value <= 0.0) {
        return false;
    }
    this->advance(now);
    (void)addTo(this->requested.front(), 1);
    const auto use = this->useAt(now, slackShare);
    this->isShort = use.limit - use.repeats < sumOf(this->requested);
    if (use.repeats + 1.0 > use.limit) {
        (void)addTo(this->exhausted.front(), 1);
        return false;
    }
    if (value < use.threshold) {
        return false;
    }
    return this->consumeLoan(now) || addTo(ringSlot(this->repeats, this->current), 1) == 1;
}

bool RetryBudget::consumeLoan(Core::Instant now)
{
    std::erase_if(this->loans, [now](const Loan &loan) {
        return loan.count == 0 || now >= loan.validUntil;
    });
    if (this->loans.empty()) {
        return false;
    }
    --this->loans.front().count;
    return true;
}

int RetryBudget::lend(Core::Instant now, double slackShare, int wanted)
{
    this->advance(now);
    const bool wasExhausted = sumOf(this->exhausted) > 0;
    const auto lendable = static_cast<int>(std::max(0.0, LendableShare * this->headroomAt(now, slackShare)));
    return wasExhausted ? 0 : addTo(ringSlot(this->repeats, this->current + LoanSlices), std::clamp(wanted, 0, lendable));
}

// A loan is counted in the last of the slices in which it may be consumed.
Core::Duration RetryBudget::loanValidity() const
{
    return LoanSlices * this->sliceLength();
}

void RetryBudget::addLoan(int count, Core::Instant validUntil)
{
    if (count > 0) {
        this->loans.push_back({.count = count, .validUntil = validUntil});
    }
}

bool RetryBudget::wasShort() const
{
    return this->isShort;
}

int RetryBudget::shortage(Core::Instant now, double slackShare) const
{
    // As many as in the last slices are expected within the validity of a loan.
    const bool isCurrent = this->current == this->sliceNumberAt(now);
    const double expected = isCurrent ? sumOf(this->requested) : 0.0;
    const double available = std::max(0.0, this->headroomAt(now, slackShare)) + this->borrowedAt(now);
    return static_cast<int>(std::max(0.0, std::ceil(expected - available)));
}

}
