/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/LoopTimer.h>

namespace Core
{

// Timers that are late by less run first: their sockets can't have been kept waiting for longer either.
static constexpr Duration ToleratedLateness = milliseconds(10);

namespace
{
// A GSource with a pointer to its owner. GLib allocates the source, so the pointer has to be stored in the source itself.
struct TimerSource {
    GSource base;
    LoopTimer *owner;
    TimerService *service;
};
}

gboolean LoopTimer::dispatch(GSource *source, GSourceFunc, gpointer)
{
    auto *timerSource = reinterpret_cast<TimerSource *>(source);
    const auto due = timerSource->service->nextDue();
    const bool isLate = due.has_value() && timerSource->service->now() - due.value() >= ToleratedLateness;
    if (isLate && timerSource->owner->handleArrived) {
        timerSource->owner->handleArrived();
    }
    timerSource->service->runDue();
    timerSource->owner->arm();
    return G_SOURCE_CONTINUE;
}

LoopTimer::LoopTimer(TimerService &service, GMainContext *context) : service(service)
{
    static GSourceFuncs functions{
        .prepare = nullptr, .check = nullptr, .dispatch = dispatch, .finalize = nullptr, .closure_callback = nullptr, .closure_marshal = nullptr};
    this->source = g_source_new(&functions, sizeof(TimerSource));
    auto *timerSource = reinterpret_cast<TimerSource *>(this->source);
    timerSource->owner = this;
    timerSource->service = &service;
    g_source_attach(this->source, context);
    service.scheduleChanged = [this] {
        this->arm();
    };
    this->arm();
}

LoopTimer::~LoopTimer()
{
    this->service.scheduleChanged = nullptr;
    g_source_destroy(this->source);
    g_source_unref(this->source);
}

void LoopTimer::arm()
{
    const auto due = this->service.nextDue();
    if (!due.has_value()) {
        g_source_set_ready_time(this->source, -1);
        return;
    }
    const Duration wait = std::max(Duration(0), due.value() - this->service.now());
    g_source_set_ready_time(this->source, g_get_monotonic_time() + wait.count());
}

}
