"""Jobs as callers and operators see them, at any instance of the platform.

The gateway accepts jobs into the log, or, while the log is out, hands them to the
placer of its own data centre. Questions about workers and decisions go to the placer
of the data centre they are about.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable
from dataclasses import replace

import trio

from ..core.charging import ChargeLedger
from ..core.jobs import JobEntry, JobLedger, admit, job_id
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
from ..core.placement import Scheduler
from ..core.streams import (
    JOBS_STREAM,
    USAGE_STREAM,
    CancelRequested,
    JobMoved,
    Record,
    UsageRecorded,
)
from ..net.interfaces import Appended
from ..net.workers import HttpWorker
from .clock import monotonic_ms, wall_ms
from .instance_context import InstanceContext
from .job_upkeep import Capacity, JobUpkeep
from .logs import log_decision
from .peer_messages import ExplainJob, Explanation, JobAnswer, PlaceOffLog
from .placer import PlacerService
from .placer_queries import PlacerQueries

__all__ = ["JobGateway"]

_APPEND_TIMEOUT_MS = 5_000
_READ_BACK_TIMEOUT_MS = 5_000
_UPKEEP_INTERVAL_S = 1.0
_CAPACITY_KEY = "capacity"
_ROLE_CHECK_S = 0.2
_DRAIN_CHECK_S = 0.05
_RETRY_AFTER_MS = 2_000


class JobGateway:
    """Accepts, shows and cancels jobs, and runs this instance's placer."""

    def __init__(self, node: InstanceContext):
        self._node = node
        self._numbers = itertools.count(1)
        self._changed = trio.Event()
        data_centre = node.settings.data_centre
        self._holder = f"{node.settings.instance}.{node.incarnation}"
        self.ledger = JobLedger()
        self.charges = ChargeLedger()
        self._scheduler = Scheduler(data_centre)
        self.placer = PlacerService(
            data_centre,
            self._holder,
            lambda info: HttpWorker(
                info.address, timeout_ms=node.settings.worker_timeout_ms
            ),
            self._append_job_record,
            self._scheduler,
            log_decision,
            ledger=self.ledger,
            charges=self.charges,
            record_usage=self._record_usage,
        )
        self._upkeep = JobUpkeep(data_centre, self._scheduler, self.ledger)
        node.membership.register(Capacity)
        self.placer_queries = PlacerQueries(
            node, self.placer, self._scheduler, self._place_now
        )

    # What the node tells

    def deliver(self, offset: int, record: Record) -> None:
        """Take the next record of the jobs stream."""
        self.placer.deliver(offset, record)
        self._notify()

    def restored(self) -> None:
        """Hear that the ledger was replaced by a newer one."""
        self.placer.set_role(False)
        self.placer.settle_all()
        self._notify()

    def set_workers(self, workers: Iterable[WorkerInfo]) -> None:
        """Apply the workers of all data centres from the list."""
        data_centre = self._node.settings.data_centre
        mine = [info for info in workers if info.data_centre == data_centre]
        # A list that lost every worker is more likely wrong than true.
        if mine:
            self.placer.set_workers(mine)

    def set_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self.placer.set_configuration(configuration)

    async def run(self) -> None:
        """Run the placer and keep its role up to date."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.placer.run)
            nursery.start_soon(self._maintain_jobs)
            while True:
                self._update_role()
                await trio.sleep(_ROLE_CHECK_S)

    async def drain(self) -> None:
        """Give up the role, and finish what is half made or unrecorded."""
        self.placer.set_role(False)
        while not self.placer.machine.is_idle:
            await trio.sleep(_DRAIN_CHECK_S)

    # Callers

    async def submit(
        self, spec: JobSpec, job_key: str = ""
    ) -> JobEntry | NotRun | Unknown:
        """Accept a job, or say why not.

        ``job_key`` makes a repeated submission the same job. It needs the log, since
        only the log tells a repeat at another instance.
        """
        if self._node.is_draining:
            return NotRun(Reason.DRAINING, "ask another instance", _RETRY_AFTER_MS)
        if self._node.unready_reason():
            return NotRun(Reason.NOT_READY, "no configuration yet", _RETRY_AFTER_MS)
        is_log_up = self._node.streams.is_log_up()
        self._update_log()
        if not is_log_up:
            return await self._submit_off_log(spec, job_key)
        if job_key:
            spec = replace(spec, job_id=f"{spec.organisation}.key.{job_key}")
            known = self.ledger.get(spec.job_id)
            if known is not None:
                return known
        else:
            spec = replace(spec, job_id=self._next_job_id())
        return await self._admit_and_submit(spec, is_log_up=True)

    async def cancel(
        self, job_id_: str, requested_by: str
    ) -> JobEntry | NotRun | Unknown:
        """Ask for a job to be stopped."""
        entry = self.get(job_id_)
        if entry.phase.is_final:
            return entry
        answer = await self._append(JOBS_STREAM, CancelRequested(job_id_, requested_by))
        if isinstance(answer, Unreachable):
            return _without_answer(answer, answer.detail)
        await self._node.streams.wait_for(
            JOBS_STREAM,
            answer.first_offset,
            self._node.deadline_ms(_READ_BACK_TIMEOUT_MS),
        )
        return self.get(job_id_)

    def get(self, job_id_: str) -> JobEntry | None:
        """Return a job by its id."""
        return self.placer.machine.entry(job_id_)

    def newest_jobs(
        self, organisation: str, phase: str | None, limit: int
    ) -> list[JobEntry]:
        """Return the newest jobs of an organisation, or of all if it is empty."""
        if organisation:
            entries: Iterable[JobEntry] = self.ledger.of_organisation(organisation)
        else:
            entries = self.ledger.entries()
        if phase:
            entries = (entry for entry in entries if entry.phase.value == phase)
        return heapq.nlargest(
            limit, entries, key=lambda entry: entry.spec.submitted_wall_ms
        )

    async def wait_final(self, job_id_: str) -> None:
        """Return once the job has its outcome, for as long as it is remembered."""
        while (entry := self.get(job_id_)) is not None and not entry.phase.is_final:
            await self._changed.wait()

    async def explain(self, entry: JobEntry) -> dict:
        """Say why a job waits or where it was put, as its placer knows."""
        fields = {"job_id": entry.spec.job_id, "phase": entry.phase.value}
        if entry.ended is not None:
            detail = entry.ended.detail or entry.ended.reason.value
            return {**fields, "choice": "ended", "reason": detail}
        answer = await self.placer_queries.ask(
            entry.home_data_centre, ExplainJob(entry.spec.job_id)
        )
        if not isinstance(answer, Explanation) or answer.decision is None:
            detail = f"the placer of {entry.home_data_centre} gave no answer"
            return {**fields, "choice": None, "reason": detail}
        decision = answer.decision
        return {
            **fields,
            "choice": decision.choice,
            "reason": decision.reason,
            "passed_over": list(decision.passed_over),
        }

    def usage_fields(self, organisation: str) -> dict:
        """Return an organisation's charge."""
        statement = self.charges.statement(organisation)
        return {
            "organisation": organisation,
            "charged_accelerator_ms": statement.charged_ms,
            "ran_accelerator_ms": statement.ran_ms,
            "wasted_accelerator_ms": statement.wasted_ms,
            "corrected_accelerator_ms": statement.corrected_ms,
            "late_accelerator_ms": statement.late_ms,
        }

    # Submission

    async def _place_now(self, spec: JobSpec) -> JobAnswer:
        """Accept a job while the log is out, if it can be placed at once."""
        if not self.placer.machine.is_placer:
            return _refused(NotRun(Reason.NOT_READY, "not the placer", _RETRY_AFTER_MS))
        spec = replace(spec, job_id=self._next_job_id())
        outcome = await self._admit_and_submit(spec, is_log_up=False)
        if isinstance(outcome, NotRun):
            return _refused(outcome)
        if isinstance(outcome, Unknown):
            return JobAnswer(False, detail=outcome.detail, is_unknown=True)
        return JobAnswer(True, detail=spec.job_id)

    def _next_job_id(self) -> str:
        node = self._node
        number = next(self._numbers)
        return job_id(node.settings.instance, str(node.incarnation), number)

    async def _submit_off_log(
        self, spec: JobSpec, job_key: str
    ) -> JobEntry | NotRun | Unknown:
        if job_key:
            detail = "a job with a key needs the log, which is out"
            return NotRun(Reason.LOG_UNAVAILABLE, detail, _RETRY_AFTER_MS)
        answer = await self.placer_queries.ask(
            self._node.settings.data_centre, PlaceOffLog(spec)
        )
        if isinstance(answer, Unreachable):
            return _without_answer(answer, "the placer gave no answer")
        if answer.is_unknown:
            return Unknown(Reason.LOG_UNAVAILABLE, answer.detail)
        if not answer.is_accepted:
            return NotRun(Reason(answer.reason), answer.detail, answer.retry_after_ms)
        accepted = replace(
            spec,
            job_id=answer.detail,
            home_data_centre=self._node.settings.data_centre,
        )
        return self.get(accepted.job_id) or JobEntry(
            accepted, "", accepted.home_data_centre
        )

    async def _admit_and_submit(
        self, spec: JobSpec, *, is_log_up: bool
    ) -> JobEntry | NotRun | Unknown:
        admitted = admit(
            spec,
            self._node.configuration,
            self.ledger,
            is_log_up,
            wall_ms(),
            data_centre=self._node.settings.data_centre,
        )
        if isinstance(admitted, NotRun):
            return admitted
        refusal = await self.placer.submit(admitted)
        if refusal is not None:
            return refusal
        entry = await self._read_back(admitted)
        return entry or JobEntry(admitted, self._holder, admitted.home_data_centre)

    async def _read_back(self, spec: JobSpec) -> JobEntry | None:
        with trio.move_on_after(_READ_BACK_TIMEOUT_MS / 1000):
            while (entry := self.get(spec.job_id)) is None:
                await self._changed.wait()
            return entry
        return None

    # Streams and role

    async def _append(self, stream: str, record: Record) -> Appended | Unreachable:
        answer = await self._node.streams.append(
            stream, record, deadline_ms=self._node.deadline_ms(_APPEND_TIMEOUT_MS)
        )
        if isinstance(answer, NotRun):
            return Unreachable(answer.detail, may_have_applied=False)
        return answer

    async def _append_job_record(self, record: Record) -> Appended | Unreachable:
        return await self._append(JOBS_STREAM, record)

    async def _record_usage(self, reports: tuple[UsageReport, ...]) -> bool:
        answer = await self._append(USAGE_STREAM, UsageRecorded(reports))
        return isinstance(answer, Appended)

    def _update_log(self) -> None:
        streams = self._node.streams
        self.placer.set_log_reachable(
            streams.is_log_up(), streams.is_caught_up(JOBS_STREAM)
        )

    def _update_role(self) -> None:
        self._update_log()
        is_placer = self._node.membership.is_placer() and not self._node.is_draining
        if is_placer != self.placer.machine.is_placer:
            self.placer.set_role(is_placer)

    async def _maintain_jobs(self) -> None:
        while True:
            await trio.sleep(_UPKEEP_INTERVAL_S)
            if not self.placer.machine.is_placer:
                continue
            membership = self._node.membership
            membership.publish(_CAPACITY_KEY, self._upkeep.capacity())
            shared = membership.peer_state(_CAPACITY_KEY).values()
            self._upkeep.note_elsewhere(c for c in shared if isinstance(c, Capacity))
            for decision in self._scheduler.take_guarantee_decisions():
                log_decision(decision)
            if self._node.streams.is_log_up() and self._node.streams.is_caught_up():
                await self._append_upkeep()
                await self._move_blocked()

    async def _append_upkeep(self) -> None:
        records = self._upkeep.look(
            self._node.configuration,
            self._node.membership.view,
            monotonic_ms(),
        )
        for record in records:
            await self._append(JOBS_STREAM, record)

    async def _move_blocked(self) -> None:
        """Give waiting jobs a new home where they can start at once.

        The log arbitrates: a claim that comes before the move voids it, and one that
        comes after it is void.
        """
        entry_by_id = {entry.spec.job_id: entry for entry in self._upkeep.blocked()}
        if not entry_by_id:
            return
        specs = tuple(entry.spec for entry in entry_by_id.values())
        here = self._node.settings.data_centre
        homes = await self.placer_queries.cheapest_homes(specs, here)
        for moved_id, home in homes.items():
            move = entry_by_id[moved_id].moves + 1
            record = JobMoved(moved_id, move, home, Reason.NO_CAPACITY)
            log_decision(
                Decision(
                    "move_job", moved_id, home, "it can start there at once", (here,)
                )
            )
            await self._append(JOBS_STREAM, record)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _refused(outcome: NotRun) -> JobAnswer:
    return JobAnswer(
        False, outcome.reason.value, outcome.detail, outcome.retry_after_ms
    )


def _without_answer(answer: Unreachable, if_unsure: str) -> NotRun | Unknown:
    """Say truthfully what an action that brought no answer may have done."""
    if answer.may_have_applied:
        return Unknown(Reason.LOG_UNAVAILABLE, if_unsure)
    return NotRun(Reason.LOG_UNAVAILABLE, answer.detail, _RETRY_AFTER_MS)
