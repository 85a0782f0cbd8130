/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Differences between two configurations, so that an entry instance does not receive thousands of services when one has changed.

#pragma once

#include <LibCore/Result.h>
#include <LibProtocol/Generated/control_types.h>

namespace Control
{

/** The delta that turns `before`, the configuration of `fromRevision`, into `after`. */
[[nodiscard]] Protocol::ConfigurationDelta makeDelta(std::int64_t fromRevision, const Protocol::Configuration &before, const Protocol::Configuration &after);

/** Applies a delta to the configuration of its `fromRevision` and returns the new configuration. */
[[nodiscard]] Protocol::Configuration applyDelta(Protocol::Configuration configuration, const Protocol::ConfigurationDelta &delta);

}
