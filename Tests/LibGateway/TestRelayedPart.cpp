/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Checks that a part is discarded if it does not fit the request. Which shards
// the signatures belong to follows only from the list of missing shards. If a
// part lists a shard that was not requested, or lists one twice, it is not known
// which of its shards are answered, nor what ran for them.

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

/** A search over "a", which is sent directly, and "b" and "c", which are relayed to another gateway with the given answer. */
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

    /** Number of direct requests for "b" and "c". */
    [[nodiscard]] std::size_t directRequests() const
    {
        return this->servers[1]->requests.size() + this->servers[2]->requests.size();
    }

    std::vector<TestSupport::ScriptedBackend *> servers;
};

/** Returns a part of two shards, with a signature for each that is not missing. */
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

/** A gateway whose machine was restarted: it resets every connection as soon as bytes arrive. */
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

const std::vector<Case> &invalidParts()
{
    static const std::vector<Case> cases{
        {"a shard of another search is missing", {"z"}},
        {"a shard of this search that was not requested is missing", {"a"}},
        {"two shards that were not requested are missing", {"z", "y"}},
        {"a requested and another shard are missing", {"b", "z"}},
        {"a shard is missing twice", {"b", "b"}},
    };
    return cases;
}

}

Test(RelayedPart, isDiscardedIfItListsMissingShardsNotRequested)
{
    for (const auto &item : invalidParts()) {
        PartFixture fixture(0.3, partWithout(item.missing));
        const auto answer = fixture.ask("r1");
        cr_assert_eq(answer.status, 200, "%s", item.name);
        cr_assert_str_eq(Wire::findHeader(answer.headers, "Part-Stamps")->c_str(), "a-here", "%s", item.name);
        cr_assert_str_eq(Wire::findHeader(answer.headers, "Missing-Parts")->c_str(), "2", "%s", item.name);
        cr_assert(answer.body == record('a'), "%s", item.name);
        cr_assert_eq(fixture.directRequests(), 0, "%s: the shards may have run as often as the route allows", item.name);
    }
}

// If shards without a signature counted as answered, they would count towards the coverage of an answer that lists one shard of three.
Test(RelayedPart, addsNoCoverageWithoutSignatures)
{
    for (const auto &item : invalidParts()) {
        PartFixture fixture(0.6, partWithout(item.missing));
        const auto answer = fixture.ask("r1");
        cr_assert_eq(answer.status, 502, "%s: status %d, although only one shard of three is known to be answered", item.name, answer.status);
    }
}

// After a loss of power a fifth of all instances is restarted, and connections to their gateways that were kept open are reset as soon as a part is sent. Each
// such part made the whole search fail.
Test(RelayedPart, isRetriedIfItsConnectionBreaksImmediately)
{
    for (const bool isImmediate : {true, false}) {
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
        fixture.settings.maximumGiveUpTime = isImmediate ? Core::seconds(10) : Core::Duration(0);
        const auto answer = fixture.ask("r1");
        cr_assert_eq(gateway->resets, 1);
        cr_assert_eq(answer.status, isImmediate ? 200 : 502);
        cr_assert_eq(fixture.directRequests(), isImmediate ? 2 : 0, "the shards may have run as often as the route allows");
    }
}

// Gateways may have different declarations for a moment after a change.
Test(RelayedPart, hasRecordCountOfRequestWhateverOwnDeclarationSays)
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

Test(RelayedPart, isSentWithRecordCountOfRoute)
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

Test(RelayedPart, isAcceptedIfItListsRequestedShardsAsMissing)
{
    const std::vector<Case> cases{{"none", {}}, {"the first", {"b"}}, {"the second", {"c"}}, {"both, in another order", {"c", "b"}}};
    for (const auto &item : cases) {
        PartFixture fixture(1.0, partWithout(item.missing));
        const auto answer = fixture.ask("r1");
        cr_assert_eq(answer.status, 200, "%s", item.name);
        cr_assert_str_eq(Wire::findHeader(answer.headers, "Missing-Parts")->c_str(), "0", "%s", item.name);
        cr_assert_eq(fixture.directRequests(), item.missing.size(), "%s: shards that were never sent are sent to directly", item.name);
    }
}
