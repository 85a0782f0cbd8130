/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Checks invariants. A broken invariant is the only kind of failure that aborts the
// process.

#pragma once

namespace Core
{

/** Logs the invariant and aborts the process when the invariant does not hold. */
void verify(bool holds, const char *invariant);

}
