"""Forecasts how long a job would wait, and publishes the capacity that this needs.

Every instance knows the accepted jobs from the log. The scheduler alone knows which
endpoints are usable, so it publishes their capacity.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Collection, Iterable, Mapping

from .backlog import Load, LoadKey, load_of
from .configuration import ServiceConfiguration
from .endpoint import Endpoint
from .model import JobSpec, Resources
from .records import ServiceCapacity

__all__ = [
    "CAPACITY_INTERVAL_MS",
    "CAPACITY_SETTLES_MS",
    "CapacityReporter",
    "Forecast",
    "ServiceForecast",
    "ShareLevels",
]

CAPACITY_INTERVAL_MS = 5_000
"""Longest time between two records of a service's capacity. Two of them may be lost or
late before a reader takes the capacity as unknown after 10 s."""

CAPACITY_CHECK_MS = 350
"""Interval between checks whether the capacity has changed: that of the renewals of a
term, so that a burst of appends does not repeat them."""

CAPACITY_CHANGE_PARTS = 20
"""A change of the capacity by one part in so many is published before it is due."""

CAPACITY_SETTLES_MS = 3_000
"""Time from the start of a term to its first record. Reachable endpoints are listed
once a second; before, the scheduler would take the others as lost."""

_AFTER_EXCLUSIONS_MS = 1 << 62
"""A time at which all temporary exclusions of endpoints have passed. They last from
0.3 to 7 s, and an endpoint that is full for a moment is no lost capacity."""

PLACED_WORK_PART = 2
"""Divisor of the work of placed units that is still to be done. The log does not hold
their progress; units that started at different times have half left on average."""

IDLE_PARTS = 20
"""Idle room of one part in so many of the capacity can be used although units wait,
which then need other shapes or labels. Less is not told apart from what is about to be
placed, since the capacity is known to within a twentieth."""


class CapacityReporter:
    """Decides when the scheduler publishes the capacity of each service."""

    def __init__(self, term: int, began_ms: int):
        self._term = term
        self._next_check_ms = began_ms + CAPACITY_SETTLES_MS
        self._newest_by_service: dict[str, tuple[int, Resources]] = {}

    def due_records(
        self,
        endpoints: Iterable[Endpoint],
        services: Collection[str],
        now_ms: int,
        wall_ms: int,
    ) -> list[ServiceCapacity]:
        """Return the records that are due, which the caller appends to the log.

        ``services`` are the configured ones; there is no record of any other.
        """
        if now_ms < self._next_check_ms:
            return []
        self._next_check_ms = now_ms + CAPACITY_CHECK_MS
        capacities = _usable_capacities(endpoints)
        for service in self._newest_by_service:
            capacities.setdefault(service, Resources())
        records = []
        for service, capacity in capacities.items():
            # An endpoint's report may name any service, and nothing reads its record.
            if service not in services:
                continue
            newest = self._newest_by_service.get(service)
            if newest is not None:
                sent_ms, before = newest
                is_due = now_ms - sent_ms >= CAPACITY_INTERVAL_MS
                if not is_due and not _has_changed(before, capacity):
                    continue
            self._newest_by_service[service] = now_ms, capacity
            records.append(ServiceCapacity(service, self._term, wall_ms, capacity))
        return records


def _usable_capacities(endpoints: Iterable[Endpoint]) -> dict[str, Resources]:
    amounts_by_service: dict[str, list[int]] = {}
    for endpoint in endpoints:
        amounts = amounts_by_service.setdefault(endpoint.info.service, [0, 0, 0])
        if endpoint.is_usable(_AFTER_EXCLUSIONS_MS):
            capacity = endpoint.info.capacity
            amounts[0] += capacity.cpu_milli
            amounts[1] += capacity.memory_mb
            amounts[2] += capacity.gpus
    return {name: Resources(*amounts) for name, amounts in amounts_by_service.items()}


def _has_changed(before: Resources, after: Resources) -> bool:
    pairs = (
        (before.cpu_milli, after.cpu_milli),
        (before.memory_mb, after.memory_mb),
        (before.gpus, after.gpus),
    )
    return any(abs(old - new) * CAPACITY_CHANGE_PARTS > old for old, new in pairs)


class ShareLevels:
    """Tells what the fair share of each organisation would be if it asked for all.

    It is the rule of ``shares.py`` for amounts of one resource, by which the sum of all
    ``min(ask, max(floor, level))`` is 1. Sums are kept for each level at which a share
    begins or ceases to grow, so that one organisation takes a search and not a walk.
    All amounts are fractions of the capacity.

    >>> levels = ShareLevels({"a": 0.2, "b": 1.0}, {"b": 0.5})
    >>> [round(levels.share(name), 3) for name in ("a", "b", "c")]
    [0.5, 0.8, 0.3]
    """

    def __init__(self, asks: Mapping[str, float], floors: Mapping[str, float]):
        self._asks = asks
        self._floors = floors
        total = sum(min(ask, floors.get(name, 0.0)) for name, ask in asks.items())
        changes = []
        for name, ask in asks.items():
            floor = floors.get(name, 0.0)
            if floor < ask:
                # The share grows with the level from the floor to what is asked.
                changes += [(floor, 1), (ask, -1)]
        self._levels = [0.0]
        self._totals = [total]
        growing_count = 0
        for level, change in sorted(changes):
            total += growing_count * (level - self._levels[-1])
            self._levels.append(level)
            self._totals.append(total)
            growing_count += change

    def share(self, name: str) -> float:
        """Return the share of an organisation that asks for at least the capacity."""
        ask, floor = self._asks.get(name, 0.0), self._floors.get(name, 0.0)

        def with_level(level: float, total: float) -> float:
            return total - min(ask, max(floor, level)) + level

        if with_level(floor, self._total(floor)) >= 1:
            return min(max(1.0, ask), floor)
        # From the floor on, the sum is linear between two levels.
        above = bisect_left(
            range(len(self._levels)),
            1.0,
            lo=bisect_right(self._levels, floor),
            key=lambda n: with_level(self._levels[n], self._totals[n]),
        )
        low, low_total = self._levels[above - 1], self._totals[above - 1]
        if low < floor:
            low, low_total = floor, self._total(floor)
        missing = 1 - with_level(low, low_total)
        if above == len(self._levels):
            return low + missing
        high = self._levels[above]
        rise = with_level(high, self._totals[above]) - with_level(low, low_total)
        return low + missing * (high - low) / rise

    def _total(self, level: float) -> float:
        """Return the sum of all shares at a level."""
        above = bisect_right(self._levels, level)
        low, total = self._levels[above - 1], self._totals[above - 1]
        if above == len(self._levels):
            return total
        part = (level - low) / (self._levels[above] - low)
        return total + part * (self._totals[above] - total)


class ServiceForecast:
    """The load and the capacity of one service at one time.

    ``load_by_key`` holds the loads by priority and organisation.
    """

    def __init__(self, capacity: Resources, floors: Mapping[str, float]):
        self.capacity = capacity
        self._floors = floors
        self.load_by_key: dict[tuple[int, str], Load] = {}
        self._total = Load()
        self._recent = Load()
        self._load_by_organisation: dict[str, Load] | None = None
        self._ahead_by_priority: dict[int, Load] = {}
        self._share_levels: ShareLevels | None = None

    def add(self, priority: int, organisation: str, load: Load) -> None:
        """Add the load of an organisation's jobs in a queue."""
        self.load_by_key.setdefault((priority, organisation), Load()).add(load)
        self._total.add(load)
        for other, ahead in self._ahead_by_priority.items():
            if other >= priority:
                ahead.add(load)
        if self._load_by_organisation is not None:
            self._load_by_organisation.setdefault(organisation, Load()).add(load)

    def add_recent(self, priority: int, organisation: str, load: Load) -> None:
        """Add the load of a job that the scheduler may not have seen yet."""
        self.add(priority, organisation, load)
        self._recent.add(load)

    def work_ms(self, spec: JobSpec) -> float | None:
        """Return how long the whole service would work on a job; None if unknown."""
        load = load_of(spec)
        if _uses_gpus(spec):
            return _ratio(load.waiting_gpu_ms, self._gpus())
        return _ratio(load.waiting_cpu_ms, self._cpu_milli())

    def wait_ms(self, priority: int, uses_gpus: bool) -> float | None:
        """Return the work ahead of a priority by the capacity; None if unknown.

        Long-running units take their room off the capacity, as they do not end.
        """
        ahead = self._ahead(priority)
        if uses_gpus:
            placed_ms, capacity = self._total.placed_gpu_ms, self._gpus()
            work_ms = ahead.waiting_gpu_ms + placed_ms // PLACED_WORK_PART
        else:
            placed_ms, capacity = self._total.placed_cpu_ms, self._cpu_milli()
            work_ms = ahead.waiting_cpu_ms + placed_ms // PLACED_WORK_PART
        return _ratio(work_ms, capacity)

    def wait_in_share_ms(self, spec: JobSpec, priority: int) -> float | None:
        """Return how long a job waits for the rest of its organisation's fair share.

        None if the organisation is not within its share.
        """
        organisation = spec.organisation
        own = Load()
        for (other, name), load in self.load_by_key.items():
            if name == organisation and other <= priority:
                own.add(load)
        share = self._share(organisation)
        if share <= 0 or self._use(organisation) >= share:
            return None
        if _uses_gpus(spec):
            work_ms = own.waiting_gpu_ms + own.placed_gpu_ms // PLACED_WORK_PART
            return _ratio(work_ms, share * self._gpus())
        work_ms = own.waiting_cpu_ms + own.placed_cpu_ms // PLACED_WORK_PART
        return _ratio(work_ms, share * self._cpu_milli())

    def has_idle_room(self, spec: JobSpec, priority: int) -> bool:
        """Whether the largest unit of a job fits beside what is placed.

        Jobs that the scheduler may not have seen count as placed. Of what waits before
        the job, only a twentieth of the capacity counts: if more is idle, the waiting
        units evidently cannot use it.
        """
        ahead, recent = self._ahead(priority), self._recent
        total, capacity = self._total, self.capacity
        for step in spec.steps:
            tasks = step.count if step.is_gang else 1
            need = step.occupied
            for needed, size, placed, waiting in (
                (
                    need.gpus,
                    capacity.gpus,
                    total.placed_gpus + recent.waiting_gpus,
                    ahead.waiting_gpus,
                ),
                (
                    need.cpu_milli,
                    capacity.cpu_milli,
                    total.placed_cpu_milli + recent.waiting_cpu_milli,
                    ahead.waiting_cpu_milli,
                ),
                (
                    need.memory_mb,
                    capacity.memory_mb,
                    total.placed_memory_mb + recent.waiting_memory_mb,
                    ahead.waiting_memory_mb,
                ),
            ):
                margin = min(waiting, size // IDLE_PARTS)
                if needed and size - placed < tasks * needed + margin:
                    return False
        return True

    def _ahead(self, priority: int) -> Load:
        ahead = self._ahead_by_priority.get(priority)
        if ahead is None:
            ahead = self._ahead_by_priority[priority] = Load()
            for (other, _), load in self.load_by_key.items():
                if other <= priority:
                    ahead.add(load)
        return ahead

    def _gpus(self) -> int:
        return self.capacity.gpus - self._total.lasting_gpus

    def _cpu_milli(self) -> int:
        return self.capacity.cpu_milli - self._total.lasting_cpu_milli

    def _share(self, organisation: str) -> float:
        """Return an organisation's fair share if it asked for the whole capacity.

        What it asks now would bound the share, and so lengthen the wait of more jobs.
        """
        if self._share_levels is None:
            asks = {
                name: self._dominant_share(load, counts_waiting=True)
                for name, load in self._loads_by_organisation().items()
            }
            self._share_levels = ShareLevels(asks, self._floors)
        return self._share_levels.share(organisation)

    def _use(self, organisation: str) -> float:
        load = self._loads_by_organisation().get(organisation)
        return 0.0 if load is None else self._dominant_share(load, counts_waiting=False)

    def _loads_by_organisation(self) -> dict[str, Load]:
        if self._load_by_organisation is None:
            self._load_by_organisation = {}
            for (_, name), load in self.load_by_key.items():
                self._load_by_organisation.setdefault(name, Load()).add(load)
        return self._load_by_organisation

    def _dominant_share(self, load: Load, counts_waiting: bool) -> float:
        """Return the largest part of a resource of the service that a load takes."""
        capacity = self.capacity
        times = int(counts_waiting)
        gpus = load.placed_gpus + times * load.waiting_gpus
        cpu_milli = load.placed_cpu_milli + times * load.waiting_cpu_milli
        memory_mb = load.placed_memory_mb + times * load.waiting_memory_mb
        return max(
            gpus / max(1, capacity.gpus),
            cpu_milli / max(1, capacity.cpu_milli),
            memory_mb / max(1, capacity.memory_mb),
        )


class Forecast:
    """The forecasts of all services, computed from one copy of the backlog.

    ``capacity_by_service`` has only what is recent enough to be used.
    """

    def __init__(
        self,
        load_by_key: Mapping[LoadKey, Load],
        capacity_by_service: Mapping[str, Resources],
        configuration: ServiceConfiguration,
    ):
        self._queue_by_name = configuration.queue_by_name
        self.by_service: dict[str, ServiceForecast] = {}
        self._urgent_gpus_by_organisation: dict[str, int] = {}
        for service, capacity in capacity_by_service.items():
            floors = {
                organisation.name: organisation.guaranteed_gpus / capacity.gpus
                for organisation in configuration.organisations
                if capacity.gpus
            }
            self.by_service[service] = ServiceForecast(capacity, floors)
        for key, load in load_by_key.items():
            self._add(key, load, is_recent=False)

    def add_job(self, spec: JobSpec) -> None:
        """Count a job that was accepted after the backlog was copied."""
        key = spec.service, spec.queue, spec.organisation
        self._add(key, load_of(spec), is_recent=True)

    def urgent_gpus(self, organisation: str) -> int:
        """Return the accelerators of an organisation's open jobs of priority 0.

        Guarantees extend over all services.
        """
        return self._urgent_gpus_by_organisation.get(organisation, 0)

    def _add(self, key: LoadKey, load: Load, is_recent: bool) -> None:
        service, queue_name, organisation = key
        queue = self._queue_by_name.get(queue_name)
        # The jobs of a withdrawn queue are less urgent than all others.
        priority = queue.priority if queue else 1 << 10
        if priority == 0:
            gpus = self._urgent_gpus_by_organisation
            gpus[organisation] = gpus.get(organisation, 0) + load.job_gpus
        forecast = self.by_service.get(service)
        if forecast is None:
            return
        if is_recent:
            forecast.add_recent(priority, organisation, load)
        else:
            forecast.add(priority, organisation, load)


def _uses_gpus(spec: JobSpec) -> bool:
    return any(step.request.gpus for step in spec.steps)


def _ratio(work_ms: float, capacity: float) -> float | None:
    return work_ms / capacity if capacity > 0 else None
