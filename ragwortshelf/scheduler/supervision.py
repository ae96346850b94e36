"""Keeps an unexpected error in one component from ending the whole process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..daemon.logs import log_failure

__all__ = ["run_supervised"]

RESTART_DELAY_MS = 1_000
"""Pause before a component that raised an error runs again."""


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a component; after an unexpected error, log it and run the component again.

    Returns when the component returns. ``name`` appears in the log line.
    """
    while True:
        try:
            return await run()
        except Exception:
            log_failure("component_failed", component=name)
        await trio.sleep(RESTART_DELAY_MS / 1000)
