"""Leases that workers grant, and what a worker reports of itself.

A worker is the only arbiter of who holds its accelerators. A lease belongs to one
attempt of one job; the attempt number is its fencing token for that job. Once a
worker has fenced a job up to an attempt it refuses every lease and start for that
attempt and those before it, for as long as its boot lasts.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Grant", "Lease", "LeaseRequest", "TaskState", "WorkerState"]


class TaskState(enum.StrEnum):
    """State of the tasks of one lease on one worker."""

    NOT_STARTED = "not_started"
    RUNNING = "running"
    THROTTLED = "throttled"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Grant:
    """The part of a group that sits on one worker.

    ``accelerators`` are indices from 0 on that worker.
    """

    worker: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks one worker for a part of a group.

    ``label`` is the encoded record of the job, from which a new placer rebuilds its
    state without the log. ``ttl_ms`` counts from the worker's receipt; the holder
    stores a deadline counted from before it asked.
    """

    job_id: str
    attempt: int
    holder: str
    accelerators: tuple[int, ...]
    ttl_ms: int
    label: bytes

    @property
    def lease_id(self) -> str:
        """Key of the lease: job, attempt and holder."""
        return f"{self.job_id}/{self.attempt}/{self.holder}"


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease as a worker lists it; ``remaining_ms`` is as of the answer.

    ``has_started`` stays True once any task of the lease was started. A lease that
    has ended stays listed with ``is_live`` False until it is forgotten by ``release``
    or the worker's retention, so that a placer reads how its tasks ended.
    ``checkpoint`` is the number of the newest whole checkpoint, 0 being none.
    """

    job_id: str
    attempt: int
    holder: str
    accelerators: tuple[int, ...]
    remaining_ms: int
    label: bytes
    task_state: TaskState
    has_started: bool
    checkpoint: int
    is_live: bool = True

    @property
    def lease_id(self) -> str:
        """Key of the lease: job, attempt and holder."""
        return f"{self.job_id}/{self.attempt}/{self.holder}"


@dataclass(frozen=True, slots=True)
class WorkerState:
    """Everything that one worker reports in one answer.

    ``boot_id`` changes whenever the worker forgets its leases and fences. ``version``
    changes with every grant, end or change of state of a lease, so that a reader can
    wait for the next change; it is empty if the worker has none to offer.
    """

    worker: str
    boot_id: str
    data_centre: str
    rack: str
    accelerators: int
    cores: int
    memory_bytes: int
    leases: tuple[Lease, ...]
    version: str = ""
