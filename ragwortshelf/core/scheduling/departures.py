"""Moves work off endpoints that leave."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from .fleet import Endpoint
from .model import UnitKey, UnitPhase
from .work import Work

__all__ = ["work_to_move"]

CHECKPOINT_LEAD_MS = 1_200
"""How long before an endpoint leaves its checkpointing work is stopped: the longest
stop of the stated sites (0.9 s) and the way of the order and its answer."""


def work_to_move(
    endpoint: Endpoint, work_by_key: Mapping[UnitKey, Work], now_ms: int
) -> Iterator[Work]:
    """Yield the units that cannot end before their endpoint leaves.

    Work that saves its progress goes on until shortly before; other work is stopped
    at once, since all that it does there would be lost.
    """
    leaves_ms = endpoint.leaves_ms
    if leaves_ms is None:
        return
    left_ms = leaves_ms - now_ms
    seen: set[UnitKey] = set()
    for member in endpoint.members():
        work = work_by_key.get(member.unit)
        if work is None or work.key in seen or work.phase is not UnitPhase.PLACED:
            continue
        seen.add(work.key)
        if work.step.is_checkpointing or work.step.is_long_running:
            if left_ms < CHECKPOINT_LEAD_MS:
                yield work
        elif work.remaining_ms(now_ms) > left_ms:
            yield work
