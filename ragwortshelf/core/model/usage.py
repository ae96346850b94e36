"""Usage reported by workers, possibly late and more than once."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["UsageReport"]


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of one task over one interval.

    The key (``job_id``, ``attempt``, ``task``, ``sequence``) identifies the interval; a
    repeated report has the same key and values.
    """

    organisation: str
    job_id: str
    attempt: int
    task: int
    sequence: int
    accelerator_ms: int
    peak_memory_bytes: int = 0
    is_final: bool = False

    @property
    def key(self) -> tuple[str, int, int, int]:
        """The key of the interval, by which repeated reports are recognised."""
        return (self.job_id, self.attempt, self.task, self.sequence)
