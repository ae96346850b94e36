"""Admission of submitted jobs and choice of their home data centre."""

from __future__ import annotations

from dataclasses import replace

from ..model import Configuration, JobSpec, NotRun, Reason
from ..placement import fits_catalogue, home_data_centre
from .ledger import JobLedger

__all__ = ["admit", "job_id"]

MAX_TASKS = 10_000
MAX_ACTIVE_JOBS = 100_000
QUEUE_FULL_RETRY_AFTER_MS = 30_000


def job_id(instance: str, incarnation: str, number: int) -> str:
    """Return the id of the ``number``-th job that an incarnation accepts.

    >>> job_id("entry-1", "5f2c", 7)
    'entry-1.5f2c.7'
    """
    return f"{instance}.{incarnation}.{number}"


def admit(
    spec: JobSpec,
    configuration: Configuration,
    ledger: JobLedger,
    is_log_up: bool,
    now_wall_ms: int,
    *,
    data_centre: str = "",
) -> JobSpec | NotRun:
    """Return the job with its home data centre set, or the reason for refusing it.

    While the log is down only the accepting instance can place the job, so its home is
    ``data_centre``, the data centre of that instance.
    """
    if spec.accelerators < 1 or not 1 <= spec.tasks <= MAX_TASKS or not spec.job_id:
        return NotRun(Reason.INVALID, "size or number of tasks is out of range")
    if spec.organisation not in configuration.organisations_by_name:
        detail = f"no organisation {spec.organisation!r} is configured"
        return NotRun(Reason.ORGANISATION_UNKNOWN, detail)
    deadline_ms = spec.deadline_wall_ms
    if deadline_ms is not None and deadline_ms <= now_wall_ms:
        return NotRun(Reason.DEADLINE_PASSED, "the deadline had passed at submission")
    if not fits_catalogue(spec, configuration):
        detail = f"{spec.accelerators} accelerators per {spec.adjacency} fit nowhere"
        return NotRun(Reason.NEVER_FITS, detail)
    if ledger.active_count >= MAX_ACTIVE_JOBS:
        return NotRun(
            Reason.QUEUE_FULL, "too many unfinished jobs", QUEUE_FULL_RETRY_AFTER_MS
        )
    home = home_data_centre(spec, _restrict_to_requested_home(spec, configuration))
    if home is None:
        detail = f"the job does not fit in {spec.home_data_centre}"
        return NotRun(Reason.NEVER_FITS, detail)
    if not is_log_up:
        home = data_centre
    submitted_wall_ms = spec.submitted_wall_ms or now_wall_ms
    return replace(spec, home_data_centre=home, submitted_wall_ms=submitted_wall_ms)


def _restrict_to_requested_home(
    spec: JobSpec, configuration: Configuration
) -> Configuration:
    """Return the configuration without data centres other than the requested one."""
    if not spec.home_data_centre:
        return configuration
    requested_by_name = {
        name: data_centre
        for name, data_centre in configuration.data_centres_by_name.items()
        if name == spec.home_data_centre
    }
    return replace(configuration, data_centres_by_name=requested_by_name)
