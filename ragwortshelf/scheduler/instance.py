"""One instance: everything but the servers and the settings file."""

from __future__ import annotations

import trio

from ..daemon.logs import dropped_line_count
from ..daemon.metrics import Metrics
from .configuration import ConfigurationFollower
from .election import Election
from .gateway import Gateway
from .interfaces import OutsideWorld
from .log_follower import LogFollower
from .log_writer import GroupWriter
from .logs import open_logs
from .settings import SchedulingSettings
from .siblings import Siblings

__all__ = ["Instance"]

RESIGN_TIMEOUT_MS = 1_500
"""How long a planned stop waits for the resignation to be in the log."""


class Instance:
    """Follows the log and the configuration, and stands for the scheduler's role."""

    def __init__(self, world: OutsideWorld, settings: SchedulingSettings):
        self.settings = settings
        self.metrics = Metrics()
        logs = open_logs(world, self.metrics)
        self.follower = LogFollower(logs.jobs, settings)
        self.writer = GroupWriter(logs.jobs, settings)
        self.configuration = ConfigurationFollower(world, logs.operator, settings)
        self.election = Election(
            world, logs, settings, self.follower, self.configuration
        )
        self.siblings = Siblings(
            world,
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
            self.siblings,
            self.metrics,
        )
        self.is_draining = False
        self._add_gauges()

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.writer.run)
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.election.run)
            nursery.start_soon(self.siblings.run)

    def reconfigure(self, settings: SchedulingSettings) -> None:
        """Put changed settings in force; a term under way keeps its own."""
        self.settings = settings
        for part in (
            self.follower,
            self.writer,
            self.configuration,
            self.election,
            self.siblings,
            self.gateway,
        ):
            part.settings = settings

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge("jobs", lambda: len(self.follower.table.job_by_id))
        gauge("job_state_age_ms", lambda: _known(self.follower.age_ms()))
        gauge("configuration_age_ms", lambda: _known(self.configuration.age_ms()))
        gauge("is_scheduler", lambda: int(self.election.leadership is not None))
        gauge("log_lines_left_out", dropped_line_count)

    async def drain(self) -> None:
        """Give the scheduler's role up; callers are served on."""
        self.is_draining = True
        await self.election.stop(RESIGN_TIMEOUT_MS)


def _known(age_ms: int | None) -> int:
    """Return an age for a gauge; -1 while it is not known."""
    return -1 if age_ms is None else age_ms
