"""A large gang that has to wait for room which lasting tasks keep for good."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from world import BOUNDS, TENANTS, run_script

MINIONS = 12
TRAFFIC_S = 35.0
LARGE_AT_S = 10.0
WATCH_S = 12.0


async def main(world, has_trouble: bool) -> list[str]:
    step = {"count": MINIONS, "cpu": 3000, "mem_mb": 1024, "gpu": 3}
    lasting = world.new_job(
        {
            "spec": "lasting",
            "steps": [step | {"anti_affinity": 1, "long_running": True}],
        }
    )
    if not await world.submit(lasting):
        raise RuntimeError("the lasting job was not accepted")
    async with asyncio.timeout(10):
        while len(world.running_tasks()) < MINIONS:
            await asyncio.sleep(0.1)
    began = time.monotonic()
    next_at = 0.0
    submissions = []
    has_large = False
    while (now := time.monotonic() - began) < TRAFFIC_S:
        if now >= LARGE_AT_S and has_trouble and not has_large:
            has_large = True
            step = {"count": MINIONS, "cpu": 6000, "mem_mb": 1024, "gpu": 6}
            large = world.new_job(
                {
                    "spec": "work_ms=2500",
                    "steps": [step | {"estimated_ms": 2500, "gang": True}],
                },
                TENANTS[1],
            )
            submissions.append(asyncio.ensure_future(world.submit(large)))
        if now >= next_at:
            next_at = now + 0.5
            step = {"count": 3, "cpu": 3700, "mem_mb": 512, "gpu": 1}
            job = world.new_job(
                {"spec": "work_ms=2500", "steps": [step | {"estimated_ms": 2500}]},
                TENANTS[2],
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
