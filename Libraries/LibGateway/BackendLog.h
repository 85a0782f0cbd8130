/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Log lines about backend servers and their attempts, and the rows of the state dump.

#pragma once

#include <LibGateway/Backend.h>

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Gateway
{

/** Logs that the answer of an attempt was lost. */
void logBroken(const Attempt &attempt, const std::string &reason, Core::Instant now);

/** Logs that a backend server is avoided from now on. */
void logAvoidance(const Backend &backend, const std::string &reason, Core::Instant now);

/** Logs that the acceptance of a backend server crossed a threshold. `omitted` is the number of changes since the last line that were not logged. */
void logAcceptanceChange(const Backend &backend, const AcceptanceChange &change, std::uint64_t omitted);

/** Logs that the speed of a backend server changed, or that it answered after a pause. `omitted` as for logAcceptanceChange(). */
void logSpeedChange(const Backend &backend, const SpeedChange &change, std::uint64_t omitted);

/** Logs that a backend server is draining or gone as of an announcement, so that it gets no new requests from this gateway. */
void logDeparture(const Backend &backend, const Protocol::BackendAnnouncement &announcement);

/** Returns the row of a backend server in the state dump; times in milliseconds. */
[[nodiscard]] nlohmann::json describeBackend(const Backend &backend, bool isEvacuated, Core::Instant now);

}
