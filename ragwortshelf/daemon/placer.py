"""Service that runs the placer state machine against real workers and the log."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from ..core.charging import ChargeLedger
from ..core.jobs import (
    ActionResult,
    AnswerSubmission,
    AppendAnswered,
    AppendRecord,
    ConfigurationChanged,
    Event,
    JobEntry,
    JobLedger,
    JobSubmittedOffLog,
    LogDecision,
    LogReachable,
    ObserveWorker,
    PlacerMachine,
    RecordRead,
    RoleChanged,
    Tick,
    UsageObserved,
    WorkerObserved,
    WorkersListed,
    WorkerUnreachable,
)
from ..core.model import (
    Configuration,
    Decision,
    JobSpec,
    NotRun,
    Reason,
    Unknown,
    Unreachable,
    UsageReport,
    WorkerInfo,
)
from ..core.placement import DataCentreScheduler
from ..core.streams import JobAccepted, Record
from ..net.interfaces import Appended, Worker
from .clock import monotonic_ms
from .placer_calls import call_worker

__all__ = ["PlacerService"]

TICK_INTERVAL_MS = 50
OBSERVE_RETRY_MS = 500
REFRESH_INTERVAL_MS = 60_000
CONFIRM_DELAY_MS = 1_000
CHANGE_POLL_WAIT_MS = 25_000
USAGE_INTERVAL_MS = 60_000
USAGE_LAG_MS = 2_000
USAGE_PAGE_REPORTS = 1_000
MAX_CONCURRENT_CALLS = 64
MAX_CONCURRENT_CALLS_PER_WORKER = 4
SUBMIT_TIMEOUT_MS = 5_000
SUBMIT_RETRY_MS = 250
RETRY_AFTER_MS = 2_000

Append = Callable[[Record], Awaitable[Appended | Unreachable]]
RecordUsage = Callable[[tuple[UsageReport, ...]], Awaitable[bool]]


async def _discard_usage(reports: tuple[UsageReport, ...]) -> bool:
    return True


class PlacerService:
    """The placer of one instance, which acts on workers only while it has the role.

    ``holder`` names the instance and its incarnation. ``append`` writes a record to the
    jobs stream, whose records return in order through `deliver`. ``charges`` is updated
    when jobs end, and usage reports that it has already counted are not recorded again.
    ``record_usage`` stores reports and returns whether it succeeded; until then the
    same page of reports is read again.
    """

    def __init__(
        self,
        data_centre: str,
        holder: str,
        worker_factory: Callable[[WorkerInfo], Worker],
        append: Append,
        scheduler: DataCentreScheduler,
        log_decision: Callable[[Decision], None],
        *,
        ledger: JobLedger | None = None,
        charges: ChargeLedger | None = None,
        record_usage: RecordUsage = _discard_usage,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self.machine = PlacerMachine(data_centre, holder, scheduler, ledger)
        self._worker_factory = worker_factory
        self._append = append
        self._log_decision = log_decision
        self._charges = ChargeLedger() if charges is None else charges
        self._record_usage = record_usage
        self._wall_s = wall_s
        self._nursery: trio.Nursery | None = None
        self._deferred_actions: list = []
        self._info_by_name: dict[str, WorkerInfo] = {}
        self._worker_by_name: dict[str, Worker] = {}
        self._watch_scope_by_name: dict[str, trio.CancelScope] = {}
        self._limiter_by_name: dict[str, trio.CapacityLimiter] = {}
        self._observe_event_by_name: dict[str, trio.Event] = {}
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
        self._answered_event_by_id: dict[str, trio.Event] = {}
        self._refusal_by_id: dict[str, NotRun | None] = {}

    @property
    def ledger(self) -> JobLedger:
        """All jobs, as described by the records delivered so far."""
        return self.machine.ledger

    async def run(self) -> None:
        """Execute actions and feed clock ticks to the machine until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for info in self._info_by_name.values():
                self._start_watching(info)
            deferred, self._deferred_actions = self._deferred_actions, []
            for action in deferred:
                self._execute(action)
            while True:
                self._handle(Tick(int(self._wall_s() * 1000)))
                await trio.sleep(TICK_INTERVAL_MS / 1000)

    def deliver(self, offset: int, record: Record) -> None:
        """Apply the next record of the jobs stream."""
        self._handle(RecordRead(offset, record))
        is_accepted = isinstance(record, JobAccepted)
        job_id = record.spec.job_id if is_accepted else getattr(record, "job_id", "")
        self._settle_charge(self.ledger.get(job_id))

    def settle_charges(self) -> None:
        """Update the charges of all jobs after the ledger was restored."""
        for entry in self.ledger.entries():
            self._settle_charge(entry)

    def _settle_charge(self, entry: JobEntry | None) -> None:
        if entry is None or not (entry.lost or entry.phase.is_final):
            return
        spec = entry.spec
        self._charges.settle(
            spec.job_id,
            spec.organisation,
            entry.lost_by_attempt,
            entry.phase.is_final,
        )

    def set_log_reachable(self, is_up: bool, is_current: bool = True) -> None:
        """Set whether the log answers and whether all its records were delivered."""
        self._handle(LogReachable(is_up, is_current))

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the configuration in force."""
        self._handle(ConfigurationChanged(configuration))

    def set_role(self, is_placer: bool) -> None:
        """Set whether this instance is the placer of its data centre."""
        self._handle(RoleChanged(is_placer))

    def set_workers(self, workers: list[WorkerInfo]) -> None:
        """Replace the workers by those that the instance list now names.

        A worker that left the list is no longer watched, and one whose address changed
        is watched at its new address.
        """
        info_by_name = {info.name: info for info in workers}
        for name, info in list(self._info_by_name.items()):
            if name in info_by_name and info_by_name[name].address == info.address:
                continue
            del self._worker_by_name[name]
            scope = self._watch_scope_by_name.pop(name, None)
            if scope is not None:
                scope.cancel()
        for name, info in info_by_name.items():
            if name not in self._worker_by_name:
                self._worker_by_name[name] = self._worker_factory(info)
                self._limiter_by_name[name] = trio.CapacityLimiter(
                    MAX_CONCURRENT_CALLS_PER_WORKER
                )
                self._observe_event_by_name[name] = trio.Event()
                if self._nursery is not None:
                    self._start_watching(info)
        self._info_by_name = info_by_name
        self._handle(WorkersListed(tuple(workers)))

    async def submit(self, spec: JobSpec) -> NotRun | Unknown | None:
        """Accept an admitted job, and return None if it was accepted.

        ``Unknown`` means that the log did not answer in time, so the job may have been
        accepted nevertheless; looking it up by its id later shows which.
        """
        if not self.machine.is_log_up:
            return await self._submit_off_log(spec)
        record = JobAccepted(spec, self.machine.holder)
        deadline_s = trio.current_time() + SUBMIT_TIMEOUT_MS / 1000
        may_have_been_appended = False
        while True:
            answer = await self._append(record)
            if isinstance(answer, Appended):
                return None
            may_have_been_appended = may_have_been_appended or answer.may_have_applied
            if not may_have_been_appended:
                detail = "the log takes no records"
                return NotRun(Reason.LOG_UNAVAILABLE, detail, RETRY_AFTER_MS)
            if self.ledger.get(spec.job_id) is not None:
                return None
            if trio.current_time() >= deadline_s:
                return Unknown(Reason.LOG_UNAVAILABLE, "the log does not answer")
            await trio.sleep(SUBMIT_RETRY_MS / 1000)

    async def _submit_off_log(self, spec: JobSpec) -> NotRun | None:
        answered = trio.Event()
        self._answered_event_by_id[spec.job_id] = answered
        self._handle(JobSubmittedOffLog(spec))
        await answered.wait()
        return self._refusal_by_id.pop(spec.job_id)

    def _handle(self, event: Event) -> None:
        for action in self.machine.handle(event, monotonic_ms()):
            self._execute(action)

    def _execute(self, action) -> None:
        if isinstance(action, LogDecision):
            self._log_decision(action.decision)
        elif isinstance(action, AnswerSubmission):
            answered = self._answered_event_by_id.pop(action.job_id, None)
            if answered is not None:
                self._refusal_by_id[action.job_id] = action.refusal
                answered.set()
        elif isinstance(action, ObserveWorker):
            observe_event = self._observe_event_by_name.get(action.worker)
            if observe_event is not None:
                observe_event.set()
        elif self._nursery is None:
            self._deferred_actions.append(action)
        elif isinstance(action, AppendRecord):
            self._nursery.start_soon(self._append_record, action)
        else:
            self._nursery.start_soon(self._call, action)

    async def _append_record(self, action: AppendRecord) -> None:
        answer = await self._append(action.record)
        if isinstance(answer, Appended):
            result = ActionResult.APPLIED
        else:
            is_uncertain = answer.may_have_applied
            result = ActionResult.NO_ANSWER if is_uncertain else ActionResult.DENIED
        self._handle(AppendAnswered(action, result))

    async def _call(self, action) -> None:
        worker = self._worker_by_name.get(action.worker)
        if worker is None:
            worker = _UNLISTED_WORKER
            event = await call_worker(worker, action)
        else:
            async with self._limiter_by_name[action.worker], self._limiter:
                event = await call_worker(worker, action)
        if event is not None:
            self._handle(event)

    def _start_watching(self, info: WorkerInfo) -> None:
        scope = trio.CancelScope()
        self._watch_scope_by_name[info.name] = scope
        self._nursery.start_soon(self._watch_worker, info.name, scope)

    async def _watch_worker(self, name: str, scope: trio.CancelScope) -> None:
        worker = self._worker_by_name[name]
        usage = _UsageCursor()
        previous_version = None
        with scope:
            while True:
                version = None
                if self.machine.is_placer:
                    version = await self._observe(name, worker)
                if version:
                    # The machine ignores a report requested before a job's last stage
                    # change, so a state that differs is confirmed by a second read.
                    is_new, previous_version = version != previous_version, version
                    refresh_ms = REFRESH_INTERVAL_MS
                    if is_new:
                        refresh_ms = CONFIRM_DELAY_MS
                        usage.due_ms = min(usage.due_ms, monotonic_ms() + USAGE_LAG_MS)
                    await self._wait_for_change(
                        name, worker, version, refresh_ms, usage
                    )
                else:
                    with trio.move_on_after(OBSERVE_RETRY_MS / 1000):
                        await self._observe_event_by_name[name].wait()
                    await self._read_usage_if_due(worker, usage)
                self._observe_event_by_name[name] = trio.Event()

    async def _observe(self, name: str, worker: Worker) -> str | None:
        """Read the worker's state; return its version, or None without an answer."""
        async with self._limiter:
            requested_ms = monotonic_ms()
            report = await worker.describe()
        if isinstance(report, Unreachable):
            self._handle(WorkerUnreachable(name))
            return None
        self._handle(WorkerObserved(report, requested_ms))
        return report.version

    async def _wait_for_change(
        self,
        name: str,
        worker: Worker,
        version: str,
        refresh_ms: int,
        usage: _UsageCursor,
    ) -> None:
        """Wait until the state changes, is requested, or is ``refresh_ms`` old.

        The worker is queried by long polling: it answers once its state has changed, so
        a long wait costs two short messages. Usage is read in between when it is due.
        """
        until_ms = monotonic_ms() + refresh_ms
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_when_set,
                self._observe_event_by_name[name],
                nursery.cancel_scope,
            )
            while self.machine.is_placer and monotonic_ms() < until_ms:
                await self._read_usage_if_due(worker, usage)
                due_ms = min(until_ms, usage.due_ms)
                wait_ms = min(CHANGE_POLL_WAIT_MS, max(1, due_ms - monotonic_ms()))
                answer = await worker.wait_for_change(version, wait_ms=wait_ms)
                if answer is not False:
                    break
            nursery.cancel_scope.cancel()

    async def _read_usage_if_due(self, worker: Worker, usage: _UsageCursor) -> None:
        if self.machine.is_placer and monotonic_ms() >= usage.due_ms:
            usage.cursor = await self._read_usage(worker, usage.cursor)
            usage.due_ms = monotonic_ms() + USAGE_INTERVAL_MS

    async def _cancel_when_set(self, event: trio.Event, scope) -> None:
        await event.wait()
        scope.cancel()

    async def _read_usage(self, worker: Worker, cursor: int) -> int:
        """Record the next page of usage reports; return the cursor to continue from."""
        page = await worker.usage(cursor, limit=USAGE_PAGE_REPORTS)
        if isinstance(page, Unreachable) or not page.reports:
            return cursor
        self._handle(UsageObserved(page.reports))
        uncounted_reports = self._charges.uncounted(page.reports)
        if not uncounted_reports or await self._record_usage(uncounted_reports):
            return page.cursor
        return cursor


@dataclass(eq=False, slots=True)
class _UsageCursor:
    """Position in the usage reports of one worker, and when to read next."""

    cursor: int = 0
    due_ms: int = 0


class _UnlistedWorker(Worker):
    """Null worker used for actions on a worker that left the instance list."""

    async def describe(self):
        return _UNLISTED_ANSWER

    async def wait_for_change(self, version, *, wait_ms):
        return _UNLISTED_ANSWER

    async def acquire(self, request):
        return _UNLISTED_ANSWER

    async def renew(self, lease_ids, ttl_ms):
        return _UNLISTED_ANSWER

    async def release(self, lease_id):
        return _UNLISTED_ANSWER

    async def fence(self, job_id, attempt):
        return _UNLISTED_ANSWER

    async def start(self, task):
        return _UNLISTED_ANSWER

    async def command(self, lease_id, command):
        return _UNLISTED_ANSWER

    async def usage(self, cursor, *, limit):
        return _UNLISTED_ANSWER


_UNLISTED_WORKER = _UnlistedWorker()
_UNLISTED_ANSWER = Unreachable("the worker is not listed", may_have_applied=False)
