/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Control instances on fake disks and a fake network, all driven by one manual
// clock: messages are lost, doubled, delayed and cut off; instances crash, stop
// for a while, and lose their disks.

#pragma once

#include <LibControl/ControlNode.h>
#include <Support/FakeFolder.h>
#include <Support/ManualTime.h>

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace TestSupport
{

/** How bad the network is. */
struct NetworkFaults {
    double lossPercent{0.0};
    double duplicatePercent{0.0};
    Core::Duration longestDelay{Core::milliseconds(5)};
};

/** A few control instances in one process. */
class FakeControlCluster
{
public:
    FakeControlCluster(std::size_t count, std::uint64_t seed, Control::ControlNodeOptions base = {});

    /** Founds the log on the first `initialMembers` instances. */
    void bootstrap(std::size_t initialMembers);

    /** Moves the time on in small steps. */
    void run(Core::Duration duration);

    /** Runs until some instance leads and has committed in its term. Returns its index, or nothing after `limit`. */
    std::optional<std::size_t> awaitLeader(Core::Duration limit = Core::seconds(20));

    /** The instance, or nullptr while it is down. */
    [[nodiscard]] Control::ControlNode *node(std::size_t index);
    [[nodiscard]] FakeFolder &folder(std::size_t index);
    [[nodiscard]] std::size_t count() const;

    void crash(std::size_t index);
    /** Starts an instance that is down. Fails when its storage refuses. */
    [[nodiscard]] Core::Result<void> restart(std::size_t index);
    /** The instance does nothing until resumed; what was sent to it waits. */
    void pause(std::size_t index);
    void resume(std::size_t index);
    [[nodiscard]] bool isPaused(std::size_t index) const;
    /** Instances on different sides do not hear each other. */
    void partition(const std::set<std::size_t> &oneSide);
    void cutOneWay(std::size_t from, std::size_t to);
    void heal();

    NetworkFaults faults;
    ManualTime time;
    std::mt19937_64 random;

private:
    struct Slot {
        std::unique_ptr<Core::TimerService> timers;
        FakeFolder folder;
        std::unique_ptr<Control::ControlNode> node;
        bool paused{false};
    };
    struct Packet {
        Core::Instant due;
        std::size_t from{0};
        std::size_t to{0};
        Protocol::LogMessage message;
    };

    void send(std::size_t from, const std::string &address, const Protocol::LogMessage &message);
    void deliverDue();
    [[nodiscard]] bool chance(double percent);
    [[nodiscard]] static std::string addressOf(std::size_t index);

    Control::ControlNodeOptions base;
    std::vector<std::unique_ptr<Slot>> slots;
    std::deque<Packet> packets;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
};

}
