"""What the scheduler asks of the process around it."""

from __future__ import annotations

from dataclasses import dataclass

from .model import UnitKey
from .records import UnitRecord

__all__ = ["Action", "PersistUnit", "StartTask", "StopTask"]


@dataclass(frozen=True, slots=True)
class PersistUnit:
    """Append this record. Starts that follow it wait until it is in the log."""

    record: UnitRecord
    reason: str


@dataclass(frozen=True, slots=True)
class StartTask:
    """Order an endpoint to start a run of a task."""

    endpoint_id: str
    unit: UnitKey
    task: str
    run: int
    text: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopTask:
    """Order an endpoint to stop a run, and to refuse it if it comes later."""

    endpoint_id: str
    task: str
    run: int
    reason: str


Action = PersistUnit | StartTask | StopTask
