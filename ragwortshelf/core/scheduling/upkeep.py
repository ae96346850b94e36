"""Upkeep of hosts in waves, within a deadline and a limit of hosts down at once.

A host's endpoint is cordoned, then its tasks are evicted, then the upkeep is ordered.
Afterwards the host comes back with another endpoint.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "HostInfo",
    "HostState",
    "UpkeepOutcome",
    "UpkeepStep",
    "UpkeepWave",
    "WaveProgress",
]

EVICTION_MS = 2_500
"""Time allowed for evicting the tasks of a host: a stop of 0.9 s, the same once more if
it is repeated, and the listing that shows the end."""


class HostState(enum.Enum):
    """State of a host as reported by the platform."""

    UP = "up"
    MOVING = "moving"
    IN_UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class HostInfo:
    """A host of endpoints; ``endpoint_id`` is empty while none runs on it."""

    id: str
    pool: str
    state: HostState
    endpoint_id: str = ""


@dataclass(frozen=True, slots=True)
class UpkeepWave:
    """An operator's request for the upkeep of some hosts within ``duration_ms``.

    At most ``concurrent_max`` of them may be down at a time.
    """

    number: int
    host_ids: tuple[str, ...]
    duration_ms: int
    concurrent_max: int


class UpkeepOutcome(enum.Enum):
    """Outcome of an order to begin an upkeep."""

    BEGUN = "begun"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_WAVE = "other_wave"
    NO_HOST = "no_host"
    LIMITED = "limited"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class UpkeepStep:
    """Next actions: endpoints to cordon or to evict, and hosts to order upkeep for."""

    cordon: tuple[str, ...] = ()
    evict: tuple[str, ...] = ()
    order: tuple[str, ...] = ()


class WaveProgress:
    """Tracks which hosts of a wave are being emptied, are down, or have begun upkeep.

    ``maintenance_ms`` is the duration of one host's upkeep. ``begun`` is also kept in
    the log, so that it survives a change of scheduler.
    """

    def __init__(self, wave: UpkeepWave, deadline_ms: int, maintenance_ms: int):
        self.wave = wave
        self.begun: set[str] = set()
        self._deadline_ms = deadline_ms
        self._maintenance_ms = maintenance_ms
        self._endpoint_by_down_host: dict[str, str] = {}
        self._endpoint_at_first_order: dict[str, str] = {}
        self._evict_at_ms_by_host: dict[str, int] = {}

    def is_complete(self, host_by_id: Mapping[str, HostInfo]) -> bool:
        """Whether every host that is still listed has begun its upkeep."""
        return all(
            host_id in self.begun
            for host_id in self.wave.host_ids
            if host_id in host_by_id
        )

    def step(
        self,
        host_by_id: Mapping[str, HostInfo],
        task_count_by_endpoint: Mapping[str, int],
        now_ms: int,
    ) -> UpkeepStep:
        """Return what to do, given the listed hosts and each endpoint's task count."""
        self._drop_returned(host_by_id)
        self._drop_lost(host_by_id)
        cordon = self._choose_hosts(host_by_id, task_count_by_endpoint, now_ms)
        order, evict = [], []
        for host_id, evict_at_ms in self._evict_at_ms_by_host.items():
            endpoint_id = host_by_id[host_id].endpoint_id
            if not task_count_by_endpoint.get(endpoint_id):
                order.append(host_id)
            elif now_ms >= evict_at_ms:
                evict.append(endpoint_id)
        return UpkeepStep(tuple(cordon), tuple(evict), tuple(order))

    def record_outcome(self, host: HostInfo, outcome: UpkeepOutcome) -> None:
        """Note the outcome of an order to begin an upkeep."""
        if outcome is UpkeepOutcome.BEGUN:
            self.begun.add(host.id)
            self._evict_at_ms_by_host.pop(host.id, None)
        elif outcome is not UpkeepOutcome.UNANSWERED:
            return
        # An unanswered order may have begun the upkeep. It is repeated, and the host
        # counts as down until it has another endpoint than at the first order.
        first_id = self._endpoint_at_first_order.setdefault(host.id, host.endpoint_id)
        if host.endpoint_id == first_id:
            self._endpoint_by_down_host[host.id] = first_id

    def _drop_returned(self, host_by_id) -> None:
        for host_id, endpoint_before in list(self._endpoint_by_down_host.items()):
            host = host_by_id.get(host_id)
            is_back = host is None or (
                host.state is HostState.UP
                and host.endpoint_id
                and host.endpoint_id != endpoint_before
            )
            if is_back:
                del self._endpoint_by_down_host[host_id]

    def _drop_lost(self, host_by_id) -> None:
        for host_id in list(self._evict_at_ms_by_host):
            host = host_by_id.get(host_id)
            if host is None or not host.endpoint_id:
                del self._evict_at_ms_by_host[host_id]

    def _choose_hosts(self, host_by_id, task_count_by_endpoint, now_ms) -> list[str]:
        hosts_in_progress = (
            self._evict_at_ms_by_host.keys() | self._endpoint_by_down_host.keys()
        )
        pending = [
            host_by_id[host_id]
            for host_id in self.wave.host_ids
            if host_id not in self.begun
            and host_id not in hosts_in_progress
            and host_id in host_by_id
        ]
        pending = [h for h in pending if h.state is HostState.UP and h.endpoint_id]
        pending.sort(key=lambda h: (task_count_by_endpoint.get(h.endpoint_id, 0), h.id))
        startable = max(0, self.wave.concurrent_max - len(hosts_in_progress))
        evict_at_ms = self._eviction_time_ms(len(pending), now_ms)
        chosen = pending[:startable]
        for host in chosen:
            self._evict_at_ms_by_host[host.id] = evict_at_ms
        return [host.endpoint_id for host in chosen]

    def _eviction_time_ms(self, pending_count: int, now_ms: int) -> int:
        """Return when to evict the remaining tasks to meet the wave's deadline."""
        rounds = -(-pending_count // max(1, self.wave.concurrent_max))
        if not rounds:
            return now_ms
        round_ms = (self._deadline_ms - now_ms) // rounds
        return now_ms + max(0, round_ms - self._maintenance_ms - EVICTION_MS)
