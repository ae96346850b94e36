"""The life of each unit: waiting, placed, ending, done or failed.

A unit's changes are collected as actions. What is persisted comes before the orders
that rely on it.
"""

from __future__ import annotations

from dataclasses import replace

from .actions import Action, AskAdvice, PersistUnit, StartTask, StopTask
from .advice import AdviceCache, step_name
from .configuration import ServiceConfiguration
from .fleet import Endpoint, EndpointInfo, Member, MemberStage, RunEnd
from .model import Resources, UnitKey, UnitPhase
from .table import Job, JobTable
from .work import Work

__all__ = ["UnitLifecycle"]

STOP_RETRY_MS = 500
"""Time between two stops of a run that is still listed; a lost order is sent again."""

_RELEASABLE = frozenset({UnitPhase.DONE, UnitPhase.FAILED})


class UnitLifecycle:
    """All units that still have to run, and the endpoints that hold them."""

    def __init__(self, term: int, table: JobTable, configuration: ServiceConfiguration):
        self.term = term
        self.table = table
        self.configuration = configuration
        self.endpoint_by_id: dict[str, Endpoint] = {}
        self.work_by_key: dict[UnitKey, Work] = {}
        self.waiting: dict[UnitKey, Work] = {}
        self.next_due_wall_ms: int | None = None
        self.advice = AdviceCache()
        self._timed_jobs: dict[str, int] = {}
        self._actions: list[Action] = []

    def adopt(self, now_ms: int, wall_ms: int) -> None:
        """Take over all jobs and what earlier terms have placed."""
        for job in list(self.table.job_by_id.values()):
            self._adopt_placed(job, now_ms)
            self.job_changed(job.spec.id, now_ms, wall_ms)

    def job_changed(self, job_id: str, now_ms: int, wall_ms: int) -> None:
        """Take notice of a job that was accepted, cancelled or folded anew."""
        job = self.table.job_by_id.get(job_id)
        if job is None:
            return
        if job.is_active:
            self._open_units(job, now_ms, wall_ms)
        else:
            self._end_job(job, now_ms)

    def configure(self, configuration: ServiceConfiguration) -> None:
        """Put a newer configuration in force."""
        self.configuration = configuration
        for work in self.work_by_key.values():
            self._set_order(work)

    def place(
        self, work: Work, endpoints: list[Endpoint], now_ms: int, wall_ms: int
    ) -> None:
        """Log a unit's placement and order its starts."""
        run = work.record.run + 1
        record = replace(
            work.record,
            term=self.term,
            phase=UnitPhase.PLACED,
            run=run,
            endpoints=tuple(endpoint.id for endpoint in endpoints),
            changed_wall_ms=wall_ms,
        )
        slack_ms = work.latest_start_wall_ms - wall_ms
        self._persist(work, record, "placed", slack_ms)
        work.phase = UnitPhase.PLACED
        del self.waiting[work.key]
        for index, endpoint in enumerate(endpoints):
            member = self._add_member(work, index, endpoint, now_ms)
            member.stage = MemberStage.ORDERED
            ticket = self.advice.ticket(work, endpoint, now_ms) or ""
            self._order_start(work, member, ticket)

    def stop_work(self, work: Work, reason: str, now_ms: int) -> None:
        """Stop a unit so that it waits again; its checkpoint is kept."""
        self._stop_members(work, reason, now_ms)

    def ask_advice(self, work: Work, endpoints: list[Endpoint], now_ms: int) -> None:
        """Ask which of these endpoints may run a unit, if no answer is awaited."""
        asked = self.advice.question(work, endpoints, now_ms)
        if asked:
            self._actions.append(AskAdvice(step_name(work), asked))

    def take_actions(self) -> list[Action]:
        """Return the collected actions, oldest first, and forget them."""
        actions, self._actions = self._actions, []
        return actions

    # Jobs and their units.

    def _open_units(self, job: Job, now_ms: int, wall_ms: int) -> None:
        spec = job.spec
        first = self._timed_jobs.get(spec.id, 0)
        for occurrence in range(spec.runs):
            if spec.occurrences and spec.due_wall_ms(occurrence) > wall_ms:
                self._wait_for_occurrence(job, occurrence)
                break
            if occurrence >= first:
                self._open_occurrence(job, occurrence, now_ms)
        else:
            self._timed_jobs.pop(spec.id, None)

    def _wait_for_occurrence(self, job: Job, occurrence: int) -> None:
        self._timed_jobs[job.spec.id] = occurrence
        due = job.spec.due_wall_ms(occurrence)
        if self.next_due_wall_ms is None or due < self.next_due_wall_ms:
            self.next_due_wall_ms = due

    def _open_due_occurrences(self, now_ms: int, wall_ms: int) -> None:
        if self.next_due_wall_ms is None or wall_ms < self.next_due_wall_ms:
            return
        self.next_due_wall_ms = None
        for job_id in list(self._timed_jobs):
            job = self.table.job_by_id.get(job_id)
            if job is None or not job.is_active:
                del self._timed_jobs[job_id]
            else:
                self._open_units(job, now_ms, wall_ms)

    def _open_occurrence(self, job: Job, occurrence: int, now_ms: int) -> None:
        for number, step in enumerate(job.spec.steps):
            if job.is_step_done(occurrence, number):
                continue
            if not all(job.is_step_done(occurrence, n) for n in step.depends_on):
                continue
            for member in step.members:
                self._open_unit(
                    job, UnitKey(job.spec.id, occurrence, number, member), now_ms
                )

    def _open_unit(self, job: Job, key: UnitKey, now_ms: int) -> None:
        if key in self.work_by_key:
            return
        record = job.record_by_key.get(key)
        if record is not None and record.phase in _RELEASABLE:
            return
        work = self._add_work(key, job, now_ms)
        self.waiting[key] = work

    def _add_work(self, key: UnitKey, job: Job, now_ms: int) -> Work:
        work = self.work_by_key[key] = Work(key, job, now_ms)
        self._set_order(work)
        return work

    def _set_order(self, work: Work) -> None:
        queue = self.configuration.queue_by_name.get(work.job.spec.queue)
        work.set_order(queue)

    def _end_job(self, job: Job, now_ms: int) -> None:
        self._timed_jobs.pop(job.spec.id, None)
        self.advice.forget(job.spec.id)
        state = job.state.value
        for number, step in enumerate(job.spec.steps):
            for occurrence in range(job.spec.runs):
                for member in step.members:
                    key = UnitKey(job.spec.id, occurrence, number, member)
                    work = self.work_by_key.get(key)
                    if work is not None:
                        self._stop_members(work, f"job {state}", now_ms)
                        self._drop_if_idle(work)

    def _adopt_placed(self, job: Job, now_ms: int) -> None:
        for key, record in job.record_by_key.items():
            if record.phase not in (UnitPhase.PLACED, UnitPhase.ENDING):
                continue
            work = self._add_work(key, job, now_ms)
            work.phase = record.phase
            for index, endpoint_id in enumerate(record.endpoints):
                if endpoint_id:
                    endpoint = self._endpoint_or_placeholder(endpoint_id)
                    member = self._add_member(work, index, endpoint, now_ms)
                    member.is_adopted = True
            if not work.members:
                self._wait_again(work, now_ms)

    def _endpoint_or_placeholder(self, endpoint_id: str) -> Endpoint:
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            info = EndpointInfo(endpoint_id, "", "", "", Resources())
            endpoint = self.endpoint_by_id[endpoint_id] = Endpoint(info)
            endpoint.is_listed = False
        return endpoint

    # Members on endpoints.

    def _member(self, endpoint_id: str, task: str, run: int) -> Member | None:
        endpoint = self.endpoint_by_id.get(endpoint_id)
        member = endpoint.member_by_task.get(task) if endpoint else None
        return member if member is not None and member.run == run else None

    def _add_member(self, work, index, endpoint, now_ms) -> Member:
        member = Member(
            work.key,
            index,
            work.task(index),
            work.record.run,
            endpoint.id,
            work.step.occupied,
            now_ms,
        )
        endpoint.hold(member)
        work.members.append(member)
        return member

    def _order_start(self, work: Work, member: Member, ticket: str = "") -> None:
        self._actions.append(
            StartTask(
                member.endpoint_id,
                work.key,
                member.task,
                member.run,
                work.job.spec.text,
                work.record.checkpoint,
                ticket,
            )
        )

    def _stop(self, member: Member, reason: str, now_ms: int) -> None:
        member.stage = MemberStage.STOPPING
        member.stop_again_ms = now_ms + STOP_RETRY_MS
        self._actions.append(
            StopTask(member.endpoint_id, member.task, member.run, reason)
        )

    def _stop_members(
        self, work: Work, reason: str, now_ms: int, but: Member | None = None
    ) -> None:
        if work.phase is UnitPhase.PLACED:
            work.phase = UnitPhase.ENDING
        for member in work.members:
            if member is not but and member.stage is not MemberStage.STOPPING:
                self._stop(member, reason, now_ms)

    # Ends.

    def _member_ended(
        self, member: Member, end: RunEnd, checkpoint: str, now_ms: int, wall_ms: int
    ) -> None:
        self.endpoint_by_id[member.endpoint_id].release(member)
        work = self.work_by_key.get(member.unit)
        if work is None:
            return
        work.members.remove(member)
        saved = checkpoint or member.checkpoint
        if end is RunEnd.DONE and not work.step.is_long_running:
            self._unit_done(work, now_ms, wall_ms)
        elif work.phase in (UnitPhase.PLACED, UnitPhase.ENDING):
            self._run_broken(work, end, saved, member, now_ms, wall_ms)
        self._drop_if_idle(work)

    def _unit_done(self, work: Work, now_ms: int, wall_ms: int) -> None:
        if work.phase in _RELEASABLE:
            return
        self._persist_phase(work, UnitPhase.DONE, wall_ms, "done")
        work.phase = UnitPhase.DONE
        if work.job.is_active:
            self._open_occurrence(work.job, work.key.occurrence, now_ms)

    def _run_broken(self, work, end, saved, member, now_ms, wall_ms) -> None:
        has_new_checkpoint = bool(saved) and saved != work.record.checkpoint
        if has_new_checkpoint:
            work.record = replace(work.record, checkpoint=saved)
        is_first_end = work.record.phase is UnitPhase.PLACED
        is_failure = end is RunEnd.FAILED and work.counted_run < work.record.run
        if is_failure:
            work.counted_run = work.record.run
            failed = work.record.failed_runs + 1
            work.record = replace(work.record, failed_runs=failed)
            work.avoided.add(member.endpoint_id)
        if is_failure and self._has_spent_attempts(work):
            self._persist_phase(work, UnitPhase.FAILED, wall_ms, "attempts spent")
            work.phase = UnitPhase.FAILED
            self._end_job(work.job, now_ms)
            return
        work.phase = UnitPhase.ENDING
        if is_first_end or is_failure or has_new_checkpoint:
            self._persist_phase(work, UnitPhase.ENDING, wall_ms, end.value)
        if not work.members and work.job.is_active:
            self._wait_again(work, now_ms)

    def _has_spent_attempts(self, work: Work) -> bool:
        if work.step.is_long_running:
            return False
        spec = work.job.spec
        queue = self.configuration.queue_by_name.get(spec.queue)
        # A queue may be withdrawn while its jobs still run.
        attempts_max = queue.attempts_max if queue else spec.attempts_max
        return work.record.failed_runs >= attempts_max

    def _wait_again(self, work: Work, now_ms: int) -> None:
        work.phase = UnitPhase.WAITING
        work.waiting_since_ms = now_ms
        self.waiting[work.key] = work

    def _drop_if_idle(self, work: Work) -> None:
        if work.members:
            return
        if work.phase in _RELEASABLE or not work.job.is_active:
            self.work_by_key.pop(work.key, None)
            self.waiting.pop(work.key, None)
            self._forget_plans(work)

    def _persist_phase(
        self, work: Work, phase: UnitPhase, wall_ms: int, reason: str
    ) -> None:
        endpoint_by_index = {m.index: m.endpoint_id for m in work.members}
        is_over = phase in _RELEASABLE
        endpoints = (
            ()
            if is_over
            else tuple(endpoint_by_index.get(i, "") for i in range(work.count))
        )
        record = replace(
            work.record,
            term=self.term,
            phase=phase,
            endpoints=endpoints,
            changed_wall_ms=wall_ms,
        )
        self._persist(work, record, reason)

    def _persist(
        self, work: Work, record, reason: str, slack_ms: int | None = None
    ) -> None:
        work.record = record
        work.job.put(record)
        self._actions.append(PersistUnit(record, reason, slack_ms, work.gpus))

    def _forget_plans(self, work: Work) -> None:
        """Give up what is kept for a unit that is gone; for subclasses."""
