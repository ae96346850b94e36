"""Holds starts back while an evacuation may have been requested unnoticed."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..daemon.logs import log_event

__all__ = ["StartGate"]

EVACUATION_MARGIN_MS = 1_000
"""Part of the bound that is left for a start once it is sent. An attempt waits for its
answer for 900 ms at most, after which its connection is closed."""

GATE_CHECK_INTERVAL_MS = 50
"""Interval between checks whether the operator's log has been read again."""


class StartGate:
    """Lets starts pass while the operator's records are known recently enough.

    ``read_age_ms`` returns the time since the newest complete read of the operator's
    log was sent, or None before the first one. Any request that was acknowledged
    earlier is known then. Without a bound, all starts pass.
    """

    def __init__(self, bound_ms: int | None, read_age_ms: Callable[[], int | None]):
        self._bound_ms = bound_ms
        self._read_age_ms = read_age_ms
        self._waiting_count = 0
        # Set when the one waiter that checks the gate ends; None while none does.
        self._check_ended: trio.Event | None = None

    def is_open(self) -> bool:
        """Whether a start may be sent now."""
        if self._bound_ms is None:
            return True
        age_ms = self._read_age_ms()
        return age_ms is not None and age_ms <= self._bound_ms - EVACUATION_MARGIN_MS

    def remaining_ms(self) -> int | None:
        """Return how long a start that is sent now may take effect; None if unlimited.

        A request that the newest read has missed is as old as that read at most.
        """
        age_ms = self._read_age_ms()
        if self._bound_ms is None or age_ms is None:
            return self._bound_ms
        return max(0, self._bound_ms - age_ms)

    async def wait(self) -> None:
        """Wait until a start may be sent; the end of the term cancels it."""
        if self.is_open():
            return
        if not self._waiting_count:
            log_event("starts_held", read_age_ms=self._read_age_ms())
        self._waiting_count += 1
        try:
            while not self.is_open():
                await self._wait_for_check()
        finally:
            self._waiting_count -= 1
            if not self._waiting_count:
                log_event("starts_released", read_age_ms=self._read_age_ms())

    async def _wait_for_check(self) -> None:
        """Check the gate until it opens, or wait for the waiter that does.

        A fleet's starts may all be held, so that checks of each would take most of the
        processor. If the waiter that checks is cancelled, another one continues.
        """
        if self._check_ended is not None:
            await self._check_ended.wait()
            return
        self._check_ended = trio.Event()
        try:
            while not self.is_open():
                await trio.sleep(GATE_CHECK_INTERVAL_MS / 1000)
        finally:
            self._check_ended.set()
            self._check_ended = None
