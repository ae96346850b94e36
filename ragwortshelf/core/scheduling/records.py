"""Log records of jobs.

The topic is keyed: the newest record of each key is retained. A job has one record
for its specification, at most one for its cancellation, and one per unit that has
been placed. All claims of the scheduler's role share one key.

=============  ======================================  ======================
key            written by                              value
=============  ======================================  ======================
``j/ID``       the instance that accepted the job      specification
``c/ID``       the instance that was asked to cancel   wall-clock time
``u/ID/K/S/M`` the scheduler                           state of the unit
``k/ID/K/S/M`` the scheduler                           endpoints lost at its starts
``e/ID``       the scheduler                           incarnation of an endpoint
``l/ID``       the scheduler                           end of leases on an endpoint
``w/N``        the scheduler                           progress of a wave
``s/N``        the scheduler                           speeds of endpoints, one part
``i/NAME``     the instance itself                     readiness address
``f/SERVICE``  the scheduler                           capacity of the service
``term``       the scheduler                           claim or renewal
``clock``      the scheduler                           clock of the term
=============  ======================================  ======================
"""

from __future__ import annotations

from dataclasses import dataclass

from .model import Incarnation, JobSpec, Resources, UnitKey, UnitPhase

__all__ = [
    "CLOCK_KEY",
    "TERM_KEY",
    "EndpointForgotten",
    "EndpointObserved",
    "EndpointSpeed",
    "EndpointSpeeds",
    "InstanceAnnounced",
    "JobCancelled",
    "JobForgotten",
    "JobSubmitted",
    "LeasesEnd",
    "LeasesResumed",
    "Record",
    "ServiceCapacity",
    "Suspicion",
    "TaskCrashes",
    "TermClock",
    "TermHeld",
    "TermReport",
    "UnitCrashes",
    "UnitRecord",
    "UpkeepRecord",
]

TERM_KEY = "term"
CLOCK_KEY = "clock"


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A job was accepted. Further records of the same id are ignored."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller asked to cancel a job, which need not be known yet."""

    job_id: str
    wall_ms: int


@dataclass(frozen=True, slots=True)
class JobForgotten:
    """The records of a finished job were deleted."""

    job_id: str


@dataclass(frozen=True, slots=True)
class UnitRecord:
    """The state of a unit, written by the scheduler after each change.

    ``run`` is the number of the latest run, and ``failed_runs`` how many ended as
    failed, whether by the task's or the endpoint's fault. ``endpoints`` has, for each
    task, the id of the endpoint that it may occupy, or an empty string. A unit of which
    all starts were refused is WAITING, whatever the number of its run.
    """

    key: UnitKey
    term: int
    phase: UnitPhase
    run: int = 0
    failed_runs: int = 0
    endpoints: tuple[str, ...] = ()
    checkpoint: str = ""
    changed_wall_ms: int = 0

    @property
    def has_begun(self) -> bool:
        """Whether a task of the unit may have begun to run."""
        return self.phase is not UnitPhase.WAITING


@dataclass(frozen=True, slots=True)
class EndpointObserved:
    """The incarnation of an endpoint that answered last, so that a successor notices
    if another one has followed it."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointForgotten:
    """An endpoint has left and holds no runs."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class LeasesEnd:
    """The holder of the role extends no lease on an endpoint that is out of contact.

    Leases in the known incarnation have expired by ``end_ms``, and those in any by
    ``any_end_ms``, on the clock of the term. ``unlocated_runs`` are those that may be
    in an incarnation that is not known, as task and run number. The record holds until
    the endpoint's leases are resumed or a later term is claimed.
    """

    endpoint_id: str
    term: int
    end_ms: int
    any_end_ms: int
    unlocated_runs: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class TermReport:
    """A holder whose term has ended extends no lease, and knows when those expire.

    All leases extended in the term have expired ``left_ms`` after this record was
    encoded, and so after any read of it. ``left_ms_by_endpoint`` has those endpoints
    on which that is sooner, as id and time left. ``done_runs`` are the units that the
    holder saw done in their run of that number, which the log may not say. A later
    record of the same holder takes the place of this one.
    """

    holder: str
    term: int
    left_ms: int
    left_ms_by_endpoint: tuple[tuple[str, int], ...] = ()
    done_runs: tuple[tuple[UnitKey, int], ...] = ()


@dataclass(frozen=True, slots=True)
class LeasesResumed:
    """The holder of the role may extend leases on an endpoint again."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class EndpointSpeed:
    """What is believed of the speed of one incarnation of an endpoint.

    ``log_percent`` is the logarithm of the speed in hundredths, and ``precision`` that
    of what was observed, without the prior.
    """

    endpoint_id: str
    started_wall_ms: int
    log_percent: int
    precision: int


@dataclass(frozen=True, slots=True)
class EndpointSpeeds:
    """The speeds of the endpoints of one part, as of ``wall_ms``."""

    part: int
    wall_ms: int
    speeds: tuple[EndpointSpeed, ...]


@dataclass(frozen=True, slots=True)
class Suspicion:
    """An endpoint was lost at the start of some of a unit's tasks, given by index.

    It is open whether it crashed. The starts of ``confirmed`` were answered. Contact
    was lost at ``lost_wall_ms``.
    """

    incarnation: Incarnation
    indexes: tuple[int, ...]
    confirmed: tuple[int, ...]
    lost_wall_ms: int


@dataclass(frozen=True, slots=True)
class TaskCrashes:
    """How many endpoints crashed at the starts of one task of a unit.

    ``certain_count`` is without those that may have crashed before they received one.
    """

    index: int
    count: int
    certain_count: int


@dataclass(frozen=True, slots=True)
class UnitCrashes:
    """The endpoints that were lost at a unit's starts, written after each change.

    ``sole_crashes`` counts the crashes whose only known explanation is the unit.
    """

    key: UnitKey
    by_task: tuple[TaskCrashes, ...] = ()
    sole_crashes: int = 0
    suspected: tuple[Suspicion, ...] = ()


@dataclass(frozen=True, slots=True)
class TermHeld:
    """An instance claims, renews or resigns the scheduler's role.

    The term is the offset of the claim plus one. When it was renewed is for operators;
    a successor counts leases from its read of the record.
    """

    term: int
    holder: str
    renewed_wall_ms: int
    is_resigned: bool = False


@dataclass(frozen=True, slots=True)
class TermClock:
    """The clock of a term, as it was read before this record was first sent.

    It has counted milliseconds since the term's claim was sent, on the holder's clock
    that counts suspensions.
    """

    term: int
    clock_ms: int


@dataclass(frozen=True, slots=True)
class UpkeepRecord:
    """The hosts of a wave that have begun their upkeep, and whether all have."""

    wave: int
    begun: tuple[str, ...]
    is_completed: bool


@dataclass(frozen=True, slots=True)
class InstanceAnnounced:
    """An instance announces the address at which it reports its readiness."""

    name: str
    data_centre: str
    readiness_address: str
    announced_wall_ms: int


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """The resources of all usable endpoints of a service, published by the scheduler.

    Every instance forecasts from it how long a job would wait.
    """

    service: str
    term: int
    wall_ms: int
    capacity: Resources


Record = (
    EndpointForgotten
    | EndpointObserved
    | EndpointSpeeds
    | InstanceAnnounced
    | JobCancelled
    | JobForgotten
    | JobSubmitted
    | LeasesEnd
    | LeasesResumed
    | ServiceCapacity
    | TermClock
    | TermHeld
    | TermReport
    | UnitCrashes
    | UnitRecord
    | UpkeepRecord
)
