/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/EventPoll.h>

#include <LibCore/Invariant.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace Core
{

// Maximum number of events that one system call fetches; further events are fetched in the next iteration of the loop.
static constexpr int EventsPerBatch = 128;

Result<std::unique_ptr<EventPoll>> EventPoll::create(GMainContext *context)
{
    const int descriptor = epoll_create1(EPOLL_CLOEXEC);
    if (descriptor < 0) {
        return failure(ErrorKind::LimitReached, std::string("epoll_create1: ") + std::strerror(errno));
    }
    return std::unique_ptr<EventPoll>(new EventPoll(descriptor, context));
}

EventPoll::EventPoll(int descriptor, GMainContext *context) : descriptor(descriptor), source(g_unix_fd_source_new(descriptor, G_IO_IN))
{
    // NOTE: GLib calls the function with the signature of GUnixFDSourceFunc, although g_source_set_callback() takes a GSourceFunc.
    g_source_set_callback(this->source, reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(ready)), this, nullptr);
    g_source_attach(this->source, context);
}

EventPoll::~EventPoll()
{
    g_source_destroy(this->source);
    g_source_unref(this->source);
    close(this->descriptor);
}

void EventPoll::add(int watched, std::uint32_t events, std::shared_ptr<EventHandler> handler)
{
    const auto index = static_cast<std::size_t>(watched);
    if (index >= this->handlers.size()) {
        this->handlers.resize(index + 1);
    }
    this->handlers[index] = std::move(handler);
    epoll_event event{};
    event.events = events;
    event.data.fd = watched;
    verify(epoll_ctl(this->descriptor, EPOLL_CTL_ADD, watched, &event) == 0, "a new descriptor can be watched");
}

void EventPoll::modify(int watched, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = watched;
    verify(epoll_ctl(this->descriptor, EPOLL_CTL_MOD, watched, &event) == 0, "a watched descriptor can be changed");
}

void EventPoll::remove(int watched)
{
    epoll_ctl(this->descriptor, EPOLL_CTL_DEL, watched, nullptr);
    this->handlers[static_cast<std::size_t>(watched)].reset();
}

gboolean EventPoll::ready(gint, GIOCondition, gpointer data)
{
    static_cast<EventPoll *>(data)->dispatch();
    return G_SOURCE_CONTINUE;
}

void EventPoll::dispatch()
{
    std::array<epoll_event, EventsPerBatch> events{};
    const int count = epoll_wait(this->descriptor, events.data(), EventsPerBatch, 0);
    // All handlers are looked up before the first one is called. A handler that another one removes, or whose descriptor number is reused by another
    // one, must not receive an event from before that change.
    std::array<std::shared_ptr<EventHandler>, EventsPerBatch> batchHandlers;
    for (int index = 0; index < count; ++index) {
        batchHandlers[static_cast<std::size_t>(index)] = this->handlers[static_cast<std::size_t>(events[static_cast<std::size_t>(index)].data.fd)];
    }
    for (int index = 0; index < count; ++index) {
        const auto position = static_cast<std::size_t>(index);
        const auto &owner = batchHandlers[position];
        if (owner && this->handlers[static_cast<std::size_t>(events[position].data.fd)] == owner) {
            owner->handleEvents(events[position].events);
        }
    }
    if (this->batchDone) {
        this->batchDone();
    }
}

}
