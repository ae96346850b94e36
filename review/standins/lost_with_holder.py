"""A minion is lost for good, and half a second later the scheduler is killed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from world import AFTER_LAST_RUN_S, run_script

MINIONS = 12
KILL_AFTER_S = 0.5
HEARTBEATS_S = 4.5
WATCH_S = 22.0


def holder(world) -> str:
    """Return the machine that wrote last under a condition, the scheduler."""
    (value,) = (
        v for k, v, _ in world.store.topic("keyed.jobs").newest() if k == "term"
    )
    return next(name for name in world.instances.names if name.encode() in value)


async def main(world, has_trouble: bool) -> list[str]:
    step = {"count": 1, "cpu": 3000, "mem_mb": 1024, "gpu": 1, "long_running": True}
    job = world.new_job({"spec": "lasting", "steps": [step]})
    if not await world.submit(job):
        raise RuntimeError("the lasting job was not accepted")
    async with asyncio.timeout(10):
        while not world.running_tasks():
            await asyncio.sleep(0.1)
    await asyncio.sleep(5.0)
    minion = next(minion for minion in world.minions if minion.running)
    minion.vanish(HEARTBEATS_S)
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble:
        name = holder(world)
        world.record.line(f"kill {name}")
        world.instances.process[name].kill()
        await asyncio.sleep(1.0)
        world.instances.start(name)
    ended_at = time.monotonic()
    breaks = []
    while time.monotonic() - ended_at < WATCH_S:
        if world.running_tasks():
            break
        if time.monotonic() - ended_at > AFTER_LAST_RUN_S + 3.0 and not breaks:
            breaks.append(f"job {job.id}: its task did not run for 9 s")
            world.record.line(breaks[0])
        await asyncio.sleep(0.05)
    world.record.line(f"{len(world.running_tasks())} tasks run at the end")
    return breaks


if __name__ == "__main__":
    sys.exit(run_script(main, Path(sys.argv[1]), instances=6, minions=MINIONS))
