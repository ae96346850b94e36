"""The state of all jobs, folded from the records of the log.

Every instance keeps a table, so that each can answer for any job. The fold is
idempotent, so that records may be read again after a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterator

from .backlog import Backlog
from .calibration import EstimateCalibration
from .model import Incarnation, JobSpec, JobState, UnitKey, UnitPhase
from .records import (
    EndpointForgotten,
    EndpointObserved,
    EndpointSpeeds,
    InstanceAnnounced,
    JobCancelled,
    JobForgotten,
    JobSubmitted,
    LeasesEnd,
    LeasesResumed,
    Record,
    ServiceCapacity,
    TermHeld,
    TermReport,
    UnitCrashes,
    UnitRecord,
    UpkeepRecord,
)

__all__ = ["Job", "JobTable"]

_TERMINAL_PHASES = (UnitPhase.DONE, UnitPhase.FAILED)
_OCCUPYING_PHASES = (UnitPhase.PLACED, UnitPhase.ENDING)


class Job:
    """A job and the newest record of each of its units.

    ``occupying_by_key`` has those of the units that are placed or being stopped. All
    occurrences before ``first_open_occurrence`` are done.
    Run times of its units are added to ``calibration``.
    """

    __slots__ = (
        "_backlog",
        "_begun_unit_count",
        "_calibration",
        "_open_unit_count",
        "_open_units_by_occurrence",
        "_open_units_by_step",
        "_units_per_occurrence",
        "ended_wall_ms",
        "failed_unit",
        "first_open_occurrence",
        "is_cancelled",
        "occupying_by_key",
        "record_by_key",
        "spec",
    )

    def __init__(
        self, spec: JobSpec, backlog: Backlog, calibration: EstimateCalibration
    ):
        self.spec = spec
        self._backlog = backlog
        backlog.open_job(spec)
        self._calibration = calibration
        self.is_cancelled = False
        self._begun_unit_count = 0
        self.failed_unit: UnitKey | None = None
        self.ended_wall_ms: int | None = None
        self.record_by_key: dict[UnitKey, UnitRecord] = {}
        self.occupying_by_key: dict[UnitKey, UnitRecord] = {}
        self.first_open_occurrence = 0
        self._units_per_occurrence = sum(len(step.members) for step in spec.steps)
        self._open_unit_count = spec.occurrence_count * self._units_per_occurrence
        # Of the occurrences of which a unit is done, and of their steps.
        self._open_units_by_occurrence: dict[int, int] = {}
        self._open_units_by_step: dict[tuple[int, int], int] = {}

    @property
    def has_started(self) -> bool:
        """Whether a task may have begun to run; not if all starts were refused."""
        return self._begun_unit_count > 0

    @property
    def is_active(self) -> bool:
        """Whether units of the job may still be started."""
        return (
            not self.is_cancelled
            and self.failed_unit is None
            and self._open_unit_count > 0
        )

    @property
    def state(self) -> JobState:
        """The state of the job as callers see it."""
        if self._open_unit_count == 0:
            return JobState.COMPLETED
        if self.failed_unit is not None:
            return JobState.FAILED
        if self.is_cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Whether all units of an occurrence are done."""
        if occurrence < self.first_open_occurrence:
            return True
        return self._open_units_by_occurrence.get(occurrence, 1) == 0

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Whether all units of a step in this occurrence are done."""
        if self.is_occurrence_done(occurrence):
            return True
        return self._open_units_by_step.get((occurrence, step), 1) == 0

    def cancel(self, wall_ms: int) -> bool:
        """Cancel the job if it is still active; returns whether it was."""
        if not self.is_active:
            return False
        self.is_cancelled = True
        self.ended_wall_ms = wall_ms
        self._backlog.close_job(self.spec)
        return True

    def put_record(self, record: UnitRecord) -> None:
        """Replace a unit's record, unless the unit has ended."""
        before = self.record_by_key.get(record.key)
        if before is not None and before.phase in _TERMINAL_PHASES:
            return
        if before is not None and record.phase is UnitPhase.DONE:
            self._note_run_time(before, record)
        self.record_by_key[record.key] = record
        if record.phase in _OCCUPYING_PHASES:
            self.occupying_by_key[record.key] = record
        else:
            self.occupying_by_key.pop(record.key, None)
        phase_before = UnitPhase.WAITING if before is None else before.phase
        self._backlog.unit_changed(
            self.spec, record.key.step, phase_before, record.phase
        )
        was_begun = before is not None and before.has_begun
        self._begun_unit_count += record.has_begun - was_begun
        if record.phase is UnitPhase.DONE:
            self._count_done(record)
        elif record.phase is UnitPhase.FAILED and self.is_active:
            self.failed_unit = record.key
            self.ended_wall_ms = record.changed_wall_ms
        if not self.is_active:
            self._backlog.close_job(self.spec)

    def _note_run_time(self, placed: UnitRecord, done: UnitRecord) -> None:
        step = self.spec.steps[done.key.step]
        is_whole_run = placed.phase is UnitPhase.PLACED and placed.run == done.run
        # A later term sees an end late, and its wall clock may be another.
        is_whole_run = is_whole_run and placed.term == done.term
        if not is_whole_run or placed.checkpoint or step.is_long_running:
            return
        self._calibration.run_done(
            self.spec.queue,
            step.estimate_ms,
            done.changed_wall_ms - placed.changed_wall_ms,
            1 / len(step.members),
        )

    def _count_done(self, record: UnitRecord) -> None:
        self._open_unit_count -= 1
        step = (record.key.occurrence, record.key.step)
        total = len(self.spec.steps[record.key.step].members)
        self._open_units_by_step[step] = self._open_units_by_step.get(step, total) - 1
        self._count_done_in_occurrence(record.key.occurrence)
        if self._open_unit_count == 0 and self.ended_wall_ms is None:
            self.ended_wall_ms = record.changed_wall_ms

    def _count_done_in_occurrence(self, occurrence: int) -> None:
        open_by_occurrence = self._open_units_by_occurrence
        count = open_by_occurrence.get(occurrence, self._units_per_occurrence) - 1
        open_by_occurrence[occurrence] = count
        if count == 0:
            for step in range(len(self.spec.steps)):
                self._open_units_by_step.pop((occurrence, step), None)
        while open_by_occurrence.get(self.first_open_occurrence) == 0:
            del open_by_occurrence[self.first_open_occurrence]
            self.first_open_occurrence += 1


class JobTable:
    """The jobs, the newest claim of the role, the upkeep waves and the instances.

    ``incarnation_by_endpoint_id`` has the incarnation of each endpoint that answered
    last, ``leases_end_by_endpoint_id`` when leases end on those that do not answer, and
    ``crashes_by_job_id`` what is known of crashes at the starts of units.
    ``backlog`` sums the work of the open jobs, and ``capacity_by_service`` has what the
    scheduler last published of each service.
    ``calibration`` is derived from the run times in the log, so that each instance and
    each successor of the scheduler has it without a record of its own.
    ``speeds_by_part`` has the speeds that the scheduler believed last.
    """

    def __init__(self):
        self.backlog = Backlog()
        self.capacity_by_service: dict[str, ServiceCapacity] = {}
        self.job_by_id: dict[str, Job] = {}
        self.calibration = EstimateCalibration()
        self.term: TermHeld | None = None
        self.upkeep_by_wave: dict[int, UpkeepRecord] = {}
        self.instance_by_name: dict[str, InstanceAnnounced] = {}
        self.incarnation_by_endpoint_id: dict[str, Incarnation] = {}
        self.leases_end_by_endpoint_id: dict[str, LeasesEnd] = {}
        self.report_by_holder: dict[str, TermReport] = {}
        self.crashes_by_job_id: dict[str, dict[UnitKey, UnitCrashes]] = {}
        self.speeds_by_part: dict[int, EndpointSpeeds] = {}
        self._cancelled_wall_ms_by_id: dict[str, int] = {}
        self._early_records_by_id: dict[str, list[UnitRecord]] = {}

    def apply(self, record: Record) -> bool:
        """Fold one record; returns whether it changed a job."""
        match record:
            case JobSubmitted(spec):
                return self._submit(spec)
            case JobCancelled(job_id, wall_ms):
                return self._cancel(job_id, wall_ms)
            case UnitRecord():
                return self._put_unit_record(record)
            case JobForgotten(job_id):
                self._forget(job_id)
                return False
            case UnitCrashes(key):
                self.crashes_by_job_id.setdefault(key.job_id, {})[key] = record
                return False
            case EndpointObserved(incarnation):
                endpoint_id = incarnation.endpoint_id
                self.incarnation_by_endpoint_id[endpoint_id] = incarnation
                return False
            case EndpointForgotten(endpoint_id):
                self.incarnation_by_endpoint_id.pop(endpoint_id, None)
                return False
            case LeasesEnd(endpoint_id):
                self.leases_end_by_endpoint_id[endpoint_id] = record
                return False
            case LeasesResumed(endpoint_id):
                self.leases_end_by_endpoint_id.pop(endpoint_id, None)
                return False
            case TermReport(holder):
                self.report_by_holder[holder] = record
                return False
            case EndpointSpeeds(part):
                self.speeds_by_part[part] = record
                return False
            case UpkeepRecord(wave):
                self.upkeep_by_wave[wave] = record
                return False
            case InstanceAnnounced(name):
                self.instance_by_name[name] = record
                return False
            case ServiceCapacity(service):
                before = self.capacity_by_service.get(service)
                if before is None or record.term >= before.term:
                    self.capacity_by_service[service] = record
                return False
            case TermHeld():
                if self.term is None or record.term >= self.term.term:
                    self.term = record
                return False

    def pending(self, queue: str) -> int:
        """Count the queue's accepted jobs of which no task has started."""
        return sum(
            job.spec.queue == queue and job.is_active and not job.has_started
            for job in self.job_by_id.values()
        )

    def expired(self, wall_ms: int, retention_ms: int) -> Iterator[Job]:
        """Yield the jobs that ended longer than ``retention_ms`` ago."""
        for job in self.job_by_id.values():
            ended_wall_ms = job.ended_wall_ms
            if ended_wall_ms is not None and wall_ms - ended_wall_ms > retention_ms:
                yield job

    def _submit(self, spec: JobSpec) -> bool:
        if spec.id in self.job_by_id:
            return False
        job = self.job_by_id[spec.id] = Job(spec, self.backlog, self.calibration)
        cancelled_wall_ms = self._cancelled_wall_ms_by_id.pop(spec.id, None)
        if cancelled_wall_ms is not None:
            job.cancel(cancelled_wall_ms)
        for record in self._early_records_by_id.pop(spec.id, ()):
            job.put_record(record)
        return True

    def _cancel(self, job_id: str, wall_ms: int) -> bool:
        job = self.job_by_id.get(job_id)
        if job is None:
            self._cancelled_wall_ms_by_id.setdefault(job_id, wall_ms)
            return False
        return job.cancel(wall_ms)

    def _put_unit_record(self, record: UnitRecord) -> bool:
        job = self.job_by_id.get(record.key.job_id)
        if job is None:
            # A snapshot is ordered by key, not by time, so a unit's record may be read
            # before its job's.
            early = self._early_records_by_id.setdefault(record.key.job_id, [])
            early.append(record)
            return False
        newest = job.record_by_key.get(record.key)
        if newest is not None and newest.term > record.term:
            return False
        job.put_record(record)
        return True

    def _forget(self, job_id: str) -> None:
        job = self.job_by_id.pop(job_id, None)
        if job is not None:
            self.backlog.close_job(job.spec)
        self.crashes_by_job_id.pop(job_id, None)
        self._cancelled_wall_ms_by_id.pop(job_id, None)
        self._early_records_by_id.pop(job_id, None)
