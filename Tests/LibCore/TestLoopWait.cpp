/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/LoopWait.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>

// Guards against handlers that count as waiting, and waits that count as work: a gateway would report the wrong load.
Test(LoopWait, countsWaitsAndNotHandlers)
{
    TestSupport::LoopFixture fixture;
    const Core::LoopWait loopWait(fixture.context);
    const auto from = fixture.timers.now();
    Core::Duration handled{0};
    const auto busy = fixture.timers.once(Core::milliseconds(30), [&](Core::Instant) {
        const auto began = fixture.timers.now();
        while (fixture.timers.now() - began < Core::milliseconds(30)) {
        }
        handled = fixture.timers.now() - began;
    });
    fixture.settle(Core::milliseconds(90));
    const auto elapsed = fixture.timers.now() - from;
    // The two clocks may differ by their resolution.
    const auto tolerance = Core::milliseconds(1);
    cr_assert_gt(loopWait.total(), Core::Duration(0));
    cr_assert_leq(loopWait.total(), elapsed - handled + tolerance);
}
