"""JSON-line logs on standard output: bounded in volume, and never blocking.

Each kind of line has a budget a second; what is beyond it is left out and counted in
the next line of that kind. A reader that does not keep up costs lines, not time.
"""

from __future__ import annotations

import json
import logging as standard_logging
import os
import select
import time
from collections.abc import Callable
from dataclasses import asdict

from absl import logging

from ..core.model import Decision

__all__ = [
    "LineBudget",
    "LineWriter",
    "configure_logs",
    "lines_left_out",
    "log_decision",
    "log_event",
]

LINES_PER_SECOND = 300
"""Lines of one kind a second. A burst of a few hundred starts is kept whole, and one
instance's log stays below 100 KB a second for each kind."""

PIPE_ATOMIC_BYTES = 4_096
"""Longest line. A pipe that polls as writable takes this much without blocking."""

STANDARD_OUTPUT = 1

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class LineBudget:
    """Limits the lines of each kind a second, and counts what is left out.

    ``clock`` returns seconds.
    """

    def __init__(
        self,
        lines_per_second: int = LINES_PER_SECOND,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._limit = lines_per_second
        self._clock = clock
        self._window = 0
        self._written_by_kind: dict[str, int] = {}
        self._left_out_by_kind: dict[str, int] = {}
        self.left_out = 0

    def take(self, kind: str) -> int | None:
        """Return how many lines were left out before this one, or None to leave it."""
        window = int(self._clock())
        if window != self._window:
            self._window = window
            self._written_by_kind.clear()
        written = self._written_by_kind.get(kind, 0)
        if written >= self._limit:
            self.leave_out(kind)
            return None
        self._written_by_kind[kind] = written + 1
        return self._left_out_by_kind.pop(kind, 0)

    def leave_out(self, kind: str, lines: int = 1) -> None:
        """Count lines that were not written."""
        self.left_out += 1
        self._left_out_by_kind[kind] = self._left_out_by_kind.get(kind, 0) + lines


class LineWriter(standard_logging.Handler):
    """Writes records as JSON lines to a descriptor that may not be read."""

    def __init__(
        self,
        instance: str,
        descriptor: int = STANDARD_OUTPUT,
        budget: LineBudget | None = None,
    ):
        super().__init__()
        self._instance = instance
        self._descriptor = descriptor
        self.budget = budget or LineBudget()

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        kind = str(record.msg)
        left_out = self.budget.take(kind)
        if left_out is None:
            return
        fields = self._fields(record)
        if left_out:
            fields["left_out"] = left_out
        line = json.dumps(fields, default=str).encode()[: PIPE_ATOMIC_BYTES - 1]
        if not self._write(line + b"\n"):
            self.budget.leave_out(kind, 1 + left_out)

    def _write(self, line: bytes) -> bool:
        try:
            _, writable, _ = select.select((), (self._descriptor,), (), 0)
            if not writable:
                return False
            os.write(self._descriptor, line)
        except (OSError, ValueError):
            # Nobody reads standard output any more, and there is no other place.
            return False
        return True

    def _fields(self, record: standard_logging.LogRecord) -> dict:
        seconds = time.gmtime(record.created)
        fields = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", seconds)
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "instance": self._instance,
            "message": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            formatter = standard_logging.Formatter()
            fields["traceback"] = formatter.formatException(record.exc_info)
        return fields


_writer: LineWriter | None = None


def configure_logs(instance: str, level: str) -> None:
    """Write absl's logs to standard output as JSON lines."""
    global _writer
    _writer = LineWriter(instance)
    logger = logging.get_absl_logger()
    logger.handlers[:] = [_writer]
    logger.propagate = False
    logging.set_verbosity(_LEVELS[level])


def lines_left_out() -> int:
    """Return how many lines this process has not written."""
    return _writer.budget.left_out if _writer else 0


def log_event(message: str, **fields) -> None:
    """Log one event with named fields."""
    logging.info(message, extra={"fields": fields})


def log_decision(decision: Decision) -> None:
    """Log one routing or placement decision with its reason."""
    logging.info("decision", extra={"fields": {"decision": asdict(decision)}})
