/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Requests that wait for the quota decision of their workspace. A request leaves
// with the decision, when its caller disconnects, or when the gateway is stopped.

#pragma once

#include <LibGateway/Dialect.h>
#include <LibGateway/Quota/QuotaLimiter.h>
#include <LibWire/Server.h>

#include <functional>
#include <unordered_map>
#include <vector>

namespace Gateway
{

/** A request that waits for the quota decision of its workspace. */
struct WaitingRequest {
    CallerRequest request;
    Wire::ExchangePointer exchange;
    QuotaTerms terms;
    /** The pending decision in the quota limiter. */
    std::uint64_t decisionNumber{0};
};

/** The waiting requests of one gateway. */
class QuotaAdmission
{
public:
    /** `quotas` decides, and must outlive this object. */
    explicit QuotaAdmission(QuotaLimiter &quotas);

    /** Lets a request wait for its decision, which may be made at once. */
    void add(const Fleet::Workspace &workspace, WaitingRequest waiting);

    /** Removes and returns all requests. There will be no decision for them. */
    [[nodiscard]] std::vector<WaitingRequest> takeAll();

    [[nodiscard]] std::size_t size() const;
    /** Calls `visit` for each request. */
    void forEach(const std::function<void(const WaitingRequest &waiting)> &visit) const;

    /** Called with each decision; the request does not wait any more. */
    std::function<void(WaitingRequest waiting, const QuotaDecision &decision)> decided;
    /** Called when the caller of a request has disconnected. */
    std::function<void()> callerGone;

private:
    void handleDecision(std::uint64_t number, const QuotaDecision &decision);
    void handleCallerGone(std::uint64_t number);

    QuotaLimiter &quotas;
    std::unordered_map<std::uint64_t, WaitingRequest> waiting;
    std::uint64_t nextNumber{1};
};

}
