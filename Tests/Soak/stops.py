# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Fault soak of planned stops.

Gateways and coordinators are stopped one after the other and at the same time, with further
signals during the stop and during the next start. Requests take long, and callers use their
connections until the process is gone: some at once, some after a pause, some upload slowly.
Every request that a gateway has taken must be answered."""

import asyncio
import signal
import time

from backends import read_message
from soak import CallerRequest, Soak

ROUTE_TIMEOUT_MS = 10000
CALLER_TIMEOUTS_MS = [800, 2000, 10000]
RECORD_SERVERS = 9


class StopSoak(Soak):
    """The run of one seed. There are no faults but planned stops."""

    # Shortest and longest work of a single request: some last longer than what is left of the grace period.
    SINGLE_WORK_SECONDS = (0.1, 1.5)

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.grace_seconds = options.grace
        self.counts.update({"refused_in_stop": 0, "timed_out_in_stop": 0, "uploads": 0})

    def configuration(self, version):
        document = super().configuration(version)
        for route in document["routes"]:
            if "gather" not in route:
                route["timeout_ms"] = ROUTE_TIMEOUT_MS
        return document

    def work_seconds(self, backend):
        return super().work_seconds(backend) if backend.is_shard else self.stop_random.uniform(*self.SINGLE_WORK_SECONDS)

    async def start_backends(self):
        await super().start_backends()
        for index in range(RECORD_SERVERS):
            await self.add_backend("records", self.gateway_zones[index % 3], False)

    def uses_proxy(self):
        return False

    # ---- Stops

    async def inject_faults(self):
        await asyncio.sleep(1.0)
        while not self.ending:
            await asyncio.gather(*(self.stop_one(process) for process in self.draw_processes()))
            await asyncio.sleep(self.stop_random.uniform(0.2, 1.0))

    def draw_processes(self):
        """One or two gateways, a whole zone of them, or a gateway and a coordinator."""
        kind = self.stop_random.choice(["one", "two", "zone", "machine"])
        if kind == "zone":
            zone = self.stop_random.choice(self.gateway_zones)
            return [gateway for gateway in self.gateways if gateway.zone == zone]
        chosen = self.stop_random.sample(self.gateways, 2 if kind == "two" else 1)
        return chosen + ([self.stop_random.choice(self.coordinators)] if kind == "machine" else [])

    async def stop_one(self, process):
        await asyncio.sleep(self.stop_random.uniform(0.0, 0.5))
        before = process.process
        await process.stop_as_planned(self.draw_signals())
        while process.process is before and not self.ending:
            await asyncio.sleep(0.02)
        if self.stop_random.random() < 0.3:
            # Any moment of the start, mostly before the process serves anything.
            await asyncio.sleep(self.stop_random.uniform(0.0, 0.3))
            if self.stop_random.random() < 0.5:
                process.send(signal.SIGHUP)
            elif not self.ending:
                await process.stop_as_planned()

    async def inject_duplicates(self):
        await asyncio.sleep(self.options.seconds)

    # ---- Callers

    async def caller(self, number):
        """Uses the connection to one gateway for as long as it stands."""
        gateway = self.gateways[number % len(self.gateways)]
        pause = [0.0, 0.05, 3.0][number % 3]
        count = 0
        while not self.ending:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(gateway.address, self.port), 1.0)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            alive = True
            while alive and not self.ending:
                count += 1
                alive = await self.one_request(gateway, reader, writer, f"{self.seed}-{number}-{count}")
                await asyncio.sleep(self.stop_random.uniform(0.0, pause))
            writer.close()

    async def one_request(self, gateway, reader, writer, request_id):
        kind = self.stop_random.choices(["search", "record", "action"], [3, 5, 2])[0]
        body = b"a print job " * 4 if kind == "action" else b""
        request = CallerRequest(request_id, kind, "alpha-key-1", self.stop_random.choice(CALLER_TIMEOUTS_MS), body, request_id)
        stopping = gateway.disturbed_until > time.monotonic()
        if kind == "action" and self.stop_random.random() < 0.3:
            alive = await self.upload_slowly(gateway, reader, writer, request)
        else:
            alive = await self.send_request(gateway, reader, writer, request)
        self.counts["refused_in_stop"] += stopping and request.status == 503
        self.counts["timed_out_in_stop"] += stopping and request.status in (502, 504)
        return alive

    async def upload_slowly(self, gateway, reader, writer, request):
        """Sends the head and half of the body, and the rest later. The answer may come before the rest is sent."""
        self.counts["uploads"] += 1
        self.key_of[request.request_id] = request.key
        self.non_idempotent.add(request.request_id)
        self.budget.record_request(time.monotonic(), request.request_id, request.kind, request.caller_timeout / 1000)
        head = [f"POST /{request.kind}/{request.content_id} HTTP/1.1", "Host: h.example", f"Request-Id: {request.request_id}", f"Deadline-Ms: {request.caller_timeout}",
                f"Content-Length: {len(request.body)}", f"Credential: {request.key}"]
        half = len(request.body) // 2
        answer = asyncio.create_task(read_message(reader))
        sent_at = time.monotonic()
        try:
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + request.body[:half])
            await asyncio.wait([answer], timeout=self.stop_random.uniform(0.1, 2.0))
            if not answer.done():
                writer.write(request.body[half:])
                sent_at = time.monotonic()
            first, headers, content = await asyncio.wait_for(answer, request.caller_timeout / 1000 + 1.0)
        except asyncio.TimeoutError:
            self.counts["no_answer"] += 1
            return False
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self.counts["no_answer"] += 1
            self.unanswered.append((gateway, request.request_id, sent_at, time.monotonic()))
            return False
        finally:
            if not answer.done():
                answer.cancel()
            elif not answer.cancelled():
                answer.exception()
        request.status = int(first.split(" ")[1])
        self.check_answer(gateway, request.kind, request.request_id, request.status, headers, content)
        return headers.get("connection") != "close"
