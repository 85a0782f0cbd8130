/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Calls control instances one after the other until one answers as the leader.

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Settings.h>
#include <LibProtocol/Generated/Operator.h>

#include <functional>
#include <string>
#include <vector>

namespace CrankCtl
{

/** Blocking calls; this is a command, not a daemon. */
class OperatorConnection
{
public:
    OperatorConnection(std::vector<Core::Endpoint> instances, std::chrono::milliseconds timeout);

    /** One call to one instance. Fails with Unreachable when it does not answer. */
    [[nodiscard]] Core::Result<void> callOne(const Core::Endpoint &instance, const std::function<void(Protocol::OperatorClient &client)> &call) const;

    /**
     * Calls instances until `call` returns an empty text. Another text is the
     * leader's address as the instance knows it, or "?" when it knows none.
     */
    [[nodiscard]] Core::Result<void> callLeader(const std::function<std::string(Protocol::OperatorClient &client)> &call) const;

    [[nodiscard]] const std::vector<Core::Endpoint> &instances() const;

private:
    std::vector<Core::Endpoint> endpoints;
    std::chrono::milliseconds timeout;
};

}
