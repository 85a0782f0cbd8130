#include <LibEntry/AnswerMerge.h>
#include <LibEntry/FanOut.h>
#include <LibEntry/QueryService.h>
#include <Support/EntryFixture.h>

#include <LibCore/Json.h>

#include <criterion/criterion.h>
#include <set>

using Entry::RefusalReason;
using TestSupport::EntryFixture;

namespace
{

/** Starts searches and keeps the latest answer. */
class SearchCaller
{
public:
    explicit SearchCaller(EntryFixture &fixture) : service(fixture.state)
    {
    }

    void search()
    {
        Entry::QueryCall call;
        call.requestId = Core::RequestId("request");
        call.service = EntryFixture::service();
        call.subject = "words";
        this->service.start(call, [this](Entry::CallerAnswer answer) {
            ++this->answers;
            this->status = answer.status;
            this->document = Core::parseObject(answer.body).value();
        });
    }

    [[nodiscard]] std::size_t included() const
    {
        return this->document["coverage"]["included"].size();
    }

    Entry::QueryService service;
    int answers{0};
    int status{0};
    nlohmann::json document;
};

}

static std::vector<std::size_t> openAttempts(EntryFixture &fixture)
{
    std::vector<std::size_t> open;
    for (std::size_t position = 0; position < fixture.transport.sent.size(); ++position) {
        const auto &sent = fixture.transport.sent[position];
        if (!sent.ended && !sent.cancelled) {
            open.push_back(position);
        }
    }
    return open;
}

static nlohmann::json hits(const std::string &id, double score)
{
    return {{"hits", nlohmann::json::array({{{"id", id}, {"score", score}}})}};
}

Test(FanOut, completeAnswerIsSentWithTheLastShard)
{
    EntryFixture fixture;
    SearchCaller caller(fixture);
    caller.search();
    cr_assert_eq(fixture.transport.sent.size(), 4U);
    for (std::size_t position = 0; position < 4; ++position) {
        cr_expect_eq(caller.answers, 0);
        fixture.transport.answer(position, hits("document-" + std::to_string(position), static_cast<double>(position)));
    }
    fixture.advance(Core::milliseconds(1));
    cr_assert_eq(caller.answers, 1);
    cr_expect_eq(caller.status, 200);
    cr_expect_eq(caller.included(), 4U);
    cr_expect_eq(caller.document["hits"][0]["id"], "document-3");
}

Test(FanOut, partialAnswerAtTheDeadlineListsMissingShards)
{
    EntryFixture fixture({.replicasPerShard = 1});
    SearchCaller caller(fixture);
    caller.search();
    fixture.transport.answer(0);
    fixture.transport.answer(2);
    fixture.advance(Core::milliseconds(296));
    cr_expect_eq(caller.answers, 0);
    fixture.advance(Core::milliseconds(2));
    cr_assert_eq(caller.answers, 1);
    cr_expect_eq(caller.document["coverage"]["included"], nlohmann::json({0, 2}));
    cr_expect_eq(caller.document["coverage"]["missing"][0]["shard"], 1);
    cr_expect_eq(caller.document["coverage"]["missing"][0]["reason"], "timeout");
    cr_expect_eq(caller.document["coverage"]["complete"], false);
    fixture.transport.answer(1);
    fixture.advance(Core::seconds(1));
    cr_expect_eq(caller.answers, 1, "a late reply changes nothing");
}

Test(FanOut, answerBelowTheMinimumCoverageIsRefused)
{
    EntryFixture fixture({.replicasPerShard = 1, .minimumCoverage = 0.6});
    SearchCaller caller(fixture);
    caller.search();
    fixture.transport.answer(0);
    fixture.transport.answer(1);
    fixture.advance(Core::milliseconds(400));
    cr_assert_eq(caller.answers, 1);
    cr_expect_eq(caller.status, 504);
    cr_expect_eq(caller.document["run"], "unknown");
    cr_expect_eq(caller.document["coverage"]["included"].size(), 2U);
}

Test(FanOut, failedAttemptIsRetriedOnAnotherReplica)
{
    EntryFixture fixture;
    SearchCaller caller(fixture);
    caller.search();
    const auto first = fixture.transport.sent[0].attempt;
    fixture.transport.fail(0);
    cr_assert_eq(fixture.transport.sent.size(), 5U);
    const auto second = fixture.transport.sent[4].attempt;
    cr_expect_eq(second.shard.value(), first.shard.value());
    cr_expect_neq(second.backend.value(), first.backend.value());
    cr_expect_neq(second.attempt.value(), first.attempt.value());
}

Test(FanOut, atMostTwoHedgesAreSentPerShard)
{
    EntryFixture fixture({.shards = 1});
    SearchCaller caller(fixture);
    caller.search();
    fixture.advance(Core::milliseconds(250));
    cr_assert_eq(fixture.transport.sent.size(), 3U);
    fixture.transport.answer(2);
    fixture.advance(Core::milliseconds(1));
    cr_expect_eq(caller.status, 200);
    cr_expect(fixture.transport.sent[0].cancelled);
    cr_expect(fixture.transport.sent[1].cancelled);
}

Test(FanOut, slowShardIsHedgedAndTheSlowerAttemptCancelled)
{
    EntryFixture fixture;
    SearchCaller caller(fixture);
    caller.search();
    for (const std::size_t position : {0U, 1U, 2U}) {
        fixture.transport.answer(position);
    }
    fixture.advance(Core::milliseconds(50));
    cr_assert_eq(fixture.transport.sent.size(), 5U, "one hedge is sent, for the late attempt");
    cr_expect_neq(fixture.transport.sent[4].attempt.backend.value(), fixture.transport.sent[3].attempt.backend.value());
    fixture.transport.answer(4);
    fixture.advance(Core::milliseconds(1));
    cr_expect_eq(caller.answers, 1);
    cr_expect(fixture.transport.sent[3].cancelled);
    cr_expect_eq(fixture.state.counters.hedges, 1U);
    for (const auto &backend : fixture.state.backends.rows()) {
        cr_expect_eq(backend.health.inFlight, 0);
    }
}

Test(FanOut, hedgesStayWithinTheirBudget)
{
    EntryFixture fixture({.shards = 1});
    SearchCaller caller(fixture);
    const int requests = 400;
    for (int request = 0; request < requests; ++request) {
        fixture.announceAll(1, "map-1");
        caller.search();
        // Every first attempt is late, so a hedge becomes due for each of them.
        fixture.advance(Core::milliseconds(80));
        for (const auto position : openAttempts(fixture)) {
            fixture.transport.answer(position);
        }
        fixture.advance(Core::milliseconds(1));
    }
    cr_expect_leq(fixture.state.counters.hedges, 20U + requests / 20 + 1);
    cr_expect_geq(fixture.state.counters.hedges, 20U);
}

Test(FanOut, requestsInFlightStayWithinTheConnectionShare)
{
    EntryFixture fixture({.shards = 1});
    SearchCaller caller(fixture);
    for (int request = 0; request < 30; ++request) {
        caller.search();
    }
    for (const auto &backend : fixture.state.backends.rows()) {
        // Share of this instance: a cap of 25 connections divided by 10 entry instances.
        cr_expect_leq(backend.health.inFlight, 2);
    }
    cr_expect_eq(fixture.transport.sent.size(), 4U);
    cr_expect_gt(fixture.state.dispatcher.waitingCount(), 0U);
    fixture.transport.answer(0);
    cr_expect_eq(fixture.transport.sent.size(), 5U, "the next waiting sub-request is sent when a connection becomes free");
}

Test(FanOut, drainingBackendGetsNoNewRequests)
{
    EntryFixture fixture;
    SearchCaller caller(fixture);
    caller.search();
    const auto drainingBackend = fixture.transport.sent[0].attempt.backend;
    fixture.transport.refuse(0, RefusalReason::Draining);
    for (int request = 0; request < 10; ++request) {
        caller.search();
    }
    for (std::size_t position = 1; position < fixture.transport.sent.size(); ++position) {
        cr_expect_neq(fixture.transport.sent[position].attempt.backend.value(), drainingBackend.value());
    }
}

Test(FanOut, queryRestartsOnAnotherSnapshotWhenThePinnedOneIsGone)
{
    EntryFixture fixture;
    SearchCaller caller(fixture);
    caller.search();
    fixture.transport.answer(1);
    // All backend servers switch to version 2 while the query runs.
    fixture.announceAll(2, "map-1");
    fixture.transport.refuse(0, RefusalReason::SnapshotGone);
    fixture.advance(Core::milliseconds(1));
    fixture.transport.refuse(fixture.transport.sent.size() - 1, RefusalReason::SnapshotGone);
    fixture.advance(Core::milliseconds(2));
    for (const auto position : openAttempts(fixture)) {
        const auto &attempt = fixture.transport.sent[position].attempt;
        cr_expect_eq(attempt.snapshot.version, 2);
        fixture.transport.answer(position);
    }
    fixture.advance(Core::milliseconds(2));
    cr_assert_eq(caller.answers, 1);
    cr_expect_eq(caller.document["snapshot"]["version"], 2);
    cr_expect_eq(caller.included(), 4U, "all shards are answered from version 2");
    cr_expect_eq(fixture.state.counters.snapshotRestarts, 1U);
}

Test(FanOut, drainingOrStaleInstanceRefusesAsNotRun)
{
    EntryFixture fixture;
    SearchCaller caller(fixture);
    const auto now = fixture.state.timers.now();
    fixture.state.stop = Core::StopSchedule::of({.grace = Core::seconds(60)}, now);
    caller.search();
    cr_expect_eq(caller.status, 503);
    cr_expect_eq(caller.document["run"], "not-run");
    cr_expect(fixture.transport.sent.empty());
    // Callers are still to be served, but this one can't be answered by its deadline before the instance ends.
    fixture.state.stop = Core::StopSchedule{
        .requestedAt = now, .noticeEnds = now + Core::seconds(10), .answersDue = now + Core::milliseconds(1), .end = now + Core::milliseconds(2)};
    caller.search();
    cr_expect_eq(caller.document["type"], "urn:crankrudder:problem:draining");
    cr_expect_eq(caller.document["run"], "not-run");
    cr_expect(fixture.transport.sent.empty());
    fixture.state.stop.reset();
    fixture.advance(Core::seconds(700));
    caller.search();
    cr_expect_eq(caller.document["type"], "urn:crankrudder:problem:configuration-stale");
    cr_expect_eq(caller.document["run"], "not-run");
    cr_expect(fixture.transport.sent.empty());
}

Test(AnswerMerge, emptyShardIsIncludedAndNotMissing)
{
    std::vector<Entry::ShardResult> shards(2);
    shards[0].shard = Core::ShardIndex(0);
    shards[0].included = true;
    shards[0].document = {{"hits", nlohmann::json::array()}};
    shards[1].shard = Core::ShardIndex(1);
    shards[1].missingReason = "failed";
    const auto coverage = Entry::coverageOf(shards);
    cr_expect_eq(coverage.included.size(), 1U);
    cr_expect_eq(coverage.missing.size(), 1U);
    cr_expect(Entry::mergeHits(shards, 10).empty());
    Protocol::UrgencyClass urgencyClass;
    urgencyClass.minimumCoverage = 0.5;
    cr_expect(!Entry::isSufficient(coverage, urgencyClass), "the class does not allow partial answers");
    urgencyClass.partialAllowed = true;
    cr_expect(Entry::isSufficient(coverage, urgencyClass));
}
