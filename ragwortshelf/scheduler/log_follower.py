"""Follows the job log and folds it into the table of all jobs."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..core.scheduling.records import Record, UnitRecord, decode_record, job_id_of
from ..core.scheduling.table import JobTable
from ..daemon.logs import log_event
from .clock import boot_ms
from .interfaces import Entry, KeyedLog, LogGap, LogPage
from .newest_records import NewestRecords, read_newest_records
from .settings import SchedulingSettings

__all__ = ["LogFollower"]


class LogFollower:
    """Keeps a ``JobTable`` at most some hundred milliseconds behind the log.

    ``confirmed_boot_ms`` is when the read was sent that last showed the whole log.
    ``streak_boot_ms`` is when the present series of answered reads began. While
    ``own_term`` is set, unit records of that term are skipped: the scheduler applied
    them before it appended them.
    """

    def __init__(self, log: KeyedLog, settings: SchedulingSettings):
        self._log = log
        self.settings = settings
        self.table = JobTable()
        self.next_offset: int | None = None
        self.confirmed_boot_ms: int | None = None
        self.streak_boot_ms: int | None = None
        self.term_seen_boot_ms: int | None = None
        self.own_term: int | None = None
        self.is_waiting_for_records = False
        self.on_job_changed: Callable[[str], None] = lambda job_id: None
        self._needs_snapshot = True
        self._wanted = trio.Event()
        self._advanced = trio.Event()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            if self._needs_snapshot and not await self._load_snapshot():
                await trio.sleep(self.settings.log_retry_ms / 1000)
                continue
            await self._read_once()

    def restart(self) -> None:
        """Forget all jobs and read them anew from the log.

        Other instances stay known: they are asked when the log does not answer.
        """
        instance_by_name = self.table.instance_by_name
        self.table = JobTable()
        self.table.instance_by_name.update(instance_by_name)
        self.next_offset = None
        self.own_term = None
        self._needs_snapshot = True
        self.streak_boot_ms = None
        self._wanted.set()

    @property
    def is_answered(self) -> bool:
        """Whether the last read of the log was answered."""
        return self.streak_boot_ms is not None

    def age_ms(self) -> int | None:
        """Return how old the shown state is at most; None before the first."""
        if self.confirmed_boot_ms is None or self.next_offset is None:
            return None
        return boot_ms() - self.confirmed_boot_ms

    async def refresh(self, age_max_ms: int, timeout_ms: int) -> bool:
        """Read on if the state is older; returns whether it is now young enough."""
        with trio.move_on_after(timeout_ms / 1000):
            while True:
                age = self.age_ms()
                if age is not None and age <= age_max_ms:
                    return True
                await self._advance()
        return False

    async def reach(self, offset: int, timeout_ms: int) -> bool:
        """Wait until records before ``offset`` are folded."""
        with trio.move_on_after(timeout_ms / 1000):
            while self.next_offset is None or self.next_offset < offset:
                await self._advance()
            return True
        return False

    def wake(self) -> None:
        """Read on at once."""
        self._wanted.set()

    async def _advance(self) -> None:
        """Wait for the next answered read, or make one while another waits."""
        self._wanted.set()
        if self.is_waiting_for_records and not self._needs_snapshot:
            await self._read(wait_ms=0)
        else:
            await self._advanced.wait()

    async def _read_once(self) -> None:
        is_waiting = self.is_waiting_for_records
        self._wanted = trio.Event()
        is_whole = await self._read(self.settings.term_renewal_ms if is_waiting else 0)
        if is_whole and not is_waiting:
            await self._pause()

    async def _read(self, wait_ms: int) -> bool:
        """Read once and fold; returns whether the log's end was reached."""
        sent = boot_ms()
        offset = self.next_offset
        wait_ms, timeout_ms = self.settings.read_times_ms(wait_ms, self.is_answered)
        page = await self._log.read(offset, wait_ms=wait_ms, timeout_ms=timeout_ms)
        if self._needs_snapshot:
            return False
        match page:
            case LogPage():
                # Another read may have folded the first of these meanwhile.
                self._fold(page.entries[self.next_offset - offset :])
                self.next_offset = max(self.next_offset, page.next_offset)
                is_whole = self.next_offset >= page.end
                self._note_answer(sent, is_whole)
                return is_whole
            case LogGap():
                log_event("job_log_gap", first=page.first, offset=self.next_offset)
                self._needs_snapshot = True
            case _:
                self._note_failure(page.detail)
                await trio.sleep(self.settings.log_retry_ms / 1000)
        return False

    async def _pause(self) -> None:
        with trio.move_on_after(self.settings.follow_interval_ms / 1000):
            await self._wanted.wait()

    async def _load_snapshot(self) -> bool:
        sent = boot_ms()
        table = self.table
        outcome = await read_newest_records(
            self._log, self._fold, self.settings.log_call_timeout_ms
        )
        if not isinstance(outcome, NewestRecords):
            self._note_failure(outcome.detail)
            return False
        if self.table is not table:
            # Restarted between two pages: the new table lacks the first ones.
            return False
        self._needs_snapshot = False
        self.next_offset = outcome.next_offset
        log_event(
            "job_log_loaded",
            offset=outcome.next_offset,
            jobs=len(self.table.job_by_id),
        )
        self._note_answer(sent, is_whole=False)
        return True

    def _fold(self, entries: tuple[Entry, ...]) -> None:
        for key, value in entries:
            record = decode_record(key, value)
            if record is None:
                if value and key:
                    log_event("job_record_ignored", key=key, bytes=len(value))
                continue
            self._apply(record)

    def _apply(self, record: Record) -> None:
        if isinstance(record, UnitRecord) and self.own_term is not None:
            # Applied before it was appended, or written by an earlier term.
            return
        term_before = self.table.term
        if self.table.apply(record):
            self.on_job_changed(job_id_of(record))
        if isinstance(record, UnitRecord) or self.table.term is not term_before:
            self.term_seen_boot_ms = boot_ms()

    def _note_answer(self, sent_boot_ms: int, is_whole: bool) -> None:
        if self.streak_boot_ms is None:
            self.streak_boot_ms = sent_boot_ms
            log_event("job_log_regained", offset=self.next_offset)
        if is_whole:
            self.confirmed_boot_ms = sent_boot_ms
        self._advanced.set()
        self._advanced = trio.Event()

    def _note_failure(self, detail: str) -> None:
        if self.streak_boot_ms is not None:
            log_event("job_log_lost", detail=detail, age_ms=self.age_ms())
        self.streak_boot_ms = None
