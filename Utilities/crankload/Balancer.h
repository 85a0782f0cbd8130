/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Simulates the platform's load balancer: selects ready entry instances round-robin.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibHttp/HttpClient.h>

#include <optional>
#include <vector>

namespace Load
{

/** Addresses of an entry instance and whether it answered the latest readiness check. */
struct BalancerTarget {
    Core::Endpoint caller;
    Core::Endpoint administration;
    bool ready{false};
};

/** Checks /readyz of each instance every 200 ms. */
class Balancer
{
public:
    Balancer(std::vector<BalancerTarget> targets, Http::HttpClient &http, Core::TimerService &timers);

    /** The caller address of the next ready instance, or of the next instance of all if none is ready. */
    [[nodiscard]] Core::Endpoint next();

    [[nodiscard]] std::size_t readyCount() const;

private:
    void check();

    std::vector<BalancerTarget> targets;
    Http::HttpClient &http;
    std::size_t nextTarget{0};
    Core::TimerSubscription timer;
};

}
