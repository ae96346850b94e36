"""The scheduler of one data centre: events in, actions out, no input or output."""

from __future__ import annotations

from ..model import Configuration, Decision, Grant, JobSpec, Reason
from .actions import Action, GuaranteeStatus, Place, Reject, WorkerStatus
from .actions import WorkerCondition as Condition
from .admission import fits_catalogue
from .packing import find_group
from .policy import PlacementPolicy, WeightedPolicy
from .pool import Pool, PoolWorker

__all__ = ["Scheduler"]

BACKOFF_MS = 1_000


class Scheduler:
    """Places the jobs of one data centre."""

    def __init__(self, data_centre: str, policy: PlacementPolicy | None = None) -> None:
        self.data_centre = data_centre
        self._base_policy = policy or WeightedPolicy()
        self._policy = self._base_policy
        self._configuration = Configuration()
        self._pool = Pool()
        self._waiting_by_id: dict[str, JobSpec] = {}
        self._checkpoint_by_id: dict[str, int] = {}
        self._grants_by_id: dict[str, tuple[Grant, ...]] = {}
        self._avoid_until_by_worker: dict[str, int] = {}

    def set_configuration(
        self, configuration: Configuration, now_ms: int
    ) -> tuple[Decision, ...]:
        self._configuration = configuration
        self._policy = self._base_policy.configured(configuration)
        return ()

    def set_worker(
        self, worker: str, rack: str, accelerators: int, now_ms: int
    ) -> None:
        self._pool.set_worker(worker, rack, accelerators)

    def set_worker_usable(
        self, worker: str, is_usable: bool, reason: str, now_ms: int
    ) -> None:
        self._pool.set_open(worker, is_usable)

    def remove_worker(self, worker: str, now_ms: int) -> None:
        self._pool.remove_worker(worker)

    def set_foreign_lease(
        self, worker: str, accelerators: tuple[int, ...], job_id: str
    ) -> None:
        self._pool.hold(f"foreign:{job_id}", (Grant(worker, accelerators),))

    def clear_foreign_lease(self, worker: str, job_id: str) -> None:
        everything = tuple(range(self._pool.workers_by_name[worker].size))
        self._pool.release(f"foreign:{job_id}", (Grant(worker, everything),))

    def add_waiting(self, spec: JobSpec, now_ms: int, checkpoint: int = 0) -> None:
        self._waiting_by_id[spec.job_id] = spec
        self._checkpoint_by_id[spec.job_id] = checkpoint

    def set_running(
        self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int
    ) -> None:
        self._waiting_by_id.pop(spec.job_id, None)
        self._grants_by_id[spec.job_id] = grants
        self._pool.hold(spec.job_id, grants)

    def checkpointed(self, job_id: str, now_ms: int) -> None:
        pass

    def remove(self, job_id: str, now_ms: int) -> None:
        self._waiting_by_id.pop(job_id, None)
        self._checkpoint_by_id.pop(job_id, None)
        self._pool.release(job_id, self._grants_by_id.pop(job_id, ()))

    def placement_failed(self, job_id: str, worker: str, now_ms: int) -> None:
        self._avoid_until_by_worker[worker] = now_ms + BACKOFF_MS
        self._pool.release(job_id, self._grants_by_id.pop(job_id, ()))

    def task_ended(
        self,
        job_id: str,
        kind: str,
        workers: tuple[str, ...],
        succeeded: bool,
        now_ms: int,
    ) -> None:
        pass

    def probe_ended(self, worker: str, succeeded: bool, now_ms: int) -> None:
        pass

    def set_quarantine(self, worker: str, is_quarantined: bool, now_ms: int) -> None:
        self._pool.set_open(worker, not is_quarantined)

    def decide(self, now_ms: int) -> tuple[Action, ...]:
        def capacity(worker: PoolWorker) -> int:
            until_ms = self._avoid_until_by_worker.get(worker.name, 0)
            return worker.open_free if until_ms <= now_ms else 0

        actions: list[Action] = []
        for job_id, spec in list(self._waiting_by_id.items()):
            if job_id in self._grants_by_id:
                continue
            if not fits_catalogue(spec, self._configuration):
                detail = "fits no configured capacity"
                line = Decision("place_job", job_id, "reject", detail)
                del self._waiting_by_id[job_id]
                actions.append(Reject(job_id, Reason.NEVER_FITS, detail, line))
                continue
            parts = find_group(
                self._pool, capacity, spec.accelerators, spec.adjacency, self._policy
            )
            if parts is None:
                continue
            grants = tuple(
                Grant(worker.name, tuple(worker.free_indices()[:count]))
                for worker, count in parts
            )
            self._pool.hold(job_id, grants)
            self._grants_by_id[job_id] = grants
            line = Decision("place_job", job_id, str(grants), "first fit")
            checkpoint = self._checkpoint_by_id.get(job_id, 0)
            actions.append(Place(spec, grants, False, line, checkpoint))
        return tuple(actions)

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        later = [t for t in self._avoid_until_by_worker.values() if t > now_ms]
        return min(later, default=None)

    def explain(self, job_id: str) -> Decision:
        choice = "placed" if job_id in self._grants_by_id else "wait"
        return Decision("place_job", job_id, choice, "")

    def guarantees(self) -> tuple[GuaranteeStatus, ...]:
        return ()

    def workers(self) -> tuple[WorkerStatus, ...]:
        return tuple(
            WorkerStatus(
                worker.name,
                worker.rack.name,
                worker.size,
                worker.free,
                Condition.USABLE if worker.is_open else Condition.UNUSABLE,
            )
            for worker in self._pool.workers_by_name.values()
        )
