"""Evacuation of data centres: which ones get nothing new, and whether they are empty.

Requests forbid starts, not work. Starts that are not confirmed yet are withdrawn, and
what runs continues, apart from long-running units: these never end, so they are moved
once there is room for them elsewhere.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping

from .actions import EvacuationChange, ReportEvacuation
from .availability import may_be_stopped
from .endpoint import Endpoint
from .model import UnitKey, UnitPhase
from .task_placement import RunStage
from .unit import Unit

__all__ = ["Evacuations", "is_to_be_moved", "units_on", "units_to_withdraw"]


class Evacuations:
    """The data centres to be emptied, with the time of each request.

    Times are those at which this instance learned of the requests.
    """

    def __init__(self) -> None:
        self._since_ms_by_data_centre: dict[str, int] = {}
        self._empty: set[str] = set()

    def __len__(self) -> int:
        return len(self._since_ms_by_data_centre)

    def __contains__(self, data_centre: str) -> bool:
        return data_centre in self._since_ms_by_data_centre

    def replace(
        self,
        since_ms_by_data_centre: Mapping[str, int],
        endpoints: Iterable[Endpoint],
        now_ms: int,
    ) -> list[ReportEvacuation]:
        """Replace the requests, mark the endpoints, and report what has changed."""
        before, after = self._since_ms_by_data_centre, dict(since_ms_by_data_centre)
        self._since_ms_by_data_centre = after
        self._empty &= after.keys()
        endpoints = list(endpoints)
        for endpoint in endpoints:
            self.mark(endpoint)
        reports = []
        for data_centre in sorted(after.keys() - before.keys()):
            there = [e for e in endpoints if e.info.data_centre == data_centre]
            reports.append(
                ReportEvacuation(
                    EvacuationChange.REQUESTED,
                    data_centre,
                    endpoints=len(there),
                    runs=sum(map(_run_count, there)),
                )
            )
        for data_centre in sorted(before.keys() - after.keys()):
            age_ms = now_ms - before[data_centre]
            reports.append(
                ReportEvacuation(EvacuationChange.WITHDRAWN, data_centre, age_ms=age_ms)
            )
        return reports

    def mark(self, endpoint: Endpoint) -> None:
        """Mark an endpoint if its data centre is evacuated."""
        endpoint.is_evacuated = endpoint.info.data_centre in self

    def check_empty(
        self, endpoints: Iterable[Endpoint], now_ms: int
    ) -> list[ReportEvacuation]:
        """Report the data centres in which the last run has ended since the last check.

        None is empty while runs of an earlier term are placed on endpoints whose data
        centre is not known yet.
        """
        if not self._since_ms_by_data_centre:
            return []
        busy = {e.info.data_centre for e in endpoints if _run_count(e)}
        empty = set() if "" in busy else self._since_ms_by_data_centre.keys() - busy
        reports = [
            ReportEvacuation(
                EvacuationChange.EMPTIED,
                data_centre,
                age_ms=now_ms - self._since_ms_by_data_centre[data_centre],
            )
            for data_centre in sorted(empty - self._empty)
        ]
        self._empty = empty
        return reports

    def oldest_age_ms(self, now_ms: int) -> int:
        """Return the age of the oldest request not yet carried out; 0 if there is none.

        A request is carried out once its data centre is empty.
        """
        since_ms = (
            since_ms
            for data_centre, since_ms in self._since_ms_by_data_centre.items()
            if data_centre not in self._empty
        )
        return now_ms - min(since_ms, default=now_ms)


def units_to_withdraw(
    endpoints: Collection[Endpoint], unit_by_key: Mapping[UnitKey, Unit]
) -> list[Unit]:
    """Return the placed units with an unconfirmed start on one of the endpoints.

    Whether a run that an earlier term placed has started is known from the endpoint's
    first listing. Until then it may be at work, and its unit is left alone.
    """
    ids = {endpoint.id for endpoint in endpoints}
    return [
        unit
        for unit in units_on(endpoints, unit_by_key)
        if unit.phase is UnitPhase.PLACED
        and any(
            p.stage is RunStage.ORDERED and p.endpoint_id in ids
            for p in unit.placements
        )
    ]


def is_to_be_moved(unit: Unit, unit_by_key: Mapping[UnitKey, Unit]) -> bool:
    """Whether a unit that runs on an evacuated endpoint may be stopped for a move."""
    return (
        unit.step.is_long_running
        and unit.phase is UnitPhase.PLACED
        and all(p.stage is RunStage.RUNNING for p in unit.placements)
        and may_be_stopped(unit, unit_by_key)
    )


def units_on(
    endpoints: Iterable[Endpoint], unit_by_key: Mapping[UnitKey, Unit]
) -> Iterator[Unit]:
    """Yield the units that have a placement on one of the endpoints, each once."""
    seen: set[UnitKey] = set()
    for endpoint in endpoints:
        for placement in endpoint.placements():
            unit = unit_by_key.get(placement.unit_key)
            if unit is not None and unit.key not in seen:
                seen.add(unit.key)
                yield unit


def _run_count(endpoint: Endpoint) -> int:
    return len(endpoint.placement_by_task) + len(endpoint.unplaced_by_run)
