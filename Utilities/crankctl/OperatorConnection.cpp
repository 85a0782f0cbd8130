/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "OperatorConnection.h"

#include <LibRpc/Serialization.h>

#include <thread>
#include <thrift/transport/TSocket.h>

namespace CrankCtl
{

static constexpr int MaximumAttempts = 20;
static constexpr std::chrono::milliseconds RetryDelay{250};

OperatorConnection::OperatorConnection(std::vector<Core::Endpoint> instances, std::chrono::milliseconds timeout)
    : endpoints(std::move(instances)), timeout(timeout)
{
}

const std::vector<Core::Endpoint> &OperatorConnection::instances() const
{
    return this->endpoints;
}

Core::Result<void> OperatorConnection::callOne(const Core::Endpoint &instance, const std::function<void(Protocol::OperatorClient &client)> &call) const
{
    using namespace apache::thrift::transport;
    const auto socket = std::make_shared<TSocket>(instance.address, instance.port);
    const auto limit = static_cast<int>(this->timeout.count());
    socket->setConnTimeout(limit);
    socket->setRecvTimeout(limit);
    socket->setSendTimeout(limit);
    const auto transport = std::make_shared<TFramedTransport>(socket);
    try {
        transport->open();
        Protocol::OperatorClient client(Rpc::protocolFactory()->getProtocol(transport));
        call(client);
    } catch (const std::exception &exception) {
        return Core::failure(Core::ErrorKind::Unreachable, instance.toString() + ": " + exception.what());
    }
    return {};
}

Core::Result<void> OperatorConnection::callLeader(const std::function<std::string(Protocol::OperatorClient &client)> &call) const
{
    Core::Endpoint target = this->endpoints.front();
    std::string lastError = "no control instance is the leader";
    for (int attempt = 0; attempt < MaximumAttempts; ++attempt) {
        std::string hint;
        const auto outcome = this->callOne(target, [&call, &hint](Protocol::OperatorClient &client) {
            hint = call(client);
        });
        if (outcome.has_value() && hint.empty()) {
            return {};
        }
        if (!outcome.has_value()) {
            lastError = outcome.error().message;
        }
        const auto leader = Core::Endpoint::parse(hint);
        if (leader.has_value() && leader.value() != target) {
            target = leader.value();
            continue;
        }
        target = this->endpoints[static_cast<std::size_t>(attempt + 1) % this->endpoints.size()];
        std::this_thread::sleep_for(RetryDelay);
    }
    return Core::failure(Core::ErrorKind::Unreachable, lastError);
}

}
