/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The check for broken invariants, the one kind of failure that stops the process.

#pragma once

namespace Core
{

/** Logs the invariant's name and aborts when it does not hold. */
void verify(bool holds, const char *invariant);

}
