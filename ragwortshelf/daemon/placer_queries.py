"""Queries between instances and the placers of all data centres.

Any instance accepts queries about workers and placement decisions, and forwards each to
the placer of the data centre concerned.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import trio

from ..core.model import JobSpec, Unreachable
from ..core.placement import DataCentreScheduler
from .clock import monotonic_ms
from .instance_context import InstanceContext
from .peer_messages import (
    Acknowledged,
    ExplainJob,
    Explanation,
    JobAnswer,
    ListWorkers,
    PlaceOffLog,
    Quarantine,
    QuoteJobs,
    Quotes,
    WorkerRow,
    WorkerTable,
)
from .placer import PlacerService

__all__ = ["PlacerQueries"]

_PEER_TIMEOUT_MS = 5_000

PlaceNow = Callable[[JobSpec], Awaitable[JobAnswer]]


class PlacerQueries:
    """Sends queries to placers, and answers those addressed to this instance's placer.

    ``place_now`` accepts a job during a log outage if it can be placed immediately.
    """

    def __init__(
        self,
        node: InstanceContext,
        placer: PlacerService,
        scheduler: DataCentreScheduler,
        place_now: PlaceNow,
    ):
        self._node = node
        self._placer = placer
        self._scheduler = scheduler
        self._place_now = place_now
        self._handler_by_type = {
            ExplainJob: self._on_explain,
            ListWorkers: self._on_list_workers,
            Quarantine: self._on_quarantine,
            PlaceOffLog: self._on_place_off_log,
            QuoteJobs: self._on_quote,
        }
        for message_type, handler in self._handler_by_type.items():
            node.network.handle(message_type, handler)

    async def ask(self, data_centre: str, message: object) -> object | Unreachable:
        """Send a query to the placer of a data centre, which may be this instance."""
        placer = self._node.membership.view.placer_of(data_centre)
        if placer is None:
            return Unreachable("no placer", may_have_applied=False)
        if placer == self._node.settings.instance:
            return await self._handler_by_type[type(message)]("", message)
        return await self._node.network.call(
            placer, message, deadline_ms=self._node.deadline_ms(_PEER_TIMEOUT_MS)
        )

    async def _ask_each(
        self, data_centres: Iterable[str], message: object
    ) -> dict[str, object]:
        """Query several placers concurrently; return their answers by data centre."""
        answer_by_name: dict[str, object] = {}

        async def ask(name: str) -> None:
            answer_by_name[name] = await self.ask(name, message)

        async with trio.open_nursery() as nursery:
            for name in data_centres:
                nursery.start_soon(ask, name)
        return answer_by_name

    async def cheapest_data_centres(
        self, specs: tuple[JobSpec, ...], excluded: str
    ) -> dict[str, str]:
        """Return by job id the other data centre with the lowest placement cost.

        Jobs that can start nowhere else are omitted. ``excluded`` is the data centre
        where the jobs wait now.
        """
        others = set(self._node.configuration.data_centres_by_name) - {excluded}
        answers = await self._ask_each(others, QuoteJobs(specs))
        best_offer_by_id: dict[str, tuple[float, str]] = {}
        for name, answer in answers.items():
            costs = answer.costs if isinstance(answer, Quotes) else ()
            for spec, cost in zip(specs, costs, strict=False):
                if cost is not None:
                    offer = (cost, name)
                    best_offer_by_id[spec.job_id] = min(
                        best_offer_by_id.get(spec.job_id, offer), offer
                    )
        return {job_id: name for job_id, (_, name) in best_offer_by_id.items()}

    async def worker_tables(self) -> list[WorkerTable]:
        """Return the workers of every data centre whose placer answered."""
        names = sorted(self._node.configuration.data_centres_by_name)
        answers = await self._ask_each(names, ListWorkers())
        tables = (answers[name] for name in names)
        return [table for table in tables if isinstance(table, WorkerTable)]

    async def quarantine(self, worker: str, is_quarantined: bool) -> bool:
        """Quarantine or readmit a worker; False if its placer did not confirm it."""
        for name, centre in self._node.configuration.data_centres_by_name.items():
            if any(worker in rack.workers for rack in centre.racks):
                answer = await self.ask(name, Quarantine(worker, is_quarantined))
                return isinstance(answer, Acknowledged) and answer.is_done
        return False

    async def _on_explain(self, sender: str, message: ExplainJob) -> Explanation:
        return Explanation(self._scheduler.explain(message.job_id))

    async def _on_list_workers(self, sender: str, message: ListWorkers) -> WorkerTable:
        data_centre = self._node.settings.data_centre
        rows = tuple(
            WorkerRow(
                worker.worker,
                data_centre,
                worker.rack,
                worker.accelerators,
                worker.free_accelerators,
                worker.condition.value,
                worker.reason,
            )
            for worker in self._scheduler.workers()
        )
        shortfalls = tuple(
            f"{status.organisation}: {status.shape.accelerators} accelerators in one "
            f"{status.shape.adjacency.value} of {data_centre}: {status.detail}"
            for status in self._scheduler.guarantees()
            if not status.is_met
        )
        return WorkerTable(rows, shortfalls)

    async def _on_quarantine(self, sender: str, message: Quarantine) -> Acknowledged:
        if not self._placer.machine.is_placer:
            return Acknowledged(False)
        self._scheduler.set_quarantine(
            message.worker, message.is_quarantined, monotonic_ms()
        )
        return Acknowledged(True)

    async def _on_place_off_log(self, sender: str, message: PlaceOffLog) -> JobAnswer:
        return await self._place_now(message.spec)

    async def _on_quote(self, sender: str, message: QuoteJobs) -> Quotes:
        if not self._placer.machine.is_placer:
            return Quotes(())
        now_ms = monotonic_ms()
        return Quotes(
            tuple(
                self._scheduler.placement_cost(spec, now_ms) for spec in message.specs
            )
        )
