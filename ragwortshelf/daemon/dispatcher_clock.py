"""The clock of the request service."""

import trio

__all__ = ["monotonic_ms"]

_ROUNDING_MS = 0.01


def monotonic_ms() -> int:
    """Return whole milliseconds of trio's clock.

    A time that was itself given in milliseconds comes back as the same number, so that
    a task that slept until ``n / 1000`` seconds sees at least ``n``.
    """
    return int(trio.current_time() * 1000 + _ROUNDING_MS)
