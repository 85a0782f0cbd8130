/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/CrashMetrics.h>

namespace Fleet
{

void addCrashMetrics(Metrics::MetricsPage &page, const CrashLedger &crashes, Core::Instant now)
{
    page.gauge("crankrudder_crash_records", "Requests under which backend servers crashed.", static_cast<double>(crashes.size()));
    page.gauge("crankrudder_requests_suspected",
        "Of these, requests that are sent to a single backend server first.",
        static_cast<double>(crashes.countOf(RequestStanding::Suspect, now)));
    page.gauge(
        "crankrudder_requests_quarantined", "Of these, requests that are refused.", static_cast<double>(crashes.countOf(RequestStanding::Quarantined, now)));
}

}
