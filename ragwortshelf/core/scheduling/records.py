"""Log records of jobs, and their encoding.

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
``w/N``        the scheduler                           progress of a wave
``s/N``        the scheduler                           speeds of endpoints, one part
``i/NAME``     the instance itself                     readiness address
``f/SERVICE``  the scheduler                           capacity of the service
``term``       the scheduler                           claim or renewal
=============  ======================================  ======================
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import astuple, dataclass

import cbor2

from .model import Incarnation, JobSpec, Resources, Step, UnitKey, UnitPhase

__all__ = [
    "TERM_KEY",
    "EndpointForgotten",
    "EndpointObserved",
    "EndpointSpeed",
    "EndpointSpeeds",
    "InstanceAnnounced",
    "JobCancelled",
    "JobForgotten",
    "JobSubmitted",
    "Record",
    "ServiceCapacity",
    "Suspicion",
    "TaskCrashes",
    "TermHeld",
    "UnitCrashes",
    "UnitRecord",
    "UpkeepRecord",
    "decode_record",
    "encode_record",
    "deletion_records",
    "job_id_of",
    "submission_key",
]

TERM_KEY = "term"


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
    task, the id of the endpoint that it may occupy, or an empty string.
    """

    key: UnitKey
    term: int
    phase: UnitPhase
    run: int = 0
    failed_runs: int = 0
    endpoints: tuple[str, ...] = ()
    checkpoint: str = ""
    changed_wall_ms: int = 0


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

    The term is the offset of the claim plus one. From ``renewed_wall_ms`` a successor
    bounds how long leases granted by the holder can last.
    """

    term: int
    holder: str
    renewed_wall_ms: int
    is_resigned: bool = False


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
    | ServiceCapacity
    | TermHeld
    | UnitCrashes
    | UnitRecord
    | UpkeepRecord
)


def encode_record(record: Record) -> tuple[str, bytes]:
    """Return the key and the value of a record."""
    match record:
        case JobSubmitted(spec):
            fields = (
                spec.queue,
                spec.service,
                spec.organisation,
                spec.text,
                [_encode_step(step) for step in spec.steps],
                spec.accepted_wall_ms,
                spec.occurrences,
                spec.first_run_wall_ms,
                spec.interval_ms,
                spec.attempts_max,
            )
            return submission_key(spec.id), cbor2.dumps(fields)
        case JobCancelled(job_id, wall_ms):
            return f"c/{job_id}", cbor2.dumps(wall_ms)
        case UnitRecord():
            return _unit_key(record.key), cbor2.dumps(
                (
                    record.term,
                    int(record.phase),
                    record.run,
                    record.failed_runs,
                    record.endpoints,
                    record.checkpoint,
                    record.changed_wall_ms,
                )
            )
        case UnitCrashes():
            fields = astuple(record)[1:]
            return _unit_key(record.key, "k"), cbor2.dumps(fields)
        case EndpointObserved(incarnation):
            fields = (incarnation.address, incarnation.started_wall_ms)
            return f"e/{incarnation.endpoint_id}", cbor2.dumps(fields)
        case EndpointForgotten(endpoint_id):
            return f"e/{endpoint_id}", b""
        case EndpointSpeeds(part, wall_ms, speeds):
            rows = [astuple(speed) for speed in speeds]
            return f"s/{part}", cbor2.dumps((wall_ms, rows))
        case TermHeld():
            return TERM_KEY, cbor2.dumps(astuple(record))
        case JobForgotten(job_id):
            return f"j/{job_id}", b""
        case UpkeepRecord(wave, begun, is_completed):
            return f"w/{wave}", cbor2.dumps((begun, is_completed))
        case ServiceCapacity(service, term, wall_ms, capacity):
            fields = (term, wall_ms, *astuple(capacity))
            return f"f/{service}", cbor2.dumps(fields)
        case InstanceAnnounced(name, data_centre, address, wall_ms):
            return f"i/{name}", cbor2.dumps((data_centre, address, wall_ms))


def decode_record(key: str, value: bytes) -> Record | None:
    """Return the record, or None if it is not needed or cannot be decoded.

    Deleted units and cancellations yield no record, as their job's specification is
    deleted with them.
    """
    kind, _, rest = key.partition("/")
    if not value:
        match kind:
            case "j":
                return JobForgotten(rest)
            case "e":
                return EndpointForgotten(rest)
        return None
    try:
        fields = cbor2.loads(value)
        match kind:
            case "j":
                return JobSubmitted(_decode_spec(rest, fields))
            case "c":
                return JobCancelled(rest, int(fields))
            case "u":
                return _decode_unit(rest, fields)
            case "k":
                return _decode_crashes(rest, fields)
            case "e":
                address, started_wall_ms, *_ = fields
                return EndpointObserved(
                    Incarnation(rest, str(address), int(started_wall_ms))
                )
            case "s":
                wall_ms, rows, *_ = fields
                speeds = tuple(
                    EndpointSpeed(str(row[0]), *map(int, row[1:4])) for row in rows
                )
                return EndpointSpeeds(int(rest), int(wall_ms), speeds)
            case "w":
                return UpkeepRecord(int(rest), tuple(fields[0]), bool(fields[1]))
            case "i":
                return InstanceAnnounced(rest, *fields)
            case "f":
                term, wall_ms, cpu_milli, memory_mb, gpus, *_ = map(int, fields)
                capacity = Resources(cpu_milli, memory_mb, gpus)
                return ServiceCapacity(rest, term, wall_ms, capacity)
            case "term":
                return TermHeld(*fields)
    except (ValueError, TypeError, IndexError, cbor2.CBORDecodeError):
        return None
    return None


def deletion_records(
    job_id: str, units: Iterable[UnitKey], crashed_units: Iterable[UnitKey] = ()
) -> list[tuple[str, bytes]]:
    """Return the keys of a job's records with empty values, which delete them.

    ``crashed_units`` are those with a record of the endpoints lost at their starts.
    """
    keys = [_unit_key(unit) for unit in units]
    keys += [_unit_key(unit, "k") for unit in crashed_units]
    return [(key, b"") for key in (*keys, f"c/{job_id}", submission_key(job_id))]


def submission_key(job_id: str) -> str:
    """Return the key of the record with which a job was submitted.

    >>> submission_key("a1")
    'j/a1'
    """
    return f"j/{job_id}"


def job_id_of(record: JobSubmitted | JobCancelled | JobForgotten | UnitRecord) -> str:
    """Return the id of the job that a record belongs to."""
    match record:
        case JobSubmitted(spec):
            return spec.id
        case UnitRecord():
            return record.key.job_id
    return record.job_id


def _unit_key(key: UnitKey, kind: str = "u") -> str:
    return f"{kind}/{key.job_id}/{key.occurrence}/{key.step}/{key.member}"


def _parse_unit_key(rest: str) -> UnitKey:
    job_id, occurrence, step, member = rest.split("/")
    return UnitKey(job_id, int(occurrence), int(step), int(member))


def _decode_crashes(rest: str, fields) -> UnitCrashes:
    by_task, sole_crashes, suspected, *_ = fields
    return UnitCrashes(
        _parse_unit_key(rest),
        tuple(TaskCrashes(*map(int, task[:3])) for task in by_task),
        int(sole_crashes),
        tuple(map(_decode_suspicion, suspected)),
    )


def _decode_suspicion(fields) -> Suspicion:
    (endpoint_id, address, started_wall_ms, *_), indexes, confirmed, lost, *_ = fields
    return Suspicion(
        Incarnation(str(endpoint_id), str(address), int(started_wall_ms)),
        tuple(map(int, indexes)),
        tuple(map(int, confirmed)),
        int(lost),
    )


def _decode_unit(rest: str, fields) -> UnitRecord:
    term, phase, run, failed, endpoints, checkpoint, changed = fields
    return UnitRecord(
        _parse_unit_key(rest),
        term,
        UnitPhase(phase),
        run,
        failed,
        tuple(endpoints),
        checkpoint,
        changed,
    )


def _encode_step(step: Step) -> list:
    request = step.request
    return [
        step.count,
        [request.cpu_milli, request.memory_mb, request.gpus],
        step.estimate_ms,
        step.depends_on,
        _encode_flags(step),
        step.required_label,
        step.preferred_rack,
        step.tasks_per_endpoint_max,
        step.image,
        step.tail_target_ms,
        step.unavailable_max,
    ]


_FLAG_FIELDS = (
    "is_gang",
    "is_rack_sensitive",
    "is_checkpointing",
    "is_speculative",
    "is_long_running",
    "fills",
)


def _encode_flags(step: Step) -> int:
    return sum(1 << i for i, name in enumerate(_FLAG_FIELDS) if getattr(step, name))


def _decode_step(fields) -> Step:
    (
        count,
        request,
        estimate,
        depends_on,
        flags,
        label,
        rack,
        per_endpoint_max,
        *rest,
    ) = fields
    image, target, unavailable_max = rest
    return Step(
        count=count,
        request=Resources(*request),
        estimate_ms=estimate,
        depends_on=tuple(depends_on),
        required_label=label,
        preferred_rack=rack,
        tasks_per_endpoint_max=per_endpoint_max,
        image=image,
        tail_target_ms=target,
        unavailable_max=unavailable_max,
        **{name: bool(flags >> i & 1) for i, name in enumerate(_FLAG_FIELDS)},
    )


def _decode_spec(job_id: str, fields) -> JobSpec:
    queue, service, organisation, text, steps, accepted, *times = fields
    decoded = tuple(_decode_step(step) for step in steps)
    return JobSpec(
        job_id, queue, service, organisation, text, decoded, accepted, *times
    )
