"""Entry point of the daemon ``ragwortshelfd``."""

from __future__ import annotations

import os
import signal
import sys

import trio
from absl import app, flags, logging

from ..net.http_client import split_address
from ..net.http_messages import HttpLimits
from ..net.http_server import HttpServer
from .api import Router
from .api.health import HealthApi
from .api.jobs import JobApi
from .api.operations import OperationApi
from .api.releases import ReleaseApi
from .api.requests import RequestApi
from .authentication import Authenticator
from .logs import configure_logs, log_event
from .node import Node
from .settings import Settings, define_flags, load_settings

__all__ = ["main", "run", "serve"]

_EXIT_BAD_SETTINGS = 2
_EXIT_SUPERSEDED = 3
_SUPERSEDED_CHECK_INTERVAL_S = 0.5
_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def make_router(node: Node) -> Router:
    """Return a router with all routes of the HTTP interface."""
    router = Router(Authenticator(node.settings))
    HealthApi(node).add_routes(router)
    RequestApi(node.requests).add_routes(router)
    JobApi(node.gateway).add_routes(router)
    ReleaseApi(node).add_routes(router)
    OperationApi(node).add_routes(router)
    return router


async def serve(settings: Settings) -> int:
    """Run one instance until it has drained after a signal; returns the exit status."""
    node = Node(settings)
    limits = HttpLimits(
        header_bytes=settings.header_limit_bytes,
        body_bytes=settings.body_limit_bytes,
        read_timeout_ms=settings.caller_read_timeout_ms,
        connections=settings.caller_connections,
    )

    def observe_refusal(reason: str) -> None:
        node.metrics.count("refusals_total", listener="api", reason=reason)
        log_event("connection_refused", listener="api", reason=reason)

    server = HttpServer(
        make_router(node).handle, limits, observe_refusal=observe_refusal
    )
    host, port = split_address(settings.api_address)
    try:
        listeners = await trio.open_tcp_listeners(port, host=host)
    except OSError as error:
        logging.error("cannot listen on %s: %s", settings.api_address, error)
        return 1
    with trio.open_signal_receiver(*_SIGNALS) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            nursery.start_soon(server.serve, listeners)
            nursery.start_soon(_end_when_superseded, node, nursery.cancel_scope)
            log_event("serving", address=settings.api_address)
            async for _ in signals:
                break
            await _drain(node, server, settings.drain_deadline_ms)
            nursery.cancel_scope.cancel()
    if node.membership.is_superseded:
        return _EXIT_SUPERSEDED
    log_event("stopped")
    return 0


async def _end_when_superseded(node: Node, scope: trio.CancelScope) -> None:
    # The newer process owns the name, so work in progress here cannot be finished.
    while not node.membership.is_superseded:
        await trio.sleep(_SUPERSEDED_CHECK_INTERVAL_S)
    logging.error("a newer process runs under this instance's name; ending")
    scope.cancel()


async def _drain(node: Node, server: HttpServer, deadline_ms: int) -> None:
    # Drain while the server keeps connections open, so that running calls get answers.
    with trio.move_on_after(deadline_ms / 1000) as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.drain)
            server.drain()
            nursery.start_soon(server.wait_idle)
    if scope.cancelled_caught:
        logging.warning("the drain deadline passed with work in progress")


def main(arguments: list[str]) -> int:
    """Check the settings and serve; returns the exit status."""
    app.define_help_flags()
    define_flags(flags.FLAGS)
    try:
        positional_arguments = flags.FLAGS(arguments)
    except flags.Error as error:
        print(f"ragwortshelfd: {error}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    if len(positional_arguments) > 1:
        print(f"ragwortshelfd: unexpected {positional_arguments[1]!r}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    settings = load_settings(flags.FLAGS, os.environ)
    if not isinstance(settings, Settings):
        for fault in settings:
            print(f"ragwortshelfd: {fault}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    configure_logs(settings.instance, settings.log_level)
    if settings.is_open:
        logging.warning(
            "NO TOKENS ARE SET: every caller is let in and may act as an operator; "
            "set --operator_tokens and --organisation_tokens"
        )
    return trio.run(serve, settings)


def run() -> None:
    """Entry point of the console script."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
