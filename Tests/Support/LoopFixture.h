/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Fixture for tests that send data over sockets: an event loop with sockets on the loopback interface. Tests wait for conditions
// rather than for fixed times.

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

/** An event loop that runs only inside runUntil() and settle(). */
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

    /** Runs the loop until `condition` holds, for 20 s at most. Returns whether it holds. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition)
    {
        bool timedOut = false;
        const auto limit = this->timers.once(Core::seconds(20), [&timedOut](Core::Instant) {
            timedOut = true;
        });
        while (!condition() && !timedOut) {
            g_main_context_iteration(this->context, TRUE);
        }
        return condition();
    }

    /** Runs the loop for `duration`, so that due events and those that they cause are handled. */
    void settle(Core::Duration duration = Core::milliseconds(100))
    {
        bool elapsed = false;
        const auto end = this->timers.once(duration, [&elapsed](Core::Instant) {
            elapsed = true;
        });
        while (!elapsed) {
            g_main_context_iteration(this->context, TRUE);
        }
    }

    GMainContext *context;
    Core::TimerService timers;
    Core::LoopTimer loopTimer;
    std::unique_ptr<Core::EventPoll> poll;
};

/** Finds a free port of the loopback interface. The port is not reserved: another program may bind it first. */
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
