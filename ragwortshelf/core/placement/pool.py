"""The accelerators of one data centre and the jobs that hold them."""

from __future__ import annotations

from collections.abc import Iterable

from ..model import Grant

__all__ = ["Pool", "PoolRack", "PoolWorker"]


class PoolWorker:
    """One worker; ``holder_by_index`` holds the job id on each accelerator or None.

    A worker that is not open (``is_open``) receives no new jobs.
    """

    __slots__ = ("free", "holder_by_index", "is_open", "name", "rack")

    def __init__(self, name: str, rack: PoolRack, accelerators: int) -> None:
        self.name = name
        self.rack = rack
        self.holder_by_index: list[str | None] = [None] * accelerators
        self.free = accelerators
        self.is_open = True

    @property
    def size(self) -> int:
        """Number of accelerators."""
        return len(self.holder_by_index)

    @property
    def open_free(self) -> int:
        """Free accelerators that may be assigned: none unless the worker is open."""
        return self.free if self.is_open else 0

    def free_indices(self) -> list[int]:
        """Return the indices of free accelerators in rising order."""
        return [i for i, job in enumerate(self.holder_by_index) if job is None]


class PoolRack:
    """Workers behind one switch, with the sum of their ``open_free``."""

    __slots__ = ("name", "open_free", "workers_by_name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.workers_by_name: dict[str, PoolWorker] = {}
        self.open_free = 0


class Pool:
    """Workers by name and by rack, with running sums of free accelerators.

    ``version`` increases whenever accelerators become free or open, so that a caller
    can tell whether a group that did not fit before may fit now.
    """

    def __init__(self) -> None:
        self.workers_by_name: dict[str, PoolWorker] = {}
        self.racks_by_name: dict[str, PoolRack] = {}
        self.open_free = 0
        self.version = 0

    def set_worker(self, name: str, rack_name: str, accelerators: int) -> None:
        """Add the worker, or replace it if its rack or size has changed."""
        worker = self.workers_by_name.get(name)
        if worker is not None:
            if worker.rack.name == rack_name and worker.size == accelerators:
                return
            self.remove_worker(name)
        rack = self.racks_by_name.setdefault(rack_name, PoolRack(rack_name))
        worker = PoolWorker(name, rack, accelerators)
        self.workers_by_name[name] = worker
        rack.workers_by_name[name] = worker
        self._add_free(worker, accelerators)

    def remove_worker(self, name: str) -> None:
        """Remove the worker and the record of the jobs that hold its accelerators."""
        worker = self.workers_by_name.pop(name, None)
        if worker is None:
            return
        self._add_free(worker, -worker.open_free)
        del worker.rack.workers_by_name[name]
        if not worker.rack.workers_by_name:
            del self.racks_by_name[worker.rack.name]

    def set_open(self, name: str, is_open: bool) -> bool:
        """Open or close the worker for placements; return whether this changed it."""
        worker = self.workers_by_name.get(name)
        if worker is None or worker.is_open == is_open:
            return False
        self._add_free(worker, -worker.open_free)
        worker.is_open = is_open
        self._add_free(worker, worker.open_free)
        return True

    def hold(self, job_id: str, grants: Iterable[Grant]) -> tuple[str, ...]:
        """Assign the accelerators to ``job_id``; return the jobs that it displaces."""
        displaced: dict[str, None] = {}
        for grant in grants:
            worker = self.workers_by_name.get(grant.worker)
            if worker is None:
                continue
            for index in grant.accelerators:
                if index >= worker.size:
                    continue
                previous = worker.holder_by_index[index]
                if previous is None:
                    worker.free -= 1
                    if worker.is_open:
                        worker.rack.open_free -= 1
                        self.open_free -= 1
                elif previous != job_id:
                    displaced[previous] = None
                worker.holder_by_index[index] = job_id
        return tuple(displaced)

    def release(self, job_id: str, grants: Iterable[Grant]) -> None:
        """Free the accelerators, except those that ``job_id`` no longer holds."""
        for grant in grants:
            worker = self.workers_by_name.get(grant.worker)
            if worker is None:
                continue
            for index in grant.accelerators:
                if index < worker.size and worker.holder_by_index[index] == job_id:
                    worker.holder_by_index[index] = None
                    worker.free += 1
                    if worker.is_open:
                        worker.rack.open_free += 1
                        self.open_free += 1
                        self.version += 1

    def holders(self, worker_name: str) -> tuple[str, ...]:
        """Return the jobs on the worker, each once."""
        worker = self.workers_by_name.get(worker_name)
        if worker is None:
            return ()
        return tuple(dict.fromkeys(job for job in worker.holder_by_index if job))

    def _add_free(self, worker: PoolWorker, accelerators: int) -> None:
        worker.rack.open_free += accelerators
        self.open_free += accelerators
        if accelerators > 0:
            self.version += 1
