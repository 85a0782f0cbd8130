/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/WarmupLimiter.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// The platform counts the requests to a backend server that is warming up in any window of this length.
static constexpr Core::Duration Window = Core::seconds(1);

int computeWarmupShare(const WarmupSharing &sharing)
{
    const int half = sharing.total / 2;
    const int equal = half / std::max(1, sharing.gateways);
    if (equal >= 1) {
        return equal;
    }
    const int sharers = std::min(half, sharing.inZone);
    const bool shares = sharing.rank.has_value() && sharing.rank.value() < sharers;
    return shares ? half / sharers : 0;
}

WarmupLimiter::WarmupLimiter(WarmupOptions options) : options(options)
{
}

int WarmupLimiter::total(double requestsPerSecond) const
{
    return static_cast<int>(std::floor(requestsPerSecond * this->options.overshoot + this->options.slack));
}

bool WarmupLimiter::isWithin(const BackendName &backend, int share, Core::Instant now) const
{
    const auto found = this->sends.find(backend);
    if (found == this->sends.end()) {
        return share > 0;
    }
    const auto inWindow = std::count_if(found->second.begin(), found->second.end(), [now](Core::Instant time) {
        return now - time <= Window;
    });
    return inWindow < share;
}

void WarmupLimiter::recordSend(const BackendName &backend, Core::Instant now)
{
    this->sends[backend].push_back(now);
}

void WarmupLimiter::removeExpired(Core::Instant now)
{
    for (auto &[backend, times] : this->sends) {
        while (!times.empty() && now - times.front() > Window) {
            times.pop_front();
        }
    }
    std::erase_if(this->sends, [](const auto &item) {
        return item.second.empty();
    });
}

}
