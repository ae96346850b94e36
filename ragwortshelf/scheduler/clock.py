"""Clocks of the scheduling service, in whole milliseconds."""

from __future__ import annotations

import time

from ..daemon.clock import monotonic_ms, wall_ms

__all__ = ["boot_ms", "monotonic_ms", "wall_ms"]


def boot_ms() -> int:
    """Return milliseconds since boot, including time spent suspended.

    Used for the ages that decide whether data is fresh enough to serve, since the
    monotonic clock stops while a machine is suspended. Apart from suspensions it
    advances with trio's clock, which is virtual in some tests.
    """
    boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    suspended_ns = boot_ns - time.clock_gettime_ns(time.CLOCK_MONOTONIC)
    return monotonic_ms() + suspended_ns // 1_000_000
