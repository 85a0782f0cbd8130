# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Load of the fault soak: callers that return after a refusal, and backend servers
that refuse, slow down for a short time and report a false load. The checks stay
those of soak.py: what was refused has not run, no window exceeds a quota, and no
answer is wrong."""

import asyncio
import random

# Callers wait as Retry-After says, but for no larger part of the time that they have left.
LONGEST_WAIT_SHARE = 1 / 3
# Share of the refused requests that return.
RETURNING_SHARE = 0.5
# What a backend server reports in place of its load: idle, overloaded, nothing, not a report.
FALSE_LOADS = ["0,0,4,100", "4,50,4,900", None, "4,x"]

# What set_for_a_time() sets, at a backend server without faults.
HEALTHY = {"shed": 0.0, "noise": 1.0, "false_load": None, "reports_falsely": False}


class Load:
    """Returning callers and faults of backend servers in one run."""

    def __init__(self, soak):
        self.soak = soak
        # Uses a separate generator, so that the draws for the other faults stay the same.
        self.random = random.Random(f"load {soak.seed}")
        self.returns = 0

    def handle_refusal(self, request, headers):
        """Lets the caller of a refused request return with some probability, unless it has returned before."""
        if request.is_return or "retry-after" not in headers or self.random.random() >= RETURNING_SHARE:
            return
        wait = min(float(headers["retry-after"]), request.caller_timeout / 1000 * LONGEST_WAIT_SHARE)
        # Most callers return on time. Some return early or late, and some twice, through two gateways at once.
        manner, factor = self.random.choices(["on time", "early", "late", "twice"], [5, 1, 1, 1])[0], 1.0
        if manner in ("early", "late"):
            factor = 0.3 if manner == "early" else 2.5
        for gateway in self.random.sample(self.soak.gateways, 2 if manner == "twice" else 1):
            asyncio.create_task(self.return_to(gateway, request, wait * factor))

    async def return_to(self, gateway, request, wait):
        await asyncio.sleep(wait)
        if self.soak.ending:
            return
        self.returns += 1
        self.soak.counts["returned"] += 1
        again = request.returning(f"{request.request_id}-r{self.returns}")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(gateway.address, self.soak.port), 1.0)
        except (OSError, asyncio.TimeoutError):
            return
        await self.soak.send_request(gateway, reader, writer, again)
        self.soak.counts["returned_served"] += again.status == 200
        writer.close()

    async def inject_faults(self):
        while not self.soak.ending:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            asyncio.create_task(self.random.choice([self.refuse, self.slow_down, self.report_falsely])())

    def some_backends(self):
        """Returns backend servers of all services, so that some services have no other one left."""
        ready = [backend for backend in self.soak.backends if backend.state == "ready" and not backend.gone]
        return self.random.sample(ready, max(1, int(len(ready) * self.random.choice([0.2, 0.5, 0.8]))))

    async def set_for_a_time(self, backends, seconds, **faults):
        for backend in backends:
            for name, value in faults.items():
                setattr(backend, name, value)
        await asyncio.sleep(seconds)
        # Faults may overlap, so what was set before may be another fault, which has ended meanwhile.
        for backend in backends:
            for name in faults:
                setattr(backend, name, HEALTHY[name])

    async def refuse(self):
        await self.set_for_a_time(self.some_backends(), self.random.uniform(1, 4), shed=self.random.choice([0.3, 0.6, 1.0]))

    async def slow_down(self):
        await self.set_for_a_time(self.some_backends(), self.random.uniform(0.3, 0.8), noise=2.5)

    async def report_falsely(self):
        await self.set_for_a_time(self.some_backends(), self.random.uniform(1, 4), false_load=self.random.choice(FALSE_LOADS), reports_falsely=True)
