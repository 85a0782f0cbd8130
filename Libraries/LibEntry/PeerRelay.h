/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Relays announcements that backend servers sent to this entry instance to the
// other entry instances (peers), and applies the announcements that peers relay.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibEntry/BackendTable.h>
#include <LibProtocol/Generated/EntryPeer.h>
#include <LibRpc/RpcChannel.h>

#include <memory>
#include <set>
#include <vector>

namespace Entry
{

/** Peers and periods of the relay. */
struct PeerRelayOptions {
    Core::InstanceName name;
    std::vector<Core::Endpoint> peers;
    /** How often new announcements are sent to all peers. */
    Core::Duration period{Core::milliseconds(250)};
    /** How often the full table of a peer is requested, so that tables converge after lost messages. */
    Core::Duration antiEntropyPeriod{Core::seconds(5)};
};

/** Counters of messages sent and failed and of announcements received, for the state dump. */
struct PeerRelayCounters {
    std::uint64_t sent{0};
    std::uint64_t failed{0};
    std::uint64_t received{0};
};

/** Sends pending announcements to all peers each period. */
class PeerRelay
{
public:
    /** Returns whether an announcement that a peer relayed is accepted. */
    using Filter = std::function<bool(const Protocol::Announcement &announcement)>;

    PeerRelay(PeerRelayOptions options, BackendTable &table, Filter filter, Core::TimerService &timers);

    /** Requests the full table of the next peer in turn. The first call also marks the time from which declarations are known. */
    void requestFullTable();

    /** Whether the table of this instance is assumed to be complete. docs/REGISTRY.md gives the conditions. */
    [[nodiscard]] bool hasCompleteTable() const;

    /** Adds an announcement that a backend server sent to this instance to the next message to peers. */
    void recordDirectAnnouncement(const Protocol::Announcement &announcement);

    /** Applies the announcements of a peer and returns the full table if the peer requests it. */
    [[nodiscard]] Protocol::RelayReply receive(const Protocol::RelayRequest &request);

    [[nodiscard]] const PeerRelayCounters &counters() const;
    [[nodiscard]] std::uint64_t bytesMoved() const;

private:
    void relayPending();
    void sendTo(const std::shared_ptr<Rpc::RpcChannel> &channel, const Protocol::RelayRequest &request);
    void applyAnnouncements(const std::vector<Protocol::RelayedAnnouncement> &announcements);
    [[nodiscard]] std::vector<Protocol::RelayedAnnouncement> fullTable() const;

    PeerRelayOptions options;
    BackendTable &table;
    Filter filter;
    Core::TimerService &timers;
    std::vector<std::shared_ptr<Rpc::RpcChannel>> channels;
    struct Pending {
        Protocol::Announcement announcement;
        Core::Instant receivedAt;
    };
    // The latest announcement of each name since the last message to peers.
    std::map<std::pair<std::string, std::string>, Pending> pending;
    std::size_t nextPeer{0};
    bool receivedCompleteTable{false};
    // When declarations became known. Before, announcements are rejected, since their services are not declared.
    std::optional<Core::Instant> declarationsKnownSince;
    PeerRelayCounters counts;
    Core::TimerSubscription roundTimer;
    Core::TimerSubscription antiEntropyTimer;
    // Hooks of outstanding calls hold this weakly, so that a reply after the destruction of this object is ignored.
    std::shared_ptr<int> lifetimeToken{std::make_shared<int>(0)};
};

/** Serves the calls of other entry instances. */
class EntryPeerHandler : public Protocol::EntryPeerCobSvIf
{
public:
    explicit EntryPeerHandler(PeerRelay &peerRelay);

    void relay(std::function<void(Protocol::RelayReply const &)> callback, const Protocol::RelayRequest &request) override;

private:
    PeerRelay &peerRelay;
};

}
