/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RetryBudget.h>

#include <algorithm>

namespace Gateway
{

RetryBudget::RetryBudget(RetryBudgetOptions options) : options(options)
{
}

std::int64_t RetryBudget::sliceNumberAt(Core::Instant now) const
{
    return now.sinceStart() / (this->options.window / SlicesInWindow);
}

RetryBudget::Slice &RetryBudget::sliceAt(Core::Instant now)
{
    const auto number = this->sliceNumberAt(now);
    auto &slice = this->slices[static_cast<std::size_t>(number % SliceCount)];
    if (slice.number != number) {
        slice = Slice{.number = number, .requests = 0, .repeats = 0};
    }
    return slice;
}

void RetryBudget::recordRequest(Core::Instant now)
{
    ++this->sliceAt(now).requests;
}

double RetryBudget::remainderOfSlice(Core::Instant now) const
{
    const auto length = this->options.window / SlicesInWindow;
    return 1.0 - static_cast<double>((now.sinceStart() % length).count()) / static_cast<double>(length.count());
}

double RetryBudget::thresholdFor(double repeats, double limit) const
{
    const double unranked = this->options.unrankedShare * limit;
    if (repeats <= unranked) {
        return 0.0;
    }
    return std::min(HighestRepeatValue, (repeats - unranked) / (limit - unranked));
}

BudgetUse RetryBudget::useAt(Core::Instant now, double slackShare) const
{
    const auto current = this->sliceNumberAt(now);
    const auto oldest = current - SlicesInWindow;
    double requests = 0.0;
    double repeats = 0.0;
    for (const auto &slice : this->slices) {
        if (slice.number >= oldest) {
            requests += slice.requests * (slice.number == oldest ? this->remainderOfSlice(now) : 1.0);
            repeats += slice.repeats;
        }
    }
    const double slack = now < this->options.slackFrom ? 0.0 : this->options.slack * slackShare;
    const double allowed = this->options.ratio * requests + slack;
    const double limit = this->options.usedShare * allowed;
    return {.repeats = repeats, .requests = requests, .limit = limit, .threshold = this->thresholdFor(repeats, limit)};
}

bool RetryBudget::consumeRetry(Core::Instant now, double slackShare, double value)
{
    const auto use = this->useAt(now, slackShare);
    const bool isExhausted = use.repeats + 1.0 > use.limit;
    if (isExhausted || value <= 0.0 || value < use.threshold) {
        return false;
    }
    ++this->sliceAt(now).repeats;
    return true;
}

}
