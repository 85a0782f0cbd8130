/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// When a gateway that joins may grant from its quota shares.

#include <LibGateway/Quota/TakeoverWait.h>
#include <Support/QuotaModel.h>

using Gateway::QuotaLedger;
using Gateway::TakeoverEnd;
using Gateway::TakeoverWait;
using TestSupport::declarationWith;
using TestSupport::gatewayNumber;

namespace
{

Core::Instant at(std::int64_t milliseconds)
{
    return TestSupport::at(Core::milliseconds(milliseconds));
}

constexpr std::int64_t JoinedMs = 10'000;

TakeoverWait joinedWait(bool hasOthers = true)
{
    TakeoverWait wait({});
    wait.update(true, hasOthers, at(JoinedMs));
    return wait;
}

/** A ledger of a gateway that joins one other. */
QuotaLedger joinedLedger()
{
    QuotaLedger ledger(TestSupport::regions, {.slack = 20.0}, gatewayNumber(0).address);
    ledger.setDeclaration(declarationWith({.requestsPerSecond = 16.0, .burst = 16.0}), at(JoinedMs));
    ledger.setMayHoldShares(true, at(JoinedMs));
    ledger.setGateways({gatewayNumber(0), gatewayNumber(1)}, at(JoinedMs));
    return ledger;
}

Gateway::QuotaReply ask(QuotaLedger &ledger, std::int64_t milliseconds)
{
    return ledger.admit({.workspace = Fleet::WorkspaceName("w"), .terms = {}}, at(milliseconds));
}

int grantsAt(QuotaLedger &ledger, std::int64_t milliseconds)
{
    int grants = 0;
    while (ask(ledger, milliseconds).granted) {
        ++grants;
    }
    return grants;
}

}

// Guards against a contact that does not show that the other gateway holds the list with the new one.
Test(TakeoverWait, endsOnlyByContactsWithTheListThatContainsTheGateway)
{
    struct Case {
        const char *name;
        std::int64_t contactMs;
        std::int64_t listedMs;
        std::int64_t statedMs;
        bool isOver;
    };
    const std::vector<Case> cases{
        {"contact after the propagation time", 11'000, 10'000, 11'400, true},
        {"contact before the list had reached all", 10'999, 10'000, 11'400, false},
        {"contact with a list of another coordinator", 11'100, 11'200, 11'400, false},
        {"statement from before it joined", 11'100, 9'000, 9'999, false},
    };
    for (const auto &item : cases) {
        auto wait = joinedWait();
        wait.recordStatement({.oldestContact = at(item.contactMs), .listedSince = at(item.listedMs), .statedAt = at(item.statedMs)}, at(11'500));
        cr_assert_eq(wait.isOver(at(11'500)), item.isOver, "%s", item.name);
        cr_assert_eq(wait.isOver(at(17'999)), item.isOver, "%s", item.name);
        cr_assert(wait.isOver(at(18'000)), "%s", item.name);
        cr_assert(wait.end() == (item.isOver ? TakeoverEnd::Contacts : TakeoverEnd::MaximumTime), "%s", item.name);
    }
}

// Guards against a gateway that joins, ends and joins again, or is cut off and returns, and counts its wait from the first time.
Test(TakeoverWait, beginsAnewWithEachMembership)
{
    auto wait = joinedWait();
    wait.recordStatement({.oldestContact = at(11'100), .listedSince = at(10'100), .statedAt = at(11'200)}, at(11'300));
    cr_assert(wait.isOver(at(11'300)));
    wait.update(false, true, at(11'400));
    cr_assert_not(wait.isOver(at(11'400)));
    wait.update(true, true, at(11'900));
    wait.recordStatement({.oldestContact = at(11'100), .listedSince = at(10'100), .statedAt = at(11'200)}, at(11'900));
    cr_assert_not(wait.isOver(at(19'899)));
    cr_assert(wait.isOver(at(19'900)));
}

// Guards against a gateway that takes its own list, in which there is no other gateway, for complete: coordinators that have restarted may not know the others.
// And against counting the time before the last other gateway left, while that one granted.
Test(TakeoverWait, endsWithoutOtherGatewaysOnlyByAStatement)
{
    auto alone = joinedWait(false);
    cr_assert_not(alone.isOver(at(17'999)));
    alone.recordStatement({.oldestContact = at(10'999), .listedSince = at(10'000), .statedAt = at(11'000)}, at(11'000));
    cr_assert_not(alone.isOver(at(11'000)));
    alone.recordStatement({.oldestContact = at(11'200), .listedSince = at(10'000), .statedAt = at(11'200)}, at(11'300));
    cr_assert(alone.isOver(at(11'300)) && alone.end() == TakeoverEnd::NoOthers);
    auto leftAlone = joinedWait();
    leftAlone.update(true, false, at(13'000));
    leftAlone.recordStatement({.oldestContact = at(13'200), .listedSince = at(10'000), .statedAt = at(13'200)}, at(13'300));
    cr_assert(leftAlone.isOver(at(13'300)));
    cr_assert(leftAlone.expectedEnd(at(14'000)) == at(13'300));
}

// Guards against a share that grants without confirmation, and against callers who are told a time at which it still grants nothing.
Test(TakeoverWait, aShareGrantsNothingWithoutContactsFor8Seconds)
{
    auto ledger = joinedLedger();
    const auto early = ask(ledger, 10'500);
    cr_assert(early.isStarting && early.freeAfter == Core::milliseconds(1500), "contacts are expected");
    const auto late = ask(ledger, 12'500);
    cr_assert(late.isStarting && late.freeAfter == Core::milliseconds(5500), "contacts are not expected any more");
    cr_assert(!ask(ledger, 17'999).granted && ledger.waitingShareCount(at(17'999)) == 1);
    cr_assert(ask(ledger, 18'000).granted && ledger.waitingShareCount(at(18'000)) == 0);
}

// Guards against a caller who is told to return after 2 s while a gateway that has been silent for long makes the wait last 8 s.
Test(TakeoverWait, aSilentGatewayIsNotExpected)
{
    auto ledger = joinedLedger();
    ledger.setContactStatement({.oldestContact = at(5'000), .listedSince = at(10'000), .statedAt = at(10'200)}, at(10'300));
    cr_assert_eq(ask(ledger, 10'500).freeAfter.count(), Core::Duration(Core::milliseconds(7500)).count());
}

// Guards against requests for contacts that go on after the wait, or while the coordinators have no leader.
Test(TakeoverWait, contactsAreWantedFromTheFirstJoinUntilTheEndOfAWait)
{
    QuotaLedger ledger(TestSupport::regions, {}, gatewayNumber(0).address);
    cr_assert(ledger.isTakeoverPending(at(9'000)));
    ledger.setMayHoldShares(true, at(JoinedMs));
    ledger.setGateways({gatewayNumber(0), gatewayNumber(1)}, at(JoinedMs));
    cr_assert(ledger.isTakeoverPending(at(17'999)) && !ledger.isTakeoverPending(at(18'000)));
    ledger.setMayHoldShares(false, at(20'000));
    cr_assert_not(ledger.isTakeoverPending(at(20'000)));
    ledger.setMayHoldShares(true, at(30'000));
    cr_assert(ledger.isTakeoverPending(at(30'000)));
}

// Guards against two full buckets: a keeper that was cut off grants until it is in contact again, so the new share fills from then on.
Test(TakeoverWait, aShareFillsFromTheEndOfTheWait)
{
    auto ledger = joinedLedger();
    ledger.setContactStatement({.oldestContact = at(15'000), .listedSince = at(10'000), .statedAt = at(15'100)}, at(15'200));
    cr_assert_eq(grantsAt(ledger, 15'200), 1, "the initial token");
    auto unconfirmed = joinedLedger();
    cr_assert_eq(grantsAt(unconfirmed, 18'000), 1, "the initial token");
}

// Guards against a caller who returns as it was told and finds its reservation dropped, as the share fills later than was expected.
Test(TakeoverWait, reservationsOfTheWaitAreKeptWhenItIsConfirmed)
{
    auto ledger = joinedLedger();
    for (int caller = 0; caller < 8; ++caller) {
        const Gateway::QuotaTerms terms{
            .urgency = {}, .digest = Fleet::RequestDigest(std::to_string(caller)), .timeLeft = Core::seconds(30), .targetLeft = Core::seconds(30)};
        (void)ledger.admit({.workspace = Fleet::WorkspaceName("w"), .terms = terms, .reservation = Gateway::ReservationMode::Always}, at(10'500));
    }
    cr_assert_eq(ledger.outstandingReservations(), 8);
    ledger.setContactStatement({.oldestContact = at(11'500), .listedSince = at(10'100), .statedAt = at(11'700)}, at(11'900));
    cr_assert_eq(ledger.outstandingReservations(), 8);
    cr_assert_eq(ledger.reservationCounters().dropped, 0);
}

// Guards against a takeover that takes longer than 2 s although all gateways are in contact.
Test(TakeoverWait, aConfirmedShareGrantsAfterTheHandoverTime)
{
    auto ledger = joinedLedger();
    ledger.setContactStatement({.oldestContact = at(11'100), .listedSince = at(10'100), .statedAt = at(11'300)}, at(11'400));
    cr_assert(!ask(ledger, 11'999).granted);
    cr_assert(ask(ledger, 12'000).granted);
}
