"""Job operations that every instance offers to callers and operators.

The gateway writes accepted jobs to the log. During a log outage it passes them to the
placer of its own data centre instead. Queries about workers and placement decisions go
to the placer of the data centre concerned.
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
from ..core.placement import DataCentreScheduler
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
from .job_maintenance import Capacity, JobMaintenance
from .logs import log_decision
from .peer_messages import ExplainJob, Explanation, JobAnswer, PlaceOffLog
from .placer import PlacerService
from .placer_queries import PlacerQueries

__all__ = ["JobGateway"]

_APPEND_TIMEOUT_MS = 5_000
_READ_BACK_TIMEOUT_MS = 5_000
_MAINTENANCE_INTERVAL_S = 1.0
_CAPACITY_KEY = "capacity"
_ROLE_CHECK_INTERVAL_S = 0.2
_DRAIN_CHECK_INTERVAL_S = 0.05
_RETRY_AFTER_MS = 2_000


class JobGateway:
    """Accepts, queries and cancels jobs, and runs this instance's placer."""

    def __init__(self, node: InstanceContext):
        self._node = node
        self._job_numbers = itertools.count(1)
        self._changed = trio.Event()
        data_centre = node.settings.data_centre
        self._holder = f"{node.settings.instance}.{node.incarnation}"
        self.ledger = JobLedger()
        self.charges = ChargeLedger()
        self._scheduler = DataCentreScheduler(data_centre)
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
        self._maintenance = JobMaintenance(data_centre, self._scheduler, self.ledger)
        node.membership.register(Capacity)
        self.placer_queries = PlacerQueries(
            node, self.placer, self._scheduler, self._place_now
        )

    # Input from the node

    def deliver(self, offset: int, record: Record) -> None:
        """Apply the next record of the jobs stream."""
        self.placer.deliver(offset, record)
        self._notify()

    def ledger_restored(self) -> None:
        """Resign as placer and update the charges, since the ledger was replaced."""
        self.placer.set_role(False)
        self.placer.settle_charges()
        self._notify()

    def set_workers(self, workers: Iterable[WorkerInfo]) -> None:
        """Apply the workers of the instance list that are in this data centre."""
        data_centre = self._node.settings.data_centre
        local_workers = [info for info in workers if info.data_centre == data_centre]
        # A list without local workers is more likely an error than an empty data
        # centre, so the previous workers are kept.
        if local_workers:
            self.placer.set_workers(local_workers)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the configuration in force."""
        self.placer.set_configuration(configuration)

    async def run(self) -> None:
        """Run the placer, its maintenance and its role checks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.placer.run)
            nursery.start_soon(self._maintain_jobs)
            while True:
                self._update_role()
                await trio.sleep(_ROLE_CHECK_INTERVAL_S)

    async def drain(self) -> None:
        """Resign as placer, and wait for pending placements and appends to finish."""
        self.placer.set_role(False)
        while not self.placer.machine.is_settled:
            await trio.sleep(_DRAIN_CHECK_INTERVAL_S)

    # Calls from the HTTP interface

    async def submit(
        self, spec: JobSpec, job_key: str = ""
    ) -> JobEntry | NotRun | Unknown:
        """Accept a job, or return why it was refused.

        Submissions with the same ``job_key`` are the same job. A key needs the log,
        without which a repeated submission at another instance would go unnoticed.
        """
        if self._node.is_draining:
            return NotRun(Reason.DRAINING, "ask another instance", _RETRY_AFTER_MS)
        if self._node.unready_reason():
            return NotRun(Reason.NOT_READY, "no configuration yet", _RETRY_AFTER_MS)
        is_log_up = self._node.streams.is_log_up()
        self._update_log_state()
        if not is_log_up:
            return await self._submit_off_log(spec, job_key)
        if job_key:
            spec = replace(spec, job_id=f"{spec.organisation}.key.{job_key}")
            existing_job = self.ledger.get(spec.job_id)
            if existing_job is not None:
                return existing_job
        else:
            spec = replace(spec, job_id=self._next_job_id())
        return await self._admit_and_submit(spec, is_log_up=True)

    async def cancel(
        self, job_id_: str, requested_by: str
    ) -> JobEntry | NotRun | Unknown:
        """Record a request to stop a job, and return the job as last known."""
        entry = self.get(job_id_)
        if entry.phase.is_final:
            return entry
        answer = await self._append(JOBS_STREAM, CancelRequested(job_id_, requested_by))
        if isinstance(answer, Unreachable):
            return _outcome_without_answer(answer, answer.detail)
        await self._node.streams.wait_for(
            JOBS_STREAM,
            answer.first_offset,
            self._node.deadline_ms(_READ_BACK_TIMEOUT_MS),
        )
        return self.get(job_id_) or entry

    def get(self, job_id_: str) -> JobEntry | None:
        """Return a job by its id, or None if it is unknown."""
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
        """Wait until the job has its outcome or the ledger no longer has it."""
        while (entry := self.get(job_id_)) is not None and not entry.phase.is_final:
            await self._changed.wait()

    async def explain(self, entry: JobEntry) -> dict:
        """Return why a job waits or ended, or where and why its placer placed it."""
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
        """Return an organisation's charge and its parts in accelerator-milliseconds."""
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
        """Accept a job during a log outage if it can be placed immediately."""
        if not self.placer.machine.is_placer:
            return _refusal_answer(
                NotRun(Reason.NOT_READY, "not the placer", _RETRY_AFTER_MS)
            )
        spec = replace(spec, job_id=self._next_job_id())
        outcome = await self._admit_and_submit(spec, is_log_up=False)
        if isinstance(outcome, NotRun):
            return _refusal_answer(outcome)
        if isinstance(outcome, Unknown):
            return JobAnswer(False, detail=outcome.detail, is_unknown=True)
        return JobAnswer(True, detail=spec.job_id)

    def _next_job_id(self) -> str:
        node = self._node
        number = next(self._job_numbers)
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
            return _outcome_without_answer(answer, "the placer gave no answer")
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

    def _update_log_state(self) -> None:
        streams = self._node.streams
        self.placer.set_log_reachable(
            streams.is_log_up(), streams.is_caught_up(JOBS_STREAM)
        )

    def _update_role(self) -> None:
        self._update_log_state()
        is_placer = self._node.membership.is_placer() and not self._node.is_draining
        if is_placer != self.placer.machine.is_placer:
            self.placer.set_role(is_placer)

    async def _maintain_jobs(self) -> None:
        while True:
            await trio.sleep(_MAINTENANCE_INTERVAL_S)
            if not self.placer.machine.is_placer:
                continue
            membership = self._node.membership
            membership.publish(_CAPACITY_KEY, self._maintenance.capacity())
            shared = membership.peer_state(_CAPACITY_KEY).values()
            self._maintenance.record_remote_capacity(
                c for c in shared if isinstance(c, Capacity)
            )
            for decision in self._scheduler.take_guarantee_decisions():
                log_decision(decision)
            if self._node.streams.is_log_up() and self._node.streams.is_caught_up():
                await self._append_due_records()
                await self._relocate_waiting_jobs()

    async def _append_due_records(self) -> None:
        records = self._maintenance.due_records(
            self._node.configuration,
            self._node.membership.view,
            monotonic_ms(),
        )
        for record in records:
            await self._append(JOBS_STREAM, record)

    async def _relocate_waiting_jobs(self) -> None:
        """Move waiting jobs to data centres where they can start immediately.

        The order in the log decides between a move and a claim of the old placer: a
        claim before the move makes the move void, and one after it is void itself.
        """
        entry_by_id = {
            entry.spec.job_id: entry
            for entry in self._maintenance.relocation_candidates()
        }
        if not entry_by_id:
            return
        specs = tuple(entry.spec for entry in entry_by_id.values())
        here = self._node.settings.data_centre
        data_centre_by_id = await self.placer_queries.cheapest_data_centres(specs, here)
        for moved_job_id, destination in data_centre_by_id.items():
            move = entry_by_id[moved_job_id].moves + 1
            record = JobMoved(moved_job_id, move, destination, Reason.NO_CAPACITY)
            log_decision(
                Decision(
                    "move_job",
                    moved_job_id,
                    destination,
                    "it can start there at once",
                    (here,),
                )
            )
            await self._append(JOBS_STREAM, record)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _refusal_answer(outcome: NotRun) -> JobAnswer:
    return JobAnswer(
        False, outcome.reason.value, outcome.detail, outcome.retry_after_ms
    )


def _outcome_without_answer(
    answer: Unreachable, unknown_detail: str
) -> NotRun | Unknown:
    """Return ``Unknown`` if a call without answer may have applied, else ``NotRun``."""
    if answer.may_have_applied:
        return Unknown(Reason.LOG_UNAVAILABLE, unknown_detail)
    return NotRun(Reason.LOG_UNAVAILABLE, answer.detail, _RETRY_AFTER_MS)
