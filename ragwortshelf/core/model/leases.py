"""Leases granted by workers, and the state that a worker reports.

Only the worker itself decides who holds its accelerators. A lease belongs to one
attempt of one job, and the attempt number is its fencing token for that job. Once a
worker has fenced a job up to an attempt, it rejects every lease and start for that
attempt and earlier ones until its next boot.
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
    """The part of a group that is placed on one worker.

    ``accelerators`` are indices from 0 on that worker.
    """

    worker: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A request to one worker for a part of a group.

    ``label`` is the encoded record of the job, from which a new placer can rebuild its
    state without the log. ``ttl_ms`` counts from when the worker receives the request.
    The holder counts from before it sent the request, so its own deadline is never
    later than the worker's.
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
    """A lease as reported by a worker; ``remaining_ms`` is as of the answer.

    ``has_started`` stays True once any task of the lease was started. An ended lease
    stays listed with ``is_live`` False until it is released or the worker's retention
    of it expires, so that a placer can read how its tasks ended. ``checkpoint`` is the
    number of the newest complete checkpoint, or 0 if there is none.
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
    """The state of a worker as of one answer.

    ``boot_id`` changes whenever the worker loses its leases and fences. ``version``
    changes whenever a lease is granted, ends or changes its state, so that a reader can
    wait for the next change; it is empty if the worker does not support this.
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
