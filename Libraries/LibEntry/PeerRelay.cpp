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
              this->relayPending();
          }))
    , antiEntropyTimer(timers.every(this->options.antiEntropyPeriod, [this](Core::Instant) {
        if (this->declarationsKnownSince.has_value()) {
            this->requestFullTable();
        }
    }))
{
    for (const auto &peer : this->options.peers) {
        this->channels.push_back(Rpc::RpcChannel::create({.endpoint = peer, .callTimeout = CallTimeout, .limits = {}}, timers));
    }
}

bool PeerRelay::hasCompleteTable() const
{
    // Within one lease every running backend server announces itself to some entry instance, which relays the announcement.
    const bool leaseElapsed
        = this->declarationsKnownSince.has_value() && this->timers.now() - this->declarationsKnownSince.value() >= this->table.tableOptions().lease;
    return this->receivedCompleteTable || leaseElapsed;
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

void PeerRelay::recordDirectAnnouncement(const Protocol::Announcement &announcement)
{
    const std::pair name(announcement.serviceName, announcement.replicaName);
    this->pending[name] = Pending{.announcement = announcement, .receivedAt = this->timers.now()};
}

static Protocol::RelayedAnnouncement makeRelayed(const Protocol::Announcement &announcement, Core::Duration age)
{
    Protocol::RelayedAnnouncement relayed;
    relayed.announcement = announcement;
    relayed.ageMilliseconds = static_cast<std::int32_t>(Core::toMilliseconds(age));
    return relayed;
}

void PeerRelay::relayPending()
{
    if (this->pending.empty()) {
        return;
    }
    const Core::Instant now = this->timers.now();
    Protocol::RelayRequest request;
    request.entryName = this->options.name.value();
    for (const auto &[name, item] : std::exchange(this->pending, {})) {
        request.announcements.push_back(makeRelayed(item.announcement, now - item.receivedAt));
    }
    for (const auto &channel : this->channels) {
        if (channel->waitingCalls() < MaximumWaitingCalls) {
            this->sendTo(channel, request);
        }
    }
}

void PeerRelay::requestFullTable()
{
    if (!this->declarationsKnownSince.has_value()) {
        this->declarationsKnownSince = this->timers.now();
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
    const std::weak_ptr<int> lifetime = this->lifetimeToken;
    Rpc::call<Client, Protocol::RelayReply>(
        channel,
        [&request](Client &client, const std::function<void(Client *)> &callback) {
            client.relay(callback, request);
        },
        [](Client &client, Protocol::RelayReply &reply) {
            client.recv_relay(reply);
        },
        [this, lifetime](const Core::Result<Protocol::RelayReply> &reply) {
            if (lifetime.expired()) {
                return;
            }
            if (reply.has_value()) {
                this->applyAnnouncements(reply->announcements);
                this->receivedCompleteTable = this->receivedCompleteTable || reply->complete;
            } else {
                ++this->counts.failed;
            }
        });
}

void PeerRelay::applyAnnouncements(const std::vector<Protocol::RelayedAnnouncement> &announcements)
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

std::vector<Protocol::RelayedAnnouncement> PeerRelay::fullTable() const
{
    const Core::Instant now = this->timers.now();
    std::vector<Protocol::RelayedAnnouncement> all;
    for (const auto &backend : this->table.rows()) {
        // The age counts from the latest renewal of the lease, by an announcement or by a direct reply. Rows whose lease has expired are left out, since
        // their leases would be expired at the peer, too.
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
    this->applyAnnouncements(request.announcements);
    Protocol::RelayReply reply;
    if (request.wantsAll) {
        reply.announcements = this->fullTable();
        reply.complete = this->hasCompleteTable();
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
