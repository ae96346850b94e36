"""Appends the scheduler's decisions and term renewals, fenced by the term's number."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from ..core.scheduling.actions import PersistEvidence, PersistUnit, StartTask
from ..core.scheduling.job_table import JobTable
from ..core.scheduling.model import UnitKey, UnitPhase
from ..core.scheduling.record_codec import encode_record
from ..core.scheduling.records import (
    LeasesEnd,
    LeasesResumed,
    Record,
    TermClock,
    TermHeld,
    UnitCrashes,
    UnitRecord,
)
from ..daemon.logs import log_event, log_failure
from .clock import boot_ms, wall_ms
from .interfaces import (
    Appended,
    Deposed,
    Entry,
    LogUnanswered,
    ProducerFence,
    check_entry,
    entry_bytes,
)
from .log_topics import LogTopics
from .settings import SchedulingSettings

__all__ = ["PRODUCER", "RESIGNED", "TermWriter"]

PRODUCER = "scheduler"
"""Producer name that all instances share, so that the log fences earlier terms."""

RESIGNED = "resigned"
"""Reason for the end of a term whose resignation is in the log."""

ACTIONS_MAX = 2_000
"""Decisions and starts per append, which bounds how long the starts wait."""


class TermWriter:
    """Appends the scheduler's decisions in order; each append also renews the term.

    A record that cannot be written is logged and left out, and so are the starts that
    follow a decision left out, until a later decision on the same unit is written.

    ``uncommitted_jobs`` maps a job's id to its number of decisions not yet in the log.
    ``confirmed_boot_ms`` is the send time of the last successful append, at first that
    of the claim. If the append was repeated, it is that of the first attempt which may
    have taken effect: the log answers a repetition although it renews nothing.
    ``committed_end`` is the offset that follows the records of that append. It is at
    least the term's number, and lower than the number of any later term.
    ``may_have_resigned`` is set while the resignation may be in the log, so that a
    successor may hold the role already. ``due_records`` returns records that go along
    with the next append.
    """

    def __init__(
        self,
        claim: TermHeld,
        claimed_boot_ms: int,
        sequence: int,
        logs: LogTopics,
        settings: SchedulingSettings,
        table: JobTable,
        due_records: Callable[[], Iterable[Record]] = tuple,
    ):
        self._claim = claim
        self._sequence = sequence
        self._log = logs.jobs
        self._metrics = logs.metrics
        self._settings = settings
        self._table = table
        self._due_records = due_records
        self._waiting: list[PersistEvidence | PersistUnit | StartTask] = []
        # Taken for an append that is not answered yet.
        self._sent: list[PersistEvidence | PersistUnit | StartTask] = []
        self._wake_event = trio.Event()
        self._committed = trio.Event()
        self._added_count = 0
        self._committed_count = 0
        self._is_resigning = False
        # The number of newest decisions on a unit that could not be written.
        self._unwritten_by_unit: dict[UnitKey, int] = {}
        self._is_renewal_due = False
        self._claimed_boot_ms = claimed_boot_ms
        self.confirmed_boot_ms = claimed_boot_ms
        self.committed_end = claim.term
        self.may_have_resigned = False
        self.uncommitted_jobs: dict[str, int] = {}

    def add(self, action: PersistEvidence | PersistUnit | StartTask) -> None:
        """Queue a decision to write, or a start to send after the earlier decisions."""
        if isinstance(action, PersistUnit):
            self._count_uncommitted(action, 1)
        self._waiting.append(action)
        self._added_count += 1
        self._wake_event.set()

    def withdraw_leases_end(self, endpoint_id: str) -> bool:
        """Withdraw the note of the end of leases on an endpoint if it was not sent.

        Returns whether it was queued; the log is not needed then.
        """
        is_queued = False
        for index, action in enumerate(self._waiting):
            match action:
                case PersistEvidence(LeasesEnd(endpoint_id=noted_id)):
                    if noted_id == endpoint_id:
                        resumed = PersistEvidence(LeasesResumed(noted_id), "withdrawn")
                        self._waiting[index] = resumed
                        is_queued = True
        return is_queued

    def unconfirmed_ends(self) -> list[UnitRecord]:
        """Return the last records of units that are done, if they may not be logged."""
        return [
            action.record
            for action in (*self._sent, *self._waiting)
            if isinstance(action, PersistUnit) and action.record.phase is UnitPhase.DONE
        ]

    def resign(self) -> None:
        """Write the queued actions and, in the last append, the resignation."""
        self._is_resigning = True
        self._wake_event.set()

    def confirmation_age_ms(self) -> int:
        """Return the time since the last successful append was sent.

        Time during which the process or its machine was suspended counts.
        """
        return boot_ms() - self.confirmed_boot_ms

    def clock_ms(self) -> int:
        """Return the time on the term's clock, which starts when the claim is sent."""
        return boot_ms() - self._claimed_boot_ms

    def mark(self) -> int:
        """Return how many actions were added so far, for ``wait_committed``."""
        return self._added_count

    async def wait_committed(self, mark: int) -> None:
        """Wait until the first ``mark`` actions are in the log."""
        while self._committed_count < mark:
            await self._committed.wait()

    async def wait_for_higher_token(self, token: int) -> int:
        """Return a fencing token of this term above ``token``, once there is one.

        It is ``committed_end``, which rises with each append.
        """
        while self.committed_end <= token:
            self._wake_event.set()
            await self._committed.wait()
        return self.committed_end

    async def run(self, on_start: Callable[[StartTask], None]) -> str:
        """Write until the role is resigned or lost; returns the reason.

        ``on_start`` is called for each start whose preceding records are in the log.
        """
        while True:
            is_idle = not self._waiting and not self._is_resigning
            if is_idle and not self._is_renewal_due:
                with trio.move_on_after(self._settings.term_renewal_ms / 1000):
                    await self._wake_event.wait()
            self._wake_event = trio.Event()
            count, actions, entries = self._take_actions()
            self._sent = actions
            is_last = self._is_resigning and not self._waiting
            due_entries = map(_encode, self._due_records())
            entries.extend(entry for entry in due_entries if entry is not None)
            entries.extend(self._renewal(is_last))
            deposed = await self._append(entries, is_last)
            if deposed is not None:
                return f"deposed: {deposed.detail}"
            self._sent = []
            self._finish(count, actions, on_start)
            if is_last:
                return RESIGNED

    def _take_actions(
        self,
    ) -> tuple[int, list[PersistEvidence | PersistUnit | StartTask], list[Entry]]:
        """Take the first actions that fit into one append.

        Returns their number, those of them that are not left out, and their entries. A
        decision that is larger than an append should be is alone.
        """
        size = sum(map(entry_bytes, self._renewal(is_last=True)))
        bytes_max = self._settings.append_bytes_max()
        entries: list[Entry] = []
        actions: list[PersistEvidence | PersistUnit | StartTask] = []
        count = 0
        for action in self._waiting[:ACTIONS_MAX]:
            if isinstance(action, StartTask):
                if action.unit_key not in self._unwritten_by_unit:
                    actions.append(action)
            else:
                entry = _encode(action.record)
                if entry is not None:
                    size += entry_bytes(entry)
                    if entries and size > bytes_max:
                        break
                    self._record(action)
                    entries.append(entry)
                    actions.append(action)
                if isinstance(action, PersistUnit):
                    self._note_written(action, entry is not None)
            count += 1
        del self._waiting[:count]
        return count, actions, entries

    def _note_written(self, action: PersistUnit, is_written: bool) -> None:
        """Note whether the newest decision on a unit is being written.

        One that is being written supersedes those that were left out.
        """
        key = action.record.key
        if is_written:
            self._count_uncommitted(action, -self._unwritten_by_unit.pop(key, 0))
        else:
            self._unwritten_by_unit[key] = self._unwritten_by_unit.get(key, 0) + 1

    def _renewal(self, is_last: bool) -> list[Entry]:
        claim = self._claim
        clock = TermClock(claim.term, self.clock_ms())
        renewal = TermHeld(claim.term, claim.holder, wall_ms(), is_last)
        return [encode_record(clock), encode_record(renewal)]

    def _finish(
        self, count: int, actions, on_start: Callable[[StartTask], None]
    ) -> None:
        self._committed_count += count
        self._committed.set()
        self._committed = trio.Event()
        for action in actions:
            if isinstance(action, PersistUnit):
                self._count_uncommitted(action, -1)
            elif isinstance(action, StartTask):
                on_start(action)

    async def _append(self, entries: list[Entry], is_last: bool) -> Deposed | None:
        """Append with the term's fence, retrying until it succeeds or is fenced.

        ``is_last`` is set if the entries hold the resignation.
        """
        self._sequence += 1
        fence = ProducerFence(PRODUCER, self._claim.term, self._sequence)
        was_unanswered = False
        while True:
            if not was_unanswered:
                sent = boot_ms()
            self.may_have_resigned = is_last
            outcome = await self._log.append(
                entries, timeout_ms=self._settings.log_call_timeout_ms, fence=fence
            )
            if isinstance(outcome, Appended):
                self.confirmed_boot_ms = sent
                self.committed_end = outcome.offset + len(entries)
                # After an outage that confirmation is old.
                self._is_renewal_due = was_unanswered
                return None
            if isinstance(outcome, Deposed):
                return outcome
            was_unanswered |= isinstance(outcome, LogUnanswered)
            self.may_have_resigned = is_last and was_unanswered
            await trio.sleep(self._settings.log_retry_ms / 1000)

    def _count_uncommitted(self, action: PersistUnit, change: int) -> None:
        job_id = action.record.key.job_id
        count = self.uncommitted_jobs.get(job_id, 0) + change
        if count:
            self.uncommitted_jobs[job_id] = count
        else:
            self.uncommitted_jobs.pop(job_id, None)

    def _record(self, action: PersistEvidence | PersistUnit) -> None:
        if isinstance(action, PersistUnit):
            self._record_decision(action)
        elif isinstance(action.record, UnitCrashes):
            self._record_crashes(action.record, action.reason)

    def _record_crashes(self, record: UnitCrashes, reason: str) -> None:
        log_event(
            "unit_crashes",
            job=record.key.job_id,
            unit="/".join(map(str, record.key[1:])),
            crashes_by_task={task.index: task.count for task in record.by_task},
            sole=record.sole_crashes,
            suspected=[s.incarnation.endpoint_id for s in record.suspected],
            reason=reason,
            term=self._claim.term,
        )

    def _record_decision(self, action: PersistUnit) -> None:
        record = action.record
        phase = record.phase.name.lower()
        self._metrics.count("unit_changes_total", phase=phase, reason=action.reason)
        if record.phase is UnitPhase.PLACED and record.run == 1:
            job = self._table.job_by_id.get(record.key.job_id)
            if job is not None:
                waited = record.changed_wall_ms - job.spec.accepted_wall_ms
                self._metrics.observe_ms("first_start_wait_ms", waited)
        log_event(
            "unit",
            job=record.key.job_id,
            unit="/".join(map(str, record.key[1:])),
            phase=phase,
            run=record.run,
            failed=record.failed_runs,
            endpoints=record.endpoints,
            reason=action.reason,
            slack_ms=action.slack_ms,
            estimate_ms=action.estimate_ms,
            accelerators=action.accelerators,
            share=_rounded(action.share),
            fair_share=_rounded(action.fair_share),
            ended_on=action.ended_on or None,
            waited_ms=max(0, wall_ms() - record.changed_wall_ms),
            term=record.term,
        )


def _encode(record: Record) -> Entry | None:
    """Return the record's entry, or None if it cannot be written to the log."""
    try:
        entry = encode_record(record)
        check_entry(entry)
    except Exception:
        log_failure("record_not_written", record=ascii(record))
        return None
    return entry


def _rounded(share: float | None) -> float | None:
    """Return a part of a service's capacity to a tenth of a percent."""
    return None if share is None else round(share, 3)
