/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A real loop with real sockets on the loopback interface, for tests of what
// goes over the wire. Tests wait for conditions, never for times.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/LoopTimer.h>
#include <LibWire/Server.h>

#include <arpa/inet.h>
#include <functional>
#include <sys/socket.h>
#include <unistd.h>

namespace TestSupport
{

/** A loop that runs while a test waits. */
class LoopFixture
{
public:
    LoopFixture()
        : context(g_main_context_default())
        , timers(Core::systemClock())
        , loopTimer(this->timers, this->context)
        , poll(std::move(Core::EventPoll::create(this->context).value()))
    {
    }

    /** Runs the loop until the condition holds. Returns whether it came to hold before a generous limit. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition)
    {
        bool tooLong = false;
        const auto limit = this->timers.once(Core::seconds(20), [&tooLong](Core::Instant) {
            tooLong = true;
        });
        while (!condition() && !tooLong) {
            g_main_context_iteration(this->context, TRUE);
        }
        return condition();
    }

    /** Lets everything happen that is due, and a while of what follows. */
    void settle(Core::Duration duration = Core::milliseconds(100))
    {
        bool over = false;
        const auto end = this->timers.once(duration, [&over](Core::Instant) {
            over = true;
        });
        while (!over) {
            g_main_context_iteration(this->context, TRUE);
        }
    }

    GMainContext *context;
    Core::TimerService timers;
    Core::LoopTimer loopTimer;
    std::unique_ptr<Core::EventPoll> poll;
};

/** A free port of the loopback interface. */
[[nodiscard]] inline Core::Endpoint freeEndpoint()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    (void)bind(descriptor, reinterpret_cast<sockaddr *>(&address), length);
    (void)getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    close(descriptor);
    return Core::Endpoint{.address = "127.0.0.1", .port = ntohs(address.sin_port)};
}

}
