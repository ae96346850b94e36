"""Reports when the event loop of this process did not run for a while."""

from __future__ import annotations

import trio

from ..daemon.logs import log_event
from ..daemon.metrics import Metrics
from .clock import boot_ms

__all__ = ["LoopMonitor"]

CHECK_INTERVAL_MS = 250

STALL_MIN_MS = 250
"""Shortest stall that is reported. Calls to other services have timeouts of 400 ms and
more, and callers wait for 3 s."""


class LoopMonitor:
    """Sleeps repeatedly, and reports when it wakes much too late.

    A stall has its cause in this process, which computes for too long, or outside, such
    as a machine that is suspended or has no processor time.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            due_boot_ms = boot_ms() + CHECK_INTERVAL_MS
            await trio.sleep(CHECK_INTERVAL_MS / 1000)
            late_ms = boot_ms() - due_boot_ms
            if late_ms >= STALL_MIN_MS:
                self._metrics.count("loop_stalls_total")
                log_event("loop_stalled", late_ms=late_ms)
