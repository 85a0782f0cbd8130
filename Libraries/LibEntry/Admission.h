/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Admission control: estimates on arrival whether a request can be answered
// within its deadline, and refuses it at once otherwise, so that it puts no load
// on backend servers.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Entry
{

/** Estimates for a service and limits of a request on its arrival. */
struct AdmissionView {
    /** Requests of this instance that the replicas of the service can process at once. */
    double parallelRequests{1.0};
    /** Latency of a request when none is queued. */
    Core::Duration typicalLatency{0};
    Core::Duration deadline{0};
    std::int32_t priority{0};
};

/** Counts active requests and estimates how long a new one would wait. */
class Admission
{
public:
    /** Maximum share of the deadline that a request may spend waiting. */
    static constexpr double WaitingShare = 0.3;

    /** Returns nothing if the request is admitted, otherwise the time after which the caller should retry. */
    [[nodiscard]] std::optional<std::chrono::seconds> refuse(const Core::ServiceName &service, const AdmissionView &view) const;

    void requestStarted(const Core::ServiceName &service, std::int32_t priority);
    void requestFinished(const Core::ServiceName &service, std::int32_t priority);

    [[nodiscard]] std::size_t activeCount(const Core::ServiceName &service) const;

private:
    // Active requests by priority; 0 is the most urgent.
    using ByPriority = std::map<std::int32_t, std::size_t>;

    std::map<Core::ServiceName, ByPriority> services;
};

}
