/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A search over many shards. Shards with a backend server in the same zone or
// region are sent to directly. The others are relayed in groups to a gateway
// close to their backend servers, which returns one merged part.

#pragma once

#include <LibGateway/RoutedRequest.h>
#include <LibGateway/SearchAnswer.h>

namespace Gateway
{

/** Who a search came from. */
enum class RequestOrigin {
    /** Gets a merged answer if enough shards are answered. */
    Caller,
    /** Gets the shards that are answered when the target is reached, and the list of the missing ones. */
    OtherGateway,
};

/** A search that is sent to every shard of its route or part. */
class FanOutRequest final : public RoutedRequest
{
public:
    FanOutRequest(RequestContext context,
        std::shared_ptr<const Fleet::RouteTable> routes,
        const Fleet::Route &route,
        CallerRequest request,
        RelayPlan plan,
        RequestOrigin origin);

protected:
    void startCalls() override;
    void completeIfPossible() override;
    [[nodiscard]] Core::Instant handleLateCalls() override;
    void cancelCalls(bool callerIsGone) override;
    void describe(RequestSummary &summary) const override;
    void releaseCalls() override;

private:
    /** Groups shards that can be retried in one part: missing from the same part, after the same attempts. */
    struct PartRetry {
        const SentPart *sentPart{nullptr};
        int executions{0};
        int sends{0};
        bool counted{false};
        auto operator<=>(const PartRetry &) const = default;
    };

    /** Returns whether enough shards have an eligible backend server for the required coverage. */
    [[nodiscard]] bool canBeServed() const;
    void addRow(const Core::ServiceName &shard);
    void addRows();
    /** Starts the calls and parts of all shards that were not sent to as canaries. */
    void startAll();
    /** Returns whether the search is sent to a single shard first, and to the others once that has answered. */
    [[nodiscard]] bool needsCanary() const;
    void startCanary();
    void handleCanary();
    /** Ends the search after the canaries, which have shown that it crashes backend servers or can't be run. */
    void endAfterCanaries();
    /** Counts the requests of a part in the retry budgets, unless another gateway does. */
    void countRequests(PartPlan &part);
    void startDirect(SearchRow &row, const Protocol::MissingShard &before);
    void startHedgeForGateway(SearchRow &row);
    void startCall(const SearchRow &row);
    void startPart(const PartPlan &partPlan, std::vector<std::size_t> rowNumbers);
    void handlePart(const SentPart &sentPart);
    void handleHedgedPart(const SentPart &sentPart, SearchRow &row, const Protocol::MissingShard *missing);
    [[nodiscard]] bool mayHedgeTogether(const SearchRow &row, const Backend &candidate) const;
    void hedgeTogether(const std::string &zone, const std::vector<std::size_t> &rowNumbers);
    [[nodiscard]] Core::Instant hedgeLateCalls();
    void retryMissingShards();
    /** Returns whether the answer to an attempt that is sent now is expected before the target. */
    [[nodiscard]] bool canBeInTime() const;
    void retryAtOwner(const PartRetry &retry, std::vector<std::size_t> rowNumbers);
    void completeForCallerIfPossible();
    /** Ends a search that can't reach its coverage, at once or when it is known whether anything has run. Nothing more is sent. */
    void endLostSearch();
    /** Refuses the search with what is known now. */
    void refuseSearch();
    /** Cancels everything but the parts whose answers will tell what has run. Afterwards only those parts can still change the evidence. */
    void cancelAllButPartsUnderWay();
    [[nodiscard]] bool hasPartUnderWay() const;
    void completeForGatewayIfPossible();
    void answerCaller();
    void answerOtherGateway();
    /** Returns the header with what this gateway observed of the backend servers of the shards; see SharedEvidence.h. */
    [[nodiscard]] std::string ownEvidence() const;
    [[nodiscard]] std::size_t requiredShards() const;
    /** Returns how many shards may be missing from the answer to the origin of the search. */
    [[nodiscard]] std::size_t maximumMissing() const;
    /** Returns how many of the greatest records the answer should contain. */
    [[nodiscard]] std::size_t topRecords() const;
    [[nodiscard]] std::size_t answeredCount() const;
    [[nodiscard]] std::size_t openCount() const;
    /** Returns why the search may have run, by calls and parts that have ended or were cancelled. */
    [[nodiscard]] RunEvidence runEvidence() const;
    /** Returns whether no shard has a backend server, or more of the direct shards have none that accepts connections than have one that refused to run. */
    [[nodiscard]] bool lacksServers() const;
    /** Returns the state of the whole search; nullopt if a part's requesting gateway has not sent it. */
    [[nodiscard]] std::optional<SearchState> searchState() const;
    /** Returns the value of a repeat for one of the open shards, from 0 to 1. */
    [[nodiscard]] double repeatValueNow() const;
    void recordLatencies() const;
    [[nodiscard]] SearchAnswer mergedAnswer() const;

    RelayPlan plan;
    RequestOrigin origin;
    // Invariant: one row for each shard that was requested, in any order: the direct ones first, then those of each part.
    std::vector<SearchRow> rows;
    // The number of the shard that is sent to first, while its call is in flight.
    std::optional<std::size_t> canaryRow;
    std::size_t canaries{0};
    std::vector<std::unique_ptr<SentPart>> parts;
    // The search can't reach its coverage and waits for what tells whether it has run. Invariant: no call is open.
    bool isLost{false};
    Core::TimerSubscription outcomeTimer;
};

}
