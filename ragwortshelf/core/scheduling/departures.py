"""Moves work off endpoints that leave."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from .fleet import Endpoint
from .model import UnitKey, UnitPhase
from .work import Unit

__all__ = ["units_to_move"]

CHECKPOINT_STOP_LEAD_MS = 1_200
"""How long before an endpoint leaves its checkpointing work is stopped: the longest
stop of the stated sites (0.9 s) and the way of the order and its answer."""


def units_to_move(
    endpoint: Endpoint, unit_by_key: Mapping[UnitKey, Unit], now_ms: int
) -> Iterator[Unit]:
    """Yield the units that cannot end before their endpoint leaves.

    Work that saves its progress goes on until shortly before; other work is stopped
    at once, since all that it does there would be lost.
    """
    departure_ms = endpoint.departure_ms
    if departure_ms is None:
        return
    time_left_ms = departure_ms - now_ms
    seen: set[UnitKey] = set()
    for member in endpoint.members():
        unit = unit_by_key.get(member.unit_key)
        if unit is None or unit.key in seen or unit.phase is not UnitPhase.PLACED:
            continue
        seen.add(unit.key)
        if unit.step.is_checkpointing or unit.step.is_long_running:
            if time_left_ms < CHECKPOINT_STOP_LEAD_MS:
                yield unit
        elif unit.remaining_ms(now_ms) > time_left_ms:
            yield unit
