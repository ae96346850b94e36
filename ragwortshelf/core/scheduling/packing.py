"""Best-fit packing of a unit's tasks onto endpoints.

Endpoints are filled tightly; among equally full ones, those of the fullest rack come
first. This keeps whole endpoints and whole racks free for gangs of large tasks. Slow
endpoints come before equally full faster ones, which urgent units prefer.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from .endpoint import Endpoint
from .model import Step
from .speed_needs import speed_class

__all__ = ["is_eligible", "find_endpoints", "rack_could_hold"]

Slots = Callable[[Endpoint], int]
"""Returns how many more tasks of the step an endpoint can take."""


def is_eligible(endpoint: Endpoint, step: Step, service: str) -> bool:
    """Whether the endpoint has the service and the label that the step requires."""
    info = endpoint.info
    if info.service != service:
        return False
    return not step.required_label or step.required_label in info.labels


def find_endpoints(
    step: Step,
    count: int,
    candidates: Sequence[Endpoint],
    slots: Slots,
    free_gpus_by_rack: Mapping[str, int],
    *,
    may_leave_rack: bool,
) -> list[Endpoint] | None:
    """Return one endpoint per task, or None if the tasks do not fit.

    ``candidates`` are the endpoints on which the step may run now; those without room
    may be left out. Unless ``may_leave_rack``, tasks stay on their preferred rack, and
    a rack-sensitive gang stays on a single rack.
    """
    if step.preferred_rack:
        on_preferred_rack = [e for e in candidates if e.rack == step.preferred_rack]
        placed = _pack(step, count, on_preferred_rack, slots, free_gpus_by_rack)
        if placed is not None or not may_leave_rack:
            return placed
    if step.is_rack_sensitive and count > 1:
        placed = _pack_on_one_rack(step, count, candidates, slots, free_gpus_by_rack)
        if placed is not None or not may_leave_rack:
            return placed
    return _pack(step, count, candidates, slots, free_gpus_by_rack)


def rack_could_hold(step: Step, count: int, endpoints: Sequence[Endpoint]) -> bool:
    """Whether a rack could hold all tasks if it were empty.

    If the step prefers a rack, only that one counts.
    """
    slots_by_rack: dict[str, int] = defaultdict(int)
    for endpoint in endpoints:
        fits = step.occupied.times_in(endpoint.info.capacity)
        if step.tasks_per_endpoint_max:
            fits = min(fits, step.tasks_per_endpoint_max)
        slots_by_rack[endpoint.rack] += fits
    if step.preferred_rack:
        return slots_by_rack[step.preferred_rack] >= count
    return max(slots_by_rack.values(), default=0) >= count


def _pack_on_one_rack(
    step, count, candidates, slots, free_gpus_by_rack
) -> list[Endpoint] | None:
    by_rack: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in candidates:
        by_rack[endpoint.rack].append(endpoint)
    best = None
    for rack, endpoints in by_rack.items():
        placed = _pack(step, count, endpoints, slots, free_gpus_by_rack)
        if placed is None:
            continue
        # Use the fullest rack that fits, to keep the emptier ones whole.
        rack_free_gpus = free_gpus_by_rack[rack]
        if best is None or rack_free_gpus < best[0]:
            best = (rack_free_gpus, placed)
    return best[1] if best else None


def _pack(step, count, candidates, slots, free_gpus_by_rack) -> list[Endpoint] | None:
    cap = step.tasks_per_endpoint_max or count
    offers = []
    total = 0
    for endpoint in candidates:
        fits = min(cap, count, slots(endpoint))
        if fits > 0:
            offers.append((fits, endpoint))
            total += fits
    if total < count:
        return None
    offers.sort(key=lambda offer: _packing_key(offer, step, free_gpus_by_rack))
    placed: list[Endpoint] = []
    for fits, endpoint in offers:
        placed.extend([endpoint] * min(fits, count - len(placed)))
        if len(placed) == count:
            break
    return placed


def _packing_key(offer, step: Step, free_gpus_by_rack: Mapping[str, int]):
    fits, endpoint = offer
    request = step.occupied
    return (
        endpoint.free_gpus - fits * request.gpus,
        speed_class(endpoint),
        free_gpus_by_rack[endpoint.rack],
        endpoint.free_cpu_milli - fits * request.cpu_milli,
        endpoint.id,
    )
