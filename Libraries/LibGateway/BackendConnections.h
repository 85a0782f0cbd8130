/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The connections of this gateway to one backend server, and the choice of one for a
// send. Closing a connection notifies its owner, which may let a waiting request use
// another connection. So connections to be closed are collected first, and closeIdle()
// checks again that each is still idle.

#pragma once

#include <LibGateway/Dialect.h>
#include <LibWire/ClientConnection.h>

#include <memory>
#include <vector>

namespace Gateway
{

using ConnectionPointer = std::shared_ptr<Wire::ClientConnection>;

/** How long a connection is kept without a request. */
struct IdleLimits {
    /** Limit for a connection that is not established. */
    Core::Duration connectTimeout{0};
    /** Limit since the connection was last used. */
    Core::Duration idleTimeout{0};
};

/** Set of connections without a defined order. */
class BackendConnections
{
public:
    void add(ConnectionPointer connection);
    void remove(const Wire::ClientConnection *connection);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool hasIdle() const;
    /** Whether there is an idle connection that has not sent this key. */
    [[nodiscard]] bool hasIdleFor(const ReplyKey &key) const;
    /** Returns the best idle connection that has not sent this key; nullptr when there is none. */
    [[nodiscard]] ConnectionPointer idleFor(const ReplyKey &key) const;

    /** Returns idle connections that the backend server may be closing by now, as it announced. */
    [[nodiscard]] std::vector<ConnectionPointer> expired(Core::Instant now) const;
    /**
     * Appends idle connections that have expired, have exceeded the idle timeout, or were not established within the connect timeout. Appends to a vector
     * because it is called for each backend server in each sweep.
     */
    void appendOverdueIdle(std::vector<ConnectionPointer> &overdue, Core::Instant now, const IdleLimits &limits) const;

    /**
     * Closes idle connections, least recently used first, until no more than `limit` connections are left. Does not notify their owner, since this frees no
     * capacity.
     */
    void closeIdleBeyond(std::size_t limit);
    /** Closes all connections without notifying their owner. */
    void closeAll();

private:
    [[nodiscard]] std::vector<ConnectionPointer> idle() const;
    template<typename Condition>
    [[nodiscard]] std::vector<ConnectionPointer> idleIf(Condition condition) const;

    std::vector<ConnectionPointer> connections;
};

/** Closes those of the connections that are still idle. */
void closeIdle(const std::vector<ConnectionPointer> &connections);

}
