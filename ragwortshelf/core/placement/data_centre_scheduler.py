"""The scheduler of one data centre, which turns events into actions without I/O."""

from __future__ import annotations

from ..model import Configuration, Decision, Grant, JobSpec
from .actions import Action, GuaranteeStatus, WorkerCondition, WorkerStatus
from .active_jobs import ActiveJob, ActiveState
from .placement_search import Placement, PlacementSearch
from .policy import PlacementPolicy, WeightedPolicy
from .quarantine import TrustState
from .scheduling_rounds import SchedulingRounds, grants_text
from .state import DataCentreState
from .waiting_jobs import GroupKey, WaitingJob

__all__ = ["DataCentreScheduler"]

BACKOFF_MIN_MS = 1_000
BACKOFF_MAX_MS = 30_000
STOPPED_JOBS_MAX = 1_000


class DataCentreScheduler:
    """Places the jobs of one data centre; it is deterministic and cheap per event.

    Report events with the methods below, then call `decide` and carry out the actions
    that it returns. No placement state needs to be stored: a new scheduler that is
    given the workers, running jobs and waiting jobs continues where another ended. ::

        scheduler = DataCentreScheduler("ankara-1")
        scheduler.set_configuration(configuration, now_ms)
        scheduler.set_worker("w1", "rack-1", 8, now_ms)
        scheduler.add_waiting(spec, now_ms)
        for action in scheduler.decide(now_ms):
            ...
    """

    def __init__(self, data_centre: str, policy: PlacementPolicy | None = None) -> None:
        self.data_centre = data_centre
        self._state = DataCentreState(data_centre, policy or WeightedPolicy())
        self._rounds = SchedulingRounds(self._state)
        self._failures_by_worker: dict[str, int] = {}
        self._waiting_since_by_stopped_id: dict[str, int] = {}

    def set_configuration(
        self, configuration: Configuration, now_ms: int
    ) -> tuple[Decision, ...]:
        """Bring a configuration into force; return how the guarantees changed."""
        self._state.set_configuration(configuration)
        self._rounds.check_all_admissions()
        self._state.refresh_witness()
        return self.take_guarantee_decisions()

    def take_guarantee_decisions(self) -> tuple[Decision, ...]:
        """Return and clear the decisions on guarantees whose state has changed."""
        decisions = tuple(self._state.guarantee_decisions)
        self._state.guarantee_decisions.clear()
        return decisions

    def set_worker(
        self, worker: str, rack: str, accelerators: int, now_ms: int
    ) -> None:
        """Add the worker, or replace it if its rack or size has changed."""
        self._state.pool.set_worker(worker, rack, accelerators)
        self._state.active_jobs.restore_holds(worker)
        self._mark_witness_stale()
        self._state.refresh_worker(worker)

    def set_worker_usable(
        self, worker: str, is_usable: bool, reason: str, now_ms: int
    ) -> None:
        """Open the worker for new jobs, or close it for ``reason``; its jobs stay."""
        if is_usable:
            self._state.unusable_reason_by_worker.pop(worker, None)
        else:
            self._state.unusable_reason_by_worker[worker] = reason
        self._state.refresh_worker(worker)

    def remove_worker(self, worker: str, now_ms: int) -> None:
        """Remove a worker that was lost; its jobs stay until `remove` is called."""
        self._state.pool.remove_worker(worker)
        self._state.quarantine.forget_worker(worker)
        self._state.unusable_reason_by_worker.pop(worker, None)
        self._state.backoff_until_by_worker.pop(worker, None)
        self._failures_by_worker.pop(worker, None)
        self._mark_witness_stale()

    def set_foreign_lease(
        self, worker: str, accelerators: tuple[int, ...], job_id: str
    ) -> None:
        """Count accelerators as held by a job that this scheduler does not know."""
        key = f"foreign:{worker}:{job_id}"
        self._state.active_jobs.release(key)
        spec = JobSpec(key, "", self.data_centre, len(accelerators))
        grants = (Grant(worker, accelerators),)
        job = ActiveJob(spec, ActiveState.RUNNING, grants, is_foreign=True)
        self._state.active_jobs.add(job)
        self._mark_witness_stale()

    def clear_foreign_lease(self, worker: str, job_id: str) -> None:
        """Free the accelerators that `set_foreign_lease` counted as held."""
        self._state.active_jobs.release(f"foreign:{worker}:{job_id}")
        self._mark_witness_stale()

    def set_held_elsewhere(self, organisation: str, accelerators: int) -> None:
        """Set how many accelerators an organisation holds in other data centres.

        They count towards its quota.
        """
        self._state.held_elsewhere_by_organisation[organisation] = accelerators
        self._state.has_changed = True

    def set_free_elsewhere(
        self, accelerators: int, holes: tuple[int, ...] = ()
    ) -> None:
        """Set the capacity of other data centres for moved jobs.

        ``holes`` is the result of `holes` for all of them together, in rising order.
        Outdated values can cause needless moves.
        """
        self._state.free_elsewhere = accelerators
        self._state.free_counts_elsewhere = holes

    def holes(self) -> tuple[int, ...]:
        """Return the distinct counts of free accelerators on partially used workers."""
        return tuple(
            sorted(
                {
                    worker.free
                    for worker in self._state.pool.workers_by_name.values()
                    if 0 < worker.open_free < worker.size
                }
            )
        )

    def blocking_cost(self, spec: JobSpec, now_ms: int) -> int | None:
        """Return the expected work that blocks the job here, in accelerator-ms.

        None means that the job would fit nowhere even after other work has ended. The
        result serves to compare data centres for a job that has waited long. It rests
        on learned run times, so it must be used only for the choice of a home.
        """
        self._state.refresh_witness()
        return self._rounds.blocking_cost(spec, now_ms)

    def add_waiting(self, spec: JobSpec, now_ms: int, checkpoint: int = 0) -> None:
        """Queue the job for placement; it will resume from ``checkpoint``."""
        if spec.job_id in self._state.active_jobs.job_by_id:
            return
        avoids_workers = bool(self._state.quarantine.failed_workers(spec.job_id))
        expected_ms = self._state.run_times.expected_ms(spec)
        key = GroupKey.of(spec, expected_ms, avoids_workers)
        since_ms = self._waiting_since_by_stopped_id.pop(spec.job_id, now_ms)
        self._state.waiting.add(WaitingJob(spec, since_ms, checkpoint, key))
        self._rounds.check_admission(spec.job_id)
        self._state.has_changed = True

    def set_running(
        self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int
    ) -> None:
        """Mark the job as running, whether placed here or reported by workers."""
        state = self._state
        state.waiting.discard(spec.job_id)
        active_job = state.active_jobs.job_by_id.get(spec.job_id)
        if active_job is not None and active_job.grants == grants:
            if active_job.state is ActiveState.HELD:
                active_job.state = ActiveState.RUNNING
                active_job.started_ms = active_job.saved_ms = now_ms
            state.has_changed = True
            return
        state.active_jobs.release(spec.job_id)
        job = ActiveJob(spec, ActiveState.RUNNING, grants, now_ms, now_ms, now_ms)
        state.active_jobs.add(job)
        state.choose_claim(job)
        self._mark_witness_stale()

    def checkpointed(self, job_id: str, now_ms: int) -> None:
        """Record a completed checkpoint: stopping the job now would lose no work."""
        job = self._state.active_jobs.job_by_id.get(job_id)
        if job is not None:
            job.saved_ms = now_ms

    def remove(self, job_id: str, now_ms: int) -> None:
        """Remove a job that ended, was cancelled or stopped, or moved away."""
        state = self._state
        if state.waiting.discard(job_id) is not None:
            return
        job = state.active_jobs.release(job_id)
        if job is None:
            return
        state.has_changed = True
        if job.reclaim_deadline_ms is not None:
            self._keep_waiting_since(job)
        if state.witness.shortage_by_unit:
            state.is_witness_stale = True

    def placement_failed(self, job_id: str, worker: str, now_ms: int) -> None:
        """Queue a placed job again; its worker receives no jobs until a backoff ends.

        The backoff doubles with every failure up to a limit.
        """
        state = self._state
        job = state.active_jobs.release(job_id)
        if job is not None:
            expected_ms = state.run_times.expected_ms(job.spec)
            key = GroupKey.of(job.spec, expected_ms)
            since_ms = job.waiting_since_ms
            waiting = WaitingJob(job.spec, since_ms, job.checkpoint, key)
            state.waiting.add(waiting)
        if worker in state.pool.workers_by_name:
            failures = self._failures_by_worker.get(worker, 0)
            self._failures_by_worker[worker] = failures + 1
            delay_ms = min(BACKOFF_MIN_MS << min(failures, 10), BACKOFF_MAX_MS)
            state.backoff_until_by_worker[worker] = now_ms + delay_ms
        state.has_changed = True

    def task_ended(
        self,
        job_id: str,
        kind: str,
        workers: tuple[str, ...],
        succeeded: bool,
        now_ms: int,
    ) -> None:
        """Record the result of a job's tasks; call this before `remove`."""
        state = self._state
        job = state.active_jobs.job_by_id.get(job_id)
        if succeeded and job is not None:
            state.run_times.record(job.spec, now_ms - job.started_ms)
        for worker in state.quarantine.record_result(
            job_id, kind, workers, succeeded, now_ms
        ):
            state.refresh_worker(worker)
        if succeeded:
            state.quarantine.forget_job(job_id)
            for worker in workers:
                self._failures_by_worker.pop(worker, None)

    def forget(self, job_id: str) -> None:
        """Drop the failures of a job that has its final outcome."""
        self._state.quarantine.forget_job(job_id)

    def probe_ended(self, worker: str, succeeded: bool, now_ms: int) -> None:
        """Record the result of a `Probe`."""
        self._state.quarantine.probe_ended(worker, succeeded, now_ms)
        self._state.refresh_worker(worker)

    def set_quarantine(self, worker: str, is_quarantined: bool, now_ms: int) -> None:
        """Quarantine or release the worker at an operator's request."""
        self._state.quarantine.set_by_operator(worker, is_quarantined)
        self._state.refresh_worker(worker)

    def decide(self, now_ms: int) -> tuple[Action, ...]:
        """Return the actions that are due now; later calls do not repeat them."""
        state = self._state
        state.refresh_witness()
        wakeup_ms = self.next_wakeup_ms(now_ms)
        if not state.has_changed and (wakeup_ms is None or wakeup_ms > now_ms):
            return ()
        for worker, until_ms in list(state.backoff_until_by_worker.items()):
            if until_ms <= now_ms:
                del state.backoff_until_by_worker[worker]
        return self._rounds.run_round(now_ms)

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when to call `decide` if no event occurs before, None for never."""
        state = self._state
        times = [
            state.quarantine.next_probe_ms(),
            self._rounds.next_wakeup_ms() if state.waiting.job_by_id else None,
            min(state.backoff_until_by_worker.values(), default=None),
            min(
                (
                    j.pending_deadline_ms
                    for j in state.active_jobs.pending_by_id.values()
                ),
                default=None,
            ),
        ]
        return min((time for time in times if time is not None), default=None)

    def placement_cost(self, spec: JobSpec, now_ms: int) -> float | None:
        """Return how much the job would fragment workers, None if it cannot start now.

        It serves to compare data centres for one job; 0 is an exact fit.
        """
        if self._state.over_quota(spec.organisation, spec.accelerators):
            return None
        self._state.refresh_witness()
        search = PlacementSearch(self._state, self._rounds.reservations, spec, now_ms)
        placement = search.within_guarantee()
        if isinstance(placement, str) or placement.victims:
            placement = search.beyond_guarantee()
        return (
            None
            if isinstance(placement, str)
            else search.fragmentation_cost(placement.grants)
        )

    def fits_guarantee(self, spec: JobSpec, now_ms: int) -> bool:
        """Return whether the organisation's unused guarantee here covers the job."""
        self._state.refresh_witness()
        search = PlacementSearch(self._state, self._rounds.reservations, spec, now_ms)
        return isinstance(search.within_guarantee(), Placement)

    def is_waiting(self, job_id: str) -> bool:
        """Return whether the job is queued and no work is being reclaimed for it."""
        return job_id in self._state.waiting.job_by_id

    def free(self) -> int:
        """Return how many accelerators are free on open workers."""
        return self._state.pool.open_free

    def waiting_accelerators(self) -> int:
        """Return how many accelerators all waiting jobs together request."""
        return self._state.waiting.accelerators

    def explain(self, job_id: str) -> Decision:
        """Return the placement of the job, or the reason that it waits."""
        waiting = self._state.waiting.job_by_id.get(job_id)
        if waiting is not None:
            name = waiting.spec.organisation
            return Decision(
                "place_job", job_id, "wait", waiting.reason, organisation=name
            )
        job = self._state.active_jobs.job_by_id.get(job_id)
        if job is None:
            return Decision("place_job", job_id, "unknown", "no such job is known here")
        share = "borrowed" if job.is_borrowed else "guaranteed"
        return Decision(
            "place_job",
            job_id,
            grants_text(job.grants),
            f"{job.state.value}, {share}",
            organisation=job.spec.organisation,
        )

    def guarantees(self) -> tuple[GuaranteeStatus, ...]:
        """Return for each guaranteed group whether it is obtainable now."""
        self._state.refresh_witness()
        witness = self._state.witness
        met = [
            GuaranteeStatus(unit.organisation, unit.shape, True)
            for unit in witness.grants_by_unit
        ]
        short = [
            GuaranteeStatus(unit.organisation, unit.shape, False, detail)
            for unit, detail in witness.shortage_by_unit.items()
        ]
        return tuple(met + short)

    def workers(self) -> tuple[WorkerStatus, ...]:
        """Return every worker with its condition."""
        return tuple(
            WorkerStatus(
                worker.name,
                worker.rack.name,
                worker.size,
                worker.free,
                *self._condition(worker.name),
            )
            for worker in self._state.pool.workers_by_name.values()
        )

    def _condition(self, worker: str) -> tuple[WorkerCondition, str]:
        state = self._state
        reason = state.unusable_reason_by_worker.get(worker)
        if reason is not None:
            return WorkerCondition.UNUSABLE, reason
        trust_state = state.quarantine.trust_state(worker)
        if trust_state is TrustState.QUARANTINED:
            reason = "failed what it started, or taken out by an operator"
            return WorkerCondition.QUARANTINED, reason
        if trust_state is TrustState.PROBING:
            return WorkerCondition.PROBING, "waits for the answer to a probe"
        if worker in state.backoff_until_by_worker:
            return WorkerCondition.BACKING_OFF, "refused a lease or was not reached"
        return WorkerCondition.USABLE, ""

    def _keep_waiting_since(self, job: ActiveJob) -> None:
        """Keep the start of a reclaimed job's wait for when it is queued again.

        Their number is limited, and the oldest entries are dropped first.
        """
        while len(self._waiting_since_by_stopped_id) >= STOPPED_JOBS_MAX:
            del self._waiting_since_by_stopped_id[
                next(iter(self._waiting_since_by_stopped_id))
            ]
        self._waiting_since_by_stopped_id[job.spec.job_id] = job.waiting_since_ms

    def _mark_witness_stale(self) -> None:
        self._state.is_witness_stale = True
        self._state.has_changed = True
