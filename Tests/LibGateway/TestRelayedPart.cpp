/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Protects a search from a part that is not the one that was asked for: signatures
// stand for shards only by what the part says is missing, so a part that names a
// missing shard which it was not asked for, or one twice, tells of none of its
// shards whether it is in. It counts for nothing, and what ran for it is unknown.

#include <LibGateway/RecordMerge.h>
#include <LibRpc/Serialization.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>
#include <sys/epoll.h>

using TestSupport::GatewayFixture;
using TestSupport::successResponse;

namespace
{

std::string record(char letter)
{
    return std::string(16, letter);
}

Protocol::MissingShard neverSent(const std::string &name)
{
    Protocol::MissingShard missing;
    missing.serviceName = name;
    return missing;
}

/** A search of which "a" is asked for here, and "b" and "c" by another gateway, which answers as the test says. */
class PartFixture : public GatewayFixture
{
public:
    PartFixture(double coverage, Protocol::PartialAnswer answerOfGateway)
    {
        this->route().idempotent = true;
        this->route().maximumAttempts = 2;
        this->route().targetLatency = Core::seconds(8);
        this->route().topRecords = 10;
        this->route().minimumCoverage = coverage;
        this->route().shards = {Core::ServiceName("a"), Core::ServiceName("b"), Core::ServiceName("c")};
        this->relayed = {Core::ServiceName("b"), Core::ServiceName("c")};
        for (const auto &shard : this->route().shards) {
            this->servers.push_back(&this->add(shard.value(), shard.value() + "-near", [shard](const auto &request, const auto &exchange) {
                exchange->respond(successResponse(request, shard.value() + "-here", record(shard.value().front())));
            }));
        }
        this->addGateway([part = std::move(answerOfGateway)](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            exchange->respond(TestSupport::partOf(request, part));
        });
    }

    /** Of "b" and "c", how often they were asked here. */
    [[nodiscard]] std::size_t askedAgain() const
    {
        return this->servers[1]->requests.size() + this->servers[2]->requests.size();
    }

    std::vector<TestSupport::ScriptedBackend *> servers;
};

/** A part with one signature for each that is not missing of two. */
Protocol::PartialAnswer partWithout(const std::vector<std::string> &missing)
{
    Protocol::PartialAnswer part;
    for (const auto &shard : missing) {
        part.missing.push_back(neverSent(shard));
    }
    for (std::size_t number = missing.size(); number < 2; ++number) {
        part.signatures.push_back("part-" + std::to_string(number));
        part.records += record('z');
    }
    return part;
}

/** Another gateway whose machine has started again: whatever comes on a connection is answered with a reset. */
class ResettingGateway : public Core::EventHandler, public std::enable_shared_from_this<ResettingGateway>
{
public:
    explicit ResettingGateway(GatewayFixture &fixture)
        : poll(*fixture.poll), endpoint(TestSupport::freeEndpoint()), listener(std::move(Wire::Socket::listenOn(this->endpoint, 4).value()))
    {
    }

    void listen()
    {
        this->poll.add(this->listener.number(), EPOLLIN, this->shared_from_this());
    }

    void handleEvents(std::uint32_t) override
    {
        if (!this->connection.isOpen()) {
            this->connection = this->listener.acceptOne();
            this->poll.add(this->connection.number(), EPOLLIN, this->shared_from_this());
            return;
        }
        this->poll.remove(this->connection.number());
        this->connection.resetOnClose();
        this->connection = Wire::Socket();
        ++this->resets;
    }

    Core::EventPoll &poll;
    Core::Endpoint endpoint;
    Wire::Socket listener;
    Wire::Socket connection;
    int resets{0};
};

struct Case {
    const char *name;
    std::vector<std::string> missing;
};

const std::vector<Case> &wrongParts()
{
    static const std::vector<Case> cases{
        {"one of another search is missing", {"z"}},
        {"one of this search that it was not asked for is missing", {"a"}},
        {"two that it was not asked for are missing", {"z", "y"}},
        {"one that it was not asked for is missing besides one of its own", {"b", "z"}},
        {"one is missing twice", {"b", "b"}},
    };
    return cases;
}

}

Test(RelayedPart, countsForNothingWhenItNamesMissingShardsThatItWasNotAskedFor)
{
    for (const auto &item : wrongParts()) {
        PartFixture fixture(0.3, partWithout(item.missing));
        const auto answer = fixture.ask("r1");
        cr_assert_eq(answer.status, 200, "%s", item.name);
        cr_assert_str_eq(Wire::findHeader(answer.headers, "Part-Stamps")->c_str(), "a-here", "%s", item.name);
        cr_assert_str_eq(Wire::findHeader(answer.headers, "Missing-Parts")->c_str(), "2", "%s", item.name);
        cr_assert(answer.body == record('a'), "%s", item.name);
        cr_assert_eq(fixture.askedAgain(), 0, "%s: they may have run as often as the route allows", item.name);
    }
}

// Shards that were taken to be in without a signature counted towards the coverage of an answer that named one shard of three.
Test(RelayedPart, addsNothingToTheCoverageThatItHasNoSignatureFor)
{
    for (const auto &item : wrongParts()) {
        PartFixture fixture(0.6, partWithout(item.missing));
        const auto answer = fixture.ask("r1");
        cr_assert_eq(answer.status, 502, "%s: %d, though it is known of one shard of three only that it is in", item.name, answer.status);
    }
}

// The load pattern: a fifth of all instances starts again after a loss of power, and kept connections to their gateways are reset as soon as a part is
// sent on them. Each such part made its whole search fail.
Test(RelayedPart, isAskedForAgainWhenItsConnectionBreaksAtOnce)
{
    for (const bool atOnce : {true, false}) {
        PartFixture fixture(1.0, partWithout({}));
        const auto gateway = std::make_shared<ResettingGateway>(fixture);
        gateway->listen();
        Fleet::BackendRecord restarted;
        restarted.announcement.id = "gateway";
        restarted.announcement.born = 1;
        restarted.announcement.serviceName = Gateway::relayService("there").value();
        restarted.announcement.address = gateway->endpoint.toString();
        restarted.announcement.zone = "there";
        restarted.announcement.phase = Protocol::BackendPhase::READY;
        fixture.relays.update(restarted);
        fixture.settings.immediateBreak = atOnce ? Core::seconds(10) : Core::Duration(0);
        const auto answer = fixture.ask("r1");
        cr_assert_eq(gateway->resets, 1);
        cr_assert_eq(answer.status, atOnce ? 200 : 502);
        cr_assert_eq(fixture.askedAgain(), atOnce ? 2 : 0, "it may have run as often as the route allows");
    }
}

// Gateways may hold different declarations for a moment after a change.
Test(RelayedPart, hasAsManyRecordsAsItsAskerWantsWhateverTheOtherGatewaysDeclarationSays)
{
    for (const std::size_t wanted : {1U, 2U, 3U}) {
        GatewayFixture fixture;
        fixture.route().shards = {Core::ServiceName("a")};
        fixture.route().topRecords = 2;
        fixture.add("a", "a-near", [](const auto &request, const auto &exchange) {
            exchange->respond(successResponse(request, "a-here", record('a') + record('c') + record('b')));
        });
        fixture.relayParameters = Gateway::RelayParameters{
            .timeLeftToTarget = Core::seconds(8), .timeLeftToDeadline = Core::seconds(9), .before = {}, .shards = fixture.route().shards, .topRecords = wanted};
        const auto answer = fixture.ask("r1");
        const auto part = Rpc::deserialize<Protocol::PartialAnswer>(answer.body).value();
        cr_assert_eq(part.records.size(), wanted * Gateway::RecordBytes);
    }
}

Test(RelayedPart, isAskedForAsManyRecordsAsTheSearchWants)
{
    GatewayFixture fixture;
    fixture.route().shards = {Core::ServiceName("a")};
    fixture.route().topRecords = 7;
    fixture.relayed = fixture.route().shards;
    std::size_t wanted = 0;
    fixture.addGateway([&wanted](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
        auto headers = request.headers;
        wanted = Gateway::extractRelayParameters(headers).value().topRecords;
        exchange->respond(TestSupport::partOf(request, partWithout({"a"})));
    });
    (void)fixture.ask("r1");
    cr_assert_eq(wanted, 7);
}

Test(RelayedPart, countsWhenItNamesMissingShardsThatItWasAskedFor)
{
    const std::vector<Case> cases{{"none", {}}, {"the first", {"b"}}, {"the second", {"c"}}, {"both, in another order", {"c", "b"}}};
    for (const auto &item : cases) {
        PartFixture fixture(1.0, partWithout(item.missing));
        const auto answer = fixture.ask("r1");
        cr_assert_eq(answer.status, 200, "%s", item.name);
        cr_assert_str_eq(Wire::findHeader(answer.headers, "Missing-Parts")->c_str(), "0", "%s", item.name);
        cr_assert_eq(fixture.askedAgain(), item.missing.size(), "%s: what never was sent is asked for here", item.name);
    }
}
