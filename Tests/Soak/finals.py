# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Fault soak in which all processes are killed right after a configuration was acknowledged.

Each round has changes acknowledged: a small one, a large one, or some by two operators at once.
At the same time, or up to a second before, the leader is paused, replaced or killed for good.
Then all processes are killed within milliseconds, and one coordinator may lose its disk. The
next round begins as soon as the platform counts that coordinator as healthy again. What was
acknowledged must be read back, unchanged, and be in force at each gateway."""

import asyncio
import json
import signal
import time

from backends import call
from replacements import CATCH_UP_SECONDS, ReplacementSoak
from soak import APPLY_SECONDS

# From an acknowledgement to the kill of all processes.
LONGEST_DELAY_SECONDS = 0.004
# From the sending of a change to a kill that does not wait for the acknowledgement.
LONGEST_TIMED_SECONDS = 0.4
# All processes are back within a second. Service may rest for this long after that.
RECOVERY_SECONDS = 12.0
# Routes of a large configuration beside those of soak.py.
LARGE_CONFIGURATION_ROUTES = 350
OPERATORS_AT_ONCE = 3


class FinalSoak(ReplacementSoak):
    """The run of one seed. There are no faults but those of the rounds."""

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.is_large = False
        self.counts.update({"finals": 0, "disks_lost": 0, "acknowledged": 0, "longest_read_back_ms": 0})

    def configuration(self, version):
        document = super().configuration(version)
        if self.is_large:
            document["routes"] += [{"name": f"route-{number}", "host": "h.example", "path_prefix": f"/further/{version}/{number}/", "route_type": "idempotent",
                                    "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2, "service": "records", "max_attempts": 2}
                                   for number in range(LARGE_CONFIGURATION_ROUTES)]
        return document

    def uses_proxy(self):
        return False

    # Configurations change in the rounds only, and the evacuations of the others end with their checks.
    async def operate(self):
        await asyncio.sleep(self.options.seconds)

    async def inject_faults(self):
        while not self.ending:
            # A coordinator that has lost its disk counts as lost until it has run for this long.
            last_start = max(process.started_at for process in self.coordinators)
            await asyncio.sleep(max(0.0, last_start + CATCH_UP_SECONDS - time.monotonic()))
            await self.play_round()

    async def play_round(self):
        leader = await self.change()
        if leader is None:
            self.fail("order-not-accepted", "no change was acknowledged before the round")
            return
        self.is_large = self.rounds_random.random() < 0.3
        lost = await self.disturb(leader)
        changes = [asyncio.create_task(self.change()) for _ in range(self.rounds_random.choice([1, 1, OPERATORS_AT_ONCE]))]
        if self.rounds_random.random() < 0.5:
            await asyncio.wait(changes, timeout=RECOVERY_SECONDS, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(self.rounds_random.uniform(0.0, LONGEST_DELAY_SECONDS))
        else:
            await asyncio.sleep(self.rounds_random.uniform(0.005, LONGEST_TIMED_SECONDS))
        givers = [task.result() for task in changes if task.done() and task.result() is not None]
        self.strike(lost, givers[-1] if givers else leader)
        for task in changes:
            task.cancel()
        await self.check_kept()

    # ---- Changes

    async def change(self):
        """Has one more version acknowledged. Returns the coordinator that acknowledged it, or None."""
        self.version += 1
        document = self.configuration(self.version)
        self.sent[document["version"]] = document
        body = json.dumps(document).encode()
        deadline = time.monotonic() + RECOVERY_SECONDS
        while time.monotonic() < deadline and not self.ending:
            giver = await self.acknowledged_by("PUT", "/crankrudder/config", body)
            if giver is not None:
                self.acknowledged.append((document["version"], time.monotonic()))
                self.counts["acknowledged"] += 1
                return giver
            await asyncio.sleep(0.05)
        return None

    # ---- Faults

    async def disturb(self, leader):
        """Disturbs the leader within the last second before the kill. Returns it if it counts as lost by that, else None."""
        kind = self.rounds_random.choice(["none", "none", "pause", "replace", "kill for good"])
        if kind == "pause":
            leader.send(signal.SIGSTOP)
            asyncio.create_task(self.resume_later(leader, leader.process))
        elif kind == "replace":
            leader.is_removed = True
            await self.start_successor(leader)
            await asyncio.sleep(self.rounds_random.uniform(0.2, 1.0))
            leader.send(signal.SIGTERM)
        elif kind == "kill for good":
            leader.is_removed = True
            leader.send(signal.SIGKILL)
            await self.start_successor(leader)
        else:
            return None
        self.counts["replaced"] += kind != "pause"
        await asyncio.sleep(self.rounds_random.uniform(0.0, 0.5))
        return leader

    async def resume_later(self, process, paused):
        await asyncio.sleep(self.rounds_random.uniform(0.5, 3.0))
        if process.process is paused:
            process.send(signal.SIGCONT)

    def strike(self, lost, giver):
        """Kills all processes. Unless a coordinator is lost already, one may lose its disk: the one that gave the acknowledgement, or another."""
        loser = None
        if lost is None and self.rounds_random.random() < 0.7:
            loser = self.rounds_random.choice([giver, self.rounds_random.choice(self.coordinators)])
        processes = self.coordinators + self.gateways + ([lost] if lost is not None and lost not in self.coordinators else [])
        for process in processes:
            process.record_fault(CATCH_UP_SECONDS)
            process.send(signal.SIGKILL)
        if loser is not None:
            loser.lose_disk()
            self.counts["disks_lost"] += 1
        self.counts["finals"] += 1

    # ---- Checks

    async def check_kept(self):
        """Reads back what was acknowledged from every coordinator, and checks that it is in force at every gateway."""
        newest = self.newest_acknowledged(time.monotonic())
        began = time.monotonic()
        version = await self.read_version(began + 1.0 + RECOVERY_SECONDS)
        self.counts["longest_read_back_ms"] = max(self.counts["longest_read_back_ms"], round(1000 * (time.monotonic() - began)))
        if version is None or version < newest:
            self.fail("acknowledged-lost", f"version {newest} was acknowledged, {version} is read back {time.monotonic() - began:.1f} s after the kill")
            return
        await asyncio.sleep(APPLY_SECONDS)
        for gateway in self.gateways:
            headers = {"Host": "h.example", "Request-Id": f"kept-{self.seed}-{newest}-{gateway.name}", "Credential": f"current-key-{version}"}
            answer = await call(gateway.address, self.port, "GET", f"/v{version}/x", headers=headers)
            if answer is None or answer[0] in (401, 404):
                self.fail("not-in-force", f"{gateway.name} answers {None if answer is None else answer[0]} to a request that only version {version} allows")

    async def read_version(self, deadline):
        while time.monotonic() < deadline:
            answer = await self.control_call("GET", "/crankrudder/config")
            if answer is not None and answer[0] == 200:
                document = json.loads(answer[2])
                if document != self.sent.get(document["version"]):
                    self.fail("other-content", f"version {document['version']}")
                return document["version"]
            await asyncio.sleep(0.1)
        return None
