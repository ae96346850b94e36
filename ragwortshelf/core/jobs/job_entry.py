"""State of one job according to the log."""

from __future__ import annotations

from dataclasses import dataclass

from ..model import (
    Completed,
    Interrupted,
    JobOutcome,
    JobPhase,
    JobSpec,
    NotRun,
)
from ..streams import AttemptClaimed, JobEnded

__all__ = ["JobEntry", "LostWork"]


@dataclass(frozen=True, slots=True)
class LostWork:
    """Accelerator-milliseconds that an attempt ran after its last checkpoint.

    ``accelerator_ms`` is None if everything that the attempt ran is lost.
    """

    attempt: int
    accelerator_ms: int | None


@dataclass(frozen=True, slots=True)
class JobEntry:
    """State of one job, folded from all of its records.

    ``attempt`` is the number of the newest claimed attempt, 0 if there is none, and
    ``claim`` its claim. ``is_open`` says that this attempt may still start or run.
    ``has_started`` says that an ended attempt may have started a task.
    ``attempts_lost`` counts started attempts that ended without completing, except
    those that the placer reclaimed; the retry budget limits it. ``lost`` holds the work
    lost by each ended attempt. ``failed_workers`` are the workers of attempts whose
    tasks failed. ``moves`` counts changes of the home data centre. ``checkpoint`` is
    the number of the checkpoint to resume from, 0 if there is none.
    """

    spec: JobSpec
    accepted_by: str
    home_data_centre: str
    phase: JobPhase = JobPhase.ACCEPTED
    moves: int = 0
    attempt: int = 0
    claim: AttemptClaimed | None = None
    is_open: bool = False
    has_started: bool = False
    checkpoint: int = 0
    attempts_lost: int = 0
    failed_workers: tuple[str, ...] = ()
    is_cancel_requested: bool = False
    started_wall_ms: int = 0
    ended: JobEnded | None = None
    lost: tuple[LostWork, ...] = ()

    @property
    def is_waiting(self) -> bool:
        """Whether a new attempt may be claimed."""
        return not self.is_open and not self.phase.is_final

    @property
    def lost_by_attempt(self) -> dict[int, int | None]:
        """Accelerator-milliseconds lost by attempt, None if the whole run is lost."""
        return {item.attempt: item.accelerator_ms for item in self.lost}

    @property
    def outcome(self) -> JobOutcome | None:
        """The final outcome, or None if the job has not ended."""
        if self.ended is None:
            return None
        if self.ended.phase is JobPhase.COMPLETED:
            return Completed(self.ended.reason, self.ended.detail)
        if self.ended.phase is JobPhase.NOT_RUN:
            return NotRun(self.ended.reason, self.ended.detail)
        return Interrupted(self.ended.reason, self.ended.detail)
