/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A search over many shards. Shards with a backend server nearby are asked from
// here; the others together by a gateway that is beside theirs and sends back
// one merged part.

#pragma once

#include <LibGateway/RelayPlan.h>
#include <LibGateway/RoutedRequest.h>
#include <LibProtocol/Generated/fleet_types.h>

namespace Gateway
{

/** Who asks for a search. */
enum class Asker {
    /** Gets a merged answer, if enough shards are in. */
    Caller,
    /** Gets what there is when the target is due, and what is missing. */
    OtherGateway,
};

/** Goes to every shard. */
class FanOutRequest final : public RoutedRequest
{
public:
    FanOutRequest(
        RequestContext context, std::shared_ptr<const Fleet::RouteTable> routes, const Fleet::Route &route, CallerRequest request, RelayPlan plan, Asker asker);

protected:
    void startCalls() override;
    void check() override;
    [[nodiscard]] Core::Instant lookAtCalls() override;
    void giveUpCalls(bool callerIsGone) override;
    void describe(RequestSummary &summary) const override;

private:
    /** Shards that another gateway asks for us. */
    struct RelayedShards {
        RelayedShards(const Fleet::Route &route, const RelayPlan &plan, const CallerRequest &request, Core::Duration targetLeft);

        std::vector<Core::ServiceName> shards;
        std::shared_ptr<const Fleet::Route> route;
        CallerRequest request;
        CallTerms terms;
        std::unique_ptr<ShardCall> call;
        bool taken{false};
        // Shards that the partial answer holds.
        Protocol::PartialAnswer answer;
        // Shards of it that nobody can answer any more.
        std::size_t lost{0};
    };

    void startDirect(const Core::ServiceName &shard, const Protocol::MissingShard &before);
    void startRelayed();
    void takeRelayedAnswer();
    void askMissingDirectly(const std::vector<Protocol::MissingShard> &missing);
    void checkForCaller();
    void checkForOtherGateway();
    void answerCaller();
    void answerOtherGateway();
    [[nodiscard]] std::size_t needed() const;
    [[nodiscard]] std::size_t answeredCount() const;
    [[nodiscard]] std::size_t openCount() const;
    [[nodiscard]] bool mayHaveRun() const;
    [[nodiscard]] std::string mergedRecords();

    RelayPlan plan;
    Asker asker;
    std::vector<std::unique_ptr<ShardCall>> calls;
    std::unique_ptr<RelayedShards> relayed;
};

}
