"""One instance: everything but the servers and the settings file."""

from __future__ import annotations

import trio

from .configuration import ConfigurationFollower
from .election import Election
from .front import Front
from .interfaces import OutsideWorld
from .log_follower import LogFollower
from .log_writer import GroupWriter
from .settings import SchedulingSettings

__all__ = ["Instance"]

RESIGN_TIMEOUT_MS = 1_500
"""How long a planned stop waits for the resignation to be in the log."""


class Instance:
    """Follows the log and the configuration, and stands for the scheduler's role."""

    def __init__(self, world: OutsideWorld, settings: SchedulingSettings):
        self.settings = settings
        self.follower = LogFollower(world.job_log(), settings)
        self.writer = GroupWriter(world.job_log(), settings)
        self.configuration = ConfigurationFollower(world, settings)
        self.election = Election(world, settings, self.follower, self.configuration)
        self.front = Front(
            settings, self.follower, self.writer, self.configuration, self.election
        )
        self.is_draining = False

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.writer.run)
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.election.run)

    async def drain(self) -> None:
        """Give the scheduler's role up; callers are served on."""
        self.is_draining = True
        await self.election.stop(RESIGN_TIMEOUT_MS)
