/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Carries the replicated log's messages to other control instances. Messages to
// one receiver that are made in one round of the loop travel together.

#pragma once

#include <LibCore/TimerService.h>
#include <LibProtocol/Generated/control_types.h>
#include <LibRpc/RpcChannel.h>

#include <map>
#include <memory>

namespace Control
{

/** Loses messages rather than letting them pile up; the log repairs what is lost. */
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
    // By address, since a receiver may be known by address only.
    std::map<std::string, Peer> peers;
    Core::TimerSubscription flushTimer;
};

}
