"""Rate-limited, non-blocking JSON-line logs on standard output.

Each kind of line has a budget per second. Lines above it are dropped, and counted in
the next line of that kind. If the reader does not keep up, lines are dropped rather
than delaying the process.
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
    "dropped_line_count",
    "log_decision",
    "log_event",
    "log_failure",
]

LINES_PER_SECOND = 300
"""Limit for each kind of line. It admits a burst of a few hundred starts, and keeps an
instance's log below 100 KB per second and kind."""

PIPE_ATOMIC_BYTES = 4_096
"""Longest line. A pipe that polls as writable accepts this much without blocking."""

TEXT_MIN_CHARACTERS = 64
"""Length below which the texts of a line that is too long are not cut."""

STANDARD_OUTPUT = 1

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class LineBudget:
    """Limits the lines of each kind per second, and counts the dropped ones.

    ``clock`` returns seconds. ``dropped`` is the total over all kinds.
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
        self._dropped_by_kind: dict[str, int] = {}
        self.dropped = 0

    def take(self, kind: str) -> int | None:
        """Return how many lines of this kind were dropped since the last one.

        None means that this line exceeds the budget and must be dropped.
        """
        window = int(self._clock())
        if window != self._window:
            self._window = window
            self._written_by_kind.clear()
        written = self._written_by_kind.get(kind, 0)
        if written >= self._limit:
            self.count_dropped(kind)
            return None
        self._written_by_kind[kind] = written + 1
        return self._dropped_by_kind.pop(kind, 0)

    def count_dropped(self, kind: str, lines: int = 1) -> None:
        """Count a line that was not written.

        ``lines`` also includes earlier dropped lines that it was to report.
        """
        self.dropped += 1
        self._dropped_by_kind[kind] = self._dropped_by_kind.get(kind, 0) + lines


class LineWriter(standard_logging.Handler):
    """Writes records as JSON lines to a descriptor whose reader may stall."""

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
        """Write one record, or count it as dropped."""
        kind = str(record.msg)
        dropped = self.budget.take(kind)
        if dropped is None:
            return
        fields = self._fields(record)
        if dropped:
            fields["left_out"] = dropped
        if not self._write(_encode_line(fields)):
            self.budget.count_dropped(kind, 1 + dropped)

    def _write(self, line: bytes) -> bool:
        try:
            _, writable, _ = select.select((), (self._descriptor,), (), 0)
            if not writable:
                return False
            os.write(self._descriptor, line)
        except (OSError, ValueError):
            # The reader of standard output is gone, and there is no other output.
            return False
        return True

    def _fields(self, record: standard_logging.LogRecord) -> dict:
        utc = time.gmtime(record.created)
        fields = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", utc)
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


def _encode_line(fields: dict) -> bytes:
    """Return the fields as a line of JSON, with long texts cut if it is too long."""
    line = json.dumps(fields, default=str).encode()
    text_max = PIPE_ATOMIC_BYTES // 2
    while len(line) >= PIPE_ATOMIC_BYTES and text_max >= TEXT_MIN_CHARACTERS:
        fields = {name: _shorten(value, text_max) for name, value in fields.items()}
        line = json.dumps(fields, default=str).encode()
        text_max //= 2
    if len(line) >= PIPE_ATOMIC_BYTES:
        kept = {name: fields[name] for name in ("time", "level", "instance")}
        line = json.dumps(kept | {"message": "a line with too many fields"}).encode()
    return line + b"\n"


def _shorten(value, text_max: int):
    """Return the end of a long text, which holds the error of a traceback."""
    if value is None or isinstance(value, (bool, int, float)):
        return value
    text = value if isinstance(value, str) else str(value)
    return text if len(text) <= text_max else "…" + text[-text_max:]


_writer: LineWriter | None = None


def configure_logs(instance: str, level: str) -> None:
    """Write absl's logs to standard output as JSON lines."""
    global _writer
    _writer = LineWriter(instance)
    logger = logging.get_absl_logger()
    logger.handlers[:] = [_writer]
    logger.propagate = False
    logging.set_verbosity(_LEVELS[level])


def dropped_line_count() -> int:
    """Return how many log lines this process has dropped."""
    return _writer.budget.dropped if _writer else 0


def log_event(message: str, **fields) -> None:
    """Log one event with named fields."""
    logging.info(message, extra={"fields": fields})


def log_failure(message: str, error: Exception | None = None, **fields) -> None:
    """Log an exception with its traceback: ``error``, or the one being handled."""
    logging.error(message, exc_info=error or True, extra={"fields": fields})


def log_decision(decision: Decision) -> None:
    """Log one routing or placement decision with its reason."""
    logging.info("decision", extra={"fields": {"decision": asdict(decision)}})
