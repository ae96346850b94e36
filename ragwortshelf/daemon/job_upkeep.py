"""What a placer looks after beside its own data centre's placements.

It learns what organisations hold and what is free in the other data centres, gives the
jobs of a lost data centre new homes, and ends the jobs of withdrawn organisations as
their release note says.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ..core.jobs import JobEntry, JobLedger, rehome
from ..core.membership import MemberStatus, View
from ..core.model import Configuration
from ..core.placement import Scheduler
from ..core.streams import CancelRequested, Record
from .clock import wall_ms

__all__ = ["Capacity", "JobUpkeep", "data_centres_without_instance", "withdrawals"]

_LOST_AFTER_MS = 60_000
_OFFERS_MAX = 16


@dataclass(frozen=True, slots=True)
class Capacity:
    """What a placer shares of its data centre.

    ``free`` counts accelerators; ``holes`` are the different counts of free ones on
    workers that are in part taken, in rising order.
    """

    data_centre: str
    free: int
    holes: tuple[int, ...]


class JobUpkeep:
    """The upkeep of one placer; ``look`` returns the records to append."""

    def __init__(self, data_centre: str, scheduler: Scheduler, ledger: JobLedger):
        self._data_centre = data_centre
        self._scheduler = scheduler
        self._ledger = ledger
        self._held_organisations: set[str] = set()
        self._absent_since_ms: dict[str, int] = {}

    def capacity(self) -> Capacity:
        """Return what to share with the placers of the other data centres."""
        return Capacity(
            self._data_centre, self._scheduler.free(), self._scheduler.holes()
        )

    def note_elsewhere(self, capacities: Iterable[Capacity]) -> None:
        """Record what organisations hold and what is free in other data centres."""
        held: Counter[str] = Counter()
        for entry in self._ledger.active():
            if entry.is_open and entry.home_data_centre != self._data_centre:
                held[entry.spec.organisation] += entry.spec.accelerators
        for organisation in self._held_organisations | set(held):
            self._scheduler.set_held_elsewhere(organisation, held[organisation])
        self._held_organisations = set(held)
        others = [each for each in capacities if each.data_centre != self._data_centre]
        holes = sorted({hole for each in others for hole in each.holes})
        self._scheduler.set_free_elsewhere(
            sum(each.free for each in others), tuple(holes)
        )

    def blocked(self) -> tuple[JobEntry, ...]:
        """Return the oldest waiting job of each shape, to be offered elsewhere.

        One of a shape a round, since what takes it may have room for no second one.
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
        return tuple(by_priority[:_OFFERS_MAX])

    def look(
        self, configuration: Configuration, view: View, now_ms: int
    ) -> list[Record]:
        """Return records that withdrawals and lost data centres call for."""
        records: list[Record] = list(
            withdrawals(self._ledger.active(), configuration, self._data_centre)
        )
        for name in self._lost(configuration, view, now_ms):
            records += rehome(self._ledger, name, configuration, wall_ms())
        return records

    def _lost(self, configuration: Configuration, view: View, now_ms: int) -> list[str]:
        """Return the data centres that have had no live instance for a while."""
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
    """Return the configured data centres in which no instance lives."""
    alive = {
        member.instance.data_centre
        for member in view.members_by_name.values()
        if member.status is not MemberStatus.DEAD
    }
    return tuple(sorted(set(configuration.data_centres_by_name) - alive))


def withdrawals(
    entries: Iterable[JobEntry], configuration: Configuration, data_centre: str
) -> tuple[CancelRequested, ...]:
    """Return the cancellations that withdrawn organisations call for.

    Only jobs at home in ``data_centre`` count, so that one placer sees to each.
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
