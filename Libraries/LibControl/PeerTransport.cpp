/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibControl/PeerTransport.h>

#include <LibCore/Log.h>
#include <LibProtocol/Generated/ControlPeer.h>

namespace Control
{

static constexpr std::size_t MaximumWaitingCalls = 64;
static constexpr Core::Duration DeliveryTimeout = Core::seconds(1);

PeerTransport::PeerTransport(Core::TimerService &timers) : timers(timers)
{
}

void PeerTransport::send(const Protocol::Member &receiver, Protocol::LogMessage message)
{
    auto &peer = this->peers[receiver.peerAddress];
    if (!peer.channel) {
        const auto endpoint = Core::Endpoint::parse(receiver.peerAddress);
        if (!endpoint.has_value()) {
            Core::logEvent(Core::LogLevel::Warning, "peer.address_unreadable", {{"member", receiver.name}, {"error", endpoint.error().message}});
            this->peers.erase(receiver.peerAddress);
            return;
        }
        peer.channel = Rpc::RpcChannel::create({.endpoint = endpoint.value(), .callTimeout = DeliveryTimeout, .limits = {}}, this->timers);
    }
    peer.outbox.push_back(std::move(message));
    if (!this->flushTimer.isActive()) {
        this->flushTimer = this->timers.once(Core::Duration(0), [this](Core::Instant) {
            this->flush();
        });
    }
}

void PeerTransport::flush()
{
    for (auto &[address, peer] : this->peers) {
        const auto messages = std::exchange(peer.outbox, {});
        if (messages.empty() || peer.channel->waitingCalls() >= MaximumWaitingCalls) {
            continue;
        }
        auto client = std::make_shared<Protocol::ControlPeerCobClient>(peer.channel, Rpc::protocolFactory().get());
        // The callback only keeps the client alive until the call ends. Whether a message arrived shows in the replies of the replicated log.
        client->deliver(
            [client](Protocol::ControlPeerCobClient *) {
            },
            messages);
    }
}

}
