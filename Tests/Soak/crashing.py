# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Fault soak with requests that crash every backend server that runs them.

Several such requests come again and again, at any gateway, while gateways and coordinators
are killed, paused and restarted, and while backend servers also crash for other reasons.
Checks that such a request soon reaches no backend server any more, and that no other request
is refused in its place."""

import asyncio
import signal
import time

from soak import CONTACT_SECONDS, Soak

# How many callers' attempts may still reach backend servers after the time in which gateways that are in contact have to know the request.
MAXIMUM_LATE_ATTEMPTS = 3
CRASHES_UNTIL_KNOWN = 3
# A refusal with a longer Retry-After is one of a quarantined request. Other refusals ask the caller to come back within seconds.
LONG_RETRY_AFTER_SECONDS = 10.0
# Crashing requests by the first part of their path, which is their route, and whether the caller repeats a failed attempt at another gateway.
KINDS = {"search": True, "record": True, "action": False}
STEADY_TARGETS = ["/search/steady-1", "/search/steady-2", "/record/steady-1", "/record/steady-2", "/home/steady-1"]


class CrashingRequest:
    """A request that crashes every backend server that runs it, and what it did."""

    def __init__(self, target, body):
        self.target = target
        self.body = body
        self.crashes = []
        # (time, request id) of arrivals at backend servers while all processes were in contact.
        self.arrivals = []


class CrashingSoak(Soak):
    """The run of one seed."""

    def __init__(self, options, seed):
        super().__init__(options, seed)
        self.crashing = {}
        self.steady_answered = dict.fromkeys(STEADY_TARGETS, 0)
        self.counts.update({"crashed": 0, "quarantined": 0, "steady": 0})

    # ---- Backend servers

    def uses_proxy(self):
        # A proxy would accept connections in place of a backend server that has ended.
        return False

    def crashing_request(self, target):
        return self.crashing.get(target)

    async def run_crashing(self, backend, request, request_id):
        """Runs a crashing request: the backend server ends during the run, and is back after some seconds."""
        if self.is_in_contact():
            request.arrivals.append((time.monotonic(), request_id))
        await asyncio.sleep(self.random.uniform(0.002, 0.05))
        if backend.gone:
            return
        request.crashes.append(time.monotonic())
        self.crashed_under_requests.add(backend.id)
        self.counts["crashed"] += 1
        asyncio.create_task(self.crash_and_restart(backend))

    async def crash_and_restart(self, backend):
        backend.crash()
        await asyncio.sleep(self.random.uniform(0.5, 2.5))
        identity = backend.id if self.random.random() < 0.5 else None
        if not self.ending:
            await self.add_backend(backend.service, backend.zone, backend.is_shard, identity)

    async def crash_others(self):
        """Crashes backend servers for reasons that no request has: single ones, all of a service, or half of all."""
        while not self.ending:
            await asyncio.sleep(self.random.uniform(2.0, 6.0))
            ready = [backend for backend in self.backends if not backend.gone]
            service = self.random.choice(ready).service if ready else None
            kind = self.random.choice(["one", "service", "half"])
            chosen = {"one": ready[:1], "service": [backend for backend in ready if backend.service == service],
                      "half": self.random.sample(ready, len(ready) // 2)}[kind]
            for backend in chosen:
                asyncio.create_task(self.crash_and_restart(backend))

    # ---- Callers

    async def attempt(self, target, body, name):
        """Makes one attempt at a random gateway. Returns its id, status and Retry-After in seconds."""
        gateway = self.random.choice(self.gateways)
        request_id = f"{name}-{self.random.randrange(16 ** 12):012x}"
        method = "POST" if target.startswith("/action/") else "GET"
        headers = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "2000", "Credential": "alpha-key-1"}
        self.key_of[request_id] = "alpha-key-1"
        if method == "POST":
            self.non_idempotent.add(request_id)
        reader = writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(gateway.address, self.port), 1.0)
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"] + [f"{key}: {value}" for key, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)).decode("latin-1")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return request_id, 0, 0.0
        finally:
            if writer is not None:
                writer.close()
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        return request_id, int(head.split(" ")[1]), float(fields.get("retry-after", "0"))

    async def send_crashing(self, kind, number):
        """Sends one crashing request again and again."""
        body = f"body {number}".encode() if kind == "action" else b""
        request = CrashingRequest(f"/{kind}/crash-{self.seed}-{number}", body)
        self.crashing[request.target] = request
        pause = self.random.choice([0.2, 1.0, 5.0])
        while not self.ending:
            for _ in range(2 if KINDS[kind] else 1):
                request_id, status, retry_after = await self.attempt(request.target, request.body, "crash")
                if status in (503, 429):
                    asyncio.create_task(self.check_never_ran(request_id))
                if status == 503 and retry_after > LONG_RETRY_AFTER_SECONDS:
                    self.counts["quarantined"] += 1
                if status in (200, 503):
                    break
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * pause)

    async def send_steady(self, target):
        """Sends the same harmless request again and again. It is never to be refused as if it crashed backend servers."""
        while not self.ending:
            _, status, retry_after = await self.attempt(target, b"", "steady")
            if retry_after > LONG_RETRY_AFTER_SECONDS:
                self.fail("innocent-refused", f"{target} is told to come back in {retry_after:.0f} s")
            if status == 200:
                self.steady_answered[target] += 1
                self.counts["steady"] += 1
            await asyncio.sleep(self.random.uniform(0.01, 0.2))

    # ---- Faults

    async def inject_bursts(self):
        """Kills, pauses and restarts processes in bursts, with enough time between them that the time limit is checked."""
        while not self.ending:
            await asyncio.sleep(self.random.uniform(7.0, 11.0))
            for _ in range(self.random.randint(1, 4)):
                fault = self.random.choice([self.kill, self.kill, self.pause, self.roll, self.kill_coordinators, self.kill_everything])
                await asyncio.gather(fault(), asyncio.sleep(self.random.uniform(0.0, 0.4)))

    async def kill_everything(self):
        for process in self.coordinators + self.gateways:
            process.record_fault(1.0)
            process.send(signal.SIGKILL)

    # ---- The run

    async def run(self):
        await self.start_processes()
        await self.start_backends()
        self.version = 1
        if not await self.declare(1):
            self.fail("never-started", "the first declaration was not acknowledged")
        kinds = [self.random.choice(list(KINDS)) for _ in range(self.random.randint(1, 4))]
        coroutines = [self.operate(), self.inject_bursts(), self.crash_others()]
        coroutines += [self.send_crashing(kind, number) for number, kind in enumerate(kinds)]
        coroutines += [self.send_steady(target) for target in STEADY_TARGETS]
        tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        await asyncio.sleep(self.options.seconds)
        await self.finish_crashing(tasks)
        return not self.failures

    async def finish_crashing(self, tasks):
        """Ends all other faults, and checks that harmless requests are served while the crashing ones still come."""
        for faults in tasks[1:3]:
            faults.cancel()
        for process in self.coordinators + self.gateways:
            process.send(signal.SIGCONT)
        await asyncio.sleep(CONTACT_SECONDS + 6.0)
        before = dict(self.steady_answered)
        await asyncio.sleep(4.0)
        for target, answered in self.steady_answered.items():
            if answered == before[target]:
                self.fail("not-served", f"{target} was not answered in 4 s without faults")
        self.ending = True
        await asyncio.sleep(0.3)
        for task in tasks:
            task.cancel()
        self.check_crashing()
        self.check_runs()
        await self.stop_processes()

    def check_crashing(self):
        for request in self.crashing.values():
            if len(request.crashes) < CRASHES_UNTIL_KNOWN:
                continue
            known = sorted(request.crashes)[CRASHES_UNTIL_KNOWN - 1] + CONTACT_SECONDS
            late = {request_id for at, request_id in request.arrivals if at > known}
            if len(late) > MAXIMUM_LATE_ATTEMPTS:
                self.fail("crashing-request-sent", f"{request.target}: {len(late)} attempts later than {CONTACT_SECONDS} s after the third of {len(request.crashes)} crashes")
