/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Protects what a caller of a search is promised: the body of every success is
// exactly the greatest records of the parts whose signatures it names, falling; no
// shard is named twice, and those that are missing are counted. The same holds for
// what another gateway gets that asks for a part, but for the records that it said
// it needs none of, and the missing shards are named. Gateways leave out
// of a part what the asker can't want any more, while answers that the asker holds
// may be replaced, given up or asked for again. So a seed decides which server and
// which gateway answers next, with what, or never, and hedges go out in between.
// Every run of a shard has records of its own, so a record of a run that is not
// named, or one that was left out too early, shows.
//
// A seed decides what is answered and in which order. When a hedge is due is up to
// the clock, so a play may differ a little from one run to the next.

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

// Of a whole play, after which everything that is still waited for is answered.
constexpr int MostSteps = 70;

/** What plays came to, so that it is known that they show something. */
struct PlayCounts {
    int successes{0};
    int partial{0};
    /** Parts that were asked for with a least record, and of these the ones that left records out and are named in a success. */
    int limited{0};
    int shortened{0};
    /** Searches with more than one such part, and shards that are named by a part though they were answered here, too. */
    int limitedAgain{0};
    int replaced{0};
};

/** One run of a shard, known by its signature. */
struct ShardRun {
    std::string shard;
    std::string records;
    bool wasHere{false};
    // It left records out, because of the least record.
    bool inShortenedPart{false};
};

/** A request that a server or a gateway has not answered yet. */
struct Waiting {
    // Empty at a gateway.
    std::string shard;
    Wire::Request request;
    Wire::ExchangePointer exchange;
};

/** The greatest records, by other means than those that are tested. */
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

/** What a success says, to a caller or to another gateway. */
struct Said {
    std::vector<std::string> signatures;
    std::size_t missing{0};
    // Another gateway is told which ones.
    std::vector<std::string> missingShards;
    std::string records;
};

Said readCallersAnswer(const Wire::Response &answer)
{
    Said said;
    for (const auto &header : answer.headers) {
        if (Wire::sameName(header.name, "Part-Stamps")) {
            for (const auto &named : Core::splitList(header.value)) {
                said.signatures.push_back(named.substr(named.find_first_not_of(' ')));
            }
        }
    }
    said.missing = std::strtoull(Wire::findHeader(answer.headers, "Missing-Parts")->c_str(), nullptr, 10);
    said.records = answer.body;
    return said;
}

Said readPart(const Wire::Response &answer)
{
    auto part = Rpc::deserialize<Protocol::PartialAnswer>(answer.body);
    cr_assert(part.has_value() && Gateway::unpackSignatures(part.value()).has_value());
    Said said{.signatures = part->signatures, .missing = part->missing.size(), .missingShards = {}, .records = part->records};
    for (const auto &shard : part->missing) {
        said.missingShards.push_back(shard.serviceName);
    }
    return said;
}

/** What a play is about. */
enum class Theme {
    Anything,
    /** Hedges go out in turn, and answers that are here already are replaced by those of parts that come later; nothing fails. */
    Replacements,
};

/** One search over shards, servers and gateways that its seed decides about. */
class Play : public GatewayFixture
{
public:
    Play(Theme theme, std::uint64_t seed) : theme(theme), seed(seed), random(seed)
    {
        this->route().idempotent = true;
        this->route().maximumAttempts = this->between(2, 4);
        this->route().topRecords = static_cast<std::size_t>(this->chance(80, 100) ? this->between(25, 40) : this->between(1, 24));
        this->route().minimumCoverage = 0.1 * this->between(2, 10);
        // Either the target comes while much is open, and what is never answered is given up; or it stays far away, and hedges go on.
        this->isShort = this->chance(30, 0);
        this->route().targetLatency = this->isShort ? Core::milliseconds(60) : Core::seconds(8);
        this->route().timeout = this->isShort ? Core::milliseconds(400) : Core::seconds(10);
        this->settings.hedgeFloor = Core::milliseconds(4);
        for (int count = 0; count < 30; ++count) {
            this->latencies.add(Core::milliseconds(1));
        }
        this->richPercent = this->chance(40) ? 80 : 0;
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
            this->relayParameters = Gateway::RelayParameters{.timeLeftToTarget = this->isShort ? Core::milliseconds(40) : Core::seconds(8),
                .timeLeftToDeadline = this->isShort ? Core::milliseconds(350) : Core::seconds(9),
                .maximumMissing = static_cast<std::size_t>(this->between(0, shards / 2)),
                .mayRelayFurther = false,
                .before = {},
                .shards = this->route().shards,
                .minimumRecord = this->chance(30) ? record(this->between(0, 0x6000)) : std::string()};
        }
    }

    void play(PlayCounts &counts)
    {
        this->begin("search");
        const int rounds = this->chance(60, 100) ? this->between(1, 2) : 0;
        for (int round = 0; round < rounds; ++round) {
            this->hedgeInTurn();
        }
        for (int step = 0; step < MostSteps && !this->answer.has_value(); ++step) {
            if (this->chance(40)) {
                this->answerOne(step);
            } else if (this->chance(25)) {
                this->addLateServer();
            }
            this->settle(Core::milliseconds(1));
        }
        const bool ended = this->runUntil([this] {
            while (!this->waiting.empty()) {
                this->answerOne(MostSteps);
            }
            return this->answer.has_value();
        });
        cr_assert(ended, "seed %zu: no answer", this->seed);
        this->checkAnswer(counts);
    }

private:
    [[nodiscard]] int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(this->random);
    }

    [[nodiscard]] bool chance(int percent)
    {
        return this->between(1, 100) <= percent;
    }

    /** With other odds where answers are to be replaced. */
    [[nodiscard]] bool chance(int percent, int percentForReplacements)
    {
        return this->chance(this->theme == Theme::Replacements ? percentForReplacements : percent);
    }

    // Few enough kinds that records of different servers are equal now and then, and bytes on both sides of the sign.
    [[nodiscard]] static std::string record(int value)
    {
        std::string bytes(Gateway::RecordBytes, '\x80');
        bytes[0] = static_cast<char>(value / 0x100);
        bytes[1] = static_cast<char>(value % 0x100);
        return bytes;
    }

    [[nodiscard]] std::string randomRecords(bool isRich)
    {
        const int limit = isRich || this->chance(20) ? 0xffff : this->chance(50) ? 0x6000 : 0x200;
        const int count = isRich ? this->between(30, 100) : this->between(0, 15);
        std::string records;
        for (int number = 0; number < count; ++number) {
            records += record(this->between(0, limit));
        }
        return records + std::string(this->chance(20) ? static_cast<std::size_t>(this->between(1, 15)) : 0U, '\xff');
    }

    [[nodiscard]] std::string newRun(const std::string &shard, bool isHere, bool isRich)
    {
        const auto signature = shard + "." + std::to_string(this->runs.size()) + (isHere ? ".here" : ".elsewhere");
        this->runs[signature] = ShardRun{.shard = shard, .records = this->randomRecords(isRich), .wasHere = isHere};
        return signature;
    }

    [[nodiscard]] bool isAskedElsewhere(const std::string &shard) const
    {
        return std::any_of(this->waiting.begin(), this->waiting.end(), [&shard](const Waiting &asked) {
            auto headers = asked.request.headers;
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
            this->addTo(this->relays, Gateway::relayService(zone).value(), name, this->waitsFor(""), zone);
        }
    }

    void addServer(const std::string &shard, const std::string &zone)
    {
        this->addTo(this->pool, shard, shard + "-" + std::to_string(this->backends.size()), this->waitsFor(shard), zone);
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

    // Shards that had nobody to be hedged at are hedged in a part of their own, after others.
    void addLateServer()
    {
        const auto &shards = this->route().shards;
        this->addServer(shards[static_cast<std::size_t>(this->between(0, static_cast<int>(shards.size()) - 1))].value(), this->chance(70) ? "there" : "yonder");
    }

    // Hedges go out; some of the shards that are hedged are answered here meanwhile; then others are hedged, with a least record where enough is in.
    void hedgeInTurn()
    {
        this->settle(Core::milliseconds(10));
        std::vector<Waiting> answered;
        std::vector<Waiting> left;
        for (const auto &asked : this->waiting) {
            const bool isNow = !asked.shard.empty() && this->chance(this->isAskedElsewhere(asked.shard) ? 60 : this->richPercent / 2);
            (isNow ? answered : left).push_back(asked);
        }
        for (const auto &asked : answered) {
            this->answerAsServer(asked);
        }
        this->waiting = left;
        this->settle(Core::milliseconds(1));
        for (const auto &shard : this->route().shards) {
            if (this->chance(60)) {
                this->addServer(shard.value(), "there");
            }
        }
        this->settle(Core::milliseconds(10));
    }

    [[nodiscard]] TestSupport::ScriptedBackend::Script waitsFor(const std::string &shard)
    {
        return [this, shard](const Wire::Request &request, const Wire::ExchangePointer &exchange) {
            this->waiting.push_back({.shard = shard, .request = request, .exchange = exchange});
        };
    }

    // Gateways are left waiting at first, so that parts are open while much else happens, and servers later, so that parts come in before a search
    // has everything from here.
    void answerOne(int step)
    {
        if (this->waiting.empty()) {
            return;
        }
        const auto position = this->waiting.begin() + this->between(0, static_cast<int>(this->waiting.size()) - 1);
        const Waiting chosen = *position;
        const bool isEarly = step < MostSteps / 10;
        if (chosen.shard.empty() == isEarly && step < MostSteps && this->chance(70, 90)) {
            return;
        }
        this->waiting.erase(position);
        if (this->isShort && this->chance(10)) {
            // Never.
            return;
        }
        if (chosen.shard.empty()) {
            this->answerAsGateway(chosen);
        } else {
            this->answerAsServer(chosen);
        }
    }

    void answerAsServer(const Waiting &asked)
    {
        const int kind = this->chance(100, 0) ? this->between(1, 100) : 100;
        if (kind <= 8) {
            asked.exchange->respond(errorResponse(asked.request, 503, true));
            return;
        }
        if (kind <= 20) {
            // No part: a failure whatever it carries, and a success without a signature.
            auto noPart = successResponse(asked.request, "of no part", this->randomRecords(this->chance(50)));
            if (kind <= 16) {
                noPart.status = 500;
            } else {
                noPart.headers.pop_back();
            }
            asked.exchange->respond(noPart);
            return;
        }
        const bool isRich = this->chance(this->isAskedElsewhere(asked.shard) ? 80 : this->richPercent);
        const auto signature = this->newRun(asked.shard, true, isRich);
        auto response = successResponse(asked.request, signature, this->runs[signature].records);
        if (kind <= 24) {
            response.headers.push_back({"Connection", "close"});
        }
        asked.exchange->respond(response);
    }

    void answerAsGateway(const Waiting &asked)
    {
        auto headers = asked.request.headers;
        const auto parameters = Gateway::extractRelayParameters(headers);
        cr_assert(parameters.has_value(), "seed %zu", this->seed);
        this->limitedParts += parameters->minimumRecord.empty() ? 0 : 1;
        const int kind = this->chance(100, 0) ? this->between(1, 100) : 100;
        if (kind <= 20) {
            asked.exchange->respond(errorResponse(asked.request, kind <= 8 ? 502 : 503, false));
            return;
        }
        auto part = this->partOf(*parameters);
        if (kind <= 24 && !part.signatures.empty()) {
            // One that does not add up counts for nothing.
            part.signatures.pop_back();
        }
        if (this->chance(50)) {
            Gateway::packSignatures(part);
        }
        asked.exchange->respond(TestSupport::partOf(asked.request, part));
    }

    /** What an honest gateway answers that has some of the shards. */
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

    void checkAnswer(PlayCounts &counts) const
    {
        counts.limited += this->limitedParts;
        counts.limitedAgain += this->limitedParts > 1 ? 1 : 0;
        if (this->answer->status != 200) {
            return;
        }
        const auto said = this->relayParameters.has_value() ? readPart(*this->answer) : readCallersAnswer(*this->answer);
        std::set<std::string> shards;
        std::vector<std::string> bodies;
        bool isShortened = false;
        for (const auto &signature : said.signatures) {
            const auto found = this->runs.find(signature);
            cr_assert(found != this->runs.end(), "seed %zu: nobody gave %s", this->seed, signature.c_str());
            const auto &run = found->second;
            cr_assert(shards.insert(run.shard).second, "seed %zu: %s is in twice", this->seed, run.shard.c_str());
            bodies.push_back(run.records);
            isShortened = isShortened || run.inShortenedPart;
            counts.replaced += !run.wasHere && this->wasAnsweredHere(run.shard) ? 1 : 0;
        }
        const auto &asked = this->declaration->routes.front();
        const auto in = said.signatures.size();
        cr_assert_eq(in + said.missing, asked.shards.size(), "seed %zu: %zu in, %zu missing of %zu", this->seed, in, said.missing, asked.shards.size());
        for (const auto &shard : said.missingShards) {
            cr_assert(shards.insert(shard).second, "seed %zu: %s is in and missing, or missing twice", this->seed, shard.c_str());
        }
        auto expected = greatest(bodies, asked.topRecords);
        if (this->relayParameters.has_value()) {
            Gateway::dropLessThan(expected, this->relayParameters->minimumRecord);
        } else {
            // A hair more, for the rounding of the product.
            const double share = static_cast<double>(in) / static_cast<double>(asked.shards.size()) + 1e-9;
            cr_assert(in > 0 && share >= asked.minimumCoverage, "seed %zu: %zu of %zu are too few", this->seed, in, asked.shards.size());
        }
        const auto differs = std::mismatch(expected.begin(), expected.end(), said.records.begin(), said.records.end()).first - expected.begin();
        cr_assert(said.records == expected,
            "seed %zu: %zu bytes, %zu expected, which differ from byte %td on",
            this->seed,
            said.records.size(),
            expected.size(),
            differs);
        ++counts.successes;
        counts.partial += said.missing > 0 ? 1 : 0;
        counts.shortened += isShortened ? 1 : 0;
    }

    [[nodiscard]] bool wasAnsweredHere(const std::string &shard) const
    {
        return std::any_of(this->runs.begin(), this->runs.end(), [&shard](const auto &run) {
            return run.second.shard == shard && run.second.wasHere;
        });
    }

    Theme theme;
    std::size_t seed;
    std::mt19937_64 random;
    bool isShort{false};
    // Of the answers from here that no part can replace. With few of them much depends on those that may be replaced, with many least records are told
    // more often.
    int richPercent{0};
    std::vector<Waiting> waiting;
    // By signature.
    std::map<std::string, ShardRun> runs;
    int limitedParts{0};
};

void playSeeds(Theme theme, std::uint64_t first, std::uint64_t last)
{
    PlayCounts counts;
    // A failing seed is played alone, several times, with CRANKRUDDER_TEST_SEED=N.
    const char *chosen = std::getenv("CRANKRUDDER_TEST_SEED");
    if (chosen != nullptr) {
        for (int time = 0; time < 10; ++time) {
            Play(theme, std::strtoull(chosen, nullptr, 10)).play(counts);
        }
        return;
    }
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        Play(theme, seed).play(counts);
    }
    cr_log_info("%d successes, %d of them partial, %d shortened; %d limited parts, %d searches with several; %d replaced",
        counts.successes,
        counts.partial,
        counts.shortened,
        counts.limited,
        counts.limitedAgain,
        counts.replaced);
    // Without these the plays would show nothing.
    cr_assert_gt(counts.replaced, 0);
    if (theme == Theme::Replacements) {
        cr_assert_gt(counts.shortened, 0);
    } else {
        cr_assert(counts.partial > 0 && counts.successes > counts.partial);
    }
}

}

Test(MergedBodies, areTheGreatestRecordsOfThePartsNamed)
{
    playSeeds(Theme::Anything, 1, 60);
}

Test(MergedBodies, areWholeWhereAnswersAreReplacedAfterALeastRecordWasTold)
{
    playSeeds(Theme::Replacements, 1, 60);
}
