"""Logs that a log has stopped answering, and that it still does not."""

from __future__ import annotations

from ..daemon.logs import log_event
from .clock import boot_ms

__all__ = ["LossReporter"]

REPORT_INTERVAL_MS = 5_000
"""Interval between lines about a log that still does not answer."""


class LossReporter:
    """Writes a line at the first failed call and then at regular intervals.

    ``message`` names the line. ``failed_calls`` in it counts the calls that failed
    since the last answer.
    """

    def __init__(self, message: str):
        self._message = message
        self._failed_calls = 0
        self._next_report_boot_ms = 0

    def call_failed(self, detail: str, age_ms: int | None) -> None:
        """Count a failed call; ``age_ms`` is the age of the state read before."""
        self._failed_calls += 1
        if self._failed_calls > 1 and boot_ms() < self._next_report_boot_ms:
            return
        self._next_report_boot_ms = boot_ms() + REPORT_INTERVAL_MS
        log_event(
            self._message,
            detail=detail,
            age_ms=age_ms,
            failed_calls=self._failed_calls,
        )

    def call_answered(self) -> None:
        """Begin a new series: the next failed call is reported at once."""
        self._failed_calls = 0
