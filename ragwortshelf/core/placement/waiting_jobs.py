"""Waiting jobs, grouped so that equivalent jobs need only one search."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from ..model import Adjacency, JobSpec, Priority

__all__ = ["GroupKey", "WaitingGroup", "WaitingJob", "WaitingJobs"]


@dataclass(frozen=True, slots=True)
class GroupKey:
    """Attributes of a job that determine whether and when it can be placed.

    Jobs of one organisation with equal keys are interchangeable for a search.
    ``run_time_class`` is the bit length of the expected run time in milliseconds, and
    ``sole_job_id`` is empty unless the job forms a group of its own.
    """

    accelerators: int
    adjacency: Adjacency
    is_reclaimable: bool
    priority: Priority
    run_time_class: int
    sole_job_id: str = ""

    @classmethod
    def of(
        cls, spec: JobSpec, expected_run_ms: int, avoids_workers: bool = False
    ) -> GroupKey:
        """Return the key of a job; one that avoids workers forms its own group.

        Run times are grouped by powers of two, which bounds the number of groups.
        """
        return cls(
            spec.accelerators,
            spec.adjacency,
            spec.is_reclaimable,
            spec.priority,
            max(1, expected_run_ms).bit_length(),
            spec.job_id if avoids_workers else "",
        )

    @property
    def expected_run_ms(self) -> int:
        """Upper bound of the group's expected run times, by which it is ordered."""
        return 1 << self.run_time_class

    @property
    def search_key(self) -> GroupKey:
        """Key shared by the groups for which a search has the same result."""
        return replace(self, run_time_class=0)


@dataclass(slots=True)
class WaitingJob:
    """A queued job, the start of its wait, and why it was not placed so far."""

    spec: JobSpec
    since_ms: int
    checkpoint: int
    key: GroupKey
    reason: str = "not looked at yet"


@dataclass(slots=True)
class WaitingGroup:
    """Equivalent jobs of one organisation, oldest first."""

    key: GroupKey
    job_by_id: OrderedDict[str, WaitingJob] = field(default_factory=OrderedDict)

    @property
    def head(self) -> WaitingJob:
        """The job that has waited longest."""
        return next(iter(self.job_by_id.values()))


class WaitingJobs:
    """All waiting jobs by organisation and group; changes take constant time."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, WaitingJob] = {}
        self.accelerators = 0
        self.groups_by_organisation: dict[str, dict[GroupKey, WaitingGroup]] = {}

    def add(self, job: WaitingJob) -> None:
        """Add the job to its group: first if older than the head, else last."""
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
        """Remove and return the job, or return None if it is not waiting."""
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
