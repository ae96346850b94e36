"""The scheduler's role while this instance holds it."""

from __future__ import annotations

import time

import trio

from ..core.scheduling import Scheduler, ServiceConfiguration
from ..core.scheduling.actions import (
    Action,
    AskAdvice,
    PaceTask,
    PersistUnit,
    StartTask,
    StopTask,
)
from ..core.scheduling.fleet import EndpointInfo, EndpointListing
from ..core.scheduling.model import UnitKey, UnitPhase
from ..core.scheduling.records import (
    TermHeld,
    encode_record,
    forgetting_records,
)
from ..daemon.logs import log_event
from .clock import boot_ms, monotonic_ms, wall_ms
from .configuration import ConfigurationFollower
from .directory import EndpointDirectory
from .endpoint_session import CLOCK_DRIFT, EndpointSession
from .interfaces import Appended, Deposed, Entry, OutsideWorld, ProducerFence
from .log_follower import LogFollower
from .logs import Logs
from .settings import SchedulingSettings
from .upkeep import UpkeepRunner

__all__ = ["PRODUCER", "Leadership"]

PRODUCER = "scheduler"
"""The producer's name under which the log fences earlier terms."""

PLAN_INTERVAL_MS = 250
"""Time between plans without news; it bounds when timed jobs and retries start."""

ADVICE_RETRY_MS = 300
"""Pause after a question that the policy service did not answer."""

FORGET_INTERVAL_MS = 5_000
"""Time between two looks for ended jobs whose state need not be kept any longer."""

FORGET_JOBS_MAX = 50
"""Jobs forgotten in one append, so that the scheduler's own records are not held up."""

TRIM_MARGIN_MS = 60_000
"""Ended jobs are kept this much longer than promised, for repeated submissions."""


class Leadership:
    """Schedules under one term until it is resigned or deposed."""

    def __init__(
        self,
        claim: TermHeld,
        world: OutsideWorld,
        logs: Logs,
        settings: SchedulingSettings,
        follower: LogFollower,
        configuration: ConfigurationFollower,
        previous: TermHeld | None,
        sequence: int,
    ):
        self.claim = claim
        self._world = world
        self._settings = settings
        self._follower = follower
        self._configuration = configuration
        self._logs = logs
        self._log = logs.jobs
        self._metrics = logs.metrics
        self._sequence = sequence
        self._scheduler = Scheduler(claim.term, follower.table, configuration.current)
        self._upkeep = UpkeepRunner(
            world, settings, follower, self._scheduler, self._commit, claim.term
        )
        self._session_by_id: dict[str, EndpointSession] = {}
        self._uncommitted: list[Action] = []
        self._committed = trio.Event()
        self._commits_wanted = 0
        self._commits_done = 0
        self._advice_lock = trio.Lock()
        self._dirty = trio.Event()
        self._write_wanted = trio.Event()
        self._confirmed_boot_ms = boot_ms()
        self._is_resigning = False
        self._nursery: trio.Nursery | None = None
        self._unknown_lapse_ms = self._earlier_leases_end_ms(previous)
        self.uncommitted_jobs: dict[str, int] = {}
        self.end_reason = ""

    async def run(self) -> str:
        """Hold the role; returns why it ended."""
        log_event("term_started", term=self.claim.term)
        self._follower.on_job_changed = self._job_changed
        self._follower.is_waiting_for_records = True
        self._follower.wake()
        self._configuration.on_change = self._configured
        self._scheduler.adopt(monotonic_ms(), wall_ms())
        directory = EndpointDirectory(
            self._world,
            self._logs.endpoints,
            self._settings,
            self._endpoint_seen,
            self._endpoint_gone,
        )
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(directory.run)
                nursery.start_soon(self._plan_loop)
                nursery.start_soon(self._write_loop)
                nursery.start_soon(self._watch_confirmation)
                nursery.start_soon(self._forget_loop)
                nursery.start_soon(self._release_placeholders)
                nursery.start_soon(self._upkeep.run, self._configuration.waves)
        finally:
            self._follower.on_job_changed = lambda job_id: None
            self._follower.is_waiting_for_records = False
            self._configuration.on_change = lambda newest: None
        log_event("term_ended", term=self.claim.term, reason=self.end_reason)
        return self.end_reason

    def resign(self) -> None:
        """Give the role up: a successor may go on at once."""
        self._is_resigning = True
        self._write_wanted.set()

    def is_committed(self, job_id: str) -> bool:
        """Whether all that is shown of a job is in the log."""
        return job_id not in self.uncommitted_jobs

    def _end(self, reason: str) -> None:
        if not self.end_reason:
            self.end_reason = reason
            self._nursery.cancel_scope.cancel()

    def _earlier_leases_end_ms(self, previous: TermHeld | None) -> int:
        """Return when all leases that earlier terms have granted have run out.

        A holder stops granting once the log has not confirmed it for
        ``term_confirmation_max_ms``; one that resigned has stopped.
        """
        now = monotonic_ms()
        if previous is None:
            return now
        grants_on_ms = 0
        if not previous.is_resigned:
            grants_on_ms = self._settings.term_confirmation_max_ms
        return now + grants_on_ms + int(self._settings.lease_ms / CLOCK_DRIFT) + 1

    # Events from the log and the configuration.

    def _job_changed(self, job_id: str) -> None:
        self._scheduler.job_changed(job_id, monotonic_ms(), wall_ms())
        self._dirty.set()

    def _configured(self, newest: ServiceConfiguration) -> None:
        self._scheduler.configure(newest)
        self._dirty.set()

    # Endpoints.

    def _endpoint_seen(self, info: EndpointInfo) -> None:
        self._scheduler.endpoint_seen(info, monotonic_ms())
        session = self._session_by_id.get(info.id)
        if session is not None and session.info.address == info.address:
            session.info = info
        else:
            if session is not None:
                session.end()
            self._open_session(info)
        self._dirty.set()

    def _open_session(self, info: EndpointInfo) -> None:
        session = EndpointSession(
            info,
            self._world.endpoint_client(info, self.claim.term),
            self._settings,
            on_listing=self._listed,
            on_unreachable=self._unreachable,
            on_lapsed=self._lapsed,
            on_fenced=lambda _: self._end("an endpoint has seen a later term"),
            unknown_lapse_ms=self._unknown_lapse_ms,
        )
        self._session_by_id[info.id] = session
        self._nursery.start_soon(session.run)

    def _endpoint_gone(self, endpoint_id: str) -> None:
        log_event("endpoint_unlisted", endpoint=endpoint_id)
        self._scheduler.endpoint_unlisted(endpoint_id)
        self._end_idle_session(endpoint_id)
        self._dirty.set()

    def _end_idle_session(self, endpoint_id: str) -> None:
        if endpoint_id not in self._scheduler.endpoint_by_id:
            session = self._session_by_id.pop(endpoint_id, None)
            if session is not None:
                session.end()

    async def _listed(self, listing: EndpointListing) -> None:
        self._scheduler.listed(listing, monotonic_ms(), wall_ms())
        self._dispatch()
        self._dirty.set()
        session = self._session_by_id.get(listing.endpoint_id)
        if session is not None:
            session.is_shared = self._scheduler.is_shared(listing.endpoint_id)
        if listing.finished:
            await self._wait_committed()
        self._end_idle_session(listing.endpoint_id)

    def _unreachable(self, endpoint_id: str) -> None:
        self._scheduler.endpoint_unreachable(endpoint_id)

    def _lapsed(self, endpoint_id: str) -> None:
        self._scheduler.endpoint_lapsed(endpoint_id, monotonic_ms(), wall_ms())
        self._dispatch()
        self._dirty.set()
        self._end_idle_session(endpoint_id)

    async def _release_placeholders(self) -> None:
        """Give up members on endpoints that are no longer in the store."""
        wait_ms = self._unknown_lapse_ms - monotonic_ms()
        await trio.sleep(max(0, wait_ms) / 1000)
        for endpoint_id in list(self._scheduler.endpoint_by_id):
            if endpoint_id not in self._session_by_id:
                self._lapsed(endpoint_id)

    # Decisions and orders.

    async def _plan_loop(self) -> None:
        while True:
            self._dirty = trio.Event()
            began_s = time.perf_counter()
            self._scheduler.plan(monotonic_ms(), wall_ms())
            took_ms = (time.perf_counter() - began_s) * 1000
            self._metrics.observe_ms("plan_ms", took_ms)
            self._dispatch()
            with trio.move_on_after(self._next_plan_ms() / 1000):
                await self._dirty.wait()

    def _next_plan_ms(self) -> int:
        due = self._scheduler.next_due_wall_ms
        if due is None:
            return PLAN_INTERVAL_MS
        return max(1, min(PLAN_INTERVAL_MS, due - wall_ms()))

    def _dispatch(self) -> None:
        """Send stops now, and starts after the records before them are in the log."""
        for action in self._scheduler.take_actions():
            if isinstance(action, StopTask):
                log_event(
                    "stop",
                    task=action.task,
                    run=action.run,
                    endpoint=action.endpoint_id,
                    reason=action.reason,
                )
                self._nursery.start_soon(self._stop, action)
            elif isinstance(action, PaceTask):
                self._nursery.start_soon(self._pace, action)
            elif isinstance(action, AskAdvice):
                self._nursery.start_soon(self._ask_advice, action)
            else:
                if isinstance(action, PersistUnit):
                    self._note_uncommitted(action, 1)
                self._uncommitted.append(action)
        if self._uncommitted:
            self._commits_wanted += 1
            self._write_wanted.set()

    def _note_uncommitted(self, action: PersistUnit, change: int) -> None:
        job_id = action.record.key.job_id
        count = self.uncommitted_jobs.get(job_id, 0) + change
        if count:
            self.uncommitted_jobs[job_id] = count
        else:
            self.uncommitted_jobs.pop(job_id, None)

    async def _wait_committed(self) -> None:
        wanted = self._commits_wanted
        while self._commits_done < wanted:
            await self._committed.wait()

    async def _start(self, order: StartTask) -> None:
        session = self._session_by_id.get(order.endpoint_id)
        if session is None:
            return
        outcome, was_unanswered = await session.start(order)
        self._metrics.count("orders_total", order="start", outcome=outcome.value)
        log_event(
            "start",
            task=order.task,
            run=order.run,
            endpoint=order.endpoint_id,
            outcome=outcome.value,
        )
        self._scheduler.start_ended(
            order.endpoint_id,
            order.task,
            order.run,
            outcome,
            was_unanswered,
            monotonic_ms(),
            wall_ms(),
        )
        self._dispatch()
        if outcome.value != "started":
            self._dirty.set()

    async def _stop(self, order: StopTask) -> None:
        session = self._session_by_id.get(order.endpoint_id)
        if session is None:
            return
        is_confirmed = await session.stop(order)
        outcome = "confirmed" if is_confirmed else "unconfirmed"
        self._metrics.count("orders_total", order="stop", outcome=outcome)
        if is_confirmed:
            self._scheduler.stop_confirmed(
                order.endpoint_id, order.task, order.run, monotonic_ms()
            )

    async def _pace(self, order: PaceTask) -> None:
        session = self._session_by_id.get(order.endpoint_id)
        if session is None:
            return
        is_confirmed = await session.pace(order)
        outcome = "confirmed" if is_confirmed else "unconfirmed"
        self._metrics.count("orders_total", order="pace", outcome=outcome)
        log_event(
            "pace",
            task=order.task,
            run=order.run,
            endpoint=order.endpoint_id,
            percent=order.percent,
            confirmed=is_confirmed,
        )
        if not is_confirmed:
            self._scheduler.pace_lost(order)

    async def _ask_advice(self, question: AskAdvice) -> None:
        # The service handles one call of an instance at a time; the lock keeps the
        # others from filling its queue.
        async with self._advice_lock:
            asked_ms = monotonic_ms()
            answer = await self._world.ask_advice(question.step, question.endpoint_ids)
        log_event(
            "advice",
            step=question.step,
            asked=len(question.endpoint_ids),
            approved=len(answer.ticket_by_id) if answer else None,
        )
        if answer is None:
            retry_ms = monotonic_ms() + ADVICE_RETRY_MS
            self._scheduler.advice.unanswered(question.step, retry_ms)
            return
        self._scheduler.advised(
            question.step,
            question.endpoint_ids,
            answer.ticket_by_id,
            asked_ms + answer.valid_ms,
        )
        self._dirty.set()

    # Appends.

    async def _write_loop(self) -> None:
        while True:
            with trio.move_on_after(self._settings.term_renewal_ms / 1000):
                await self._write_wanted.wait()
            self._write_wanted = trio.Event()
            actions, self._uncommitted = self._uncommitted, []
            commits = self._commits_wanted
            entries: list[Entry] = []
            for action in actions:
                if isinstance(action, PersistUnit):
                    self._log_decision(action)
                    entries.append(encode_record(action.record))
            entries.append(encode_record(self._renewal()))
            if not await self._append(entries):
                return
            self._commits_done = commits
            self._committed.set()
            self._committed = trio.Event()
            for action in actions:
                if isinstance(action, PersistUnit):
                    self._note_uncommitted(action, -1)
                else:
                    self._nursery.start_soon(self._start, action)
            if self._is_resigning:
                self._end("resigned")
                return

    def _renewal(self) -> TermHeld:
        return TermHeld(
            self.claim.term, self.claim.holder, wall_ms(), self._is_resigning
        )

    async def _append(self, entries: list[Entry]) -> bool:
        """Append under the term's fence, again while no answer comes."""
        self._sequence += 1
        fence = ProducerFence(PRODUCER, self.claim.term, self._sequence)
        while True:
            sent = boot_ms()
            outcome = await self._log.append(
                entries, timeout_ms=self._settings.log_call_timeout_ms, fence=fence
            )
            if isinstance(outcome, Appended):
                self._confirmed_boot_ms = sent
                return True
            if isinstance(outcome, Deposed):
                self._end(f"deposed: {outcome.detail}")
                return False
            await trio.sleep(self._settings.log_retry_ms / 1000)

    def _log_decision(self, action: PersistUnit) -> None:
        record = action.record
        phase = record.phase.name.lower()
        self._metrics.count("unit_changes_total", phase=phase, reason=action.reason)
        if record.phase is UnitPhase.PLACED and record.run == 1:
            job = self._follower.table.job_by_id.get(record.key.job_id)
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
            term=record.term,
        )

    async def _watch_confirmation(self) -> None:
        limit = self._settings.term_confirmation_max_ms
        while True:
            await trio.sleep(self._settings.term_renewal_ms / 1000)
            newest = self._follower.table.term
            if newest is not None and newest.term > self.claim.term:
                self._end("a later term was claimed")
            elif boot_ms() - self._confirmed_boot_ms > limit:
                self._end("the log has not confirmed the term in time")

    async def _forget_loop(self) -> None:
        retention = self._settings.status_retention_ms + TRIM_MARGIN_MS
        while True:
            await trio.sleep(FORGET_INTERVAL_MS / 1000)
            expired = list(self._follower.table.expired(wall_ms(), retention))
            for job in expired[:FORGET_JOBS_MAX]:
                await self._forget(job.spec.id, list(job.unit_by_key))

    async def _forget(self, job_id: str, units: list[UnitKey]) -> None:
        if await self._commit(forgetting_records(job_id, units)):
            log_event("job_forgotten", job=job_id)

    async def _commit(self, entries: list[Entry]) -> bool:
        """Append what is no decision about a unit; returns whether it is known."""
        outcome = await self._log.append(
            entries, timeout_ms=self._settings.log_call_timeout_ms
        )
        return isinstance(outcome, Appended)
