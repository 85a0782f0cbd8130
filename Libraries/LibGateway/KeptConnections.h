/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// This gateway's connections to one backend server, and which of them a send may
// go over. Closing one tells its owner, who may let a waiting request go out over
// another one; so what is to be closed is listed first and looked at again.

#pragma once

#include <LibGateway/Dialect.h>
#include <LibWire/ClientConnection.h>

#include <memory>
#include <vector>

namespace Gateway
{

using ConnectionPointer = std::shared_ptr<Wire::ClientConnection>;

/** How long a connection is kept that carries nothing. */
struct RestLimits {
    /** For one that has not come up. */
    Core::Duration connectTimeout{0};
    /** Since it was used last. */
    Core::Duration idleLimit{0};
};

/** In no order. */
class KeptConnections
{
public:
    void add(ConnectionPointer connection);
    void remove(const Wire::ClientConnection *connection);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool hasIdle() const;
    /** Whether one is idle that has not carried a send of this key. */
    [[nodiscard]] bool hasIdleFor(const ReplyKey &key) const;
    /** The best of these; nullptr when there is none. */
    [[nodiscard]] ConnectionPointer idleFor(const ReplyKey &key) const;

    /** Idle ones that the backend server may be closing by now. */
    [[nodiscard]] std::vector<ConnectionPointer> expired(Core::Instant now) const;
    /** Appends idle ones that are expired, rested too long, or never came up. Called for every backend server in each sweep. */
    void appendRested(std::vector<ConnectionPointer> &rested, Core::Instant now, const RestLimits &limits) const;

    /** Closes idle ones, those that were used longest ago first, until no more than `limit` are left, without telling their owner: no room comes of it. */
    void dropIdleBeyond(std::size_t limit);
    /** Closes all without telling their owner. */
    void dropAll();

private:
    [[nodiscard]] std::vector<ConnectionPointer> idle() const;
    template<typename Condition>
    [[nodiscard]] std::vector<ConnectionPointer> idleIf(Condition condition) const;

    std::vector<ConnectionPointer> connections;
};

/** Closes those that are still idle. */
void closeIdle(const std::vector<ConnectionPointer> &connections);

}
