/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Support/FakeControlCluster.h>

namespace TestSupport
{

static constexpr Core::Duration TimeStep = Core::milliseconds(5);

FakeControlCluster::FakeControlCluster(std::size_t count, std::uint64_t seed, Control::ControlNodeOptions baseOptions)
    : random(seed), base(std::move(baseOptions))
{
    for (std::size_t index = 0; index < count; ++index) {
        this->slots.push_back(std::make_unique<Slot>());
        this->slots.back()->timers = std::make_unique<Core::TimerService>(this->time.clock());
        static_cast<void>(this->restart(index));
    }
}

std::string FakeControlCluster::addressOf(std::size_t index)
{
    return "10.0.0." + std::to_string(index + 1) + ":1000";
}

Core::Result<void> FakeControlCluster::restart(std::size_t index)
{
    auto &slot = *this->slots[index];
    Control::ControlNodeOptions options = this->base;
    options.log.identity.name = "control-" + std::to_string(index);
    options.log.identity.peerAddress = addressOf(index);
    options.log.identity.entryAddress = addressOf(index);
    options.log.identity.operatorAddress = addressOf(index);
    options.log.seed = this->random();
    options.send = [this, index](const Protocol::Member &receiver, const Protocol::LogMessage &message) {
        this->send(index, receiver.peerAddress, message);
    };
    auto node = Control::ControlNode::create(std::move(options), slot.folder, *slot.timers, this->time.clock());
    if (!node.has_value()) {
        return tl::make_unexpected(node.error());
    }
    slot.node = std::move(node.value());
    slot.paused = false;
    return {};
}

void FakeControlCluster::bootstrap(std::size_t initialMembers)
{
    Protocol::Membership membership;
    for (std::size_t index = 0; index < initialMembers; ++index) {
        membership.members.push_back(this->node(index)->log().identity());
        membership.members.back().voter = true;
    }
    for (std::size_t index = 0; index < initialMembers; ++index) {
        static_cast<void>(this->node(index)->bootstrap(membership));
    }
}

Control::ControlNode *FakeControlCluster::node(std::size_t index)
{
    return this->slots[index]->node.get();
}

FakeFolder &FakeControlCluster::folder(std::size_t index)
{
    return this->slots[index]->folder;
}

std::size_t FakeControlCluster::count() const
{
    return this->slots.size();
}

bool FakeControlCluster::chance(double percent)
{
    return std::uniform_real_distribution<double>(0.0, 100.0)(this->random) < percent;
}

void FakeControlCluster::send(std::size_t from, const std::string &address, const Protocol::LogMessage &message)
{
    for (std::size_t to = 0; to < this->slots.size(); ++to) {
        if (addressOf(to) != address || this->chance(this->faults.lossPercent) || this->blockedLinks.contains({from, to})) {
            continue;
        }
        const int copies = this->chance(this->faults.duplicatePercent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = Core::Duration(static_cast<Core::Duration::rep>(this->random() % static_cast<std::uint64_t>(this->faults.longestDelay.count())));
            this->packets.push_back(Packet{.due = this->time.now() + delay, .from = from, .to = to, .message = message});
        }
    }
}

void FakeControlCluster::deliverDue()
{
    std::deque<Packet> later;
    for (auto &packet : std::exchange(this->packets, {})) {
        auto &slot = *this->slots[packet.to];
        if (packet.due > this->time.now() || slot.paused) {
            later.push_back(std::move(packet));
        } else if (slot.node && !this->blockedLinks.contains({packet.from, packet.to})) {
            slot.node->receive({packet.message});
        }
    }
    this->packets.insert(this->packets.begin(), std::make_move_iterator(later.begin()), std::make_move_iterator(later.end()));
}

void FakeControlCluster::run(Core::Duration duration)
{
    const Core::Instant end = this->time.now() + duration;
    while (this->time.now() < end) {
        this->time.advance(TimeStep);
        this->deliverDue();
        for (auto &slot : this->slots) {
            if (slot->node && !slot->paused) {
                slot->timers->runDue();
            }
        }
    }
}

std::optional<std::size_t> FakeControlCluster::awaitLeader(Core::Duration limit)
{
    const Core::Instant end = this->time.now() + limit;
    while (this->time.now() < end) {
        this->run(Core::milliseconds(20));
        for (std::size_t index = 0; index < this->slots.size(); ++index) {
            auto *candidate = this->node(index);
            if (candidate == nullptr || this->isPaused(index) || candidate->log().role() != Consensus::Role::Leader) {
                continue;
            }
            bool confirmed = false;
            candidate->show(0, [&confirmed](const Protocol::ShowReply &reply) {
                confirmed = reply.confirmed;
            });
            this->run(Core::milliseconds(100));
            if (confirmed) {
                return index;
            }
        }
    }
    return std::nullopt;
}

void FakeControlCluster::crash(std::size_t index)
{
    auto &slot = *this->slots[index];
    slot.node.reset();
    slot.paused = false;
    slot.folder.crash(this->random);
    slot.folder.failNever();
}

void FakeControlCluster::pause(std::size_t index)
{
    this->slots[index]->paused = true;
}

void FakeControlCluster::resume(std::size_t index)
{
    this->slots[index]->paused = false;
}

bool FakeControlCluster::isPaused(std::size_t index) const
{
    return this->slots[index]->paused;
}

void FakeControlCluster::partition(const std::set<std::size_t> &side)
{
    for (std::size_t from = 0; from < this->slots.size(); ++from) {
        for (std::size_t to = 0; to < this->slots.size(); ++to) {
            if (side.contains(from) != side.contains(to)) {
                this->blockedLinks.insert({from, to});
            }
        }
    }
}

void FakeControlCluster::cutOneWay(std::size_t from, std::size_t to)
{
    this->blockedLinks.insert({from, to});
}

void FakeControlCluster::heal()
{
    this->blockedLinks.clear();
}

}
