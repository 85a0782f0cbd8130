/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the accounting of repeats over several gateways, without sockets. They guard against limits that hold only while callers stay at their gateways:
// when half of the callers moved while backend servers refused, both groups of gateways spent what the same callers had earned them, 1.08 to 1.12 of the
// allowed repeats.

#include <LibGateway/RetryBudget.h>
#include <Support/RepeatModel.h>

#include <criterion/criterion.h>

using Gateway::RetryBudget;
using TestSupport::RepeatModel;
using TestSupport::RepeatScenario;

namespace
{

Core::Instant at(std::int64_t milliseconds)
{
    return Core::Instant(Core::seconds(1000) + Core::milliseconds(milliseconds));
}

int consumeAll(RetryBudget &budget, std::int64_t milliseconds)
{
    int consumed = 0;
    while (budget.consumeRetry(at(milliseconds), 1.0)) {
        ++consumed;
    }
    return consumed;
}

void request(RetryBudget &budget, std::int64_t fromMs, std::int64_t toMs, std::int64_t periodMs)
{
    for (auto time = fromMs; time < toMs; time += periodMs) {
        budget.recordRequest(at(time));
    }
}

}

// Each window of each run, with everything at random: how many gateways, where callers send, how many there are, restarts, cuts, and what is lent.
Test(RetryBudget, noWindowExceedsTheBudgetHoweverCallersMove)
{
    double most = 0.0;
    for (unsigned seed = 1; seed <= 150; ++seed) {
        RepeatModel model(seed, RepeatScenario::atRandom(seed));
        model.run();
        cr_assert_leq(model.largestUse(), 1.0, "seed %u: %.3f of the allowed repeats", seed, model.largestUse());
        most = std::max(most, model.largestUse());
    }
    cr_assert_geq(most, 0.85, "the budget should be used, but at most %.2f was", most);
}

// The model has to show the fault of limits by the requests of the window that ends now, or the test above shows nothing.
Test(RetryBudget, theModelFindsLimitsThatMoveWithTheCallers)
{
    const auto moving = RepeatScenario::halfMoves(Core::milliseconds(3800));
    RepeatModel model(1, moving);
    model.usesFormerRule = true;
    model.run();
    cr_assert_gt(model.largestUse(), 1.05, "%.2f", model.largestUse());
}

// Callers get about as many repeats as by the former rule, which exceeds the budget when they move.
Test(RetryBudget, lendingKeepsMostRepeatsWhenCallersMove)
{
    for (const auto moveMs : {3000, 3800, 6000}) {
        RepeatModel before(1, RepeatScenario::halfMoves(Core::milliseconds(moveMs)));
        before.usesFormerRule = true;
        before.run();
        RepeatModel now(1, RepeatScenario::halfMoves(Core::milliseconds(moveMs)));
        now.run();
        cr_assert_leq(now.largestUse(), 1.0);
        cr_assert_geq(now.granted(), 0.88 * before.granted(), "%d of %d, of which %.2f is allowed", now.granted(), before.granted(), 1.0 / before.largestUse());
    }
}

Test(RetryBudget, earnsHalfInTheWindowOfARequestAndHalfInTheNext)
{
    RetryBudget budget({.ratio = 0.2, .slack = 0.0, .usedShare = 1.0});
    request(budget, 0, 10'000, 10);
    cr_assert_eq(consumeAll(budget, 10'000), 100, "half of a fifth of 1000 requests");
    cr_assert_eq(consumeAll(budget, 19'900), 0, "the others are in no window before yet that is free of these repeats");
    RetryBudget steady({.ratio = 0.2, .slack = 0.0, .usedShare = 1.0});
    int consumed = 0;
    for (std::int64_t second = 0; second < 60; ++second) {
        request(steady, second * 1000, second * 1000 + 1000, 10);
        consumed += consumeAll(steady, second * 1000 + 999);
    }
    cr_assert(consumed >= 1000 && consumed <= 1100, "%d of 1100, as the first window has nothing before it", consumed);
}

Test(RetryBudget, lendsHalfOfWhatItHasAndNothingWhileItIsShort)
{
    RetryBudget lender({.ratio = 0.2, .slack = 41.0, .usedShare = 1.0});
    cr_assert_eq(lender.lend(at(1000), 1.0, 100), 20);
    cr_assert_eq(lender.lend(at(1000), 1.0, 3), 3);
    cr_assert_eq(consumeAll(lender, 1000), 18);
    cr_assert_eq(lender.lend(at(1100), 1.0, 1), 0);
    RetryBudget borrower({.ratio = 0.2, .slack = 0.0});
    cr_assert_not(borrower.consumeRetry(at(1000), 1.0));
    cr_assert_eq(borrower.shortage(at(1000), 1.0), 1);
    borrower.addLoan(2, at(1000) + borrower.loanValidity());
    cr_assert_eq(borrower.shortage(at(1000), 1.0), 0);
    cr_assert(borrower.consumeRetry(at(1499), 1.0));
    cr_assert_not(borrower.consumeRetry(at(1500), 1.0), "it does not count at the lender for longer");
    cr_assert_eq(consumeAll(lender, 11'000), 0);
    cr_assert_eq(consumeAll(lender, 11'400), 18, "those that were lent may have been sent until 1500 ms");
    cr_assert_eq(consumeAll(lender, 11'800), 23);
}
