"""Weighted fair queue of waiting requests.

Organisations share service by weight: each has a virtual time that grows by the
service it received divided by its weight, and the one with the lowest is served next.
Within an organisation, higher priorities go first. Among equal priorities the request
classes share service by ``WEIGHT_BY_CLASS`` in the same way, so that long requests
neither delay quick ones nor starve. Within a class, the earliest deadline goes first.
Priorities are not compared across organisations, so that an organisation gains nothing
by marking all its requests urgent.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

from ..model import Request, RequestClass
from .service_rate import ServiceRate

__all__ = ["FairQueue"]

WEIGHT_BY_CLASS = {
    RequestClass.QUICK: 4,
    RequestClass.ORDINARY: 2,
    RequestClass.LONG: 1,
}


@dataclass(slots=True)
class _ClassQueue:
    """Waiting requests of one class of one organisation, in order of service.

    ``cost_ms`` is the sum of their expected run times, and ``rate`` measures how fast
    requests of the class have been started recently.
    """

    request_by_sort_key: SortedDict = field(default_factory=SortedDict)
    virtual_ms: float = 0.0
    cost_ms: float = 0.0
    rate: ServiceRate = field(default_factory=ServiceRate)

    def head(self) -> tuple[tuple, Request]:
        return self.request_by_sort_key.peekitem(0)


@dataclass(slots=True)
class _OrganisationQueue:
    """Queues of one organisation by class, with its virtual times.

    ``virtual_ms`` is the virtual time of the organisation, and ``class_virtual_ms`` is
    the highest virtual time at which one of its classes was served.
    """

    queue_by_class: dict[RequestClass, _ClassQueue] = field(default_factory=dict)
    virtual_ms: float = 0.0
    class_virtual_ms: float = 0.0
    waiting: int = 0

    def backlogged(self) -> list[tuple[RequestClass, _ClassQueue]]:
        return [(c, q) for c, q in self.queue_by_class.items() if q.request_by_sort_key]

    def head(self) -> Request:
        best = None
        for cls, queue in self.backlogged():
            sort_key, request = queue.head()
            key = (sort_key[0], queue.virtual_ms, cls)
            if best is None or key < best[0]:
                best = (key, request)
        return best[1]


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    """A waiting request with its sort key and expected run time."""

    request: Request
    sort_key: tuple
    cost_ms: float


class FairQueue:
    """Waiting requests in the order of service.

    ``cost_ms`` is the expected run time of a request. ``pop`` charges it to the
    organisation, and ``adjust_cost`` replaces it by the actual run time afterwards.
    """

    def __init__(self):
        self._queue_by_organisation: dict[str, _OrganisationQueue] = {}
        self._weight_by_organisation: dict[str, int] = {}
        self._queued_by_id: dict[str, _QueuedRequest] = {}
        self._arrival_numbers = itertools.count()
        self._virtual_ms = 0.0

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._queued_by_id

    def set_weights(self, weight_by_organisation: dict[str, int]) -> None:
        """Replace all weights; an organisation without one has weight 1."""
        self._weight_by_organisation = dict(weight_by_organisation)

    def weight(self, organisation: str) -> int:
        """Return the weight of an organisation, at least 1."""
        return max(1, self._weight_by_organisation.get(organisation, 1))

    def push(self, request: Request, cost_ms: float) -> None:
        """Add a request; its id must not be waiting already."""
        organisation = self._queue_by_organisation.setdefault(
            request.organisation, _OrganisationQueue()
        )
        queue = organisation.queue_by_class.setdefault(
            request.request_class, _ClassQueue()
        )
        # An idle organisation or class accumulates no credit.
        if not organisation.waiting:
            organisation.virtual_ms = max(organisation.virtual_ms, self._virtual_ms)
        if not queue.request_by_sort_key:
            queue.virtual_ms = max(queue.virtual_ms, organisation.class_virtual_ms)
        sort_key = (request.priority, request.deadline_ms, next(self._arrival_numbers))
        queue.request_by_sort_key[sort_key] = request
        queue.cost_ms += cost_ms
        organisation.waiting += 1
        self._queued_by_id[request.request_id] = _QueuedRequest(
            request, sort_key, cost_ms
        )

    def remove(self, request_id: str) -> Request | None:
        """Remove a waiting request without charging its cost."""
        queued = self._queued_by_id.pop(request_id, None)
        if queued is None:
            return None
        organisation, queue = self._queues(queued.request)
        queue.cost_ms -= queued.cost_ms
        organisation.waiting -= 1
        return queue.request_by_sort_key.pop(queued.sort_key)

    def peek(self, is_eligible: Callable[[str], bool] | None = None) -> Request | None:
        """Return the next request to serve among the eligible organisations."""
        best = None
        for name, organisation in self._queue_by_organisation.items():
            if not organisation.waiting:
                continue
            if is_eligible is not None and not is_eligible(name):
                continue
            key = (organisation.virtual_ms, name)
            if best is None or key < best[0]:
                best = (key, organisation)
        return None if best is None else best[1].head()

    def pop(self, request: Request, now_ms: int) -> Request:
        """Remove a request that starts now and charge its expected cost."""
        cost_ms = self._queued_by_id[request.request_id].cost_ms
        organisation, queue = self._queues(request)
        self._virtual_ms = max(self._virtual_ms, organisation.virtual_ms)
        organisation.virtual_ms += cost_ms / self.weight(request.organisation)
        organisation.class_virtual_ms = max(
            organisation.class_virtual_ms, queue.virtual_ms
        )
        queue.virtual_ms += cost_ms / WEIGHT_BY_CLASS[request.request_class]
        queue.rate.record(cost_ms, now_ms)
        self.remove(request.request_id)
        return request

    def adjust_cost(self, request: Request, difference_ms: float) -> None:
        """Charge the difference between the actual and the expected run time."""
        if request.organisation in self._queue_by_organisation:
            organisation, queue = self._queues(request)
            weight = self.weight(request.organisation)
            organisation.virtual_ms += difference_ms / weight
            queue.virtual_ms += difference_ms / WEIGHT_BY_CLASS[request.request_class]

    def waiting(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        queue = self._queue_by_organisation.get(organisation)
        return 0 if queue is None else queue.waiting

    def work_ms(self, organisation: str) -> float:
        """Return the total expected run time of an organisation's waiting requests."""
        queue = self._queue_by_organisation.get(organisation)
        if queue is None:
            return 0.0
        return max(0.0, sum(q.cost_ms for q in queue.queue_by_class.values()))

    def expected_wait_ms(self, request: Request, slots: int, now_ms: int) -> float:
        """Return how long ``request`` would wait if it arrived now.

        This is the work queued before it in its class, divided by the class's fair
        share of ``slots`` or by its recent rate of service, whichever is higher.
        """
        organisation = self._queue_by_organisation.get(request.organisation)
        queue = organisation and organisation.queue_by_class.get(request.request_class)
        if not queue or not queue.request_by_sort_key:
            return 0.0
        position = queue.request_by_sort_key.bisect_left(
            (request.priority, request.deadline_ms, float("inf"))
        )
        ahead_ms = queue.cost_ms * position / len(queue.request_by_sort_key)
        weight = self.weight(request.organisation)
        class_weight = WEIGHT_BY_CLASS[request.request_class]
        total_class_weight = sum(
            WEIGHT_BY_CLASS[cls] for cls, _ in organisation.backlogged()
        )
        share = weight / self._backlogged_weight() * class_weight / total_class_weight
        return ahead_ms / max(slots * share, queue.rate.per_ms(now_ms))

    def requests(self) -> list[Request]:
        """Return all waiting requests."""
        return [queued.request for queued in self._queued_by_id.values()]

    def _queues(self, request: Request) -> tuple[_OrganisationQueue, _ClassQueue]:
        organisation = self._queue_by_organisation[request.organisation]
        return organisation, organisation.queue_by_class[request.request_class]

    def _backlogged_weight(self) -> int:
        return sum(
            self.weight(name)
            for name, organisation in self._queue_by_organisation.items()
            if organisation.waiting
        )
