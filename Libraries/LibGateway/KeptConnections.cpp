/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/KeptConnections.h>

#include <algorithm>
#include <iterator>

namespace Gateway
{

static bool isIdle(const ConnectionPointer &connection)
{
    return connection->isIdle();
}

// Its owner is not told.
static void drop(Wire::ClientConnection &connection)
{
    connection.closed = nullptr;
    connection.close();
}

void KeptConnections::add(ConnectionPointer connection)
{
    this->connections.push_back(std::move(connection));
}

void KeptConnections::remove(const Wire::ClientConnection *connection)
{
    std::erase_if(this->connections, [connection](const ConnectionPointer &held) {
        return held.get() == connection;
    });
}

std::size_t KeptConnections::size() const
{
    return this->connections.size();
}

bool KeptConnections::hasIdle() const
{
    return std::any_of(this->connections.begin(), this->connections.end(), isIdle);
}

bool KeptConnections::hasIdleFor(const ReplyKey &key) const
{
    return this->idleFor(key) != nullptr;
}

ConnectionPointer KeptConnections::idleFor(const ReplyKey &key) const
{
    // One that is up goes first; of those the one that was used last is the least likely to have been closed by the other side.
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
std::vector<ConnectionPointer> KeptConnections::idleIf(Condition condition) const
{
    std::vector<ConnectionPointer> found;
    std::copy_if(this->connections.begin(), this->connections.end(), std::back_inserter(found), [&condition](const ConnectionPointer &connection) {
        return connection->isIdle() && condition(*connection);
    });
    return found;
}

std::vector<ConnectionPointer> KeptConnections::expired(Core::Instant now) const
{
    return this->idleIf([now](const Wire::ClientConnection &connection) {
        return connection.idleUntil() <= now;
    });
}

void KeptConnections::appendRested(std::vector<ConnectionPointer> &rested, Core::Instant now, const RestLimits &limits) const
{
    for (const auto &connection : this->connections) {
        if (!connection->isIdle()) {
            continue;
        }
        const auto rest = now - connection->lastUsed();
        const bool neverCameUp = !connection->isConnected() && rest >= limits.connectTimeout;
        if (neverCameUp || connection->idleUntil() <= now || rest >= limits.idleLimit) {
            rested.push_back(connection);
        }
    }
}

std::vector<ConnectionPointer> KeptConnections::idle() const
{
    return this->idleIf([](const Wire::ClientConnection &) {
        return true;
    });
}

void KeptConnections::dropIdleBeyond(std::size_t limit)
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
        drop(*connection);
    }
}

void KeptConnections::dropAll()
{
    for (const auto &connection : this->connections) {
        drop(*connection);
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
