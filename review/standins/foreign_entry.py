"""An entry of another writer among the minions' entries, with a service of its own."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

from world import BOUNDS, run_script

TROUBLE_AT_S = 8.0
TRAFFIC_S = 38.0
WATCH_S = 48.0
LASTING_TASKS = 6

FOREIGN = {
    "service": "inventory/" + "/".join(f"department-{n:02d}" for n in range(20)),
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "sequence": 1,
}


async def main(world, has_trouble: bool) -> list[str]:
    step = {"count": LASTING_TASKS, "cpu": 3000, "mem_mb": 1024, "gpu": 1}
    lasting = world.new_job(
        {"spec": "lasting", "steps": [step | {"long_running": True}]}
    )
    if not await world.submit(lasting):
        raise RuntimeError("the lasting job was not accepted")
    began = time.monotonic()
    next_at, wrote = 0.0, False
    submissions = []
    while (now := time.monotonic() - began) < TRAFFIC_S:
        if now >= TROUBLE_AT_S and has_trouble and not wrote:
            wrote = True
            world.store.put("keyed.servers", "i-foreign1", json.dumps(FOREIGN).encode())
            world.record.line(f"another writer writes servers/i-foreign1: {FOREIGN}")
        if now >= next_at:
            next_at = now + 0.5
            job = world.new_job(
                {
                    "spec": "work_ms=2500",
                    "steps": [
                        {"count": 3, "cpu": 3700, "mem_mb": 512, "gpu": 1}
                        | {"estimated_ms": 2500}
                    ],
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
    counts = world.instances.log_counts("term_started", "term_failed")
    world.record.line(f"(logs of the processes, not judged: {counts})")
    return breaks


if __name__ == "__main__":
    sys.exit(run_script(main, Path(sys.argv[1]), instances=3, minions=12))
