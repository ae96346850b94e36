"""Encoding of the log records of jobs: a key, and a value in CBOR."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import astuple

import cbor2

from .model import Incarnation, JobSpec, Resources, Step, UnitKey, UnitPhase
from .records import (
    CLOCK_KEY,
    TERM_KEY,
    EndpointForgotten,
    EndpointObserved,
    EndpointSpeed,
    EndpointSpeeds,
    InstanceAnnounced,
    JobCancelled,
    JobForgotten,
    JobSubmitted,
    LeasesEnd,
    LeasesResumed,
    Record,
    ServiceCapacity,
    Suspicion,
    TaskCrashes,
    TermClock,
    TermHeld,
    TermReport,
    UnitCrashes,
    UnitRecord,
    UpkeepRecord,
)

__all__ = [
    "decode_record",
    "deletion_records",
    "encode_record",
    "job_id_of",
    "leases_key",
    "submission_key",
]


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
        case LeasesEnd(endpoint_id):
            return leases_key(endpoint_id), cbor2.dumps(astuple(record)[1:])
        case LeasesResumed(endpoint_id):
            return leases_key(endpoint_id), b""
        case TermReport(holder, term, left_ms, left_by_endpoint, done_runs):
            done = [(*key, run) for key, run in done_runs]
            fields = (term, left_ms, left_by_endpoint, done)
            return f"t/{holder}", cbor2.dumps(fields)
        case EndpointSpeeds(part, wall_ms, speeds):
            rows = [astuple(speed) for speed in speeds]
            return f"s/{part}", cbor2.dumps((wall_ms, rows))
        case TermHeld():
            return TERM_KEY, cbor2.dumps(astuple(record))
        case TermClock(term, clock_ms):
            return CLOCK_KEY, cbor2.dumps((term, clock_ms))
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
            case "l":
                return LeasesResumed(rest)
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
            case "l":
                term, end_ms, any_end_ms, runs, *_ = fields
                unlocated_runs = tuple((str(task), int(run)) for task, run, *_ in runs)
                return LeasesEnd(
                    rest, int(term), int(end_ms), int(any_end_ms), unlocated_runs
                )
            case "t":
                return _decode_report(rest, fields)
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
            case "clock":
                term, clock_ms, *_ = fields
                return TermClock(int(term), int(clock_ms))
            case "term":
                return TermHeld(*fields)
    except (LookupError, OverflowError, TypeError, ValueError, cbor2.CBORDecodeError):
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


def leases_key(endpoint_id: str) -> str:
    """Return the key of the record of the end of leases on an endpoint.

    >>> leases_key("e1")
    'l/e1'
    """
    return f"l/{endpoint_id}"


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


def _decode_report(holder: str, fields) -> TermReport:
    term, left_ms, rows, done, *_ = fields
    return TermReport(
        holder,
        int(term),
        int(left_ms),
        tuple((str(endpoint_id), int(left)) for endpoint_id, left, *_ in rows),
        tuple(
            (UnitKey(str(job_id), *map(int, indexes)), int(run))
            for job_id, *indexes, run in done
        ),
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
