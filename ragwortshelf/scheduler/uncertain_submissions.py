"""Remembers submissions that may be in the log although no answer confirmed them."""

from __future__ import annotations

__all__ = ["UncertainSubmissions"]

SUBMISSIONS_MAX = 4_096
"""Most submissions that are remembered; the oldest is forgotten first. Callers repeat a
submission within seconds."""


class UncertainSubmissions:
    """Ids of jobs that this instance may have appended to the log.

    A repeated submission of such a job must not be refused as not accepted.

    >>> uncertain = UncertainSubmissions()
    >>> uncertain.add("a")
    >>> "a" in uncertain, "b" in uncertain
    (True, False)
    """

    def __init__(self, submissions_max: int = SUBMISSIONS_MAX):
        self._submissions_max = submissions_max
        # An ordered set: a dict keeps the order of insertion.
        self._job_ids: dict[str, None] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._job_ids

    def add(self, job_id: str) -> None:
        """Remember a submission that is about to be appended."""
        self._job_ids.pop(job_id, None)
        self._job_ids[job_id] = None
        if len(self._job_ids) > self._submissions_max:
            del self._job_ids[next(iter(self._job_ids))]

    def discard(self, job_id: str) -> None:
        """Forget a submission that the log refused."""
        self._job_ids.pop(job_id, None)
