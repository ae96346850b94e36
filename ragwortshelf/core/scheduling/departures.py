"""Selection of the units to stop before a draining endpoint leaves."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from .endpoint import Endpoint
from .model import UnitKey, UnitPhase
from .unit import Unit

__all__ = ["units_to_move"]

CHECKPOINT_STOP_LEAD_MS = 1_200
"""Time before an endpoint leaves at which its checkpointing units are stopped. Covers
the longest stop in the supported deployments (0.9 s) and the order's round trip."""


def units_to_move(
    endpoint: Endpoint, unit_by_key: Mapping[UnitKey, Unit], now_ms: int
) -> Iterator[Unit]:
    """Yield the placed units to stop now because their endpoint leaves.

    Units that save checkpoints, and long-running ones, continue until shortly before.
    Others are stopped at once if they cannot end in time, since all further progress
    there would be lost.
    """
    departure_ms = endpoint.departure_ms
    if departure_ms is None:
        return
    time_left_ms = departure_ms - now_ms
    seen: set[UnitKey] = set()
    for placement in endpoint.placements():
        unit = unit_by_key.get(placement.unit_key)
        if unit is None or unit.key in seen or unit.phase is not UnitPhase.PLACED:
            continue
        seen.add(unit.key)
        if unit.step.is_checkpointing or unit.step.is_long_running:
            if time_left_ms < CHECKPOINT_STOP_LEAD_MS:
                yield unit
        elif unit.remaining_ms(now_ms) > time_left_ms:
            yield unit
