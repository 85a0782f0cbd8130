# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Fault soak of callers' connections that are kept open.

Callers reach the gateways over links with a delay. Some use a connection again at once, some
after a pause, some just when its idle timeout ends. Declarations change that timeout, gateways
get SIGHUP with changed settings files and are stopped as planned, and backend servers break
answers off, lose them, and send late or surplus ones. Processes may get a part of the processor
only. Every request that a gateway has taken must be answered."""

import asyncio
import signal

from proxy import FaultProxy
from stops import StopSoak

# Way from callers to gateways, one way.
LINK_DELAY_SECONDS = 0.003
IDLE_TIMEOUTS_MS = [2000, 3000, 6000]
# Shares of the idle timeout, as the gateway stated it, after which a connection is used again.
RESTS = [0.0] * 24 + [0.5, 0.8, 0.95, 1.0, 1.05]
# A connection that has rested for this share of the stated idle timeout can be used.
LONGEST_PROMISED_REST = 0.8
# Length of the period of which a process may run a part.
QUOTA_PERIOD_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.1


class ConnectionSoak(StopSoak):
    """The run of one seed. Odd seeds have planned stops of gateways; even ones have none."""

    SINGLE_WORK_SECONDS = (0.03, 0.12)

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.counts.update({"kept": 0, "rested": 0, "crossed_close": 0})
        self.links = {}
        # Idle timeout of each version that was declared.
        self.idle_timeouts = {}
        # Idle timeouts as gateways stated them with their answers, by request id.
        self.stated_seconds = {}
        # Rest of the connection before each request, as a share of the stated timeout.
        self.rested_share = {}

    def configuration(self, version):
        document = super().configuration(version)
        document["limits"]["idle_timeout_ms"] = self.idle_timeouts.setdefault(version, self.stop_random.choice(IDLE_TIMEOUTS_MS))
        return document

    async def start_processes(self):
        await super().start_processes()
        for gateway in self.gateways:
            link = FaultProxy(self.random, gateway.address, self.port)
            link.delay = LINK_DELAY_SECONDS
            self.links[gateway] = ("127.0.0.1", await link.start())
        if self.options.processor_share < 1.0:
            self.quotas = [asyncio.create_task(self.limit_processor(process)) for process in self.gateways + self.coordinators]

    async def limit_processor(self, process):
        while not self.ending:
            process.send(signal.SIGSTOP)
            await asyncio.sleep(QUOTA_PERIOD_SECONDS * (1 - self.options.processor_share))
            process.send(signal.SIGCONT)
            await asyncio.sleep(QUOTA_PERIOD_SECONDS * self.options.processor_share)

    # ---- Faults

    async def inject_faults(self):
        faults = [self.send_hangups(), self.trouble_backends()]
        if self.seed % 2 == 1:
            faults.append(super().inject_faults())
        tasks = [asyncio.create_task(fault) for fault in faults]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def send_hangups(self):
        while not self.ending:
            await asyncio.sleep(self.stop_random.uniform(0.0, 0.8))
            for process in self.stop_random.sample(self.gateways + self.coordinators, 2):
                process.write_settings()
                process.send(signal.SIGHUP)
                self.counts["further_signals"] += 1

    async def trouble_backends(self):
        while not self.ending:
            await asyncio.sleep(self.stop_random.uniform(0.2, 1.0))
            fault = self.stop_random.choice([self.lose_answers, self.garble_answers, self.slow_backend, self.send_surplus])
            asyncio.create_task(fault())

    async def send_surplus(self):
        backend = self.random_backend()
        backend.duplicate = self.duplicate_random.uniform(0.3, 1.0)
        await asyncio.sleep(self.duplicate_random.uniform(1, 4))
        backend.duplicate = 0.0

    # ---- Callers

    async def caller(self, number):
        """Uses the connection to one gateway for as long as it stands, with rests of a share of the idle timeout that the gateway states."""
        gateway = self.gateways[number % len(self.gateways)]
        address, port = self.links[gateway]
        count = 0
        while not self.ending:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1.0)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            alive = True
            share = 0.0
            while alive and not self.ending:
                count += 1
                request_id = f"{self.seed}-{number}-{count}"
                self.rested_share[request_id] = share
                alive = await self.one_request(gateway, reader, writer, request_id)
                self.counts["kept"] += alive
                share = self.stop_random.choice(RESTS)
                await self.rest(share * self.stated_seconds.pop(request_id, 0.0))
            writer.close()

    async def rest(self, seconds):
        self.counts["rested"] += seconds > 0.0
        await asyncio.sleep(seconds or self.stop_random.uniform(0.0, LONGEST_PAUSE_SECONDS))

    # ---- Checks

    def check_answer(self, gateway, kind, request_id, status, headers, content):
        super().check_answer(gateway, kind, request_id, status, headers, content)
        if "timeout=" in headers.get("keep-alive", ""):
            self.stated_seconds[request_id] = float(headers["keep-alive"].split("timeout=")[1])

    def check_cuts(self):
        """Also checks that no gateway closes a connection much before the idle timeout that it stated. One that is stopped as planned may."""
        super().check_cuts()
        for gateway, request_id, _, _ in self.unanswered:
            share = self.rested_share.get(request_id, 0.0)
            if self.seed % 2 == 0 and share <= LONGEST_PROMISED_REST:
                self.fail("closed-too-early", f"{request_id} at {gateway.name}, after {share:g} of the stated idle timeout")
        self.counts["crossed_close"] = len(self.unanswered)
