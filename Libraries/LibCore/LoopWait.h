/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Measures how long an event loop waits for events. A process that is limited to a
// fraction of a core is busy long before it uses a whole one, so its processor time does
// not show how much of its capacity is left; the time that its loop spends waiting does.

#pragma once

#include <LibCore/Time.h>

#include <glib.h>

namespace Core
{

/**
 * Counts the time that the loop of one context waits in poll(2). It reads the clock twice for each wait, which is no system call, and does nothing for polls
 * that do not wait. At most one object may exist in a thread, and it is used in the thread of the loop only.
 */
class LoopWait
{
public:
    /** A null pointer stands for the default context. The context must outlive this object. */
    explicit LoopWait(GMainContext *context);
    ~LoopWait();
    LoopWait(const LoopWait &) = delete;
    LoopWait &operator=(const LoopWait &) = delete;

    /** Returns the time that the loop has waited since the object was created, without a wait in progress. */
    [[nodiscard]] Duration total() const;

private:
    static gint poll(GPollFD *descriptors, guint count, gint timeout);

    // GLib passes no user data to the function, so the total is kept for each thread.
    static thread_local Duration waited;

    GMainContext *context;
};

}
