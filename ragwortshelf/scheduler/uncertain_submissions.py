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
        # In the order of each job's last submission.
        self._count_by_job_id: dict[str, int] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._count_by_job_id

    def add(self, job_id: str) -> None:
        """Remember a submission that is about to be appended."""
        self._count_by_job_id[job_id] = self._count_by_job_id.pop(job_id, 0) + 1
        if len(self._count_by_job_id) > self._submissions_max:
            del self._count_by_job_id[next(iter(self._count_by_job_id))]

    def discard(self, job_id: str) -> bool:
        """Forget a submission that is not in the log.

        Returns whether no other submission of the same job may be in the log.
        """
        count = self._count_by_job_id.pop(job_id, 0) - 1
        if count > 0:
            self._count_by_job_id[job_id] = count
        return count <= 0
