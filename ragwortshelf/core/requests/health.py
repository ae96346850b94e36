"""Health of endpoints: ejection after failures, and probing before return.

At most half of the known endpoints are ejected at once; beyond that, failures are taken
for a fault of something else and requests go on.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

__all__ = ["EndpointHealth"]

FAILURES_TO_EJECT = 5
PROBE_FIRST_MS = 500
PROBE_CAP_MS = 15_000


@dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    probe_at_ms: int | None = None
    probe_request_id: str | None = None


class EndpointHealth:
    """Which endpoints take new requests.

    An endpoint that failed ``FAILURES_TO_EJECT`` times in a row is ejected. After a
    pause that doubles with each ejection it gets one request as a probe; a success
    brings it back.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._record_by_endpoint: dict[str, _Record] = {}

    def set_endpoints(self, names: set[str]) -> None:
        """Keep records of these endpoints only."""
        kept = {n: r for n, r in self._record_by_endpoint.items() if n in names}
        self._record_by_endpoint = {n: kept.get(n, _Record()) for n in names}

    def is_ejected(self, name: str) -> bool:
        """Whether the endpoint takes no ordinary request."""
        record = self._record_by_endpoint.get(name)
        return record is not None and record.probe_at_ms is not None

    def ejected(self) -> set[str]:
        """Return the names of the ejected endpoints."""
        return {name for name in self._record_by_endpoint if self.is_ejected(name)}

    def wants_probe(self, name: str, now_ms: int) -> bool:
        """Whether an ejected endpoint is due for one request."""
        record = self._record_by_endpoint.get(name)
        return (
            record is not None
            and record.probe_at_ms is not None
            and record.probe_request_id is None
            and record.probe_at_ms <= now_ms
        )

    def start_probe(self, name: str, request_id: str) -> None:
        """Note that a request probes an ejected endpoint."""
        self._record_by_endpoint[name].probe_request_id = request_id

    def note_success(self, name: str) -> None:
        """Note an answer that shows the endpoint to work."""
        record = self._record_by_endpoint.get(name)
        if record is None:
            return
        if record.probe_at_ms is not None:
            record.probe_at_ms = None
            record.probe_request_id = None
        else:
            record.ejections = 0
        record.failures = 0

    def note_failure(self, name: str, request_id: str, now_ms: int) -> bool:
        """Note a failed request; True if the endpoint is ejected by it."""
        record = self._record_by_endpoint.get(name)
        if record is None:
            return False
        if record.probe_at_ms is not None:
            if record.probe_request_id == request_id:
                self._schedule_probe(record, now_ms)
            return False
        record.failures += 1
        if record.failures < FAILURES_TO_EJECT:
            return False
        if 2 * (len(self.ejected()) + 1) > len(self._record_by_endpoint):
            return False
        self._schedule_probe(record, now_ms)
        return True

    def forget_probe(self, name: str, request_id: str) -> None:
        """A probe ended without telling anything; another may follow at once."""
        record = self._record_by_endpoint.get(name)
        if record is not None and record.probe_request_id == request_id:
            record.probe_request_id = None

    def _schedule_probe(self, record: _Record, now_ms: int) -> None:
        pause_ms = min(PROBE_CAP_MS, PROBE_FIRST_MS * 2 ** min(record.ejections, 10))
        record.ejections += 1
        record.failures = 0
        record.probe_request_id = None
        record.probe_at_ms = now_ms + pause_ms + self._rng.randint(0, pause_ms // 4)
