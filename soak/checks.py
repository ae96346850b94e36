"""Checks the scheduler's guarantees against what callers and endpoints observed."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable

from ragwortshelf.core.scheduling.listings import RunEnd
from ragwortshelf.standins.platform_endpoint import EndpointState, StartedRun

from .callers import JobRecord
from .platform_server import is_deadly

__all__ = ["EVACUATION_BOUND_MS", "find_forbidden_starts", "find_violations"]

EVACUATION_BOUND_MS = 5_000
"""Time after a request from which nothing may start in an evacuated data centre, by the
platform's specification."""

CRASHES_MAX = 3
STARTS_AFTER_CRASHES_MAX = 2
"""A task that crashes its endpoints is started at most twice more after three crashes,
by the platform's specification."""

CRASHES_BEFORE_FAILED = 2
"""Crashes under a task from which its job may be shown as failed."""

CANCEL_LIMIT_MS = 3_000
"""Time after which a cancelled job must not start any task, by the platform's
specification."""


def find_violations(
    jobs: dict[str, JobRecord],
    endpoints: Iterable[EndpointState],
    final_state_by_id: dict[str, str],
) -> list[str]:
    """Return one line for each violated guarantee."""
    violations: list[str] = []
    runs_by_task = defaultdict(list)
    crashes_by_task: Counter[str] = Counter()
    for endpoint in endpoints:
        crashes_by_task.update(task for task, _ in endpoint.crashed_runs)
        for run in endpoint.history.values():
            runs_by_task[run.task].append(run)
    for task, runs in runs_by_task.items():
        violations += _check_task(task, sorted(runs, key=lambda run: run.started_ms))
    for job in jobs.values():
        state = final_state_by_id.get(job.id, "")
        violations += _check_job(job, runs_by_task, crashes_by_task, state)
    for task, crashes in crashes_by_task.items():
        if is_deadly(task) and crashes > CRASHES_MAX + STARTS_AFTER_CRASHES_MAX:
            violations.append(f"{task}: crashed {crashes} endpoints")
    return violations


def find_forbidden_starts(
    endpoints: Iterable[EndpointState], evacuations: Iterable[tuple[str, float, float]]
) -> list[str]:
    """Return one line for each start in an evacuated data centre after the bound.

    Each evacuation is a data centre with the times of its request and its withdrawal.
    """
    evacuations = list(evacuations)
    return [
        f"{run.task}: started on {endpoint.info.id} in evacuated {data_centre}"
        for endpoint in endpoints
        for data_centre, since_ms, until_ms in evacuations
        if endpoint.info.data_centre == data_centre
        for run in endpoint.history.values()
        if since_ms + EVACUATION_BOUND_MS < run.started_ms < until_ms
    ]


def _check_task(task: str, runs) -> list[str]:
    violations = []
    for before, after in itertools.pairwise(runs):
        if before.ended_ms is None or after.started_ms < before.ended_ms:
            violations.append(f"{task}: runs {before.run} and {after.run} overlap")
        elif before.end is RunEnd.DONE and not _is_repeat_allowed(
            before, after.started_ms
        ):
            violations.append(
                f"{task}: run {after.run} started after {before.run} was done"
            )
    return violations


def _is_repeat_allowed(run: StartedRun, at_ms: int) -> bool:
    """Tell whether the task of a completed run may be started again at ``at_ms``.

    It may if the endpoint's lease expired before the end was acknowledged.
    """
    return run.voided_ms is not None and run.voided_ms <= at_ms


def _check_job(
    job: JobRecord, runs_by_task, crashes_by_task, final_state: str
) -> list[str]:
    tasks = [t for t in runs_by_task if t.startswith(f"{job.id}.")]
    if not job.is_accepted and not job.is_uncertain:
        if tasks:
            return [f"{job.id}: ran although every submission was refused"]
        return []
    if not job.is_accepted:
        return []
    if job.cancelled_ms is not None:
        limit_ms = job.cancelled_ms + CANCEL_LIMIT_MS
        late_runs = [
            r for t in tasks for r in runs_by_task[t] if r.started_ms > limit_ms
        ]
        return [f"{job.id}: {r.task} started after its cancellation" for r in late_runs]
    if final_state == "failed" and _has_failures(tasks, runs_by_task):
        return []
    most_crashes = max((crashes_by_task[task] for task in tasks), default=0)
    if final_state == "failed" and most_crashes >= CRASHES_BEFORE_FAILED:
        return []
    if final_state != "completed":
        return [
            f"{job.id}: accepted, and shown as {final_state or 'unknown'} at the end"
        ]
    completed_tasks = sum(
        any(run.end is RunEnd.DONE for run in runs_by_task[task]) for task in tasks
    )
    # The tasks of a gang complete together, but some may be recorded as stopped, so one
    # completed task suffices.
    if completed_tasks < 1:
        return [f"{job.id}: shown as completed with no task done"]
    return []


def _has_failures(tasks, runs_by_task) -> bool:
    return any(r.end is RunEnd.FAILED for t in tasks for r in runs_by_task[t])
