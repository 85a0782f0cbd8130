/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/Admission.h>

#include <algorithm>
#include <cmath>

namespace Entry
{

static constexpr std::chrono::seconds MinimumRetryAfter{1};
static constexpr std::chrono::seconds MaximumRetryAfter{30};

std::optional<std::chrono::seconds> Admission::refuse(const Core::ServiceName &service, const AdmissionView &view) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    // Only requests of the same or a more urgent priority are served first, so the others do not count into the wait.
    std::size_t ahead = 0;
    for (const auto &[priority, count] : found->second) {
        ahead += priority <= view.priority ? count : 0;
    }
    const double batches = static_cast<double>(ahead) / std::max(1.0, view.parallelRequests);
    const auto latency = static_cast<double>(view.typicalLatency.count());
    const double wait = std::max(0.0, batches - 1.0) * latency;
    const double tolerable = WaitingShare * static_cast<double>(view.deadline.count());
    if (wait <= tolerable) {
        return std::nullopt;
    }
    const std::chrono::seconds untilDrained(static_cast<std::int64_t>(std::ceil((wait - tolerable) / 1'000'000.0)));
    return std::clamp(untilDrained, MinimumRetryAfter, MaximumRetryAfter);
}

void Admission::requestStarted(const Core::ServiceName &service, std::int32_t priority)
{
    ++this->services[service][priority];
}

void Admission::requestFinished(const Core::ServiceName &service, std::int32_t priority)
{
    auto &count = this->services[service][priority];
    if (count > 0) {
        --count;
    }
}

std::size_t Admission::activeCount(const Core::ServiceName &service) const
{
    std::size_t total = 0;
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
        for (const auto &[priority, count] : found->second) {
            total += count;
        }
    }
    return total;
}

}
