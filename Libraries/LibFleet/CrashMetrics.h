/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Metrics of the requests under which backend servers crashed, for gateways and
// coordinators alike.

#pragma once

#include <LibFleet/CrashLedger.h>
#include <LibMetrics/MetricsPage.h>

namespace Fleet
{

/** Adds how many requests are held, suspected and quarantined. */
void addCrashMetrics(Metrics::MetricsPage &page, const CrashLedger &crashes, Core::Instant now);

}
