/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests the signals that request a planned stop.

#include <LibCore/Daemon.h>

#include <criterion/criterion.h>
#include <csignal>
#include <vector>

// Guards against signals that shorten a stop: the first one calls the hook, and no later one ends the loop.
Test(Daemon, furtherSignalsDoNotShortenAStop)
{
    Core::Daemon daemon("test");
    int stops = 0;
    std::vector<int> signals{SIGHUP, SIGTERM, SIGINT, SIGTERM, SIGHUP, SIGINT};
    daemon.onStop([&] {
        ++stops;
    });
    // The next signal follows once the loop has handled the one before.
    const auto sending = daemon.timers().every(Core::milliseconds(5), [&](Core::Instant) {
        if (signals.empty()) {
            daemon.quit();
            return;
        }
        std::raise(signals.front());
        signals.erase(signals.begin());
    });
    daemon.run();
    cr_assert(signals.empty());
    cr_assert_eq(stops, 1);
}
