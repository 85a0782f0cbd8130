/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A search over many shards. Shards with a backend server nearby are asked from
// here; the others together by a gateway that is beside theirs and sends back
// one merged part.

#pragma once

#include <LibGateway/RelayedPart.h>

namespace Gateway
{

/** Who asks for a search. */
enum class RequestOrigin {
    /** Gets a merged answer, if enough shards are in. */
    Caller,
    /** Gets what there is when the target is due, and what is missing. */
    OtherGateway,
};

/** Goes to every shard. */
class FanOutRequest final : public RoutedRequest
{
public:
    FanOutRequest(RequestContext context,
        std::shared_ptr<const Fleet::RouteTable> routes,
        const Fleet::Route &route,
        CallerRequest request,
        RelayPlan plan,
        RequestOrigin asker);

protected:
    void startCalls() override;
    void check() override;
    [[nodiscard]] Core::Instant lookAtCalls() override;
    void cancelCalls(bool callerIsGone) override;
    void describe(RequestSummary &summary) const override;

private:
    /** What another gateway is asked for, and the rows that it is asked for, by number. */
    struct AskedPart {
        std::unique_ptr<RelayedPart> part;
        std::vector<std::size_t> rowNumbers;
    };

    /** Shards that the same part came back without, after the same number of sends. */
    struct PartAgain {
        const AskedPart *asked{nullptr};
        int executions{0};
        int sends{0};
        bool counted{false};
        auto operator<=>(const PartAgain &) const = default;
    };

    /** A shard, and who is asked for it. */
    struct Row {
        Core::ServiceName shard;
        // There when it is asked for from here.
        std::unique_ptr<ShardCall> call;
        // There when another gateway was asked for it.
        RelayedPart *part{nullptr};
        // The part holds its answer.
        bool inPart{false};
        // What may have run for it elsewhere when nobody asks for it any more.
        Protocol::MissingShard lost;
        // The part that came back without it, and whether it may be asked for once more.
        const AskedPart *wasInPart{nullptr};
        bool mayAskAgain{false};
    };

    /** Whether enough shards have a backend server at all. */
    [[nodiscard]] bool canBeServed() const;
    void addRow(const Core::ServiceName &shard);
    void startDirect(Row &row, const Protocol::MissingShard &before);
    void startHedged(Row &row);
    void startCall(const Row &row);
    void startPart(const PartPlan &partPlan, std::vector<std::size_t> rowNumbers);
    void takePart(const AskedPart &asked);
    void takeHedged(const AskedPart &asked, Row &row, const Protocol::MissingShard *missing);
    [[nodiscard]] bool mayHedgeTogether(const Row &row, const Backend &candidate) const;
    void hedgeTogether(const std::string &zone, const std::vector<std::size_t> &rowNumbers);
    [[nodiscard]] Core::Instant hedgeLateCalls();
    void noteMissing(const AskedPart &asked, Row &row, const Protocol::MissingShard &missing);
    void askMissing();
    /** Whether what is asked now usually comes before the target. */
    [[nodiscard]] bool canBeInTime() const;
    void askOwnerAgain(const PartAgain &what, std::vector<std::size_t> rowNumbers);
    void checkForCaller();
    void checkForOtherGateway();
    void answerCaller();
    void answerOtherGateway();
    [[nodiscard]] static bool everyRow(const Row &row);
    /** By a call from here, and not by a part. */
    [[nodiscard]] static bool isAnsweredHere(const Row &row);
    [[nodiscard]] static bool isAnswered(const Row &row);
    [[nodiscard]] static bool isOpen(const Row &row);
    [[nodiscard]] Protocol::MissingShard describeMissing(const Row &row) const;
    [[nodiscard]] std::size_t needed() const;
    /** How many shards may be missing from what this gateway was asked for. */
    [[nodiscard]] std::size_t maximumMissing() const;
    /** How many of the greatest records are wanted. */
    [[nodiscard]] std::size_t topRecords() const;
    [[nodiscard]] std::size_t answeredCount() const;
    [[nodiscard]] std::size_t openCount() const;
    [[nodiscard]] bool mayHaveRun() const;
    /** The greatest records of all parts, and of the rows that count. */
    [[nodiscard]] std::string mergedRecords(const std::function<bool(const Row &row)> &counts) const;
    void noteLatencies() const;
    [[nodiscard]] std::string minimumRecord() const;
    void verifyLeastRecords(const std::string &records) const;
    void verifySignatures(std::vector<std::string> all) const;
    [[nodiscard]] std::vector<std::string> signatures() const;

    RelayPlan plan;
    RequestOrigin asker;
    // Invariant: one row for each shard that this gateway was asked for, in no order; none is added once the calls have started.
    std::vector<Row> rows;
    std::vector<std::unique_ptr<AskedPart>> parts;
};

}
