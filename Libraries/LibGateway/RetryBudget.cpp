/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RetryBudget.h>

namespace Gateway
{

RetryBudget::RetryBudget(RetryBudgetOptions options) : options(options)
{
}

RetryBudget::Slice &RetryBudget::sliceAt(Core::Instant now)
{
    const std::int64_t number = now.sinceStart() / (this->options.window / SlicesInWindow);
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

bool RetryBudget::consumeRetry(Core::Instant now, double slackShare)
{
    auto &current = this->sliceAt(now);
    double requests = 0.0;
    double repeats = 0.0;
    for (const auto &slice : this->slices) {
        if (slice.number > current.number - SliceCount) {
            requests += slice.requests;
            repeats += slice.repeats;
        }
    }
    const double slack = now < this->options.slackFrom ? 0.0 : this->options.slack * slackShare;
    const double allowed = this->options.ratio * requests + slack;
    if (repeats + 1.0 > this->options.usedShare * allowed) {
        return false;
    }
    ++current.repeats;
    return true;
}

}
