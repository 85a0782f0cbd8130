/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against using a duplicate answer as the answer to another send.
//
// What was seen: a search was answered with success and some shards missing, but
// the body lacked records of a shard that was listed as included. Backend servers
// answered some requests twice, the second time late and with another body.
//
// How it came about: an owner sent its part at the target without a late shard.
// The shard's answer arrived a moment later, over a connection that was kept
// alive. The owner was asked for the same shard of the same search again, and
// sent the request over that connection. The second answer to the first attempt
// arrived next and was used as the answer to the second attempt.
//
// Cause: answers were matched to sends by the request id, which identifies a
// caller's request but not a send. Evidence: a gateway received one signature
// twice, with two bodies, each time on a connection that had sent the same id
// before, and never without duplicate answers.

#include <LibRpc/Serialization.h>
#include <Support/DuplicatingBackend.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>
#include <random>

using namespace TestSupport;

namespace
{

const std::string completeRecord = "a record of 16 b";

/** A fixture with one duplicating backend server, the only one of its service. */
class DuplicatingFixture : public GatewayFixture
{
public:
    explicit DuplicatingFixture(const std::string &service) : service(service), server(std::make_shared<DuplicatingBackend>(*this))
    {
        this->server->listen();
        announce(this->pool, service, "server", this->server->endpoint, "here");
    }

    /** Requests the shard as another gateway does. With `maximumMissing` set to 1 the part is sent without the shard if that is late. */
    [[nodiscard]] Protocol::PartialAnswer requestPart(const std::string &id, Core::Duration timeLeftToTarget, std::size_t maximumMissing)
    {
        this->relayParameters = Gateway::RelayParameters{.timeLeftToTarget = timeLeftToTarget,
            .timeLeftToDeadline = Core::seconds(5),
            .maximumMissing = maximumMissing,
            .before = {},
            .shards = {Core::ServiceName(this->service)}};
        const auto part = this->ask(id);
        return Rpc::deserialize<Protocol::PartialAnswer>(part.body).value_or(Protocol::PartialAnswer());
    }

    std::string service;
    std::shared_ptr<DuplicatingBackend> server;
};

/** A successful answer with a complete record; its signature contains the number of the run. */
Wire::Response completeAnswer(const DuplicatingRun &run)
{
    return successResponse(run.request, "signature of run " + std::to_string(run.number), completeRecord);
}

}

Test(SurplusAnswers, retriedPartDiscardsSecondAnswerToFirstAttempt)
{
    DuplicatingFixture fixture("shard");
    fixture.route().shards = {Core::ServiceName("shard")};
    fixture.route().topRecords = 1;
    static constexpr int LateRun = 2;
    fixture.server->onRun = [](const DuplicatingRun &run) {
        if (run.number != LateRun) {
            run.connection->write(completeAnswer(run));
        }
    };
    cr_assert_eq(fixture.requestPart("opens a connection", Core::seconds(2), 0).signatures.size(), 1);
    cr_assert_eq(fixture.requestPart("x", Core::milliseconds(1), 1).missing.size(), 1, "the part is sent at its target without the late shard");
    cr_assert(fixture.runUntil([&fixture] {
        return fixture.server->runs.size() == LateRun;
    }));
    const auto late = fixture.server->runs.back();
    fixture.server->answerTwice(late, completeAnswer(late), "no");
    fixture.settle();
    const auto retried = fixture.requestPart("x", Core::seconds(2), 0);
    cr_assert_eq(retried.signatures.size(), 1);
    cr_assert_str_eq(retried.signatures.front().c_str(), "signature of run 3");
    cr_assert_str_eq(retried.records.c_str(), completeRecord.c_str(), "the part contains the records of the run whose signature it lists");
}

Test(SurplusAnswers, duplicateRefusalDoesNotRunNonIdempotentRequestTwice)
{
    DuplicatingFixture fixture("service");
    fixture.route().targets = {{Core::ServiceName("service"), 1.0}};
    fixture.route().idempotent = false;
    fixture.route().maximumAttempts = 3;
    int executed = 0;
    fixture.server->onRun = [&fixture, &executed](const DuplicatingRun &run) {
        if (run.number == 1) {
            fixture.server->answerTwice(run, errorResponse(run.request, 503, true), "");
            return;
        }
        ++executed;
        run.connection->write(completeAnswer(run));
    };
    const auto answer = fixture.ask("x", "POST");
    fixture.settle();
    cr_assert_eq(executed, 1, "executed %d times", executed);
    cr_assert_eq(answer.status, 200);
    cr_assert_str_eq(answer.body.c_str(), completeRecord.c_str());
}

Test(SurplusAnswers, answerWithoutReplyKeyIsDiscarded)
{
    DuplicatingFixture fixture("service");
    fixture.route().targets = {{Core::ServiceName("service"), 1.0}};
    fixture.server->onRun = [](const DuplicatingRun &run) {
        run.connection->write(Wire::Response{.status = 200, .headers = {{"Response-Signature", "none"}}, .body = "whose?"});
        run.connection->write(completeAnswer(run));
    };
    const auto answer = fixture.ask("x");
    cr_assert_str_eq(answer.body.c_str(), completeRecord.c_str());
}

Test(SurplusAnswers, requestWithoutIdDiscardsAnswerToAnotherRequest)
{
    DuplicatingFixture fixture("service");
    fixture.route().targets = {{Core::ServiceName("service"), 1.0}};
    fixture.server->onRun = [&fixture](const DuplicatingRun &run) {
        fixture.server->answerTwice(run, successResponse(run.request, "signature", std::to_string(run.number)), "no");
    };
    const auto withId = fixture.ask("x");
    cr_assert_str_eq(withId.body.c_str(), "1");
    const auto withoutId = fixture.ask("");
    cr_assert_str_eq(withoutId.body.c_str(), "2");
    const auto withoutIdAgain = fixture.ask("");
    cr_assert_str_eq(withoutIdAgain.body.c_str(), "3");
}

Test(SurplusAnswers, repeatedRequestIdSucceedsWithinConnectionLimit)
{
    DuplicatingFixture fixture("service");
    fixture.route().targets = {{Core::ServiceName("service"), 1.0}};
    fixture.server->onRun = [&fixture](const DuplicatingRun &run) {
        fixture.server->answerTwice(run, successResponse(run.request, "signature", std::to_string(run.number)), "no");
    };
    const int requestCount = 3 * GatewayFixture::poolOptions(0.0).undeclaredCap;
    for (int number = 1; number <= requestCount; ++number) {
        const auto answer = fixture.ask("x");
        const auto expected = std::to_string(number);
        cr_assert_str_eq(answer.body.c_str(), expected.c_str());
        cr_assert_leq(fixture.pool.connectionCount(), static_cast<std::size_t>(GatewayFixture::poolOptions(0.0).undeclaredCap));
    }
}

// All parts of a search have the same request id, so gateways add an id to each send of a part.
Test(SurplusAnswers, partWithSendIdOfAnotherPartIsDiscarded)
{
    GatewayFixture fixture;
    const Core::ServiceName shard("shard");
    fixture.route().shards = {shard};
    fixture.route().topRecords = 1;
    // A part expires after some times the target latency, and the whole test may not run for a while.
    fixture.route().targetLatency = Core::seconds(5);
    fixture.relayed = {shard};
    const auto part = [](const Wire::Request &request, const std::string &record) {
        Protocol::PartialAnswer answer;
        answer.records = record;
        answer.signatures = {"signature of " + record};
        return partOf(request, answer);
    };
    const auto gateway = std::make_shared<DuplicatingBackend>(fixture);
    gateway->listen();
    GatewayFixture::announce(fixture.relays, Gateway::relayService("there").value(), "gateway", gateway->endpoint, "there");
    gateway->onRun = [&part](const DuplicatingRun &run) {
        auto partOfAnotherSend = part(run.request, "not the part's..");
        for (auto &header : partOfAnotherSend.headers) {
            header.value += header.name == Gateway::RelayHeader::Send ? "0" : "";
        }
        run.connection->write(partOfAnotherSend);
        run.connection->write(part(run.request, completeRecord));
    };
    const auto answer = fixture.ask("x");
    cr_assert_str_eq(answer.body.c_str(), completeRecord.c_str());
}

// A gateway of a release without send ids cannot read the parameters of a part and refuses it, so the shard is sent directly.
Test(SurplusAnswers, gatewayRefusalWithoutSendIdIsAccepted)
{
    GatewayFixture fixture;
    const Core::ServiceName shard("shard");
    fixture.route().shards = {shard};
    fixture.route().topRecords = 1;
    fixture.relayed = {shard};
    fixture.add("shard", "server", [](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        exchange->respond(successResponse(request, "signature", completeRecord));
    });
    fixture.addGateway([](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        exchange->respond(Wire::Response{.status = 503, .headers = {{"Request-Id", *Wire::findHeader(request.headers, "Request-Id")}}, .body = {}});
    });
    const auto answer = fixture.ask("x");
    cr_assert_eq(answer.status, 200);
    cr_assert_str_eq(answer.body.c_str(), completeRecord.c_str());
}

// Random sequences of sends, answers and abandoned attempts, with few request ids on few connections, where every answer is sent twice.
Test(SurplusAnswers, everyAttemptReceivesItsOwnAnswerInRandomRuns)
{
    static constexpr int Seeds = 8;
    static constexpr int Steps = 120;
    for (int seed = 1; seed <= Seeds; ++seed) {
        DuplicatingFixture fixture("service");
        std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
        const auto below = [&random](std::size_t limit) {
            return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
        };
        std::vector<DuplicatingRun> waiting;
        fixture.server->onRun = [&waiting](const DuplicatingRun &run) {
            waiting.push_back(run);
        };
        const std::vector<Gateway::BackendName> noneTried;
        std::vector<Gateway::AttemptId> attempts;
        int answered = 0;
        const auto send = [&] {
            auto *backend = fixture.pool.choose({.service = Core::ServiceName("service"), .tried = noneTried, .allowedRegions = {}});
            if (backend == nullptr) {
                return;
            }
            const std::string name = std::to_string(attempts.size());
            const Gateway::CallerRequest request{.id = Core::RequestId(std::string(1, static_cast<char>('a' + below(3)))),
                .message = {.method = "GET", .target = "/", .headers = {{"Attempt", name}}, .body = {}}};
            auto sent = request;
            sent.message.headers.push_back({"Request-Id", request.id.value()});
            attempts.push_back(fixture.pool.send(
                *backend, {.caller = &sent, .timeLeft = Core::seconds(5), .done = [&answered, name, seed](const Gateway::AttemptOutcome &outcome) {
                               if (outcome.end == Gateway::AttemptEnd::Replied) {
                                   ++answered;
                                   cr_assert_str_eq(outcome.reply.message.body.c_str(), name.c_str(), "seed %d", seed);
                               }
                           }}));
        };
        for (int step = 0; step < Steps; ++step) {
            const auto what = below(10);
            if (what < 5) {
                send();
            } else if (what < 9 && !waiting.empty()) {
                const auto position = waiting.begin() + static_cast<std::ptrdiff_t>(below(waiting.size()));
                const auto run = *position;
                waiting.erase(position);
                fixture.server->answerTwice(run, successResponse(run.request, "signature", *Wire::findHeader(run.request.headers, "Attempt")), "no");
            } else if (!attempts.empty()) {
                fixture.pool.abandon(attempts[below(attempts.size())], false);
            }
            fixture.settle(Core::milliseconds(2));
        }
        cr_assert_gt(answered, Steps / 10, "seed %d: too few answers for a meaningful test", seed);
    }
}
