"""The clocks of the scheduler's process, in whole milliseconds."""

from __future__ import annotations

import time

from ..daemon.clock import monotonic_ms, wall_ms

__all__ = ["boot_ms", "monotonic_ms", "wall_ms"]


def boot_ms() -> int:
    """Return milliseconds since boot, with the time that the machine was suspended.

    Ages that limit what may be answered are taken from it, since the monotonic clock
    stands still while a machine is suspended. It advances with trio's clock otherwise.
    """
    boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    suspended_ns = boot_ns - time.clock_gettime_ns(time.CLOCK_MONOTONIC)
    return monotonic_ms() + suspended_ns // 1_000_000
