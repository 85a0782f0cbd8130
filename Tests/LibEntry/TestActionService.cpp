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

/** One action on its way. */
class Acting
{
public:
    Acting() : fixture({.shards = 1}), service({}, this->fixture.state, this->control)
    {
    }

    void act(const std::string &action = "enqueue", const std::string &key = {})
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

    /** Attempts that reached a backend server. */
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

Test(ActionService, claimsThenSendsThenRecordsThenAnswers)
{
    Acting acting;
    acting.act();
    cr_expect_eq(acting.sent(), 0U, "nothing is sent before the claim holds");
    acting.control.answerClaim(0, ClaimStatus::GRANTED);
    cr_assert_eq(acting.sent(), 1U);
    acting.fixture.transport.answer(0);
    cr_expect_eq(acting.answers, 0, "the outcome is recorded first");
    cr_assert_eq(acting.control.settlements.size(), 1U);
    cr_expect_eq(acting.control.settlements[0].request.outcome.body, "done");
    acting.control.answerSettlement(0, SettleStatus::SETTLED);
    cr_expect_eq(acting.answers, 1);
    cr_expect_eq(acting.status, 200);
    cr_expect_eq(acting.body, "done");
    cr_expect_eq(acting.service.underWay(), 0U);
}

Test(ActionService, answersEachStateOfTheRecordWithoutSending)
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
        Acting acting;
        acting.act();
        acting.control.answerClaim(0, row.status);
        cr_expect_eq(acting.status, row.answer);
        cr_expect_eq(acting.run, row.run, "claim status %d", static_cast<int>(row.status));
        cr_expect_eq(acting.sent(), 0U);
        cr_expect_eq(acting.service.underWay(), 0U);
    }
}

Test(ActionService, asksAgainWithTheSameAttemptWhenAClaimAnswerIsLost)
{
    Acting acting;
    acting.act();
    acting.control.loseClaim(0);
    acting.fixture.advance(Core::milliseconds(60));
    cr_assert_eq(acting.control.claims.size(), 2U);
    cr_expect_eq(acting.control.claims[0].request.attemptId, acting.control.claims[1].request.attemptId);
    acting.control.answerClaim(1, ClaimStatus::GRANTED);
    // The first answer turns up after all.
    acting.control.answerClaim(0, ClaimStatus::GRANTED);
    cr_expect_eq(acting.sent(), 1U, "two grants of one attempt send once");
}

Test(ActionService, neverUsesAGrantThatComesAfterTheRefusal)
{
    Acting acting;
    acting.act();
    acting.fixture.advance(Core::milliseconds(300));
    cr_expect_eq(acting.status, 503);
    cr_expect_eq(acting.run, "not-run");
    acting.control.answerClaim(0, ClaimStatus::GRANTED);
    cr_expect_eq(acting.sent(), 0U);
    cr_assert(!acting.control.settlements.empty(), "the claim is released in case it holds");
    cr_expect(!acting.control.settlements[0].request.__isset.outcome);
}

Test(ActionService, triesTheOtherReplicaOnlyAfterProofThatItDidNotRun)
{
    Acting acting;
    acting.act();
    acting.control.answerClaim(0, ClaimStatus::GRANTED);
    acting.fixture.transport.refuse(0, RefusalReason::Draining);
    cr_assert_eq(acting.sent(), 2U);
    acting.fixture.transport.fail(1, AttemptStatus::NotSent);
    cr_expect_eq(acting.run, "not-run");
    cr_expect_eq(acting.status, 503);
    cr_assert_eq(acting.control.settlements.size(), 1U);
    cr_expect(!acting.control.settlements[0].request.__isset.outcome);
}

Test(ActionService, leavesTheClaimWhenItMayHaveRun)
{
    Acting acting;
    acting.act();
    acting.control.answerClaim(0, ClaimStatus::GRANTED);
    acting.fixture.transport.fail(0);
    cr_expect_eq(acting.sent(), 1U, "never a second attempt");
    cr_expect_eq(acting.run, "unknown");
    cr_expect(acting.control.settlements.empty(), "never released");
}

Test(ActionService, recordsAnOutcomeThatComesAfterTheDeadline)
{
    Acting acting;
    acting.act();
    acting.control.answerClaim(0, ClaimStatus::GRANTED);
    acting.fixture.advance(Core::milliseconds(400));
    cr_expect_eq(acting.run, "unknown");
    cr_expect(!acting.fixture.transport.sent[0].cancelled, "a running action is not cut off");
    acting.fixture.transport.answer(0);
    cr_assert_eq(acting.control.settlements.size(), 1U);
    cr_expect(acting.control.settlements[0].request.__isset.outcome);
    cr_expect_eq(acting.answers, 1);
}

Test(ActionService, saysNotRunForWhatNeverLeftTheQueue)
{
    Acting acting;
    for (int action = 0; action < 6; ++action) {
        acting.act();
        acting.control.answerClaim(static_cast<std::size_t>(action), ClaimStatus::GRANTED);
    }
    cr_expect_eq(acting.sent(), 4U, "two connections to each of two replicas");
    acting.fixture.advance(Core::milliseconds(310));
    cr_expect_eq(acting.answers, 6);
    cr_expect_eq(acting.fixture.state.counters.refusedNotRun, 2U);
    cr_expect_eq(acting.fixture.state.counters.refusedUnknown, 4U);
    cr_expect_eq(acting.sent(), 4U);
}

Test(ActionService, keepsSettlingUntilItIsHeard)
{
    Acting acting;
    acting.act();
    acting.control.answerClaim(0, ClaimStatus::GRANTED);
    acting.fixture.transport.answer(0);
    for (std::size_t attempt = 0; attempt < 5; ++attempt) {
        acting.control.answerSettlement(attempt, SettleStatus::NOT_LEADER);
        acting.fixture.advance(Core::milliseconds(60));
    }
    cr_expect_eq(acting.answers, 0);
    acting.fixture.advance(Core::milliseconds(400));
    cr_expect_eq(acting.answers, 1, "the caller does not wait for ever");
    cr_expect_eq(acting.status, 200);
    acting.control.answerSettlement(acting.control.settlements.size() - 1, SettleStatus::SETTLED);
    cr_expect_eq(acting.service.underWay(), 0U);
}

Test(ActionService, refusesBadKeysAndUndeclaredActions)
{
    Acting acting;
    acting.act("enqueue", "not-a-uuid");
    cr_expect_eq(acting.status, 400);
    cr_expect_eq(acting.run, "not-run");
    acting.act("undeclared");
    cr_expect_eq(acting.status, 404);
    cr_expect(acting.control.claims.empty());
}
