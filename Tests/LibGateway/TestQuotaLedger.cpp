/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The requests that the keepers of a quota admit together stay within it whatever faults
// the gateways have, and at least 97 of 100 requests within the quota are admitted.

#include <LibGateway/Quota/TokenBucket.h>
#include <Support/QuotaModel.h>

using Gateway::QuotaLedger;
using TestSupport::at;
using TestSupport::declarationWith;
using TestSupport::gatewayNumber;
using TestSupport::QuotaModel;
using TestSupport::regions;
using TestSupport::testQuotas;

Test(TokenBucket, grantsItsCapacityAndItsRate)
{
    Gateway::TokenBucket bucket({.capacity = 2.0, .perSecond = 4.0}, at(Core::seconds(1)));
    cr_assert_not(bucket.take(at(Core::milliseconds(900))));
    cr_assert_eq(Core::toMilliseconds(bucket.timeToToken(at(Core::milliseconds(900)))), 351);
    cr_assert(bucket.take(at(Core::milliseconds(1250))));
    cr_assert_not(bucket.take(at(Core::milliseconds(1250))));
    int taken = 0;
    while (bucket.take(at(Core::seconds(60)))) {
        ++taken;
    }
    cr_assert_eq(taken, 2);
    bucket.resize({.capacity = 10.0, .perSecond = 4.0}, at(Core::seconds(60)));
    cr_assert_not(bucket.take(at(Core::seconds(60))), "a larger bucket has to fill first");
    cr_assert(bucket.take(at(Core::seconds(61))));
    bucket.resize({.capacity = 1.0, .perSecond = 0.5}, at(Core::seconds(64)));
    cr_assert(bucket.take(at(Core::seconds(64))) && !bucket.take(at(Core::seconds(64))));
}

// Offered load is many times the quota, at gateways that freeze, are disconnected and come back, while the quota is changed.
Test(QuotaLedger, noWindowExceedsTheQuotaUnderFaults)
{
    for (unsigned seed = 1; seed <= 24; ++seed) {
        const auto &quota = testQuotas[seed % testQuotas.size()];
        QuotaModel model(seed, 6 + seed % 4 * 24, quota);
        const auto offeredInStep = std::max(1.0, 0.08 * quota.requestsPerSecond);
        while (model.now < at(Core::seconds(60))) {
            model.advance();
            model.freezeOrDisconnectAtRandom();
            if (model.random() % 1500 == 0) {
                model.declare(testQuotas[model.random() % testQuotas.size()]);
            }
            model.disconnectHalfAtRandom();
            for (int request = 0; request < static_cast<int>(offeredInStep); ++request) {
                (void)model.requestAtRandomGateway();
            }
            model.verifyWindow(seed);
        }
    }
}

// Guards against tokens that a process gains by starting again, and against a reserved token that is granted twice: some gateways restart in a loop, others
// freeze, and all of them lose power at the same moment, while callers return to gateways that may know other keepers by then.
Test(QuotaLedger, noWindowExceedsTheQuotaWhileGatewaysRestart)
{
    std::size_t claimed = 0;
    for (unsigned seed = 1; seed <= 12; ++seed) {
        const auto &quota = testQuotas[seed % testQuotas.size()];
        QuotaModel model(seed, 4 + seed % 3 * 10, quota);
        const auto loopPeriod = Core::milliseconds(300 + 700 * static_cast<int>(seed % 6));
        const auto offeredInStep = std::max(1.0, 0.08 * quota.requestsPerSecond);
        Core::Instant nextRestart;
        while (model.now < at(Core::seconds(60))) {
            model.advance();
            if (model.now >= nextRestart) {
                nextRestart = model.now + loopPeriod;
                for (std::size_t number = 0; number < model.rows.size(); number += 2) {
                    model.restart(model.rows[number]);
                }
            }
            if (model.random() % 100 == 0) {
                model.rows[model.random() % model.rows.size()].frozenUntil = model.now + model.upTo(25'000);
            }
            if (model.random() % 1500 == 0) {
                model.declare(testQuotas[model.random() % testQuotas.size()]);
            }
            if (model.random() % 1500 == 0) {
                for (auto &row : model.rows) {
                    model.restart(row);
                }
            }
            for (int request = 0; request < static_cast<int>(offeredInStep); ++request) {
                model.sendRandomCall();
            }
            model.sendReturningCalls();
            model.verifyWindow(seed);
        }
        claimed += model.claimed;
    }
    cr_assert(claimed > 500, "reservations are claimed in the model: %zu", claimed);
}

// Offered load is as high as the quota permits, at gateways that each receive a request of the workspace every few seconds.
Test(QuotaLedger, requestsWithinTheQuotaAreAdmitted)
{
    for (const std::size_t gateways : {std::size_t(3), std::size_t(10), std::size_t(100), std::size_t(1000)}) {
        for (const auto &quota : testQuotas) {
            QuotaModel model(7, gateways, quota);
            int offered = 0;
            int granted = 0;
            double due = 0.0;
            while (model.now < at(Core::seconds(30))) {
                model.advance();
                if (model.now < at(Core::seconds(12))) {
                    continue;
                }
                for (due += 0.01 * quota.requestsPerSecond; due >= 1.0; due -= 1.0) {
                    ++offered;
                    granted += model.requestAtRandomGateway() ? 1 : 0;
                }
            }
            cr_assert(granted >= 0.97 * offered, "%d of %d, %zu gateways, %.0f a second", granted, offered, gateways, quota.requestsPerSecond);
        }
    }
}

Test(QuotaLedger, aKeeperWithoutAKnownLeaderHoldsNoShares)
{
    QuotaLedger ledger(regions, {.slack = 20.0}, gatewayNumber(0).address);
    ledger.setGateways({gatewayNumber(0)}, at(Core::Duration(0)));
    ledger.setDeclaration(declarationWith(testQuotas[1]), at(Core::Duration(0)));
    const Fleet::WorkspaceName name("w");
    cr_assert_not(ledger.admit({.workspace = name, .terms = {}}, at(Core::seconds(10))).isKeeper);
    ledger.setMayHoldShares(true, at(Core::seconds(10)));
    const auto early = ledger.admit({.workspace = name, .terms = {}}, at(Core::milliseconds(11'900)));
    cr_assert(early.isKeeper && !early.granted && early.freeAfter == Core::milliseconds(100), "the previous keeper may still grant requests");
    ledger.setContactStatement(
        {.oldestContact = at(Core::milliseconds(11'200)), .listedSince = at(Core::seconds(10)), .statedAt = at(Core::milliseconds(11'200))},
        at(Core::milliseconds(11'950)));
    cr_assert(ledger.admit({.workspace = name, .terms = {}}, at(Core::seconds(12))).granted);
    ledger.setMayHoldShares(false, at(Core::seconds(15)));
    cr_assert_not(ledger.admit({.workspace = name, .terms = {}}, at(Core::seconds(20))).isKeeper);
}

Test(QuotaLedger, retryTimesOfRefusedCallersAreSpaced)
{
    QuotaLedger ledger(regions, {.usedShare = 1.0}, gatewayNumber(0).address);
    ledger.setGateways({gatewayNumber(0)}, at(Core::Duration(0)));
    ledger.setDeclaration(declarationWith({.requestsPerSecond = 2.0, .burst = 1.0}), at(Core::Duration(0)));
    ledger.setMayHoldShares(true, at(Core::Duration(0)));
    const Fleet::WorkspaceName name("w");
    cr_assert(ledger.admit({.workspace = name, .terms = {}}, at(Core::seconds(10))).granted);
    const auto first = ledger.admit({.workspace = name, .terms = {}}, at(Core::seconds(10)));
    const auto second = ledger.admit({.workspace = name, .terms = {}}, at(Core::seconds(10)));
    cr_assert(!first.granted && first.freeAfter == second.freeAfter);
    cr_assert(second.retryAfter - first.retryAfter >= Core::milliseconds(490), "retry times are one token apart");
    cr_assert(ledger.admit({.workspace = name, .terms = {}}, at(Core::seconds(10)) + first.retryAfter).granted);
}

// Guards against queries to an ended process, which are not answered, while the process that runs at its address is a keeper.
Test(QuotaKeepers, aRestartedGatewayIsKnownByItsLatestIncarnation)
{
    Fleet::BackendRegistry registry;
    Protocol::BackendAnnouncement announcement;
    announcement.address = "10.0.0.1:1";
    announcement.zone = "a1";
    announcement.phase = Protocol::BackendPhase::READY;
    for (int incarnation = 0; incarnation < 16; ++incarnation) {
        announcement.id = "g/" + std::to_string(incarnation);
        announcement.sequence = 1;
        registry.merge(announcement, at(Core::seconds(incarnation)));
        // A late announcement of the first incarnation.
        announcement.id = "g/0";
        announcement.sequence = incarnation + 2;
        registry.merge(announcement, at(Core::seconds(incarnation)));
        const auto running = Gateway::runningGateways(registry);
        cr_assert(running.size() == 1 && running.front().name.value() == "g/" + std::to_string(incarnation), "%d", incarnation);
    }
}
