/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Invariant.h>

#include <LibCore/Log.h>

#include <cstdlib>

namespace Core
{

void verify(bool holds, const char *invariant)
{
    if (holds) {
        return;
    }
    logEvent(LogLevel::Error, "invariant.broken", {{"invariant", invariant}});
    std::abort();
}

}
