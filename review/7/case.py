"""A task that lasts is away for 11 s after its minion and the leader are lost."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from world import now_ms, request, run_script  # noqa: E402

LASTING = "00000000000000a1"
RESTART_S = 0.3
CONTACT_S = 3.0
COUNTED_FROM_MS = max(6_000, int(1000 * (RESTART_S + CONTACT_S + 4)))
"""The rule holds from 6 s after the last run, if the 4 s before are calm as well. The
last disruption is the start of the killed instance; all machines are in touch again
``contact_ms`` after it."""

NOTHING_MS = 3_000


async def find_leader(world) -> str:
    """Return the instance whose metrics say that it schedules."""
    for name, ip in world.ips.items():
        text = await request(f"{ip}:9102", "GET", "/metrics", is_json=False)
        if "is_scheduler 1" in text:
            return name
    return ""


async def main(world, has_trouble: bool) -> int:
    """Lose a minion for good, and kill the leader at the same moment."""
    await world.open(
        ["a"] * 8,
        [{"name": "serve", "path_prefix": "/serve/", "priority": 1}],
        [{"name": "one", "api_keys": ["key-one"], "guaranteed": {"gpu": 0}}],
    )
    step = {"count": 1, "cpu": 8000, "mem_mb": 1000, "gpu": 4, "long_running": True}
    body = {"spec": "startup=500", "steps": [step]}
    if not await world.submit(LASTING, "key-one", body, prefix="/serve/"):
        return 2
    await asyncio.sleep(5)
    leader = await find_leader(world)
    used = [minion for minion in world.minions if minion.running]
    if not leader or len(used) != 1:
        return 2
    lost_ms = now_ms()
    if has_trouble:
        world.signal(leader, signal.SIGKILL)
        await used[0].crash()
        await asyncio.sleep(RESTART_S)
        world.start_instance(leader)
    worst_ms = 0
    since_ms = None
    while now_ms() < lost_ms + 20_000:
        await asyncio.sleep(0.02)
        is_running = any(minion.running for minion in world.minions if minion.is_up)
        if is_running or now_ms() < lost_ms + COUNTED_FROM_MS:
            since_ms = None
            continue
        since_ms = since_ms or now_ms()
        worst_ms = max(worst_ms, now_ms() - since_ms)
    world.note("judged", nothing_ran_ms=worst_ms, counted_from_ms=COUNTED_FROM_MS)
    return 1 if worst_ms >= NOTHING_MS else 0


run_script(FOLDER, main)
