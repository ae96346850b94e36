"""Running sums of the accepted work that is not done, kept from the job records.

They cost a fixed number of additions for each record, so that nothing has to walk all
units. Sums are kept by queue and not by priority, which the configuration may change.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from .model import JobSpec, Step, UnitPhase

__all__ = ["Backlog", "Load", "LoadKey", "load_of", "widest_step_gpus"]

LoadKey = tuple[str, str, str]
"""Service, queue and organisation."""


@dataclass(slots=True)
class Load:
    """Sums over units that wait and units that are placed.

    Work is the resource times the estimate, in accelerator- and thousandths of
    core-milliseconds, of units that end. ``lasting_*`` are the resources of
    long-running units, which do not end. ``job_gpus`` is the sum over open jobs of the
    accelerators of the units that wait or run of their widest step.
    """

    waiting_gpu_ms: int = 0
    waiting_cpu_ms: int = 0
    placed_gpu_ms: int = 0
    placed_cpu_ms: int = 0
    waiting_gpus: int = 0
    waiting_cpu_milli: int = 0
    waiting_memory_mb: int = 0
    placed_gpus: int = 0
    placed_cpu_milli: int = 0
    placed_memory_mb: int = 0
    lasting_gpus: int = 0
    lasting_cpu_milli: int = 0
    job_gpus: int = 0

    def add(self, other: Load) -> None:
        """Add all sums of ``other``."""
        # Written out, since a loop over the names is slow and a forecast adds hundreds.
        self.waiting_gpu_ms += other.waiting_gpu_ms
        self.waiting_cpu_ms += other.waiting_cpu_ms
        self.placed_gpu_ms += other.placed_gpu_ms
        self.placed_cpu_ms += other.placed_cpu_ms
        self.waiting_gpus += other.waiting_gpus
        self.waiting_cpu_milli += other.waiting_cpu_milli
        self.waiting_memory_mb += other.waiting_memory_mb
        self.placed_gpus += other.placed_gpus
        self.placed_cpu_milli += other.placed_cpu_milli
        self.placed_memory_mb += other.placed_memory_mb
        self.lasting_gpus += other.lasting_gpus
        self.lasting_cpu_milli += other.lasting_cpu_milli
        self.job_gpus += other.job_gpus

    def add_units(self, step: Step, is_placed: bool, count: int) -> None:
        """Add ``count`` units of a step; a negative count subtracts them."""
        tasks = count * step.count if step.is_gang else count
        request = step.occupied
        gpus = tasks * request.gpus
        cpu_milli = tasks * request.cpu_milli
        memory_mb = tasks * request.memory_mb
        gpu_ms = cpu_ms = 0
        if step.is_long_running:
            self.lasting_gpus += gpus
            self.lasting_cpu_milli += cpu_milli
        else:
            gpu_ms = gpus * step.estimate_ms
            cpu_ms = cpu_milli * step.estimate_ms
        if is_placed:
            self.placed_gpu_ms += gpu_ms
            self.placed_cpu_ms += cpu_ms
            self.placed_gpus += gpus
            self.placed_cpu_milli += cpu_milli
            self.placed_memory_mb += memory_mb
        else:
            self.waiting_gpu_ms += gpu_ms
            self.waiting_cpu_ms += cpu_ms
            self.waiting_gpus += gpus
            self.waiting_cpu_milli += cpu_milli
            self.waiting_memory_mb += memory_mb


class _UnitState(enum.Enum):
    WAITING = "waiting"
    PLACED = "placed"
    ENDED = "ended"


_STATE_BY_PHASE = {
    UnitPhase.WAITING: _UnitState.WAITING,
    UnitPhase.PLACED: _UnitState.PLACED,
    # The run is being stopped, which takes less than a second, and starts again.
    UnitPhase.ENDING: _UnitState.WAITING,
    UnitPhase.DONE: _UnitState.ENDED,
    UnitPhase.FAILED: _UnitState.ENDED,
}


class Backlog:
    """The load of all open jobs, by service, queue and organisation.

    Occurrences of timed jobs count from their placement to their end only, since they
    are not due before.
    """

    def __init__(self):
        self._load_by_key: dict[LoadKey, Load] = {}
        # For each open job, the number of waiting and of placed units of each step.
        self._counts_by_job_id: dict[str, list[list[int]]] = {}

    def open_job(self, spec: JobSpec) -> None:
        """Add a job none of whose units has a record."""
        waits = not spec.occurrences
        self._counts_by_job_id[spec.id] = [
            [len(step.members) if waits else 0, 0] for step in spec.steps
        ]
        load = self._load_by_key.setdefault(_key(spec), Load())
        load.add(load_of(spec))

    def unit_changed(
        self, spec: JobSpec, step_number: int, before: UnitPhase, after: UnitPhase
    ) -> None:
        """Move a unit of an open job from one phase to another."""
        counts = self._counts_by_job_id.get(spec.id)
        old, new = _STATE_BY_PHASE[before], _STATE_BY_PHASE[after]
        if counts is None or old is new or not 0 <= step_number < len(counts):
            return
        step = spec.steps[step_number]
        load = self._load_by_key.setdefault(_key(spec), Load())
        # A placement of a unit that was due leaves its step as wide as before.
        is_open_changed = bool(spec.occurrences) or _UnitState.ENDED in (old, new)
        if is_open_changed:
            load.job_gpus -= _open_gpus(spec, counts)
        for state, change in ((old, -1), (new, 1)):
            is_placed = state is _UnitState.PLACED
            if is_placed or (state is _UnitState.WAITING and not spec.occurrences):
                load.add_units(step, is_placed, change)
                counts[step_number][is_placed] += change
        if is_open_changed:
            load.job_gpus += _open_gpus(spec, counts)

    def close_job(self, spec: JobSpec) -> None:
        """Remove what is left of a job; closing it again has no effect."""
        counts = self._counts_by_job_id.pop(spec.id, None)
        if counts is None:
            return
        key = _key(spec)
        # Another job may have removed sums that were 0 while a timed job was open.
        load = self._load_by_key.setdefault(key, Load())
        for step, (waiting, placed) in zip(spec.steps, counts, strict=True):
            load.add_units(step, False, -waiting)
            load.add_units(step, True, -placed)
        load.job_gpus -= _open_gpus(spec, counts)
        if load == Load():
            del self._load_by_key[key]

    @property
    def load_by_key(self) -> Mapping[LoadKey, Load]:
        """The present sums, which change with the next record."""
        return self._load_by_key


def load_of(spec: JobSpec) -> Load:
    """Return the load of a job that is accepted and of which nothing has started."""
    load = Load()
    if not spec.occurrences:
        load.job_gpus = widest_step_gpus(spec)
        for step in spec.steps:
            load.add_units(step, False, len(step.members))
    return load


def widest_step_gpus(spec: JobSpec) -> int:
    """Return the accelerators of the step that requests most of them."""
    return max((step.count * step.request.gpus for step in spec.steps), default=0)


def _open_gpus(spec: JobSpec, counts: list[list[int]]) -> int:
    """Return the accelerators of the step that has most of them open.

    Units that are done, and occurrences that are not due, take nothing of a guarantee.
    """
    most = 0
    for step, (waiting, placed) in zip(spec.steps, counts, strict=True):
        tasks = (waiting + placed) * (step.count if step.is_gang else 1)
        most = max(most, tasks * step.request.gpus)
    return most


def _key(spec: JobSpec) -> LoadKey:
    return spec.service, spec.queue, spec.organisation
