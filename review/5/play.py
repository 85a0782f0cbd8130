#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Counts the repeats at a service whose replicas refuse part of their requests while
clients move from one zone to another."""

import asyncio
import bisect
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import CannotRun, Clients, Deployment, Replica, run_case  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"tbs-hall-a": "tbilisi", "kut-hall-1": "kutaisi", "bat-hall-n": "batumi"}
RATIO, WINDOW_SECONDS, SLACK = 0.2, 10.0, 58
BOUNDS = {"catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "config_apply_ms": 3000, "contact_ms": 5000, "retry_budget_ratio": RATIO,
          "retry_window_s": int(WINDOW_SECONDS), "retry_slack": SLACK, "recovery_s": 12}
REQUESTS_PER_SECOND = 160
REPLICAS = 10
REFUSING_REPLICAS = 8
# Share of their requests that the refusing replicas refuse, and for how long; when half of the clients move after that has begun, and for how long.
REFUSED_SHARE, REFUSING_SECONDS, SHIFT_AFTER_SECONDS, SHIFT_SECONDS = 0.6, 9.0, 3.8, 6.5


def manifest():
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    route = {"name": "report", "host": "fleet.example", "path_prefix": "/report/", "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
             "priority": 1, "service": "fleet-reports", "max_attempts": 2}
    return {"version": 1, "limits": limits, "services": [{"name": "fleet-reports", "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": False}], "routes": [route]}


async def play(record):
    deployment = Deployment(record, ZONES, BOUNDS)
    zones = list(ZONES)
    numbers = [1, 2, 3]
    seeds = [f"{deployment.network}.{number}" for number in numbers]
    for number, zone in zip(numbers, zones):
        deployment.add_machine(f"core-{zone}", zone, number, ["coordinator", "gateway"], seeds)
        deployment.add_machine(f"front-{zone}", zone, 10 + number, ["gateway"], seeds)
    clients = Clients(deployment, "fleet.example", "/report/1", {}, 2000)
    clients.zones = zones[:1]
    tasks = []
    try:
        await deployment.start()
        for index in range(REPLICAS):
            await Replica(deployment, f"i-{index}", "fleet-reports", zones[index % 3], capacity=4, work_seconds=0.15).start()
        if not await deployment.declare(manifest()):
            raise CannotRun("the manifest was not acknowledged")
        await deployment.wait_until_ready(20)
        tasks = [asyncio.create_task(clients.run(REQUESTS_PER_SECOND, 90))]
        await asyncio.sleep(22)
        if TROUBLE:
            record.add("disruption", what="replicas-refuse")
            for replica in deployment.replicas[:REFUSING_REPLICAS]:
                replica.refused_share = REFUSED_SHARE
            await asyncio.sleep(SHIFT_AFTER_SECONDS)
            record.add("disruption", what="clients-move")
            # Half of the clients use the second zone now.
            clients.zones = zones[:2]
            await asyncio.sleep(REFUSING_SECONDS - SHIFT_AFTER_SECONDS)
            record.add("disruption", what="replicas-refuse-no-more")
            for replica in deployment.replicas:
                replica.refused_share = 0.0
            await asyncio.sleep(SHIFT_SECONDS - (REFUSING_SECONDS - SHIFT_AFTER_SECONDS))
            record.add("disruption", what="clients-move-back")
            clients.zones = zones[:1]
        else:
            await asyncio.sleep(SHIFT_AFTER_SECONDS + SHIFT_SECONDS)
        await asyncio.sleep(4)
    finally:
        for task in tasks:
            task.cancel()
        clients.close()
        await deployment.stop()
        deployment.keep_logs()
    return judge(deployment, clients, record)


def judge(deployment, clients, record):
    sent = sorted(clients.sent.values())
    repeats = []
    seen = set()
    for at, request_id in sorted(arrival for replica in deployment.replicas for arrival in replica.arrivals):
        record.add("arrival", at=f"{at - record.began:.3f}", request=request_id, again=int(request_id in seen))
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)

    def requests_until(end):
        return bisect.bisect_right(sent, end) - bisect.bisect_left(sent, end - WINDOW_SECONDS)

    worst = (0.0, 0, 0.0, record.began)
    for at in repeats:
        count = bisect.bisect_right(repeats, at) - bisect.bisect_left(repeats, at - WINDOW_SECONDS)
        requests = max(requests_until(at), requests_until(at - WINDOW_SECONDS), requests_until(at - WINDOW_SECONDS / 2))
        allowed = RATIO * requests + SLACK
        worst = max(worst, (count / allowed, count, allowed, at))
    use, count, allowed, at = worst
    text = f"BUDGET: at most {use:.2f} of the allowed repeats in {WINDOW_SECONDS:.0f} s: {count} arrivals beyond the first of each request, {allowed:.0f} are allowed (until {at - record.began:.1f} s)"
    record.add("result", text=f'"{text}"')
    print(text)
    if len(sent) < 15 * REQUESTS_PER_SECOND:
        raise CannotRun("too few requests were sent")
    return 1 if use > 1 else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
