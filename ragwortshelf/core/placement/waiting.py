"""Waiting jobs, grouped so that one failed search answers for all jobs alike."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from ..model import Adjacency, JobSpec, Priority

__all__ = ["GroupKey", "WaitingGroup", "WaitingJob", "WaitingJobs"]


@dataclass(frozen=True, slots=True)
class GroupKey:
    """What two jobs must share for one to be placed exactly when the other is."""

    accelerators: int
    adjacency: Adjacency
    is_reclaimable: bool
    priority: Priority
    run_time_class: int
    fixed_job_id: str = ""

    @classmethod
    def of(
        cls, spec: JobSpec, expected_run_ms: int, is_special: bool = False
    ) -> GroupKey:
        """Return the key; a special job, which avoids workers, forms its own group.

        Run times within a factor of two count as alike, which bounds the groups.
        """
        return cls(
            spec.accelerators,
            spec.adjacency,
            spec.is_reclaimable,
            spec.priority,
            max(1, expected_run_ms).bit_length(),
            spec.job_id if is_special else "",
        )

    @property
    def expected_run_ms(self) -> int:
        """The run time by which the group's jobs are ordered."""
        return 1 << self.run_time_class

    @property
    def search_key(self) -> GroupKey:
        """Key of the groups for which one search gives the same answer."""
        return replace(self, run_time_class=0)


@dataclass(slots=True)
class WaitingJob:
    """A job with the time since when it waits."""

    spec: JobSpec
    since_ms: int
    checkpoint: int
    key: GroupKey
    reason: str = "not looked at yet"


@dataclass(slots=True)
class WaitingGroup:
    """Jobs of one organisation that are alike, oldest first."""

    key: GroupKey
    job_by_id: OrderedDict[str, WaitingJob] = field(default_factory=OrderedDict)

    @property
    def head(self) -> WaitingJob:
        """The job that has waited longest."""
        return next(iter(self.job_by_id.values()))


class WaitingJobs:
    """All waiting jobs by organisation and group; each change takes constant time."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, WaitingJob] = {}
        self.accelerators = 0
        self.groups_by_organisation: dict[str, dict[GroupKey, WaitingGroup]] = {}

    def add(self, job: WaitingJob) -> None:
        """Add the job behind those of its group that have waited longer."""
        self.discard(job.spec.job_id)
        self.job_by_id[job.spec.job_id] = job
        self.accelerators += job.spec.accelerators
        groups = self.groups_by_organisation.setdefault(job.spec.organisation, {})
        group = groups.setdefault(job.key, WaitingGroup(job.key))
        is_older = bool(group.job_by_id) and job.since_ms < group.head.since_ms
        group.job_by_id[job.spec.job_id] = job
        if is_older:
            group.job_by_id.move_to_end(job.spec.job_id, last=False)

    def discard(self, job_id: str) -> WaitingJob | None:
        """Remove and return the job, None if it does not wait."""
        job = self.job_by_id.pop(job_id, None)
        if job is None:
            return None
        self.accelerators -= job.spec.accelerators
        groups = self.groups_by_organisation[job.spec.organisation]
        group = groups[job.key]
        del group.job_by_id[job_id]
        if not group.job_by_id:
            del groups[job.key]
            if not groups:
                del self.groups_by_organisation[job.spec.organisation]
        return job
