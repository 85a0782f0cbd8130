#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Counts the requests of a tenant with a quota while every process of the core is
killed at the same moment and two front machines are cut off from the core."""

import asyncio
import bisect
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import INTERNAL_PORT, CannotRun, Clients, Deployment, Replica, run_case  # noqa: E402
from watchproxy import WatchProxy  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"tpe-a": "tw-north", "khh-a": "tw-south", "hkg-a": "hk-east"}
WINDOW_SECONDS, OVERSHOOT, SLACK = 5, 0.1, 20
RATE, BURST = 200, 20
BOUNDS = {"catch_up_s": 6, "drain_ms": 4000, "grace_s": 6, "config_apply_ms": 4000, "contact_ms": 6000, "retry_budget_ratio": 0.2, "retry_window_s": 10,
          "retry_slack": 210, "quota_window_s": WINDOW_SECONDS, "quota_overshoot": OVERSHOOT, "quota_slack": SLACK, "warmup_overshoot": 1.5, "warmup_slack": 5}
# Requests a second of the tenant, two and a half times its quota.
OFFERED = 500
CUT_SECONDS = 7.0
# A day holds hundreds of changes.
CHANGE_PERIOD_SECONDS = 0.4


def manifest(version):
    """Versions differ in the timeout of a route that nobody uses."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    base = {"host": "desk.example", "route_type": "idempotent", "target_latency_ms": 200, "priority": 1, "service": "compliance", "max_attempts": 2}
    return {"version": version, "limits": limits, "services": [{"name": "compliance", "health_path": "/health", "max_conns": 500, "protocol": "h1", "tls": False}],
            "routes": [{**base, "name": "pull", "path_prefix": "/pull/", "timeout_ms": 1500}, {**base, "name": "idle", "path_prefix": "/idle/", "timeout_ms": 1000 + version}],
            "tenants": [{"name": "desk", "api_keys": ["desk-key"], "priority": 0, "rate_per_s": RATE, "burst": BURST}]}


def most_in_window(pairs):
    """The most requests that were sent and arrived within one window, and when that window began. `pairs`: (sent, arrived), sorted by sending."""
    best, best_at = 0, 0.0
    sent = [pair[0] for pair in pairs]
    for index, began in enumerate(sent):
        count = sum(1 for pair in pairs[index:bisect.bisect_right(sent, began + WINDOW_SECONDS)] if pair[1] <= began + WINDOW_SECONDS)
        if count > best:
            best, best_at = count, began
    return best, best_at


async def change_config(deployment):
    version = 1
    while not deployment.ending:
        await asyncio.sleep(CHANGE_PERIOD_SECONDS)
        version += 1
        await deployment.declare(manifest(version), 5.0)


async def play(record):
    deployment = Deployment(record, ZONES, BOUNDS)
    proxy = WatchProxy(deployment, deployment.port + INTERNAL_PORT)
    cores = [1, 2, 3]
    seeds = [f"{deployment.network}.{number}" for number in cores]
    core = [deployment.add_machine(f"core-{zone}", zone, number, ["coordinator", "gateway"], seeds) for number, zone in zip(cores, ZONES)]
    # These two reach the coordinators through the proxy.
    proxied = [f"{deployment.proxy_network}.{number}" for number in cores]
    for number, zone in [(11, "tpe-a"), (12, "khh-a")]:
        deployment.add_machine(f"front-{zone}", zone, number, ["gateway"], proxied)
    clients = Clients(deployment, "desk.example", "/pull/1", {"Credential": "desk-key"}, 1500)
    tasks = []
    try:
        await proxy.start(cores)
        await deployment.start()
        for index in range(6):
            await Replica(deployment, f"i-{index}", "compliance", list(ZONES)[index % 3]).start()
        if not await deployment.declare(manifest(1)):
            raise CannotRun("the first manifest was not acknowledged")
        await deployment.wait_until_ready(20)
        tasks = [asyncio.create_task(clients.run(OFFERED, 45)), asyncio.create_task(change_config(deployment))]
        await asyncio.sleep(15)
        if TROUBLE:
            record.add("disruption", what="front-machines-cut-off")
            proxy.is_cut = True
            await asyncio.sleep(0.1)
            record.add("disruption", what="core-killed")
            for machine in core:
                machine.send(signal.SIGKILL)
            await asyncio.sleep(CUT_SECONDS - 0.1)
            record.add("disruption", what="cut-healed")
            proxy.is_cut = False
            await asyncio.sleep(8)
        else:
            await asyncio.sleep(CUT_SECONDS + 8)
    finally:
        for task in tasks:
            task.cancel()
        clients.close()
        await deployment.stop()
        proxy.close()
        deployment.keep_logs()
    return judge(deployment, clients, record)


def judge(deployment, clients, record):
    arrived = {}
    for replica in deployment.replicas:
        for at, request_id, _ in replica.runs:
            arrived[request_id] = min(at, arrived.get(request_id, at))
    pairs = sorted((clients.sent[request_id], at) for request_id, at in arrived.items())
    allowed = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + SLACK
    most, began = most_in_window(pairs)
    text = f"QUOTA: at most {most} requests of the tenant were sent and run within {WINDOW_SECONDS} s (from {began - record.began:.1f} s); {allowed:.0f} are allowed"
    record.add("result", text=f'"{text}"')
    print(text)
    if len(pairs) < RATE * 10:
        raise CannotRun("too few requests were run to fill a quota")
    return 1 if most > allowed else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
