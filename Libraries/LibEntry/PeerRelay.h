/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Spreads what backend servers announced to this entry instance to the other
// entry instances, and takes what they spread.

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

/** Whom to spread to and how often. */
struct PeerRelayOptions {
    Core::InstanceName name;
    std::vector<Core::Endpoint> peers;
    Core::Duration period{Core::milliseconds(250)};
    /** How often a peer's whole table is asked for, so that views converge after any loss. */
    Core::Duration antiEntropyPeriod{Core::seconds(5)};
};

/** Counts for metrics. */
struct PeerRelayCounters {
    std::uint64_t sent{0};
    std::uint64_t failed{0};
    std::uint64_t received{0};
};

/** Runs each period. */
class PeerRelay
{
public:
    /** Decides whether an announcement that came from a peer is taken at all. */
    using Filter = std::function<bool(const Protocol::Announcement &announcement)>;

    PeerRelay(PeerRelayOptions options, BackendTable &table, Filter filter, Core::TimerService &timers);

    /** Asks one peer after the other for its whole table, as a process does that has just learnt what is declared. */
    void askForAll();

    /** Whether this instance's table can be taken for complete. See docs/REGISTRY.md. */
    [[nodiscard]] bool isWarm() const;

    /** A backend server announced itself here; the others hear of it with the next round. */
    void noteDirect(const Protocol::Announcement &announcement);

    /** Takes what a peer sent; gives the whole table when it is asked for. */
    [[nodiscard]] Protocol::RelayReply receive(const Protocol::RelayRequest &request);

    [[nodiscard]] const PeerRelayCounters &counters() const;
    [[nodiscard]] std::uint64_t bytesMoved() const;

private:
    void sendRound();
    void sendTo(const std::shared_ptr<Rpc::RpcChannel> &channel, const Protocol::RelayRequest &request);
    void take(const std::vector<Protocol::RelayedAnnouncement> &announcements);
    [[nodiscard]] std::vector<Protocol::RelayedAnnouncement> wholeTable() const;

    PeerRelayOptions options;
    BackendTable &table;
    Filter filter;
    Core::TimerService &timers;
    std::vector<std::shared_ptr<Rpc::RpcChannel>> channels;
    struct Fresh {
        Protocol::Announcement announcement;
        Core::Instant receivedAt;
    };
    // What came since the last round, the latest of each name.
    std::map<std::pair<std::string, std::string>, Fresh> fresh;
    std::size_t nextPeer{0};
    bool heardCompleteTable{false};
    // When what is declared became known, which is when announcements could first be taken.
    std::optional<Core::Instant> openSince;
    PeerRelayCounters counts;
    Core::TimerSubscription roundTimer;
    Core::TimerSubscription antiEntropyTimer;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

/** What other entry instances call. */
class EntryPeerHandler : public Protocol::EntryPeerCobSvIf
{
public:
    explicit EntryPeerHandler(PeerRelay &peerRelay);

    void relay(std::function<void(Protocol::RelayReply const &)> callback, const Protocol::RelayRequest &request) override;

private:
    PeerRelay &peerRelay;
};

}
