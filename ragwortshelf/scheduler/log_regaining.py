"""Reads of a log that does not answer, until it does."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from .interfaces import KeyedLog, LogGap, LogPage
from .settings import SchedulingSettings

__all__ = ["regain_log"]


async def regain_log(
    log: KeyedLog,
    next_offset: Callable[[], int | None],
    read: Callable[[int], Awaitable[None]],
    is_regained: Callable[[], bool],
    settings: SchedulingSettings,
) -> None:
    """Repeat ``read``, which takes a timeout in milliseconds, until a log is regained.

    The timeout is short, as a call that is sent during a silent outage is never
    answered, and its end is to be noticed soon. A log that answers late would not be
    regained so: beside these reads a small one at ``next_offset`` waits as long as
    reads do while the log answers. If it is answered, so does the next ``read``.
    """
    has_answered_late = False

    async def probe_repeatedly() -> None:
        nonlocal has_answered_late
        timeout_ms = settings.log_call_timeout_ms
        while True:
            next_s = trio.current_time() + timeout_ms / 1000
            offset = next_offset()
            if offset is not None and await _is_answering(log, offset, timeout_ms):
                has_answered_late = True
            await trio.sleep_until(next_s)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe_repeatedly)
        while not is_regained():
            timeout_ms = settings.log_probe_timeout_ms
            if has_answered_late:
                timeout_ms = settings.log_call_timeout_ms
            has_answered_late = False
            await read(timeout_ms)
        nursery.cancel_scope.cancel()


async def _is_answering(log: KeyedLog, offset: int, timeout_ms: int) -> bool:
    outcome = await log.read(offset, wait_ms=0, timeout_ms=timeout_ms, is_brief=True)
    return isinstance(outcome, LogPage | LogGap)
