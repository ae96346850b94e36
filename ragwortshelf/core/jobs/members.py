"""Members of a gang: one worker with its lease and tasks."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..model import Grant, JobSpec, TaskState
from ..model import WorkerState as WorkerReport
from .actions import FenceJob
from .events import Proof

__all__ = ["EXITED_STATES", "GangMember", "canonical_grants", "split_tasks"]

EXITED_STATES = frozenset({TaskState.SUCCEEDED, TaskState.FAILED})
RUNNING_STATES = frozenset({TaskState.RUNNING, TaskState.THROTTLED})


@dataclass(slots=True)
class GangMember:
    """Mutable state of one worker's lease in a gang, as its placer knows it.

    ``deadline_ms`` is the lease's deadline on the placer's clock, never later than on
    the worker's. ``is_awaiting_answer`` says that a request is unanswered; after the
    answer no other request of the same stage is sent before ``retry_at_ms``.
    ``is_checkpointed`` says that the member has written the checkpoint requested before
    the gang stops. ``lapsed_at_ms`` is when the lease was first found past its
    deadline.
    """

    grant: Grant
    lease_id: str
    boot_id: str
    tasks: tuple[int, ...]
    deadline_ms: int = 0
    requested_ms: int = 0
    is_awaiting_answer: bool = False
    retry_at_ms: int = 0
    was_requested: bool = False
    is_leased: bool = False
    is_started: bool = False
    is_checkpointed: bool = False
    is_lost: bool = False
    is_observed: bool = False
    lapsed_at_ms: int | None = None
    state: TaskState = TaskState.NOT_STARTED
    checkpoint: int = 0
    proof: Proof | None = None

    @property
    def worker(self) -> str:
        """Name of the worker."""
        return self.grant.worker

    def is_ready(self, now_ms: int) -> bool:
        """Whether the next request may be sent."""
        return not self.is_awaiting_answer and now_ms >= self.retry_at_ms

    def mark_requested(self, now_ms: int) -> None:
        """Record that a request is made now."""
        self.is_awaiting_answer = True
        self.was_requested = True
        self.requested_ms = now_ms

    def reset_requests(self) -> None:
        """Forget the state of requests, since a new stage begins."""
        self.is_awaiting_answer = False
        self.is_checkpointed = False
        self.retry_at_ms = 0

    def fence(self, job_id: str, attempt: int, now_ms: int) -> FenceJob:
        """Return the action that fences this member."""
        self.mark_requested(now_ms)
        return FenceJob(self.worker, job_id, attempt)

    def observe(self, report: WorkerReport, requested_ms: int) -> None:
        """Update this member from the worker's report."""
        self.is_observed = True
        self.lapsed_at_ms = None
        if report.boot_id != self.boot_id:
            self.is_lost = self.state not in EXITED_STATES
            return
        lease = next(
            (item for item in report.leases if item.lease_id == self.lease_id), None
        )
        if lease is None:
            self.is_lost = self.state not in EXITED_STATES
            return
        self.state = lease.task_state
        self.checkpoint = max(self.checkpoint, lease.checkpoint)
        self.is_started = self.is_started or lease.has_started
        self.deadline_ms = max(self.deadline_ms, requested_ms + lease.remaining_ms)
        is_ended = not lease.is_live or self.state is TaskState.STOPPED
        self.is_lost = is_ended and self.state not in EXITED_STATES

    @property
    def is_running_or_succeeded(self) -> bool:
        """Whether the tasks are running or have succeeded."""
        if self.is_lost:
            return False
        return self.state in RUNNING_STATES or self.state is TaskState.SUCCEEDED

    @property
    def is_proven_not_started(self) -> bool:
        """Whether the fence proves that no task of the gang started on the worker."""
        return (
            self.proof is not None
            and self.proof.boot_id == self.boot_id
            and not self.proof.has_started
        )

    def final_state(self, is_first_start: bool) -> TaskState:
        """Return the last known state of the tasks.

        An observed success or failure takes precedence over the fence's answer. That
        answer describes the newest attempt that the worker remembers, which is this one
        if it is known to have started here, or if no earlier attempt ever started.
        """
        if self.state in EXITED_STATES:
            return self.state
        has_valid_proof = self.proof is not None and self.proof.boot_id == self.boot_id
        if has_valid_proof and (self.is_started or is_first_start):
            return self.proof.task_state
        return self.state

    @property
    def final_checkpoint(self) -> int:
        """The newest checkpoint known from reports or from the fence."""
        if self.proof is None or self.proof.boot_id != self.boot_id:
            return self.checkpoint
        return max(self.checkpoint, self.proof.checkpoint)


def canonical_grants(grants: Iterable[Grant]) -> tuple[Grant, ...]:
    """Return grants in the order in which every placer requests their leases.

    Since all use the same order, two placers that want overlapping groups compete for
    the same worker first. One of them is refused there, before either holds a lease
    that the other still needs.
    """
    return tuple(sorted(grants, key=lambda grant: (grant.worker, grant.accelerators)))


def split_tasks(
    spec: JobSpec, grants: tuple[Grant, ...]
) -> tuple[tuple[int, ...], ...]:
    """Distribute task numbers over the grants in proportion to their accelerators.

    >>> spec = JobSpec("j", "o", "dc", 3, tasks=3)
    >>> split_tasks(spec, (Grant("w1", (0, 1)), Grant("w2", (0,))))
    ((0, 1), (2,))
    """
    total = sum(len(grant.accelerators) for grant in grants)
    tasks_by_grant: list[tuple[int, ...]] = []
    first_accelerator = 0
    for grant in grants:
        last_accelerator = first_accelerator + len(grant.accelerators)
        # Task t belongs to accelerator t * total // tasks.
        tasks_by_grant.append(
            tuple(
                range(
                    -(-first_accelerator * spec.tasks // total),
                    -(-last_accelerator * spec.tasks // total),
                )
            )
        )
        first_accelerator = last_accelerator
    return tuple(tasks_by_grant)
