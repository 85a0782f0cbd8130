/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Runs a TimerService from the GLib main loop with a single GSource.

#pragma once

#include <LibCore/TimerService.h>

#include <functional>
#include <glib.h>

namespace Core
{

/** Owns the GSource. The service must outlive this object. */
class LoopTimer
{
public:
    LoopTimer(TimerService &service, GMainContext *context);
    ~LoopTimer();
    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;

    /** Called before timers that are late, as after a pause of the process. Input that has arrived by then has to count before timeouts do. */
    std::function<void()> handleArrived;

private:
    static gboolean dispatch(GSource *source, GSourceFunc callback, gpointer data);
    void arm();

    TimerService &service;
    GSource *source{nullptr};
};

}
