"""Actions that the scheduler requests of its caller, and the statuses it reports.

Every action carries the `Decision` to be written to the decision log.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..model import Decision, Grant, JobSpec, Reason, Shape

__all__ = [
    "Action",
    "GuaranteeStatus",
    "Move",
    "Place",
    "Probe",
    "Reclaim",
    "Reject",
    "WorkerCondition",
    "WorkerStatus",
]


@dataclass(frozen=True, slots=True)
class Place:
    """Lease ``grants`` for the whole group of ``spec`` and start it.

    The `DataCentreScheduler` counts the accelerators as held until it is told the
    result by its method `set_running`, `placement_failed` or `remove`.
    ``is_borrowed`` is true if the job runs beyond the guarantee of its organisation.
    ``checkpoint`` is the newest complete checkpoint to resume from, 0 if there is none.
    """

    spec: JobSpec
    grants: tuple[Grant, ...]
    is_borrowed: bool
    decision: Decision
    checkpoint: int = 0


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Checkpoint ``job_id`` and stop it by ``deadline_ms``.

    Its accelerators are freed for ``for_job_id``. When the job has stopped, call
    `DataCentreScheduler.remove`, and then `add_waiting` with its checkpoint, so that it
    is queued again.
    """

    job_id: str
    for_job_id: str
    deadline_ms: int
    decision: Decision


@dataclass(frozen=True, slots=True)
class Move:
    """Checkpoint and stop ``job_id`` by ``deadline_ms``, to place it elsewhere.

    It is carried out like `Reclaim`, but serves to reduce fragmentation of the free
    accelerators. ``for_job_id`` is empty if no particular job is to use them.
    """

    job_id: str
    for_job_id: str
    deadline_ms: int
    decision: Decision


@dataclass(frozen=True, slots=True)
class Reject:
    """End the waiting job ``job_id`` for ``reason``.

    With ``NEVER_FITS`` no configured data centre can hold its group. With
    ``FAILS_EVERYWHERE`` it has run and failed, so the caller must not report it as
    never run.
    """

    job_id: str
    reason: Reason
    detail: str
    decision: Decision


@dataclass(frozen=True, slots=True)
class Probe:
    """Test the quarantined ``worker``.

    Report the result to `DataCentreScheduler.probe_ended`.
    """

    worker: str
    decision: Decision


Action = Place | Reclaim | Move | Reject | Probe


@dataclass(frozen=True, slots=True)
class GuaranteeStatus:
    """Whether one guaranteed shape is obtainable now, and in ``detail`` why not."""

    organisation: str
    shape: Shape
    is_met: bool
    detail: str = ""


class WorkerCondition(enum.StrEnum):
    """Whether a worker receives new jobs, and if not, why."""

    USABLE = "usable"
    UNUSABLE = "unusable"
    BACKING_OFF = "backing_off"
    QUARANTINED = "quarantined"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """Capacity and condition of one worker, for operators."""

    worker: str
    rack: str
    accelerators: int
    free_accelerators: int
    condition: WorkerCondition
    reason: str = ""
