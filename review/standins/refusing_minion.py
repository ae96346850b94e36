"""A minion refuses every start for some seconds while jobs wait for room."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

from world import BOUNDS, CAPACITY, call, run_script

MINIONS = 12
WAITING_JOBS = 12
REFUSES_S = 6.5
VISIBLE_S = BOUNDS["visible_ms"] / 1000 + 2


async def main(world, has_trouble: bool) -> list[str]:
    # Every minion but one is full of tasks that last.
    step = {"count": MINIONS - 1, "cpu": 3000, "mem_mb": 1024}
    step |= {"gpu": CAPACITY["gpu"], "long_running": True}
    full = world.new_job({"spec": "lasting", "steps": [step]})
    if not await world.submit(full):
        raise RuntimeError("the lasting job was not accepted")
    async with asyncio.timeout(10):
        while len(world.running_tasks()) < MINIONS - 1:
            await asyncio.sleep(0.1)
    await asyncio.sleep(4.0)
    idle = next(minion for minion in world.minions if not minion.running)
    if has_trouble:
        idle.refuses_until = time.monotonic() + REFUSES_S
        world.record.line(f"{idle.id} refuses starts for {REFUSES_S} s")
    else:
        # It takes one job that fills it, so that the others wait as well.
        step = {"count": 1, "cpu": 3000, "mem_mb": 512, "gpu": CAPACITY["gpu"]}
        filling = world.new_job({"spec": "work_ms=9000", "steps": [step]})
        await world.submit(filling)
        await asyncio.sleep(0.5)
    step = {"count": 1, "cpu": 3000, "mem_mb": 512, "gpu": 1, "estimated_ms": 2500}
    jobs = [
        world.new_job({"spec": "work_ms=2500", "steps": [step]})
        for _ in range(WAITING_JOBS)
    ]
    await asyncio.gather(*map(world.submit, jobs))
    accepted_at = time.monotonic()
    await asyncio.sleep(VISIBLE_S + 0.3)
    breaks = []
    for name in world.instances.names:
        status, _, body = await call(
            world.instances.frontend(name), "GET", "/q1/", world._headers(jobs[0])
        )
        waiting = sum(
            job.accepted_at is not None
            and time.monotonic() - job.accepted_at > VISIBLE_S
            and not world.has_begun(job)
            for job in jobs
        )
        world.record.line(
            f"GET /q1/ at {name}: {status} {body.decode()}, "
            f"{waiting} accepted jobs have not begun"
        )
        if status != 200:
            continue
        pending = json.loads(body)["pending"]
        if 2 * pending < waiting:
            breaks.append(f"{name} gives {pending} as pending of {waiting}")
    for job in jobs[:3]:
        await world.state(job)
    world.record.line(f"counted {time.monotonic() - accepted_at:.1f} s after accepting")
    return breaks


if __name__ == "__main__":
    sys.exit(run_script(main, Path(sys.argv[1]), instances=6, minions=MINIONS))
