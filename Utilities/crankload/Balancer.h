/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Stands in for the platform's balancer: knows which entry instances are ready
// and hands them out in turn.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibHttp/HttpClient.h>

#include <optional>
#include <vector>

namespace Load
{

/** An entry instance as the balancer knows it. */
struct BalancerTarget {
    Core::Endpoint caller;
    Core::Endpoint administration;
    bool ready{false};
};

/** Asks /readyz again and again. */
class Balancer
{
public:
    Balancer(std::vector<BalancerTarget> targets, Http::HttpClient &http, Core::TimerService &timers);

    /** The next ready instance; without any, the next one at all. */
    [[nodiscard]] Core::Endpoint next();

    [[nodiscard]] std::size_t readyCount() const;

private:
    void check();

    std::vector<BalancerTarget> targets;
    Http::HttpClient &http;
    std::size_t turn{0};
    Core::TimerSubscription timer;
};

}
