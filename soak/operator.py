"""Writes the configuration as the platform's operator does."""

from __future__ import annotations

import json
from collections.abc import Sequence

from ragwortshelf.core.advice import AdviceTerms

from .callers import ADVISED_PATH_PREFIX, API_KEY, PATH_PREFIX
from .platform_server import StoreServer

__all__ = ["Operator"]


class Operator:
    """Publishes versions of the configuration for the instances at ``hosts``."""

    def __init__(self, store: StoreServer, hosts: Sequence[str]):
        self._topic = store.topic("keyed.op")
        self._hosts = hosts
        self._version = 0

    def configure(self, terms: AdviceTerms | None) -> None:
        """Publish a version; None withdraws the queue with a policy service."""
        self._version += 1
        # Callers send the address of the called instance as the host.
        routes = [_route("jobs", host, PATH_PREFIX) for host in self._hosts]
        if terms is not None:
            advice = {
                "decision_ms": terms.decision_ms,
                "per_worker_ms": terms.per_endpoint_ms,
                "valid_ms": terms.valid_ms,
            }
            routes += [
                _route("advised", host, ADVISED_PATH_PREFIX) | {"advice": advice}
                for host in self._hosts
            ]
        tenant = {"name": "org", "api_keys": [API_KEY], "guaranteed": {"gpu": 8}}
        fields = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": "pool", "admission_control": False}],
            "tenants": [tenant],
        }
        self._topic.append([("config", json.dumps(fields).encode())])


def _route(name: str, host: str, path_prefix: str) -> dict:
    return {
        "name": name,
        "host": host,
        "path_prefix": path_prefix,
        "service": "pool",
        "priority": 1,
        "max_attempts": 4,
    }
