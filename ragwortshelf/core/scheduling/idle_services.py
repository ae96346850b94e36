"""Services of which less than half is in use, where nothing should wait for long."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .endpoint import Endpoint

__all__ = ["IDLE_WAIT_MAX_MS", "IdleServices", "find_idle_services"]

IDLE_DIVISOR = 2
"""A service is idle while less than one part in so many of each resource is in use."""

IDLE_WAIT_MAX_MS = 2_000
"""Longest wait on an idle service for room other than that which is free. The platform
allows 3 s; the rest is for the plan, the orders and one refused start."""

OPENING_MS = 250
"""Length of an opening: a start that is refused in it is tried again after 100 ms."""


class IdleServices:
    """Notes at each plan which services are idle, and since when.

    All reservations on an idle service keep others out until the same time, its
    *opening*, during which plans are made without them. If they ended one after the
    other, enough room for a waiting unit might be open at no time.
    """

    def __init__(self) -> None:
        self._since_ms_by_service: dict[str, int] = {}
        self._opening_ms_by_service: dict[str, int] = {}
        self._known_services: set[str] = set()

    def begin(self, endpoints: Iterable[Endpoint], now_ms: int) -> None:
        """Start a plan."""
        endpoints_by_service = _endpoints_by_service(endpoints)
        before = self._since_ms_by_service
        self._since_ms_by_service = {}
        for service, its_endpoints in endpoints_by_service.items():
            if _is_idle(its_endpoints):
                # What is idle in the first plan may have been so for long.
                is_new = service not in self._known_services
                since_ms = now_ms - IDLE_WAIT_MAX_MS if is_new else now_ms
                self._since_ms_by_service[service] = before.get(service, since_ms)
        self._known_services.update(endpoints_by_service)
        self._opening_ms_by_service = {
            service: opening_ms
            for service, opening_ms in self._opening_ms_by_service.items()
            if service in self._since_ms_by_service and now_ms < opening_ms + OPENING_MS
        }

    def since_ms(self, service: str) -> int | None:
        """Return since when a service is idle; None if it is not."""
        return self._since_ms_by_service.get(service)

    def opening_ms(self, service: str, now_ms: int) -> int | None:
        """Return when the reserved room of a service is open next, or is open since.

        None if the service is not idle. The first call after an opening sets the next.
        """
        if service not in self._since_ms_by_service:
            return None
        return self._opening_ms_by_service.setdefault(
            service, now_ms + IDLE_WAIT_MAX_MS
        )

    def is_open(self, service: str, now_ms: int) -> bool:
        """Whether a plan made now is part of an opening."""
        return self._opening_ms_by_service.get(service, now_ms + 1) <= now_ms


def find_idle_services(endpoints: Iterable[Endpoint]) -> dict[str, list[Endpoint]]:
    """Return the endpoints of each service of which less than half is in use."""
    return {
        service: its_endpoints
        for service, its_endpoints in _endpoints_by_service(endpoints).items()
        if _is_idle(its_endpoints)
    }


def _endpoints_by_service(endpoints: Iterable[Endpoint]) -> dict[str, list[Endpoint]]:
    endpoints_by_service: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in endpoints:
        # Room on other endpoints cannot be used, whatever the scheduler decides.
        if endpoint.is_reachable and endpoint.is_in_store:
            endpoints_by_service[endpoint.info.service].append(endpoint)
    return endpoints_by_service


def _is_idle(endpoints: list[Endpoint]) -> bool:
    capacities = [endpoint.info.capacity for endpoint in endpoints]
    return (
        _is_mostly_free(
            sum(capacity.gpus for capacity in capacities),
            sum(endpoint.free_gpus for endpoint in endpoints),
        )
        and _is_mostly_free(
            sum(capacity.cpu_milli for capacity in capacities),
            sum(endpoint.free_cpu_milli for endpoint in endpoints),
        )
        and _is_mostly_free(
            sum(capacity.memory_mb for capacity in capacities),
            sum(endpoint.free_memory_mb for endpoint in endpoints),
        )
    )


def _is_mostly_free(capacity: int, free: int) -> bool:
    """Whether less than half of a resource is in use, or there is none of it."""
    return capacity == 0 or IDLE_DIVISOR * (capacity - free) < capacity
