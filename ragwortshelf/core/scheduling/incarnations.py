"""When endpoints were first known to be in their present incarnation."""

from __future__ import annotations

from .model import Incarnation

__all__ = ["IncarnationTimes"]


class IncarnationTimes:
    """Follows the incarnations of endpoints in the log, on the reader's clock.

    A holder of the scheduler's role writes an incarnation to the log once the endpoint
    refuses the calls that were sent to the one before it. So the time at which that
    record was read bounds when such a call was carried out last.

    >>> times = IncarnationTimes()
    >>> times.observed(Incarnation("e", "host:1", 1_000), 20)
    >>> times.observed(Incarnation("e", "host:1", 7_000), 30)
    >>> times.observed(Incarnation("e", "host:1", 7_000), 40)
    >>> times.since_ms("e")
    30
    """

    def __init__(self):
        # When each endpoint started by its own clock, and when that was read first.
        self._times_by_id: dict[str, tuple[int, int]] = {}

    def since_ms(self, endpoint_id: str) -> int | None:
        """Return when an endpoint's present incarnation was read first, if it was."""
        times = self._times_by_id.get(endpoint_id)
        return times[1] if times else None

    def observed(self, incarnation: Incarnation, now_ms: int) -> None:
        """Note that an endpoint was in this incarnation."""
        times = self._times_by_id.get(incarnation.endpoint_id)
        if times is None or times[0] != incarnation.started_wall_ms:
            times = (incarnation.started_wall_ms, now_ms)
            self._times_by_id[incarnation.endpoint_id] = times

    def forgotten(self, endpoint_id: str) -> None:
        """Note that an endpoint has left."""
        self._times_by_id.pop(endpoint_id, None)
