"""Periodic job maintenance by a placer, apart from placing jobs.

It tracks which accelerators organisations hold and which are free in the other data
centres, moves the jobs of a lost data centre, and ends the jobs of withdrawn
organisations as their release note says.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ..core.jobs import JobEntry, JobLedger, rehome
from ..core.membership import MemberStatus, View
from ..core.model import Configuration
from ..core.placement import DataCentreScheduler
from ..core.streams import CancelRequested, Record
from .clock import wall_ms

__all__ = [
    "Capacity",
    "JobMaintenance",
    "data_centres_without_instance",
    "withdrawal_cancellations",
]

_LOST_AFTER_MS = 60_000
_RELOCATION_CANDIDATES_MAX = 16


@dataclass(frozen=True, slots=True)
class Capacity:
    """Free capacity of a data centre, which its placer shares with the others.

    ``free`` counts accelerators. ``holes`` holds the distinct numbers of free
    accelerators on partly used workers, in ascending order.
    """

    data_centre: str
    free: int
    holes: tuple[int, ...]


class JobMaintenance:
    """The maintenance of one placer; `due_records` returns the records to append."""

    def __init__(
        self, data_centre: str, scheduler: DataCentreScheduler, ledger: JobLedger
    ):
        self._data_centre = data_centre
        self._scheduler = scheduler
        self._ledger = ledger
        self._organisations_held_elsewhere: set[str] = set()
        self._absent_since_ms: dict[str, int] = {}

    def capacity(self) -> Capacity:
        """Return the free capacity to share with the other data centres' placers."""
        return Capacity(
            self._data_centre, self._scheduler.free(), self._scheduler.holes()
        )

    def record_remote_capacity(self, capacities: Iterable[Capacity]) -> None:
        """Report to the scheduler what is held and free in the other data centres."""
        held: Counter[str] = Counter()
        for entry in self._ledger.active():
            if entry.is_open and entry.home_data_centre != self._data_centre:
                held[entry.spec.organisation] += entry.spec.accelerators
        for organisation in self._organisations_held_elsewhere | set(held):
            self._scheduler.set_held_elsewhere(organisation, held[organisation])
        self._organisations_held_elsewhere = set(held)
        others = [
            capacity
            for capacity in capacities
            if capacity.data_centre != self._data_centre
        ]
        holes = sorted({hole for capacity in others for hole in capacity.holes})
        self._scheduler.set_free_elsewhere(
            sum(capacity.free for capacity in others), tuple(holes)
        )

    def relocation_candidates(self) -> tuple[JobEntry, ...]:
        """Return the oldest waiting job of each shape, for other data centres to quote.

        Only one job of a shape is offered at a time, since the data centre that takes
        it may have no capacity for a second one.
        """
        oldest_by_shape: dict[tuple, JobEntry] = {}
        for entry in self._ledger.active():
            spec = entry.spec
            is_here = entry.home_data_centre == self._data_centre
            if is_here and entry.is_waiting and self._scheduler.is_waiting(spec.job_id):
                shape = (
                    spec.organisation,
                    spec.accelerators,
                    spec.adjacency,
                    spec.is_reclaimable,
                    spec.priority,
                )
                oldest_by_shape.setdefault(shape, entry)
        by_priority = sorted(
            oldest_by_shape.values(), key=lambda entry: entry.spec.priority
        )
        return tuple(by_priority[:_RELOCATION_CANDIDATES_MAX])

    def due_records(
        self, configuration: Configuration, view: View, now_ms: int
    ) -> list[Record]:
        """Return the records to append for withdrawals and lost data centres."""
        records: list[Record] = list(
            withdrawal_cancellations(
                self._ledger.active(), configuration, self._data_centre
            )
        )
        for name in self._lost_data_centres(configuration, view, now_ms):
            records += rehome(self._ledger, name, configuration, wall_ms())
        return records

    def _lost_data_centres(
        self, configuration: Configuration, view: View, now_ms: int
    ) -> list[str]:
        """Return the data centres without a live instance for ``_LOST_AFTER_MS``."""
        absent = data_centres_without_instance(configuration, view)
        self._absent_since_ms = {
            name: self._absent_since_ms.get(name, now_ms) for name in absent
        }
        return [
            name
            for name, since_ms in self._absent_since_ms.items()
            if now_ms - since_ms >= _LOST_AFTER_MS
        ]


def data_centres_without_instance(
    configuration: Configuration, view: View
) -> tuple[str, ...]:
    """Return the configured data centres without a live instance."""
    alive = {
        member.instance.data_centre
        for member in view.members_by_name.values()
        if member.status is not MemberStatus.DEAD
    }
    return tuple(sorted(set(configuration.data_centres_by_name) - alive))


def withdrawal_cancellations(
    entries: Iterable[JobEntry], configuration: Configuration, data_centre: str
) -> tuple[CancelRequested, ...]:
    """Return the cancellations to append for jobs of withdrawn organisations.

    Only jobs whose home is ``data_centre`` are considered, so that exactly one placer
    cancels each job.
    """
    return tuple(
        CancelRequested(entry.spec.job_id, f"withdrawal of {entry.spec.organisation}")
        for entry in entries
        if entry.home_data_centre == data_centre
        and not entry.is_cancel_requested
        and _is_ended_by_withdrawal(entry, configuration)
    )


def _is_ended_by_withdrawal(entry: JobEntry, configuration: Configuration) -> bool:
    organisation = entry.spec.organisation
    withdrawal = configuration.withdrawn_organisations_by_name.get(organisation)
    if withdrawal is None:
        return False
    if entry.is_open:
        return withdrawal.running == "stop"
    return withdrawal.waiting == "refuse"
