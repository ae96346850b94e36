"""Configuration under which jobs are accepted and placed.

Each version is one immutable value, which a newer version replaces as a whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from ..advice import AdviceTerms

__all__ = [
    "EndpointService",
    "GuaranteedOrganisation",
    "Queue",
    "ServiceConfiguration",
]


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that accepts jobs under a host and a path prefix.

    A job is on time if it ends within ``slack_factor`` times its critical path plus
    ``target_latency_ms``. Priority 0 is the most urgent. With ``advice``, the policy
    service must approve each endpoint that runs a step. A public queue accepts jobs
    without an organisation's API key.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts_max: int = 1
    slack_factor: float = 1.0
    target_latency_ms: int = 0
    is_public: bool = False
    advice: AdviceTerms | None = None


@dataclass(frozen=True, slots=True)
class EndpointService:
    """A service whose endpoints run tasks.

    With ``has_admission_control`` its endpoints refuse tasks that do not fit; without
    it they start every task they are ordered to.
    """

    name: str
    has_admission_control: bool = True
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class GuaranteedOrganisation:
    """An organisation with its API keys and its guaranteed accelerators."""

    name: str
    api_keys: frozenset[str] = frozenset()
    guaranteed_gpus: int = 0


@dataclass(frozen=True)
class ServiceConfiguration:
    """All queues, services and organisations of one configuration version."""

    version: int
    queues: tuple[Queue, ...] = ()
    service_by_name: Mapping[str, EndpointService] = field(default_factory=dict)
    organisations: tuple[GuaranteedOrganisation, ...] = ()

    @cached_property
    def organisation_by_key(self) -> dict[str, GuaranteedOrganisation]:
        """The organisations by API key."""
        return {key: org for org in self.organisations for key in org.api_keys}

    @cached_property
    def organisation_by_name(self) -> dict[str, GuaranteedOrganisation]:
        """The organisations by name."""
        return {org.name: org for org in self.organisations}

    @cached_property
    def queue_by_name(self) -> dict[str, Queue]:
        """The queues by name."""
        return {queue.name: queue for queue in self.queues}

    @cached_property
    def service_names(self) -> frozenset[str]:
        """The names of the services, and of those that queues lead to.

        >>> queue = Queue("q", "a.example", "/jobs/", "service")
        >>> ServiceConfiguration(1, (queue,)).service_names
        frozenset({'service'})
        """
        return frozenset(self.service_by_name).union(
            queue.service for queue in self.queues
        )

    @cached_property
    def _queues_by_host(self) -> dict[str, list[Queue]]:
        # Longest prefix first: the longest match applies.
        by_host: dict[str, list[Queue]] = {}
        for queue in sorted(self.queues, key=lambda queue: -len(queue.path_prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        return by_host

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` on ``host``.

        >>> queue = Queue("q", "a.example", "/jobs/", "service")
        >>> ServiceConfiguration(1, (queue,)).queue_for("a.example", "/jobs/1").name
        'q'
        """
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
