/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Calls control instances, either a given one or whichever is the leader.

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Settings.h>
#include <LibProtocol/Generated/Operator.h>

#include <functional>
#include <string>
#include <vector>

namespace CrankCtl
{

/** Makes blocking calls, since crankctl is a command that does one thing at a time. Each call opens a connection of its own. */
class OperatorConnection
{
public:
    OperatorConnection(std::vector<Core::Endpoint> instances, std::chrono::milliseconds timeout);

    /** Makes one call to one instance. Fails with Unreachable if the instance does not answer within the timeout. */
    [[nodiscard]] Core::Result<void> callOne(const Core::Endpoint &instance, const std::function<void(Protocol::OperatorClient &client)> &call) const;

    /**
     * Calls instances until `call` returns an empty text, which means that the leader answered. Otherwise `call` returns the leader's
     * address as the called instance knows it, which is called next, or "?" if that instance knows none. Fails with Unreachable after
     * 20 attempts.
     */
    [[nodiscard]] Core::Result<void> callLeader(const std::function<std::string(Protocol::OperatorClient &client)> &call) const;

    [[nodiscard]] const std::vector<Core::Endpoint> &instances() const;

private:
    std::vector<Core::Endpoint> endpoints;
    std::chrono::milliseconds timeout;
};

}
