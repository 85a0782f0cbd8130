/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// What gateways tell each other about servers that refuse. Scenario: twelve gateways share
// the servers of each shard, so that one gateway sends a server one to three requests a second,
// and half of the servers refuse 0.6 of what reaches them for some seconds.

#include <LibGateway/BackendChoice.h>
#include <Support/NodeFixture.h>

#include <array>
#include <criterion/criterion.h>
#include <random>

using Gateway::BackendName;
using Gateway::EvidenceReport;
using Gateway::EvidenceScope;
using Gateway::RelayHeader::Evidence;

namespace
{

constexpr int Replicas = 3;

Core::Instant at(int milliseconds)
{
    return Core::Instant(Core::milliseconds(100'000 + milliseconds));
}

EvidenceReport reportOf(double accepted, double refused, int observedAt, const std::string &source = "g1")
{
    return {.outcomes = {.accepted = accepted, .refused = refused}, .observedAt = at(observedAt), .source = source};
}

/** The three servers of one shard as one gateway in the region of the first server knows them. */
struct View {
    explicit View(std::uint64_t seed) : choice({.seed = seed})
    {
        for (int replica = 0; replica < Replicas; ++replica) {
            auto &server = this->servers[replica];
            server.name = BackendName(std::to_string(replica));
            server.sameZone = server.sameRegion = replica == 0;
            server.slots = 2;
            server.roundTrip = Core::milliseconds(replica == 0 ? 2 : 16);
            server.serviceAcceptance = this->servers[0].serviceAcceptance;
        }
    }

    int best(Core::Instant now, const std::vector<BackendName> &refusedBy)
    {
        const std::vector<Gateway::Backend *> candidates{&this->servers[0], &this->servers[1], &this->servers[2]};
        const Gateway::ChoiceTerms terms{
            .typicalLatency = Core::milliseconds(15), .within = std::nullopt, .refusedBy = refusedBy, .mayProbe = refusedBy.empty()};
        return std::stoi(this->choice.best(candidates, terms, now)->name.value());
    }

    void record(int replica, bool accepted, Core::Instant now)
    {
        accepted ? this->servers[replica].health.recordAccepted(now) : this->servers[replica].health.recordRefusal(now);
        this->servers[replica].serviceAcceptance->record(accepted, now);
    }

    void tell(View &other, EvidenceScope scope, const std::string &source, Core::Instant now)
    {
        for (int replica = 0; replica < Replicas; ++replica) {
            if (auto report = this->servers[replica].health.sharedAcceptance().reportFor(scope, now); report.has_value()) {
                report->source = source;
                other.servers[replica].health.sharedAcceptance().receive(report.value(), now);
            }
        }
    }

    Gateway::BackendChoice choice;
    std::array<Gateway::Backend, Replicas> servers;
};

/** Arrivals at the near server of a shard, which refuses 0.6 from 1 s to 6 s; sums over 60 shards with 40 requests a second. */
struct Day {
    int rejected{0};
    // Arrivals by periods of 500 ms.
    std::array<int, 18> arrivals{};
};

Day runDay(bool isShared)
{
    constexpr int Gateways = 12;
    Day day;
    std::mt19937_64 random(5);
    for (int shard = 0; shard < 60; ++shard) {
        std::vector<std::unique_ptr<View>> views;
        for (int gateway = 0; gateway < Gateways; ++gateway) {
            views.push_back(std::make_unique<View>(100 * shard + gateway));
        }
        for (int time = shard % 25; time < 9000; time += 25) {
            const auto gateway = random() % Gateways;
            auto &view = *views[gateway];
            std::vector<BackendName> refusedBy;
            for (bool accepted = false; !accepted && refusedBy.size() < 3;) {
                const int chosen = view.best(at(time), refusedBy);
                accepted = chosen != 0 || time < 1000 || time >= 6000 || random() % 10 >= 6;
                day.arrivals[time / 500] += chosen == 0 ? 1 : 0;
                day.rejected += accepted ? 0 : 1;
                view.record(chosen, accepted, at(time));
                refusedBy.emplace_back(std::to_string(chosen));
            }
            const auto other = random() % Gateways;
            if (isShared && other != gateway) {
                view.tell(*views[other], EvidenceScope::All, {}, at(time));
                views[other]->tell(view, EvidenceScope::Own, std::to_string(other), at(time));
            }
        }
    }
    return day;
}

}

// Guards against gateways that each learn by themselves which servers refuse, and against a recovered server that stays without requests or is flooded.
Test(SharedEvidence, gatewaysRejectLessAndFindRecoveredServers)
{
    const auto alone = runDay(false);
    const auto shared = runDay(true);
    int arrivedAlone = 0;
    int arrivedShared = 0;
    for (std::size_t period = 6; period < 12; ++period) {
        arrivedAlone += alone.arrivals[period];
        arrivedShared += shared.arrivals[period];
    }
    cr_assert_lt(shared.rejected, alone.rejected, "alone %d, shared %d", alone.rejected, shared.rejected);
    cr_assert_lt(arrivedShared, arrivedAlone, "from two seconds after the fault on: alone %d, shared %d", arrivedAlone, arrivedShared);
    cr_assert_gt(shared.arrivals[15], alone.arrivals[15], "alone %d, shared %d", alone.arrivals[15], shared.arrivals[15]);
    const int usual = shared.arrivals[1];
    cr_assert_gt(shared.arrivals[14], usual / 2, "a second after the recovery: %d of %d", shared.arrivals[14], usual);
    for (std::size_t period = 12; period < shared.arrivals.size(); ++period) {
        // A server that recovers may get 1.5 times its usual load at most.
        cr_assert_lt(shared.arrivals[period], 1.5 * usual);
    }
}

// Guards against entries that are misread, come from no gateway, or are too old to mean anything.
Test(SharedEvidence, invalidAndOldEntriesAreIgnored)
{
    const auto text
        = Gateway::encodeEvidence({{.server = "s/1", .report = reportOf(1.5, 4.25, 0, {})}, {.server = "a,b", .report = reportOf(1, 1, 0)}}, at(200));
    cr_assert_eq(text, "s/1=1.50/4.25/1/200");
    const auto decoded = Gateway::decodeEvidence(text, "g2", Core::milliseconds(30), at(1000));
    cr_assert(decoded.entries.size() == 1 && decoded.ignored == 0);
    cr_assert_eq(decoded.entries[0].server, "s/1");
    cr_assert_eq(decoded.entries[0].report.outcomes.refused, 4.25);
    cr_assert(decoded.entries[0].report.observedAt == at(770), "the time on the way is added to the age");
    for (const char *entry : {"s",
             "s=",
             "=1/1/1/0",
             "s=1/1/1",
             "s=1/1/1/0/g",
             "s=-1/1/1/0",
             "s=nan/1/1/0",
             "s=1/inf/1/0",
             "s=1e9/1/1/0",
             "s=0/0/1/0",
             "s=1/1/1/-5",
             "s=1/1/1/3000",
             "s=1/1/x/0",
             "s=1/1/1/2990"}) {
        const auto result = Gateway::decodeEvidence(entry, {}, Core::milliseconds(10), at(0));
        cr_assert(result.entries.empty() && result.ignored == 1, "%s", entry);
    }
    std::string many = "s=400/600/1/0";
    for (int entry = 0; entry < 20; ++entry) {
        many += ",s" + std::to_string(entry) + "=1/1/1/0";
    }
    const auto limited = Gateway::decodeEvidence(many, {}, {}, at(0));
    cr_assert(limited.entries.size() == Gateway::MaximumEvidenceEntries && limited.ignored == 5);
    cr_assert_float_eq(limited.entries[0].report.outcomes.total(), Gateway::MaximumEvidence, 1e-9, "a false count");
}

// Guards against old news that displaces new: of a gateway that was frozen or cut off, or restarted with fewer observations.
Test(SharedEvidence, theReportWithMostEvidenceIsKeptAndANewerOneOfItsSourceReplacesIt)
{
    const std::optional held(reportOf(0, 4, 0));
    cr_assert(Gateway::replacesReport(std::nullopt, reportOf(0, 1, 0), at(0)));
    cr_assert_not(Gateway::replacesReport(std::nullopt, reportOf(0, 6, 0), at(3000)), "expired");
    cr_assert_not(Gateway::replacesReport(held, reportOf(3, 0, 0, "g2"), at(0)));
    cr_assert(Gateway::replacesReport(held, reportOf(3.5, 0, 1500, "g2"), at(1500)), "the older one has faded");
    cr_assert(Gateway::replacesReport(held, reportOf(2, 0, 100), at(100)), "the same gateway has observed more since");
    cr_assert_not(Gateway::replacesReport(held, reportOf(0, 6, -100), at(100)), "news of the same gateway that took longer");
}

// Guards against a choice that follows false or repeated reports instead of the gateway's own observations.
Test(SharedEvidence, ownObservationsGoFirstAndReportsAreNotAddedUp)
{
    Gateway::ServerAcceptance acceptance;
    cr_assert_eq(acceptance.refusedShare(0.0, at(0)), 0.0);
    acceptance.receive(reportOf(0, 3, 0), at(0));
    const double once = acceptance.refusedShare(0.0, at(0));
    acceptance.receive(reportOf(0, 3, 0, "g2"), at(0));
    acceptance.receive(reportOf(0, 3, 0, ""), at(0));
    cr_assert_float_eq(acceptance.refusedShare(0.0, at(0)), once, 1e-9);
    cr_assert_gt(once, 0.5);
    cr_assert_eq(acceptance.refusedShare(0.0, at(3000)), 0.0);
    for (int request = 0; request < 20; ++request) {
        acceptance.record(true, at(50 * request));
    }
    acceptance.receive(reportOf(0, 6, 950), at(950));
    cr_assert_lt(acceptance.refusedShare(0.0, at(950)), 0.1, "a false report");
    cr_assert_not(acceptance.ownReport(at(950)).has_value(), "what another gateway reported is not told as own");
}

Test(SharedEvidence, theEntriesThatDifferMostAreSentAndRecoveredServersFirst)
{
    std::vector<Gateway::EvidenceEntry> entries;
    for (int server = 0; server < 20; ++server) {
        entries.push_back({.server = std::to_string(server), .report = server == 3 ? reportOf(5, 0.1, 0) : reportOf(0.1, 1 + 0.2 * server, 0)});
    }
    Gateway::chooseEntries(entries, at(0));
    cr_assert_eq(entries.size(), Gateway::MaximumEvidenceEntries);
    cr_assert(entries[0].server == "3" && entries[1].server == "19" && entries.back().server == "5");
}

namespace
{

/** A search with shard "a" at backend servers and shard "b" relayed to the gateway "gateway". */
class EvidenceFixture : public TestSupport::GatewayFixture
{
public:
    EvidenceFixture()
    {
        this->route().idempotent = true;
        this->route().targetLatency = Core::seconds(2);
        this->route().minimumCoverage = 0.5;
        this->route().shards = {Core::ServiceName("a"), Core::ServiceName("b")};
        this->relayed = {Core::ServiceName("b")};
        this->add("a", "a1", [](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            cr_assert(Wire::findHeader(request.headers, Evidence) == nullptr, "never sent to a backend server");
            exchange->respond(TestSupport::successResponse(request, "signature-a", std::string(16, 'a')));
        });
        for (const char *name : {"b1", "b2"}) {
            this->add("b", name, [](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
                exchange->respond(TestSupport::successResponse(request, "signature-b", std::string(16, 'b')));
            });
        }
        this->addGateway([this](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            const auto *header = Wire::findHeader(request.headers, Evidence);
            this->told = header == nullptr ? std::string() : *header;
            Protocol::PartialAnswer part;
            part.signatures = {"signature-b"};
            part.records = {std::string(16, 'b')};
            auto response = TestSupport::partOf(request, part);
            if (!this->answered.empty()) {
                response.headers.push_back({Evidence, this->answered});
            }
            exchange->respond(response);
        });
    }

    [[nodiscard]] std::string evidence(EvidenceScope scope)
    {
        return this->pool.evidenceOf(this->relayed, scope);
    }

    // What this gateway told the other one with the latest part, and what the other one answers.
    std::string told{"none yet"};
    std::string answered;
};

}

// Guards against a gateway that takes its own observations for those of others when they come back, and against a header where there is nothing to tell.
Test(SharedEvidence, partsAndAnswersCarryReportsButNotToTheirSource)
{
    EvidenceFixture fixture;
    (void)fixture.ask("r1");
    cr_assert_eq(fixture.told, "");
    cr_assert_eq(fixture.pool.evidenceCounters().sent, 0);
    fixture.answered = "b1=0.00/5.00/1/20,unknown=0.00/5.00/1/20,invalid";
    (void)fixture.ask("r2");
    cr_assert(fixture.pool.evidenceCounters().received == 3 && fixture.pool.evidenceCounters().ignored == 2);
    fixture.answered.clear();
    const auto held = fixture.evidence(EvidenceScope::All);
    cr_assert(held.starts_with("b1=0.00/5.00/1/") && held.ends_with("/gateway"), "%s", held.c_str());
    cr_assert_eq(fixture.evidence(EvidenceScope::Own), "", "an answer carries own observations only");
    (void)fixture.ask("r3");
    cr_assert_eq(fixture.told, "", "gateway knows it already");
    const auto forOther = Gateway::withoutOwnReports(held, "other");
    cr_assert(forOther.starts_with("b1=0.00/5.00/1/") && !forOther.ends_with("/gateway"), "%s", forOther.c_str());
    fixture.pool.receiveEvidence("b2=0.00/5.00/1/20", {}, Core::Duration(0));
    cr_assert(fixture.evidence(EvidenceScope::All).find("b2") == std::string::npos, "what came with a part is not sent on");
}

// Guards against gateways that learn nothing from answers or parts, against callers that pass for gateways, and against headers that reach backend servers.
Test(SharedEvidence, gatewaysLearnFromAnswersAndPartsAndNotFromCallers)
{
    TestSupport::NodeFixture fixture;
    fixture.coordinator.declare(nlohmann::json::parse(
        R"({"version": 1, "services": [{"name": "s0", "max_conns": 200}, {"name": "s1", "max_conns": 200}, {"name": "s2", "max_conns": 200}], "routes": [
        {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 1000, "public": true,
         "gather": ["s0", "s1", "s2"], "max_attempts": 2, "top_k": 5, "min_coverage": 0.5}]})"));
    for (const char *shard : {"s0", "s1", "s2"}) {
        fixture.addBackend(shard, std::string("server-") + shard, "beside");
    }
    fixture.backends[0]->script = [](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        exchange->respond(TestSupport::errorResponse(request, 503, true));
    };
    Core::Endpoint relayEndpoint;
    auto &asked = fixture.addNode("here", [&relayEndpoint](Gateway::GatewayOptions &options) {
        relayEndpoint = options.relayEndpoint;
    });
    const auto &serving = fixture.addNode("beside");
    cr_assert(fixture.awaitReady());
    const auto acceptanceOf = [&asked](const std::string &server) {
        const auto rows = nlohmann::json::parse(asked.node.backends().dump());
        const auto row = std::find_if(rows.begin(), rows.end(), [&server](const auto &candidate) {
            return candidate["backend"] == server;
        });
        return row->at("acceptance").template get<double>();
    };
    const Wire::Header forged{Evidence, "server-s1=0/6/1/0"};
    for (int search = 0; search < 200 && asked.node.backends().evidenceCounters().received == 0; ++search) {
        (void)fixture.ask(asked, "/search/1", {forged});
    }
    cr_assert_lt(acceptanceOf("server-s0"), 0.7, "from an answer");
    cr_assert_eq(acceptanceOf("server-s1"), 1.0, "what a caller sends does not count");
    Wire::Headers part{forged};
    Gateway::addRelayParameters(
        part, {.timeLeftToTarget = Core::seconds(1), .timeLeftToDeadline = Core::seconds(2), .shards = {Core::ServiceName("s1")}, .topRecords = 5});
    asked.callerEndpoint = relayEndpoint;
    cr_assert_eq(fixture.ask(asked, "/search/1", part).status, 200);
    cr_assert_lt(acceptanceOf("server-s1"), 0.7, "from a part");
    const auto carriesEvidence = [](const Wire::Request &request) {
        return Wire::findHeader(request.headers, Evidence) != nullptr;
    };
    cr_assert_not(std::any_of(serving.relayed.begin(), serving.relayed.end(), carriesEvidence), "it observed all of it itself");
    for (const auto &backend : fixture.backends) {
        cr_assert(!backend->requests.empty() && std::none_of(backend->requests.begin(), backend->requests.end(), carriesEvidence));
    }
}

// Guards against an answer without the observations of its gateway: a refusing server would stay unknown to the gateways that send the parts.
Test(SharedEvidence, anAnswerCarriesWhatItsGatewayObserved)
{
    EvidenceFixture fixture;
    fixture.relayed.clear();
    fixture.route().shards = {Core::ServiceName("a"), Core::ServiceName("b")};
    fixture.relayParameters
        = Gateway::RelayParameters{.timeLeftToTarget = Core::seconds(4), .timeLeftToDeadline = Core::seconds(5), .maximumMissing = 1, .shards = {}};
    int refusals = 0;
    fixture.add("c", "c1", [&refusals](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        ++refusals;
        exchange->respond(TestSupport::errorResponse(request, 503, true));
    });
    fixture.route().shards.emplace_back("c");
    for (const char *id : {"r1", "r2", "r3"}) {
        (void)fixture.ask(id);
        (void)fixture.runUntil([&fixture, until = fixture.timers.now() + Core::milliseconds(60)] {
            return fixture.timers.now() >= until;
        });
    }
    cr_assert_gt(refusals, 2);
    const auto *header = Wire::findHeader(fixture.answer->headers, Evidence);
    cr_assert(header != nullptr && header->starts_with("c1=0.00/"), "%s", header == nullptr ? "none" : header->c_str());
}
