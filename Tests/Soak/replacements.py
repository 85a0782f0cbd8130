# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Fault soak that replaces coordinators in turn, and makes their disks refuse writes.

Each round replaces two coordinators by empty ones at other addresses, the second as soon as the
successor of the first has had its time to catch up. Each is stopped as planned, after its
successor has started, or killed for good. After that operators' orders must be accepted again.
Between the rounds the disk of one coordinator refuses writes for some seconds."""

import asyncio
import random
import resource
import signal
import time

from soak import CONTACT_SECONDS, ZONES, Soak

# A replaced coordinator counts as lost until its successor has run for this long (bounds.catch_up_s).
CATCH_UP_SECONDS = 4.0
# From the start of a successor to the planned stop, or from a kill for good to the start of the successor.
OVERLAP_SECONDS = 1.0
LONGEST_DISK_FULL_SECONDS = 4.0
# An order is accepted within this time once nothing happens any more.
ORDER_SECONDS = 8.0


class ReplacementSoak(Soak):
    """The run of one seed."""

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.rounds_random = random.Random(f"replacements {seed}")
        self.next_address = 1
        self.counts.update({"replaced": 0, "disks_full": 0})

    @staticmethod
    def prepare_process():
        """A refused write is an error and not the end of the process."""
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)

    async def inject_faults(self):
        await asyncio.sleep(CONTACT_SECONDS)
        while not self.ending:
            await self.replace_two()
            await self.fill_a_disk()

    async def replace_two(self):
        for process in self.rounds_random.sample(self.coordinators, 2):
            started_at = await self.replace(process)
            await asyncio.sleep(max(0.0, started_at + CATCH_UP_SECONDS + 0.2 - time.monotonic()))
        zone = self.rounds_random.choice(ZONES)
        began = time.monotonic()
        if not await self.order_evacuation("DELETE", zone) or time.monotonic() - began > ORDER_SECONDS:
            self.fail("order-not-accepted", f"DELETE {zone} took {time.monotonic() - began:.1f} s after two replacements")

    async def replace(self, process):
        """Replaces a coordinator. Returns when its successor was started."""
        planned = self.rounds_random.random() < 0.6
        process.is_removed = True
        self.record_faults(2 * OVERLAP_SECONDS + CATCH_UP_SECONDS)
        if not planned:
            process.send(signal.SIGKILL)
            await asyncio.sleep(OVERLAP_SECONDS)
        await self.start_successor(process)
        started_at = time.monotonic()
        if planned:
            await asyncio.sleep(OVERLAP_SECONDS)
            process.send(signal.SIGTERM)
        self.counts["replaced"] += 1
        return started_at

    async def start_successor(self, process):
        address = f"127.0.2.{self.next_address}"
        self.next_address += 1
        successor = self.make_process("coordinatord", f"{self.next_address}-new", address, process.zone)
        successor.first = False
        position = self.coordinators.index(process)
        self.coordinators[position] = successor
        self.seed_addresses = [coordinator.address for coordinator in self.coordinators[:3]]
        await successor.start()
        successor.record_fault(CATCH_UP_SECONDS)

    async def fill_a_disk(self):
        process = self.rounds_random.choice(self.coordinators)
        seconds = self.rounds_random.uniform(0.5, LONGEST_DISK_FULL_SECONDS)
        self.record_faults(seconds)
        unlimited = resource.RLIM_INFINITY
        self.limit_files(process, (0, unlimited))
        await asyncio.sleep(seconds)
        self.limit_files(process, (unlimited, unlimited))
        self.counts["disks_full"] += 1
        await asyncio.sleep(CONTACT_SECONDS + 2)

    @staticmethod
    def limit_files(process, limits):
        if process.process.returncode is None:
            resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE, limits)

    def record_faults(self, seconds):
        for process in self.coordinators:
            process.record_fault(seconds)
