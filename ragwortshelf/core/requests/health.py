"""Health of endpoints: ejection after failures, and probing before return.

At most half of the known endpoints are ejected at once. Failures of more endpoints are
attributed to another cause, and those endpoints stay in use.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

__all__ = ["EndpointHealth"]

FAILURES_TO_EJECT = 5
FIRST_PROBE_DELAY_MS = 500
MAX_PROBE_DELAY_MS = 15_000


@dataclass(slots=True)
class _Record:
    """Failures and probe of an endpoint, which is ejected if ``probe_at_ms`` is set."""

    failures: int = 0
    ejections: int = 0
    probe_at_ms: int | None = None
    probe_request_id: str | None = None


class EndpointHealth:
    """Tracks which endpoints are ejected after repeated failures.

    An endpoint that failed ``FAILURES_TO_EJECT`` times in a row is ejected. After a
    delay it gets one request as a probe, and a successful probe returns it to use. The
    delay doubles with each ejection and failed probe up to ``MAX_PROBE_DELAY_MS``, and
    up to a quarter is added at random.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._record_by_endpoint: dict[str, _Record] = {}

    def set_endpoints(self, names: set[str]) -> None:
        """Set the known endpoints, dropping the records of all others."""
        kept = {n: r for n, r in self._record_by_endpoint.items() if n in names}
        self._record_by_endpoint = {n: kept.get(n, _Record()) for n in names}

    def is_ejected(self, name: str) -> bool:
        """Whether the endpoint is ejected, so that it gets only probes."""
        record = self._record_by_endpoint.get(name)
        return record is not None and record.probe_at_ms is not None

    def ejected(self) -> set[str]:
        """Return the names of the ejected endpoints."""
        return {name for name in self._record_by_endpoint if self.is_ejected(name)}

    def is_probe_due(self, name: str, now_ms: int) -> bool:
        """Whether an ejected endpoint is due for a probe."""
        record = self._record_by_endpoint.get(name)
        return (
            record is not None
            and record.probe_at_ms is not None
            and record.probe_request_id is None
            and record.probe_at_ms <= now_ms
        )

    def start_probe(self, name: str, request_id: str) -> None:
        """Record that a request probes an ejected endpoint."""
        self._record_by_endpoint[name].probe_request_id = request_id

    def record_success(self, name: str) -> None:
        """Record an answer that shows that the endpoint works."""
        record = self._record_by_endpoint.get(name)
        if record is None:
            return
        if record.probe_at_ms is not None:
            record.probe_at_ms = None
            record.probe_request_id = None
        else:
            record.ejections = 0
        record.failures = 0

    def record_failure(self, name: str, request_id: str, now_ms: int) -> bool:
        """Record a failed request; True if it causes the endpoint's ejection."""
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

    def clear_probe(self, name: str, request_id: str) -> None:
        """Clear a probe that ended inconclusively; another may follow at once."""
        record = self._record_by_endpoint.get(name)
        if record is not None and record.probe_request_id == request_id:
            record.probe_request_id = None

    def _schedule_probe(self, record: _Record, now_ms: int) -> None:
        delay_ms = min(
            MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2 ** min(record.ejections, 10)
        )
        record.ejections += 1
        record.failures = 0
        record.probe_request_id = None
        record.probe_at_ms = now_ms + delay_ms + self._rng.randint(0, delay_ms // 4)
