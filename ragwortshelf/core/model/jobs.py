"""The specification of a job by its submitter, and the phases of its life cycle."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .configuration import Adjacency

__all__ = ["JobPhase", "JobSpec", "Priority"]


class Priority(enum.IntEnum):
    """Scheduling priority; a lower value is served first."""

    URGENT = 0
    NORMAL = 1
    LOW = 2


class JobPhase(enum.StrEnum):
    """Phases of a job; the last three are final."""

    ACCEPTED = "accepted"
    LEASED = "leased"
    STARTED = "started"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    INTERRUPTED = "interrupted"

    @property
    def is_final(self) -> bool:
        """Whether no other phase can follow."""
        return self in _FINAL_PHASES


_FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.NOT_RUN, JobPhase.INTERRUPTED})


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as specified by its submitter.

    ``accelerators`` is the size of the whole group and ``adjacency`` the unit that must
    contain it. ``tasks`` processes run in the group, distributed over its accelerators.
    ``declared_run_ms`` and ``declared_memory_bytes`` are estimates that may be far off.
    ``submitted_wall_ms`` and ``deadline_wall_ms`` are in milliseconds since the epoch,
    not on a monotonic clock, since jobs outlive the process that accepted them.
    """

    job_id: str
    organisation: str
    home_data_centre: str
    accelerators: int
    adjacency: Adjacency = Adjacency.DATA_CENTRE
    kind: str = "default"
    priority: Priority = Priority.NORMAL
    is_idempotent: bool = False
    is_checkpointable: bool = False
    tasks: int = 1
    declared_run_ms: int = 0
    declared_memory_bytes: int = 0
    submitted_wall_ms: int = 0
    deadline_wall_ms: int | None = None
    command: str = ""

    @property
    def is_reclaimable(self) -> bool:
        """Whether the job can be stopped and resumed without affecting correctness."""
        return self.is_idempotent and self.is_checkpointable
