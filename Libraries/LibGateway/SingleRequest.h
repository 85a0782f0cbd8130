/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A request that is answered by a single backend server, whose reply is forwarded
// unchanged.

#pragma once

#include <LibGateway/RoutedRequest.h>

namespace Gateway
{

/** A request to one service. */
class SingleRequest final : public RoutedRequest
{
public:
    SingleRequest(RequestContext context,
        std::shared_ptr<const Fleet::RouteTable> routes,
        const Fleet::Route &route,
        CallerRequest request,
        const Core::ServiceName &service);

protected:
    void startCalls() override;
    void completeIfPossible() override;
    [[nodiscard]] Core::Instant handleLateCalls() override;
    void cancelCalls(bool callerIsGone) override;
    void describe(RequestSummary &summary) const override;

private:
    std::unique_ptr<ShardCall> call;
};

}
