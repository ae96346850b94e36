"""Weighted fair queue of waiting requests.

Organisations share service by weight: each has a virtual time that grows by the
service it received divided by its weight, and the one furthest behind is served next.
Within an organisation the order is priority, then stored deadline. Priority does not
cross organisations, so that nobody gains by calling everything urgent.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

from sortedcontainers import SortedDict

from ..model import Request

__all__ = ["FairQueue"]


class _OrganisationQueue:
    """Waiting requests of one organisation, and its virtual time."""

    def __init__(self):
        self.request_by_order = SortedDict()
        self.virtual_ms = 0.0
        self.cost_ms = 0.0


class FairQueue:
    """Requests that wait, in the order of service.

    ``cost_ms`` is the expected run time of a request. ``pop`` charges it to the
    organisation and ``correct`` replaces it by the true run time afterwards.
    """

    def __init__(self):
        self._queue_by_organisation: dict[str, _OrganisationQueue] = {}
        self._weight_by_organisation: dict[str, int] = {}
        self._place_by_id: dict[str, tuple[str, tuple, float]] = {}
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
        name = request.organisation
        queue = self._queue_by_organisation.setdefault(name, _OrganisationQueue())
        if not queue.request_by_order:
            # An idle organisation gets no credit for the time in which it was idle.
            queue.virtual_ms = max(queue.virtual_ms, self._virtual_ms)
        order = (request.priority, request.deadline_ms, next(self._order))
        queue.request_by_order[order] = request
        queue.cost_ms += cost_ms
        self._place_by_id[request.request_id] = (name, order, cost_ms)

    def remove(self, request_id: str) -> Request | None:
        """Take out a waiting request without charging it."""
        place = self._place_by_id.pop(request_id, None)
        if place is None:
            return None
        name, order, cost_ms = place
        queue = self._queue_by_organisation[name]
        queue.cost_ms -= cost_ms
        return queue.request_by_order.pop(order)

    def peek(self, is_eligible: Callable[[str], bool] | None = None) -> Request | None:
        """Return the request that is served next among eligible organisations."""
        best = None
        for name, queue in self._queue_by_organisation.items():
            if not queue.request_by_order:
                continue
            if is_eligible is not None and not is_eligible(name):
                continue
            key = (queue.virtual_ms, name)
            if best is None or key < best[0]:
                best = (key, queue.request_by_order.peekitem(0)[1])
        return None if best is None else best[1]

    def pop(self, request: Request) -> Request:
        """Take out a request that is served now and charge its expected cost."""
        _, _, cost_ms = self._place_by_id[request.request_id]
        queue = self._queue_by_organisation[request.organisation]
        self._virtual_ms = max(self._virtual_ms, queue.virtual_ms)
        queue.virtual_ms += cost_ms / self.weight(request.organisation)
        self.remove(request.request_id)
        return request

    def correct(self, organisation: str, difference_ms: float) -> None:
        """Charge the difference between the true and the expected run time."""
        queue = self._queue_by_organisation.get(organisation)
        if queue is not None:
            queue.virtual_ms += difference_ms / self.weight(organisation)

    def waiting(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        queue = self._queue_by_organisation.get(organisation)
        return 0 if queue is None else len(queue.request_by_order)

    def work_ms(self, organisation: str) -> float:
        """Return the expected run time of all that an organisation has waiting."""
        queue = self._queue_by_organisation.get(organisation)
        return 0.0 if queue is None else max(0.0, queue.cost_ms)

    def work_ahead_ms(self, request: Request) -> float:
        """Return the expected run time served before ``request`` in its organisation.

        Counts what has a higher priority or an earlier deadline.
        """
        queue = self._queue_by_organisation.get(request.organisation)
        if queue is None or not queue.request_by_order:
            return 0.0
        position = queue.request_by_order.bisect_left(
            (request.priority, request.deadline_ms, float("inf"))
        )
        return queue.cost_ms * position / len(queue.request_by_order)

    def busy_weight(self) -> int:
        """Return the sum of the weights of organisations that wait."""
        return sum(
            self.weight(name)
            for name, queue in self._queue_by_organisation.items()
            if queue.request_by_order
        )

    def expired(self, now_ms: int) -> list[Request]:
        """Return waiting requests whose stored deadline has passed."""
        return [
            request
            for queue in self._queue_by_organisation.values()
            for request in queue.request_by_order.values()
            if request.deadline_ms <= now_ms
        ]

    def requests(self) -> list[Request]:
        """Return all waiting requests."""
        return [
            request
            for queue in self._queue_by_organisation.values()
            for request in queue.request_by_order.values()
        ]
