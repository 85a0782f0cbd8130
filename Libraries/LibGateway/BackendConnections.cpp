/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/BackendConnections.h>

#include <algorithm>
#include <iterator>

namespace Gateway
{

static bool isIdle(const ConnectionPointer &connection)
{
    return connection->isIdle();
}

// Closes a connection without notifying its owner.
static void closeWithoutNotification(Wire::ClientConnection &connection)
{
    connection.closed = nullptr;
    connection.close();
}

void BackendConnections::add(ConnectionPointer connection)
{
    this->connections.push_back(std::move(connection));
}

void BackendConnections::remove(const Wire::ClientConnection *connection)
{
    std::erase_if(this->connections, [connection](const ConnectionPointer &held) {
        return held.get() == connection;
    });
}

std::size_t BackendConnections::size() const
{
    return this->connections.size();
}

bool BackendConnections::hasIdle() const
{
    return std::any_of(this->connections.begin(), this->connections.end(), isIdle);
}

bool BackendConnections::hasIdleFor(const ReplyKey &key) const
{
    return this->idleFor(key) != nullptr;
}

ConnectionPointer BackendConnections::idleFor(const ReplyKey &key) const
{
    // Prefers an established connection, then the most recently used one, which is the least likely to have been closed by the backend server.
    const auto rank = [](const ConnectionPointer &connection) {
        return std::pair(connection->isConnected(), connection->lastUsed());
    };
    ConnectionPointer best;
    for (const auto &connection : this->connections) {
        const bool mayCarry = connection->isIdle() && !connection->hasSent(key.value());
        if (mayCarry && (!best || rank(connection) > rank(best))) {
            best = connection;
        }
    }
    return best;
}

template<typename Condition>
std::vector<ConnectionPointer> BackendConnections::idleIf(Condition condition) const
{
    std::vector<ConnectionPointer> found;
    std::copy_if(this->connections.begin(), this->connections.end(), std::back_inserter(found), [&condition](const ConnectionPointer &connection) {
        return connection->isIdle() && condition(*connection);
    });
    return found;
}

std::vector<ConnectionPointer> BackendConnections::expired(Core::Instant now) const
{
    return this->idleIf([now](const Wire::ClientConnection &connection) {
        return connection.idleUntil() <= now;
    });
}

void BackendConnections::appendOverdueIdle(std::vector<ConnectionPointer> &overdue, Core::Instant now, const IdleLimits &limits) const
{
    for (const auto &connection : this->connections) {
        if (!connection->isIdle()) {
            continue;
        }
        const auto idleTime = now - connection->lastUsed();
        const bool neverCameUp = !connection->isConnected() && idleTime >= limits.connectTimeout;
        if (neverCameUp || connection->idleUntil() <= now || idleTime >= limits.idleTimeout) {
            overdue.push_back(connection);
        }
    }
}

std::vector<ConnectionPointer> BackendConnections::idle() const
{
    return this->idleIf([](const Wire::ClientConnection &) {
        return true;
    });
}

void BackendConnections::closeIdleBeyond(std::size_t limit)
{
    if (this->connections.size() <= limit) {
        return;
    }
    auto longestIdle = this->idle();
    std::sort(longestIdle.begin(), longestIdle.end(), [](const ConnectionPointer &left, const ConnectionPointer &right) {
        return left->lastUsed() < right->lastUsed();
    });
    longestIdle.resize(std::min(longestIdle.size(), this->connections.size() - limit));
    for (const auto &connection : longestIdle) {
        this->remove(connection.get());
        closeWithoutNotification(*connection);
    }
}

void BackendConnections::closeAll()
{
    for (const auto &connection : this->connections) {
        closeWithoutNotification(*connection);
    }
}

void closeIdle(const std::vector<ConnectionPointer> &connections)
{
    for (const auto &connection : connections) {
        if (connection->isIdle()) {
            connection->close();
        }
    }
}

}
