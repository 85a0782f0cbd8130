# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""A small deployment for the scripts of this review: coordinatord and gatewayd as
separate processes on loopback addresses, started with the commands of
deploy/system.toml, and stand-ins for the platform, replicas and clients.

A core machine runs a coordinator and a gateway, a front machine only a gateway.
The platform starts an ended process again after a short delay."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
    ROLES = tomllib.load(file)["roles"]
CLIENT_PORT, READINESS_PORT, CONTROL_PORT, INTERNAL_PORT = 0, 1, 2, 10
# A cold replica takes this many times as long.
COLD_FACTOR = 3
# The platform waits this long before it starts a process again that has ended.
RESTART_SECONDS = 0.3


class CannotRun(Exception):
    """The case could not be played; its result says nothing."""


class Record:
    """What was sent, answered and run, written to record.txt at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, event, **fields):
        at = self.now()
        self.lines.append(f"{at:9.3f} {event} " + " ".join(f"{name}={value}" for name, value in fields.items()))
        return at

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Process:
    def __init__(self, deployment, role, machine):
        self.deployment = deployment
        self.role = role
        self.machine = machine
        self.process = None
        self.first = True

    @property
    def name(self):
        return f"{self.role}@{self.machine.name}"

    async def start(self):
        folder = os.path.join(self.deployment.folder, f"{self.role}-{self.machine.name}")
        os.makedirs(os.path.join(folder, "data"), exist_ok=True)
        settings = os.path.join(folder, "local.conf")
        with open(settings, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in self.machine.settings(folder, self.first).items())
        program = os.path.join(REPOSITORY, ROLES[self.role]["run"])
        environment = {"PATH": os.environ["PATH"], "HOME": folder, "CRANKRUDDER_CONFIG": settings}
        with open(os.path.join(folder, "log.txt"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(program, env=environment, cwd=REPOSITORY, stdout=log, stderr=log)
        self.first = False
        self.deployment.record.add("process.started", process=self.name, pid=self.process.pid)
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if self.deployment.ending:
            return
        self.deployment.record.add("process.ended", process=self.name, code=code)
        if code not in (0, -signal.SIGKILL):
            self.deployment.own_ends.append(f"{self.name} ended by itself with {code}")
        await asyncio.sleep(RESTART_SECONDS)
        if not self.deployment.ending:
            await self.start()

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)


class Machine:
    def __init__(self, deployment, name, zone, address, roles, seeds):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.address = address
        self.seeds = seeds
        self.processes = [Process(deployment, role, self) for role in roles]
        self.misses = 0
        self.in_balancer = False

    def settings(self, folder, first):
        port = self.deployment.port
        lines = {"node_name": self.name, "machine_class": "frontend", "ip": self.address, "zone": self.zone,
                 "region": self.deployment.zones[self.zone], "listen_addrs.frontend": f"{self.address}:{port + CLIENT_PORT}",
                 "listen_addrs.readiness": f"{self.address}:{port + READINESS_PORT}", "listen_addrs.control": f"{self.address}:{port + CONTROL_PORT}",
                 "internal_ports": f"{port + INTERNAL_PORT},{port + INTERNAL_PORT + 10}",
                 "seed_nodes": ",".join(f"{seed}:{port + CONTROL_PORT}" for seed in self.seeds), "bootstrap": "true" if first else "false",
                 "limits.cpu_quota": "0.45", "limits.memory_mb": "260", "data_dir": os.path.join(folder, "data"), "heartbeat_ms": "1200",
                 "fault_tolerance.machines": "1"}
        lines.update({f"zones.{zone}": region for zone, region in self.deployment.zones.items()})
        lines.update({f"bounds.{name}": value for name, value in self.deployment.bounds.items()})
        return lines

    def send(self, number):
        for process in self.processes:
            process.send(number)


class Deployment:
    """Zones, machines, replicas and the operator. `bounds` are those of the settings file."""

    def __init__(self, record, zones, bounds):
        self.record = record
        self.zones = zones
        self.bounds = bounds
        self.folder = tempfile.mkdtemp(prefix="crankrudder-case-")
        self.machines = []
        self.replicas = []
        self.ending = False
        self.own_ends = []
        # Two blocks of addresses whose texts have the same length, so that a proxy can replace one by the other.
        self.network = f"127.{random.randint(10, 99)}.{random.randint(100, 149)}"
        self.proxy_network = f"{self.network[:-3]}{int(self.network[-3:]) + 50}"
        self.port = random.randint(20, 28) * 1000 + random.randint(0, 9) * 50

    def add_machine(self, name, zone, number, roles, seeds):
        self.machines.append(Machine(self, name, zone, f"{self.network}.{number}", roles, seeds))
        return self.machines[-1]

    async def start(self):
        for machine in self.machines:
            for offset in (CLIENT_PORT, READINESS_PORT, CONTROL_PORT, INTERNAL_PORT, INTERNAL_PORT + 1, INTERNAL_PORT + 2):
                with socket.socket() as probe:
                    try:
                        probe.bind((machine.address, self.port + offset))
                    except OSError as error:
                        raise CannotRun(f"{machine.address}:{self.port + offset}: {error}") from error
        for machine in self.machines:
            for process in machine.processes:
                await process.start()
        asyncio.create_task(self.balance())

    # ---- The platform's balancer

    async def balance(self):
        """Asks each gateway once a second; two misses take it out, one 200 takes it in again."""
        while not self.ending:
            await asyncio.gather(*(self.check(machine) for machine in self.machines))
            await asyncio.sleep(1.0)

    async def check(self, machine):
        answer = await call(machine.address, self.port + READINESS_PORT, "GET", "/crankrudder/readiness", timeout=0.9)
        machine.misses = 0 if answer is not None and answer[0] == 200 else machine.misses + 1
        machine.in_balancer = machine.misses == 0 or (machine.in_balancer and machine.misses < 2)

    async def wait_until_ready(self, seconds):
        deadline = time.monotonic() + seconds
        while not all(machine.in_balancer for machine in self.machines):
            if time.monotonic() > deadline:
                raise CannotRun("the gateways did not become ready")
            await asyncio.sleep(0.1)

    # ---- The operator

    def coordinators(self):
        return [machine for machine in self.machines if any(process.role == "coordinator" for process in machine.processes)]

    async def control(self, method, path, body=b"", timeout=1.0):
        """Calls coordinators in random order and follows 307 twice. Returns the first 2xx or 400, else None."""
        coordinators = self.coordinators()
        for machine in random.sample(coordinators, len(coordinators)):
            host, port = machine.address, self.port + CONTROL_PORT
            for _ in range(3):
                answer = await call(host, port, method, path, body, timeout=timeout)
                if answer is None or answer[0] != 307:
                    break
                host, port = answer[1]["location"].split("/")[2].split(":")
            if answer is not None and (answer[0] < 300 or answer[0] == 400):
                return answer
        return None

    async def declare(self, document, seconds=15.0):
        """Sends a manifest until it is acknowledged."""
        deadline = time.monotonic() + seconds
        body = json.dumps(document).encode()
        while time.monotonic() < deadline and not self.ending:
            answer = await self.control("PUT", "/crankrudder/config", body)
            if answer is not None:
                self.record.add("manifest.answered", version=document["version"], status=answer[0])
                return answer[0] == 200
            await asyncio.sleep(0.2)
        return False

    # ---- End

    async def stop(self):
        self.ending = True
        for machine in self.machines:
            machine.send(signal.SIGCONT)
            machine.send(signal.SIGKILL)
        for replica in self.replicas:
            replica.end()
        await asyncio.sleep(0.2)
        for machine in self.machines:
            for process in machine.processes:
                if process.process is not None:
                    await process.process.wait()

    def keep_logs(self):
        """Leaves the logs of the programs in a temporary folder if KEEP is set."""
        if os.environ.get("KEEP"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_message(reader):
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
    """Makes one call on a new connection. Returns status, headers and body, or None without a whole answer in time."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in {"Host": f"{host}:{port}", "Content-Length": len(body), **(headers or {})}.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        first, answer_headers, answer = await read_message(reader)
        return int(first.split(" ")[1]), answer_headers, answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Replica:
    """One boot of a replica. It works on `capacity` requests at once and queues a few more."""

    def __init__(self, deployment, name, service, zone, capacity=8, work_seconds=0.01):
        self.deployment = deployment
        self.id = name
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.work_seconds = work_seconds
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(capacity)
        self.cold_until = 0.0
        self.last_ping = 0.0
        # (time of arrival, request id, tenant) of each request that ran.
        self.runs = []
        # (time, request id) of everything that arrived, and the share of it that is refused as not run.
        self.arrivals = []
        self.refused_share = 0.0
        self.writers = set()
        self.tasks = []
        self.heartbeats = None
        deployment.replicas.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeats = asyncio.create_task(self.ping_regularly())

    async def ping_regularly(self):
        period = 1.2
        while True:
            await self.ping()
            await asyncio.sleep(period * random.uniform(0.95, 1.05))

    def warmup_left_ms(self):
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    async def ping(self):
        """Tells one coordinator after the other until one acknowledges."""
        self.sequence += 1
        self.last_ping = time.monotonic()
        document = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "capacity": self.capacity,
                    "state": self.state, "warmup_left_ms": self.warmup_left_ms(), "sequence": self.sequence}
        answer = await self.deployment.control("PUT", f"/crankrudder/instances/{self.id}", json.dumps(document).encode())
        return answer is not None and answer[0] == 200

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                await self.answer(writer, first.split(" "), headers)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, ValueError, IndexError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, words, headers):
        request_id = headers.get("request-id", "")
        if words[1] == "/health":
            await self.write(writer, 200 if self.state == "ready" else 503, "", b"", {"Instance-Id": self.id, "Warmup-Ms": self.warmup_left_ms()})
            return
        if headers.get("target-instance", self.id) != self.id:
            await self.write(writer, 421, request_id, b"", {"Not-Executed": "1"})
            return
        self.arrivals.append((time.monotonic(), request_id))
        if self.waiting >= 2 * self.capacity or random.random() < self.refused_share:
            await self.write(writer, 503, request_id, b"", {"Not-Executed": "1"})
            return
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.runs.append((time.monotonic(), request_id, headers.get("tenant")))
            self.deployment.record.add("request.run", replica=self.id, request=request_id, tenant=headers.get("tenant"))
            try:
                await asyncio.sleep(self.work_seconds * (COLD_FACTOR if self.warmup_left_ms() > 0 else 1))
            finally:
                self.running -= 1
        load = f"{self.running},{self.waiting},{self.capacity}"
        await self.write(writer, 200, request_id, self.content(request_id), {"Response-Signature": f"{self.service}.{request_id}", "Server-Load": load})

    def content(self, request_id):
        return f"answer to {request_id}".encode()

    async def write(self, writer, status, request_id, content, extra):
        lines = [f"HTTP/1.1 {status} Any", f"Request-Id: {request_id}", f"Content-Length: {len(content)}"]
        lines += [f"{name}: {value}" for name, value in extra.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
        await writer.drain()

    def end(self):
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Clients:
    """Clients that send requests at a steady rate to the gateways that the balancer names, on kept connections, each request once."""

    def __init__(self, deployment, host, path, headers, deadline_ms):
        self.deployment = deployment
        self.host = host
        self.path = path
        self.headers = headers
        self.deadline_ms = deadline_ms
        # The zones whose gateways are used, a client picks one at random; any if empty.
        self.zones = []
        self.idle = {}
        # Time of sending and status (None without an answer) by request id.
        self.sent = {}
        self.status = {}
        self.number = 0
        self.tasks = set()

    async def run(self, per_second, seconds):
        began = time.monotonic()
        count = 0
        while time.monotonic() - began < seconds and not self.deployment.ending:
            await asyncio.sleep(max(0.0, began + count / per_second - time.monotonic()))
            count += 1
            task = asyncio.create_task(self.one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def one(self):
        zone = random.choice(self.zones) if self.zones else ""
        machines = [machine for machine in self.deployment.machines if machine.in_balancer and zone in ("", machine.zone)]
        if not machines:
            return
        machine = random.choice(machines)
        self.number += 1
        request_id = f"r{self.number}"
        pool = self.idle.setdefault(machine.name, [])
        connection = None
        status, keep = None, False
        try:
            while pool and connection is None:
                connection = pool.pop()
                if connection[0].at_eof():
                    connection[1].close()
                    connection = None
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(machine.address, self.deployment.port + CLIENT_PORT), 1.0)
            lines = [f"GET {self.path} HTTP/1.1", f"Host: {self.host}", f"Request-Id: {request_id}", f"Deadline-Ms: {self.deadline_ms}"]
            lines += [f"{name}: {value}" for name, value in self.headers.items()]
            self.sent[request_id] = time.monotonic()
            connection[1].write(("\r\n".join(lines) + "\r\n\r\n").encode())
            first, headers, _ = await asyncio.wait_for(read_message(connection[0]), self.deadline_ms / 1000)
            status = int(first.split(" ")[1])
            keep = headers.get("connection") != "close"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        self.status[request_id] = status
        self.deployment.record.add("request.answered", request=request_id, gateway=machine.name, status=status)
        if keep:
            pool.append(connection)
        elif connection is not None:
            connection[1].close()

    def close(self):
        for task in list(self.tasks):
            task.cancel()
        for pool in self.idle.values():
            for _, writer in pool:
                writer.close()


def run_case(folder, play):
    """Plays a case for 110 s at most and writes its record. Returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)

    async def limited():
        task = asyncio.create_task(play(record))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 110)

    try:
        code = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print(f"could not run: {error!r}")
        code = 2
    record.write()
    return code
