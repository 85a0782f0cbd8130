/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Simulates a cluster of control instances in one process, with simulated disks, a simulated network and one manual clock.
// Messages can be lost, duplicated, delayed or blocked by a partition; instances can crash, pause or lose their disks.

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

/** Faults of the simulated network. */
struct NetworkFaults {
    double lossPercent{0.0};
    double duplicatePercent{0.0};
    Core::Duration longestDelay{Core::milliseconds(5)};
};

/** Control instances with their disks and the network between them; all chance comes from one seed. */
class FakeControlCluster
{
public:
    FakeControlCluster(std::size_t count, std::uint64_t seed, Control::ControlNodeOptions base = {});

    /** Bootstraps the log with the first `initialMembers` instances as its initial members. */
    void bootstrap(std::size_t initialMembers);

    /** Advances the time in steps of 5 ms, delivering due messages and running due timers in each step. */
    void run(Core::Duration duration);

    /** Runs until an instance is the leader and has committed an entry in its term. Returns its index, or nothing if there is none within `limit`. */
    std::optional<std::size_t> awaitLeader(Core::Duration limit = Core::seconds(20));

    /** The instance, or nullptr while it is stopped by crash(). */
    [[nodiscard]] Control::ControlNode *node(std::size_t index);
    [[nodiscard]] FakeFolder &folder(std::size_t index);
    [[nodiscard]] std::size_t count() const;

    /** Stops an instance at once; data that was not synced may be lost (FakeFolder::crash()). */
    void crash(std::size_t index);
    /** Starts a crashed instance from its folder. Fails if the storage cannot be opened. */
    [[nodiscard]] Core::Result<void> restart(std::size_t index);
    /** Halts an instance until resume(); messages to it are queued. */
    void pause(std::size_t index);
    void resume(std::size_t index);
    [[nodiscard]] bool isPaused(std::size_t index) const;
    /** Drops all messages between the instances in `side` and the other instances, until heal(). */
    void partition(const std::set<std::size_t> &side);
    /** Drops the messages of one direction until heal(). */
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
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
};

}
