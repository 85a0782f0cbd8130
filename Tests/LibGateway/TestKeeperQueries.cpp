/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which keepers one request queries, and what its caller is told, with tables of keepers and
// their replies.

#include <LibGateway/Quota/KeeperQueries.h>

#include <criterion/criterion.h>

using Gateway::ExhaustedKeepers;
using Gateway::KeeperQueries;
using Gateway::QuotaDecision;
using Gateway::QuotaReply;
using Gateway::ReservationMode;

namespace
{

const Fleet::WorkspaceName workspaceName("w");
constexpr std::size_t KeepersInRegion = 2;

Core::Instant at(std::int64_t milliseconds)
{
    return Core::Instant(Core::milliseconds(milliseconds));
}

std::string addressOf(std::size_t rank)
{
    return "k" + std::to_string(rank);
}

QuotaReply refusalWith(std::int64_t retryMilliseconds)
{
    const auto wait = Core::milliseconds(retryMilliseconds);
    return {.isKeeper = true, .freeAfter = wait, .retryAfter = wait, .exhausted = {}};
}

/** A request at a gateway that is no keeper itself. The first two of the keepers are in its region. */
class OneRequest
{
public:
    struct Times {
        std::int64_t left{6000};
        std::int64_t target{1000};
        std::int64_t typical{40};
    };

    OneRequest(std::size_t keeperCount, const Times &times)
    {
        std::vector<Gateway::RankedKeeper> keepers;
        for (std::size_t rank = 0; rank < keeperCount; ++rank) {
            keepers.push_back(
                {.gateway = {.name = Gateway::BackendName(addressOf(rank)), .address = addressOf(rank), .zone = "z"}, .isInOwnRegion = rank < KeepersInRegion});
        }
        const Gateway::QuotaTerms terms{.urgency = this->urgency,
            .digest = Fleet::RequestDigest("d"),
            .timeLeft = Core::milliseconds(times.left),
            .targetLeft = Core::milliseconds(times.target),
            .typicalLatency = Core::milliseconds(times.typical)};
        this->queries = KeeperQueries({.workspace = workspaceName, .terms = terms}, std::move(keepers), "own", at(0));
    }

    void know(std::size_t rank, std::int64_t freeMilliseconds)
    {
        this->known.learnFromKeeper(workspaceName, addressOf(rank), this->urgency, refusalWith(freeMilliseconds), at(0));
    }

    /** Makes the next query at a time. Returns it as rank and reservation mode, with R if it is repeated; "-" when there is none. */
    std::string next(std::int64_t now = 0)
    {
        const auto step = this->queries.next(this->known, this->roundTrips, at(now));
        if (!step.has_value()) {
            return "-";
        }
        this->queries.recordSent();
        this->latest = step->rank;
        return std::to_string(step->rank) + "/" + std::to_string(static_cast<int>(step->query.reservation)) + (step->query.isRepeated ? "R" : "");
    }

    /** Replies to the latest query. */
    void refuse(const QuotaReply &reply)
    {
        this->queries.recordRefusal(this->latest, reply);
    }

    void fallSilent()
    {
        this->queries.recordSilence(this->latest);
    }

    [[nodiscard]] std::int64_t told(std::int64_t now = 0) const
    {
        return Core::toMilliseconds(this->queries.refusal(at(now)).retryAfter);
    }

    Gateway::Urgency urgency{.workspace = 0, .route = 1};
    ExhaustedKeepers known;
    Gateway::KeeperRoundTrips roundTrips;
    KeeperQueries queries;

private:
    std::size_t latest{0};
};

}

// Guards against refusals while a keeper that was not queried has a token.
Test(KeeperQueries, everyKeeperIsQueriedBeforeARefusal)
{
    OneRequest request(6, {});
    request.know(3, 300);
    for (const char *expected : {"0/1", "1/0", "2/0", "4/0", "5/0"}) {
        const auto step = request.next();
        cr_assert(step == expected, "%s, expected %s", step.c_str(), expected);
        request.refuse(refusalWith(4000));
    }
    cr_assert(request.next() == "-");
    const auto decision = request.queries.refusal(at(10));
    cr_assert(decision.verdict == QuotaDecision::Verdict::OverQuota && decision.asked == 5 && decision.knownExhausted == 1 && decision.unqueried == 0);
}

// Guards against queries one after the other although all keepers are known to be exhausted.
Test(KeeperQueries, oneQueryIsEnoughWhenAllAreKnown)
{
    OneRequest request(6, {});
    for (std::size_t rank = 0; rank < 6; ++rank) {
        request.know(rank, 4000);
    }
    cr_assert(request.next() == "0/2", "the home may keep a token for this caller");
    request.refuse(refusalWith(4500));
    cr_assert(request.next() == "-");
    cr_assert_eq(request.told(), 4500);
}

// Guards against a query that makes an answer late which would have been in time, and against refusals of requests that are late in any case.
Test(KeeperQueries, aFurtherQueryLeavesTimeToAnswer)
{
    struct Case {
        std::int64_t target;
        std::int64_t left;
        std::int64_t now;
        std::string next;
        std::string why;
    };
    // The typical answer takes 40 ms; a round trip is taken for 10 ms in the region and 30 ms beyond.
    const std::vector<Case> cases{{80, 800, 5, "2/0", "30 ms of the target are left"},
        {80, 800, 15, "-", "the answer would be late"},
        {80, 800, 50, "2/0", "it is late in any case"},
        {80, 100, 50, "-", "and would come after the caller has gone"}};
    for (const auto &row : cases) {
        OneRequest request(3, {.left = row.left, .target = row.target});
        for (int query = 0; query < 2; ++query) {
            (void)request.next();
            request.refuse(refusalWith(4000));
        }
        const auto step = request.next(row.now);
        cr_assert(step == row.next, "%s: %s", row.why.c_str(), step.c_str());
        cr_assert_eq(request.queries.refusal(at(row.now)).unqueried, row.next == "-" ? 1 : 0);
    }
    OneRequest silent(2, {.left = 800, .target = 80});
    (void)silent.next();
    silent.fallSilent();
    cr_assert(silent.next(35) == "1/2", "nothing is known of the quota yet");
    OneRequest measured(3, {.left = 800, .target = 80});
    measured.roundTrips.add(addressOf(2), Core::milliseconds(3), at(0));
    for (int query = 0; query < 2; ++query) {
        (void)measured.next();
        measured.refuse(refusalWith(4000));
    }
    cr_assert(measured.next(35) == "2/0", "the measured round trip counts");
}

// Guards against a Retry-After that is shorter than the time until any keeper has a token, when the home does not reply.
Test(KeeperQueries, theSecondKeeperTakesThePlaceOfASilentHome)
{
    OneRequest request(4, {});
    request.know(1, 900);
    request.know(2, 700);
    request.know(3, 20);
    (void)request.next();
    request.fallSilent();
    cr_assert(request.next() == "1/2", "also when it is known to be exhausted");
    request.refuse(refusalWith(1100));
    cr_assert(request.next() == "-");
    cr_assert_eq(request.told(), 1100);

    OneRequest unreachable(4, {});
    unreachable.know(2, 700);
    unreachable.know(3, 900);
    for (int query = 0; query < 2; ++query) {
        (void)unreachable.next();
        unreachable.fallSilent();
    }
    cr_assert(unreachable.next(60) == "-");
    cr_assert(unreachable.queries.refusal(at(60)).verdict == QuotaDecision::Verdict::OverQuota);
    cr_assert_eq(unreachable.told(60), 640, "what a keeper stated counts, not for how long that is relied on");
}

// Guards against callers with the same content who compete for the home's share alone, and for a reservation that the gateway they return to does not find.
Test(KeeperQueries, theSecondKeeperReservesWhenTheHomeHasNoTokenInTime)
{
    OneRequest first(4, {});
    for (std::size_t rank = 1; rank < 4; ++rank) {
        first.know(rank, 1000);
    }
    cr_assert(first.next() == "0/2");
    first.refuse(refusalWith(3000));
    cr_assert(first.next() == "1/2");
    auto reserved = refusalWith(1000);
    reserved.isReserved = true;
    first.refuse(reserved);
    cr_assert(first.next() == "-" && first.queries.refusal(at(0)).isReserved);
    cr_assert_eq(first.told(), 1000);

    OneRequest returning(4, {.left = 100});
    for (std::size_t rank = 1; rank < 4; ++rank) {
        returning.know(rank, 1000);
    }
    (void)returning.next();
    auto remembered = refusalWith(3000);
    remembered.mayNextHaveReserved = true;
    returning.refuse(remembered);
    cr_assert(returning.next() == "1/2", "it may have the caller's token");

    OneRequest tooLate(4, {});
    tooLate.know(1, 2500);
    tooLate.know(2, 100);
    tooLate.know(3, 100);
    (void)tooLate.next();
    tooLate.refuse(refusalWith(3000));
    cr_assert(tooLate.next() == "-", "the caller can't wait for a third of its time");
}

// Guards against demand that is measured twice.
Test(KeeperQueries, aSecondQueryToAKeeperSaysSo)
{
    OneRequest request(2, {});
    cr_assert(request.next() == "0/1");
    request.refuse(refusalWith(500));
    cr_assert(request.next() == "1/0");
    request.refuse(refusalWith(400));
    cr_assert(request.next() == "0/2R", "all have refused, so the home may reserve");
}

// Guards against a share that waits for its handover being reported as over quota.
Test(KeeperQueries, aStartingKeeperIsPassedOnAsStarting)
{
    ExhaustedKeepers first;
    const Gateway::Urgency urgency{.workspace = 0, .route = 1};
    auto starting = refusalWith(1500);
    starting.isStarting = true;
    first.learnFromKeeper(workspaceName, addressOf(1), urgency, starting, at(0));
    Wire::Headers headers;
    Gateway::addQuotaQuery(headers, {.workspace = workspaceName, .terms = {}}, first.list(workspaceName, urgency, at(0)));
    const auto read = Gateway::extractQuotaQuery(headers);
    cr_assert(read->exhausted.size() == 1 && read->exhausted.front().isStarting);
    OneRequest request(2, {.left = 400});
    request.known.learnFromOther(workspaceName, read->exhausted.front(), urgency, at(0));
    // A gateway of the old build passes it on as exhausted, for a little longer.
    request.known.learnFromOther(workspaceName, {.address = addressOf(1), .validFor = Core::milliseconds(500)}, urgency, at(1));
    (void)request.next(2);
    request.refuse(refusalWith(4000));
    cr_assert(request.next(2) == "-");
    cr_assert(request.queries.refusal(at(2)).verdict == QuotaDecision::Verdict::Starting);
}

// Guards against replies that gateways of the old build can't read: to them each field after the fourth is ADDRESS=NUMBER, and unknown addresses are ignored.
Test(KeeperQueries, newFactsAreReadableForTheOldBuild)
{
    auto reply = refusalWith(1500);
    reply.exhausted = {{.address = "k:1", .validFor = Core::milliseconds(9), .isStarting = true}, {.address = "k:2", .validFor = Core::milliseconds(8)}};
    reply.mayNextHaveReserved = true;
    const auto body = Gateway::writeQuotaReply(reply, true);
    cr_assert(body == "0,1500,1500,0,k:1=9,k:1;starting=9,k:2=8,;next=1", "%s", body.c_str());
    const auto read = Gateway::readQuotaReply(body);
    cr_assert(read->mayNextHaveReserved && read->exhausted.size() == 2);
    cr_assert(read->exhausted[0].isStarting && read->exhausted[0].address == "k:1" && !read->exhausted[1].isStarting);
    Wire::Headers headers{{"Crankrudder-Quota", "w"}, {"Crankrudder-Quota-Terms", "1,2,abc,1,3,2,1"}};
    const auto query = Gateway::extractQuotaQuery(headers)->query;
    cr_assert(query.isRepeated && query.reservation == ReservationMode::Always);
}
