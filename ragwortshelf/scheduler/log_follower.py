"""Follows the job log and applies its records to the table of all jobs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..core.scheduling.incarnations import IncarnationTimes
from ..core.scheduling.job_table import JobTable
from ..core.scheduling.lease_grants import LeaseGrants
from ..core.scheduling.record_codec import (
    decode_record,
    job_id_of,
    leases_key,
    submission_key,
)
from ..core.scheduling.records import (
    EndpointForgotten,
    EndpointObserved,
    JobForgotten,
    LeasesEnd,
    LeasesResumed,
    Record,
    TermClock,
    TermHeld,
    TermReport,
    UnitCrashes,
    UnitRecord,
)
from ..core.scheduling.term_clock import TermClockReader
from ..daemon.logs import log_event, log_failure
from .clock import boot_ms
from .interfaces import Entry, KeyedLog, LogGap, LogPage
from .log_regaining import regain_log
from .loss_reporter import LossReporter
from .newest_records import NewestReader, NewestRecords
from .settings import SchedulingSettings

__all__ = ["LogFollower", "NotedLeases"]

SCHEDULER_RECORDS = (
    EndpointForgotten,
    EndpointObserved,
    LeasesEnd,
    LeasesResumed,
    UnitCrashes,
    UnitRecord,
)
"""Records that only the scheduler writes, which applies them to the table itself."""


@dataclass(frozen=True, slots=True)
class NotedLeases:
    """By when leases on an endpoint have expired, as the newest term noted.

    The times count suspensions; the first is for the known incarnation, the second for
    any. Runs in ``unlocated_runs`` may be in another than the known one.
    """

    end_boot_ms: int
    any_end_boot_ms: int
    unlocated_runs: tuple[tuple[str, int], ...] = ()

    def record(self, endpoint_id: str, term: int, claimed_boot_ms: int) -> LeasesEnd:
        """Return the note on the clock of a term that was claimed at that time."""
        return LeasesEnd(
            endpoint_id,
            term,
            self.end_boot_ms - claimed_boot_ms,
            self.any_end_boot_ms - claimed_boot_ms,
            self.unlocated_runs,
        )


class LogFollower:
    """Keeps a ``JobTable`` a few hundred milliseconds behind an answering log.

    ``confirmed_boot_ms`` is the send time of the last read that reached the end of the
    log. ``answering_since_boot_ms`` is the send time of the first read in the current
    series of answered reads, None while the log does not answer.
    ``term_activity_boot_ms`` is the time at which a term or unit record was last seen,
    and ``lease_grants`` bounds until when the terms seen extended leases.
    ``incarnations`` has when the present incarnation of each endpoint was first seen.
    While ``own_term`` is set, the scheduler's records are skipped, because it applies
    its decisions to the table before it appends them. While ``is_waiting_for_records``
    is set, each read waits for new records, and no pause follows it. Callers that need
    recent state meanwhile share one separate read at a time.
    """

    def __init__(self, log: KeyedLog, settings: SchedulingSettings):
        self._log = log
        self.settings = settings
        self.table = JobTable()
        self.next_offset: int | None = None
        self.confirmed_boot_ms: int | None = None
        self.answering_since_boot_ms: int | None = None
        self.term_activity_boot_ms: int | None = None
        self.lease_grants = LeaseGrants(settings.lease_grant_max_ms)
        self.incarnations = IncarnationTimes()
        self._term_clock = TermClockReader()
        self.own_term: int | None = None
        self.is_waiting_for_records = False
        self.on_job_changed: Callable[[str], None] = lambda job_id: None
        self.on_term_report: Callable[[TermReport], None] = lambda report: None
        self._needs_reload = True
        self._begin_load()
        self._loss_reporter = LossReporter("job_log_lost")
        self._wake_event = trio.Event()
        self._answer_event = trio.Event()
        self._refresh_event = trio.Event()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._refresh_on_demand)

    async def _follow(self) -> None:
        while True:
            if self._needs_reload and not await self._reload():
                await trio.sleep(self.settings.log_retry_ms / 1000)
                continue
            if self.is_log_answering:
                await self._read_once()
            else:
                await self._regain()

    def restart(self) -> None:
        """Discard the table and reload it from the log.

        The other instances' addresses are retained, since they are probed while the
        log does not answer.
        """
        instance_by_name = self.table.instance_by_name
        self.table = JobTable()
        self.table.instance_by_name.update(instance_by_name)
        self.next_offset = None
        self.own_term = None
        self._needs_reload = True
        self._begin_load()
        self.answering_since_boot_ms = None
        self._wake_event.set()

    @property
    def is_log_answering(self) -> bool:
        """Whether the last read of the log was answered."""
        return self.answering_since_boot_ms is not None

    def age_ms(self) -> int | None:
        """Return the maximum age of the table's state, None before the first load."""
        if self.confirmed_boot_ms is None or self.next_offset is None:
            return None
        return boot_ms() - self.confirmed_boot_ms

    async def refresh(self, age_max_ms: int, timeout_ms: int) -> bool:
        """Read the log until the state was at most ``age_max_ms`` old at this call.

        The age counts from the call, because a read of a slow log may take longer than
        ``age_max_ms``. Returns False if ``timeout_ms`` passes first.
        """
        oldest_boot_ms = boot_ms() - age_max_ms
        with trio.move_on_after(timeout_ms / 1000):
            while (
                self.next_offset is None
                or self.confirmed_boot_ms is None
                or self.confirmed_boot_ms < oldest_boot_ms
            ):
                await self._wait_for_answer()
            return True
        return False

    async def wait_for_later_read(self, since_boot_ms: int, timeout_ms: int) -> bool:
        """Wait until a read that was sent after ``since_boot_ms`` reached the end.

        It is the next regular read, which causes no further one, except while reads
        wait for new records, since two of those may take 0.7 s. Returns False if
        ``timeout_ms`` passes first.
        """
        with trio.move_on_after(timeout_ms / 1000):
            # A restart after that read leaves a table without what was read.
            while (
                self.next_offset is None
                or (self.confirmed_boot_ms or 0) <= since_boot_ms
            ):
                self._refresh_event.set()
                await self._answer_event.wait()
            return True
        return False

    async def wait_for_offset(self, offset: int, timeout_ms: int) -> bool:
        """Wait until all records before ``offset`` are applied.

        Returns False if ``timeout_ms`` passes first.
        """
        with trio.move_on_after(timeout_ms / 1000):
            while self.next_offset is None or self.next_offset < offset:
                await self._wait_for_answer()
            return True
        return False

    def noted_leases(self) -> dict[str, NotedLeases]:
        """Return when leases end, by endpoint, where the newest term has noted that.

        Notes of earlier terms are void, as the holder after them may not know them.
        """
        newest = self.table.term
        noted = {}
        for endpoint_id, record in self.table.leases_end_by_endpoint_id.items():
            if newest is None or record.term != newest.term:
                continue
            end_ms = self._term_clock.to_local_ms(record.term, record.end_ms)
            any_end_ms = self._term_clock.to_local_ms(record.term, record.any_end_ms)
            if end_ms is not None and any_end_ms is not None:
                noted[endpoint_id] = NotedLeases(
                    end_ms, any_end_ms, record.unlocated_runs
                )
        return noted

    def wake(self) -> None:
        """Read the log again without waiting for the next interval."""
        self._wake_event.set()

    async def _wait_for_answer(self) -> None:
        """Wait for the next answered read, and make it come soon.

        A caller's timeout does not cancel that read, whose answer serves all callers.
        """
        self._wake_event.set()
        self._refresh_event.set()
        await self._answer_event.wait()

    async def _refresh_on_demand(self) -> None:
        """Read beside a read that waits for new records, whenever callers wait.

        A demand that arrives during such a read is met by another one. A log that is
        lost is read without pauses anyway.
        """
        while True:
            await self._refresh_event.wait()
            self._refresh_event = trio.Event()
            if not self.is_log_answering or self._needs_reload:
                continue
            if self.is_waiting_for_records:
                await self._read(0, self.settings.read_timeout_ms(0))

    async def _regain(self) -> None:
        """Read the log until it answers again, or has to be loaded anew."""
        await regain_log(
            self._log,
            next_offset=lambda: self.next_offset,
            read=lambda timeout_ms: self._read(0, timeout_ms),
            is_regained=lambda: self.is_log_answering or self._needs_reload,
            settings=self.settings,
        )

    async def _read_once(self) -> None:
        is_waiting = self.is_waiting_for_records
        self._wake_event = trio.Event()
        wait_ms = self.settings.term_renewal_ms if is_waiting else 0
        timeout_ms = self.settings.read_timeout_ms(wait_ms)
        reached_end = await self._read(wait_ms, timeout_ms)
        if reached_end and not is_waiting:
            await self._pause()

    async def _read(self, wait_ms: int, timeout_ms: int) -> bool:
        """Read once and apply the records; returns whether that reached the end."""
        sent = boot_ms()
        offset = self.next_offset
        page = await self._log.read(offset, wait_ms=wait_ms, timeout_ms=timeout_ms)
        if self._needs_reload:
            return False
        match page:
            case LogPage():
                # A concurrent read may already have applied the first of these.
                self._apply_entries(page.entries[self.next_offset - offset :])
                self.next_offset = max(self.next_offset, page.next_offset)
                reached_end = self.next_offset >= page.end
                self._record_answer(sent, reached_end)
                return reached_end
            case LogGap():
                log_event("job_log_gap", first=page.first, offset=self.next_offset)
                self._needs_reload = True
            case _:
                self._record_failure(page.detail)
                await trio.sleep(self.settings.log_retry_ms / 1000)
        return False

    async def _pause(self) -> None:
        with trio.move_on_after(self.settings.follow_interval_ms / 1000):
            await self._wake_event.wait()

    async def _reload(self) -> bool:
        sent = boot_ms()
        reader = self._newest_reader

        def apply_page(entries: tuple[Entry, ...]) -> None:
            if self._newest_reader is reader:
                self._apply_entries(entries)
                self._listed_keys.update(key for key, _ in entries)

        outcome = await reader.read(apply_page, self.settings.log_call_timeout_ms)
        if not isinstance(outcome, NewestRecords):
            self._record_failure(outcome.detail)
            return False
        if self._newest_reader is not reader:
            # Restarted while loading: the new table lacks the records of earlier pages.
            return False
        self._forget_unlisted()
        self.lease_grants.loaded(self.table.term, boot_ms())
        self._begin_load()
        self._needs_reload = False
        self.next_offset = outcome.next_offset
        log_event(
            "job_log_loaded",
            offset=outcome.next_offset,
            jobs=len(self.table.job_by_id),
        )
        self._record_answer(sent, reached_end=False)
        return True

    def _begin_load(self) -> None:
        """Prepare for the next load, which begins at the first page."""
        self._newest_reader = NewestReader(self._log)
        self._listed_keys: set[str] = set()

    def _forget_unlisted(self) -> None:
        """Forget what was deleted by records that could not be read."""
        for job_id in list(self.table.job_by_id):
            if submission_key(job_id) not in self._listed_keys:
                self._apply(JobForgotten(job_id))
        for endpoint_id in list(self.table.leases_end_by_endpoint_id):
            if leases_key(endpoint_id) not in self._listed_keys:
                self._apply(LeasesResumed(endpoint_id))

    def _apply_entries(self, entries: tuple[Entry, ...]) -> None:
        for key, value in entries:
            try:
                record = decode_record(key, value)
                if record is not None:
                    self._apply(record)
                elif value and key:
                    log_event("job_record_ignored", key=key, bytes=len(value))
            except Exception:
                # Records of this topic are written by all instances, and a newer one
                # may write what this one cannot apply.
                log_failure("job_record_failed", key=key, bytes=len(value))

    def _apply(self, record: Record) -> None:
        match record:
            case EndpointObserved(incarnation):
                self.incarnations.observed(incarnation, boot_ms())
            case EndpointForgotten(endpoint_id):
                self.incarnations.forgotten(endpoint_id)
            case TermClock():
                self._term_clock.clock_read(record, boot_ms())
            case TermReport():
                self._apply_term_report(record)
                return
        if isinstance(record, SCHEDULER_RECORDS) and self.own_term is not None:
            # Already applied by this scheduler, or written in an earlier term.
            return
        term_before = self.table.term
        if self.table.apply(record):
            self.on_job_changed(job_id_of(record))
        if isinstance(record, TermHeld) and not self._needs_reload:
            self.lease_grants.term_read(record, boot_ms())
        if isinstance(record, UnitRecord) or self.table.term is not term_before:
            self.term_activity_boot_ms = boot_ms()

    def _apply_term_report(self, record: TermReport) -> None:
        self.table.apply(record)
        # A load doesn't tell which other terms there were, so their bound remains.
        if not self._needs_reload:
            self.lease_grants.report_read(record, boot_ms())
            self.on_term_report(record)

    def _record_answer(self, sent_boot_ms: int, reached_end: bool) -> None:
        if self.answering_since_boot_ms is None:
            self.answering_since_boot_ms = sent_boot_ms
            self._loss_reporter.call_answered()
            log_event("job_log_regained", offset=self.next_offset)
        if reached_end:
            # Concurrent reads may be answered in another order than they were sent.
            self.confirmed_boot_ms = max(self.confirmed_boot_ms or 0, sent_boot_ms)
        self._answer_event.set()
        self._answer_event = trio.Event()

    def _record_failure(self, detail: str) -> None:
        self._loss_reporter.call_failed(detail, self.age_ms())
        self.answering_since_boot_ms = None
