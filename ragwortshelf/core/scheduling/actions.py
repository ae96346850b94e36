"""What the scheduler asks of the process around it."""

from __future__ import annotations

from dataclasses import dataclass

from .model import UnitKey
from .records import UnitRecord

__all__ = [
    "Action",
    "AskAdvice",
    "ReportExclusion",
    "PaceTask",
    "PersistUnit",
    "StartTask",
    "StopTask",
]


@dataclass(frozen=True, slots=True)
class PersistUnit:
    """Append this record. Starts that follow it wait until it is in the log.

    ``slack_ms`` tells how long the unit could still have waited; None where it was
    not placed. ``accelerators`` is the size of the unit.
    """

    record: UnitRecord
    reason: str
    slack_ms: int | None = None
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class StartTask:
    """Order an endpoint to start a run of a task."""

    endpoint_id: str
    unit_key: UnitKey
    task: str
    run: int
    text: str
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Order an endpoint to stop a run, and to refuse it if it comes later."""

    endpoint_id: str
    task: str
    run: int
    reason: str


@dataclass(frozen=True, slots=True)
class PaceTask:
    """Order an endpoint to let a run work at ``percent`` of its full pace."""

    endpoint_id: str
    task: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the policy service which of these endpoints may run a step."""

    step: str
    endpoint_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReportExclusion:
    """Tell operators that an endpoint gets nothing new for ``length_ms``."""

    endpoint_id: str
    length_ms: int
    reason: str


Action = AskAdvice | ReportExclusion | PaceTask | PersistUnit | StartTask | StopTask
