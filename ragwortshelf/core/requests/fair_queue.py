"""Weighted fair queue of waiting requests.

Organisations share service by weight: each has a virtual time that grows by the
service it received divided by its weight, and the one furthest behind is served next.
Within an organisation, higher priorities go first; among equal ones the request
classes share service by ``WEIGHT_BY_CLASS`` in the same way, so that long requests
neither hold up quick ones nor starve; within a class the order is the stored deadline.
Priority does not cross organisations, so that nobody gains by calling everything
urgent.
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
    """Waiting requests of one class of one organisation, in order of service."""

    request_by_order: SortedDict = field(default_factory=SortedDict)
    virtual_ms: float = 0.0
    cost_ms: float = 0.0
    rate: ServiceRate = field(default_factory=ServiceRate)

    def head(self) -> tuple[tuple, Request]:
        return self.request_by_order.peekitem(0)


@dataclass(slots=True)
class _OrganisationQueue:
    """Classes of one organisation, and the virtual times of both levels."""

    queue_by_class: dict[RequestClass, _ClassQueue] = field(default_factory=dict)
    virtual_ms: float = 0.0
    class_virtual_ms: float = 0.0
    waiting: int = 0

    def busy(self) -> list[tuple[RequestClass, _ClassQueue]]:
        return [(c, q) for c, q in self.queue_by_class.items() if q.request_by_order]

    def head(self) -> Request:
        best = None
        for cls, queue in self.busy():
            order, request = queue.head()
            key = (order[0], queue.virtual_ms, cls)
            if best is None or key < best[0]:
                best = (key, request)
        return best[1]


@dataclass(frozen=True, slots=True)
class _Place:
    request: Request
    order: tuple
    cost_ms: float


class FairQueue:
    """Requests that wait, in the order of service.

    ``cost_ms`` is the expected run time of a request. ``pop`` charges it to the
    organisation and ``correct`` replaces it by the true run time afterwards.
    """

    def __init__(self):
        self._queue_by_organisation: dict[str, _OrganisationQueue] = {}
        self._weight_by_organisation: dict[str, int] = {}
        self._place_by_id: dict[str, _Place] = {}
        self._order = itertools.count()
        self._virtual_ms = 0.0

    def __len__(self) -> int:
        return len(self._place_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._place_by_id

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
        # Whoever was idle gets no credit for the time in which it was idle.
        if not organisation.waiting:
            organisation.virtual_ms = max(organisation.virtual_ms, self._virtual_ms)
        if not queue.request_by_order:
            queue.virtual_ms = max(queue.virtual_ms, organisation.class_virtual_ms)
        order = (request.priority, request.deadline_ms, next(self._order))
        queue.request_by_order[order] = request
        queue.cost_ms += cost_ms
        organisation.waiting += 1
        self._place_by_id[request.request_id] = _Place(request, order, cost_ms)

    def remove(self, request_id: str) -> Request | None:
        """Take out a waiting request without charging it."""
        place = self._place_by_id.pop(request_id, None)
        if place is None:
            return None
        organisation, queue = self._queues(place.request)
        queue.cost_ms -= place.cost_ms
        organisation.waiting -= 1
        return queue.request_by_order.pop(place.order)

    def peek(self, is_eligible: Callable[[str], bool] | None = None) -> Request | None:
        """Return the request that is served next among eligible organisations."""
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
        """Take out a request that is served now and charge its expected cost."""
        cost_ms = self._place_by_id[request.request_id].cost_ms
        organisation, queue = self._queues(request)
        self._virtual_ms = max(self._virtual_ms, organisation.virtual_ms)
        organisation.virtual_ms += cost_ms / self.weight(request.organisation)
        organisation.class_virtual_ms = max(
            organisation.class_virtual_ms, queue.virtual_ms
        )
        queue.virtual_ms += cost_ms / WEIGHT_BY_CLASS[request.request_class]
        queue.rate.note(cost_ms, now_ms)
        self.remove(request.request_id)
        return request

    def correct(self, request: Request, difference_ms: float) -> None:
        """Charge the difference between the true and the expected run time."""
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
        """Return the expected run time of all that an organisation has waiting."""
        queue = self._queue_by_organisation.get(organisation)
        if queue is None:
            return 0.0
        return max(0.0, sum(q.cost_ms for q in queue.queue_by_class.values()))

    def expected_wait_ms(self, request: Request, slots: int, now_ms: int) -> float:
        """Return how long ``request`` would wait if it came now.

        What goes before it in its class, served at the class's fair share of ``slots``
        or as fast as lately observed, whichever is faster.
        """
        organisation = self._queue_by_organisation.get(request.organisation)
        queue = organisation and organisation.queue_by_class.get(request.request_class)
        if not queue or not queue.request_by_order:
            return 0.0
        position = queue.request_by_order.bisect_left(
            (request.priority, request.deadline_ms, float("inf"))
        )
        ahead_ms = queue.cost_ms * position / len(queue.request_by_order)
        weight = self.weight(request.organisation)
        class_weight = WEIGHT_BY_CLASS[request.request_class]
        busy_classes = sum(WEIGHT_BY_CLASS[cls] for cls, _ in organisation.busy())
        share = weight / self._busy_weight() * class_weight / busy_classes
        return ahead_ms / max(slots * share, queue.rate.per_ms(now_ms))

    def requests(self) -> list[Request]:
        """Return all waiting requests."""
        return [place.request for place in self._place_by_id.values()]

    def _queues(self, request: Request) -> tuple[_OrganisationQueue, _ClassQueue]:
        organisation = self._queue_by_organisation[request.organisation]
        return organisation, organisation.queue_by_class[request.request_class]

    def _busy_weight(self) -> int:
        return sum(
            self.weight(name)
            for name, organisation in self._queue_by_organisation.items()
            if organisation.waiting
        )
