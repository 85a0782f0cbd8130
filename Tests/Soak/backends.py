# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Simulated backend servers of the fault soak. They run requests, record each run,
and abort connections, slow down, refuse, send duplicate answers, drain and crash
on demand."""

import asyncio
import hashlib
import json
import time

RECORD_BYTES = 16
SLOTS = 4

# Heads of answers that violate RFC 9112 or RFC 9110, without the fields that every answer has.
BROKEN_HEADS = ["HTTP/1.1 000 Any", "HTTP/1.1 099 Any", "HTTP/1.1 20 Any", "HTTP/1.1 0200 Any", "HTTP/1.1 600 Any", "HTTP/0.9 200 Any", "HTTP/1.1 200 A\rny",
                "HTTP/1.1 200 A\x01ny", "HTTP/1.1 200 Any\r\nA b: c", "HTTP/1.1 200 Any\r\nA\x01: b", "HTTP/1.1 200 Any\r\n\rA: b",
                "HTTP/1.1 200 Any\r\nA: b\rC: d"]


class Run:
    """The execution of one request at one backend server."""

    def __init__(self, request_id, service, backend, target, body):
        self.request_id = request_id
        self.service = service
        self.backend = backend
        self.target = target
        self.body = body
        self.at = time.monotonic()


class Journal:
    """Observations of all backend servers, which the soak checks at the end."""

    def __init__(self):
        self.runs = {}
        # (backend, request id) of requests that ran outside the regions that their route allows.
        self.outside_regions = []
        # (request id, workspace) as received by backend servers, and the ids of backend servers that received a caller's key.
        self.workspaces = set()
        self.keys_seen = set()

    def add(self, run):
        self.runs.setdefault(run.request_id, []).append(run)


def signature_of(service, request_id):
    return hashlib.sha256(f"{service}/{request_id}".encode()).hexdigest()[:24]


def part_of(service, request_id, count=8):
    """The records of a shard for a request, which are the same at every replica."""
    return b"".join(hashlib.md5(f"{service}/{request_id}/{index}".encode()).digest() for index in range(count))


def single_answer(service, request_id):
    return f"answer of {service} to {request_id}".encode() * 4


async def read_message(reader):
    """Reads an HTTP message: first line, headers by lower-case name, body. Raises IncompleteReadError at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(host, port, method, path, body=b"", headers=None, timeout=1.0):
    """Makes one call on a new connection. Returns status, headers and body, or None if no complete answer arrives in time."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            all_headers = {"Host": f"{host}:{port}", "Content-Length": len(body), "Connection": "close", **(headers or {})}
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in all_headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, answer_headers, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError):
        return None


class Backend:
    """One incarnation of a backend server; `identity` is the id of an earlier incarnation that it continues."""

    counter = 0

    def __init__(self, soak, service, zone, is_shard, identity=None):
        Backend.counter += 1
        self.soak = soak
        self.service = service
        self.zone = zone
        self.is_shard = is_shard
        self.id = identity or f"b{soak.seed}-{Backend.counter}"
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.drain_acknowledged = None
        self.gone = False
        # Faults, as shares of the requests; `slow` is a factor on the service time.
        self.lose = 0.0
        self.garble = 0.0
        self.refuse = 0.0
        self.duplicate = 0.0
        self.slow = 1.0
        # Faults of load.py: share of the requests that are refused, factor on the service time, and a false load report (None: no report).
        self.shed = 0.0
        self.noise = 1.0
        self.reports_falsely = False
        self.false_load = None
        self.tasks = []
        self.heartbeats = None
        self.proxy = None
        self.writers = set()
        # Duplicate answers by connection. They are sent when the next request arrives, before its own answer.
        self.duplicates = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeats = asyncio.create_task(self.send_heartbeats())
        self.tasks.append(self.heartbeats)

    async def send_heartbeats(self):
        while not self.gone:
            await self.send_heartbeat()
            await asyncio.sleep(self.soak.random.uniform(0.3, 0.5))

    def next_heartbeat(self):
        self.sequence += 1
        document = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "capacity": SLOTS,
                    "state": self.state, "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}
        return json.dumps(document).encode()

    async def send_heartbeat(self):
        return await self.soak.control_call("PUT", f"/crankrudder/instances/{self.id}", self.next_heartbeat())

    async def drain(self):
        """Announces that it drains, serves for a while longer, deregisters and ends."""
        self.state = "draining"
        if await self.send_heartbeat() is not None:
            self.drain_acknowledged = time.monotonic()
        await asyncio.sleep(self.soak.drain_seconds + 1.5)
        await self.soak.control_call("DELETE", f"/crankrudder/instances/{self.id}")
        self.crash()

    def crash(self):
        self.gone = True
        self.soak.budget.record_end(time.monotonic(), self.id)
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                for duplicate in self.duplicates.pop(writer, []):
                    await self.write(writer, *duplicate)
                if not await self.answer(writer, first.split(" "), headers, body):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.duplicates.pop(writer, None)
            writer.close()

    async def answer(self, writer, words, headers, body):
        """Answers one request and runs it unless it is refused. Returns whether the connection stays open."""
        request_id = headers.get("request-id", "")
        self.soak.budget.record_arrival(time.monotonic(), self.service, self.id, request_id, headers.get("deadline-ms"))
        if self.drain_acknowledged is not None:
            self.soak.check_departed(self, time.monotonic() - self.drain_acknowledged)
        if headers.get("target-instance") != self.id:
            await self.write(writer, 421, request_id, b"", {"Instance-Id": self.id})
            return True
        if self.running >= SLOTS * 2 or self.soak.duplicate_random.random() < self.refuse or self.soak.load.random.random() < self.shed:
            await self.write_with_duplicate(writer, 503, request_id, b"", {"Not-Executed": "1"})
            return True
        self.soak.journal.workspaces.add((request_id, headers.get("tenant")))
        if any("-key-" in value for value in headers.values()):
            self.soak.journal.keys_seen.add(self.id)
        self.soak.journal.add(Run(request_id, self.service, self.id, words[1], body))
        evacuated_at = self.soak.evacuated.get(self.zone)
        if evacuated_at is not None:
            self.soak.check_evacuated(self, time.monotonic() - evacuated_at)
        if words[1].startswith("/home/") and self.zone != self.soak.home_zone:
            self.soak.journal.outside_regions.append((self, request_id))
        crashing = self.soak.crashing_request(words[1])
        if crashing is not None:
            await self.soak.run_crashing(self, crashing, request_id)
            return False
        self.running += 1
        try:
            await asyncio.sleep(self.soak.work_seconds(self) * self.slow * self.noise)
        finally:
            self.running -= 1
        chance = self.soak.random.random()
        if chance < self.lose:
            writer.transport.abort()
            return False
        content = part_of(self.service, request_id) if self.is_shard else single_answer(self.service, request_id)
        extra = {"Response-Signature": signature_of(self.service, request_id)}
        load = self.false_load if self.reports_falsely else f"{self.running},0,{SLOTS},{int(100 * self.slow)}"
        extra.update({"Server-Load": load} if load is not None else {})
        if self.soak.broken_random.random() < self.soak.options.broken:
            return await self.write_broken(writer, request_id, extra)
        if chance < self.lose + self.garble:
            await self.write_garbled(writer, request_id, content, extra)
            return False
        await self.write_with_duplicate(writer, 200, request_id, content, extra)
        return True

    async def write_with_duplicate(self, writer, status, request_id, content, extra):
        """Answers, and queues a duplicate with the same id and signature but another body for a share of the answers."""
        await self.write(writer, status, request_id, content, extra)
        if self.soak.duplicate_random.random() < self.duplicate:
            self.duplicates.setdefault(writer, []).append((status, request_id, b"short" if content else b"", extra))

    async def write(self, writer, status, request_id, content, extra):
        lines = [f"HTTP/1.1 {status} Any", f"Request-Id: {request_id}", f"Content-Length: {len(content)}"]
        lines += [f"{name}: {value}" for name, value in extra.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
        await writer.drain()

    async def write_broken(self, writer, request_id, extra):
        """Sends an answer that is no HTTP response, with another body, and half of the time the statement that the request did not run."""
        fields = {"Request-Id": request_id, "Content-Length": 5, **extra, **self.soak.broken_random.choice([{}, {"Not-Executed": "1"}])}
        lines = [self.soak.broken_random.choice(BROKEN_HEADS)] + [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\nshort").encode())
        await writer.drain()
        self.soak.counts["broken_answers"] += 1
        return self.soak.broken_random.random() < 0.5

    async def write_garbled(self, writer, request_id, content, extra):
        kind = self.soak.random.choice(["cut", "surplus", "noise"])
        if kind == "cut":
            lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}", f"Content-Length: {len(content) + 40}"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
        elif kind == "surplus":
            await self.write(writer, 200, "an-older-request", b"not yours" * 7, extra)
            await self.write(writer, 200, request_id, content, extra)
            await self.write(writer, 200, request_id, b"behind it", extra)
        else:
            writer.write(b"\x00\x01 this is no answer \r\n\r\n")
        await writer.drain()
