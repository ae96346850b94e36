"""Which other instances serve callers while this one cannot."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import trio

from ..core.scheduling.records import InstanceAnnounced, encode_record
from ..daemon.logs import log_event
from .clock import boot_ms, monotonic_ms, wall_ms
from .interfaces import OutsideWorld
from .log_follower import LogFollower
from .log_writer import Commit, GroupWriter
from .settings import SchedulingSettings

__all__ = ["Siblings", "siblings_to_ask"]

ANNOUNCE_DELAY_MS = 3_000
"""Pause before the first announcement, so that it does not compete with the claim of
the scheduler's role when all instances start at once."""

ANNOUNCE_INTERVAL_MS = 60_000
ANNOUNCEMENT_VALID_MS = 3 * ANNOUNCE_INTERVAL_MS
"""Age at which an announcement no longer counts; one of three may be lost."""

ANNOUNCE_TIMEOUT_MS = 2_000

ASK_INTERVAL_MS = 300
ASK_TIMEOUT_MS = 250
"""An answer crosses two links of at most 10 ms; a busy instance takes some more."""

ELSEWHERE_MAX = 2
"""How many instances of other data centres are asked at a time."""

ROTATION_MS = 2_500
"""Time after which callers are no longer sent to instances that are not ready: two
checks of the platform's balancer, one each second."""


class Siblings:
    """Announces this instance, and asks the others whether they serve.

    Callers that are refused here are told to come back at once where another instance
    serves them, since a repeated call reaches another one. Else they are told to wait.
    """

    def __init__(
        self,
        world: OutsideWorld,
        follower: LogFollower,
        writer: GroupWriter,
        settings: SchedulingSettings,
        is_serving_here: Callable[[], bool],
    ):
        self._world = world
        self._follower = follower
        self._writer = writer
        self.settings = settings
        self._is_serving_here = is_serving_here
        self._lost_boot_ms: int | None = None
        self._is_near_ready = False
        self._is_far_ready = False
        self._were_serving = False

    async def run(self) -> None:
        """Announce and ask until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce_always)
            nursery.start_soon(self._ask_always)

    def are_serving(self) -> bool:
        """Whether a call that is repeated at once reaches an instance that serves."""
        if self._lost_boot_ms is None:
            return False
        # Callers reach other data centres only once this one has left the rotation.
        is_rotated = boot_ms() - self._lost_boot_ms > ROTATION_MS
        return self._is_near_ready or (self._is_far_ready and is_rotated)

    async def _announce_always(self) -> None:
        if not self.settings.readiness_address:
            return
        pause_ms = ANNOUNCE_DELAY_MS
        while True:
            await trio.sleep(pause_ms * random.uniform(0.8, 1.2) / 1000)
            is_known = self._follower.is_answered and await self._announce()
            pause_ms = ANNOUNCE_INTERVAL_MS if is_known else ANNOUNCE_DELAY_MS

    async def _announce(self) -> bool:
        settings = self.settings
        record = InstanceAnnounced(
            settings.instance,
            settings.data_centre,
            settings.readiness_address,
            wall_ms(),
        )
        outcome = await self._writer.commit(
            [encode_record(record)], monotonic_ms() + ANNOUNCE_TIMEOUT_MS
        )
        return isinstance(outcome, Commit)

    async def _ask_always(self) -> None:
        while True:
            await trio.sleep(ASK_INTERVAL_MS / 1000)
            if self._is_serving_here():
                self._lost_boot_ms = None
                self._is_near_ready = self._is_far_ready = False
            elif self._lost_boot_ms is None:
                # In an outage of the whole log the others notice it up to 0.35 s later,
                # and would still call themselves ready.
                self._lost_boot_ms = boot_ms()
            else:
                await self._ask_all()
            self._note_change()

    async def _ask_all(self) -> None:
        own = self.settings
        known = self._follower.table.instance_by_name.values()
        asked = siblings_to_ask(known, own.instance, own.data_centre, wall_ms())
        ready: list[InstanceAnnounced] = []

        async def ask(sibling: InstanceAnnounced) -> None:
            address = sibling.readiness_address
            if await self._world.is_instance_ready(address, timeout_ms=ASK_TIMEOUT_MS):
                ready.append(sibling)

        async with trio.open_nursery() as nursery:
            for sibling in asked:
                nursery.start_soon(ask, sibling)
        self._is_near_ready = any(s.data_centre == own.data_centre for s in ready)
        self._is_far_ready = any(s.data_centre != own.data_centre for s in ready)

    def _note_change(self) -> None:
        are_serving = self.are_serving()
        if are_serving != self._were_serving:
            self._were_serving = are_serving
            log_event(
                "siblings_serving",
                serving=are_serving,
                same_data_centre=self._is_near_ready,
            )


def siblings_to_ask(
    announced: Iterable[InstanceAnnounced],
    own_name: str,
    own_data_centre: str,
    now_wall_ms: int,
) -> list[InstanceAnnounced]:
    """Return all others of the own data centre, and some of those further away."""
    near, far = [], []
    for instance in announced:
        age_ms = now_wall_ms - instance.announced_wall_ms
        if instance.name == own_name or age_ms > ANNOUNCEMENT_VALID_MS:
            continue
        is_near = instance.data_centre == own_data_centre
        (near if is_near else far).append(instance)
    return near + random.sample(far, min(ELSEWHERE_MAX, len(far)))
