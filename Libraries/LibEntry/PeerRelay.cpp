/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/PeerRelay.h>

#include <LibEntry/Announcement.h>

namespace Entry
{

static constexpr Core::Duration CallTimeout = Core::milliseconds(1000);
static constexpr std::size_t MaximumWaitingCalls = 8;

using Client = Protocol::EntryPeerCobClient;

PeerRelay::PeerRelay(PeerRelayOptions options, BackendTable &table, Filter filter, Core::TimerService &timers)
    : options(std::move(options))
    , table(table)
    , filter(std::move(filter))
    , timers(timers)
    , roundTimer(timers.every(this->options.period,
          [this](Core::Instant) {
              this->sendRound();
          }))
    , antiEntropyTimer(timers.every(this->options.antiEntropyPeriod, [this](Core::Instant) {
        if (this->openSince.has_value()) {
            this->askForAll();
        }
    }))
{
    for (const auto &peer : this->options.peers) {
        this->channels.push_back(Rpc::RpcChannel::create({.endpoint = peer, .callTimeout = CallTimeout, .limits = {}}, timers));
    }
}

bool PeerRelay::isWarm() const
{
    // Within one lease every backend server that lives has announced itself to somebody who passed it on.
    const bool waitedOut = this->openSince.has_value() && this->timers.now() - this->openSince.value() >= this->table.tableOptions().lease;
    return this->heardCompleteTable || waitedOut;
}

const PeerRelayCounters &PeerRelay::counters() const
{
    return this->counts;
}

std::uint64_t PeerRelay::bytesMoved() const
{
    std::uint64_t bytes = 0;
    for (const auto &channel : this->channels) {
        bytes += channel->bytesMoved();
    }
    return bytes;
}

void PeerRelay::noteDirect(const Protocol::Announcement &announcement)
{
    const std::pair name(announcement.serviceName, announcement.replicaName);
    this->fresh[name] = Fresh{.announcement = announcement, .receivedAt = this->timers.now()};
}

static Protocol::RelayedAnnouncement makeRelayed(const Protocol::Announcement &announcement, Core::Duration age)
{
    Protocol::RelayedAnnouncement relayed;
    relayed.announcement = announcement;
    relayed.ageMilliseconds = static_cast<std::int32_t>(Core::toMilliseconds(age));
    return relayed;
}

void PeerRelay::sendRound()
{
    if (this->fresh.empty()) {
        return;
    }
    const Core::Instant now = this->timers.now();
    Protocol::RelayRequest request;
    request.entryName = this->options.name.value();
    for (const auto &[name, item] : std::exchange(this->fresh, {})) {
        request.announcements.push_back(makeRelayed(item.announcement, now - item.receivedAt));
    }
    for (const auto &channel : this->channels) {
        if (channel->waitingCalls() < MaximumWaitingCalls) {
            this->sendTo(channel, request);
        }
    }
}

void PeerRelay::askForAll()
{
    if (!this->openSince.has_value()) {
        this->openSince = this->timers.now();
    }
    if (this->channels.empty()) {
        return;
    }
    Protocol::RelayRequest request;
    request.entryName = this->options.name.value();
    request.wantsAll = true;
    this->sendTo(this->channels[this->nextPeer++ % this->channels.size()], request);
}

void PeerRelay::sendTo(const std::shared_ptr<Rpc::RpcChannel> &channel, const Protocol::RelayRequest &request)
{
    ++this->counts.sent;
    const std::weak_ptr<int> stillAlive = this->alive;
    Rpc::call<Client, Protocol::RelayReply>(
        channel,
        [&request](Client &client, const std::function<void(Client *)> &callback) {
            client.relay(callback, request);
        },
        [](Client &client, Protocol::RelayReply &reply) {
            client.recv_relay(reply);
        },
        [this, stillAlive](const Core::Result<Protocol::RelayReply> &reply) {
            if (stillAlive.expired()) {
                return;
            }
            if (reply.has_value()) {
                this->take(reply->announcements);
                this->heardCompleteTable = this->heardCompleteTable || reply->complete;
            } else {
                ++this->counts.failed;
            }
        });
}

void PeerRelay::take(const std::vector<Protocol::RelayedAnnouncement> &announcements)
{
    const Core::Instant now = this->timers.now();
    for (const auto &relayed : announcements) {
        ++this->counts.received;
        if (checkAnnouncement(relayed.announcement).has_value() && this->filter(relayed.announcement)) {
            const auto age = Core::milliseconds(std::max(0, relayed.ageMilliseconds));
            this->table.announce(relayed.announcement, age, now);
        }
    }
}

std::vector<Protocol::RelayedAnnouncement> PeerRelay::wholeTable() const
{
    const Core::Instant now = this->timers.now();
    std::vector<Protocol::RelayedAnnouncement> all;
    for (const auto &backend : this->table.rows()) {
        // The latest health counts, a direct reply as much as an announcement. What has run out here would run out there at once.
        const auto lease = this->table.tableOptions().lease;
        const Core::Duration age = now - (backend.leaseEnd - lease);
        if (age >= lease) {
            continue;
        }
        all.push_back(makeRelayed(backend.announcement, age));
        if (backend.announcement.incarnation <= backend.leavingIncarnation) {
            all.back().announcement.state = Protocol::BackendState::DRAINING;
        }
    }
    return all;
}

Protocol::RelayReply PeerRelay::receive(const Protocol::RelayRequest &request)
{
    this->take(request.announcements);
    Protocol::RelayReply reply;
    if (request.wantsAll) {
        reply.announcements = this->wholeTable();
        reply.complete = this->isWarm();
    }
    return reply;
}

EntryPeerHandler::EntryPeerHandler(PeerRelay &peerRelay) : peerRelay(peerRelay)
{
}

void EntryPeerHandler::relay(std::function<void(Protocol::RelayReply const &)> callback, const Protocol::RelayRequest &request)
{
    callback(this->peerRelay.receive(request));
}

}
