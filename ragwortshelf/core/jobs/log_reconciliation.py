"""Reconciliation of gangs and scheduler with the jobs stream."""

from __future__ import annotations

import heapq

from ..model import JobPhase, JobSpec, Reason
from ..placement import (
    fits_data_centre,
    home_data_centre,
)
from ..streams import (
    AttemptStarted,
    JobEnded,
    JobMoved,
)
from .actions import (
    Action,
    ObserveWorker,
)
from .gang import Gang
from .gang_tracker import ENDING_RECORD_TYPES, GangTracker
from .job_entry import JobEntry
from .stages import Stage

__all__ = ["LogReconciliation"]


class LogReconciliation(GangTracker):
    """Reconciles the gang of each job with its state in the log, which prevails."""

    def _sync_all(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for entry in list(self.ledger.active()):
            actions += self._sync_job(entry, now_ms)
        return actions

    def _sync_job(self, entry: JobEntry, now_ms: int) -> list[Action]:
        """Reconcile gang and scheduler with the state of a job in the log."""
        if not self.is_placer and entry.spec.job_id not in self.gang_by_id:
            return []
        if entry.phase.is_final:
            return self._release_ended(entry, now_ms)
        if entry.home_data_centre != self.data_centre:
            return self._sync_moved(entry, now_ms)
        if entry.is_open:
            return self._sync_open(entry, now_ms)
        return self._sync_waiting(entry, now_ms)

    def _sync_moved(self, entry: JobEntry, now_ms: int) -> list[Action]:
        job_id = entry.spec.job_id
        self._scheduler.remove(job_id, now_ms)
        gang = self.gang_by_id.get(job_id)
        if gang is None:
            return []
        if gang.stage in (Stage.LEASING, Stage.CLAIMING):
            return self._handle_stage_change(
                gang, gang.drop("the job moved away"), now_ms
            )
        if gang.claim.attempt <= entry.attempt:
            self._remove_gang(job_id, now_ms)
            return gang.release()
        return []

    def _sync_open(self, entry: JobEntry, now_ms: int) -> list[Action]:
        job_id, claim = entry.spec.job_id, entry.claim
        gang = self.gang_by_id.get(job_id)
        is_same_attempt = gang is not None and (
            (gang.claim.attempt, gang.claim.holder) == (claim.attempt, claim.holder)
        )
        actions: list[Action] = []
        if gang is not None and not is_same_attempt:
            actions += gang.release()
            self._remove_gang(job_id, now_ms)
        if not is_same_attempt:
            return actions + self._adopt_claim(entry, now_ms)
        if gang.stage is Stage.CLAIMING and entry.is_cancel_requested:
            end_actions = gang.end(Reason.CANCELLED, "", now_ms)
            return self._handle_stage_change(gang, end_actions, now_ms)
        if gang.stage is Stage.CLAIMING:
            return self._handle_stage_change(gang, gang.confirm_claim(now_ms), now_ms)
        return self._stop_if_cancelled(entry, now_ms)

    def _adopt_claim(self, entry: JobEntry, now_ms: int) -> list[Action]:
        """Adopt an attempt that is claimed in the log and has no gang here."""
        if not self.is_placer:
            return []
        is_running = entry.phase is JobPhase.STARTED
        gang = Gang(
            entry.spec,
            entry.claim,
            Stage.RUNNING if is_running else Stage.ADOPTING,
            now_ms,
            accepted_by=entry.accepted_by,
        )
        self._add_gang(gang, now_ms)
        self._scheduler.set_running(entry.spec, entry.claim.grants, now_ms)
        actions: list[Action] = [
            ObserveWorker(member.worker) for member in gang.members
        ]
        if not is_running and entry.claim.holder == self.holder:
            # This placer gave up the attempt before any start, and no other placer may
            # start it.
            end_actions = gang.end(
                Reason.INSTANCE_LOST, "given up before start", now_ms
            )
            actions += self._handle_stage_change(gang, end_actions, now_ms)
        return actions + self._stop_if_cancelled(entry, now_ms)

    def _sync_waiting(self, entry: JobEntry, now_ms: int) -> list[Action]:
        job_id = entry.spec.job_id
        gang = self.gang_by_id.get(job_id)
        actions: list[Action] = []
        if gang is not None and gang.claim.attempt <= entry.attempt:
            self._remove_gang(job_id, now_ms)
            actions += gang.release()
            gang = None
        if gang is not None:
            return actions + self._stop_if_cancelled(entry, now_ms)
        if entry.is_cancel_requested:
            return actions + self._end_waiting(entry, Reason.CANCELLED, "", now_ms)
        if self.outbox.has_pending(job_id, JobEnded, JobMoved):
            return actions
        if not self.is_log_up:
            # Only the log can arbitrate claims of a job that it holds.
            self._scheduler.remove(job_id, now_ms)
            return actions
        home = self._new_home(entry.spec)
        if home is not None:
            return actions + self._move(entry, home, Reason.NEVER_FITS, now_ms)
        if entry.spec.deadline_wall_ms is not None:
            item = (entry.spec.deadline_wall_ms, job_id)
            heapq.heappush(self._deadlines, item)
        self._scheduler.add_waiting(entry.spec, now_ms, entry.checkpoint)
        return actions

    def _release_ended(self, entry: JobEntry, now_ms: int) -> list[Action]:
        job_id = entry.spec.job_id
        self.outbox.drop(job_id, AttemptStarted, *ENDING_RECORD_TYPES)
        self._dropped_attempt_by_id.pop(job_id, None)
        self._scheduler.forget(job_id)
        gang = self.gang_by_id.get(job_id)
        self._remove_gang(job_id, now_ms)
        return [] if gang is None else gang.release()

    def _new_home(self, spec: JobSpec) -> str | None:
        """Return another data centre for a job that cannot fit here, or None."""
        here = self._configuration.data_centres_by_name.get(self.data_centre)
        if here is not None and fits_data_centre(spec, here):
            return None
        home = home_data_centre(spec, self._configuration)
        return None if home == self.data_centre else home

    def _move(
        self, entry: JobEntry, home: str, reason: Reason, now_ms: int
    ) -> list[Action]:
        job_id = entry.spec.job_id
        self._scheduler.remove(job_id, now_ms)
        record = JobMoved(job_id, entry.moves + 1, home, reason)
        self.outbox.set_pending(job_id, record, now_ms)
        return self._due_appends(now_ms)
