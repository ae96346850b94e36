"""Records that end an attempt or a job, decided from what workers have proved."""

from __future__ import annotations

from ..model import Configuration, JobPhase, Reason, TaskState
from ..releases import rule_value
from ..streams import AttemptEnded, JobEnded
from .gang import Gang
from .job_entry import JobEntry

__all__ = ["ending_record", "ending_record_for_waiting_job"]

JOB_ENDING_REASONS = frozenset(
    {
        Reason.CANCELLED,
        Reason.CAPACITY_WITHDRAWN,
        Reason.DEADLINE_PASSED,
        Reason.NEVER_FITS,
        Reason.ORGANISATION_WITHDRAWN,
        Reason.OVER_DECLARED,
    }
)


def ending_record(
    gang: Gang, entry: JobEntry, configuration: Configuration, wall_ms: int
) -> AttemptEnded | JobEnded:
    """Return the record that ends the attempt of ``gang``, or the whole job.

    A job ends as not run only if it is proved that none of its tasks started: every
    worker of the claim, still in the boot that the claim names, has fenced the attempt
    and reports no start, and no earlier attempt can have started a task. Without that
    proof a job that is not idempotent ends as interrupted, and an idempotent one is
    retried within its retry budget.
    """
    is_first_start = not entry.has_started
    states = [member.final_state(is_first_start) for member in gang.members]
    if all(state is TaskState.SUCCEEDED for state in states):
        return _job_end_record(
            gang, JobPhase.COMPLETED, Reason.TASK_SUCCEEDED, "", wall_ms
        )
    if all(member.is_proven_not_started for member in gang.members):
        return _not_started_record(gang, entry, wall_ms)
    if gang.reason in JOB_ENDING_REASONS:
        return _job_end_record(
            gang, JobPhase.INTERRUPTED, gang.reason, gang.detail, wall_ms
        )
    if TaskState.FAILED in states:
        return _failed_record(gang, entry, configuration, wall_ms)
    if not entry.spec.is_idempotent:
        reason = gang.reason
        if reason is Reason.TASK_SUCCEEDED:
            reason = Reason.WORKER_LOST
        return _job_end_record(gang, JobPhase.INTERRUPTED, reason, gang.detail, wall_ms)
    is_loss = gang.reason is not Reason.RECLAIMED
    if is_loss and entry.attempts_lost + 1 >= _attempts_allowed(configuration):
        return _job_end_record(
            gang,
            JobPhase.INTERRUPTED,
            Reason.RETRY_BUDGET_SPENT,
            gang.detail,
            wall_ms,
        )
    return _attempt_end_record(gang, entry, gang.reason, True, wall_ms)


def ending_record_for_waiting_job(
    entry: JobEntry, reason: Reason, detail: str, wall_ms: int
) -> JobEnded:
    """Return the record that ends a job without an open attempt.

    The record takes effect only if no new attempt is claimed before it in the log.
    """
    phase = JobPhase.INTERRUPTED if entry.has_started else JobPhase.NOT_RUN
    if entry.failed_workers and reason is Reason.FAILS_EVERYWHERE:
        phase = JobPhase.COMPLETED
    return JobEnded(entry.spec.job_id, entry.attempt, phase, reason, detail, wall_ms)


def _not_started_record(
    gang: Gang, entry: JobEntry, wall_ms: int
) -> AttemptEnded | JobEnded:
    if gang.reason not in JOB_ENDING_REASONS:
        return _attempt_end_record(gang, entry, gang.reason, False, wall_ms)
    phase = JobPhase.INTERRUPTED if entry.has_started else JobPhase.NOT_RUN
    return _job_end_record(gang, phase, gang.reason, gang.detail, wall_ms)


def _failed_record(
    gang: Gang, entry: JobEntry, configuration: Configuration, wall_ms: int
) -> AttemptEnded | JobEnded:
    """Return the record for an attempt with a failed task.

    An idempotent job is retried within its retry budget, since the worker may be at
    fault. Once the budget is spent, the failure is attributed to the job if its failed
    attempts used more than one worker.
    """
    is_last = entry.attempts_lost + 1 >= _attempts_allowed(configuration)
    if entry.spec.is_idempotent and not is_last:
        return _attempt_end_record(gang, entry, Reason.TASK_FAILED, True, wall_ms)
    workers = set(gang.member_by_worker).union(entry.failed_workers)
    fails_everywhere = entry.spec.is_idempotent and len(workers) > 1
    reason = Reason.FAILS_EVERYWHERE if fails_everywhere else Reason.TASK_FAILED
    return _job_end_record(gang, JobPhase.COMPLETED, reason, gang.detail, wall_ms)


def _attempt_end_record(
    gang: Gang, entry: JobEntry, reason: Reason, has_started: bool, wall_ms: int
) -> AttemptEnded:
    # The group can resume only from a checkpoint that every member has reached.
    checkpoint = min(member.final_checkpoint for member in gang.members)
    return AttemptEnded(
        gang.claim.job_id,
        gang.claim.attempt,
        has_started,
        reason,
        max(checkpoint, entry.checkpoint),
        wall_ms,
        gang.lost_ms if has_started else 0,
    )


def _job_end_record(
    gang: Gang, phase: JobPhase, reason: Reason, detail: str, wall_ms: int
) -> JobEnded:
    return JobEnded(
        gang.claim.job_id, gang.claim.attempt, phase, reason, detail, wall_ms
    )


def _attempts_allowed(configuration: Configuration) -> int:
    return int(rule_value(configuration, "retry_budget"))
