"""One attempt to run a job on a group of workers, on all of them or none."""

from __future__ import annotations

from ..model import JobSpec, LeaseRequest, Reason, TaskState
from ..model import WorkerState as WorkerReport
from ..streams import AttemptClaimed
from .actions import (
    AcquireLease,
    Action,
    AppendRecord,
    CommandTask,
    GangCommand,
    ObserveWorker,
    ReleaseLease,
    StartTask,
)
from .events import (
    ActionResult,
    CommandAnswered,
    FenceAnswered,
    LeaseAnswered,
    RenewAnswered,
    StartAnswered,
)
from .lease_label import LeaseLabel, encode_label
from .members import GangMember, split_tasks
from .stages import (
    CLAIM_TIMEOUT_MS,
    LAPSED_LEASE_GRACE_MS,
    LEASE_TTL_MS,
    RENEWING_STAGES,
    RETRY_INTERVAL_MS,
    TIMEOUT_MS_BY_STAGE,
    WATCHED_STAGES,
    Stage,
)

__all__ = ["Gang"]


class Gang:
    """State machine of one attempt, as its placer runs it.

    Methods that handle an event or the passing of time take the present time and return
    actions. ``stage`` tells the caller what to do next: at ``CONCLUDED`` the members
    hold all available proof of how the attempt ended, and at ``DROPPED`` no task of the
    attempt can start.

    ``claim`` holds the whole group. ``is_off_log`` says that the log was down at
    submission, so this instance arbitrates the first attempt itself, and starts it
    without a claim in the log.
    """

    def __init__(
        self,
        spec: JobSpec,
        claim: AttemptClaimed,
        stage: Stage,
        now_ms: int,
        *,
        accepted_by: str,
        is_off_log: bool = False,
        resume_from: int = 0,
    ) -> None:
        self.spec = spec
        self.claim = claim
        self.accepted_by = accepted_by
        self.is_off_log = is_off_log
        self.resume_from = resume_from
        self.reason = Reason.WORKER_LOST
        self.detail = ""
        self.failed_worker: str | None = None
        lease_id = f"{claim.job_id}/{claim.attempt}/{claim.holder}"
        parts = zip(
            claim.grants, claim.boot_ids, split_tasks(spec, claim.grants), strict=True
        )
        self.member_by_worker = {
            grant.worker: GangMember(grant, lease_id, boot_id, tasks)
            for grant, boot_id, tasks in parts
        }
        self.is_adopted = stage is not Stage.LEASING
        self.started_ms: int | None = None
        self.peak_memory_bytes = 0
        self._checkpoint = resume_from
        self._checkpoint_seen_ms: int | None = None
        self.is_throttled = False
        self._append_retry_at_ms: int | None = None
        self.stage = stage
        self.stage_since_ms = now_ms
        self._enter_stage(stage, now_ms)
        if stage is Stage.RUNNING:
            self._assume_leases(now_ms)

    @property
    def members(self) -> tuple[GangMember, ...]:
        """Members in the order of `canonical_grants`."""
        return tuple(self.member_by_worker.values())

    @property
    def lease_deadline_ms(self) -> int:
        """Time at which the first lease of the group lapses."""
        return min(member.deadline_ms for member in self.members)

    @property
    def label(self) -> bytes:
        """Encoded label, which is the same for all leases of the group."""
        return encode_label(
            LeaseLabel(
                self.spec,
                self.accepted_by,
                self.claim.grants,
                self.claim.boot_ids,
                self.is_off_log,
            )
        )

    @property
    def may_have_started(self) -> bool:
        """Whether a task may have started; valid once the gang is concluded.

        A placer that sent start requests itself assumes a start unless every member
        proves that there was none. For an adopted gang, a start is assumed only if a
        member shows that there was one.
        """
        if self.is_adopted:
            return any(
                member.is_started or (member.proof and member.proof.has_started)
                for member in self.members
            )
        return not all(member.is_proven_not_started for member in self.members)

    @property
    def group_checkpoint(self) -> int:
        """The newest checkpoint that all members are known to have reached."""
        return self._checkpoint

    @property
    def lost_ms(self) -> int | None:
        """Milliseconds run since the last group checkpoint, or None if unknown.

        Valid once the gang is concluded. For an adopted gang it is unknown until a new
        group checkpoint has been observed.
        """
        if self._checkpoint_seen_ms is None:
            return None
        if min(member.final_checkpoint for member in self.members) > self._checkpoint:
            return 0
        return self.stage_since_ms - self._checkpoint_seen_ms

    # Leases and claim

    def handle_lease_answer(self, event: LeaseAnswered, now_ms: int) -> list[Action]:
        """Request the next lease, retry after no answer, or drop the attempt."""
        member = self.member_by_worker[event.action.worker]
        if self.stage is not Stage.LEASING or not member.is_awaiting_answer:
            return []
        member.is_awaiting_answer = False
        if event.result is ActionResult.DENIED:
            return self.drop(f"{event.action.worker}: {event.reason}", member.worker)
        if event.result is ActionResult.NO_ANSWER:
            member.retry_at_ms = now_ms + RETRY_INTERVAL_MS
            return self.tick(now_ms)
        member.is_leased = True
        member.deadline_ms = member.requested_ms + LEASE_TTL_MS
        return self.tick(now_ms)

    def confirm_claim(self, now_ms: int) -> list[Action]:
        """Start the tasks after the claim was read back as the winning one.

        The gang ends instead if a lease lapsed meanwhile.
        """
        if self.stage is not Stage.CLAIMING:
            return []
        if now_ms >= self.lease_deadline_ms:
            return self.end(Reason.INSTANCE_LOST, "leases lapsed before start", now_ms)
        self._enter_stage(Stage.STARTING, now_ms)
        return self.tick(now_ms)

    def handle_claim_append(self, is_appended: bool, now_ms: int) -> None:
        """Schedule another append of the claim, soon if the last may have failed."""
        self._append_retry_at_ms = now_ms + (
            CLAIM_TIMEOUT_MS if is_appended else RETRY_INTERVAL_MS
        )

    def drop(self, detail: str, failed_worker: str | None = None) -> list[Action]:
        """Give up the attempt before any start, and release all requested leases."""
        self.stage = Stage.DROPPED
        self.detail = detail
        self.failed_worker = failed_worker
        return self.release()

    def release(self) -> list[Action]:
        """Return actions that release the leases of all members."""
        return [ReleaseLease(member.worker, member.lease_id) for member in self.members]

    # Start

    def handle_start_answer(self, event: StartAnswered, now_ms: int) -> list[Action]:
        """Record a start, retry after no answer, or end the gang after a denial."""
        member = self.member_by_worker[event.action.worker]
        if self.stage is not Stage.STARTING or not member.is_awaiting_answer:
            return []
        member.is_awaiting_answer = False
        if event.result is ActionResult.DENIED:
            self.failed_worker = member.worker
            detail = f"{member.worker} denied the start: {event.reason}"
            return self.end(Reason.WORKER_LOST, detail, now_ms)
        if event.result is ActionResult.NO_ANSWER:
            member.retry_at_ms = now_ms + RETRY_INTERVAL_MS
            return []
        member.is_started = True
        if all(item.is_started for item in self.members):
            self._enter_stage(Stage.RUNNING, now_ms)
        return []

    # Monitoring of a running gang

    def handle_report(
        self, report: WorkerReport, requested_ms: int, now_ms: int
    ) -> list[Action]:
        """Update a member from its report; end the gang if the reports require it.

        It ends once a member is lost or has failed, or all have succeeded. Reports
        requested before the present stage began are ignored.
        """
        member = self.member_by_worker.get(report.worker)
        if member is None or requested_ms < self.stage_since_ms:
            return []
        if self.stage is Stage.ADOPTING:
            member.observe(report, requested_ms)
            return self._finish_adoption(now_ms)
        if self.stage not in WATCHED_STAGES:
            return []
        member.observe(report, requested_ms)
        checkpoint = min(item.checkpoint for item in self.members)
        if checkpoint > self._checkpoint:
            self._checkpoint = checkpoint
            self._checkpoint_seen_ms = now_ms
        return self._check_members(now_ms)

    def handle_renewal(self, event: RenewAnswered, now_ms: int) -> list[Action]:
        """Extend the lease's deadline, or observe the worker if the lease is lost."""
        member = self.member_by_worker.get(event.action.worker)
        if member is None or self.stage not in RENEWING_STAGES:
            return []
        if not event.is_answered:
            return []
        if event.boot_id == member.boot_id and member.lease_id not in event.lost:
            requested_ms = event.action.requested_ms
            member.deadline_ms = max(member.deadline_ms, requested_ms + LEASE_TTL_MS)
            return []
        return [ObserveWorker(member.worker)]

    def members_to_renew(self) -> tuple[GangMember, ...]:
        """Return the members whose leases are renewed at the present stage."""
        if self.stage not in RENEWING_STAGES:
            return ()
        return tuple(member for member in self.members if not member.is_lost)

    # Reclaim and end

    def begin_checkpoint(
        self, deadline_ms: int, reason: Reason, detail: str, now_ms: int
    ):
        """Begin to checkpoint a running gang.

        It ends once all members have written their checkpoints, or at ``deadline_ms``.
        """
        if self.stage is not Stage.RUNNING:
            return []
        self.reason = reason
        self.detail = detail
        self._enter_stage(Stage.CHECKPOINTING, now_ms)
        self._stage_deadline_ms = deadline_ms
        return self.tick(now_ms)

    def handle_command_answer(
        self, event: CommandAnswered, now_ms: int
    ) -> list[Action]:
        """Stop the gang once every member has written its checkpoint."""
        member = self.member_by_worker[event.action.worker]
        if self.stage is not Stage.CHECKPOINTING or not member.is_awaiting_answer:
            return []
        member.is_awaiting_answer = False
        member.is_checkpointed = event.result is ActionResult.APPLIED
        member.retry_at_ms = now_ms + RETRY_INTERVAL_MS
        return self.tick(now_ms)

    def end(self, reason: Reason, detail: str, now_ms: int) -> list[Action]:
        """End the gang by fencing every member.

        After a fence the attempt cannot start any more, so the worker's statement is
        proof of whether it did.
        """
        if self.stage in (Stage.ENDING, Stage.CONCLUDED, Stage.DROPPED):
            return []
        self.reason = reason
        self.detail = detail
        last_deadline_ms = max(member.deadline_ms for member in self.members)
        self._enter_stage(Stage.ENDING, now_ms)
        # A worker that cannot be reached has ended its lease by then.
        self._stage_deadline_ms = max(self._stage_deadline_ms, last_deadline_ms)
        return self.tick(now_ms)

    def handle_fence_answer(self, event: FenceAnswered, now_ms: int) -> list[Action]:
        """Store the proof, and conclude once every member has one."""
        member = self.member_by_worker[event.action.worker]
        if self.stage is not Stage.ENDING or not member.is_awaiting_answer:
            return []
        member.is_awaiting_answer = False
        member.proof = event.proof
        member.retry_at_ms = now_ms + RETRY_INTERVAL_MS
        return self.tick(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Return actions that are due, and handle deadlines that have passed."""
        return _TICK_BY_STAGE.get(self.stage, _no_actions)(self, now_ms)

    # One method for each stage

    def _enter_stage(self, stage: Stage, now_ms: int) -> None:
        self.stage = stage
        self.stage_since_ms = now_ms
        self._stage_deadline_ms = now_ms + TIMEOUT_MS_BY_STAGE.get(stage, 0)
        if stage is Stage.RUNNING and self.started_ms is None:
            self.started_ms = now_ms
            if not self.is_adopted:
                self._checkpoint_seen_ms = now_ms
        for member in self.members:
            member.reset_requests()

    def _assume_leases(self, now_ms: int) -> None:
        """Treat adopted members as started, with leases that must be confirmed now.

        The deadlines are unknown, so every member is due for observation and renewal.
        """
        for member in self.members:
            member.deadline_ms = now_ms
            member.is_started = True

    def _tick_leasing(self, now_ms: int) -> list[Action]:
        held = [member for member in self.members if member.is_leased]
        if any(now_ms >= member.deadline_ms for member in held):
            return self.drop("a lease lapsed before the group was whole")
        for member in self.members:
            if member.is_leased:
                continue
            if now_ms >= self._stage_deadline_ms:
                return self.drop(f"{member.worker}: no answer", member.worker)
            if not member.is_ready(now_ms):
                return []
            member.mark_requested(now_ms)
            return [AcquireLease(member.worker, self._lease_request(member))]
        if self.is_off_log:
            self._enter_stage(Stage.STARTING, now_ms)
            return self.tick(now_ms)
        self._enter_stage(Stage.CLAIMING, now_ms)
        self._append_retry_at_ms = now_ms + CLAIM_TIMEOUT_MS
        return [AppendRecord(self.claim)]

    def _lease_request(self, member: GangMember) -> LeaseRequest:
        return LeaseRequest(
            self.claim.job_id,
            self.claim.attempt,
            self.claim.holder,
            member.grant.accelerators,
            LEASE_TTL_MS,
            self.label,
        )

    def _tick_claiming(self, now_ms: int) -> list[Action]:
        if now_ms >= min(self._stage_deadline_ms, self.lease_deadline_ms):
            return self.drop("the claim was not read back in time")
        if now_ms < self._append_retry_at_ms:
            return []
        self._append_retry_at_ms = now_ms + CLAIM_TIMEOUT_MS
        return [AppendRecord(self.claim)]

    def _tick_starting(self, now_ms: int) -> list[Action]:
        if now_ms >= min(self._stage_deadline_ms, self.lease_deadline_ms):
            unstarted = [item.worker for item in self.members if not item.is_started]
            self.failed_worker = unstarted[0]
            return self.end(Reason.WORKER_LOST, f"no start on {unstarted[0]}", now_ms)
        actions: list[Action] = []
        for member in self.members:
            if member.is_started or not member.is_ready(now_ms):
                continue
            member.mark_requested(now_ms)
            actions.append(
                StartTask(
                    member.worker,
                    self.claim.job_id,
                    self.claim.attempt,
                    member.lease_id,
                    member.boot_id,
                    self.spec.organisation,
                    member.tasks,
                    self.spec.command,
                    self.resume_from,
                )
            )
        return actions

    def _finish_adoption(self, now_ms: int) -> list[Action]:
        if not all(member.is_observed for member in self.members):
            return []
        if all(member.is_running_or_succeeded for member in self.members):
            self._enter_stage(Stage.RUNNING, now_ms)
            return self._check_members(now_ms)
        return []

    def _tick_adopting(self, now_ms: int) -> list[Action]:
        if now_ms < self._stage_deadline_ms:
            return []
        if any(member.state is TaskState.FAILED for member in self.members):
            return self.end(Reason.TASK_FAILED, "a task failed", now_ms)
        return self.end(Reason.INSTANCE_LOST, "half-made placement", now_ms)

    def _check_members(self, now_ms: int) -> list[Action]:
        for member in self.members:
            if member.state is TaskState.FAILED:
                self.failed_worker = member.worker
                detail = f"a task failed on {member.worker}"
                return self.end(Reason.TASK_FAILED, detail, now_ms)
        for member in self.members:
            if member.is_lost:
                self.failed_worker = member.worker
                detail = f"lost the lease on {member.worker}"
                return self.end(Reason.WORKER_LOST, detail, now_ms)
        if all(member.state is TaskState.SUCCEEDED for member in self.members):
            return self.end(Reason.TASK_SUCCEEDED, "", now_ms)
        return []

    def _tick_running(self, now_ms: int) -> list[Action]:
        """Observe members past their deadline before they are considered lost.

        Their leases may still be live if it was this process that paused.
        """
        actions: list[Action] = []
        for member in self.members:
            if now_ms < member.deadline_ms:
                member.lapsed_at_ms = None
            elif member.lapsed_at_ms is None:
                member.lapsed_at_ms = now_ms
                actions.append(ObserveWorker(member.worker))
            elif now_ms >= member.lapsed_at_ms + LAPSED_LEASE_GRACE_MS:
                member.is_lost = True
        return actions + self._check_members(now_ms)

    def _tick_checkpointing(self, now_ms: int) -> list[Action]:
        actions = self._tick_running(now_ms)
        if self.stage is not Stage.CHECKPOINTING:
            return actions
        is_checkpointed = all(member.is_checkpointed for member in self.members)
        if is_checkpointed or now_ms >= self._stage_deadline_ms:
            return actions + self.end(self.reason, self.detail, now_ms)
        for member in self.members:
            if member.is_checkpointed or not member.is_ready(now_ms):
                continue
            member.mark_requested(now_ms)
            actions.append(
                CommandTask(
                    member.worker,
                    self.claim.job_id,
                    self.claim.attempt,
                    member.lease_id,
                    GangCommand.CHECKPOINT,
                )
            )
        return actions

    def _tick_ending(self, now_ms: int) -> list[Action]:
        missing = [member for member in self.members if member.proof is None]
        if not missing or now_ms >= self._stage_deadline_ms:
            self.stage = Stage.CONCLUDED
            return []
        return [
            member.fence(self.claim.job_id, self.claim.attempt, now_ms)
            for member in missing
            if member.is_ready(now_ms)
        ]


def _no_actions(gang: Gang, now_ms: int) -> list[Action]:
    return []


_TICK_BY_STAGE = {
    Stage.LEASING: Gang._tick_leasing,
    Stage.CLAIMING: Gang._tick_claiming,
    Stage.STARTING: Gang._tick_starting,
    Stage.ADOPTING: Gang._tick_adopting,
    Stage.RUNNING: Gang._tick_running,
    Stage.CHECKPOINTING: Gang._tick_checkpointing,
    Stage.ENDING: Gang._tick_ending,
}
