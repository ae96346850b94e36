"""Monotonic and wall clocks of the daemon, in whole milliseconds."""

from __future__ import annotations

import time

import trio

__all__ = ["monotonic_ms", "wall_ms"]

_ROUNDING_MS = 0.01


def monotonic_ms() -> int:
    """Return the time of trio's clock in whole milliseconds.

    A time that was given in whole milliseconds is returned unchanged despite
    floating-point error, so that a task that slept until ``n / 1000`` seconds sees at
    least ``n``.
    """
    return int(trio.current_time() * 1000 + _ROUNDING_MS)


def wall_ms() -> int:
    """Return milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
