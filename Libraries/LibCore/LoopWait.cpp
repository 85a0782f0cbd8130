/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/LoopWait.h>

namespace Core
{

thread_local Duration LoopWait::waited{0};

LoopWait::LoopWait(GMainContext *context) : context(context)
{
    LoopWait::waited = Duration(0);
    g_main_context_set_poll_func(this->context, LoopWait::poll);
}

LoopWait::~LoopWait()
{
    g_main_context_set_poll_func(this->context, nullptr);
}

Duration LoopWait::total() const
{
    return LoopWait::waited;
}

gint LoopWait::poll(GPollFD *descriptors, guint count, gint timeout)
{
    if (timeout == 0) {
        return g_poll(descriptors, count, timeout);
    }
    const auto from = g_get_monotonic_time();
    const auto ready = g_poll(descriptors, count, timeout);
    LoopWait::waited += Duration(g_get_monotonic_time() - from);
    return ready;
}

}
