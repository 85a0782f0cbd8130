#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Fault soak: runs real gateways and coordinators as processes on the loopback
interface, injects faults, and checks the guarantees of the system by what
callers, operators and backend servers observe.

    Tests/Soak/soak.py --binaries target --seeds 1-5 --seconds 20

Prints `N passed, N failed` at the end and keeps a directory of logs for each seed that failed."""

import argparse
import asyncio
import bisect
import importlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from backends import Backend, Journal, RECORD_BYTES, call, part_of, read_message, signature_of, single_answer
from budget import BudgetCheck
from load import Load
from proxy import FaultProxy

ZONES = ["zone-a", "zone-b", "zone-c"]
SHARDS = 6
TOP = 10
MINIMUM_COVERAGE = 0.5
DIVIDED_MINIMUM_COVERAGE = 0.83
# Time limits and bounds that the documentation guarantees, with the values of the settings files that write_settings() makes.
DRAIN_SECONDS = 3.0
APPLY_SECONDS = 3.0
EVACUATE_SECONDS = 3.0
CONTACT_SECONDS = 4.0
GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2
QUOTA_WINDOW_SECONDS = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20
RETRY_SLACK = 60
# API keys of every declaration, with their workspaces. Callers send about twice as many requests for beta as its quota allows.
KEYS = {"alpha-key-1": "alpha", "alpha-key-2": "alpha", "beta-key-1": "beta"}
QUOTA = {"rate_per_s": 25, "burst": 10}


class CallerRequest:
    """One attempt of a caller. A caller that returns after a refusal sends the same content and key with another id."""

    def __init__(self, request_id, kind, key, caller_timeout, body, content_id, is_return=False):
        self.request_id = request_id
        self.kind = kind
        self.key = key
        self.caller_timeout = caller_timeout
        self.body = body
        self.content_id = content_id
        self.is_return = is_return
        # Of the answer, once there is one.
        self.status = None

    def returning(self, request_id):
        return CallerRequest(request_id, self.kind, self.key, self.caller_timeout, self.body, self.content_id, True)


def send_signal(process, number):
    # NOTE: Process.send_signal() reaps a process that has ended, and its exit code is lost to watch().
    try:
        os.kill(process.pid, number)
    except ProcessLookupError:
        pass


class Process:
    """A gateway or coordinator process that is restarted whenever it ends."""

    def __init__(self, soak, program, name, address, zone, folder):
        self.soak = soak
        self.program = program
        self.name = name
        self.address = address
        self.zone = zone
        self.folder = folder
        self.process = None
        self.first = True
        # End of the latest fault of this process. Guarantees with a time limit are checked only if it ended CONTACT_SECONDS earlier.
        self.disturbed_until = 0.0
        # Begin and end of each fault that was no planned stop.
        self.unplanned = []
        self.stopped = False
        # Set when the process was replaced by another one, so that it is not started again.
        self.is_removed = False
        self.started_at = 0.0

    def write_settings(self):
        base = self.soak.port
        lines = {"node_name": self.name, "ip": self.address, "zone": self.zone, "internal_ports": f"{base + 10},{base + 20}",
                 "listen_addrs.frontend": f"{self.address}:{base}", "listen_addrs.readiness": f"{self.address}:{base + 1}",
                 "listen_addrs.control": f"{self.address}:{base + 2}", "data_dir": os.path.join(self.folder, "data"),
                 "seed_nodes": ",".join(f"{address}:{base + 2}" for address in self.soak.seed_addresses),
                 "bootstrap": "true" if self.first else "false", "fault_tolerance.machines": "1", "heartbeat_ms": "400",
                 "bounds.catch_up_s": "4", "bounds.grace_s": f"{self.soak.grace_seconds:g}", "bounds.retry_budget_ratio": "0.2", "bounds.retry_window_s": "10", "bounds.retry_slack": str(RETRY_SLACK),
                 "bounds.quota_window_s": str(int(QUOTA_WINDOW_SECONDS)), "bounds.quota_overshoot": str(QUOTA_OVERSHOOT), "bounds.quota_slack": str(QUOTA_SLACK)}
        lines.update({f"zones.{zone}": zone.replace("zone", "region") for zone in ZONES})
        path = os.path.join(self.folder, "settings.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in lines.items())
        return path

    async def start(self):
        environment = dict(os.environ, CRANKRUDDER_CONFIG=self.write_settings())
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.log_size_at_start = log.seek(0, os.SEEK_END)
        self.process = await asyncio.create_subprocess_exec(self.program, env=environment, stdout=log, stderr=log, preexec_fn=self.soak.prepare_process)
        log.close()
        self.first = False
        self.started_at = time.monotonic()
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if self.soak.ending:
            return
        # A process that gets a signal before its program has begun ends by the signal, which is no crash. Its log is still empty.
        log_is_unchanged = os.path.getsize(os.path.join(self.folder, "log.txt")) == self.log_size_at_start
        ended_before_it_began = code in (-signal.SIGTERM, -signal.SIGINT, -signal.SIGHUP) and log_is_unchanged
        if code not in (0, -signal.SIGKILL) and not ended_before_it_began:
            self.soak.fail("crash", f"{self.name} ended with {code}")
        self.record_fault(0.5, planned=True)
        if self.is_removed:
            return
        await asyncio.sleep(self.soak.random.uniform(0.05, 0.6))
        if not self.soak.ending:
            await self.start()

    def record_fault(self, seconds, planned=False):
        now = time.monotonic()
        self.disturbed_until = max(self.disturbed_until, now + seconds)
        if not planned:
            self.unplanned.append((now, now + seconds))

    def had_unplanned_fault(self, since, until):
        return any(began <= until and ended >= since for began, ended in self.unplanned)

    async def stop_as_planned(self, more_signals=()):
        """Stops the process as the platform does: SIGTERM, and SIGKILL once the grace period is over. `more_signals`: further signals, with the delay before each."""
        process, grace = self.process, self.soak.grace_seconds
        self.record_fault(grace, planned=True)
        self.send(signal.SIGTERM)
        began = time.monotonic()
        self.soak.counts["stops"] += 1
        signals = asyncio.create_task(self.send_in_turn(process, more_signals))
        try:
            await asyncio.wait_for(process.wait(), grace)
        except asyncio.TimeoutError:
            if not self.soak.ending and not self.had_unplanned_fault(began, time.monotonic()):
                self.soak.fail("stop-too-long", f"{self.name} still runs {grace:g} s after SIGTERM")
            process.kill()
        finally:
            signals.cancel()

    async def send_in_turn(self, process, signals):
        for delay, number in signals:
            await asyncio.sleep(delay)
            if process.returncode is None:
                send_signal(process, number)
                self.soak.counts["further_signals"] += 1

    def send(self, number):
        if self.process.returncode is None:
            send_signal(self.process, number)

    def lose_disk(self):
        data = os.path.join(self.folder, "data")
        shutil.rmtree(data)
        os.makedirs(data)

    def was_stable(self, since):
        return self.disturbed_until < since - CONTACT_SECONDS


class Soak:
    """The run of one seed: a fleet of processes, callers, operators and faults."""

    def __init__(self, options, seed):
        self.options = options
        self.seed = seed
        self.random = random.Random(seed)
        # Duplicate answers, and the faults that make requests meet them, use a separate generator, so that the draws for the other faults stay the same.
        self.duplicate_random = random.Random(f"stutter {seed}")
        self.broken_random = random.Random(f"broken {seed}")
        # Callers' keys use a separate generator for the same reason.
        self.key_random = random.Random(f"keys {seed}")
        self.stop_random = random.Random(f"stops {seed}")
        # Modes that play rounds replace this by a generator of their own.
        self.rounds_random = random.Random(f"rounds {seed}")
        self.grace_seconds = GRACE_SECONDS
        # Requests whose connection ended without an answer: the gateway, the request's id, when its last byte was sent, and when the connection ended.
        self.unanswered = []
        self.load = Load(self)
        # The key that each request was sent with, by request id.
        self.key_of = {}
        self.port = 20000 + (seed * 37) % 20000
        self.journal = Journal()
        self.budget = BudgetCheck(RETRY_SLACK)
        self.failures = []
        self.ending = False
        self.drain_seconds = DRAIN_SECONDS
        # Backend servers that got requests long after their departure was acknowledged.
        self.used_after_departure = set()
        # Backend servers that got requests long after the evacuation of their zone was acknowledged.
        self.used_though_evacuated = set()
        self.folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        # Gateways find the coordinators beyond the seed nodes through these, and then choose among coordinators of their own zone and of others.
        self.addresses = [f"127.0.1.{index + 1}" for index in range(options.coordinators)]
        # With --divided one zone gets six more gateways, so that searches are divided among its gateways, and most of the shards. Each shard has one
        # server only and a search may lack one shard, so a shard that was late for its part is requested again from the same gateway and server.
        self.gateway_zones = [ZONES[index % len(ZONES)] for index in range(max(options.coordinators, options.gateways))] + ZONES[:1] * (6 if options.divided else 0)
        self.minimum_coverage = DIVIDED_MINIMUM_COVERAGE if options.divided else MINIMUM_COVERAGE
        self.seed_addresses = self.addresses[:3]
        self.backends = []
        self.proxies = []
        self.version = 0
        # Acknowledged versions as (version, time of the acknowledgement), in order, and the document of each version that was sent.
        self.acknowledged = []
        self.sent = {}
        self.counts = {"answered": 0, "partial": 0, "not_run": 0, "failed": 0, "no_answer": 0, "unrouted": 0, "over_quota": 0, "no_key": 0, "returned": 0, "returned_served": 0, "takeovers_confirmed": 0, "takeovers_waited": 0, "stops": 0, "further_signals": 0, "cut": 0, "broken_answers": 0}
        self.non_idempotent = set()
        # Ids of backend servers that crashed while they ran a crashing request (crashing.py). Runs there do not count as attempts.
        self.crashed_under_requests = set()
        # The only zone whose region may serve requests of the route "home".
        self.home_zone = ZONES[0]
        # Evacuated zones, with the time at which their evacuation was acknowledged.
        self.evacuated = {}

    def fail(self, promise, detail):
        self.failures.append(f"{promise}: {detail}")
        print(f"event=promise.broken seed={self.seed} promise={promise} detail=\"{detail}\"", flush=True)

    # ---- The deployment

    # Called in each new process before its program starts.
    prepare_process = None

    async def start_processes(self):
        self.coordinators = []
        self.gateways = []
        # All that were made, also those that others have replaced.
        self.processes = []
        for index, address in enumerate(self.addresses):
            self.coordinators.append(self.make_process("coordinatord", index, address, ZONES[index % len(ZONES)]))
        for index, zone in enumerate(self.gateway_zones):
            self.gateways.append(self.make_process("gatewayd", index, f"127.0.1.{index + 1}", zone))
        for process in self.coordinators + self.gateways:
            await process.start()

    def make_process(self, kind, index, address, zone):
        folder = os.path.join(self.folder, f"{kind}-{index}")
        os.makedirs(os.path.join(folder, "data"))
        program = os.path.join(self.options.binaries, "Services", kind, kind)
        self.processes.append(Process(self, program, f"{kind}-{index}", address, zone, folder))
        return self.processes[-1]

    async def start_backends(self):
        for shard in range(SHARDS):
            for zone in self.zones_of(shard):
                await self.add_backend(f"shard-{shard}", zone, True)
        for index in range(3):
            await self.add_backend("records", ZONES[index], False)

    def zones_of(self, shard):
        """The zones with a server of the shard. More servers than attempts are needed to see an attempt too many."""
        if self.options.servers == 3:
            return ZONES
        return [ZONES[shard // 4]] if self.options.divided else [ZONES[(shard + replica) % 3] for replica in range(2)]

    def uses_proxy(self):
        return self.random.random() < 0.5

    def work_seconds(self, _backend):
        return self.random.uniform(0.002, 0.012)

    def crashing_request(self, _target):
        """Returns the crashing request with a target (crashing.py), or None."""

    async def add_backend(self, service, zone, is_shard, identity=None):
        backend = Backend(self, service, zone, is_shard, identity)
        await backend.start()
        # About half of the backend servers are reached through a proxy that injects network faults.
        if self.uses_proxy():
            proxy = FaultProxy(self.random, "127.0.0.1", backend.port)
            backend.port = await proxy.start()
            backend.proxy = proxy
            self.proxies.append(proxy)
        self.backends.append(backend)
        return backend

    async def control_call(self, method, path, body=b"", timeout=1.0):
        """Calls coordinators in random order, following redirections, until one accepts or rejects the request. Returns None if none does."""
        order = self.random.sample(self.seed_addresses, len(self.seed_addresses))
        for address in order:
            host, port = address, self.port + 2
            for _ in range(3):
                answer = await call(host, port, method, path, body, timeout=timeout)
                if answer is None or answer[0] != 307:
                    break
                host, port = answer[1]["location"].split("/")[2].split(":")
            if answer is not None and (answer[0] < 300 or answer[0] == 400):
                return answer
        return None

    async def acknowledged_by(self, method, path, body=b""):
        """Sends a call to coordinators in random order, following redirections. Returns the process that answered it with 200, or None."""
        for coordinator in self.rounds_random.sample(self.coordinators, len(self.coordinators)):
            giver = coordinator
            for _ in range(3):
                answer = await call(giver.address, self.port + 2, method, path, body)
                if answer is None or answer[0] != 307:
                    break
                address = answer[1]["location"].split("/")[2].split(":")[0]
                giver = next((process for process in self.coordinators if process.address == address), giver)
            if answer is not None and answer[0] == 200:
                return giver
        return None

    # ---- Operators

    def configuration(self, version):
        shards = [f"shard-{index}" for index in range(SHARDS)]
        routes = [
            {"name": "search", "host": "h.example", "path_prefix": "/search/", "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 200,
             "priority": 1, "gather": shards, "max_attempts": 2, "top_k": TOP, "min_coverage": self.minimum_coverage},
            {"name": "record", "host": "h.example", "path_prefix": "/record/", "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
             "priority": 2, "service": "records", "max_attempts": 2},
            {"name": "action", "host": "h.example", "path_prefix": "/action/", "route_type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
             "priority": 2, "service": "records", "max_attempts": 2},
            {"name": "home", "host": "h.example", "path_prefix": "/home/", "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
             "priority": 2, "service": "records", "max_attempts": 2, "allowed_regions": [self.home_zone.replace("zone", "region")]},
            {"name": "current", "host": "h.example", "path_prefix": f"/v{version}/", "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
             "priority": 2, "service": "records", "max_attempts": 2}]
        services = [{"name": name, "health_path": "/health", "max_conns": 60, "protocol": "h1", "tls": False} for name in shards + ["records"]]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        tenants = [{"name": "alpha", "api_keys": [key for key, name in KEYS.items() if name == "alpha"], "priority": 0},
                   {"name": "beta", "api_keys": ["beta-key-1"], "priority": 1, **QUOTA}, {"name": "current", "api_keys": [f"current-key-{version}"]}]
        return {"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}

    async def declare(self, version):
        document = self.configuration(version)
        self.sent[version] = document
        body = json.dumps(document).encode()
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline and not self.ending:
            answer = await self.control_call("PUT", "/crankrudder/config", body, timeout=2.0)
            if answer is not None and answer[0] == 200:
                self.acknowledged.append((version, time.monotonic()))
                return True
            if answer is not None and answer[0] == 400:
                self.fail("valid-refused", f"version {version}")
                return False
            await asyncio.sleep(0.2)
        return False

    async def operate(self):
        while not self.ending:
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            self.version += self.random.randint(1, 4)
            kind = self.random.random()
            if kind < 0.2:
                # Two operators send a declaration of the same version at the same time.
                await asyncio.gather(self.declare(self.version), self.declare(self.version))
            elif kind < 0.3:
                await self.send_invalid()
            else:
                await self.declare(self.version)

    async def send_invalid(self):
        document = self.configuration(self.version)
        document["routes"][0]["timeout_ms"] = 0
        answer = await self.control_call("PUT", "/crankrudder/config", json.dumps(document).encode())
        if answer is not None and answer[0] < 300:
            self.fail("invalid-accepted", f"version {self.version}")

    async def order_evacuation(self, method, zone):
        """Repeats an evacuation order for a zone until it is acknowledged, for 20 s at most. Returns whether it was acknowledged."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline and not self.ending:
            answer = await self.control_call(method, f"/crankrudder/evacuations/{zone}")
            if answer is not None and answer[0] == 200:
                return True
            if answer is not None and answer[0] == 400:
                self.fail("valid-refused", f"{method} {zone}")
                return False
            await asyncio.sleep(0.2)
        return False

    async def evacuate(self):
        """Evacuates one random zone at a time and withdraws the order after some seconds."""
        while not self.ending:
            await asyncio.sleep(self.random.uniform(1.0, 4.0))
            # With --divided the first two zones hold all shards, so searches would fail if one of these zones were evacuated.
            zone = self.random.choice(ZONES[2:] if self.options.divided else ZONES)
            if await self.order_evacuation("POST", zone):
                self.evacuated[zone] = time.monotonic()
            await asyncio.sleep(self.random.uniform(1.0, 8.0))
            # Requests may arrive in the zone as soon as the withdrawal is sent, so arrivals are no longer recorded from here.
            self.evacuated.pop(zone, None)
            while not self.ending and not await self.order_evacuation("DELETE", zone):
                pass

    async def send_malformed_heartbeats(self):
        """Sends malformed heartbeats under the ids of backend servers and under an unknown id."""
        malformed_bodies = [b"", b"\xff\x00{", b"{}", b'{"service": 7}', b'{"service":"records","address":"127.0.0.1:9","zone":"zone-a","state":"odd"}']
        while not self.ending:
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
            name = self.random.choice(self.backends).id if self.random.random() < 0.7 else "somebody"
            await self.control_call("PUT", f"/crankrudder/instances/{name}", self.random.choice(malformed_bodies))

    async def read_back(self):
        """Checks that a read returns no older version than the newest one acknowledged before the read."""
        while not self.ending:
            await asyncio.sleep(self.random.uniform(0.3, 1.0))
            newest = self.newest_acknowledged(time.monotonic() - APPLY_SECONDS)
            answer = await self.control_call("GET", "/crankrudder/config")
            if answer is None or answer[0] != 200:
                continue
            document = json.loads(answer[2])
            if document["version"] < newest:
                self.fail("old-read", f"{document['version']} though {newest} was acknowledged")
            if document != self.sent.get(document["version"]):
                self.fail("other-content", f"version {document['version']}")

    def newest_acknowledged(self, before):
        return max([version for version, at in self.acknowledged if at <= before], default=-1)

    # ---- Callers

    async def probe_current(self):
        """Checks that gateways without recent faults use the newest acknowledged version, by the route and the key that only that version has."""
        while not self.ending:
            await asyncio.sleep(0.4)
            began = time.monotonic()
            newest = self.newest_acknowledged(began - APPLY_SECONDS)
            coordinators_stable = all(process.was_stable(began) for process in self.coordinators)
            gateway = self.random.choice(self.gateways)
            if newest < 0 or newest != self.version or not coordinators_stable or not gateway.was_stable(began):
                continue
            older = max([version for version in self.sent if version < newest], default=newest)
            for version in {newest, older}:
                headers = {"Host": "h.example", "Request-Id": f"probe-{self.seed}-{version}-{began}", "Credential": f"current-key-{version}"}
                answer = await call(gateway.address, self.port, "GET", f"/v{newest}/x", headers=headers)
                still_current = gateway.was_stable(began) and newest == self.version
                if answer is not None and still_current and (answer[0] == 404 or (answer[0] == 401) != (version < newest)):
                    self.fail("not-in-force", f"{gateway.name} answers {answer[0]} to the key of version {version} under version {newest}")

    async def caller(self, number):
        count = 0
        while not self.ending:
            gateway = self.random.choice(self.gateways)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(gateway.address, self.port), 1.0)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            # A connection is reused until the gateway closes it or a random number of requests is reached.
            for _ in range(self.random.randint(1, 30)):
                count += 1
                alive = await self.one_request(gateway, reader, writer, f"{self.seed}-{number}-{count}")
                if not alive or self.ending:
                    break
                await asyncio.sleep(self.random.uniform(0.0, 0.05))
            writer.close()

    async def one_request(self, gateway, reader, writer, request_id):
        kind = self.random.choices(["search", "record", "action", "home"], [6, 2, 3, 1])[0]
        body = os.urandom(20).hex().encode() if kind == "action" else b""
        caller_timeout = self.random.choice([300, 800, 2000])
        key = self.key_random.choice([*KEYS, "beta-key-1", "unknown-key-1", None])
        return await self.send_request(gateway, reader, writer, CallerRequest(request_id, kind, key, caller_timeout, body, request_id))

    async def send_request(self, gateway, reader, writer, request):
        """Sends a request and checks its answer. Returns whether the connection can be used again."""
        method = "POST" if request.kind == "action" else "GET"
        lines = [f"{method} /{request.kind}/{request.content_id} HTTP/1.1", "Host: h.example", f"Request-Id: {request.request_id}",
                 f"Deadline-Ms: {request.caller_timeout}", f"Content-Length: {len(request.body)}"]
        lines += [f"Credential: {request.key}"] if request.key else []
        # Some requests claim a workspace by its header, which gateways must ignore.
        lines += ["Tenant: alpha"] if self.key_random.random() < 0.2 else []
        self.key_of[request.request_id] = request.key
        self.budget.record_request(time.monotonic(), request.request_id, request.kind, request.caller_timeout / 1000)
        if request.kind == "action":
            self.non_idempotent.add(request.request_id)
        sent_at = time.monotonic()
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + request.body)
            if not request.is_return and self.random.random() < 0.03:
                return False
            sent_at = time.monotonic()
            first, headers, content = await asyncio.wait_for(read_message(reader), request.caller_timeout / 1000 + 1.0)
        except asyncio.TimeoutError:
            self.counts["no_answer"] += 1
            return False
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self.counts["no_answer"] += 1
            self.unanswered.append((gateway, request.request_id, sent_at, time.monotonic()))
            return False
        request.status = int(first.split(" ")[1])
        self.check_answer(gateway, request.kind, request.request_id, request.status, headers, content)
        if request.status in (429, 503):
            self.load.handle_refusal(request, headers)
        return headers.get("connection") != "close"

    def check_answer(self, gateway, kind, request_id, status, headers, content):
        if headers.get("request-id", request_id) != request_id:
            self.fail("another-callers-answer", request_id)
        if status == 401 or (status == 200 and self.key_of[request_id] not in KEYS):
            self.counts["no_key"] += 1
            if (status == 401) == (self.key_of[request_id] in KEYS):
                self.fail("key-misjudged", f"{gateway.name} answers {status} to {request_id} with {self.key_of[request_id]}")
        elif status == 200 and kind == "search":
            self.check_search(request_id, headers, content)
        elif status == 200:
            self.counts["answered"] += 1
            if content != single_answer("records", request_id) or headers.get("response-signature") != signature_of("records", request_id):
                self.fail("wrong-answer", request_id)
        elif status in (503, 429):
            self.counts["not_run" if status == 503 else "over_quota"] += 1
            asyncio.create_task(self.check_never_ran(request_id))
        elif status == 404 and self.acknowledged:
            self.counts["unrouted"] += 1
            self.fail("route-denied", f"{gateway.name} {request_id}")
        else:
            self.counts["failed"] += 1

    def check_search(self, request_id, headers, content):
        names = {signature_of(f"shard-{index}", request_id): f"shard-{index}" for index in range(SHARDS)}
        stamps = [stamp.strip() for stamp in headers.get("part-stamps", "").split(",")]
        if any(stamp not in names for stamp in stamps) or len(set(stamps)) != len(stamps):
            self.fail("coverage-untrue", request_id)
            return
        missing = int(headers.get("missing-parts", "0"))
        if len(stamps) + missing != SHARDS or len(stamps) < self.minimum_coverage * SHARDS:
            self.fail("coverage-untrue", f"{request_id}: {len(stamps)} in, {missing} missing")
        records = b"".join(part_of(names[stamp], request_id) for stamp in stamps)
        rows = sorted((records[offset:offset + RECORD_BYTES] for offset in range(0, len(records), RECORD_BYTES)), reverse=True)
        if content != b"".join(rows[:TOP]):
            self.fail("wrong-merge", request_id)
        self.counts["partial" if missing else "answered"] += 1

    async def check_never_ran(self, request_id):
        await asyncio.sleep(2.5)
        if request_id in self.journal.runs:
            self.fail("not-run-but-ran", request_id)

    # ---- Faults

    async def inject_faults(self):
        while not self.ending:
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            fault = self.random.choice([self.kill, self.kill, self.pause, self.roll, self.kill_coordinators, self.slow_backend, self.lose_answers, self.garble_answers,
                                        self.crash_backend, self.drain_backend, self.drain_backend, self.inject_proxy_fault, self.wipe_coordinator])
            asyncio.create_task(fault())

    async def kill(self):
        process = self.random.choice(self.gateways + self.coordinators)
        process.record_fault(1.0)
        process.send(signal.SIGKILL)

    async def kill_coordinators(self):
        for process in self.coordinators:
            process.record_fault(1.0)
            process.send(signal.SIGKILL)

    async def pause(self):
        process = self.random.choice(self.gateways + self.coordinators)
        seconds = self.random.uniform(0.2, 4.0)
        process.record_fault(seconds)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def roll(self):
        await self.random.choice(self.gateways + self.coordinators).stop_as_planned(self.draw_signals())

    def draw_signals(self):
        """Signals that follow a SIGTERM, with the delay before each; none after half of them."""
        if self.stop_random.random() < 0.5:
            return []
        return [(self.stop_random.uniform(0.0, 2.0), self.stop_random.choice([signal.SIGTERM, signal.SIGINT, signal.SIGHUP])) for _ in range(self.stop_random.randint(1, 3))]

    async def wipe_coordinator(self):
        """Kills a coordinator and deletes its data folder. Does nothing after a recent fault, since only one folder may be lost at a time."""
        now = time.monotonic()
        if any(not process.was_stable(now) for process in self.coordinators):
            return
        process = self.random.choice(self.coordinators)
        process.record_fault(8.0)
        process.send(signal.SIGKILL)
        process.lose_disk()

    def random_backend(self):
        ready = [backend for backend in self.backends if backend.state == "ready" and not backend.gone]
        return self.random.choice(ready)

    async def slow_backend(self):
        backend = self.random_backend()
        backend.slow = self.random.uniform(5, 60)
        await asyncio.sleep(self.random.uniform(1, 4))
        backend.slow = 1.0

    async def lose_answers(self):
        backend = self.random_backend()
        backend.lose = self.random.uniform(0.02, 0.5)
        await asyncio.sleep(self.random.uniform(1, 4))
        backend.lose = 0.0

    async def garble_answers(self):
        backend = self.random_backend()
        backend.garble = self.random.uniform(0.02, 0.5)
        await asyncio.sleep(self.random.uniform(1, 4))
        backend.garble = 0.0

    async def inject_duplicates(self):
        """Lets the servers of a service send duplicates and also refuse, slow down or lose answers, so that retries and hedges meet duplicates."""
        while not self.ending:
            await asyncio.sleep(self.duplicate_random.uniform(0.2, 1.5))
            service = self.duplicate_random.choice([backend for backend in self.backends if not backend.gone]).service
            asyncio.create_task(self.duplicate_answers([backend for backend in self.backends if backend.service == service]))

    async def duplicate_answers(self, backends):
        refuse, slow, lose = self.duplicate_random.choice([(0.0, 1.0, 0.0), (0.7, 1.0, 0.0), (0.0, 30.0, 0.0), (0.0, 30.0, 0.5)])
        for backend in backends:
            backend.duplicate, backend.refuse, backend.slow, backend.lose = self.duplicate_random.uniform(0.3, 1.0), refuse, slow, lose
        await asyncio.sleep(self.duplicate_random.uniform(1, 4))
        for backend in backends:
            backend.duplicate, backend.refuse, backend.slow, backend.lose = 0.0, 0.0, 1.0, 0.0

    async def crash_backend(self):
        backend = self.random_backend()
        backend.crash()
        await asyncio.sleep(self.random.uniform(0.5, 3))
        identity = backend.id if self.random.random() < 0.5 else None
        await self.add_backend(backend.service, backend.zone, backend.is_shard, identity)

    async def drain_backend(self):
        backend = self.random_backend()
        await self.add_backend(backend.service, backend.zone, backend.is_shard)
        await asyncio.sleep(0.8)
        if not backend.gone:
            await backend.drain()

    async def inject_proxy_fault(self):
        if self.proxies:
            await self.random.choice(self.proxies).inject_fault()

    # ---- The run

    def check_runs(self):
        for request_id in self.non_idempotent:
            runs = self.journal.runs.get(request_id, [])
            if len(runs) > 1:
                self.fail("ran-twice", f"{request_id} at {[run.backend for run in runs]}")
        for promise, detail in self.budget.failures(self.journal.runs, self.crashed_under_requests):
            self.fail(promise, detail)
        self.counts["window_use_percent"] = round(100 * max(self.budget.window_use().values(), default=0))

    def check_cuts(self):
        """A planned stop cuts nothing: a request that was passed on, or that waited for longer than LOSS_SLACK_SECONDS, is answered unless its gateway was killed or paused."""
        for gateway, request_id, sent_at, ended_at in self.unanswered:
            ran = request_id in self.journal.runs
            if (ran or ended_at - sent_at > LOSS_SLACK_SECONDS) and not gateway.had_unplanned_fault(sent_at - CONTACT_SECONDS, ended_at):
                self.counts["cut"] += 1
                self.fail("cut-by-a-planned-stop", f"{request_id} at {gateway.name}, {ended_at - sent_at:.2f} s after it was sent, {'run' if ran else 'not run'}")

    def check_workspaces(self):
        for request_id, name in self.journal.workspaces:
            if request_id in self.key_of and name != KEYS.get(self.key_of[request_id]):
                self.fail("another-workspace", f"{request_id} ran as {name}")
        for backend in self.journal.keys_seen:
            self.fail("key-sent-on", backend)
        for process in self.coordinators + self.gateways:
            with open(os.path.join(process.folder, "log.txt"), "rb") as log:
                if b"-key-" in log.read():
                    self.fail("key-logged", process.name)
        first_runs = sorted(runs[0].at for request_id, runs in self.journal.runs.items() if self.key_of.get(request_id) == "beta-key-1")
        maximum = (QUOTA["rate_per_s"] * QUOTA_WINDOW_SECONDS + QUOTA["burst"]) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
        for index, began in enumerate(first_runs):
            sent = bisect.bisect_right(first_runs, began + QUOTA_WINDOW_SECONDS) - index
            if sent > maximum:
                self.fail("over-quota", f"{sent} of {maximum} requests in a window")
                break

    def check_takeovers(self):
        """Gateways join while all others are in contact with the coordinators, at the first start at the latest, and have to learn that from other coordinators."""
        for process in self.gateways:
            with open(os.path.join(process.folder, "log.txt"), "rb") as log:
                content = log.read()
            self.counts["takeovers_confirmed"] += content.count(b"ended_by=contacts")
            self.counts["takeovers_waited"] += content.count(b"ended_by=maximum_time")
        if self.counts["takeovers_confirmed"] == 0:
            self.fail("takeover-unconfirmed", f"{self.counts['takeovers_waited']} gateways waited for the maximum time")

    def is_in_contact(self):
        now = time.monotonic()
        return all(process.was_stable(now) for process in self.coordinators + self.gateways)

    def check_departed(self, backend, after):
        """A request has arrived at a backend server whose departure was acknowledged. One that a proxy held up may have been sent in time."""
        if after > DRAIN_SECONDS and backend.proxy is None and self.is_in_contact() and backend not in self.used_after_departure:
            self.used_after_departure.add(backend)
            self.fail("work-after-departure", f"{backend.id} {after:.1f} s after the acknowledgement")

    def check_evacuated(self, backend, after):
        """A request has arrived in a zone whose evacuation was acknowledged."""
        if after > EVACUATE_SECONDS and self.is_in_contact() and backend not in self.used_though_evacuated:
            self.used_though_evacuated.add(backend)
            self.fail("evacuated-zone-used", f"{backend.id} in {backend.zone}, {after:.1f} s after the acknowledgement")

    def check_places(self):
        for backend, request_id in self.journal.outside_regions:
            self.fail("out-of-its-regions", f"{request_id} at {backend.id} in {backend.zone}")

    async def run(self):
        await self.start_processes()
        await self.start_backends()
        self.version = 1
        if not await self.declare(1):
            self.fail("never-started", "the first declaration was not acknowledged")
        tasks = [asyncio.create_task(coroutine) for coroutine in
                 [self.operate(), self.read_back(), self.probe_current(), self.inject_faults(), self.evacuate(), self.inject_duplicates(),
                  self.load.inject_faults(), self.send_malformed_heartbeats()] + [self.caller(number) for number in range(self.options.callers)]]
        await asyncio.sleep(self.options.seconds)
        await self.finish(tasks)
        return not self.failures

    async def finish(self, tasks):
        """Ends the faults except for one kill of all coordinators, then checks that acknowledged state is kept and that requests are served again."""
        for faults in tasks[3:7]:
            faults.cancel()
        for process in self.coordinators + self.gateways:
            process.send(signal.SIGCONT)
        # One zone stays evacuated while all coordinators are killed, to check that the order survives their restart.
        zone = self.random.choice(ZONES)
        for other in ZONES:
            self.evacuated.pop(other, None)
            await self.order_evacuation("POST" if other == zone else "DELETE", other)
        self.evacuated[zone] = time.monotonic()
        await self.kill_coordinators()
        before = self.counts["answered"] + self.counts["partial"]
        await asyncio.sleep(8.0)
        if self.counts["answered"] + self.counts["partial"] == before:
            self.fail("not-recovered", "no request was served in 8 s after the last fault")
        newest = self.newest_acknowledged(time.monotonic())
        answer = await self.control_call("GET", "/crankrudder/config", timeout=2.0)
        if answer is None or json.loads(answer[2])["version"] < newest:
            self.fail("acknowledged-lost", f"version {newest}, read {None if answer is None else answer[2][:40]}")
        self.ending = True
        await asyncio.sleep(0.3)
        for task in tasks:
            task.cancel()
        self.check_runs()
        self.check_cuts()
        self.check_workspaces()
        self.check_takeovers()
        self.check_places()
        await self.stop_processes()

    async def stop_processes(self):
        for backend in self.backends:
            if not backend.gone:
                backend.crash()
        for process in self.processes:
            if process.process is not None:
                process.send(signal.SIGKILL)
        await asyncio.sleep(0.1)


def parse_seeds(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


# The class of each mode. Its module has the name of the mode.
MODES = {"crashing": "CrashingSoak", "acknowledgements": "AcknowledgementSoak", "replacements": "ReplacementSoak", "finals": "FinalSoak", "rate": "RateSoak",
         "connections": "ConnectionSoak", "stops": "StopSoak"}


def make_soak(options, seed):
    for mode, name in MODES.items():
        if getattr(options, mode):
            # Imported here, since these modules import this one.
            return getattr(importlib.import_module(mode), name)(options, seed)
    return Soak(options, seed)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binaries", default="target", help="build folder that contains the daemons")
    parser.add_argument("--seeds", default="1", help="seeds such as 1-5,9; 0 takes the seed from the clock")
    parser.add_argument("--seconds", type=float, default=20.0, help="how long faults are injected for each seed")
    parser.add_argument("--coordinators", type=int, default=3, choices=range(3, 10), metavar="3-9", help="number of coordinators, and of gateways")
    parser.add_argument("--gateways", type=int, default=0, help="number of gateways if it is larger than that of coordinators")
    parser.add_argument("--servers", type=int, default=2, choices=[2, 3], help="servers of each shard: 2 (1 with --divided), or one in each zone")
    parser.add_argument("--divided", action="store_true", help="add gateways to one zone, so that it divides searches among them, and use one server per shard")
    parser.add_argument("--crashing", action="store_true", help="send requests that crash every backend server that runs them")
    parser.add_argument("--acknowledgements", action="store_true", help="kill whoever gave an acknowledgement, right after it")
    parser.add_argument("--replacements", action="store_true", help="replace coordinators in turn, and let disks refuse writes")
    parser.add_argument("--stops", action="store_true", help="stop processes as planned, in series, under long requests on open connections")
    parser.add_argument("--finals", action="store_true", help="kill all processes right after an acknowledgement, some with the loss of a disk or of the leader")
    parser.add_argument("--connections", action="store_true", help="keep connections open behind slow links, beside stops, SIGHUP and declarations")
    parser.add_argument("--rate", action="store_true", help="callers without pauses, so that repeats use up their budgets")
    parser.add_argument("--broken", type=float, default=0.0, help="share of the answers that are no HTTP responses")
    parser.add_argument("--processor-share", type=float, default=1.0, help="with --connections: part of the time in which each process may run")
    parser.add_argument("--grace", type=float, default=GRACE_SECONDS, help="with --stops: time from SIGTERM to SIGKILL in seconds")
    parser.add_argument("--callers", type=int, default=8, help="number of concurrent callers")
    options = parser.parse_args()
    options.binaries = os.path.abspath(options.binaries)
    passed = failed = 0
    for seed in parse_seeds(options.seeds):
        seed = seed or int(time.time())
        soak = make_soak(options, seed)
        succeeded = asyncio.run(soak.run())
        passed += succeeded
        failed += not succeeded
        print(f"event=soak.finished seed={seed} outcome={'passed' if succeeded else 'failed'} " + " ".join(f"{name}={value}" for name, value in soak.counts.items())
              + (f" logs={soak.folder}" if not succeeded else ""), flush=True)
        if succeeded:
            shutil.rmtree(soak.folder)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
