/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Checks what the answer to a search promises: the body of each success contains
// exactly the greatest records of the parts whose signatures are listed, in
// descending order. No shard is listed twice, and missing shards are counted. The
// same holds for a part that another gateway requested, except that records below
// its minimum record are left out, and missing shards are listed by name.
//
// Gateways leave out records that the requesting gateway cannot need any more,
// while answers that it already has may be replaced, cancelled or retried. The
// tests therefore run random searches: a seed decides which server and which
// gateway answers next, with what, or never, and hedges are sent in between. Each
// run of a shard has records of its own, so a record of an unlisted run is
// detected, and so is one that was left out too early.
//
// The seed decides the answers and their order. The time when a hedge is due
// depends on the clock, so a search may differ slightly between runs.

#include <LibGateway/PackedSignatures.h>
#include <LibGateway/RecordMerge.h>
#include <LibRpc/Serialization.h>
#include <Support/GatewayFixture.h>

#include <criterion/criterion.h>
#include <cstdlib>
#include <random>

using TestSupport::errorResponse;
using TestSupport::GatewayFixture;
using TestSupport::successResponse;

namespace
{

// Steps of a search after which everything that still waits is answered.
constexpr int MaximumSteps = 70;

/** Totals over all searches, to check that the interesting cases occurred. */
struct SearchCounts {
    int successes{0};
    int partial{0};
    /** Parts requested with a minimum record, and searches answered with a part that left out records because of it. */
    int withMinimum{0};
    int shortened{0};
    /** Searches with more than one part that was requested with a minimum record, and shards that were answered directly but are listed by a part. */
    int withSeveralMinimums{0};
    int replaced{0};
};

/** One run of a shard, identified by its signature. */
struct ShardRun {
    std::string shard;
    std::string records;
    bool wasDirect{false};
    // The part with this run left out records below the minimum record.
    bool inShortenedPart{false};
};

/** A request that a server or a gateway has not answered yet. */
struct HeldRequest {
    // Empty for a request to a gateway.
    std::string shard;
    Wire::Request request;
    Wire::ExchangePointer exchange;
};

/** Returns the greatest records. Implemented independently of the code under test. */
std::string greatest(const std::vector<std::string> &bodies, std::size_t count)
{
    std::vector<std::string> records;
    for (const auto &body : bodies) {
        for (std::size_t number = 0; number < body.size() / Gateway::RecordBytes; ++number) {
            records.push_back(body.substr(number * Gateway::RecordBytes, Gateway::RecordBytes));
        }
    }
    std::sort(records.begin(), records.end(), std::greater<>());
    records.resize(std::min(count, records.size()));
    std::string merged;
    for (const auto &record : records) {
        merged += record;
    }
    return merged;
}

/** Content of a successful answer to a caller or to another gateway. */
struct ParsedAnswer {
    std::vector<std::string> signatures;
    std::size_t missing{0};
    // Only in answers to another gateway.
    std::vector<std::string> missingShards;
    std::string records;
};

ParsedAnswer parseCallerAnswer(const Wire::Response &answer)
{
    ParsedAnswer parsed;
    for (const auto &header : answer.headers) {
        if (Wire::sameName(header.name, "Part-Stamps")) {
            for (const auto &named : Core::splitList(header.value)) {
                parsed.signatures.push_back(named.substr(named.find_first_not_of(' ')));
            }
        }
    }
    parsed.missing = std::strtoull(Wire::findHeader(answer.headers, "Missing-Parts")->c_str(), nullptr, 10);
    parsed.records = answer.body;
    return parsed;
}

ParsedAnswer parsePart(const Wire::Response &answer)
{
    auto part = Rpc::deserialize<Protocol::PartialAnswer>(answer.body);
    cr_assert(part.has_value() && Gateway::unpackSignatures(part.value()).has_value());
    ParsedAnswer parsed{.signatures = part->signatures, .missing = part->missing.size(), .missingShards = {}, .records = part->records};
    for (const auto &shard : part->missing) {
        parsed.missingShards.push_back(shard.serviceName);
    }
    return parsed;
}

/** Which events a random search contains. */
enum class Scenario {
    Anything,
    /** Hedges are sent several times, and direct answers are replaced by those of parts that arrive later. Nothing fails. */
    Replacements,
};

/** One search over shards, servers and gateways whose behaviour depends on the seed. */
class RandomSearch : public GatewayFixture
{
public:
    RandomSearch(Scenario scenario, std::uint64_t seed) : scenario(scenario), seed(seed), random(seed)
    {
        this->route().idempotent = true;
        this->route().maximumAttempts = this->between(2, 4);
        this->route().topRecords = static_cast<std::size_t>(this->chance(80, 100) ? this->between(25, 40) : this->between(1, 24));
        this->route().minimumCoverage = 0.1 * this->between(2, 10);
        // Either the target is reached while many shards are open, and what is never answered times out; or the target is far away, and hedges continue.
        this->hasShortTarget = this->chance(30, 0);
        this->route().targetLatency = this->hasShortTarget ? Core::milliseconds(60) : Core::seconds(8);
        this->route().timeout = this->hasShortTarget ? Core::milliseconds(400) : Core::seconds(10);
        this->settings.hedgeFloor = Core::milliseconds(4);
        for (int count = 0; count < 30; ++count) {
            this->latencies.add(Core::milliseconds(1));
        }
        this->manyRecordsPercent = this->chance(40) ? 80 : 0;
        this->addGateways("there");
        if (this->chance(50)) {
            this->addGateways("yonder");
        }
        const int shards = this->between(4, 12);
        for (int number = 0; number < shards; ++number) {
            this->addShard("s" + std::to_string(number));
        }
        if (this->chance(40, 0)) {
            std::copy_if(this->route().shards.begin(), this->route().shards.end(), std::back_inserter(this->relayed), [this](const auto &) {
                return this->chance(40);
            });
            if (this->chance(50)) {
                this->owners = {Gateway::BackendName("gateway-there")};
            }
        }
        if (this->chance(30)) {
            this->relayParameters = Gateway::RelayParameters{.timeLeftToTarget = this->hasShortTarget ? Core::milliseconds(40) : Core::seconds(8),
                .timeLeftToDeadline = this->hasShortTarget ? Core::milliseconds(350) : Core::seconds(9),
                .maximumMissing = static_cast<std::size_t>(this->between(0, shards / 2)),
                .mayRelayFurther = false,
                .before = {},
                .shards = this->route().shards,
                .minimumRecord = this->chance(30) ? record(this->between(0, 0x6000)) : std::string()};
        }
    }

    void runToEnd(SearchCounts &counts)
    {
        this->begin("search");
        const int rounds = this->chance(60, 100) ? this->between(1, 2) : 0;
        for (int round = 0; round < rounds; ++round) {
            this->hedgeRepeatedly();
        }
        for (int step = 0; step < MaximumSteps && !this->answer.has_value(); ++step) {
            if (this->chance(40)) {
                this->answerRandomRequest(step);
            } else if (this->chance(25)) {
                this->addRandomServer();
            }
            this->settle(Core::milliseconds(1));
        }
        const bool ended = this->runUntil([this] {
            while (!this->heldRequests.empty()) {
                this->answerRandomRequest(MaximumSteps);
            }
            return this->answer.has_value();
        });
        cr_assert(ended, "seed %zu: no answer", this->seed);
        this->checkAnswer(counts);
    }

private:
    [[nodiscard]] int between(int minimum, int maximum)
    {
        return std::uniform_int_distribution<int>(minimum, maximum)(this->random);
    }

    [[nodiscard]] bool chance(int percent)
    {
        return this->between(1, 100) <= percent;
    }

    /** Uses another probability in the scenario Replacements. */
    [[nodiscard]] bool chance(int percent, int percentForReplacements)
    {
        return this->chance(this->scenario == Scenario::Replacements ? percentForReplacements : percent);
    }

    // There are few enough values that records of different servers are sometimes equal. Bytes are below and above 0x80, to detect signed comparisons.
    [[nodiscard]] static std::string record(int value)
    {
        std::string bytes(Gateway::RecordBytes, '\x80');
        bytes[0] = static_cast<char>(value / 0x100);
        bytes[1] = static_cast<char>(value % 0x100);
        return bytes;
    }

    [[nodiscard]] std::string randomRecords(bool hasManyRecords)
    {
        const int limit = hasManyRecords || this->chance(20) ? 0xffff : this->chance(50) ? 0x6000 : 0x200;
        const int count = hasManyRecords ? this->between(30, 100) : this->between(0, 15);
        std::string records;
        for (int number = 0; number < count; ++number) {
            records += record(this->between(0, limit));
        }
        return records + std::string(this->chance(20) ? static_cast<std::size_t>(this->between(1, 15)) : 0U, '\xff');
    }

    [[nodiscard]] std::string newRun(const std::string &shard, bool isDirect, bool hasManyRecords)
    {
        const auto signature = shard + "." + std::to_string(this->runs.size()) + (isDirect ? ".here" : ".elsewhere");
        this->runs[signature] = ShardRun{.shard = shard, .records = this->randomRecords(hasManyRecords), .wasDirect = isDirect};
        return signature;
    }

    [[nodiscard]] bool isRelayed(const std::string &shard) const
    {
        return std::any_of(this->heldRequests.begin(), this->heldRequests.end(), [&shard](const HeldRequest &held) {
            auto headers = held.request.headers;
            const auto parameters = Gateway::extractRelayParameters(headers);
            return parameters.has_value()
                && std::find(parameters->shards.begin(), parameters->shards.end(), Core::ServiceName(shard)) != parameters->shards.end();
        });
    }

    void addGateways(const std::string &zone)
    {
        const int count = this->between(1, 2);
        for (int number = 0; number < count; ++number) {
            const auto name = "gateway-" + zone + (number == 0 ? "" : "-second");
            this->addTo(this->relays, Gateway::relayService(zone).value(), name, this->holdRequests(""), zone);
        }
    }

    void addServer(const std::string &shard, const std::string &zone)
    {
        this->addTo(this->pool, shard, shard + "-" + std::to_string(this->backends.size()), this->holdRequests(shard), zone);
    }

    void addShard(const std::string &shard)
    {
        this->route().shards.emplace_back(shard);
        this->addServer(shard, this->chance(80) ? "here" : "there");
        if (this->chance(10)) {
            this->addServer(shard, this->chance(50) ? "here" : "beside");
        }
        if (this->chance(50)) {
            this->addServer(shard, "there");
        }
        if (this->chance(10)) {
            this->addServer(shard, "yonder");
        }
    }

    // Adds a server, so that a shard that could not be hedged before is hedged in a part of its own after other shards.
    void addRandomServer()
    {
        const auto &shards = this->route().shards;
        this->addServer(shards[static_cast<std::size_t>(this->between(0, static_cast<int>(shards.size()) - 1))].value(), this->chance(70) ? "there" : "yonder");
    }

    // Waits for hedges, answers some of the hedged shards directly, then lets other shards be hedged, with a minimum record if enough are answered.
    void hedgeRepeatedly()
    {
        this->settle(Core::milliseconds(10));
        std::vector<HeldRequest> answered;
        std::vector<HeldRequest> left;
        for (const auto &held : this->heldRequests) {
            const bool isNow = !held.shard.empty() && this->chance(this->isRelayed(held.shard) ? 60 : this->manyRecordsPercent / 2);
            (isNow ? answered : left).push_back(held);
        }
        for (const auto &held : answered) {
            this->answerAsServer(held);
        }
        this->heldRequests = left;
        this->settle(Core::milliseconds(1));
        for (const auto &shard : this->route().shards) {
            if (this->chance(60)) {
                this->addServer(shard.value(), "there");
            }
        }
        this->settle(Core::milliseconds(10));
    }

    [[nodiscard]] TestSupport::ScriptedBackend::Script holdRequests(const std::string &shard)
    {
        return [this, shard](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            this->heldRequests.push_back({.shard = shard, .request = request, .exchange = exchange});
        };
    }

    // In early steps mostly servers answer, so that parts are open while other events occur. Later mostly gateways answer, so that parts arrive before a search
    // has all direct answers.
    void answerRandomRequest(int step)
    {
        if (this->heldRequests.empty()) {
            return;
        }
        const auto position = this->heldRequests.begin() + this->between(0, static_cast<int>(this->heldRequests.size()) - 1);
        const HeldRequest chosen = *position;
        const bool isEarly = step < MaximumSteps / 10;
        if (chosen.shard.empty() == isEarly && step < MaximumSteps && this->chance(70, 90)) {
            return;
        }
        this->heldRequests.erase(position);
        if (this->hasShortTarget && this->chance(10)) {
            // This request is never answered.
            return;
        }
        if (chosen.shard.empty()) {
            this->answerAsGateway(chosen);
        } else {
            this->answerAsServer(chosen);
        }
    }

    void answerAsServer(const HeldRequest &held)
    {
        const int kind = this->chance(100, 0) ? this->between(1, 100) : 100;
        if (kind <= 8) {
            held.exchange->respond(errorResponse(held.request, 503, true));
            return;
        }
        if (kind <= 20) {
            // Responses that do not count as an answer: an error response with a signature, and a success without one.
            auto notCounted = successResponse(held.request, "of no part", this->randomRecords(this->chance(50)));
            if (kind <= 16) {
                notCounted.status = 500;
            } else {
                notCounted.headers.pop_back();
            }
            held.exchange->respond(notCounted);
            return;
        }
        const bool hasManyRecords = this->chance(this->isRelayed(held.shard) ? 80 : this->manyRecordsPercent);
        const auto signature = this->newRun(held.shard, true, hasManyRecords);
        auto response = successResponse(held.request, signature, this->runs[signature].records);
        if (kind <= 24) {
            response.headers.push_back({"Connection", "close"});
        }
        held.exchange->respond(response);
    }

    void answerAsGateway(const HeldRequest &held)
    {
        auto headers = held.request.headers;
        const auto parameters = Gateway::extractRelayParameters(headers);
        cr_assert(parameters.has_value(), "seed %zu", this->seed);
        this->partsWithMinimum += parameters->minimumRecord.empty() ? 0 : 1;
        const int kind = this->chance(100, 0) ? this->between(1, 100) : 100;
        if (kind <= 20) {
            held.exchange->respond(errorResponse(held.request, kind <= 8 ? 502 : 503, false));
            return;
        }
        auto part = this->partOf(*parameters);
        if (kind <= 24 && !part.signatures.empty()) {
            // A part whose signatures and missing shards do not add up is discarded.
            part.signatures.pop_back();
        }
        if (this->chance(50)) {
            Gateway::packSignatures(part);
        }
        held.exchange->respond(TestSupport::partOf(held.request, part));
    }

    /** Returns the answer of a correct gateway that has some of the shards. */
    [[nodiscard]] Protocol::PartialAnswer partOf(const Gateway::RelayParameters &parameters)
    {
        Protocol::PartialAnswer part;
        std::vector<std::string> bodies;
        const int shareIn = this->chance(50, 90) ? 100 : this->between(0, 100);
        for (const auto &shard : parameters.shards) {
            if (this->chance(shareIn)) {
                part.signatures.push_back(this->newRun(shard.value(), false, this->chance(15, 0)));
                bodies.push_back(this->runs[part.signatures.back()].records);
                continue;
            }
            Protocol::MissingShard missing;
            missing.serviceName = shard.value();
            missing.executions = this->between(parameters.isHedge ? 1 : parameters.before.executions, 2);
            missing.sends = missing.executions + this->between(0, 1);
            missing.counted = missing.sends > 0 || this->chance(50);
            part.missing.push_back(missing);
        }
        part.records = greatest(bodies, this->route().topRecords);
        const auto whole = part.records.size();
        Gateway::dropLessThan(part.records, parameters.minimumRecord);
        for (const auto &signature : part.signatures) {
            this->runs[signature].inShortenedPart = part.records.size() < whole;
        }
        return part;
    }

    void checkAnswer(SearchCounts &counts) const
    {
        counts.withMinimum += this->partsWithMinimum;
        counts.withSeveralMinimums += this->partsWithMinimum > 1 ? 1 : 0;
        if (this->answer->status != 200) {
            return;
        }
        const auto parsed = this->relayParameters.has_value() ? parsePart(*this->answer) : parseCallerAnswer(*this->answer);
        std::set<std::string> shards;
        std::vector<std::string> bodies;
        bool isShortened = false;
        for (const auto &signature : parsed.signatures) {
            const auto found = this->runs.find(signature);
            cr_assert(found != this->runs.end(), "seed %zu: no backend server or gateway sent %s", this->seed, signature.c_str());
            const auto &run = found->second;
            cr_assert(shards.insert(run.shard).second, "seed %zu: %s is listed twice", this->seed, run.shard.c_str());
            bodies.push_back(run.records);
            isShortened = isShortened || run.inShortenedPart;
            counts.replaced += !run.wasDirect && this->wasAnsweredDirectly(run.shard) ? 1 : 0;
        }
        const auto &declared = this->declaration->routes.front();
        const auto in = parsed.signatures.size();
        cr_assert_eq(
            in + parsed.missing, declared.shards.size(), "seed %zu: %zu answered, %zu missing of %zu", this->seed, in, parsed.missing, declared.shards.size());
        for (const auto &shard : parsed.missingShards) {
            cr_assert(shards.insert(shard).second, "seed %zu: %s is answered and missing, or missing twice", this->seed, shard.c_str());
        }
        auto expected = greatest(bodies, declared.topRecords);
        if (this->relayParameters.has_value()) {
            Gateway::dropLessThan(expected, this->relayParameters->minimumRecord);
        } else {
            // Increased slightly to allow for rounding of the product.
            const double share = static_cast<double>(in) / static_cast<double>(declared.shards.size()) + 1e-9;
            cr_assert(in > 0 && share >= declared.minimumCoverage,
                "seed %zu: %zu of %zu shards are below the minimum coverage",
                this->seed,
                in,
                declared.shards.size());
        }
        const auto differs = std::mismatch(expected.begin(), expected.end(), parsed.records.begin(), parsed.records.end()).first - expected.begin();
        cr_assert(parsed.records == expected,
            "seed %zu: got %zu bytes, expected %zu; first difference at byte %td",
            this->seed,
            parsed.records.size(),
            expected.size(),
            differs);
        ++counts.successes;
        counts.partial += parsed.missing > 0 ? 1 : 0;
        counts.shortened += isShortened ? 1 : 0;
    }

    [[nodiscard]] bool wasAnsweredDirectly(const std::string &shard) const
    {
        return std::any_of(this->runs.begin(), this->runs.end(), [&shard](const auto &run) {
            return run.second.shard == shard && run.second.wasDirect;
        });
    }

    Scenario scenario;
    std::size_t seed;
    std::mt19937_64 random;
    bool hasShortTarget{false};
    // Percentage of direct answers with many records among those that no part can replace. With a low value the merged records depend on answers that may be
    // replaced; with a high one minimum records are sent more often.
    int manyRecordsPercent{0};
    std::vector<HeldRequest> heldRequests;
    // Runs by signature.
    std::map<std::string, ShardRun> runs;
    int partsWithMinimum{0};
};

void runSeeds(Scenario scenario, std::uint64_t first, std::uint64_t last)
{
    SearchCounts counts;
    // CRANKRUDDER_TEST_SEED=N runs a single seed several times, to reproduce a failure.
    const char *chosen = std::getenv("CRANKRUDDER_TEST_SEED");
    if (chosen != nullptr) {
        for (int time = 0; time < 10; ++time) {
            RandomSearch(scenario, std::strtoull(chosen, nullptr, 10)).runToEnd(counts);
        }
        return;
    }
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        RandomSearch(scenario, seed).runToEnd(counts);
    }
    cr_log_info("%d successes, %d of them partial, %d with records left out; %d parts with a minimum record, %d searches with several; %d answers replaced",
        counts.successes,
        counts.partial,
        counts.shortened,
        counts.withMinimum,
        counts.withSeveralMinimums,
        counts.replaced);
    // If these cases did not occur, the test would prove nothing.
    cr_assert_gt(counts.replaced, 0);
    if (scenario == Scenario::Replacements) {
        cr_assert_gt(counts.shortened, 0);
    } else {
        cr_assert(counts.partial > 0 && counts.successes > counts.partial);
    }
}

}

Test(MergedBodies, containGreatestRecordsOfListedParts)
{
    runSeeds(Scenario::Anything, 1, 60);
}

Test(MergedBodies, areCompleteIfAnswersAreReplacedAfterMinimumRecordWasSent)
{
    runSeeds(Scenario::Replacements, 1, 60);
}
