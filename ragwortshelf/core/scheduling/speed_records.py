"""Records of endpoint speeds, from which a successor goes on."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable

from .endpoint import Endpoint
from .job_table import JobTable
from .records import EndpointSpeed, EndpointSpeeds

__all__ = ["SpeedRecorder"]

PARTS = 4
"""Number of records over which the endpoints are dealt by a hash of their id."""

RECORD_INTERVAL_MS = 5_000
"""Shortest time between two records of one part."""

LOG_CHANGE_MIN = 0.1
"""Change of a log speed from which it is recorded anew."""

PRECISION_MIN = 4.0
"""Precision from which a speed is worth recording: it moves the mean by a third."""

LOG_PERCENT_MAX = 300
"""Limit of a recorded log speed in hundredths: a factor of twenty."""

PRECISION_MAX = 1_000
"""Limit of a recorded precision."""

SPEEDS_MAX = 900
"""Speeds in one record: at 64 bytes each, and less than 64 KB in all."""

ID_BYTES_MAX = 48
"""Length of an id up to which its endpoint is recorded, which bounds the record."""


class SpeedRecorder:
    """Decides which records of speeds to write, and restores endpoints from them."""

    def __init__(self, table: JobTable):
        self._table = table
        self._next_ms_by_part = {
            part: part * RECORD_INTERVAL_MS // PARTS for part in range(PARTS)
        }
        self._written_by_part: dict[int, dict[tuple[str, int], float]] = {
            part: {} for part in range(PARTS)
        }

    def records_due(
        self, endpoints: Iterable[Endpoint], now_ms: int, wall_ms: int
    ) -> list[EndpointSpeeds]:
        """Return the records of the parts that are due and have changed."""
        due = [part for part, at_ms in self._next_ms_by_part.items() if now_ms >= at_ms]
        if not due:
            return []
        endpoints_by_part: dict[int, list[Endpoint]] = {part: [] for part in due}
        for endpoint in endpoints:
            part = _part(endpoint.id)
            if part in endpoints_by_part:
                endpoints_by_part[part].append(endpoint)
        records = []
        for part, members in endpoints_by_part.items():
            self._next_ms_by_part[part] = now_ms + RECORD_INTERVAL_MS
            speeds = _speeds(members)
            log_speeds = {
                (s.endpoint_id, s.started_wall_ms): s.log_percent / 100 for s in speeds
            }
            if _has_changed(self._written_by_part[part], log_speeds):
                self._written_by_part[part] = log_speeds
                records.append(EndpointSpeeds(part, wall_ms, speeds))
        return records

    def restore(self, endpoint: Endpoint, now_ms: int, wall_ms: int) -> None:
        """Restore what is recorded of an endpoint in its present incarnation."""
        record = self._table.speeds_by_part.get(_part(endpoint.id))
        if record is None:
            return
        for speed in record.speeds:
            if (
                speed.endpoint_id == endpoint.id
                and speed.started_wall_ms == endpoint.started_wall_ms
                and abs(speed.log_percent) <= LOG_PERCENT_MAX
                and 0 < speed.precision <= PRECISION_MAX
            ):
                endpoint.speed_belief.restore(
                    speed.precision,
                    speed.log_percent / 100,
                    wall_ms - record.wall_ms,
                    now_ms,
                )


def _part(endpoint_id: str) -> int:
    return zlib.crc32(endpoint_id.encode()) % PARTS


def _speeds(endpoints: Iterable[Endpoint]) -> tuple[EndpointSpeed, ...]:
    speeds = []
    for endpoint in endpoints:
        precision, log_speed = endpoint.speed_belief.observed()
        if precision >= PRECISION_MIN and len(endpoint.id.encode()) <= ID_BYTES_MAX:
            log_percent = round(100 * log_speed)
            log_percent = max(-LOG_PERCENT_MAX, min(LOG_PERCENT_MAX, log_percent))
            precision = math.floor(min(PRECISION_MAX, precision))
            speeds.append(
                EndpointSpeed(
                    endpoint.id, endpoint.started_wall_ms, log_percent, precision
                )
            )
    speeds.sort(key=lambda speed: (-speed.precision, speed.endpoint_id))
    return tuple(speeds[:SPEEDS_MAX])


def _has_changed(before: dict, after: dict) -> bool:
    return before.keys() != after.keys() or any(
        abs(log_speed - before[key]) > LOG_CHANGE_MIN
        for key, log_speed in after.items()
    )
