/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Who gets the tokens of a share when a workspace requests more than its quota: urgent
// requests first, and callers who return when they were told.

#include <LibGateway/Quota/ExhaustedKeepers.h>
#include <LibGateway/Quota/QuotaLedger.h>
#include <LibGateway/Quota/TokenBucket.h>

#include <criterion/criterion.h>

using Gateway::QuotaLedger;
using Gateway::QuotaQuery;
using Gateway::QuotaReply;
using Gateway::ReservationMode;
using Gateway::Urgency;

namespace
{

const Fleet::WorkspaceName workspaceName("w");
const std::string keeperAddress = "10.0.0.1:1";

Core::Instant at(std::int64_t milliseconds)
{
    return Core::Instant(Core::milliseconds(milliseconds));
}

/** A ledger that holds the only share of a workspace's quota. */
class OneShare
{
public:
    explicit OneShare(const Fleet::Quota &quota) : ledger({}, {.usedShare = 1.0}, keeperAddress)
    {
        this->ledger.setGateways({{.name = Gateway::BackendName("g"), .address = keeperAddress, .zone = "a"}}, at(0));
        this->ledger.setMayHoldShares(true, at(0));
        this->declare(quota, at(0));
    }

    void declare(const Fleet::Quota &quota, Core::Instant now)
    {
        auto declaration = std::make_shared<Fleet::Declaration>();
        cr_assert(declaration->workspaces.emplace().add({.name = workspaceName, .priority = 0, .quota = quota, .allowedRegions = {}}, {}).has_value());
        this->ledger.setDeclaration(declaration, now);
    }

    QuotaReply ask(const std::string &digest, std::int64_t now, std::int64_t timeLeft = 6000, int urgency = 0)
    {
        return this->ledger.admit({.workspace = workspaceName,
                                      .terms = {{.urgency = {.workspace = 0, .route = urgency},
                                          .digest = Fleet::RequestDigest(digest),
                                          .timeLeft = Core::milliseconds(timeLeft),
                                          .targetLeft = Core::milliseconds(200)}},
                                      .reservation = ReservationMode::Always},
            at(now));
    }

    QuotaLedger ledger;
};

std::int64_t waitOf(const QuotaReply &reply)
{
    return Core::toMilliseconds(reply.retryAfter);
}

/** Requests of one urgency that arrive at a steady rate, and how many were granted. */
struct Flow {
    int urgency{0};
    double perSecond{0.0};
    double due{0.0};
    int requested{0};
    int granted{0};

    [[nodiscard]] double ratio() const
    {
        return this->granted / static_cast<double>(this->requested);
    }
};

void offer(OneShare &share, std::vector<Flow> &flows, std::int64_t from, std::int64_t until)
{
    for (std::int64_t now = from; now < until; now += 10) {
        for (auto &flow : flows) {
            for (flow.due += flow.perSecond / 100.0; flow.due >= 1.0; flow.due -= 1.0) {
                ++flow.requested;
                // Without time to wait, so that only immediate grants count.
                flow.granted += share.ask("any", now, 0, flow.urgency).granted ? 1 : 0;
            }
        }
    }
}

}

// Guards against less urgent requests taking the tokens of urgent ones, and against starving them.
Test(QuotaSharing, urgentRequestsComeFirstAndOthersGetAQuarter)
{
    OneShare share({.requestsPerSecond = 20.0, .burst = 5.0});
    std::vector<Flow> flows{{.urgency = 2, .perSecond = 70.0}, {.urgency = 1, .perSecond = 20.0}, {.urgency = 0, .perSecond = 10.0}};
    offer(share, flows, 10'000, 20'000);
    for (auto &flow : flows) {
        flow = Flow{.urgency = flow.urgency, .perSecond = flow.perSecond};
    }
    offer(share, flows, 20'000, 80'000);
    const double overall = (flows[0].granted + flows[1].granted + flows[2].granted) / 6000.0;
    cr_assert(overall >= 0.19 && overall <= 0.21, "the whole refill is used: %.3f", overall);
    cr_assert(flows[2].ratio() >= 0.97, "most urgent: %.3f", flows[2].ratio());
    cr_assert(flows[1].ratio() >= 0.2 && flows[1].ratio() > 2.0 * flows[0].ratio(), "in between: %.3f", flows[1].ratio());
    cr_assert(flows[0].ratio() >= 0.25 * overall, "least urgent: %.3f of %.3f", flows[0].ratio(), overall);
}

// Guards against tokens being kept for urgent requests that are not needed.
Test(QuotaSharing, withoutOverloadAllAreAlike)
{
    OneShare share({.requestsPerSecond = 20.0, .burst = 5.0});
    std::vector<Flow> flows{{.urgency = 2, .perSecond = 12.0}, {.urgency = 0, .perSecond = 6.0}};
    offer(share, flows, 10'000, 40'000);
    cr_assert(flows[0].ratio() >= 0.99 && flows[1].ratio() >= 0.99, "%.3f, %.3f", flows[0].ratio(), flows[1].ratio());
}

// Guards against a second refusal of a caller that returned as it was told, however many others arrive in between.
Test(QuotaSharing, aReturningCallerFindsItsToken)
{
    OneShare share({.requestsPerSecond = 4.0, .burst = 1.0});
    cr_assert(share.ask("first", 10'000).granted);
    std::vector<std::int64_t> returnsAt;
    for (int caller = 0; caller < 6; ++caller) {
        const auto reply = share.ask("caller-" + std::to_string(caller), 10'000);
        cr_assert(!reply.granted && reply.isReserved);
        returnsAt.push_back(10'000 + waitOf(reply));
    }
    cr_assert(returnsAt.front() <= 10'255 && returnsAt.back() <= 11'510, "a reservation for each token");
    for (std::int64_t now = 10'010, next = 0; now <= 11'600; now += 10) {
        if (next < 6 && now >= returnsAt[static_cast<std::size_t>(next)] + 10) {
            const auto reply = share.ask("caller-" + std::to_string(next), now, 6000 - (now - 10'000));
            cr_assert(reply.granted && reply.isClaimed, "caller %d at %d", static_cast<int>(next), static_cast<int>(now));
            ++next;
        }
        cr_assert_not(share.ask("intruder", now, 0).granted, "the token at %d is reserved", static_cast<int>(now));
    }
    cr_assert_eq(share.ledger.reservationCounters().claimed, 6);
}

// Guards against tokens that stay reserved for a caller who never returns, and against a token that is granted twice.
Test(QuotaSharing, reservationsEnd)
{
    OneShare share({.requestsPerSecond = 2.0, .burst = 1.0});
    cr_assert(share.ask("first", 10'000).granted);
    const auto wait = waitOf(share.ask("caller", 10'000));
    cr_assert(wait >= 500 && wait <= 510);
    const auto early = share.ask("caller", 10'200, 5800);
    cr_assert(early.isReserved && waitOf(early) == wait - 200, "one that returns early keeps its time");
    cr_assert_eq(share.ledger.outstandingReservations(), 1);
    const auto same = share.ask("caller", 10'200, 3600);
    cr_assert(same.isReserved && waitOf(same) >= 800, "another caller with the same content has its own");
    cr_assert(share.ask("caller", 10'000 + wait, 5490).granted);
    cr_assert_not(share.ask("caller", 10'000 + wait, 0).granted, "the second one's token is not there yet");
    cr_assert_not(share.ask("intruder", 11'200, 0).granted);
    cr_assert(share.ask("intruder", 11'300, 0).granted, "the reservation has expired");
    cr_assert_eq(share.ledger.reservationCounters().expired, 1);
}

// Guards against promises that can't be kept: to callers that would not wait, and after the quota was lowered.
Test(QuotaSharing, onlyTokensThatCanBeHadAreReserved)
{
    OneShare share({.requestsPerSecond = 2.0, .burst = 1.0});
    cr_assert(share.ask("first", 10'000).granted);
    const auto hurried = share.ask("hurried", 10'000, 800);
    cr_assert(!hurried.isReserved && waitOf(hurried) >= 500, "is told the true time");
    const auto first = waitOf(share.ask("a", 10'000));
    cr_assert(share.ask("b", 10'000).isReserved && share.ask("c", 10'000).isReserved);
    share.declare({.requestsPerSecond = 1.0, .burst = 1.0}, at(10'400));
    cr_assert_eq(share.ledger.outstandingReservations() + share.ledger.reservationCounters().dropped, 3);
    cr_assert(share.ledger.reservationCounters().dropped >= 1, "the latest ones are dropped");
    cr_assert_not(share.ask("a", 10'000 + first, 5400).granted && share.ask("b", 10'000 + first, 5400).granted);
    share.ledger.setMayHoldShares(false, at(11'000));
    cr_assert_eq(share.ledger.outstandingReservations(), 0, "another gateway may hold the share now");
}

Test(QuotaSharing, exhaustedKeepersAreKnownForAMoment)
{
    Gateway::ExhaustedKeepers known;
    const Urgency urgent{.workspace = 0, .route = 0};
    const Urgency patient{.workspace = 0, .route = 2};
    known.learnFromKeeper(workspaceName, "k1", patient, {.isKeeper = true, .freeAfter = Core::seconds(4), .exhausted = {}}, at(0));
    cr_assert(known.find(workspaceName, "k1", patient, at(499)).has_value());
    cr_assert_not(known.find(workspaceName, "k1", patient, at(500)).has_value(), "not for longer than 500 ms");
    cr_assert_not(known.find(workspaceName, "k1", urgent, at(10)).has_value(), "it may have a token for an urgent request");
    known.learnFromOther(workspaceName, {.address = "k2", .validFor = Core::milliseconds(200)}, urgent, at(0));
    cr_assert_eq(known.list(workspaceName, urgent, at(100)).size(), 1);
    cr_assert_not(known.find(workspaceName, "k2", patient, at(100)).has_value(), "it may have a guaranteed token for a less urgent request");
    cr_assert_eq(Core::toMilliseconds(known.list(workspaceName, urgent, at(100)).front().validFor), 100, "passed on for the rest of the time");
    known.learnOfGrant(workspaceName, "k2", patient);
    cr_assert(known.list(workspaceName, urgent, at(100)).empty());
}

Test(QuotaSharing, messagesRoundTrip)
{
    Wire::Headers headers;
    const QuotaQuery query{.workspace = workspaceName,
        .terms = {{.urgency = {.workspace = 1, .route = 2},
            .digest = Fleet::RequestDigest("abc"),
            .timeLeft = Core::milliseconds(800),
            .targetLeft = Core::milliseconds(80)}},
        .reservation = ReservationMode::IfOthersExhausted};
    Gateway::addQuotaQuery(headers, query, {{.address = "1.2.3.4:5", .validFor = Core::milliseconds(70)}});
    const auto read = Gateway::extractQuotaQuery(headers);
    cr_assert(read.has_value() && headers.empty(), "all headers are removed");
    cr_assert(read->query.terms->urgency == query.terms->urgency && read->query.terms->timeLeft == Core::milliseconds(800));
    cr_assert(read->query.reservation == ReservationMode::IfOthersExhausted && read->exhausted.front().address == "1.2.3.4:5");
    for (const char *bad : {"", "1,2,abc", "1,2,abc,-1,3", "x,2,abc,1,3"}) {
        headers = {{"Crankrudder-Quota", "w"}, {"Crankrudder-Quota-Terms", bad}, {"Crankrudder-Quota-Exhausted", "=,a=x,=5"}};
        const auto unreadable = Gateway::extractQuotaQuery(headers);
        cr_assert(unreadable.has_value() && !unreadable->query.terms.has_value() && unreadable->exhausted.empty(), "%s", bad);
    }
    const QuotaReply reply{.isKeeper = true, .isStarting = true, .isReserved = true, .exhausted = {{.address = "k:1", .validFor = Core::milliseconds(9)}}};
    const auto readReply = Gateway::readQuotaReply(Gateway::writeQuotaReply(reply, true));
    cr_assert(readReply->isStarting && readReply->isReserved && readReply->exhausted.size() == 1);
    cr_assert(Gateway::writeQuotaReply(reply, false) == "0,0,0", "a gateway of the old build gets what it can read");
    cr_assert_not(Gateway::readQuotaReply("0,1,2,1,k").has_value());
}

// Guards against urgent requests that wait for tokens reserved for less urgent ones, also when most of those never return.
Test(QuotaSharing, reservationsOfOthersLeaveRoomForUrgentRequests)
{
    OneShare share({.requestsPerSecond = 1.0, .burst = 3.0});
    int urgentRequests = 0;
    int urgentGrants = 0;
    int otherGrants = 0;
    for (std::int64_t now = 10'000; now < 110'000; now += 20) {
        const bool isMeasured = now > 30'000;
        const auto other = share.ask("d" + std::to_string(now), now, 5000, 2);
        cr_assert(other.granted || waitOf(other) > 0, "one that is refused has to wait");
        otherGrants += isMeasured && other.granted ? 1 : 0;
        if (now % 1400 == 0) {
            const bool isUrgentGranted = share.ask("u" + std::to_string(now), now, 5000, 0).granted;
            urgentRequests += isMeasured ? 1 : 0;
            urgentGrants += isMeasured && isUrgentGranted ? 1 : 0;
        }
    }
    cr_assert(urgentGrants >= 0.9 * urgentRequests, "%d of %d", urgentGrants, urgentRequests);
    cr_assert(otherGrants + urgentGrants >= 70, "%d of the 80 tokens are used", otherGrants + urgentGrants);
}

// Guards against a share that can keep so few tokens that the guarantee of the least urgent requests never becomes a whole one.
Test(QuotaSharing, aSmallShareServesTheLeastUrgentRequests)
{
    constexpr int Seconds = 400;
    for (const double capacity : {2.0, 2.5, 3.2, 4.0}) {
        Gateway::DemandShares demand(Core::seconds(5));
        const Gateway::ShareSupply supply{.perSecond = 6.0, .capacity = capacity};
        Gateway::TokenBucket bucket({.capacity = capacity, .perSecond = supply.perSecond}, at(0));
        std::map<int, int> requests;
        std::map<int, int> grants;
        const auto ask = [&](int route, std::int64_t now) {
            const Urgency urgency{.workspace = 0, .route = route};
            demand.recordRequest(urgency, supply, at(now));
            const bool isGranted = bucket.tokensAt(at(now)) - demand.tokensForOthers(urgency, supply) >= 1.0 && bucket.take(at(now));
            if (isGranted) {
                demand.recordGrant(urgency);
            }
            ++requests[route];
            grants[route] += isGranted ? 1 : 0;
        };
        for (std::int64_t now = 0; now < Seconds * 1000; now += 10) {
            if (now % 50 == 0) {
                ask(0, now);
            }
            if (now % 50 == 20) {
                ask(1, now);
            }
            if (now % 330 == 0) {
                ask(2, now);
            }
        }
        const double all = static_cast<double>(grants[0] + grants[1] + grants[2]) / (requests[0] + requests[1] + requests[2]);
        const double least = static_cast<double>(grants[2]) / requests[2];
        cr_assert(least >= 0.25 * all, "capacity %.1f: %.3f of the least urgent, %.3f of all", capacity, least, all);
    }
}

// Guards against tokens that are reserved for the same time although the bucket holds fewer, so that callers are refused when they return as told.
Test(QuotaSharing, noMoreIsReservedForOneTimeThanTheBucketHolds)
{
    Gateway::QuotaReservations reservations({});
    const Gateway::TokenSupply supply{.tokens = 0.0, .perSecond = 6.0, .capacity = 4.0, .fillsFrom = at(0)};
    std::map<std::int64_t, int> before;
    for (int caller = 0; caller < 6; ++caller) {
        const auto time = reservations.nextFreeToken(supply, {.urgency = {}, .forOthers = 0.0, .perSecond = 6.0}, at(2000), at(0));
        cr_assert(reservations.add({.digest = Fleet::RequestDigest(std::to_string(caller)), .urgency = {}, .at = time, .deadline = at(9000)}, at(0)));
        ++before[Core::toMilliseconds(time.sinceStart())];
    }
    // Four tokens are there at 2 s, and one more comes each sixth of a second.
    int reserved = 0;
    for (const auto &[time, count] : before) {
        reserved += count;
        const double available = 4.0 + 6.0 * static_cast<double>(time - 2000) / 1000.0;
        cr_assert(reserved <= available + 0.05, "%d of %.2f at %ld ms", reserved, available, static_cast<long>(time));
    }
    cr_assert_eq(reserved, 6);
}

// Guards against urgent requests that lose what is due to them to reservations that nobody claimed.
Test(QuotaSharing, anUnclaimedTokenIsDueAgain)
{
    Gateway::DemandShares demand(Core::seconds(5));
    const Gateway::ShareSupply supply{.perSecond = 10.0, .capacity = 20.0};
    const Urgency urgent{.workspace = 0, .route = 0};
    const Urgency patient{.workspace = 0, .route = 2};
    for (std::int64_t now = 0; now < 10'000; now += 10) {
        demand.recordRequest(now % 200 == 0 ? urgent : patient, supply, at(now));
    }
    // Until its own guarantee is used up, a less urgent request has to leave nothing.
    demand.recordGrant(patient);
    demand.recordGrant(patient);
    const double before = demand.tokensForOthers(patient, supply);
    cr_assert(before > 1.0, "%.2f", before);
    demand.recordGrant(urgent);
    cr_assert_float_eq(demand.tokensForOthers(patient, supply), before - 1.0, 1e-9);
    demand.recordReturn(urgent);
    // The limit of what may be due has moved a little since the first value was added up.
    cr_assert_float_eq(demand.tokensForOthers(patient, supply), before, 0.1);
}

// Guards against callers without a reservation who return at the same time, so that all but one are refused again.
Test(QuotaSharing, returnsAreSpreadOverTheTokens)
{
    OneShare share({.requestsPerSecond = 2.0, .burst = 1.0});
    cr_assert(share.ask("first", 10'000).granted);
    std::int64_t before = 0;
    for (int caller = 0; caller < 5; ++caller) {
        const auto reply = share.ask("caller-" + std::to_string(caller), 10'000, 900);
        cr_assert(!reply.isReserved && waitOf(reply) >= before + 490, "%d: %d", static_cast<int>(before), static_cast<int>(waitOf(reply)));
        before = waitOf(reply);
    }
    cr_assert(before <= 2'600, "one for each token: %d", static_cast<int>(before));
    // One caller whose query is not its last one does not take a place.
    (void)share.ledger.admit(
        {.workspace = workspaceName, .terms = {{.digest = Fleet::RequestDigest("other"), .timeLeft = Core::milliseconds(900)}}}, at(10'000));
    cr_assert(waitOf(share.ask("last", 10'000, 900)) <= 3'100);
}

// Guards against overload that is measured because each refused request queries its home twice.
Test(QuotaSharing, aRepeatedQueryIsCountedOnce)
{
    OneShare share({.requestsPerSecond = 2.0, .burst = 5.0});
    // Eight requests within the window of 5 s are fewer than the refill, sixteen would be more.
    for (int caller = 0; caller < 8; ++caller) {
        QuotaQuery query{.workspace = workspaceName,
            .terms = {{.digest = Fleet::RequestDigest(std::to_string(caller)), .timeLeft = Core::milliseconds(900)}},
            .reservation = ReservationMode::IfOthersExhausted};
        (void)share.ledger.admit(query, at(10'000));
        query.isRepeated = true;
        (void)share.ledger.admit(query, at(10'000));
    }
    const auto patient = share.ask("patient", 10'000, 0, 2);
    cr_assert(waitOf(patient) <= 510, "nothing is set aside: %d", static_cast<int>(waitOf(patient)));
}

// Guards against a home that does not remember for whom the next keeper may have reserved a token.
Test(QuotaSharing, unreservedContentIsRemembered)
{
    OneShare share({.requestsPerSecond = 2.0, .burst = 1.0});
    cr_assert(share.ask("first", 10'000).granted);
    cr_assert_not(share.ask("popular", 10'000, 900).mayNextHaveReserved, "nobody has been sent to the next keeper yet");
    cr_assert(share.ask("popular", 10'010, 900).mayNextHaveReserved);
    cr_assert_not(share.ask("other", 10'010).mayNextHaveReserved);
    for (int digest = 0; digest < 200; ++digest) {
        (void)share.ask("d" + std::to_string(digest), 10'020, 0);
    }
    cr_assert_not(share.ask("popular", 10'030, 0).mayNextHaveReserved, "bounded in number");
    cr_assert(share.ask("d199", 10'030, 0).mayNextHaveReserved);
    cr_assert_not(share.ask("d198", 15'300, 0).mayNextHaveReserved, "and in time");
}

// Guards against a division that nobody is told of, or that stays after the requests have ended.
Test(QuotaSharing, theDivisionIsReportedOnce)
{
    OneShare share({.requestsPerSecond = 2.0, .burst = 5.0});
    for (int request = 0; request < 50; ++request) {
        (void)share.ask(std::to_string(request), 10'000);
    }
    const auto began = share.ledger.updateDivisions(at(10'100));
    cr_assert(began.size() == 1 && began.front().isDivided && began.front().demand > began.front().refill);
    cr_assert(share.ledger.updateDivisions(at(10'200)).empty() && share.ledger.dividedShareCount() == 1);
    cr_assert(share.ledger.updateDivisions(at(60'000)).size() == 1 && share.ledger.dividedShareCount() == 0);
}
