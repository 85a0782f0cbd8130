/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The way from one configuration to a later one, so that a follower need not
// receive thousands of services when one has changed.

#pragma once

#include <LibCore/Result.h>
#include <LibProtocol/Generated/control_types.h>

namespace Control
{

/** What turns `before` into `after`. */
[[nodiscard]] Protocol::ConfigurationDelta makeDelta(std::int64_t fromRevision, const Protocol::Configuration &before, const Protocol::Configuration &after);

/** Carries a delta out on the configuration that it starts from. */
[[nodiscard]] Protocol::Configuration applyDelta(Protocol::Configuration configuration, const Protocol::ConfigurationDelta &delta);

}
