# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""The machines of one zone are stopped and started in turn, a second apart. No request that was taken may be cut."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import BOUNDS, CONTACT_S, RESTART_DELAY_S, ZONES, Client, Deployment, Replica, run_case

GAP_S = 1.0
WORK_S = 2.4
GRACE_S = BOUNDS["grace_s"]
# A request that was sent no later than this after the SIGTERM is excused if its replica is at work in the last sixth of the grace period.
EXCUSED_UNTIL_S = 3.0


async def case(record, trouble):
    deployment = Deployment(record, machines_per_zone=3)
    try:
        return await play(deployment, record, trouble)
    finally:
        await deployment.end()


async def stop_and_start(deployment, machine, stopped_at):
    """SIGTERM, SIGKILL after the grace period, and a new start after a short delay."""
    for process in machine.processes():
        process.send(signal.SIGTERM)
    stopped_at[machine] = time.monotonic()
    deployment.record.line(f"platform sends SIGTERM to {machine.name}")

    async def stop(process):
        try:
            await asyncio.wait_for(process.child.wait(), GRACE_S)
        except asyncio.TimeoutError:
            process.send(signal.SIGKILL)
            await process.child.wait()
        deployment.record.line(f"{process.program} of {machine.name} has ended, {time.monotonic() - stopped_at[machine]:.2f} s after SIGTERM")
        await asyncio.sleep(RESTART_DELAY_S)
        await process.start()

    await asyncio.gather(*(stop(process) for process in machine.processes()))


async def play(deployment, record, trouble):
    await deployment.start()
    replicas = [Replica(deployment, "nylo40d", zone, work_s=WORK_S, capacity=60) for zone in ZONES]
    for replica in replicas:
        await replica.start()
    route = {"name": "r-1", "host": "pupu76.example", "path_prefix": "/jobs/", "route_type": "non_idempotent", "timeout_ms": 6000, "target_latency_ms": 3000,
             "priority": 2, "service": "nylo40d", "max_attempts": 2}
    await deployment.configure([route], ["nylo40d"])
    await deployment.until_ready()
    client = Client(deployment, "pupu76.example")
    load = asyncio.create_task(client.load("/jobs/2f", per_s=30, method="POST", body=b"a print job", deadline_ms=6000))
    deployment.tasks.append(load)
    await asyncio.sleep(CONTACT_S + 3)
    stopped_at = {}
    if trouble:
        rolls = []
        for machine in [machine for machine in deployment.machines if machine.zone == ZONES[1]]:
            rolls.append(asyncio.create_task(stop_and_start(deployment, machine, stopped_at)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*rolls)
    await asyncio.sleep(CONTACT_S)
    load.cancel()
    ran = {run.request_id for replica in replicas for run in replica.runs}
    cut = []
    for answer in client.answers:
        stopped = stopped_at.get(answer.machine)
        was_cut = answer.ended_at is not None and answer.status is None and not answer.timed_out and answer.request_id in ran
        if was_cut and stopped is not None and EXCUSED_UNTIL_S < answer.sent_at - stopped < GRACE_S + 1:
            cut.append((answer, stopped))
            record.line(f"cut: {answer.request_id}, sent {answer.sent_at - stopped:.2f} s after the SIGTERM of {answer.machine.name}, run by a replica, "
                        f"connection closed {answer.ended_at - stopped:.2f} s after the SIGTERM")
    served = sum(1 for answer in client.answers if answer.status == 200)
    record.line(f"{served} of {len(client.answers)} attempts answered 200; {len(cut)} requests that a replica ran were cut without an answer")
    if cut:
        return f"LOST: {len(cut)} requests that were passed on to a replica were cut by a planned stop"
    return None


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
