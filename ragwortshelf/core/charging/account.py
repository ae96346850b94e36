"""Accelerator time of one job, summed from usage reports."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..model import UsageReport
from .ranges import IntegerRanges

__all__ = ["AccountSnapshot", "AttemptUsage", "JobAccount", "JobCharge", "TaskSeen"]


@dataclass(frozen=True, slots=True)
class AttemptUsage:
    """Accelerator-milliseconds of one attempt; ``ran_ms`` includes ``wasted_ms``."""

    attempt: int
    ran_ms: int
    wasted_ms: int


@dataclass(frozen=True, slots=True)
class JobCharge:
    """Accelerator-milliseconds of one job.

    ``wasted_ms`` is the part of ``ran_ms`` that was lost. It is charged, since it ran,
    and shown separately.
    """

    job_id: str
    organisation: str
    ran_ms: int
    wasted_ms: int
    corrected_ms: int
    attempts: tuple[AttemptUsage, ...] = ()

    @property
    def charged_ms(self) -> int:
        """Accelerator-milliseconds to charge: what ran plus corrections."""
        return self.ran_ms + self.corrected_ms


@dataclass(frozen=True, slots=True)
class TaskSeen:
    """Sequence numbers of the counted reports of one task, as inclusive ranges."""

    attempt: int
    task: int
    ranges: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class AccountSnapshot:
    """Contents of a `JobAccount`.

    ``ran`` and ``lost`` hold pairs of attempt and accelerator-milliseconds. A value of
    -1 in ``lost`` means that the whole attempt is lost.
    """

    job_id: str
    organisation: str
    is_ended: bool
    corrected_ms: int
    ran: tuple[tuple[int, int], ...]
    lost: tuple[tuple[int, int], ...]
    seen: tuple[TaskSeen, ...]


_WHOLE_ATTEMPT = -1


class JobAccount:
    """Sums the usage reports of a job, each counted once, in any order."""

    __slots__ = (
        "_lost_by_attempt",
        "_ran_by_attempt",
        "_seen_by_task",
        "corrected_ms",
        "is_ended",
        "job_id",
        "organisation",
    )

    def __init__(self, job_id: str, organisation: str) -> None:
        self.job_id = job_id
        self.organisation = organisation
        self.is_ended = False
        self.corrected_ms = 0
        self._ran_by_attempt: dict[int, int] = {}
        self._lost_by_attempt: dict[int, int | None] = {}
        self._seen_by_task: dict[tuple[int, int], IntegerRanges] = {}

    def has_counted(self, report: UsageReport) -> bool:
        """Whether a report with the same key was counted before."""
        seen = self._seen_by_task.get((report.attempt, report.task))
        return seen is not None and report.sequence in seen

    def count(self, report: UsageReport) -> bool:
        """Count the report; return False if it was counted before."""
        key = (report.attempt, report.task)
        seen = self._seen_by_task.setdefault(key, IntegerRanges())
        if not seen.add(report.sequence):
            return False
        ran_ms = self._ran_by_attempt.get(report.attempt, 0)
        self._ran_by_attempt[report.attempt] = ran_ms + report.accelerator_ms
        return True

    def set_lost_work(self, lost_by_attempt: Mapping[int, int | None]) -> None:
        """Set the accelerator-milliseconds lost by the given ended attempts.

        None means that all work of the attempt is lost.
        """
        self._lost_by_attempt.update(lost_by_attempt)

    def charge(self) -> JobCharge:
        """Return the present sums."""
        attempts = tuple(
            AttemptUsage(attempt, ran_ms, self._wasted_ms(attempt, ran_ms))
            for attempt, ran_ms in sorted(self._ran_by_attempt.items())
        )
        return JobCharge(
            self.job_id,
            self.organisation,
            sum(item.ran_ms for item in attempts),
            sum(item.wasted_ms for item in attempts),
            self.corrected_ms,
            attempts,
        )

    def to_snapshot(self) -> AccountSnapshot:
        """Return the contents of the account."""
        lost = {
            attempt: _WHOLE_ATTEMPT if lost_ms is None else lost_ms
            for attempt, lost_ms in self._lost_by_attempt.items()
        }
        seen = (
            TaskSeen(attempt, task, ranges.to_tuple())
            for (attempt, task), ranges in sorted(self._seen_by_task.items())
        )
        return AccountSnapshot(
            self.job_id,
            self.organisation,
            self.is_ended,
            self.corrected_ms,
            tuple(sorted(self._ran_by_attempt.items())),
            tuple(sorted(lost.items())),
            tuple(seen),
        )

    @classmethod
    def from_snapshot(cls, snapshot: AccountSnapshot) -> JobAccount:
        """Return an account with the contents of ``snapshot``."""
        account = cls(snapshot.job_id, snapshot.organisation)
        account.is_ended = snapshot.is_ended
        account.corrected_ms = snapshot.corrected_ms
        account._ran_by_attempt = dict(snapshot.ran)
        account._lost_by_attempt = {
            attempt: None if lost_ms == _WHOLE_ATTEMPT else lost_ms
            for attempt, lost_ms in snapshot.lost
        }
        account._seen_by_task = {
            (item.attempt, item.task): IntegerRanges(item.ranges)
            for item in snapshot.seen
        }
        return account

    def _wasted_ms(self, attempt: int, ran_ms: int) -> int:
        lost_ms = self._lost_by_attempt.get(attempt, 0)
        return ran_ms if lost_ms is None else min(ran_ms, lost_ms)
