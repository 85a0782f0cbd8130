# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""A replica deregisters, and the machine that acknowledges it is killed at once. The replica must get nothing more."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import CONTACT_S, DRAIN_S, CannotRun, call, run_case

# How long the replica serves on after the acknowledgement: DRAIN_S "and a little longer (at times many seconds)".
SERVES_ON_S = 16.0
DOWN_S = 1.0
# Time that the stand-ins themselves may take.
MARGIN_S = 0.3


async def play(deployment, record, trouble):
    _, replicas = await deployment.serve("gowu98c")
    client, load = deployment.begin_load("/timi402/2f", per_s=30)
    # All machines are in touch once they have run undisturbed for CONTACT_S.
    await asyncio.sleep(CONTACT_S + 3)
    leaver, giver = replicas[0], deployment.core[2]
    if not leaver.runs:
        raise CannotRun("the replica got no requests")
    leaver.pings.cancel()
    await asyncio.sleep(0.2)
    leaver.leaving = True
    answer = await call(giver.address, deployment.port + 2, "DELETE", f"/crankrudder/instances/{leaver.id}")
    if trouble:
        giver.kill()
    acknowledged_at = time.monotonic()
    if answer is None or answer[0] >= 300:
        raise CannotRun(f"the deregistration was not acknowledged: {answer}")
    record.line(f"replica {leaver.id} has its DELETE acknowledged by {giver.name}: {answer[0]}")
    started_at = acknowledged_at
    if trouble:
        await asyncio.sleep(DOWN_S)
        await giver.start()
        started_at = time.monotonic()
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
    leaver.end()
    load.cancel()
    in_touch_from = started_at + CONTACT_S if trouble else acknowledged_at
    bound = max(acknowledged_at + DRAIN_S, in_touch_from) + MARGIN_S
    late = [run for run in leaver.runs if run.at > bound]
    served = sum(1 for answer in client.answers if answer.status == 200)
    record.line(f"{served} of {len(client.answers)} attempts answered 200; {len(late)} requests ran at {leaver.id} more than {bound - acknowledged_at:.1f} s after "
                f"the acknowledgement, while all machines were in touch")
    if late:
        return f"DRAIN: {len(late)} requests reached the replica {late[0].at - acknowledged_at:.1f} to {late[-1].at - acknowledged_at:.1f} s after the ack"
    return None


if __name__ == "__main__":
    sys.exit(run_case(sys.argv[1], play, machines_per_zone=2))
