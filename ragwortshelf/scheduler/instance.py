"""Connects the components of one instance, without servers and settings file."""

from __future__ import annotations

from functools import partial

import trio

from ..core.scheduling.speed_belief import SpeedClass
from ..daemon.logs import dropped_line_count
from ..daemon.metrics import Metrics
from .configuration_follower import ConfigurationFollower
from .election import Election
from .gateway import Gateway
from .interfaces import PlatformAdapter
from .log_follower import LogFollower
from .log_topics import open_logs
from .log_writer import GroupWriter
from .loop_monitor import LoopMonitor
from .peer_readiness import PeerReadiness
from .settings import SchedulingSettings
from .supervision import run_supervised
from .term_reports import TermReporter

__all__ = ["Instance"]

RESIGN_TIMEOUT_MS = 1_500
"""Time limit for writing the resignation to the log during a planned stop."""


class Instance:
    """Follows the log and the configuration, serves callers and joins the election."""

    def __init__(self, adapter: PlatformAdapter, settings: SchedulingSettings):
        self.settings = settings
        self.metrics = Metrics()
        logs = open_logs(adapter, self.metrics)
        self.follower = LogFollower(logs.jobs, settings)
        self.writer = GroupWriter(logs.jobs, settings)
        self.configuration = ConfigurationFollower(adapter, logs.operator, settings)
        self.term_reporter = TermReporter(logs.jobs, settings, self.follower)
        self.election = Election(
            adapter,
            logs,
            settings,
            self.follower,
            self.configuration,
            self.term_reporter,
        )
        self.peer_readiness = PeerReadiness(
            adapter,
            self.follower,
            self.writer,
            settings,
            lambda: self.gateway.is_ready(),
        )
        self.gateway = Gateway(
            settings,
            self.follower,
            self.writer,
            self.configuration,
            self.election,
            self.peer_readiness,
            self.metrics,
        )
        self._loop_monitor = LoopMonitor(self.metrics)
        self.is_draining = False
        self._add_gauges()

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            for name, component in (
                ("job log", self.follower),
                ("group writer", self.writer),
                ("configuration", self.configuration),
                ("election", self.election),
                ("term reports", self.term_reporter),
                ("peer readiness", self.peer_readiness),
                ("loop monitor", self._loop_monitor),
            ):
                nursery.start_soon(run_supervised, name, component.run)

    def reconfigure(self, settings: SchedulingSettings) -> None:
        """Apply changed settings; a term in progress keeps its initial ones."""
        self.settings = settings
        for part in (
            self.follower,
            self.writer,
            self.configuration,
            self.election,
            self.term_reporter,
            self.peer_readiness,
            self.gateway,
        ):
            part.settings = settings

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge("jobs", lambda: len(self.follower.table.job_by_id))
        gauge("job_state_age_ms", lambda: _age_or_unknown(self.follower.age_ms()))
        gauge(
            "configuration_age_ms", lambda: _age_or_unknown(self.configuration.age_ms())
        )
        gauge(
            "capacity_record_age_ms",
            lambda: _age_or_unknown(self.gateway.capacity_age_ms()),
        )
        for priority in range(3):
            gauge(
                f'forecast_wait_ms{{priority="{priority}"}}',
                partial(self._forecast_wait_ms, priority),
            )
        for speed_class in SpeedClass:
            gauge(
                f"endpoints_by_speed_{speed_class.name.lower()}",
                partial(self._endpoint_count_by_speed, speed_class),
            )
        gauge("is_scheduler", lambda: int(self.election.leadership is not None))
        gauge("log_lines_left_out", dropped_line_count)
        gauge("organisations_above_share", self._organisations_above_share)
        gauge("idle_waits", self._idle_wait_count)
        gauge("overdue_runs", self._overdue_run_count)
        gauge("evacuated_data_centres", lambda: len(self.configuration.evacuations()))
        gauge("evacuated_endpoints_busy", self._busy_evacuated_count)
        gauge("evacuation_age_ms", self._evacuation_age_ms)

    def _idle_wait_count(self) -> int:
        leadership = self.election.leadership
        return leadership.idle_wait_count if leadership else 0

    def _overdue_run_count(self) -> int:
        leadership = self.election.leadership
        return leadership.overdue_run_count if leadership else 0

    def _busy_evacuated_count(self) -> int:
        leadership = self.election.leadership
        return leadership.busy_evacuated_count() if leadership else 0

    def _evacuation_age_ms(self) -> int:
        leadership = self.election.leadership
        return leadership.evacuation_age_ms() if leadership else 0

    def _organisations_above_share(self) -> int:
        leadership = self.election.leadership
        return leadership.organisations_above_share if leadership else 0

    def _forecast_wait_ms(self, priority: int) -> int:
        """Return the forecast wait of a priority; -1 if it is unknown."""
        return round(self.gateway.forecast_waits_ms().get(priority, -1))

    def _endpoint_count_by_speed(self, speed_class: SpeedClass) -> int:
        leadership = self.election.leadership
        return leadership.endpoint_count_by_speed(speed_class) if leadership else 0

    async def drain(self) -> None:
        """Resign the scheduler's role; callers continue to be served."""
        self.is_draining = True
        await self.election.stop(RESIGN_TIMEOUT_MS)


def _age_or_unknown(age_ms: int | None) -> int:
    """Return an age as a gauge value; -1 if it is unknown."""
    return -1 if age_ms is None else age_ms
