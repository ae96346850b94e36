"""The promises, checked on what callers and endpoints saw."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable

from ragwortshelf.core.scheduling.fleet import RunEnd
from ragwortshelf.standins.platform_endpoint import EndpointState, StartedRun

from .callers import JobRecord

__all__ = ["check"]

CANCEL_MS = 3_000
"""After this long a cancelled job starts nothing, by the platform's pages."""


def check(
    jobs: dict[str, JobRecord],
    endpoints: Iterable[EndpointState],
    final_state_by_id: dict[str, str],
) -> list[str]:
    """Return a line for each promise that was not kept."""
    faults: list[str] = []
    runs_by_task = defaultdict(list)
    for endpoint in endpoints:
        for run in endpoint.history.values():
            runs_by_task[run.task].append(run)
    for task, runs in runs_by_task.items():
        faults += _check_task(task, sorted(runs, key=lambda run: run.started_ms))
    for job in jobs.values():
        faults += _check_job(job, runs_by_task, final_state_by_id.get(job.id, ""))
    return faults


def _check_task(task: str, runs) -> list[str]:
    faults = []
    for before, after in itertools.pairwise(runs):
        if before.ended_ms is None or after.started_ms < before.ended_ms:
            faults.append(f"{task}: runs {before.run} and {after.run} overlap")
        elif before.end is RunEnd.DONE and not _is_voided(before, after.started_ms):
            faults.append(
                f"{task}: run {after.run} started after {before.run} was done"
            )
    return faults


def _is_voided(run: StartedRun, by_ms: int) -> bool:
    """Whether the lease ran out by then, before the run's end was acknowledged."""
    return run.voided_ms is not None and run.voided_ms <= by_ms


def _check_job(job: JobRecord, runs_by_task, final_state: str) -> list[str]:
    tasks = [t for t in runs_by_task if t.startswith(f"{job.id}.")]
    if not job.is_accepted and not job.is_uncertain:
        if tasks:
            return [f"{job.id}: ran although every submission was refused"]
        return []
    if not job.is_accepted:
        return []
    if job.cancelled_ms is not None:
        limit = job.cancelled_ms + CANCEL_MS
        late = [r for t in tasks for r in runs_by_task[t] if r.started_ms > limit]
        return [f"{job.id}: {r.task} started after its cancellation" for r in late]
    if final_state == "failed" and _has_failures(tasks, runs_by_task):
        return []
    if final_state != "completed":
        return [
            f"{job.id}: accepted, and shown as {final_state or 'unknown'} at the end"
        ]
    done = sum(
        any(run.end is RunEnd.DONE for run in runs_by_task[task]) for task in tasks
    )
    # A gang's tasks are done together, though one of them may be listed as stopped.
    if done < 1:
        return [f"{job.id}: shown as completed with no task done"]
    return []


def _has_failures(tasks, runs_by_task) -> bool:
    return any(r.end is RunEnd.FAILED for t in tasks for r in runs_by_task[t])
