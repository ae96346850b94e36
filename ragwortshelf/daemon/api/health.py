"""Handlers of ``/healthz``, ``/readyz`` and ``/metrics``, which need no token."""

from __future__ import annotations

from ...net.http_messages import HttpResponse, json_response
from .router import ApiCall, Router

__all__ = ["HealthApi"]


class HealthApi:
    """Reports health and metrics to load balancers and metric collectors."""

    def __init__(self, node):
        self._node = node

    def add_routes(self, router: Router) -> None:
        """Register the handlers of this class."""
        router.add("GET", "/healthz", self._healthz, is_public=True)
        router.add("GET", "/readyz", self._readyz, is_public=True)
        router.add("GET", "/metrics", self._metrics, is_public=True)

    async def _healthz(self, call: ApiCall) -> HttpResponse:
        return json_response(200, {"status": "ok"})

    async def _readyz(self, call: ApiCall) -> HttpResponse:
        reason = self._node.unready_reason()
        if reason:
            return json_response(503, {"status": "not ready", "reason": reason})
        return json_response(200, {"status": "ready"})

    async def _metrics(self, call: ApiCall) -> HttpResponse:
        body = self._node.metrics.text().encode()
        return HttpResponse(200, (("content-type", "text/plain"),), body)
