/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Decides at the door whether a request can still be answered within its
// deadline, so that one which can't is refused at once and costs nobody anything.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Entry
{

/** What is known of a service when a request arrives. */
struct AdmissionView {
    /** Requests that the service's replicas can work on at once for this instance. */
    double parallelRequests{1.0};
    /** How long one request takes when nothing waits. */
    Core::Duration typicalLatency{0};
    Core::Duration deadline{0};
    std::int32_t priority{0};
};

/** Counts requests under way and estimates waits. */
class Admission
{
public:
    /** The share of the deadline that waiting may take up. */
    static constexpr double WaitingShare = 0.3;

    /** Nothing when the request may come in; otherwise how long to stay away. */
    [[nodiscard]] std::optional<std::chrono::seconds> refuse(const Core::ServiceName &service, const AdmissionView &view) const;

    void entered(const Core::ServiceName &service, std::int32_t priority);
    void left(const Core::ServiceName &service, std::int32_t priority);

    [[nodiscard]] std::size_t underWay(const Core::ServiceName &service) const;

private:
    // Requests under way by priority; 0 is the most urgent.
    using ByPriority = std::map<std::int32_t, std::size_t>;

    std::map<Core::ServiceName, ByPriority> services;
};

}
