# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Fault soak with hundreds of requests a second.

Callers use their connections without a pause, and backend servers refuse, slow down and report
a false load. No process is killed, paused or stopped. The repeats of all gateways together must
stay within the budget of each service. The soak records arrivals in its own loop, so it prints
how late that loop ran at most."""

import asyncio
import time

from stops import StopSoak

LAG_CHECK_SECONDS = 0.01


class RateSoak(StopSoak):
    """The run of one seed."""

    SINGLE_WORK_SECONDS = (0.03, 0.12)

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.counts.update({"longest_lag_ms": 0})

    async def inject_faults(self):
        while not self.ending:
            began = time.monotonic()
            await asyncio.sleep(LAG_CHECK_SECONDS)
            lag = time.monotonic() - began - LAG_CHECK_SECONDS
            self.counts["longest_lag_ms"] = max(self.counts["longest_lag_ms"], round(1000 * lag))
