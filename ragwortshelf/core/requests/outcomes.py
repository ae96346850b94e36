"""Outcomes of requests without a complete answer, and the store of kept outcomes.

``NotRun`` requires proof for every attempt that it did not run; a single attempt
without proof makes the outcome ``Unknown``, whatever later attempts prove. Outcomes of
non-idempotent requests are kept for a while, so that a retry with the same id gets the
same outcome.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ..model import NotRun, Reason, Request, RequestOutcome, Unknown
from .ids import parse_request_id, request_fingerprint

__all__ = ["ID_REUSED", "KeptOutcomes", "failure_outcome"]

ID_REUSED = NotRun(Reason.INVALID, "the request id was used for another request")
"""The outcome of a request whose id was already used for a different request."""

KEPT_OUTCOMES_MAX = 10_000
KEPT_BYTES_MAX = 32 * 1024 * 1024
KEPT_MS = 600_000


def failure_outcome(
    *, may_have_run: bool, reason: Reason, detail: str, retry_after_ms: int | None
) -> RequestOutcome:
    """Return the outcome of a request that is given up.

    >>> failure_outcome(may_have_run=True, reason=Reason.NO_ANSWER, detail="",
    ...                 retry_after_ms=5)
    Unknown(reason=<Reason.NO_ANSWER: 'no_answer'>, detail='')
    """
    if may_have_run:
        return Unknown(reason, detail)
    return NotRun(reason, detail, retry_after_ms)


@dataclass(frozen=True, slots=True)
class _StoredOutcome:
    """An outcome, when it expires and its size, with an allowance for its metadata."""

    fingerprint: str
    outcome: RequestOutcome
    expires_ms: int
    size_bytes: int


class KeptOutcomes:
    """Store of the outcomes of one incarnation's non-idempotent requests.

    It keeps at most ``KEPT_OUTCOMES_MAX`` outcomes and ``KEPT_BYTES_MAX`` bytes, and
    drops outcomes older than ``KEPT_MS`` when it stores a new one.

    A request that is not in the store may have run if its number is lower than
    ``forgotten_below``.
    """

    def __init__(self):
        self._stored_by_id: OrderedDict[str, _StoredOutcome] = OrderedDict()
        self._size_bytes = 0
        self.forgotten_below = 0

    def __len__(self) -> int:
        return len(self._stored_by_id)

    def get(self, request: Request) -> RequestOutcome | None:
        """Return the outcome of a request, or None if the store has none.

        The outcome of a request that has been dropped from the store is ``Unknown``.
        """
        stored = self._stored_by_id.get(request.request_id)
        if stored is not None:
            is_same = stored.fingerprint == request_fingerprint(request)
            return stored.outcome if is_same else ID_REUSED
        parsed = parse_request_id(request.request_id)
        if parsed is not None and parsed.number < self.forgotten_below:
            return Unknown(Reason.NO_ANSWER, "the outcome is no longer kept")
        return None

    def keep(self, request: Request, outcome: RequestOutcome, now_ms: int) -> None:
        """Store an outcome, and drop old ones that expired or exceed the bounds."""
        request_id = request.request_id
        size_bytes = len(getattr(outcome, "body", b"")) + 200
        self._stored_by_id[request_id] = _StoredOutcome(
            request_fingerprint(request), outcome, now_ms + KEPT_MS, size_bytes
        )
        self._size_bytes += size_bytes
        while self._stored_by_id:
            oldest_id, oldest = next(iter(self._stored_by_id.items()))
            is_over = (
                len(self._stored_by_id) > KEPT_OUTCOMES_MAX
                or self._size_bytes > KEPT_BYTES_MAX
            )
            if not is_over and oldest.expires_ms > now_ms:
                break
            self._drop(oldest_id)

    def items(self) -> list[tuple[str, str, RequestOutcome]]:
        """Return the id, fingerprint and outcome of each entry, oldest first."""
        return [
            (key, stored.fingerprint, stored.outcome)
            for key, stored in self._stored_by_id.items()
        ]

    def _drop(self, request_id: str) -> None:
        self._size_bytes -= self._stored_by_id.pop(request_id).size_bytes
        parsed = parse_request_id(request_id)
        if parsed is not None:
            self.forgotten_below = max(self.forgotten_below, parsed.number + 1)
