"""One worker's part of a gang, as its placer knows it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..model import Grant, JobSpec, TaskState
from ..model import WorkerState as WorkerReport
from .actions import FenceJob
from .events import Proof

__all__ = ["ENDED_BY_ITSELF", "Member", "canonical_grants", "deal_tasks"]

ENDED_BY_ITSELF = frozenset({TaskState.SUCCEEDED, TaskState.FAILED})
GOING = frozenset({TaskState.RUNNING, TaskState.THROTTLED})


@dataclass(slots=True)
class Member:
    """Mutable view of one lease of a gang.

    ``deadline_ms`` is the lease's deadline on our clock, never later than the
    worker's own. ``is_asked`` says that an answer is awaited, and no other message
    of the same stage is sent before ``retry_at_ms``.
    """

    grant: Grant
    lease_id: str
    boot_id: str
    tasks: tuple[int, ...]
    deadline_ms: int = 0
    asked_ms: int = 0
    is_asked: bool = False
    retry_at_ms: int = 0
    was_asked: bool = False
    is_held: bool = False
    is_started: bool = False
    is_done: bool = False
    is_lost: bool = False
    is_seen: bool = False
    lapsed_at_ms: int | None = None
    state: TaskState = TaskState.NOT_STARTED
    checkpoint: int = 0
    proof: Proof | None = None

    @property
    def worker(self) -> str:
        """Name of the worker."""
        return self.grant.worker

    def is_ready(self, now_ms: int) -> bool:
        """Whether the next message may be sent."""
        return not self.is_asked and now_ms >= self.retry_at_ms

    def ask(self, now_ms: int) -> None:
        """Note that a message is sent now."""
        self.is_asked = True
        self.was_asked = True
        self.asked_ms = now_ms

    def reset_asking(self) -> None:
        """Begin a stage with other messages."""
        self.is_asked = False
        self.is_done = False
        self.retry_at_ms = 0

    def fence(self, job_id: str, attempt: int, now_ms: int) -> FenceJob:
        """Return the action that fences this member."""
        self.ask(now_ms)
        return FenceJob(self.worker, job_id, attempt)

    def observe(self, report: WorkerReport, asked_ms: int) -> None:
        """Take over what the worker says of this lease."""
        self.is_seen = True
        self.lapsed_at_ms = None
        if report.boot_id != self.boot_id:
            self.is_lost = self.state not in ENDED_BY_ITSELF
            return
        lease = next(
            (item for item in report.leases if item.lease_id == self.lease_id), None
        )
        if lease is None:
            self.is_lost = self.state not in ENDED_BY_ITSELF
            return
        self.state = lease.task_state
        self.checkpoint = max(self.checkpoint, lease.checkpoint)
        self.is_started = self.is_started or lease.has_started
        self.deadline_ms = max(self.deadline_ms, asked_ms + lease.remaining_ms)
        is_ended = not lease.is_live or self.state is TaskState.STOPPED
        self.is_lost = is_ended and self.state not in ENDED_BY_ITSELF

    @property
    def is_going(self) -> bool:
        """Whether its tasks run, or ended well."""
        if self.is_lost:
            return False
        return self.state in GOING or self.state is TaskState.SUCCEEDED

    @property
    def is_proven_not_started(self) -> bool:
        """Whether the worker proved that no task of the gang started on it."""
        return (
            self.proof is not None
            and self.proof.boot_id == self.boot_id
            and not self.proof.has_started
        )

    def final_state(self, is_first_start: bool) -> TaskState:
        """Return how the tasks ended as far as known; an observed own end stays.

        A fence tells of the newest attempt that the worker remembers. That is this
        one if it is known to have started here, or if no other ever started.
        """
        if self.state in ENDED_BY_ITSELF:
            return self.state
        is_told = self.proof is not None and self.proof.boot_id == self.boot_id
        if is_told and (self.is_started or is_first_start):
            return self.proof.task_state
        return self.state

    @property
    def final_checkpoint(self) -> int:
        """The newest checkpoint known."""
        if self.proof is None or self.proof.boot_id != self.boot_id:
            return self.checkpoint
        return max(self.checkpoint, self.proof.checkpoint)


def canonical_grants(grants: Iterable[Grant]) -> tuple[Grant, ...]:
    """Return grants in the order in which every placer asks for them.

    Two placers that want overlapping groups meet first at the same worker, so one of
    them is refused before either holds what the other still needs.
    """
    return tuple(sorted(grants, key=lambda grant: (grant.worker, grant.accelerators)))


def deal_tasks(spec: JobSpec, grants: tuple[Grant, ...]) -> tuple[tuple[int, ...], ...]:
    """Deal the task numbers out over the grants in proportion to accelerators.

    >>> spec = JobSpec("j", "o", "dc", 3, tasks=3)
    >>> deal_tasks(spec, (Grant("w1", (0, 1)), Grant("w2", (0,))))
    ((0, 1), (2,))
    """
    total = sum(len(grant.accelerators) for grant in grants)
    dealt: list[tuple[int, ...]] = []
    first_accelerator = 0
    for grant in grants:
        last_accelerator = first_accelerator + len(grant.accelerators)
        # Task t sits on accelerator t * total // tasks.
        dealt.append(
            tuple(
                range(
                    -(-first_accelerator * spec.tasks // total),
                    -(-last_accelerator * spec.tasks // total),
                )
            )
        )
        first_accelerator = last_accelerator
    return tuple(dealt)
