"""Base class of the HTTP stand-ins, with faults that are set over HTTP."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable

import trio

from ..net.http_client import split_address
from ..net.http_messages import (
    CloseConnection,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    Malformed,
    json_response,
    parse_json,
)
from ..net.http_server import HttpServer

__all__ = ["Route", "StandIn", "make_parser", "serve"]

Route = Callable[[HttpRequest], Awaitable[HttpResponse | CloseConnection]]

_LIMITS = HttpLimits(
    header_bytes=64 * 1024, body_bytes=64 * 1024 * 1024, idle_timeout_ms=600_000
)


class StandIn:
    """An external system whose faults are set over HTTP.

    Subclasses implement ``answer``. ``faults`` is the JSON object that was last posted
    to ``/faults``; counted faults in it decrease as they are used.
    """

    def __init__(self):
        self.faults: dict = {}
        self.server: HttpServer | None = None

    async def answer(self, request: HttpRequest) -> HttpResponse | CloseConnection:
        """Answer a call that no fault has intercepted."""
        raise NotImplementedError

    def faults_changed(self) -> None:
        """Apply the new ``faults``; called after each change."""

    async def handle(self, request: HttpRequest) -> HttpResponse | CloseConnection:
        """Answer one call, subject to the active faults."""
        if request.path == "/faults":
            return self._handle_faults(request)
        if self.faults.get("silent") or self.faults.get("freeze"):
            await trio.sleep_forever()
        if self.faults.get("delay_ms"):
            await trio.sleep(self.faults["delay_ms"] / 1000)
        if self.faults.get("outage"):
            return json_response(503, {"error": "outage"})
        response = await self.answer(request)
        if request.method != "GET" and self.consume_fault("lost_answers"):
            return CloseConnection()
        return response

    def consume_fault(self, name: str) -> bool:
        """Use a counted fault once; False if none is left."""
        count = self.faults.get(name, 0)
        if count <= 0:
            return False
        self.faults[name] = count - 1
        return True

    def _handle_faults(self, request: HttpRequest) -> HttpResponse:
        if request.method != "GET":
            fields = parse_json(request.body)
            if isinstance(fields, Malformed):
                return json_response(400, {"error": fields.detail})
            self.faults = fields
            self.faults_changed()
        return json_response(200, self.faults)


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the options that all stand-ins have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1:0", help="IP:port")
    return parser


async def serve(
    stand_in: StandIn,
    address: str,
    *,
    connections: int = 4096,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a stand-in until cancelled; reports the bound address when started."""
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    bound_host, bound_port = listeners[0].socket.getsockname()[:2]
    limits = HttpLimits(
        _LIMITS.header_bytes,
        _LIMITS.body_bytes,
        idle_timeout_ms=_LIMITS.idle_timeout_ms,
        connections=connections,
    )
    task_status.started(f"{bound_host}:{bound_port}")
    stand_in.server = HttpServer(stand_in.handle, limits)
    await stand_in.server.serve(listeners)
