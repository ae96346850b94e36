"""JSON-line logs, one line for each decision."""

from __future__ import annotations

import json
import logging as standard_logging
import time
from dataclasses import asdict

from absl import logging

from ..core.model import Decision

__all__ = ["configure_logs", "log_decision", "log_event"]

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class _JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def __init__(self, instance: str):
        super().__init__()
        self._instance = instance

    def format(self, record: standard_logging.LogRecord) -> str:
        seconds = time.gmtime(record.created)
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", seconds)
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "instance": self._instance,
            "message": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logs(instance: str, level: str) -> None:
    """Write absl's logs to standard error as JSON lines."""
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_JsonFormatter(instance))
    logging.set_verbosity(_LEVELS[level])


def log_event(message: str, **fields) -> None:
    """Log one event with named fields."""
    logging.info(message, extra={"fields": fields})


def log_decision(decision: Decision) -> None:
    """Log one routing or placement decision with its reason."""
    logging.info("decision", extra={"fields": {"decision": asdict(decision)}})
