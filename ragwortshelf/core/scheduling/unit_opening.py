"""In which order the units of a job are opened, a limited number at a time."""

from __future__ import annotations

from collections import defaultdict, deque

from .job_table import Job
from .model import UnitKey

__all__ = ["UnitOpening"]

VISITS_MAX = 2_000
"""Steps, and steps that they depend on, which a search passes over in one call before
it begins no further occurrence."""


class UnitOpening:
    """The units of one job that are still to be opened, in the order of opening.

    A job may declare a thousand million units, so they are found as they are needed.
    No call's cost depends on how many occurrences and tasks the job declares.
    """

    def __init__(self, job: Job):
        self._job = job
        self._next_occurrence = job.first_open_occurrence
        # Occurrence, step and index of the next member of steps that may begin.
        self._ready: deque[tuple[int, int, int]] = deque()
        self._dependants_by_step: dict[int, list[int]] = defaultdict(list)
        for number, step in enumerate(job.spec.steps):
            for before in step.depends_on:
                self._dependants_by_step[before].append(number)
        self._visits_per_occurrence = 1 + sum(
            1 + len(step.depends_on) for step in job.spec.steps
        )

    @property
    def is_complete(self) -> bool:
        """Whether no unit is left but those of steps that depend on others."""
        has_occurrences = self._next_occurrence < self._job.spec.occurrence_count
        return not self._ready and not has_occurrences

    @property
    def next_due_wall_ms(self) -> int | None:
        """When the next unit may be opened: 0 for at once, None if none is left."""
        if self._ready:
            return 0
        if self.is_complete:
            return None
        return self._job.spec.due_wall_ms(self._next_occurrence)

    def take(self, count_max: int, wall_ms: int) -> list[UnitKey]:
        """Return up to ``count_max`` keys of units that may be opened now.

        Some may be open or have ended already. Fewer are returned also while the
        search passes over occurrences that have ended; the next call goes on there.
        """
        keys: list[UnitKey] = []
        visits = 0
        spec = self._job.spec
        while len(keys) < count_max and visits < VISITS_MAX:
            if self._ready:
                occurrence, number, index = self._ready[0]
                members = spec.steps[number].members
                end = min(len(members), index + count_max - len(keys))
                keys.extend(
                    UnitKey(spec.id, occurrence, number, member)
                    for member in members[index:end]
                )
                if end == len(members):
                    self._ready.popleft()
                else:
                    self._ready[0] = (occurrence, number, end)
            elif (
                self._next_occurrence < spec.occurrence_count
                and spec.due_wall_ms(self._next_occurrence) <= wall_ms
            ):
                self._begin_occurrence(self._next_occurrence)
                self._next_occurrence += 1
                visits += self._visits_per_occurrence
            else:
                break
        return keys

    def step_done(self, occurrence: int, number: int) -> None:
        """Note that all units of a step are done, so that others may begin."""
        if occurrence >= self._next_occurrence:
            return
        for dependant in self._dependants_by_step.get(number, ()):
            self._begin_step(occurrence, dependant)

    def _begin_occurrence(self, occurrence: int) -> None:
        if self._job.is_occurrence_done(occurrence):
            return
        for number in range(len(self._job.spec.steps)):
            self._begin_step(occurrence, number)

    def _begin_step(self, occurrence: int, number: int) -> None:
        job = self._job
        if job.is_step_done(occurrence, number):
            return
        depends_on = job.spec.steps[number].depends_on
        if all(job.is_step_done(occurrence, before) for before in depends_on):
            self._ready.append((occurrence, number, 0))
