/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against requests that end with 502 although no backend server can have run
// them, and against requests that end with 503 although one may have.

#include <Support/GatewayFixture.h>
#include <Support/RefusingEndpoint.h>

#include <criterion/criterion.h>

using namespace TestSupport;
using Gateway::RunEvidence;

namespace
{

constexpr int NotRun = 503;
constexpr int Failed = 502;

/** A search over "direct", which this gateway sends to, and "relayed", which is in a part at another gateway. */
class OutcomeFixture : public GatewayFixture
{
public:
    explicit OutcomeFixture(double coverage = 1.0)
    {
        this->route().idempotent = true;
        this->route().maximumAttempts = 2;
        this->route().targetLatency = Core::seconds(2);
        this->route().minimumCoverage = coverage;
        this->route().shards = {Core::ServiceName("direct"), Core::ServiceName("relayed")};
        this->relayed = {Core::ServiceName("relayed")};
    }

    /** Adds a backend server whose address refuses connections. */
    void addRefusing(const std::string &service, const std::string &id)
    {
        this->refusing.emplace_back();
        announce(this->pool, service, id, this->refusing.back().endpoint, "here");
    }

    /** Adds the backend server of "direct", which refuses the request once the part has been sent. */
    void addRefusingLate()
    {
        this->add("direct", "d1", [this](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            this->refusalTimer = this->timers.once(Core::milliseconds(10), [request, exchange](Core::Instant) {
                exchange->respond(errorResponse(request, NotRun, true));
            });
        });
    }

    /** Adds another gateway that answers its part after `delay`, with one missing shard of which `executions` attempts have run. */
    void addAnswering(int executions, Core::Duration delay)
    {
        this->addGateway([this, executions, delay](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            Protocol::PartialAnswer part;
            part.missing.emplace_back();
            part.missing.back().serviceName = "relayed";
            part.missing.back().executions = executions;
            this->respondAfter(delay, partOf(request, part), exchange);
        });
    }

    void respondAfter(Core::Duration delay, Wire::Response response, const Wire::ExchangePointer &exchange)
    {
        this->responseTimer = this->timers.once(delay, [response = std::move(response), exchange](Core::Instant) {
            exchange->respond(response);
        });
    }

    void expect(int status, Gateway::RunEvidence evidence)
    {
        const auto response = this->ask("r1");
        cr_assert(this->summary->evidence == evidence, "the evidence is %s", Gateway::evidenceName(this->summary->evidence.value()));
        cr_assert_eq(response.status, status, "the status is %d", response.status);
        cr_assert_eq(Wire::findHeader(response.headers, "Retry-After") != nullptr, status == NotRun);
    }

    void expectTook(Core::Duration atLeast, Core::Duration atMost) const
    {
        const auto took = this->summary->took;
        cr_assert(took >= atLeast && took <= atMost, "took %ld ms", static_cast<long>(Core::toMilliseconds(took)));
    }

    std::vector<RefusingEndpoint> refusing;
    Core::TimerSubscription responseTimer;
    Core::TimerSubscription refusalTimer;
};

void silent(const Wire::Request &, const Wire::ExchangePointer &)
{
}

}

Test(Outcomes, answeredPartWithoutExecutionsHasNotRun)
{
    OutcomeFixture fixture(0.5);
    fixture.addRefusing("direct", "d1");
    fixture.addRefusing("relayed", "r1");
    fixture.addAnswering(0, Core::Duration(0));
    fixture.expect(NotRun, RunEvidence::None);
}

Test(Outcomes, lostSearchWaitsForPartThatReportsNoExecution)
{
    OutcomeFixture fixture;
    fixture.addRefusingLate();
    const auto &server = fixture.add("relayed", "r1", silent);
    fixture.addAnswering(0, Core::milliseconds(150));
    fixture.expect(NotRun, RunEvidence::None);
    fixture.expectTook(Core::milliseconds(145), Core::milliseconds(490));
    cr_assert(server.requests.empty(), "a lost search sends nothing more");
}

Test(Outcomes, lostSearchWaitsForAQuarterOfTheTargetAtMost)
{
    OutcomeFixture fixture;
    fixture.addRefusingLate();
    fixture.addAnswering(0, Core::milliseconds(800));
    fixture.expect(Failed, RunEvidence::PartInFlight);
    fixture.expectTook(Core::milliseconds(490), Core::milliseconds(750));
    // The part's answer arrives after the refusal.
    fixture.settle(Core::milliseconds(500));
}

// Guards against a part of a search that is given up running at another gateway, after the first one has refused it.
Test(Outcomes, partOfALostSearchIsSentToNoOtherGateway)
{
    OutcomeFixture fixture;
    fixture.addRefusingLate();
    int parts = 0;
    const auto refuse = [&](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        ++parts;
        auto refusal = fixture.dialect.writeRefusal(Gateway::Refusal::NotRun, {}, Core::Duration(0));
        refusal.headers.push_back({Gateway::RelayHeader::Send, *Wire::findHeader(request.headers, Gateway::RelayHeader::Send)});
        fixture.respondAfter(Core::milliseconds(150), refusal, exchange);
    };
    fixture.addTo(fixture.relays, Gateway::relayService("there").value(), "gateway-1", refuse);
    fixture.addTo(fixture.relays, Gateway::relayService("there").value(), "gateway-2", refuse);
    fixture.expect(NotRun, RunEvidence::None);
    cr_assert_eq(parts, 1, "%d parts", parts);
}

Test(Outcomes, lostSearchFailsIfPartReportsExecutions)
{
    OutcomeFixture fixture;
    fixture.addRefusingLate();
    fixture.addAnswering(1, Core::milliseconds(150));
    fixture.expect(Failed, RunEvidence::PartReport);
    fixture.expectTook(Core::milliseconds(9), Core::milliseconds(450));
}

Test(Outcomes, lostSearchFailsIfPartWasAnswered)
{
    OutcomeFixture fixture;
    fixture.addRefusingLate();
    fixture.addGateway([&fixture](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        Protocol::PartialAnswer part;
        part.signatures.emplace_back("signature");
        fixture.respondAfter(Core::milliseconds(150), partOf(request, part), exchange);
    });
    fixture.expect(Failed, RunEvidence::PartReport);
}

Test(Outcomes, lostSearchFailsIfGatewayEndsWithPartInFlight)
{
    OutcomeFixture fixture;
    fixture.addRefusingLate();
    ScriptedBackend *gateway = nullptr;
    gateway = &fixture.addGateway([&](const Wire::Request &, const Wire::ExchangePointer &) {
        fixture.responseTimer = fixture.timers.once(Core::milliseconds(150), [&](Core::Instant) {
            gateway->server.reset();
        });
    });
    fixture.expect(Failed, RunEvidence::PartInFlight);
    fixture.expectTook(Core::milliseconds(9), Core::milliseconds(450));
}

Test(Outcomes, lostSearchFailsImmediatelyIfDirectAttemptMayHaveRun)
{
    OutcomeFixture fixture;
    fixture.route().shards.emplace_back("other");
    fixture.addRefusingLate();
    fixture.add("other", "o1", silent);
    fixture.addGateway(silent);
    fixture.expect(Failed, RunEvidence::DirectAttempt);
    fixture.expectTook(Core::milliseconds(9), Core::milliseconds(450));
}

Test(Outcomes, searchHasNotRunIfEveryConnectionIsRefused)
{
    OutcomeFixture fixture;
    fixture.addRefusing("direct", "d1");
    fixture.addRefusing("relayed", "r1");
    const RefusingEndpoint gateway;
    GatewayFixture::announce(fixture.relays, Gateway::relayService("there").value(), "gateway", gateway.endpoint, "there");
    fixture.expect(NotRun, RunEvidence::None);
    fixture.expectTook(Core::Duration(0), Core::milliseconds(100));
}

Test(Outcomes, searchSentToOneShardFirstHasNotRunIfEveryConnectionIsRefused)
{
    OutcomeFixture fixture;
    fixture.relayed.clear();
    fixture.isCautious = true;
    fixture.addRefusing("direct", "d1");
    fixture.addRefusing("relayed", "r1");
    fixture.expect(NotRun, RunEvidence::None);
}

// Guards against a repeat beyond the budget: the requesting gateway would take a shard that was denied a repeat here for one that was never sent.
Test(Outcomes, partReportsTheAttemptsBeforeIt)
{
    OutcomeFixture fixture(0.5);
    fixture.relayed.clear();
    Gateway::RelayParameters parameters{.timeLeftToDeadline = Core::milliseconds(500), .shards = fixture.route().shards};
    parameters.before.sends = 1;
    parameters.before.counted = true;
    fixture.relayParameters = parameters;
    const auto part = Rpc::deserialize<Protocol::PartialAnswer>(fixture.ask("r1").body);
    cr_assert(part.has_value());
    cr_assert_eq(part->missing.size(), 2);
    for (const auto &missing : part->missing) {
        cr_assert_eq(missing.sends, 1, "%d sends of %s", missing.sends, missing.serviceName.c_str());
    }
}

// A gateway that is told too many executions must fail a search that nobody has run.
Test(Outcomes, partReportsWhatAThirdGatewayReported)
{
    OutcomeFixture fixture(0.5);
    fixture.relayed = fixture.route().shards;
    fixture.relayParameters = Gateway::RelayParameters{.timeLeftToDeadline = Core::milliseconds(500), .shards = fixture.route().shards};
    fixture.addGateway([](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        Protocol::PartialAnswer part;
        part.signatures.emplace_back("signature");
        part.missing.emplace_back();
        part.missing.back().serviceName = "relayed";
        exchange->respond(partOf(request, part));
    });
    const auto part = Rpc::deserialize<Protocol::PartialAnswer>(fixture.ask("r1").body);
    cr_assert(part.has_value());
    cr_assert_eq(part->missing.size(), 1);
    cr_assert_eq(part->missing[0].executions, 0, "%d executions", part->missing[0].executions);
}

// Callers retry once: an early retry would find the same backend servers missing.
Test(Outcomes, callerIsToldToWaitAThirdOfItsTimeIfServersAreMissing)
{
    OutcomeFixture fixture(0.5);
    fixture.relayed.clear();
    fixture.addRefusing("direct", "d1");
    fixture.addRefusing("relayed", "r1");
    const auto response = fixture.ask("r1");
    cr_assert_eq(response.status, NotRun);
    const double seconds = std::stod(*Wire::findHeader(response.headers, "Retry-After"));
    // The timeout of the fixture's caller is 10 s, of which a third is more than the longest delay.
    cr_assert(seconds > 2.9 && seconds < 3.1, "Retry-After is %.3f", seconds);
}

Test(Outcomes, singleRequestHasNotRunIfEveryConnectionIsRefused)
{
    for (const bool idempotent : {true, false}) {
        OutcomeFixture fixture;
        fixture.route().shards.clear();
        fixture.route().idempotent = idempotent;
        fixture.route().targets = {{.service = Core::ServiceName("direct"), .weight = 1.0}};
        fixture.addRefusing("direct", "d1");
        fixture.addRefusing("direct", "d2");
        fixture.expect(NotRun, RunEvidence::None);
        fixture.expectTook(Core::Duration(0), Core::milliseconds(100));
    }
}
