"""Carries out the operators' upkeep waves while this instance schedules."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..core.scheduling import Scheduler
from ..core.scheduling.record_codec import encode_record
from ..core.scheduling.records import UpkeepRecord
from ..core.scheduling.upkeep import (
    HostInfo,
    UpkeepOutcome,
    UpkeepWave,
    WaveProgress,
)
from ..daemon.logs import log_event
from .clock import monotonic_ms
from .interfaces import Entry, HostService, PlatformAdapter
from .log_follower import LogFollower
from .settings import SchedulingSettings

__all__ = ["UpkeepRunner"]

WAVE_POLL_INTERVAL_MS = 400
"""Interval between steps of a wave. Each step lists all hosts, which is charged for."""

WAVE_IDLE_INTERVAL_MS = 500
"""Interval between checks for a new wave."""

ROLE_CHECK_INTERVAL_MS = 50
"""Interval between checks whether an order that is held back may be sent."""

CommitEntries = Callable[[list[Entry]], Awaitable[bool]]


class UpkeepRunner:
    """Carries out the upkeep of every host in each wave.

    ``token`` is the term's fencing token. Orders are held back while ``may_order``
    returns False, as another instance may hold the role.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        settings: SchedulingSettings,
        follower: LogFollower,
        scheduler: Scheduler,
        commit: CommitEntries,
        token: int,
        may_order: Callable[[], bool],
    ):
        self._hosts: HostService = adapter.host_service()
        self._adapter = adapter
        self._settings = settings
        self._table = follower.table
        self._scheduler = scheduler
        self._commit = commit
        self._token = token
        self._may_order = may_order
        self._first_seen_ms_by_wave: dict[int, int] = {}

    async def run(self, waves: Callable[[], dict[int, UpkeepWave]]) -> None:
        """Carry out waves in order of their numbers until cancelled."""
        # An earlier holder's orders for the same host must be at least this old.
        await trio.sleep(self._settings.host_lease_ms / 1000)
        while True:
            for number, wave in sorted(waves().items()):
                self._first_seen_ms_by_wave.setdefault(number, monotonic_ms())
                record = self._table.upkeep_by_wave.get(number)
                if record is None or not record.is_completed:
                    await self._carry_out(wave)
            await trio.sleep(WAVE_IDLE_INTERVAL_MS / 1000)

    async def _carry_out(self, wave: UpkeepWave) -> None:
        deadline_ms = self._first_seen_ms_by_wave[wave.number] + wave.duration_ms
        progress = WaveProgress(wave, deadline_ms, self._settings.maintenance_ms)
        record = self._table.upkeep_by_wave.get(wave.number)
        if record is not None:
            progress.begun |= set(record.begun)
        log_event("wave_started", wave=wave.number, hosts=len(wave.host_ids))
        await self._publish(wave, is_completed=False)
        while True:
            hosts = await self._hosts.list_hosts()
            if hosts is not None:
                host_by_id = {host.id: host for host in hosts}
                if progress.is_complete(host_by_id):
                    break
                await self._step(progress, host_by_id)
            await trio.sleep(WAVE_POLL_INTERVAL_MS / 1000)
        await self._record(progress, is_completed=True)
        await self._publish(wave, is_completed=True)
        log_event("wave_completed", wave=wave.number)

    async def _step(self, progress: WaveProgress, host_by_id) -> None:
        task_count_by_endpoint = {
            endpoint_id: len(endpoint.placement_by_task)
            for endpoint_id, endpoint in self._scheduler.endpoint_by_id.items()
        }
        step = progress.step(host_by_id, task_count_by_endpoint, monotonic_ms())
        for endpoint_id in step.cordon:
            self._scheduler.cordon(endpoint_id)
        for endpoint_id in step.evict:
            self._scheduler.evict(endpoint_id, "upkeep", monotonic_ms())
        for host_id in step.order:
            await self._order(progress, host_by_id[host_id])

    async def _order(self, progress: WaveProgress, host: HostInfo) -> None:
        wave = progress.wave.number
        while not self._may_order():
            await trio.sleep(ROLE_CHECK_INTERVAL_MS / 1000)
        outcome = await self._hosts.begin_upkeep(
            host.id, wave, self._settings.instance, self._token
        )
        log_event("upkeep", wave=wave, host=host.id, outcome=outcome.value)
        progress.record_outcome(host, outcome)
        if outcome is UpkeepOutcome.BEGUN:
            await self._record(progress, is_completed=False)

    async def _record(self, progress: WaveProgress, is_completed: bool) -> None:
        record = UpkeepRecord(
            progress.wave.number, tuple(sorted(progress.begun)), is_completed
        )
        self._table.apply(record)
        await self._commit([encode_record(record)])

    async def _publish(self, wave: UpkeepWave, is_completed: bool) -> None:
        while not await self._adapter.publish_wave(wave.number, is_completed):
            await trio.sleep(self._settings.log_retry_ms / 1000)
