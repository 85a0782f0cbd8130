/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests which requests a gateway that is being stopped still takes, and how those that it has taken end.

#include <LibGateway/Scheduling/StopAdmission.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>

using Gateway::expectedDuration;

namespace
{

/** Nine of ten requests take 100 ms, the others 1 s. */
Core::LatencyDigest mixedLatencies()
{
    Core::LatencyDigest latencies;
    for (int count = 0; count < 1000; ++count) {
        latencies.add(Core::milliseconds(count % 100 < 92 ? 100 : 1000));
    }
    return latencies;
}

Gateway::ExpectedWork work(const Core::LatencyDigest &latencies, bool isRepeatable)
{
    return {.callerTimeout = Core::seconds(6),
        .routeTimeout = Core::seconds(10),
        .targetLatency = Core::milliseconds(80),
        .isRepeatable = isRepeatable,
        .latencies = &latencies};
}

}

// Guards against closing early: a long timeout alone does not turn requests away whose answers come soon.
Test(StopAdmission, repeatableRequestsAreTakenWhileNineOfTenCanBeAnswered)
{
    const auto latencies = mixedLatencies();
    cr_assert(expectedDuration(work(latencies, true)) < Core::milliseconds(150));
}

// Guards against final failures: the slowest requests have to fit as well if nobody may send them again.
Test(StopAdmission, otherRequestsAreTakenWhileTheSlowestCanBeAnswered)
{
    const auto latencies = mixedLatencies();
    cr_assert(expectedDuration(work(latencies, false)) >= Core::seconds(2));
}

Test(StopAdmission, noRequestIsExpectedToTakeLongerThanItMay)
{
    const auto latencies = mixedLatencies();
    auto impatient = work(latencies, false);
    impatient.callerTimeout = Core::milliseconds(300);
    cr_assert(expectedDuration(impatient) == Core::milliseconds(300));
    cr_assert(expectedDuration(work(Core::LatencyDigest(), true)) == Core::milliseconds(160), "an assumed duration while nothing was measured");
}

// Guards against a request that ends with its gateway: whoever may have run it, the caller has a true final answer.
Test(StopAdmission, aRequestUnderWayEndsWithATrueAnswer)
{
    TestSupport::GatewayFixture fixture;
    fixture.route().targets = {{.service = Core::ServiceName("s"), .weight = 1.0}};
    fixture.route().targetLatency = Core::seconds(5);
    auto &silent = fixture.add("s", "silent", [](const auto &, const auto &) {
    });
    fixture.begin("request-1");
    cr_assert(fixture.runUntil([&silent] {
        return !silent.requests.empty();
    }));
    fixture.request->endBy(fixture.timers.now());
    cr_assert(fixture.answer.has_value());
    cr_assert_eq(fixture.answer->status, 504, "the request may have run");
    cr_assert(fixture.summary->evidence == Gateway::RunEvidence::DirectAttempt);
    cr_assert(fixture.summary->endedByStop);
}

// Guards against a search that is thrown away with its gateway although enough shards have answered.
Test(StopAdmission, aSearchUnderWayEndsWithTheShardsThatHaveAnswered)
{
    TestSupport::GatewayFixture fixture;
    fixture.route().idempotent = true;
    fixture.route().maximumAttempts = 1;
    fixture.route().targetLatency = Core::seconds(5);
    fixture.route().topRecords = 10;
    fixture.route().minimumCoverage = 0.5;
    fixture.route().shards = {Core::ServiceName("a"), Core::ServiceName("b")};
    auto &answering = fixture.add("a", "answering", [](const auto &request, const auto &exchange) {
        exchange->respond(TestSupport::successResponse(request, "signature-a", std::string(16, 'a')));
    });
    fixture.add("b", "silent", [](const auto &, const auto &) {
    });
    fixture.begin("request-1");
    cr_assert(fixture.runUntil([&answering] {
        return !answering.requests.empty();
    }));
    fixture.settle();
    fixture.request->endBy(fixture.timers.now());
    cr_assert(fixture.answer.has_value());
    cr_assert_eq(fixture.answer->status, 200);
    cr_assert_str_eq(Wire::findHeader(fixture.answer->headers, "Missing-Parts")->c_str(), "1");
}
