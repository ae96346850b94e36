"""Decides which submissions are refused because they could not be served in time.

An instance decides alone, from the job table, the published capacity and the
submissions that it accepted itself. Whatever is not known counts in favour of the job.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass

from .backlog import widest_step_gpus
from .configuration import Queue, ServiceConfiguration
from .forecast import Forecast, ServiceForecast
from .job_table import JobTable
from .model import JobSpec, Resources

__all__ = ["AdmissionControl", "Refusal"]

FORECAST_AGE_MAX_MS = 250
"""Age from which the forecast is computed anew at the next submission: the interval at
which an instance reads the job log."""

CAPACITY_AGE_MAX_MS = 10_000
"""Age from which a record of the capacity is not used; two of them are then missing."""

USEFUL_FACTOR = 3
"""An answer is late up to this many times the job's objective, and of no use after."""

FORECAST_ERROR_DIVISOR = 3
"""A third is taken off the forecast wait. Forecasts are wrong by half either way, so
the true wait can be as short as two thirds of the forecast."""

REFUSED_WAIT_MIN_MS = 1_000
"""Shortest forecast wait for which a job is refused. Ends of runs become known in
listings about a second apart, so shorter waits cannot be told from none."""

RETRY_AFTER_MIN_MS = 1_000
RETRY_AFTER_MAX_MS = 30_000
"""Bounds of the retry delay. The forecast says little of what comes after 30 s."""

RETRY_SPREAD_MAX_MS = 15_000
"""Longest time over which retries are spread, so that the longest delays differ too."""

REFUSALS_MAX = 4_096
"""Most refused jobs that are remembered for the spread of their retries."""

UNREAD_MAX_MS = 5_000
"""Time for which an accepted submission counts that was not read back from the log. An
append whose outcome is unknown is repeated or given up within seconds."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job would end after its answer is of use, even if the forecast is too long."""

    priority: int
    wait_ms: int
    useful_ms: int
    retry_after_ms: int


class AdmissionControl:
    """The forecast of one instance, and the decisions that follow from it."""

    def __init__(self):
        self._forecast: Forecast | None = None
        self._forecast_ms = 0
        self._table: JobTable | None = None
        self._configuration: ServiceConfiguration | None = None
        # Accepted here and perhaps not in the table yet, with the time of acceptance.
        self._unread_by_id: dict[str, tuple[int, JobSpec]] = {}
        # Time and service time of refused jobs, in the order of their last refusal.
        self._refused_by_id: dict[str, tuple[int, float]] = {}
        self._refused_work_ms = 0.0

    def decide(
        self,
        spec: JobSpec,
        table: JobTable,
        configuration: ServiceConfiguration,
        now_ms: int,
        wall_ms: int,
    ) -> Refusal | None:
        """Return why a job is refused, or None if it is accepted."""
        queue = configuration.queue_by_name.get(spec.queue)
        if queue is None or not _is_judged(spec):
            return None
        forecast = self._refresh(table, configuration, now_ms, wall_ms)
        service = forecast.by_service.get(spec.service)
        if service is None or _is_guaranteed(spec, queue, configuration, forecast):
            return None
        critical_path_ms = max(spec.critical_paths_ms())
        objective_ms = int(critical_path_ms * queue.slack_factor)
        objective_ms += queue.target_latency_ms
        useful_ms = USEFUL_FACTOR * objective_ms
        wait_max_ms = _before_error(useful_ms - critical_path_ms)
        # A job that would be too late on an idle service is not refused for the load.
        if wait_max_ms <= 0:
            return None
        wait_max_ms = max(wait_max_ms, REFUSED_WAIT_MIN_MS)
        wait_ms = _shortest_wait_ms(service, spec, queue.priority, wait_max_ms)
        if wait_ms is None or wait_ms <= wait_max_ms:
            return None
        if service.has_idle_room(spec, queue.priority):
            return None
        self._note_refusal(spec, service, now_ms)
        retry_after_ms = self._retry_after_ms(
            spec.id, wait_ms - wait_max_ms, max(1, len(table.instance_by_name))
        )
        return Refusal(queue.priority, round(wait_ms), useful_ms, retry_after_ms)

    def accepted(self, spec: JobSpec, now_ms: int) -> None:
        """Count a job that is about to be appended to the log."""
        if spec.id in self._unread_by_id:
            return
        self._unread_by_id[spec.id] = now_ms, spec
        if self._forecast is not None:
            self._forecast.add_job(spec)
        self._forget_refusal(spec.id)

    def withdrawn(self, job_id: str) -> None:
        """Stop counting a job whose append was refused, from the next forecast on."""
        self._unread_by_id.pop(job_id, None)

    def waits_ms(
        self,
        table: JobTable,
        configuration: ServiceConfiguration,
        now_ms: int,
        wall_ms: int,
    ) -> dict[int, float]:
        """Return the longest forecast wait over all services by priority 0 to 2."""
        forecast = self._refresh(table, configuration, now_ms, wall_ms)
        wait_ms_by_priority = {}
        for priority in range(3):
            waits = [
                service.wait_ms(priority, uses_gpus)
                for service in forecast.by_service.values()
                for uses_gpus in (False, True)
            ]
            known = [wait for wait in waits if wait is not None]
            if known:
                wait_ms_by_priority[priority] = max(known)
        return wait_ms_by_priority

    def _refresh(
        self,
        table: JobTable,
        configuration: ServiceConfiguration,
        now_ms: int,
        wall_ms: int,
    ) -> Forecast:
        if (
            self._forecast is not None
            and now_ms - self._forecast_ms < FORECAST_AGE_MAX_MS
            and self._table is table
            and self._configuration is configuration
        ):
            return self._forecast
        self._table = table
        self._configuration = configuration
        self._forecast_ms = now_ms
        self._forecast = Forecast(
            table.backlog.load_by_key,
            _recent_capacities(table, wall_ms),
            configuration,
        )
        for job_id, (accepted_ms, spec) in list(self._unread_by_id.items()):
            is_lost = now_ms - accepted_ms > UNREAD_MAX_MS
            if job_id in table.job_by_id or is_lost:
                del self._unread_by_id[job_id]
            else:
                self._forecast.add_job(spec)
        return self._forecast

    def _note_refusal(
        self, spec: JobSpec, service: ServiceForecast, now_ms: int
    ) -> None:
        self._forget_refusal(spec.id)
        work_ms = service.work_ms(spec) or 0.0
        self._refused_by_id[spec.id] = now_ms, work_ms
        self._refused_work_ms += work_ms
        while self._refused_by_id:
            oldest_id = next(iter(self._refused_by_id))
            refused_ms, _ = self._refused_by_id[oldest_id]
            is_past = now_ms - refused_ms > RETRY_AFTER_MAX_MS
            if not is_past and len(self._refused_by_id) <= REFUSALS_MAX:
                break
            self._forget_refusal(oldest_id)

    def _forget_refusal(self, job_id: str) -> None:
        _, work_ms = self._refused_by_id.pop(job_id, (0, 0.0))
        self._refused_work_ms -= work_ms
        if not self._refused_by_id:
            self._refused_work_ms = 0.0

    def _retry_after_ms(
        self, job_id: str, excess_ms: float, instance_count: int
    ) -> int:
        """Return when the wait is short enough, plus this job's part of the spread.

        The other instances have refused as much as this one, as callers are balanced
        over them.
        """
        spread_ms = min(self._refused_work_ms * instance_count, RETRY_SPREAD_MAX_MS)
        until_ms = min(excess_ms, RETRY_AFTER_MAX_MS - spread_ms)
        part = zlib.crc32(job_id.encode()) / (1 << 32)
        return max(RETRY_AFTER_MIN_MS, round(until_ms + part * spread_ms))


def _is_judged(spec: JobSpec) -> bool:
    """Whether a job is due now and ends, so that a forecast says something of it."""
    is_lasting = any(step.is_long_running for step in spec.steps)
    return bool(spec.steps) and not spec.occurrences and not is_lasting


def _is_guaranteed(
    spec: JobSpec,
    queue: Queue,
    configuration: ServiceConfiguration,
    forecast: Forecast,
) -> bool:
    """Whether a job of priority 0 fits into its organisation's guarantee."""
    organisation = configuration.organisation_by_name.get(spec.organisation)
    if queue.priority != 0 or organisation is None:
        return False
    gpus = forecast.urgent_gpus(spec.organisation) + widest_step_gpus(spec)
    return gpus <= organisation.guaranteed_gpus


def _before_error(wait_ms: float) -> float:
    """Return the forecast wait of which two thirds are ``wait_ms``."""
    return wait_ms * FORECAST_ERROR_DIVISOR / (FORECAST_ERROR_DIVISOR - 1)


def _shortest_wait_ms(
    service: ServiceForecast, spec: JobSpec, priority: int, wait_max_ms: float
) -> float | None:
    uses_gpus = any(step.request.gpus for step in spec.steps)
    wait_ms = service.wait_ms(priority, uses_gpus)
    if wait_ms is None or wait_ms <= wait_max_ms:
        return wait_ms
    in_share_ms = service.wait_in_share_ms(spec, priority)
    return wait_ms if in_share_ms is None else min(wait_ms, in_share_ms)


def _recent_capacities(table: JobTable, wall_ms: int) -> Mapping[str, Resources]:
    """Return the capacities that the holder of the newest term published recently.

    A record of the future counts as old: one of the two clocks is wrong.
    """
    if table.term is None or table.term.is_resigned:
        return {}
    return {
        service: record.capacity
        for service, record in table.capacity_by_service.items()
        if record.term == table.term.term
        and abs(wall_ms - record.wall_ms) <= CAPACITY_AGE_MAX_MS
    }
