"""How requests end without an answer, and how their open attempts are cut off."""

from __future__ import annotations

from ..model import NotRun, Reason, RequestOutcome, Unknown
from .attempts import RETRY_AFTER_FAILURE_MS
from .capacity import Capacity
from .entries import Entry, EntryTable
from .events import Abort, Action, Finish, Suspect
from .fair_queue import FairQueue
from .outcomes import failure_outcome
from .progress import ProgressRules
from .run_times import RunTimes

__all__ = ["Endings", "no_free_slot"]


def no_free_slot() -> NotRun:
    """Return the outcome of a delegated request that cannot start at once."""
    return NotRun(Reason.NO_CAPACITY, "no slot is free here", RETRY_AFTER_FAILURE_MS)


class Endings:
    """Gives requests their final outcome and aborts what they still hold.

    Every method appends its actions to the list that it is given.
    """

    def __init__(
        self,
        entries: EntryTable,
        queue: FairQueue,
        progress: ProgressRules,
        run_times: RunTimes,
        capacity: Capacity,
    ):
        self._entries = entries
        self._queue = queue
        self._progress = progress
        self._run_times = run_times
        self._capacity = capacity

    def finish(
        self, entry: Entry, outcome: RequestOutcome, actions: list[Action]
    ) -> None:
        """Give a request its outcome; forget it once it is not out any more."""
        entry.is_finished = True
        if not entry.is_out:
            self._entries.remove(entry)
        actions.append(Finish(entry.request.request_id, outcome))

    def stop(
        self,
        entry: Entry,
        reason: Reason,
        detail: str,
        actions: list[Action],
        *,
        is_silent: bool = False,
    ) -> None:
        """Finish a request wherever it is, without an answer."""
        self._queue.remove(entry.request.request_id)
        self._abort(entry, actions, is_silent=is_silent)
        outcome = failure_outcome(
            may_have_run=entry.may_have_run or entry.is_out,
            reason=reason,
            detail=detail,
            retry_after_ms=RETRY_AFTER_FAILURE_MS,
        )
        self.finish(entry, outcome, actions)

    def refuse_late(self, request, now_ms: int, actions: list[Action]) -> bool:
        """Refuse a waiting request that cannot be in time; True if refused."""
        left_ms = request.deadline_ms - now_ms
        needed_ms = self._run_times.median_ms(request.request_class)
        if len(self._queue) > 1:
            needed_ms = self._run_times.high_ms(request.request_class)
        if left_ms >= needed_ms:
            return False
        entry = self._entries.get(request.request_id)
        self._queue.remove(request.request_id)
        wait_ms = now_ms - entry.arrived_ms
        outcome = failure_outcome(
            may_have_run=entry.may_have_run,
            reason=Reason.DEADLINE_UNREACHABLE,
            detail=f"waited {wait_ms} ms and {left_ms} ms are left",
            retry_after_ms=int(wait_ms + needed_ms - left_ms) + 1,
        )
        self.finish(entry, outcome, actions)
        return True

    def turn_away_if_waiting(self, request_id: str, actions: list[Action]) -> None:
        """A delegated request starts at once or goes back to its owner."""
        if self._queue.remove(request_id) is not None:
            self.finish(self._entries.get(request_id), no_free_slot(), actions)

    def expire(self, now_ms: int, actions: list[Action]) -> None:
        """Finish what is past its deadline; doubt what is past its progress one."""
        for entry in self._entries.due(now_ms):
            if entry.request.deadline_ms <= now_ms:
                is_silent = entry.is_out and self._progress.is_overdue(entry, now_ms)
                detail = "no whole answer by the deadline"
                reason = Reason.DEADLINE_PASSED
                self.stop(entry, reason, detail, actions, is_silent=is_silent)
            elif (
                entry.endpoint is not None
                and not entry.is_aborted
                and entry.progress_deadline_ms <= now_ms
            ):
                self._note_silence(entry, now_ms, actions)

    def cut_lapsed(self, now_ms: int, actions: list[Action]) -> None:
        """Abort what runs beyond the limit, once a right has lapsed."""
        for endpoint in self._entries.in_flight_by_endpoint():
            excess = self._capacity.excess(endpoint, now_ms)
            if not excess:
                continue
            out = self._entries.out_at(endpoint)
            excess -= sum(entry.is_aborted for entry in out)
            for entry in [e for e in out if not e.is_aborted][: max(0, excess)]:
                self._abort(entry, actions)

    def _note_silence(self, entry, now_ms, actions) -> None:
        """Act on a request that brought no answer by its progress deadline."""
        if not entry.is_suspect:
            # Its siblings tell whether the connection or the request is slow.
            self._progress.plan(entry, now_ms)
            actions.append(Suspect(entry.request.request_id))
        elif entry.request.is_idempotent:
            entry.silent_attempts += 1
            self._abort(entry, actions, is_silent=True)
        elif entry.has_silent_siblings:
            self._abort(entry, actions, is_silent=True)
            detail = "its connection and others of the same age went silent"
            self.finish(entry, Unknown(Reason.NO_ANSWER, detail), actions)

    def _abort(self, entry, actions, *, is_silent=False) -> None:
        if entry.is_out and not entry.is_aborted:
            entry.is_aborted = True
            actions.append(Abort(entry.request.request_id, is_silent=is_silent))
