/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Readiness of many sockets through one epoll descriptor, which the GLib loop
// watches as a single source. GLib itself polls every descriptor anew in each
// iteration, which costs too much with hundreds of open connections.

#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <functional>
#include <glib.h>
#include <memory>
#include <vector>

namespace Core
{

/** Gets the events of one descriptor. */
class EventHandler
{
public:
    EventHandler() = default;
    EventHandler(const EventHandler &) = delete;
    EventHandler &operator=(const EventHandler &) = delete;
    virtual ~EventHandler() = default;

    /** `events` as epoll_wait(2) gives them. The handler is kept alive for the length of the call. */
    virtual void handleEvents(std::uint32_t events) = 0;
};

/** The table of watched descriptors. Has to outlive all of them. */
class EventPoll
{
public:
    /** Fails with LimitReached when the process has no descriptor left. */
    [[nodiscard]] static Result<std::unique_ptr<EventPoll>> create(GMainContext *context);
    ~EventPoll();
    EventPoll(const EventPoll &) = delete;
    EventPoll &operator=(const EventPoll &) = delete;

    /** Watches a descriptor. The handler is owned until remove(). */
    void add(int descriptor, std::uint32_t events, std::shared_ptr<EventHandler> handler);

    /** Changes the events that are wanted. */
    void modify(int descriptor, std::uint32_t events);

    /** To be called before the descriptor is closed. Events that were fetched already are dropped. */
    void remove(int descriptor);

    /** Called after each batch of events, for work that many events share. */
    std::function<void()> batchDone;

private:
    EventPoll(int descriptor, GMainContext *context);
    static gboolean ready(gint descriptor, GIOCondition condition, gpointer data);
    void dispatch();

    int descriptor;
    GSource *source{nullptr};
    // Indexed by descriptor; empty where nothing is watched.
    std::vector<std::shared_ptr<EventHandler>> handlers;
};

}
