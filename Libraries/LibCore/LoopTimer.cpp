/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/LoopTimer.h>

namespace Core
{

namespace
{
// GLib allocates the source, so the way back to the owner travels inside it.
struct OwnedSource {
    GSource base;
    LoopTimer *owner;
    TimerService *service;
};
}

gboolean LoopTimer::dispatch(GSource *source, GSourceFunc, gpointer)
{
    auto *owned = reinterpret_cast<OwnedSource *>(source);
    owned->service->runDue();
    owned->owner->arm();
    return G_SOURCE_CONTINUE;
}

LoopTimer::LoopTimer(TimerService &service, GMainContext *context) : service(service)
{
    static GSourceFuncs functions{
        .prepare = nullptr, .check = nullptr, .dispatch = dispatch, .finalize = nullptr, .closure_callback = nullptr, .closure_marshal = nullptr};
    this->source = g_source_new(&functions, sizeof(OwnedSource));
    auto *owned = reinterpret_cast<OwnedSource *>(this->source);
    owned->owner = this;
    owned->service = &service;
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
