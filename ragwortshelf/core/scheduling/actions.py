"""Actions that the scheduler returns for the surrounding process to carry out."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..advice import OpenQuestion
from .model import UnitKey
from .records import (
    EndpointForgotten,
    EndpointObserved,
    EndpointSpeeds,
    LeasesEnd,
    LeasesResumed,
    UnitCrashes,
    UnitRecord,
)
from .task_placement import RunStage

__all__ = [
    "Action",
    "AskAdvice",
    "EvacuationChange",
    "ReportEvacuation",
    "ReportExclusion",
    "ReportOverdueRun",
    "ReportPlanningFault",
    "PaceTask",
    "PersistEvidence",
    "PersistUnit",
    "ReportCrash",
    "ReportSpeed",
    "StartTask",
    "StopTask",
]


@dataclass(frozen=True, slots=True)
class PersistUnit:
    """Append a unit's record to the log before sending the starts that follow it.

    ``slack_ms`` is how much longer the unit could have waited and still be on time, and
    ``estimate_ms`` its expected run time; both are None unless the record places the
    unit. ``accelerators`` is the number that all
    tasks of the unit request. ``ended_on`` is the endpoint of the run that ended, empty
    unless the record was written because of that. ``share`` and ``fair_share`` are the
    organisation's once the unit is placed, as parts of the service's capacity; None if
    everything fitted.
    """

    record: UnitRecord
    reason: str
    slack_ms: int | None = None
    estimate_ms: int | None = None
    accelerators: int = 0
    ended_on: str = ""
    share: float | None = None
    fair_share: float | None = None


@dataclass(frozen=True, slots=True)
class PersistEvidence:
    """Append what was observed of an endpoint, or of a unit whose endpoint was lost.

    A successor needs it to tell crashed endpoints, and who caused that. It precedes the
    starts that follow it, as the records of units do.
    """

    record: (
        EndpointForgotten
        | EndpointObserved
        | EndpointSpeeds
        | LeasesEnd
        | LeasesResumed
        | UnitCrashes
    )
    reason: str


@dataclass(frozen=True, slots=True)
class StartTask:
    """Order an endpoint to start a run of a task.

    ``text`` is that of the job. The run resumes from ``checkpoint`` unless it is empty.
    ``ticket`` is the policy service's approval, or empty if none is needed.
    """

    endpoint_id: str
    unit_key: UnitKey
    task: str
    run: int
    text: str
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Order an endpoint to stop a run, and to refuse a later start of the same run.

    ``claimant_job_id`` is the job that gets the room; empty if it is stopped for none.
    """

    endpoint_id: str
    task: str
    run: int
    reason: str
    claimant_job_id: str = ""


@dataclass(frozen=True, slots=True)
class PaceTask:
    """Order an endpoint to throttle a run to ``percent`` of its full pace."""

    endpoint_id: str
    task: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Put a question to the policy service."""

    question: OpenQuestion


@dataclass(frozen=True, slots=True)
class ReportExclusion:
    """Report to operators that an endpoint gets nothing new for ``length_ms``."""

    endpoint_id: str
    length_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReportCrash:
    """Report to operators that an endpoint has crashed, and who may have caused it.

    ``is_replaced`` is set if another endpoint now has its address, ``has_other_cause``
    if others were lost with it whose runs do not explain it.
    """

    endpoint_id: str
    is_replaced: bool
    has_other_cause: bool
    suspects: tuple[UnitKey, ...]


class EvacuationChange(enum.Enum):
    """What has changed about the evacuation of a data centre.

    It is EMPTIED when the last run there has ended.
    """

    REQUESTED = "requested"
    EMPTIED = "emptied"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class ReportEvacuation:
    """Report a change of an evacuation to operators.

    ``endpoints`` and ``runs`` are those in the data centre when it is REQUESTED, and
    ``age_ms`` is the age of the request at the other changes; otherwise None.
    """

    change: EvacuationChange
    data_centre: str
    endpoints: int | None = None
    runs: int | None = None
    age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ReportSpeed:
    """Report to operators that the class of an endpoint's speed has changed."""

    endpoint_id: str
    speed_class: str
    speed: float
    error: float


@dataclass(frozen=True, slots=True)
class ReportPlanningFault:
    """Report an unexpected error in planning one unit, which then waits for a while."""

    unit_key: UnitKey
    error: Exception


class WaitCause(enum.Enum):
    """Why a unit does not run although most of its service is idle.

    It is DELAYED after a refusal or a quick failure. It waits because it or another
    unit of its job is suspected of crashing endpoints (CRASH_SUSPECTED), for the end of
    a run that is being stopped (STOPPING) or on an endpoint that does not answer
    (OUT_OF_CONTACT), for the answer to a start (STARTING), or for an answer of the
    policy service (ADVICE). That service may allow the step on no endpoint
    (ADVICE_DENIED), or take longer to answer than its tickets are valid (ADVICE_LATE).
    Or the unit would fit if the room were not reserved for others (RESERVED), if it did
    not wait for one rack (RACK), or if no endpoint were suspected (ENDPOINTS). A unit
    that would be placed by the next plan is READY.
    """

    ADVICE = "advice"
    ADVICE_DENIED = "advice_denied"
    ADVICE_LATE = "advice_late"
    CRASH_SUSPECTED = "crash_suspected"
    DELAYED = "delayed"
    ENDPOINTS = "endpoints"
    NO_ROOM = "no_room"
    OUT_OF_CONTACT = "out_of_contact"
    RACK = "rack"
    READY = "ready"
    RESERVED = "reserved"
    STARTING = "starting"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class ReservationHold:
    """A reservation that denies its room to another unit until ``until_ms``."""

    holder: UnitKey
    until_ms: int
    is_exclusive: bool


@dataclass(frozen=True, slots=True)
class ReportIdleWait:
    """Report that a unit has waited for ``waited_ms`` on a service that is mostly idle.

    It stands for all units of its step that wait. ``endpoint_ids`` are the endpoints of
    its runs that do not answer, and ``reserved_by`` what keeps it out of reserved room.
    ``idle_since_ms`` is since when the service counts as idle, if it does.
    """

    unit_key: UnitKey
    cause: WaitCause
    waited_ms: int
    endpoint_ids: tuple[str, ...] = ()
    reserved_by: tuple[ReservationHold, ...] = ()
    idle_since_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ReportOverdueRun:
    """Report a run that takes far longer than expected, and what is known of it.

    Its start was ordered ``age_ms`` ago, and ``estimate_ms`` were expected;
    ``is_resumed`` is set if it had a checkpoint to resume from. ``is_listed`` is set if
    the endpoint's latest listing, which is ``listing_age_ms`` old, shows it as running;
    None if there is none in this term. ``progress_percent`` is its progress as listed
    last, which the listings have shown unchanged for ``without_progress_ms``, and
    ``remaining_ms`` is how much longer it is expected to run.
    """

    endpoint_id: str
    task: str
    run: int
    stage: RunStage
    age_ms: int
    estimate_ms: int
    is_resumed: bool
    is_reachable: bool
    is_listed: bool
    listing_age_ms: int | None
    progress_percent: float
    without_progress_ms: int
    remaining_ms: int


Action = (
    AskAdvice
    | PersistEvidence
    | ReportCrash
    | ReportEvacuation
    | ReportExclusion
    | ReportIdleWait
    | ReportOverdueRun
    | ReportPlanningFault
    | ReportSpeed
    | PaceTask
    | PersistUnit
    | StartTask
    | StopTask
)
