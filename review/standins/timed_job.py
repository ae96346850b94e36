"""A job that is due every minute for ten weeks is cancelled before it begins."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from world import BOUNDS, run_script

TRAFFIC_S = 45.0
TIMED_AT_S = 5.0
CANCEL_AT_S = 12.0
WATCH_S = 15.0

REPEAT_COUNT = 100_000
TASKS = 100


async def main(world, has_trouble: bool) -> list[str]:
    began = time.monotonic()
    next_at = 0.0
    submissions = []
    timed = None
    has_cancelled = False
    while (now := time.monotonic() - began) < TRAFFIC_S:
        if now >= TIMED_AT_S and timed is None:
            step = {"count": TASKS, "cpu": 2800, "mem_mb": 256, "gpu": 1}
            timed = world.new_job(
                {
                    "spec": "work_ms=2500",
                    "steps": [step | {"estimated_ms": 2500}],
                    "repeat_count": REPEAT_COUNT,
                    "first_run_ms": int(time.time() * 1000) + 3_600_000,
                    "interval_ms": 60_000,
                }
            )
            world.timed_ids.add(timed.id)
            if not await world.submit(timed):
                raise RuntimeError("the timed job was not accepted")
        if now >= CANCEL_AT_S and has_trouble and not has_cancelled:
            has_cancelled = True
            submissions.append(asyncio.ensure_future(world.cancel(timed)))
        if now >= next_at:
            next_at = now + 0.5
            step = {"count": 3, "cpu": 3700, "mem_mb": 512, "gpu": 1}
            job = world.new_job(
                {
                    "spec": "work_ms=2500",
                    "steps": [step | {"estimated_ms": 2500}],
                }
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
    counts = world.instances.log_counts("term_started", "term_ended", "term_claimed")
    world.record.line(f"(logs of the processes, not judged: {counts})")
    return breaks


if __name__ == "__main__":
    sys.exit(run_script(main, Path(sys.argv[1]), instances=6, minions=12))
