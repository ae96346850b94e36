"""Some lasting jobs fail again and again, and others wait beside idle minions."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from world import BOUNDS, TENANTS, run_script

MINIONS = 12
LOOPING_JOBS = 6
LOOPING_TASKS = 7
FAILS_MS = 1000
TRAFFIC_S = 45.0
JOB_GAP_S = 0.5
WATCH_S = 15.0


async def main(world, has_trouble: bool) -> list[str]:
    began = time.monotonic()
    next_at = 0.0
    submissions = []
    has_looping = False
    while (now := time.monotonic() - began) < TRAFFIC_S:
        if now >= 5.0 and not has_looping:
            has_looping = True
            step = {"count": LOOPING_TASKS, "cpu": 1000, "mem_mb": 512, "gpu": 1}
            spec = f"lasting fails_ms={FAILS_MS}" if has_trouble else "lasting"
            for _ in range(LOOPING_JOBS):
                job = world.new_job(
                    {"spec": spec, "steps": [step | {"long_running": True}]}
                )
                submissions.append(asyncio.ensure_future(world.submit(job)))
        if now >= next_at:
            next_at = now + JOB_GAP_S
            step = {"count": 3, "cpu": 3700, "mem_mb": 512, "gpu": 1}
            job = world.new_job(
                {"spec": "work_ms=2500", "steps": [step | {"estimated_ms": 2500}]},
                TENANTS[1],
            )
            submissions.append(asyncio.ensure_future(world.submit(job)))
        world.instances.check()
        await asyncio.sleep(0.05)
    await asyncio.gather(*submissions)
    world.record.line("the traffic has ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    world.record.line("finish_s has passed")
    breaks = await world.watch_lost(WATCH_S)
    breaks += await world.ask_all() if not breaks else []
    return breaks


if __name__ == "__main__":
    sys.exit(run_script(main, Path(sys.argv[1]), instances=6, minions=MINIONS))
