"""Completion of requests: final outcomes, timeouts and aborts of open attempts."""

from __future__ import annotations

from ..model import NotRun, Reason, RequestOutcome, Unknown
from .capacity import Capacity
from .entries import Entry, EntryTable
from .events import Abort, Action, Finish, Suspect
from .fair_queue import FairQueue
from .outcomes import failure_outcome
from .progress import ProgressRules
from .retry_rules import RETRY_AFTER_FAILURE_MS
from .run_times import RunTimes

__all__ = ["CompletionRules", "no_slot_outcome"]


def no_slot_outcome() -> NotRun:
    """Return the outcome of a delegated request that cannot start at once."""
    return NotRun(Reason.NO_CAPACITY, "no slot is free here", RETRY_AFTER_FAILURE_MS)


class CompletionRules:
    """Gives requests their final outcome and aborts their open attempts.

    Methods append the resulting actions to ``actions``.
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
        """Give a request its outcome; remove it if no attempt is open any more."""
        entry.is_finished = True
        if not entry.has_open_attempt:
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
        """Finish a queued or running request without an answer."""
        self._queue.remove(entry.request.request_id)
        self._abort(entry, actions, is_silent=is_silent)
        outcome = failure_outcome(
            may_have_run=entry.may_have_run or entry.has_open_attempt,
            reason=reason,
            detail=detail,
            retry_after_ms=RETRY_AFTER_FAILURE_MS,
        )
        self.finish(entry, outcome, actions)

    def refuse_if_late(self, request, now_ms: int, actions: list[Action]) -> bool:
        """Refuse a queued request that cannot meet its deadline; True if refused.

        The expected run time is the median of the request's class, or its 95th
        percentile while other requests wait as well.
        """
        remaining_ms = request.deadline_ms - now_ms
        needed_ms = self._run_times.median_ms(request.request_class)
        if len(self._queue) > 1:
            needed_ms = self._run_times.p95_ms(request.request_class)
        if remaining_ms >= needed_ms:
            return False
        entry = self._entries.get(request.request_id)
        self._queue.remove(request.request_id)
        wait_ms = now_ms - entry.arrived_ms
        outcome = failure_outcome(
            may_have_run=entry.may_have_run,
            reason=Reason.DEADLINE_UNREACHABLE,
            detail=f"waited {wait_ms} ms and {remaining_ms} ms are left",
            retry_after_ms=int(wait_ms + needed_ms - remaining_ms) + 1,
        )
        self.finish(entry, outcome, actions)
        return True

    def refuse_if_queued(self, request_id: str, actions: list[Action]) -> None:
        """Refuse a delegated request that did not start at once."""
        if self._queue.remove(request_id) is not None:
            self.finish(self._entries.get(request_id), no_slot_outcome(), actions)

    def expire(self, now_ms: int, actions: list[Action]) -> None:
        """Finish requests past their deadline and check those without progress."""
        for entry in self._entries.due(now_ms):
            if entry.request.deadline_ms <= now_ms:
                is_silent = entry.has_open_attempt and self._progress.is_overdue(
                    entry, now_ms
                )
                detail = "no whole answer by the deadline"
                reason = Reason.DEADLINE_PASSED
                self.stop(entry, reason, detail, actions, is_silent=is_silent)
            elif (
                entry.endpoint is not None
                and not entry.is_aborted
                and entry.progress_deadline_ms <= now_ms
            ):
                self._handle_progress_timeout(entry, now_ms, actions)

    def abort_excess(self, now_ms: int, actions: list[Action]) -> None:
        """Abort attempts beyond the limit of each endpoint after a lease expired."""
        for endpoint in self._entries.in_flight_by_endpoint():
            excess = self._capacity.excess_attempts(endpoint, now_ms)
            if not excess:
                continue
            running = self._entries.entries_at(endpoint)
            excess -= sum(entry.is_aborted for entry in running)
            for entry in [e for e in running if not e.is_aborted][: max(0, excess)]:
                self._abort(entry, actions)

    def _handle_progress_timeout(self, entry, now_ms, actions) -> None:
        """Handle a request that got no answer by its progress deadline.

        The first time, its connection is to be checked. If the connection is suspect
        already, an idempotent request is aborted and may be retried. A non-idempotent
        one ends as ``Unknown`` if siblings of the connection are suspect too, and
        continues otherwise.
        """
        if not entry.is_suspect:
            # The siblings of the connection show whether the connection or only the
            # request is slow.
            self._progress.set_next_deadline(entry, now_ms)
            actions.append(Suspect(entry.request.request_id))
        elif entry.request.is_idempotent:
            entry.silent_attempts += 1
            self._abort(entry, actions, is_silent=True)
        elif entry.has_silent_siblings:
            self._abort(entry, actions, is_silent=True)
            detail = "its connection and others of the same age went silent"
            self.finish(entry, Unknown(Reason.NO_ANSWER, detail), actions)

    def _abort(self, entry, actions, *, is_silent=False) -> None:
        if entry.has_open_attempt and not entry.is_aborted:
            entry.is_aborted = True
            actions.append(Abort(entry.request.request_id, is_silent=is_silent))
