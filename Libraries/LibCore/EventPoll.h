/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Reports the readiness of many sockets through one epoll descriptor, which the GLib
// loop watches as a single source. GLib itself would poll every descriptor in each
// iteration of the loop, which is too slow with hundreds of open connections.

#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <functional>
#include <glib.h>
#include <memory>
#include <vector>

namespace Core
{

/** Receives the events of one descriptor. */
class EventHandler
{
public:
    EventHandler() = default;
    EventHandler(const EventHandler &) = delete;
    EventHandler &operator=(const EventHandler &) = delete;
    virtual ~EventHandler() = default;

    /** Called with the events that epoll_wait(2) reports for the descriptor. The handler is kept alive during the call. */
    virtual void handleEvents(std::uint32_t events) = 0;
};

/** Watches descriptors and calls their handlers. Must outlive all watched descriptors. */
class EventPoll
{
public:
    /** Fails with LimitReached when the process has no free descriptor. */
    [[nodiscard]] static Result<std::unique_ptr<EventPoll>> create(GMainContext *context);
    ~EventPoll();
    EventPoll(const EventPoll &) = delete;
    EventPoll &operator=(const EventPoll &) = delete;

    /** Starts to watch a descriptor, and owns its handler until remove(). */
    void add(int descriptor, std::uint32_t events, std::shared_ptr<EventHandler> handler);

    /** Changes the events for which a descriptor is watched. */
    void modify(int descriptor, std::uint32_t events);

    /** Stops watching a descriptor. To be called before it is closed. Events that were already fetched are discarded. */
    void remove(int descriptor);

    /** Calls the handlers of what has happened so far, one batch. To be called from the event loop, outside of any handler. */
    void dispatch();

    /** Called after each batch of events, for work that is done once for many events. */
    std::function<void()> batchDone;

private:
    EventPoll(int descriptor, GMainContext *context);
    static gboolean ready(gint descriptor, GIOCondition condition, gpointer data);

    int descriptor;
    GSource *source{nullptr};
    // Indexed by descriptor; null for a descriptor that is not watched.
    std::vector<std::shared_ptr<EventHandler>> handlers;
};

}
