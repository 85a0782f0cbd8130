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
        // As in the programs: on a busy machine the time of a test may be over before its sockets were handled.
        this->loopTimer.handleArrived = [this] {
            this->poll->dispatch();
        };
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

/** Returns a loopback address that no other process of the tests uses: with one address for all, another test could bind a free port first. */
[[nodiscard]] inline std::string ownLoopbackAddress()
{
    constexpr unsigned FirstNetwork = 64;
    constexpr unsigned Networks = 128;
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(FirstNetwork + (id >> 16U) % Networks) + "." + std::to_string((id >> 8U) & 0xFFU) + "." + std::to_string(id & 0xFFU);
}

/** Returns an endpoint on ownLoopbackAddress() that it has not returned before. */
[[nodiscard]] inline Core::Endpoint freeEndpoint()
{
    // Below the range from which the system takes ports for outgoing connections.
    constexpr int FirstPort = 23'000;
    constexpr int Ports = 9'000;
    static int used = 0;
    return {.address = ownLoopbackAddress(), .port = static_cast<std::uint16_t>(FirstPort + used++ % Ports)};
}

}
