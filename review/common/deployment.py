# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Stand-ins for the scripts of the review: a platform that starts and restarts the programs of deploy/system.toml on loopback
addresses, an operator, replicas and clients. They speak what PROTOCOL.md and DEPLOY.md say."""

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The bounds of the small site edz-parts.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_skew_ms": 12000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 60,
          "recovery_s": 12}
CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
HOST = "pupu76.example"
# For machines that replace others.
SPARE_ADDRESSES = 3
REGION_OF = {"bern-wankdorf": "bern", "zurich-oerlikon": "zurich", "lausanne-renens": "lausanne"}
ZONES = list(REGION_OF)


class CannotRun(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    first, headers = await read_head(reader)
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


async def call(host, port, method, path, body=b"", headers=None, timeout=1.0):
    """One call on a new connection. Returns (status, headers, body), or None without a whole answer in time."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}:{port}", "Content-Type: application/json", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, answer_headers, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError):
        return None


def refuse_writes_with_an_error():
    """A write that the platform's disk refuses fails with an error. Without this it would be a signal."""
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)


class Process:
    """One process of a machine."""

    def __init__(self, machine, program):
        self.machine = machine
        self.program = program
        self.child = None
        self.first = True

    def settings(self):
        machine, deployment = self.machine, self.machine.deployment
        port = deployment.port
        lines = {"node_name": machine.name, "role": self.program, "machine_class": "frontend", "ip": machine.address, "zone": machine.zone,
                 "region": REGION_OF[machine.zone], "listen_addrs.frontend": f"{machine.address}:{port}",
                 "listen_addrs.readiness": f"{machine.address}:{port + 1}", "listen_addrs.control": f"{machine.address}:{port + 2}",
                 "internal_ports": f"{port + 10},{port + 25}", "seed_nodes": ",".join(f"{core.address}:{port + 2}" for core in deployment.core[:3]),
                 "bootstrap": "true" if self.first and not machine.is_replacement else "false", "failure_counted": "true" if machine.is_core else "false", "limits.cpu_quota": "0.45",
                 "limits.cores": "1", "limits.memory_mb": "260", "limits.max_fds": "4100", "limits.link_mbps": "1000.0", "limits.disk_mb": "64",
                 "discovery": "registry", "entry": "vip", "heartbeat_ms": str(int(HEARTBEAT_S * 1000)), "contracts": ",".join(deployment.contracts),
                 "fault_tolerance.machines": "1", "fault_tolerance.zones": "0", "fault_tolerance.regions": "0", "config_mode": "highest",
                 "serves": "frontend,control_plane" if machine.is_core else "frontend"}
        if machine.is_core:
            lines["data_dir"] = os.path.join(machine.folder, "data")
        lines.update({f"zones.{zone}": region for zone, region in REGION_OF.items()})
        lines.update({f"bounds.{name}": str(value) for name, value in {**BOUNDS, **deployment.more_bounds}.items()})
        path = os.path.join(machine.folder, f"{self.program}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in lines.items())
        return path

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CRANKRUDDER_CONFIG"] = self.settings()
        self.first = False
        self.child = await asyncio.create_subprocess_exec(
            f"target/Services/{self.program}/{self.program}", cwd=ROOT, env=environment, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            preexec_fn=refuse_writes_with_an_error)
        self.machine.deployment.tasks.append(asyncio.create_task(self.copy_log(self.child.stdout)))
        self.machine.deployment.record.line(f"platform starts {self.program} of {self.machine.name}, pid {self.child.pid}")

    async def copy_log(self, stream):
        with open(os.path.join(self.machine.folder, f"{self.program}.log"), "ab", buffering=0) as log:
            while data := await stream.read(65536):
                log.write(data)

    def fill_disk(self, full):
        """The platform's disk takes no more bytes, or does so again: a limit on the size of the files of this one process."""
        unlimited = resource.RLIM_INFINITY
        resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE, (0 if full else unlimited, unlimited))
        self.machine.deployment.record.line(f"the disk of {self.machine.name} {'takes no more bytes' if full else 'takes bytes again'}")

    def running(self):
        return self.child is not None and self.child.returncode is None

    def send(self, number):
        if self.running():
            self.child.send_signal(number)


class Machine:
    """A machine of the class `frontend`; those of the core run a coordinator as well."""

    def __init__(self, deployment, name, zone, address, is_core, is_replacement=False):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.address = address
        self.is_core = is_core
        self.is_replacement = is_replacement
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.gateway = Process(self, "gatewayd")
        self.coordinator = Process(self, "coordinatord") if is_core else None
        self.ready = False
        # As the platform counts them: two misses in a row take a machine out.
        self.misses = 2

    def processes(self):
        return [process for process in (self.coordinator, self.gateway) if process]

    async def start(self):
        for process in self.processes():
            await process.start()

    def kill(self):
        """Kills all processes of the machine."""
        for process in self.processes():
            process.send(signal.SIGKILL)
        self.deployment.record.line(f"platform kills all processes of {self.name}")


class Deployment:
    """The machines, in three zones. The first one of each zone belongs to the core."""

    def __init__(self, record, machines_per_zone, contracts=("base", "drain", "config", "cost", "retry", "recover", "scatter"), more_bounds=None):
        self.record = record
        self.contracts = contracts
        self.more_bounds = more_bounds or {}
        self.random = random.Random(1)
        self.folder = tempfile.mkdtemp(prefix="review-")
        count = machines_per_zone * len(ZONES)
        self.network, self.port = self.free_addresses(count + SPARE_ADDRESSES)
        self.machines = []
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            number = index // len(ZONES) + 1
            self.machines.append(Machine(self, f"frontend-{zone}-{number}", zone, f"{self.network}.{index + 1}", number == 1))
        self.core = [machine for machine in self.machines if machine.is_core]
        self.next_number = count + 1
        self.removed = []
        self.tasks = []
        self.version = 0

    @staticmethod
    def free_addresses(count):
        """A loopback network and a first port that are free on all its addresses."""
        for _ in range(50):
            network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            port = random.randint(21, 59) * 500
            taken = False
            for index in range(count):
                for number in [port, port + 1, port + 2, port + 10, port + 11, port + 12, port + 13, 9464, 9465]:
                    with socket.socket() as probe:
                        try:
                            probe.bind((f"{network}.{index + 1}", number))
                        except OSError:
                            taken = True
            if not taken:
                return network, port
        raise CannotRun("no free addresses")

    async def start(self):
        if not os.access(os.path.join(ROOT, "target/Services/gatewayd/gatewayd"), os.X_OK):
            raise CannotRun("the build of deploy/system.toml has not been made")
        for machine in self.machines:
            await machine.start()
        self.tasks.append(asyncio.create_task(self.watch_readiness()))

    async def watch_readiness(self):
        """Once a second the platform asks each machine whether it is ready."""

        async def ask(machine):
            answer = await call(machine.address, self.port + 1, "GET", "/crankrudder/readiness")
            machine.ready = answer is not None and answer[0] == 200
            machine.misses = 0 if machine.ready else machine.misses + 1

        while True:
            before = time.monotonic()
            await asyncio.gather(*(ask(machine) for machine in self.machines))
            await asyncio.sleep(max(0, before + 1 - time.monotonic()))

    def frontend(self, zone, attempt):
        """The machine that gets a new connection from a zone: Ingress in PROTOCOL.md."""
        of_zone = [machine for machine in self.machines if machine.zone == zone]
        usable = [machine for machine in of_zone if machine.misses < 2]
        if not usable:
            usable = [machine for machine in self.machines if machine.misses < 2]
        elif 2 * len(usable) < len(of_zone):
            usable = of_zone
        return usable[attempt % len(usable)] if usable else None

    async def replace(self, removed):
        """Starts an empty machine with the same roles at another address. The operator's list, and new settings, name it instead of the removed one."""
        name = f"{removed.name.rsplit('-', 1)[0]}-{self.next_number}"
        machine = Machine(self, name, removed.zone, f"{self.network}.{self.next_number}", removed.is_core, is_replacement=True)
        self.next_number += 1
        self.machines[self.machines.index(removed)] = machine
        self.removed.append(removed)
        await machine.start()
        self.core[self.core.index(removed)] = machine
        return machine

    async def stop(self, machine):
        """SIGTERM, and SIGKILL after the grace period. Ends once all processes of the machine have ended."""
        self.record.line(f"platform sends SIGTERM to {machine.name}")

        async def stop_one(process):
            process.send(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.child.wait(), BOUNDS["grace_s"])
            except asyncio.TimeoutError:
                process.send(signal.SIGKILL)
                await process.child.wait()
            self.record.line(f"{process.program} of {machine.name} has ended")

        await asyncio.gather(*(stop_one(process) for process in machine.processes()))

    async def leader(self):
        """The machine whose coordinator leads, by the metrics page that the deploy file names."""
        for machine in self.core:
            answer = await call(machine.address, 9465, "GET", "/metrics")
            if answer is not None and b"\ncrankrudder_leader 1" in answer[2]:
                return machine
        return None

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.05)

    async def until_ready(self):
        await self.until(lambda: all(machine.ready for machine in self.machines), 25, "all machines are ready")

    # ---- The operator

    async def order(self, method, path, body=b"", seconds=15.0, first=None):
        """Sends an order until it has a clear answer. Follows 307 twice."""
        end = time.monotonic() + seconds
        pause = 0.1
        start = self.core.index(first) if first else 0
        attempt = 0
        while time.monotonic() < end:
            address, port = self.core[(start + attempt) % len(self.core)].address, self.port + 2
            attempt += 1
            answer = None
            target = path
            for _ in range(3):
                answer = await call(address, port, method, target, body)
                if answer is None or answer[0] != 307:
                    break
                place, _, rest = answer[1]["location"].removeprefix("http://").partition("/")
                address, port, target = place.split(":")[0], int(place.split(":")[1]), "/" + rest
            self.record.line(f"operator {method} {path} at {address}: {answer[0] if answer else 'no answer'}")
            if answer is not None and (answer[0] < 300 or answer[0] in (400, 409, 412, 413, 422)):
                return answer
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None

    async def is_accepted(self, routes, services):
        """Orders the next version of the configuration. Returns whether it was acknowledged."""
        self.version += 3
        document = {"version": self.version, "routes": routes,
                    "services": [{"name": name, "health_path": "/health", "max_conns": 120, "protocol": "h1", "tls": False} for name in services],
                    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        answer = await self.order("PUT", "/crankrudder/config", json.dumps(document).encode())
        return answer is not None and answer[0] == 200

    async def configure(self, routes, services):
        if not await self.is_accepted(routes, services):
            raise CannotRun("the configuration was not acknowledged")

    async def serve(self, service, idempotent=True, prefix="/timi402/", timeout_ms=2000, **options):
        """Starts the machines and a replica of the service in each zone, and configures a route to them. Returns the route and the replicas."""
        await self.start()
        replicas = [Replica(self, service, zone, **options) for zone in ZONES]
        for replica in replicas:
            await replica.start()
        route = {"name": "r-1", "host": HOST, "path_prefix": prefix, "route_type": "idempotent" if idempotent else "non_idempotent",
                 "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": 2}
        await self.configure([route], [service])
        await self.until_ready()
        return route, replicas

    def begin_load(self, path, per_s):
        """Begins the load of clients that lasts until the returned task is cancelled."""
        client = Client(self)
        load = asyncio.create_task(client.load(path, per_s))
        self.tasks.append(load)
        return client, load

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines + self.removed:
            for process in machine.processes():
                if process.running():
                    process.send(signal.SIGCONT)
                    process.send(signal.SIGKILL)
                    await process.child.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs are in", self.folder)


class Run:
    """A request that a replica has begun to run."""

    def __init__(self, replica, request_id, target, body):
        self.replica = replica
        self.request_id = request_id
        self.target = target
        self.body = body
        self.at = time.monotonic()


class Replica:
    """One boot of a replica of a service that answers single requests."""

    counter = 0

    def __init__(self, deployment, service, zone, work_s=0.02, capacity=4):
        Replica.counter += 1
        self.deployment = deployment
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.capacity = capacity
        self.id = f"i-{Replica.counter:02d}{random.randint(0, 16**6):06x}"
        self.state = "ready"
        self.sequence = 0
        self.leaving = False
        self.working = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(capacity)
        self.runs = []
        self.writers = set()
        self.pings = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.pings = asyncio.create_task(self.ping())
        self.deployment.record.line(f"replica {self.id} of {self.service} starts at {self.address} in {self.zone}")

    async def announce(self, first=None):
        """Sends one ping, to one coordinator after the other until one acknowledges it. Returns that one."""
        self.sequence += 1
        document = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "capacity": self.capacity, "state": self.state,
                    "warmup_left_ms": 0, "sequence": self.sequence}
        cores = self.deployment.random.sample(self.deployment.core, len(self.deployment.core))
        for core in ([first] if first else cores):
            answer = await call(core.address, self.deployment.port + 2, "PUT", f"/crankrudder/instances/{self.id}", json.dumps(document).encode())
            if answer is not None and answer[0] < 300:
                return core
        return None

    async def ping(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    def end(self):
        """The process ends: its connections are closed."""
        if self.pings:
            self.pings.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.deployment.record.line(f"replica {self.id} ends")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                if not await self.answer(writer, first.split(" "), headers, body):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, words, headers, body):
        request_id = headers.get("request-id", "")
        if words[1] == "/health":
            await self.write(writer, 503 if self.leaving else 200, "", {"Instance-Id": self.id})
            return True
        if headers.get("target-instance", self.id) != self.id:
            await self.write(writer, 421, request_id, {"Not-Executed": "1"})
            return True
        if self.waiting >= 16:
            await self.write(writer, 503, request_id, {"Not-Executed": "1"})
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.working += 1
            run = Run(self, request_id, words[1], body)
            self.runs.append(run)
            self.deployment.record.line(f"replica {self.id} runs {request_id} {words[0]} {words[1]}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.working -= 1
        load = {"Server-Load": f"{self.working},{self.waiting},{self.capacity}"}
        content = f"{self.service} {request_id}".encode()
        await self.write(writer, 200, request_id, {"Response-Signature": f"{self.id}.{request_id}", **load}, content)
        return not self.leaving

    async def write(self, writer, status, request_id, more, content=b""):
        lines = [f"HTTP/1.1 {status} Any", f"Content-Length: {len(content)}"] + ([f"Request-Id: {request_id}"] if request_id else [])
        lines += [f"{name}: {value}" for name, value in more.items()] + (["Connection: close"] if self.leaving else [])
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
        await writer.drain()


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, request_id, machine, sent_at):
        self.request_id = request_id
        self.machine = machine
        self.sent_at = sent_at
        self.ended_at = None
        # None when the connection ended, or the time was over, without a whole answer.
        self.status = None
        self.headers = {}
        self.timed_out = False
        self.connected = False


class Client:
    """Clients of all zones. Each attempt has an id of its own and comes on a new connection."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.attempts = 0
        self.answers = []

    async def attempt(self, machine, path, method="GET", body=b"", deadline_ms=2000):
        self.attempts += 1
        request_id = f"{self.attempts:06x}{random.randint(0, 16**8):08x}"
        answer = Answer(request_id, machine, time.monotonic())
        self.answers.append(answer)
        record = self.deployment.record

        async def run():
            reader, writer = await asyncio.open_connection(machine.address, self.deployment.port)
            answer.connected = True
            try:
                lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}"]
                lines += [f"Content-Length: {len(body)}"] if body else []
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                answer.sent_at = time.monotonic()
                first, answer.headers, content = await read_message(reader)
                answer.status = int(first.split(" ")[1])
                return content
            finally:
                writer.close()

        record.line(f"client sends {request_id} {method} {path} to {machine.name}")
        try:
            await asyncio.wait_for(run(), deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer.timed_out = True
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        answer.ended_at = time.monotonic()
        record.line(f"client has {request_id} ended: {answer.status or ('time over' if answer.timed_out else 'connection closed')}")
        return answer

    async def load(self, path, per_s, **options):
        """Sends attempts from all zones in turn at an even rate until cancelled."""
        running = set()
        number = 0
        try:
            while True:
                machine = self.deployment.frontend(ZONES[number % len(ZONES)], number // len(ZONES))
                number += 1
                if machine is not None:
                    task = asyncio.create_task(self.attempt(machine, path, **options))
                    running.add(task)
                    task.add_done_callback(running.discard)
                await asyncio.sleep(1 / per_s)
        finally:
            for task in list(running):
                task.cancel()


def run_case(record_path, play, **options):
    """Plays a case on a deployment: 1 if it reports a broken rule, 0 if the rule held, 2 if it could not run. TROUBLE=0 leaves the disruption out."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"the case begins, {'with' if trouble else 'without'} the disruption")

    async def case():
        # A script that is ended ends its processes as well.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        deployment = Deployment(record, **options)
        try:
            return await asyncio.wait_for(play(deployment, record, trouble), 110)
        finally:
            await deployment.end()

    try:
        broken = asyncio.run(case())
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    verdict = f"rule broken: {broken}" if broken else "the rule held"
    record.line(verdict)
    print(verdict)
    return 1 if broken else 0
