#include <LibCore/Identity.h>
#include <LibCore/Json.h>
#include <LibEntry/ActionService.h>
#include <Support/EntryFixture.h>

#include <criterion/criterion.h>

using Entry::AttemptStatus;
using Entry::RefusalReason;
using Protocol::ClaimStatus;
using Protocol::SettleStatus;
using TestSupport::EntryFixture;

namespace
{

/** Starts actions and keeps the latest answer. */
class ActionCaller
{
public:
    ActionCaller() : fixture({.shards = 1}), service({}, this->fixture.state, this->control)
    {
    }

    void runAction(const std::string &action = "enqueue", const std::string &key = {})
    {
        Entry::ActionCall call;
        call.requestId = Core::RequestId("request");
        call.service = EntryFixture::service();
        call.action = action;
        call.key = key.empty() ? Core::makeUuidVersion7(Core::WallTime(1'790'000'000'000)) : key;
        call.body = "{}";
        this->service.start(call, [this](Entry::CallerAnswer answer) {
            ++this->answers;
            this->status = answer.status;
            this->body = answer.body;
            const auto document = Core::parseObject(answer.body);
            this->run = document.has_value() ? document->value("run", "") : "";
        });
    }

    /** Number of attempts that were passed to the transport. */
    [[nodiscard]] std::size_t sent() const
    {
        return this->fixture.transport.sent.size();
    }

    EntryFixture fixture;
    TestSupport::FakeControl control;
    Entry::ActionService service;
    int answers{0};
    int status{0};
    std::string body;
    std::string run;
};

}

Test(ActionService, outcomeIsAnsweredOnlyAfterClaimSendAndSettlement)
{
    ActionCaller caller;
    caller.runAction();
    cr_expect_eq(caller.sent(), 0U, "nothing is sent before the claim is granted");
    caller.control.answerClaim(0, ClaimStatus::GRANTED);
    cr_assert_eq(caller.sent(), 1U);
    caller.fixture.transport.answer(0);
    cr_expect_eq(caller.answers, 0, "the caller is answered only after the outcome is recorded");
    cr_assert_eq(caller.control.settlements.size(), 1U);
    cr_expect_eq(caller.control.settlements[0].request.outcome.body, "done");
    caller.control.answerSettlement(0, SettleStatus::SETTLED);
    cr_expect_eq(caller.answers, 1);
    cr_expect_eq(caller.status, 200);
    cr_expect_eq(caller.body, "done");
    cr_expect_eq(caller.service.activeCount(), 0U);
}

Test(ActionService, existingRecordIsAnsweredWithoutSending)
{
    struct Case {
        ClaimStatus::type status;
        int answer;
        const char *run;
    };
    const Case table[] = {
        {ClaimStatus::IN_PROGRESS, 409, "unknown"},
        {ClaimStatus::OUTCOME_UNKNOWN, 504, "unknown"},
        {ClaimStatus::KEY_REUSED, 422, "not-run"},
        {ClaimStatus::KEY_EXPIRED, 410, "unknown"},
        {ClaimStatus::KEY_FROM_FUTURE, 400, "not-run"},
    };
    for (const auto &row : table) {
        ActionCaller caller;
        caller.runAction();
        caller.control.answerClaim(0, row.status);
        cr_expect_eq(caller.status, row.answer);
        cr_expect_eq(caller.run, row.run, "claim status %d", static_cast<int>(row.status));
        cr_expect_eq(caller.sent(), 0U);
        cr_expect_eq(caller.service.activeCount(), 0U);
    }
}

Test(ActionService, lostClaimReplyIsRetriedWithTheSameAttemptId)
{
    ActionCaller caller;
    caller.runAction();
    caller.control.loseClaim(0);
    caller.fixture.advance(Core::milliseconds(60));
    cr_assert_eq(caller.control.claims.size(), 2U);
    cr_expect_eq(caller.control.claims[0].request.attemptId, caller.control.claims[1].request.attemptId);
    caller.control.answerClaim(1, ClaimStatus::GRANTED);
    // The reply to the first claim arrives late.
    caller.control.answerClaim(0, ClaimStatus::GRANTED);
    cr_expect_eq(caller.sent(), 1U, "two grants of the same attempt send the action once");
}

Test(ActionService, grantAfterTheRefusalIsNotUsed)
{
    ActionCaller caller;
    caller.runAction();
    caller.fixture.advance(Core::milliseconds(300));
    cr_expect_eq(caller.status, 503);
    cr_expect_eq(caller.run, "not-run");
    caller.control.answerClaim(0, ClaimStatus::GRANTED);
    cr_expect_eq(caller.sent(), 0U);
    cr_assert(!caller.control.settlements.empty(), "the claim is released, since it may have been granted");
    cr_expect(!caller.control.settlements[0].request.__isset.outcome);
}

Test(ActionService, actionIsRetriedOnlyAfterProofThatItDidNotRun)
{
    ActionCaller caller;
    caller.runAction();
    caller.control.answerClaim(0, ClaimStatus::GRANTED);
    caller.fixture.transport.refuse(0, RefusalReason::Draining);
    cr_assert_eq(caller.sent(), 2U);
    caller.fixture.transport.fail(1, AttemptStatus::NotSent);
    cr_expect_eq(caller.run, "not-run");
    cr_expect_eq(caller.status, 503);
    cr_assert_eq(caller.control.settlements.size(), 1U);
    cr_expect(!caller.control.settlements[0].request.__isset.outcome);
}

Test(ActionService, claimIsKeptWhenTheActionMayHaveRun)
{
    ActionCaller caller;
    caller.runAction();
    caller.control.answerClaim(0, ClaimStatus::GRANTED);
    caller.fixture.transport.fail(0);
    cr_expect_eq(caller.sent(), 1U, "no second attempt is sent");
    cr_expect_eq(caller.run, "unknown");
    cr_expect(caller.control.settlements.empty(), "the claim is not released");
}

Test(ActionService, outcomeAfterTheDeadlineIsRecorded)
{
    ActionCaller caller;
    caller.runAction();
    caller.control.answerClaim(0, ClaimStatus::GRANTED);
    caller.fixture.advance(Core::milliseconds(400));
    cr_expect_eq(caller.run, "unknown");
    cr_expect(!caller.fixture.transport.sent[0].cancelled, "a running action is not cancelled");
    caller.fixture.transport.answer(0);
    cr_assert_eq(caller.control.settlements.size(), 1U);
    cr_expect(caller.control.settlements[0].request.__isset.outcome);
    cr_expect_eq(caller.answers, 1);
}

Test(ActionService, queuedActionIsRefusedAsNotRunAtTheDeadline)
{
    ActionCaller caller;
    for (int action = 0; action < 6; ++action) {
        caller.runAction();
        caller.control.answerClaim(static_cast<std::size_t>(action), ClaimStatus::GRANTED);
    }
    cr_expect_eq(caller.sent(), 4U, "two connections to each of two replicas");
    caller.fixture.advance(Core::milliseconds(310));
    cr_expect_eq(caller.answers, 6);
    cr_expect_eq(caller.fixture.state.counters.refusedNotRun, 2U);
    cr_expect_eq(caller.fixture.state.counters.refusedUnknown, 4U);
    cr_expect_eq(caller.sent(), 4U);
}

Test(ActionService, settlementIsRetriedUntilConfirmed)
{
    ActionCaller caller;
    caller.runAction();
    caller.control.answerClaim(0, ClaimStatus::GRANTED);
    caller.fixture.transport.answer(0);
    for (std::size_t attempt = 0; attempt < 5; ++attempt) {
        caller.control.answerSettlement(attempt, SettleStatus::NOT_LEADER);
        caller.fixture.advance(Core::milliseconds(60));
    }
    cr_expect_eq(caller.answers, 0);
    caller.fixture.advance(Core::milliseconds(400));
    cr_expect_eq(caller.answers, 1, "the caller is answered after the record timeout");
    cr_expect_eq(caller.status, 200);
    caller.control.answerSettlement(caller.control.settlements.size() - 1, SettleStatus::SETTLED);
    cr_expect_eq(caller.service.activeCount(), 0U);
}

Test(ActionService, invalidKeysAndUndeclaredActionsAreRefused)
{
    ActionCaller caller;
    caller.runAction("enqueue", "not-a-uuid");
    cr_expect_eq(caller.status, 400);
    cr_expect_eq(caller.run, "not-run");
    caller.runAction("undeclared");
    cr_expect_eq(caller.status, 404);
    cr_expect(caller.control.claims.empty());
}
