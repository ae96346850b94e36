"""Finds out whether other instances serve callers while this one cannot."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import trio

from ..core.scheduling.record_codec import encode_record
from ..core.scheduling.records import InstanceAnnounced
from ..daemon.logs import log_event
from .clock import boot_ms, monotonic_ms, wall_ms
from .interfaces import PlatformAdapter
from .log_follower import LogFollower
from .log_writer import Committed, GroupWriter
from .settings import SchedulingSettings

__all__ = ["PeerReadiness", "peers_to_probe"]

ANNOUNCE_DELAY_MS = 3_000
"""Delay of the first announcement and of retries, so that announcements do not compete
with claims of the scheduler's role when all instances start at once."""

ANNOUNCE_INTERVAL_MS = 60_000
ANNOUNCEMENT_VALID_MS = 3 * ANNOUNCE_INTERVAL_MS
"""Maximum age of a valid announcement: one may be lost between two that arrive."""

ANNOUNCE_TIMEOUT_MS = 2_000

PROBE_INTERVAL_MS = 300
PROBE_TIMEOUT_MS = 250
"""A probe crosses two links of at most 10 ms; a busy instance takes somewhat longer."""

REMOTE_PEERS_MAX = 2
"""Maximum number of instances in other data centres per probe."""

ROTATION_MS = 2_500
"""Time within which the platform's load balancer removes an instance that is not ready:
two checks at one per second."""


class PeerReadiness:
    """Announces this instance and probes the readiness of the others.

    A retry reaches another instance. Callers that are declined here are therefore told
    to retry immediately if another instance serves callers, and to wait otherwise.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        follower: LogFollower,
        writer: GroupWriter,
        settings: SchedulingSettings,
        is_serving_here: Callable[[], bool],
    ):
        self._adapter = adapter
        self._follower = follower
        self._writer = writer
        self.settings = settings
        self._is_serving_here = is_serving_here
        self._unready_since_boot_ms: int | None = None
        self._is_local_peer_ready = False
        self._is_remote_peer_ready = False
        self._had_serving_peer = False

    async def run(self) -> None:
        """Announce this instance and probe the others until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce_loop)
            nursery.start_soon(self._probe_loop)

    def has_serving_peer(self) -> bool:
        """Whether a call that is retried immediately reaches a ready instance."""
        if self._unready_since_boot_ms is None:
            return False
        # Callers reach other data centres only after the load balancer has removed the
        # instances of this one.
        is_out_of_rotation = boot_ms() - self._unready_since_boot_ms > ROTATION_MS
        return self._is_local_peer_ready or (
            self._is_remote_peer_ready and is_out_of_rotation
        )

    async def _announce_loop(self) -> None:
        if not self.settings.readiness_address:
            return
        pause_ms = ANNOUNCE_DELAY_MS
        while True:
            await trio.sleep(pause_ms * random.uniform(0.8, 1.2) / 1000)
            is_announced = self._follower.is_log_answering and await self._announce()
            pause_ms = ANNOUNCE_INTERVAL_MS if is_announced else ANNOUNCE_DELAY_MS

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
        return isinstance(outcome, Committed)

    async def _probe_loop(self) -> None:
        while True:
            await trio.sleep(PROBE_INTERVAL_MS / 1000)
            if self._is_serving_here():
                self._unready_since_boot_ms = None
                self._is_local_peer_ready = self._is_remote_peer_ready = False
            elif self._unready_since_boot_ms is None:
                # Skip one interval: in an outage of the whole log, other instances
                # detect it up to 0.35 s later and would still report ready.
                self._unready_since_boot_ms = boot_ms()
            else:
                await self._probe_peers()
            self._log_change()

    async def _probe_peers(self) -> None:
        own = self.settings
        announced = self._follower.table.instance_by_name.values()
        peers = peers_to_probe(announced, own.instance, own.data_centre, wall_ms())
        ready: list[InstanceAnnounced] = []

        async def probe(peer: InstanceAnnounced) -> None:
            address = peer.readiness_address
            if await self._adapter.is_instance_ready(
                address, timeout_ms=PROBE_TIMEOUT_MS
            ):
                ready.append(peer)

        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(probe, peer)
        self._is_local_peer_ready = any(
            peer.data_centre == own.data_centre for peer in ready
        )
        self._is_remote_peer_ready = any(
            peer.data_centre != own.data_centre for peer in ready
        )

    def _log_change(self) -> None:
        has_serving_peer = self.has_serving_peer()
        if has_serving_peer != self._had_serving_peer:
            self._had_serving_peer = has_serving_peer
            log_event(
                "siblings_serving",
                serving=has_serving_peer,
                same_data_centre=self._is_local_peer_ready,
            )


def peers_to_probe(
    announced: Iterable[InstanceAnnounced],
    own_name: str,
    own_data_centre: str,
    now_wall_ms: int,
) -> list[InstanceAnnounced]:
    """Return all other local instances and a random sample of the remote ones.

    Instances whose announcement is too old are left out.
    """
    local, remote = [], []
    for instance in announced:
        age_ms = now_wall_ms - instance.announced_wall_ms
        if instance.name == own_name or age_ms > ANNOUNCEMENT_VALID_MS:
            continue
        is_local = instance.data_centre == own_data_centre
        (local if is_local else remote).append(instance)
    return local + random.sample(remote, min(REMOTE_PEERS_MAX, len(remote)))
