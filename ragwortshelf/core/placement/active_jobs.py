"""Jobs that hold accelerators, and their claims on the guarantee.

A *claim* is a set of accelerators in the region that the witness assigns to the job's
organisation (see `regions`). A job with a claim runs within the guarantee. It may run
on other accelerators, but it can always be placed on its claim, which never overlaps
another claim or non-reclaimable work of another organisation. A job that runs inside
the region claims the accelerators that it holds.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..model import Grant, JobSpec
from .pool import Pool

__all__ = ["Accelerator", "ActiveJob", "ActiveState", "ActiveJobs", "accelerators_of"]

Accelerator = tuple[str, int]


class ActiveState(enum.Enum):
    """Stage of a job to which accelerators are assigned."""

    PENDING = "pending"  # waits for reclaimed work to leave its accelerators
    HELD = "held"  # placed, and not yet reported as running
    RUNNING = "running"


@dataclass(slots=True)
class ActiveJob:
    """A job with its accelerators; times are in milliseconds.

    ``saved_ms`` is the time of its start or its last checkpoint: work done since then
    is lost when it is stopped. ``is_foreign`` marks the lease of a job that this
    scheduler does not know.
    """

    spec: JobSpec
    state: ActiveState
    grants: tuple[Grant, ...]
    waiting_since_ms: int = 0
    started_ms: int = 0
    saved_ms: int = 0
    checkpoint: int = 0
    claim: tuple[Grant, ...] = ()
    reclaim_deadline_ms: int | None = None
    pending_deadline_ms: int = 0
    is_foreign: bool = False

    @property
    def is_borrowed(self) -> bool:
        """Whether it runs beyond the guarantee of its organisation."""
        return not self.claim

    @property
    def can_be_stopped(self) -> bool:
        """Whether it is running, known here, and may be stopped and resumed."""
        return (
            self.state is ActiveState.RUNNING
            and self.spec.is_reclaimable
            and not self.is_foreign
        )

    def lost_accelerator_ms(self, now_ms: int) -> int:
        """Return the work lost if it is stopped now, in accelerator-milliseconds."""
        return max(0, now_ms - self.saved_ms) * self.spec.accelerators


def accelerators_of(grants: Iterable[Grant]) -> Iterator[Accelerator]:
    """Yield (worker, index) for each accelerator of the grants."""
    for grant in grants:
        for index in grant.accelerators:
            yield grant.worker, index


class ActiveJobs:
    """Active jobs by id, kept consistent with the pool, the claims and the targets.

    The targets of a pending job are the accelerators that it will receive.
    """

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.job_by_id: dict[str, ActiveJob] = {}
        self.claimant_by_accelerator: dict[Accelerator, str] = {}
        self.target_by_accelerator: dict[Accelerator, str] = {}
        self.held_by_organisation: dict[str, int] = {}
        self.claimed_by_organisation: dict[str, int] = {}
        self.pending_by_id: dict[str, ActiveJob] = {}

    def add(self, job: ActiveJob) -> tuple[str, ...]:
        """Count the job's accelerators as held; return the jobs displaced from them.

        A pending job receives only the free ones, and the others when `release` is
        called for their holders.
        """
        job_id = job.spec.job_id
        self.job_by_id[job_id] = job
        self._count(job, 1)
        if job.state is not ActiveState.PENDING:
            return self.pool.hold(job_id, job.grants)
        self.pending_by_id[job_id] = job
        for accelerator in accelerators_of(job.grants):
            self.target_by_accelerator[accelerator] = job_id
            self._hold_if_free(accelerator, job_id)
        return ()

    def release(self, job_id: str) -> ActiveJob | None:
        """Free the job's accelerators, or pass them on to pending jobs."""
        job = self.job_by_id.pop(job_id, None)
        if job is None:
            return None
        self._count(job, -1)
        self.set_claim(job, ())
        if self.pending_by_id.pop(job_id, None) is not None:
            for accelerator in accelerators_of(job.grants):
                if self.target_by_accelerator.get(accelerator) == job_id:
                    del self.target_by_accelerator[accelerator]
        self.pool.release(job_id, job.grants)
        for accelerator in accelerators_of(job.grants):
            pending_id = self.target_by_accelerator.get(accelerator)
            if pending_id is not None:
                self._hold_if_free(accelerator, pending_id)
        return job

    def set_claim(self, job: ActiveJob, claim: tuple[Grant, ...]) -> None:
        """Replace the claim of the job, and remove every claim that overlaps it."""
        job_id = job.spec.job_id
        for accelerator in accelerators_of(job.claim):
            if self.claimant_by_accelerator.get(accelerator) == job_id:
                del self.claimant_by_accelerator[accelerator]
        self._count_claim(job, -1)
        job.claim = ()
        for accelerator in accelerators_of(claim):
            previous = self.claimant_by_accelerator.get(accelerator)
            if previous is not None:
                self.set_claim(self.job_by_id[previous], ())
            self.claimant_by_accelerator[accelerator] = job_id
        job.claim = claim
        self._count_claim(job, 1)

    def restore_holds(self, worker: str) -> None:
        """Let jobs hold their accelerators again on a worker that has returned."""
        for job in self.job_by_id.values():
            if any(grant.worker == worker for grant in job.grants):
                for accelerator in accelerators_of(job.grants):
                    if accelerator[0] == worker:
                        self._hold_if_free(accelerator, job.spec.job_id)

    def holds_all_grants(self, job: ActiveJob) -> bool:
        """Return whether the job holds every accelerator of its grants."""
        workers = self.pool.workers_by_name
        return all(
            worker in workers and workers[worker].holder_by_index[index] == job_id
            for job_id in (job.spec.job_id,)
            for worker, index in accelerators_of(job.grants)
        )

    def mark_held(self, job: ActiveJob) -> None:
        """Mark a pending job as held; it must hold all its accelerators."""
        job.state = ActiveState.HELD
        del self.pending_by_id[job.spec.job_id]
        for accelerator in accelerators_of(job.grants):
            del self.target_by_accelerator[accelerator]

    def _hold_if_free(self, accelerator: Accelerator, job_id: str) -> None:
        name, index = accelerator
        worker = self.pool.workers_by_name.get(name)
        if worker is None or index >= worker.size:
            return
        if worker.holder_by_index[index] is None:
            self.pool.hold(job_id, (Grant(name, (index,)),))

    def _count_claim(self, job: ActiveJob, sign: int) -> None:
        name = job.spec.organisation
        count = sum(len(grant.accelerators) for grant in job.claim)
        claimed = self.claimed_by_organisation.get(name, 0)
        self.claimed_by_organisation[name] = claimed + sign * count

    def _count(self, job: ActiveJob, sign: int) -> None:
        name = job.spec.organisation
        held = self.held_by_organisation.get(name, 0) + sign * job.spec.accelerators
        self.held_by_organisation[name] = held
