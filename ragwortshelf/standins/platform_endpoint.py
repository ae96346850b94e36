"""Stand-in for an endpoint of the platform, with leases, fencing and lists of runs.

It runs inside the process that uses it, on trio's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from ..core.scheduling.listings import (
    EndpointInfo,
    FinishedRun,
    RunEnd,
    RunningTask,
    StartOutcome,
)

__all__ = ["EndpointState", "StartedRun"]


@dataclass(frozen=True, slots=True)
class StartedRun:
    """A run that an endpoint has started; ``end`` is set once it has ended.

    ``voided_ms`` is set if the lease expired, or the endpoint crashed, before the end
    was acknowledged, and holds the time of that. From then on the task may be started
    again, however it ended.
    """

    task: str
    run: int
    started_ms: int
    token: int
    ended_ms: int | None = None
    end: RunEnd | None = None
    voided_ms: int | None = None


class EndpointState:
    """The runs and the lease of one incarnation of an endpoint.

    ``work_ms`` is the duration of every run, or a function that returns it for a task.
    The lease expires by the endpoint's own clock, which is trio's clock multiplied by
    ``clock_rate`` plus ``clock_offset_ms``, and starts anew at a crash. It lasts for
    ``lease_max_ms`` at most. The times of runs are on trio's clock, so that those of
    several endpoints can be compared. All times are in milliseconds.
    """

    def __init__(
        self,
        info: EndpointInfo,
        work_ms: int | Callable[[str], int] = 1_000,
        *,
        clock_rate: float = 1.0,
        clock_offset_ms: int = 0,
        lease_max_ms: int = 10_000,
    ):
        self.info = info
        self._clock_rate = clock_rate
        self._clock_offset_ms = clock_offset_ms
        self._lease_max_ms = lease_max_ms
        self.born = 1
        self.token = 0
        self.until_ms = 0
        self.work_ms = work_ms
        # The run number and the start time of each running task.
        self.running: dict[str, tuple[int, int]] = {}
        self.finished: list[FinishedRun] = []
        self.history: dict[tuple[str, int], StartedRun] = {}
        # Task and run number of those that were running at a crash.
        self.crashed_runs: list[tuple[str, int]] = []
        self._last_end_number = 0
        self._highest_run_by_task: dict[str, int] = {}

    def clock_ms(self) -> int:
        """Return the time on the endpoint's clock."""
        return self._clock_offset_ms + int(_now_ms() * self._clock_rate)

    def advance(self) -> None:
        """End the runs that are due by now, dated to when they were due."""
        now_ms = _now_ms()
        lease_end_ms = self._lease_end_ms()
        for task, (_, started_ms) in list(self.running.items()):
            work_ms = self.work_ms(task) if callable(self.work_ms) else self.work_ms
            done_ms = started_ms + work_ms
            if done_ms <= min(now_ms, lease_end_ms):
                self.end(task, RunEnd.DONE, done_ms)
            elif lease_end_ms <= now_ms:
                self.end(task, RunEnd.LAPSED, lease_end_ms)
        if lease_end_ms <= now_ms:
            self._void_ends(lease_end_ms)

    def end(self, task: str, outcome: RunEnd, ended_ms: int | None = None) -> None:
        """End a run, now or at ``ended_ms``, and list it as finished."""
        run, _ = self.running.pop(task)
        self._last_end_number += 1
        self.finished.append(FinishedRun(self._last_end_number, task, run, outcome, ""))
        self.history[task, run] = replace(
            self.history[task, run],
            ended_ms=_now_ms() if ended_ms is None else ended_ms,
            end=outcome,
        )

    def _extend_lease(self, until_ms: int) -> None:
        latest_ms = self.clock_ms() + self._lease_max_ms
        self.until_ms = max(self.until_ms, min(until_ms, latest_ms))

    def _lease_end_ms(self) -> int:
        """Return the time on trio's clock at which the lease expires."""
        remaining_ms = (self.until_ms - self.clock_ms()) / self._clock_rate
        return _now_ms() + int(remaining_ms)

    def _void_ends(self, lease_end_ms: int) -> None:
        """Mark the ends that are not yet acknowledged as void."""
        for row in self.finished:
            started = self.history[row.task, row.run]
            if started.voided_ms is None:
                self.history[row.task, row.run] = replace(
                    started, voided_ms=lease_end_ms
                )

    def start(self, task: str, run: int, until_ms: int, token: int) -> StartOutcome:
        """Start a run, or return the reason for refusing it."""
        self.advance()
        if token < self.token:
            return StartOutcome.FENCED
        self.token = token
        if task in self.running and self.running[task][0] == run:
            return StartOutcome.STARTED
        if run <= self._highest_run_by_task.get(task, 0):
            return StartOutcome.OUTDATED
        if until_ms < self.clock_ms():
            return StartOutcome.LATE
        self._extend_lease(until_ms)
        now_ms = _now_ms()
        self.running[task] = (run, now_ms)
        self._highest_run_by_task[task] = run
        self.history[task, run] = StartedRun(task, run, now_ms, token)
        return StartOutcome.STARTED

    def crash(self) -> None:
        """Lose all runs, ends and fences, as a process that ends and starts again."""
        self.crashed_runs.extend((task, run) for task, (run, _) in self.running.items())
        for task, (run, _) in self.running.items():
            self.history[task, run] = replace(
                self.history[task, run], ended_ms=_now_ms(), end=RunEnd.LAPSED
            )
        # Nobody took note of these ends, and nobody can any more.
        self._void_ends(_now_ms())
        self.running.clear()
        self.finished.clear()
        self._highest_run_by_task.clear()
        self._last_end_number = 0
        self.token = 0
        self.until_ms = 0
        self._clock_offset_ms = -int(_now_ms() * self._clock_rate)
        self.born += 1

    def stop(self, task: str, run: int, token: int) -> bool:
        """Stop a run and refuse later starts of it; False for an outdated token."""
        self.advance()
        if token < self.token:
            return False
        self.token = token
        self._highest_run_by_task[task] = max(
            run, self._highest_run_by_task.get(task, 0)
        )
        if task in self.running and self.running[task][0] <= run:
            self.end(task, RunEnd.STOPPED)
        return True

    async def renew(
        self, until_ms: int | None, ack_number: int, wait_ms: int, token: int
    ) -> bool:
        """Extend the lease and wait for a run to end; False for an outdated token.

        Ends up to ``ack_number`` are acknowledged and no longer listed.
        """
        if token < self.token:
            return False
        self.token = token
        self.advance()
        self.finished = [row for row in self.finished if row.number > ack_number]
        if until_ms is not None:
            self._extend_lease(until_ms)
        deadline_s = trio.current_time() + wait_ms / 1000
        born = self.born
        while not self.finished and trio.current_time() < deadline_s:
            if self.born != born:
                break
            await trio.sleep(0.01)
            self.advance()
        return True

    def rows(self) -> tuple[RunningTask, ...]:
        """Return the running tasks, with their run time in milliseconds as progress."""
        now_ms = _now_ms()
        return tuple(
            RunningTask(task, run, "", now_ms - started_ms)
            for task, (run, started_ms) in self.running.items()
        )


def _now_ms() -> int:
    return int(trio.current_time() * 1000)
