"""What the scheduler asks its caller to do, and the statuses that it reports.

Every action carries the `Decision` that goes to the decision log.
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

    The accelerators count as held until `Scheduler.set_running`,
    `Scheduler.placement_failed` or `Scheduler.remove`. ``is_borrowed`` says that the
    job runs beyond the guarantee of its organisation. ``checkpoint`` is the newest
    whole checkpoint to go on from, 0 being none.
    """

    spec: JobSpec
    grants: tuple[Grant, ...]
    is_borrowed: bool
    decision: Decision
    checkpoint: int = 0


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Checkpoint ``job_id``, and stop it by ``deadline_ms`` at the latest.

    When it has stopped, call `Scheduler.remove` and then `Scheduler.add_waiting`
    with its checkpoint, so that it waits again.
    """

    job_id: str
    for_job_id: str
    deadline_ms: int
    decision: Decision


@dataclass(frozen=True, slots=True)
class Move:
    """Checkpoint and stop ``job_id`` by ``deadline_ms`` so that it is placed again.

    It differs from `Reclaim` only in purpose: the job moves to let its accelerators
    join other free ones; ``for_job_id`` is empty if that is for no job in particular.
    """

    job_id: str
    for_job_id: str
    deadline_ms: int
    decision: Decision


@dataclass(frozen=True, slots=True)
class Reject:
    """End ``job_id``, which waits, for ``reason``.

    With ``NEVER_FITS`` nothing can hold its group here. With ``FAILS_EVERYWHERE`` it
    has run and failed, so the caller must not report it as not run.
    """

    job_id: str
    reason: Reason
    detail: str
    decision: Decision


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask ``worker`` whether it works; answer with `Scheduler.probe_ended`."""

    worker: str
    decision: Decision


Action = Place | Reclaim | Move | Reject | Probe


@dataclass(frozen=True, slots=True)
class GuaranteeStatus:
    """Whether one shape of an organisation can be had at once, and if not why."""

    organisation: str
    shape: Shape
    is_met: bool
    detail: str = ""


class WorkerCondition(enum.StrEnum):
    """Whether a worker receives jobs."""

    USABLE = "usable"
    UNUSABLE = "unusable"
    BACKING_OFF = "backing_off"
    QUARANTINED = "quarantined"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """One worker as the scheduler sees it."""

    worker: str
    rack: str
    accelerators: int
    free_accelerators: int
    condition: WorkerCondition
    reason: str = ""
