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

/**
 * Finds a free port of the loopback interface. The port is not reserved, so it lies outside of the range from which the system takes ports for outgoing
 * connections (32768 and above), and test programs that run in parallel search in different blocks: otherwise another program binds it first now and then.
 */
[[nodiscard]] inline Core::Endpoint freeEndpoint()
{
    constexpr int FirstPort = 23'000;
    constexpr int PortsInBlock = 32;
    constexpr int Blocks = 300;
    static int used = 0;
    for (int tries = 0; tries < Blocks * PortsInBlock; ++tries) {
        const int port = FirstPort + (static_cast<int>(getpid()) * PortsInBlock + used++) % (Blocks * PortsInBlock);
        const Core::Endpoint endpoint{.address = "127.0.0.1", .port = static_cast<std::uint16_t>(port)};
        if (Wire::Socket::listenOn(endpoint, 1).has_value()) {
            return endpoint;
        }
    }
    return {};
}

}
