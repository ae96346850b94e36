"""A job never starts, as each ticket counts as expired when it arrives."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from world import ADVICE, now_ms, run_script  # noqa: E402

QUICK = "00000000000000e0"
JOB = "00000000000000e1"
SLOWER = {"decision_ms": 200, "per_worker_ms": 100, "valid_ms": 3000}
"""24 minions take 2.6 s. Each ticket is valid for 3 s from its answer on."""

TENANTS = [{"name": "one", "api_keys": ["key-one"], "guaranteed": {"gpu": 0}}]
NOTHING_MS = 3_000
WATCHED_S = 30


def routes(advice: dict) -> list[dict]:
    """Return the one route, with the figures of its policy service."""
    return [
        {
            "name": "policed",
            "path_prefix": "/policed/",
            "priority": 1,
            "advice": dict(advice),
        }
    ]


async def start_of(world, job_id: str, body: dict) -> int | None:
    """Hand a job in; returns after how many milliseconds its task was started."""
    world.advised_ids.add(job_id)
    if not await world.submit(job_id, "key-one", body, prefix="/policed/"):
        return None
    began_ms = now_ms()
    while now_ms() < began_ms + 1000 * WATCHED_S:
        await asyncio.sleep(0.02)
        if any(run["task"][:16] == job_id for m in world.minions for run in m.history):
            break
    return now_ms() - began_ms


async def main(world, has_trouble: bool) -> int:
    """Let a configuration say that the policy service takes longer for each minion."""
    await world.open(["a"] * 24, routes(ADVICE), TENANTS)
    task = {"count": 1, "cpu": 8000, "mem_mb": 1000, "gpu": 4, "estimated_ms": 1000}
    body = {"spec": "work=1000", "steps": [task]}
    waited_ms = await start_of(world, QUICK, body)
    world.note("judged", job=QUICK, nothing_ran_ms=waited_ms)
    if waited_ms is None or waited_ms >= NOTHING_MS:
        return 2
    if has_trouble:
        ADVICE.update(SLOWER)
    world.configure(2, routes(ADVICE), TENANTS)
    world.note("configured", version=2, **ADVICE)
    await asyncio.sleep(2)
    waited_ms = await start_of(world, JOB, body)
    if waited_ms is None:
        return 2
    world.note("judged", job=JOB, nothing_ran_ms=waited_ms)
    return 1 if waited_ms >= 1000 * WATCHED_S else 0


run_script(FOLDER, main)
