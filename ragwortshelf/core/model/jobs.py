"""What a submitter states about a job, and the phases of its life."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .configuration import Adjacency

__all__ = ["JobPhase", "JobSpec", "Priority"]


class Priority(enum.IntEnum):
    """Order of service; a lower value is served first."""

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
        """Whether no later phase can follow."""
        return self in _FINAL_PHASES


_FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.NOT_RUN, JobPhase.INTERRUPTED})


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its submitter states it.

    ``accelerators`` is the size of the whole group and ``adjacency`` how close they
    have to be. ``tasks`` processes run in the group, dealt out over its accelerators.
    ``declared_run_ms`` and the memory are claims that may be far from the truth.
    ``submitted_wall_ms`` and ``deadline_wall_ms`` are milliseconds since the epoch,
    since jobs outlive the process that accepted them.
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
        """Whether it can be stopped and resumed without losing correctness."""
        return self.is_idempotent and self.is_checkpointable
