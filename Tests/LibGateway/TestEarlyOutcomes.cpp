/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of a send on a kept-alive connection that the backend server has ended, while
// the event loop has not processed that yet. Nothing is sent then. The outcome must
// not be reported before the call knows the id of the attempt.

#include <Support/DuplicatingBackend.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>

using namespace TestSupport;

namespace
{

/** A fixture whose only backend server has a kept-alive connection. */
class KeptConnectionFixture : public GatewayFixture
{
public:
    KeptConnectionFixture() : server(std::make_shared<DuplicatingBackend>(*this))
    {
        this->server->listen();
        announce(this->pool, "service", "server", this->server->endpoint, "here");
        this->route().targets = {{Core::ServiceName("service"), 1.0}};
        this->server->onRun = [](const DuplicatingRun &run) {
            run.connection->write(successResponse(run.request, "signature", "body"));
        };
        cr_assert_eq(this->ask("opens a connection").status, 200);
        this->settle();
    }

    /** Ends the connection, with a reset or an orderly close. The pool is notified when the event loop runs next. */
    void endConnection(bool withReset) const
    {
        auto &socket = this->server->connections.front()->socket;
        this->poll->remove(socket.number());
        if (withReset) {
            socket.resetOnClose();
        }
        socket = Wire::Socket();
    }

    std::shared_ptr<DuplicatingBackend> server;
};

}

Test(EarlyOutcomes, requestHasNotRunIfConnectionEndedBeforeSend)
{
    for (const bool withReset : {true, false}) {
        KeptConnectionFixture fixture;
        fixture.route().idempotent = false;
        fixture.route().timeout = Core::milliseconds(500);
        fixture.endConnection(withReset);
        const auto answer = fixture.ask("x", "POST");
        cr_assert(fixture.summary.has_value());
        cr_assert_eq(fixture.summary->outcome, Gateway::RequestOutcome::NotRun, "the outcome is %s", Gateway::outcomeName(fixture.summary->outcome));
        cr_assert_eq(answer.status, 503);
        cr_assert(fixture.summary->took < Core::milliseconds(100));
    }
}

Test(EarlyOutcomes, idempotentRequestIsRetriedNotHedgedIfSendFailsSynchronously)
{
    KeptConnectionFixture fixture;
    fixture.route().idempotent = true;
    fixture.route().maximumAttempts = 2;
    // In another region, so that the first attempt is sent over the kept-alive connection.
    fixture.addTo(
        fixture.pool,
        "service",
        "other",
        [](const Wire::Request &request, const auto &exchange) {
            exchange->respond(successResponse(request, "signature", "of the other one"));
        },
        "there");
    fixture.endConnection(true);
    fixture.begin("x");
    cr_assert(fixture.runUntil([&fixture] {
        return fixture.answer.has_value();
    }));
    cr_assert_eq(fixture.answer->status, 200);
    cr_assert_eq(fixture.summary->attempts, 2);
    cr_assert_eq(fixture.summary->hedges, 0, "the failed attempt was treated as late");
}
