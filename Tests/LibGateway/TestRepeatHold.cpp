/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Checks that a gateway makes one attempt at each shard of a part while the requesting
// gateway may still give the part up, and that nothing else waits for the end of that
// time. Guards against attempts at more servers than the route allows, since the
// requesting gateway counts one attempt for a part that it gives up.

#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>

using TestSupport::errorResponse;
using TestSupport::GatewayFixture;
using TestSupport::successResponse;

namespace
{

constexpr Core::Duration Forever = Core::seconds(3600);
constexpr Core::Duration Short = Core::milliseconds(30);

/** A part with one shard, "a", whose first attempt gets the given answer and whose second one succeeds. */
class HeldPartFixture : public GatewayFixture
{
public:
    HeldPartFixture(Core::Duration hold, TestSupport::ScriptedBackend::Script first)
    {
        this->route().idempotent = true;
        this->route().maximumAttempts = 2;
        this->route().targetLatency = Core::seconds(8);
        this->route().topRecords = 10;
        this->route().shards = {Core::ServiceName("a")};
        for (const char *name : {"a-1", "a-2"}) {
            this->add("a", name, [this, first](const auto &request, const auto &exchange) {
                if (++this->attempts == 1) {
                    first(request, exchange);
                } else {
                    exchange->respond(successResponse(request, "a-here", std::string(16, 'a')));
                }
            });
        }
        this->relayParameters = Gateway::RelayParameters{.timeLeftToTarget = Core::seconds(8),
            .timeLeftToDeadline = Core::seconds(9),
            .before = {},
            .shards = this->route().shards,
            .topRecords = 10,
            .repeatHold = hold};
    }

    /** Returns whether the part was answered with the shard's signature. */
    [[nodiscard]] bool isAnswered(const std::string &id)
    {
        const auto response = this->ask(id);
        const auto part = Rpc::deserialize<Protocol::PartialAnswer>(response.body);
        return part.has_value() && part->signatures.size() == 1;
    }

    int attempts{0};
};

void fail(const Wire::Request &request, const Wire::ExchangePointer &exchange)
{
    exchange->respond(errorResponse(request, 500, false));
}

void refuse(const Wire::Request &request, const Wire::ExchangePointer &exchange)
{
    exchange->respond(errorResponse(request, 503, true));
}

void ignore(const Wire::Request &, const Wire::ExchangePointer &)
{
}

}

Test(RepeatHold, postponesARetryAfterAFailure)
{
    HeldPartFixture held(Forever, fail);
    held.begin("r1");
    held.settle(Core::milliseconds(100));
    cr_assert_eq(held.attempts, 1);
    HeldPartFixture fixture(Short, fail);
    cr_assert(fixture.isAnswered("r2"), "the retry is sent after the hold");
    cr_assert_eq(fixture.attempts, 2);
}

Test(RepeatHold, postponesAHedge)
{
    HeldPartFixture held(Forever, ignore);
    held.settings.hedgeFactor = 0.0;
    held.begin("r1");
    held.settle(Core::milliseconds(100));
    cr_assert_eq(held.attempts, 1);
    HeldPartFixture fixture(Short, ignore);
    fixture.settings.hedgeFactor = 0.0;
    cr_assert(fixture.isAnswered("r2"), "the hedge is sent after the hold");
    cr_assert_eq(fixture.attempts, 2);
}

// A refused attempt has not run and does not count, so another one is sent at once.
Test(RepeatHold, doesNotPostponeARetryAfterARefusal)
{
    HeldPartFixture fixture(Forever, refuse);
    cr_assert(fixture.isAnswered("r1"));
    cr_assert_eq(fixture.attempts, 2);
}

// Attempts before the part are counted by the requesting gateway, so the first one of the part is not postponed for them.
Test(RepeatHold, doesNotPostponeTheFirstAttempt)
{
    HeldPartFixture fixture(Forever, [](const auto &request, const auto &exchange) {
        exchange->respond(successResponse(request, "a-here", std::string(16, 'a')));
    });
    fixture.relayParameters->before.executions = 1;
    fixture.relayParameters->before.sends = 1;
    fixture.relayParameters->before.counted = true;
    cr_assert(fixture.isAnswered("r1"));
}

// The connection was reset, which the event loop has not noticed yet: the requesting gateway may have sent the shard again.
Test(RepeatHold, endsWithoutARetryIfThePartIsNoLongerAwaited)
{
    HeldPartFixture fixture(Core::Duration(0), fail);
    fixture.isAwaited = [] {
        return false;
    };
    cr_assert_not(fixture.isAnswered("r1"));
    cr_assert_eq(fixture.attempts, 1);
}

Test(RepeatHold, isPassedOnWithPartsThatAreRelayedFurther)
{
    HeldPartFixture fixture(Forever, fail);
    fixture.relayed = fixture.route().shards;
    Core::Duration hold{0};
    fixture.addGateway([&hold](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        auto headers = request.headers;
        hold = Gateway::extractRelayParameters(headers).value().repeatHold;
        Protocol::PartialAnswer part;
        part.signatures = {"a-there"};
        part.records = std::string(16, 'a');
        exchange->respond(TestSupport::partOf(request, part));
    });
    cr_assert(fixture.isAnswered("r1"));
    cr_assert_gt(hold.count(), (Forever - Core::seconds(60)).count());
}

// The part that was relayed further counts as one attempt once it is lost, which is all that the first gateway allows within the hold.
Test(RepeatHold, postponesTheRetryOfAPartThatWasRelayedFurther)
{
    HeldPartFixture fixture(Forever, fail);
    fixture.relayed = fixture.route().shards;
    fixture.settings.maximumGiveUpTime = Core::seconds(10);
    const auto &gateway = fixture.addGateway([&fixture](const Wire::Request &, const Wire::ExchangePointer &) {
        fixture.backends.back()->server.reset();
    });
    fixture.begin("r1");
    cr_assert(fixture.runUntil([&gateway] {
        return gateway.requests.size() == 1;
    }));
    fixture.settle(Core::milliseconds(100));
    cr_assert_eq(fixture.attempts, 0);
    cr_assert_not(fixture.answer.has_value(), "the shard can still be answered after the hold");
}

// The requesting gateway has got the acknowledgement and counts all attempts from then on, so hedges and retries need not wait any longer.
Test(RepeatHold, endsWhenThePartIsConfirmed)
{
    for (const bool isHedge : {true, false}) {
        HeldPartFixture fixture(Forever, isHedge ? ignore : fail);
        fixture.settings.hedgeFactor = 0.0;
        fixture.begin("r1");
        fixture.settle(Core::milliseconds(100));
        cr_assert_eq(fixture.attempts, 1);
        fixture.request->receiptConfirmed();
        cr_assert(fixture.runUntil([&fixture] {
            return fixture.answer.has_value();
        }));
        cr_assert_eq(fixture.attempts, 2);
    }
}

// A part that was confirmed may have been hedged at once, so all attempts are assumed when its connection breaks.
Test(RepeatHold, isNotReliedOnForAConfirmedPart)
{
    for (const bool isConfirmed : {false, true}) {
        GatewayFixture fixture;
        fixture.route().idempotent = true;
        fixture.route().maximumAttempts = 2;
        fixture.route().targetLatency = Core::seconds(8);
        fixture.route().shards = {Core::ServiceName("a")};
        fixture.relayed = fixture.route().shards;
        fixture.settings.maximumGiveUpTime = Core::seconds(10);
        const auto &server = fixture.add("a", "a-1", ignore);
        const auto &gateway = fixture.addGateway([&](const Wire::Request &, const Wire::ExchangePointer &exchange) {
            if (isConfirmed) {
                exchange->confirmed = [&fixture] {
                    fixture.backends.back()->server.reset();
                };
            } else {
                fixture.backends.back()->server.reset();
            }
        });
        fixture.begin("r1");
        cr_assert(fixture.runUntil([&] {
            return gateway.requests.size() == 1 && (fixture.answer.has_value() || !server.requests.empty());
        }));
        cr_assert_eq(server.requests.size(), isConfirmed ? 0 : 1);
    }
}
