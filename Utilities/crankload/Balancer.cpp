/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "Balancer.h"

#include <algorithm>

namespace Load
{

static constexpr Core::Duration CheckPeriod = Core::milliseconds(200);

Balancer::Balancer(std::vector<BalancerTarget> targets, Http::HttpClient &http, Core::TimerService &timers)
    : targets(std::move(targets)), http(http), timer(timers.every(CheckPeriod, [this](Core::Instant) {
        this->check();
    }))
{
    this->check();
}

void Balancer::check()
{
    for (auto &target : this->targets) {
        Http::ClientRequest request;
        request.endpoint = target.administration;
        request.target = "/readyz";
        this->http.send(request, [&target](const Http::ClientResult &result) {
            target.ready = result.status == 200;
        });
    }
}

Core::Endpoint Balancer::next()
{
    for (std::size_t tried = 0; tried < this->targets.size(); ++tried) {
        const auto &target = this->targets[this->nextTarget++ % this->targets.size()];
        if (target.ready) {
            return target.caller;
        }
    }
    return this->targets[this->nextTarget++ % this->targets.size()].caller;
}

std::size_t Balancer::readyCount() const
{
    return static_cast<std::size_t>(std::count_if(this->targets.begin(), this->targets.end(), [](const BalancerTarget &target) {
        return target.ready;
    }));
}

}
