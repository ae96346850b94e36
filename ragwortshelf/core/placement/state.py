"""State of one data centre as known to the scheduler, and the witness for it."""

from __future__ import annotations

from ..model import Configuration, Decision, Grant, JobSpec
from .active_jobs import ActiveJob, ActiveJobs, ActiveState, accelerators_of
from .packing import find_group
from .policy import PlacementPolicy
from .pool import Pool, PoolWorker
from .quarantine import Quarantine, TrustState
from .regions import HomeRegions, Witness, find_witness, home_regions
from .run_time_estimates import RunTimeEstimates
from .shape_assignment import ShapeUnit
from .waiting_jobs import WaitingJobs

__all__ = ["DataCentreState"]


class DataCentreState:
    """The mutable state that events change and decisions read.

    ``has_changed`` is set when a placement may be possible that was not in the last
    round, ``is_witness_stale`` when the witness has to be searched again.
    ``free_elsewhere`` and ``free_counts_elsewhere`` describe other data centres: their
    free accelerators, and the distinct counts of them on partially used workers.
    """

    def __init__(self, data_centre: str, policy: PlacementPolicy) -> None:
        self.data_centre = data_centre
        self.policy = policy
        self.configuration = Configuration()
        self.pool = Pool()
        self.active_jobs = ActiveJobs(self.pool)
        self.waiting = WaitingJobs()
        self.quarantine = Quarantine()
        self.run_times = RunTimeEstimates()
        self.home = HomeRegions({})
        self.witness = Witness({}, {})
        self.unusable_reason_by_worker: dict[str, str] = {}
        self.backoff_until_by_worker: dict[str, int] = {}
        self.held_elsewhere_by_organisation: dict[str, int] = {}
        self.guarantee_decisions: list[Decision] = []
        self.free_elsewhere = 0
        self.free_counts_elsewhere: tuple[int, ...] = ()
        self.is_witness_stale = True
        self.has_changed = True

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the configuration, its policy weights and its home regions."""
        self.configuration = configuration
        self.policy = self.policy.configured(configuration)
        self.home = home_regions(configuration, self.data_centre)
        self.is_witness_stale = True
        self.has_changed = True

    def refresh_worker(self, worker: str) -> None:
        """Open or close the worker after its usability or quarantine has changed."""
        is_open = (
            worker not in self.unusable_reason_by_worker
            and not self.quarantine.is_closed(worker)
        )
        if self.pool.set_open(worker, is_open):
            self.is_witness_stale = True
        self.has_changed = True

    def may_receive(self, worker: PoolWorker, now_ms: int) -> bool:
        """Return whether a new job may be placed on the worker now.

        A suspect worker receives a job only while it holds none.
        """
        if not worker.is_open:
            return False
        if self.backoff_until_by_worker.get(worker.name, 0) > now_ms:
            return False
        is_suspect = self.quarantine.trust_state(worker.name) is TrustState.SUSPECT
        return not is_suspect or worker.free == worker.size

    def refresh_witness(self) -> None:
        """Search the witness again if it is stale, and record each change of it."""
        if not self.is_witness_stale:
            return
        self.is_witness_stale = False
        workers = [
            (worker.name, worker.rack.name, worker.size)
            for worker in self.pool.workers_by_name.values()
        ]
        before = self.witness
        self.witness = find_witness(
            self.home, workers, self._availability, self._explain_shortage
        )
        if self.witness.grants_by_unit != before.grants_by_unit:
            self._rebuild_claims()
            self.has_changed = True
        self.guarantee_decisions.extend(_guarantee_decisions(before, self.witness))

    def over_quota(self, organisation: str, accelerators: int) -> bool:
        """Return whether ``accelerators`` more exceed the organisation's quota."""
        entry = self.configuration.organisations_by_name.get(organisation)
        if entry is None or entry.quota_accelerators is None:
            return False
        held = self.active_jobs.held_by_organisation.get(organisation, 0)
        held += self.held_elsewhere_by_organisation.get(organisation, 0)
        return held + accelerators > entry.quota_accelerators

    def is_within_fair_share(self, organisation: str, accelerators: int) -> bool:
        """Return whether ``accelerators`` more stay in the organisation's fair share.

        The fair share is the part of this data centre's accelerators that corresponds
        to the weight of the organisation among all organisations.
        """
        entries = self.configuration.organisations_by_name
        entry = entries.get(organisation)
        total_weight = sum(e.weight for e in entries.values())
        if entry is None or total_weight == 0:
            return False
        size = sum(worker.size for worker in self.pool.workers_by_name.values())
        held = self.active_jobs.held_by_organisation.get(organisation, 0)
        return (held + accelerators) * total_weight <= size * entry.weight

    def permits(self, spec: JobSpec, worker: str, index: int) -> bool:
        """Return whether the current regions allow the job to use the accelerator.

        Non-reclaimable work may use only accelerators that both the home regions and
        the witness assign to its organisation or to none.
        """
        if spec.is_reclaimable:
            return True
        allowed = (None, spec.organisation)
        return (
            self.home.owner_by_accelerator.get((worker, index)) in allowed
            and self.witness.owner_by_accelerator.get((worker, index)) in allowed
        )

    def choose_claim(self, job: ActiveJob) -> None:
        """Set the claim of an active job, if accelerators can be claimed for it.

        It claims those of its region that it holds, or others if it holds none there.
        A reclaimable job that is only partly inside the region claims none.
        """
        owner = self.witness.owner_by_accelerator
        name = job.spec.organisation
        occupied = [a for a in accelerators_of(job.grants) if owner.get(a) == name]
        claimants = self.active_jobs.claimant_by_accelerator
        is_inside_region = len(occupied) == job.spec.accelerators
        if occupied and (is_inside_region or not job.spec.is_reclaimable):
            if not any(a in claimants for a in occupied):
                self.active_jobs.set_claim(job, to_grants(occupied))
        elif not occupied:
            self._claim_elsewhere(job)

    def _claim_elsewhere(self, job: ActiveJob) -> None:
        """Claim an unclaimed part of the region for a job that runs outside of it."""
        regions = self.witness.accelerators_by_organisation
        region = regions.get(job.spec.organisation, {})

        def unclaimed(worker: PoolWorker) -> list[int]:
            return [
                index
                for index in region.get(worker.name, ())
                if (worker.name, index) not in self.active_jobs.claimant_by_accelerator
                and self._availability(worker.name, index) == ""
            ]

        parts = find_group(
            self.pool,
            lambda worker: len(unclaimed(worker)),
            job.spec.accelerators,
            job.spec.adjacency,
            self.policy,
        )
        if parts is not None and job.spec.is_reclaimable:
            claim = [(w.name, i) for w, count in parts for i in unclaimed(w)[:count]]
            self.active_jobs.set_claim(job, to_grants(claim))

    def _availability(self, worker_name: str, index: int) -> str | None:
        """Return whose units may be assigned the accelerator.

        See `regions.Availability`.
        """
        worker = self.pool.workers_by_name.get(worker_name)
        if worker is None or not worker.is_open or index >= worker.size:
            return None
        holder = worker.holder_by_index[index]
        if holder is None:
            return ""
        job = self.active_jobs.job_by_id.get(holder)
        if job is None or job.is_foreign:
            return None
        may_leave = job.spec.is_reclaimable or job.state is ActiveState.PENDING
        return "" if may_leave else job.spec.organisation

    def _explain_shortage(self, unit: ShapeUnit, grants: tuple[Grant, ...]) -> str:
        if not grants:
            return "the catalogue of workers cannot hold all promised shapes"
        causes: dict[str, None] = {}
        for worker_name, index in accelerators_of(grants):
            if self._availability(worker_name, index) in ("", unit.organisation):
                continue
            worker = self.pool.workers_by_name.get(worker_name)
            if worker is None:
                causes[f"worker {worker_name} is missing"] = None
            elif not worker.is_open:
                reason = self.unusable_reason_by_worker.get(worker_name, "quarantined")
                causes[f"worker {worker_name} is closed: {reason}"] = None
            else:
                holder = worker.holder_by_index[index]
                causes[f"{holder} on {worker_name} cannot be stopped"] = None
        if not causes:
            return "no adjacent accelerators are left beside the other shapes"
        return ", ".join(causes) + "; no other adjacent accelerators are obtainable"

    def _rebuild_claims(self) -> None:
        """Replace all claims by claims on the regions of the current witness.

        A pending job gets its claim when it is placed.
        """
        jobs = list(self.active_jobs.job_by_id.values())
        had_claim = {job.spec.job_id for job in jobs if job.claim}
        for job in jobs:
            self.active_jobs.set_claim(job, ())
        # Non-reclaimable work comes first, since its accelerators cannot change.
        for job in sorted(jobs, key=lambda j: (j.spec.is_reclaimable, j.started_ms)):
            if job.is_foreign or job.state is ActiveState.PENDING:
                continue
            if job.spec.job_id in had_claim or not job.spec.is_reclaimable:
                self.choose_claim(job)


def to_grants(accelerators: list[tuple[str, int]]) -> tuple[Grant, ...]:
    """Return the accelerators as grants, one for each worker."""
    indices_by_worker: dict[str, list[int]] = {}
    for worker, index in accelerators:
        indices_by_worker.setdefault(worker, []).append(index)
    return tuple(
        Grant(worker, tuple(sorted(indices)))
        for worker, indices in indices_by_worker.items()
    )


def _guarantee_decisions(before: Witness, after: Witness) -> tuple[Decision, ...]:
    decisions = []
    for unit, detail in after.shortage_by_unit.items():
        if before.shortage_by_unit.get(unit) != detail:
            decisions.append(_guarantee_decision(unit, "short", detail))
    for unit in before.shortage_by_unit:
        if unit in after.grants_by_unit:
            decisions.append(
                _guarantee_decision(unit, "met", "accelerators are obtainable again")
            )
    return tuple(decisions)


def _guarantee_decision(unit: ShapeUnit, choice: str, reason: str) -> Decision:
    shape = unit.shape
    subject = (
        f"{unit.organisation}/{shape.accelerators}/{shape.adjacency}/{unit.number}"
    )
    return Decision(
        "guarantee", subject, choice, reason, organisation=unit.organisation
    )
