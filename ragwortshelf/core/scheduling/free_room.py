"""Index of free accelerators, which tells quickly that a unit fits nowhere."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from .endpoint import Endpoint
from .model import Step

__all__ = ["FreeRoom"]


class FreeRoom:
    """Number of endpoints by their free accelerators, during one plan.

    On a full fleet most waiting units fit nowhere. This index has a few entries where a
    search looks at every endpoint. ``free_gpus_by_rack`` is the sum for each rack.
    """

    def __init__(self, endpoints: Iterable[Endpoint]):
        self._free_gpus_by_id: dict[str, int] = {}
        self.free_gpus_by_rack: dict[str, int] = defaultdict(int)
        for endpoint in endpoints:
            self._free_gpus_by_id[endpoint.id] = endpoint.free_gpus
            self.free_gpus_by_rack[endpoint.rack] += endpoint.free_gpus
        self._count_by_free_gpus = Counter(self._free_gpus_by_id.values())

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Note that the free room of these endpoints has changed."""
        for endpoint in endpoints:
            before = self._free_gpus_by_id[endpoint.id]
            self._count_by_free_gpus[before] -= 1
            self._count_by_free_gpus[endpoint.free_gpus] += 1
            self._free_gpus_by_id[endpoint.id] = endpoint.free_gpus
            self.free_gpus_by_rack[endpoint.rack] += endpoint.free_gpus - before

    def may_hold(self, step: Step, count: int) -> bool:
        """Whether ``count`` tasks may fit; False only if they certainly do not.

        Processors, memory, labels, racks and reservations are not considered.
        """
        gpus = step.occupied.gpus
        if gpus == 0:
            return True
        per_endpoint_max = step.tasks_per_endpoint_max or count
        slots = 0
        for free_gpus, endpoints in self._count_by_free_gpus.items():
            if free_gpus >= gpus:
                slots += endpoints * min(free_gpus // gpus, per_endpoint_max)
                if slots >= count:
                    return True
        return False
