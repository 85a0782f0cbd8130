/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Sends the messages of the replicated log to other control instances. Messages to one receiver that are queued in the same iteration of the
// event loop are sent in one call.

#pragma once

#include <LibCore/TimerService.h>
#include <LibProtocol/Generated/control_types.h>
#include <LibRpc/RpcChannel.h>

#include <map>
#include <memory>

namespace Control
{

/** Drops messages to a receiver that has too many calls in flight, instead of queueing them. The replicated log sends lost messages again. */
class PeerTransport
{
public:
    explicit PeerTransport(Core::TimerService &timers);

    void send(const Protocol::Member &receiver, Protocol::LogMessage message);

private:
    struct Peer {
        std::shared_ptr<Rpc::RpcChannel> channel;
        std::vector<Protocol::LogMessage> outbox;
    };

    void flush();

    Core::TimerService &timers;
    // Peers by their address, since a receiver may be known by address only.
    std::map<std::string, Peer> peers;
    Core::TimerSubscription flushTimer;
};

}
