# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Fault soak that kills whoever gave an acknowledgement, within milliseconds of it.

Each round has something acknowledged: departures of backend servers, which then serve on for
long, configurations, evacuations and their withdrawal, or a refusal by a gateway. Right after
it the giver is killed, with or without its disk, or all coordinators, or all processes. What
was acknowledged must hold as soon as all processes are in contact again. With an even seed the
faults of soak.py overlap the rounds; with an odd one there are no others."""

import asyncio
import json
import random
import signal
import time

from soak import CONTACT_SECONDS, EVACUATE_SECONDS, ZONES, Soak

# The longest time from an acknowledgement to the kill.
LONGEST_DELAY_SECONDS = 0.004
# How long backend servers serve after their departure was acknowledged. All processes are in contact again for the last part of it.
SERVES_ON_SECONDS = 14.0
# From a kill until all processes have run undisturbed for CONTACT_SECONDS, with time to start again.
ROUND_SECONDS = CONTACT_SECONDS + 3.0


class AcknowledgementSoak(Soak):
    """The run of one seed."""

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.rounds_random = random.Random(f"acknowledgements {seed}")
        self.kills_at_refusal = False
        self.counts.update({"departures": 0, "departures_unacknowledged": 0, "kills": 0, "refusal_kills": 0})

    def uses_proxy(self):
        # A request that a proxy holds up arrives late although it was sent in time.
        return False

    async def inject_faults(self):
        tasks = [asyncio.create_task(self.play_rounds())]
        if self.seed % 2 == 0:
            tasks.append(asyncio.create_task(super().inject_faults()))
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def play_rounds(self):
        await asyncio.sleep(CONTACT_SECONDS)
        kinds = [self.deregister, self.deregister, self.drain, self.drain, self.change_configuration, self.order_and_withdraw, self.refuse]
        while not self.ending:
            await self.rounds_random.choice(kinds)()
            await asyncio.sleep(ROUND_SECONDS)

    # ---- Acknowledgements

    async def depart(self, announce):
        """Lets some backend servers leave at once. The giver of the last acknowledgement is killed."""
        leaving = []
        for _ in range(self.rounds_random.choice([1, 1, 2, 5])):
            backend = self.random_backend()
            await self.add_backend(backend.service, backend.zone, backend.is_shard)
            backend.state = "leaving"
            leaving.append(backend)
        # The new servers are known everywhere before the others leave.
        await asyncio.sleep(0.8)
        givers = [giver for giver in await asyncio.gather(*[announce(backend) for backend in leaving]) if giver is not None]
        if givers:
            await self.strike(givers[-1])
        for backend in leaving:
            self.counts["departures" if backend.drain_acknowledged is not None else "departures_unacknowledged"] += 1
            asyncio.create_task(self.end_later(backend))

    async def end_later(self, backend):
        await asyncio.sleep(SERVES_ON_SECONDS)
        if not backend.gone:
            backend.crash()

    async def deregister(self):
        """Backend servers that never say that they drain: they send a deregistration, no further heartbeat, and serve on."""
        async def announce(backend):
            backend.heartbeats.cancel()
            giver = await self.acknowledged_by("DELETE", f"/crankrudder/instances/{backend.id}", json.dumps({"born": backend.born}).encode())
            backend.drain_acknowledged = time.monotonic() if giver is not None else None
            return giver
        await self.depart(announce)

    async def drain(self):
        """Backend servers that say that they drain, once, as where the next heartbeat comes after the end."""
        async def announce(backend):
            backend.heartbeats.cancel()
            backend.state = "draining"
            giver = await self.acknowledged_by("PUT", f"/crankrudder/instances/{backend.id}", backend.next_heartbeat())
            backend.drain_acknowledged = time.monotonic() if giver is not None else None
            return giver
        await self.depart(announce)

    async def change_configuration(self):
        """A configuration. read_back() and probe_current() see whether the newest acknowledged one is kept and in force."""
        self.version += 1
        document = self.configuration(self.version)
        self.sent[self.version] = document
        giver = await self.acknowledged_by("PUT", "/crankrudder/config", json.dumps(document).encode())
        if giver is not None:
            self.acknowledged.append((document["version"], time.monotonic()))
            await self.strike(giver)

    async def order_and_withdraw(self):
        """An evacuation or its withdrawal, of a zone that no other part of the run evacuates."""
        zone = ZONES[2]
        evacuate = zone not in self.evacuated
        if not evacuate:
            self.evacuated.pop(zone)
        giver = await self.acknowledged_by("POST" if evacuate else "DELETE", f"/crankrudder/evacuations/{zone}")
        if giver is None:
            return
        if evacuate:
            self.evacuated[zone] = time.monotonic()
        else:
            asyncio.create_task(self.check_used_again(zone))
        await self.strike(giver)

    async def check_used_again(self, zone):
        """Checks that a zone whose evacuation was withdrawn gets requests, once all processes are in contact."""
        began = time.monotonic()
        await asyncio.sleep(ROUND_SECONDS + EVACUATE_SECONDS)
        used = {run.backend for runs in self.journal.runs.values() for run in runs if run.at > began + CONTACT_SECONDS}
        is_used = any(backend.id in used for backend in self.backends if backend.zone == zone)
        if not is_used and zone not in self.evacuated and self.is_in_contact() and not self.ending:
            self.fail("withdrawal-lost", f"no request ran in {zone} since its evacuation was withdrawn")

    async def evacuate(self):
        """Evacuations are ordered by the rounds only, so that one which is withdrawn was not ordered by another part of the run meanwhile."""

    async def refuse(self):
        """A refusal, which promises that the request has not run and never will. check_never_ran() sees whether it does."""
        self.kills_at_refusal = True

    def check_answer(self, gateway, kind, request_id, status, headers, content):
        super().check_answer(gateway, kind, request_id, status, headers, content)
        if self.kills_at_refusal and status in (429, 503):
            self.kills_at_refusal = False
            self.counts["refusal_kills"] += 1
            self.kill_process(gateway)

    # ---- Kills

    def kill_process(self, process, loses_disk=False):
        process.record_fault(8.0 if loses_disk else 1.0)
        process.send(signal.SIGKILL)
        if loses_disk:
            process.lose_disk()

    async def strike(self, giver):
        """Kills the process that gave an acknowledgement, alone or with others."""
        manner = self.rounds_random.choice(["giver", "giver", "disk", "coordinators", "coordinators and disk", "everything"])
        # The first kill follows the acknowledgement within milliseconds, the others the first one.
        await asyncio.sleep(self.rounds_random.uniform(0, LONGEST_DELAY_SECONDS))
        may_lose_disk = all(process is giver or process.was_stable(time.monotonic()) for process in self.coordinators)
        self.kill_process(giver, "disk" in manner and may_lose_disk)
        others = {"coordinators": self.coordinators, "coordinators and disk": self.coordinators, "everything": self.coordinators + self.gateways}
        for process in others.get(manner, []):
            if process is not giver:
                self.kill_process(process)
        self.counts["kills"] += 1

