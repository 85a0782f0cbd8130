/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A request that one backend server answers; its reply goes back unchanged.

#pragma once

#include <LibGateway/RoutedRequest.h>

namespace Gateway
{

/** Goes to one service. */
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
    void check() override;
    [[nodiscard]] Core::Instant lookAtCalls() override;
    void cancelCalls(bool callerIsGone) override;
    void describe(RequestSummary &summary) const override;

private:
    std::unique_ptr<ShardCall> call;
};

}
