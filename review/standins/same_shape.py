"""A second lasting job with one task a minion, after a minion of the first has left."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from world import BOUNDS, run_script

MINIONS = 12
SECOND_TASKS = 5
LEAVES_AFTER_S = 4.0
WATCH_S = 12.0


def lasting_job(count: int) -> dict:
    step = {"count": count, "cpu": 2000, "mem_mb": 1024, "gpu": 1}
    step |= {"anti_affinity": 1, "long_running": True}
    return {"spec": "lasting", "steps": [step]}


async def main(world, has_trouble: bool) -> list[str]:
    first = world.new_job(lasting_job(MINIONS))
    if not await world.submit(first):
        raise RuntimeError("the first job was not accepted")
    async with asyncio.timeout(10):
        while len(world.running_tasks()) < MINIONS:
            await asyncio.sleep(0.1)
    await asyncio.sleep(5.0)
    if has_trouble:
        world.minions[-1].leave(LEAVES_AFTER_S)
    await asyncio.sleep(LEAVES_AFTER_S + 10.0)
    second = world.new_job(lasting_job(SECOND_TASKS))
    if not await world.submit(second):
        raise RuntimeError("the second job was not accepted")
    world.record.line("the traffic has ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    world.record.line("finish_s has passed")
    breaks = await world.watch_lost(WATCH_S)
    breaks += await world.ask_all()
    return breaks


if __name__ == "__main__":
    sys.exit(run_script(main, Path(sys.argv[1]), instances=6, minions=MINIONS))
