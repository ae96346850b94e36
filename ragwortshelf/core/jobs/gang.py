"""One attempt of one job: leases, claim, start, watch and end, all or nothing."""

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
    CommandAnswered,
    FenceAnswered,
    LeaseAnswered,
    RenewAnswered,
    StartAnswered,
    Verdict,
)
from .label import LeaseLabel, encode_label
from .members import Member, deal_tasks
from .stages import (
    CLAIM_TIMEOUT_MS,
    LEASE_TTL_MS,
    LOST_AFTER_MS,
    RENEWING_STAGES,
    RETRY_EVERY_MS,
    TIMEOUT_MS_BY_STAGE,
    WATCHED_STAGES,
    Stage,
)

__all__ = ["Gang"]


class Gang:
    """The placer's side of one attempt.

    Every method takes the present time and returns actions. ``stage`` tells the
    caller what to do next: at ``CONCLUDED`` all that can be proved is in the members,
    and at ``DROPPED`` nothing of the attempt may run.

    ``claim`` holds the whole group. ``is_off_log`` says that this instance arbitrates
    the first attempt itself because the log was down at submission.
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
        self.blamed_worker: str | None = None
        lease_id = f"{claim.job_id}/{claim.attempt}/{claim.holder}"
        parts = zip(
            claim.grants, claim.boot_ids, deal_tasks(spec, claim.grants), strict=True
        )
        self.member_by_worker = {
            grant.worker: Member(grant, lease_id, boot_id, tasks)
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
        self._enter(stage, now_ms)
        if stage is Stage.RUNNING:
            self._assume_leases(now_ms)

    @property
    def members(self) -> tuple[Member, ...]:
        """Members in canonical order."""
        return tuple(self.member_by_worker.values())

    @property
    def lease_deadline_ms(self) -> int:
        """When the first lease of the group lapses."""
        return min(member.deadline_ms for member in self.members)

    @property
    def label(self) -> bytes:
        """The label of its leases."""
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
        """Whether a task may have started, to be asked once it is concluded.

        Who asked for the starts needs proof that there was none; who only found the
        leases needs a sign that there was one.
        """
        if self.is_adopted:
            return any(
                member.is_started or (member.proof and member.proof.has_started)
                for member in self.members
            )
        return not all(member.is_proven_not_started for member in self.members)

    @property
    def checkpoint_seen(self) -> int:
        """The newest whole checkpoint of the group that was seen."""
        return self._checkpoint

    @property
    def lost_ms(self) -> int | None:
        """How long it ran since its last whole checkpoint; None if that is unknown.

        To be asked once it is concluded. An adopted gang knows from the first
        checkpoint on that it sees.
        """
        if self._checkpoint_seen_ms is None:
            return None
        if min(member.final_checkpoint for member in self.members) > self._checkpoint:
            return 0
        return self.stage_since_ms - self._checkpoint_seen_ms

    # Leases and claim

    def lease_answered(self, event: LeaseAnswered, now_ms: int) -> list[Action]:
        """Go on with the next worker, ask again, or roll back."""
        member = self.member_by_worker[event.action.worker]
        if self.stage is not Stage.LEASING or not member.is_asked:
            return []
        member.is_asked = False
        if event.verdict is Verdict.DENIED:
            return self.drop(f"{event.action.worker}: {event.reason}", member.worker)
        if event.verdict is Verdict.NO_ANSWER:
            member.retry_at_ms = now_ms + RETRY_EVERY_MS
            return self.tick(now_ms)
        member.is_held = True
        member.deadline_ms = member.asked_ms + LEASE_TTL_MS
        return self.tick(now_ms)

    def claim_won(self, now_ms: int) -> list[Action]:
        """The claim was read back as the winning one."""
        if self.stage is not Stage.CLAIMING:
            return []
        if now_ms >= self.lease_deadline_ms:
            return self.end(Reason.INSTANCE_LOST, "leases lapsed before start", now_ms)
        self._enter(Stage.STARTING, now_ms)
        return self.tick(now_ms)

    def claim_appended(self, is_in: bool, now_ms: int) -> None:
        """An append of the claim was answered; append again if it may be missing."""
        self._append_retry_at_ms = now_ms + (
            CLAIM_TIMEOUT_MS if is_in else RETRY_EVERY_MS
        )

    def drop(self, detail: str, blamed_worker: str | None = None) -> list[Action]:
        """Give the attempt up before any start: release whatever was asked for."""
        self.stage = Stage.DROPPED
        self.detail = detail
        self.blamed_worker = blamed_worker
        return self.release()

    def release(self) -> list[Action]:
        """Return the actions that end and forget all leases."""
        return [ReleaseLease(member.worker, member.lease_id) for member in self.members]

    # Start

    def start_answered(self, event: StartAnswered, now_ms: int) -> list[Action]:
        """Count a started member, ask again, or stop everything."""
        member = self.member_by_worker[event.action.worker]
        if self.stage is not Stage.STARTING or not member.is_asked:
            return []
        member.is_asked = False
        if event.verdict is Verdict.DENIED:
            self.blamed_worker = member.worker
            detail = f"{member.worker} denied the start: {event.reason}"
            return self.end(Reason.WORKER_LOST, detail, now_ms)
        if event.verdict is Verdict.NO_ANSWER:
            member.retry_at_ms = now_ms + RETRY_EVERY_MS
            return []
        member.is_started = True
        if all(item.is_started for item in self.members):
            self._enter(Stage.RUNNING, now_ms)
        return []

    # Watching a running gang

    def observed(
        self, report: WorkerReport, asked_ms: int, now_ms: int
    ) -> list[Action]:
        """Take over what a worker says; end the gang if a member is lost or failed."""
        member = self.member_by_worker.get(report.worker)
        if member is None or asked_ms < self.stage_since_ms:
            return []
        if self.stage is Stage.ADOPTING:
            member.observe(report, asked_ms)
            return self._adopt(now_ms)
        if self.stage not in WATCHED_STAGES:
            return []
        member.observe(report, asked_ms)
        checkpoint = min(item.checkpoint for item in self.members)
        if checkpoint > self._checkpoint:
            self._checkpoint = checkpoint
            self._checkpoint_seen_ms = now_ms
        return self._judge(now_ms)

    def renewed(self, event: RenewAnswered, now_ms: int) -> list[Action]:
        """Move the lease's deadline, or look at the worker if the lease is lost."""
        member = self.member_by_worker.get(event.action.worker)
        if member is None or self.stage not in RENEWING_STAGES:
            return []
        if not event.is_answered:
            return []
        if event.boot_id == member.boot_id and member.lease_id not in event.lost:
            asked_ms = event.action.asked_ms
            member.deadline_ms = max(member.deadline_ms, asked_ms + LEASE_TTL_MS)
            return []
        return [ObserveWorker(member.worker)]

    def renewable(self) -> tuple[Member, ...]:
        """Return the members whose leases this placer keeps alive."""
        if self.stage not in RENEWING_STAGES:
            return ()
        return tuple(member for member in self.members if not member.is_lost)

    # Reclaim and end

    def checkpoint(self, deadline_ms: int, reason: Reason, detail: str, now_ms: int):
        """Checkpoint the running gang, and stop it by ``deadline_ms``."""
        if self.stage is not Stage.RUNNING:
            return []
        self.reason = reason
        self.detail = detail
        self._enter(Stage.CHECKPOINTING, now_ms)
        self._stage_deadline_ms = deadline_ms
        return self.tick(now_ms)

    def command_answered(self, event: CommandAnswered, now_ms: int) -> list[Action]:
        """Stop the gang once every member has its checkpoint."""
        member = self.member_by_worker[event.action.worker]
        if self.stage is not Stage.CHECKPOINTING or not member.is_asked:
            return []
        member.is_asked = False
        member.is_done = event.verdict is Verdict.APPLIED
        member.retry_at_ms = now_ms + RETRY_EVERY_MS
        return self.tick(now_ms)

    def end(self, reason: Reason, detail: str, now_ms: int) -> list[Action]:
        """Fence every member, so that what they state is proof."""
        if self.stage in (Stage.ENDING, Stage.CONCLUDED, Stage.DROPPED):
            return []
        self.reason = reason
        self.detail = detail
        last_deadline_ms = max(member.deadline_ms for member in self.members)
        self._enter(Stage.ENDING, now_ms)
        # A worker that cannot be asked has ended its lease by then.
        self._stage_deadline_ms = max(self._stage_deadline_ms, last_deadline_ms)
        return self.tick(now_ms)

    def fence_answered(self, event: FenceAnswered, now_ms: int) -> list[Action]:
        """Keep the proof; conclude when all are there."""
        member = self.member_by_worker[event.action.worker]
        if self.stage is not Stage.ENDING or not member.is_asked:
            return []
        member.is_asked = False
        member.proof = event.proof
        member.retry_at_ms = now_ms + RETRY_EVERY_MS
        return self.tick(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Send what is due and act on deadlines that have passed."""
        return _TICK_BY_STAGE.get(self.stage, _nothing)(self, now_ms)

    # Private: one method a stage

    def _enter(self, stage: Stage, now_ms: int) -> None:
        self.stage = stage
        self.stage_since_ms = now_ms
        self._stage_deadline_ms = now_ms + TIMEOUT_MS_BY_STAGE.get(stage, 0)
        if stage is Stage.RUNNING and self.started_ms is None:
            self.started_ms = now_ms
            if not self.is_adopted:
                self._checkpoint_seen_ms = now_ms
        for member in self.members:
            member.reset_asking()

    def _assume_leases(self, now_ms: int) -> None:
        """Watch the leases of an adopted gang as if they were renewed just now."""
        for member in self.members:
            member.deadline_ms = now_ms
            member.is_started = True

    def _tick_leasing(self, now_ms: int) -> list[Action]:
        held = [member for member in self.members if member.is_held]
        if any(now_ms >= member.deadline_ms for member in held):
            return self.drop("a lease lapsed before the group was whole")
        for member in self.members:
            if member.is_held:
                continue
            if now_ms >= self._stage_deadline_ms:
                return self.drop(f"{member.worker}: no answer", member.worker)
            if not member.is_ready(now_ms):
                return []
            member.ask(now_ms)
            return [AcquireLease(member.worker, self._lease_request(member))]
        if self.is_off_log:
            self._enter(Stage.STARTING, now_ms)
            return self.tick(now_ms)
        self._enter(Stage.CLAIMING, now_ms)
        self._append_retry_at_ms = now_ms + CLAIM_TIMEOUT_MS
        return [AppendRecord(self.claim)]

    def _lease_request(self, member: Member) -> LeaseRequest:
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
            slow = [item.worker for item in self.members if not item.is_started]
            self.blamed_worker = slow[0]
            return self.end(Reason.WORKER_LOST, f"no start on {slow[0]}", now_ms)
        actions: list[Action] = []
        for member in self.members:
            if member.is_started or not member.is_ready(now_ms):
                continue
            member.ask(now_ms)
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

    def _adopt(self, now_ms: int) -> list[Action]:
        if not all(member.is_seen for member in self.members):
            return []
        if all(member.is_going for member in self.members):
            self._enter(Stage.RUNNING, now_ms)
            return self._judge(now_ms)
        return []

    def _tick_adopting(self, now_ms: int) -> list[Action]:
        if now_ms < self._stage_deadline_ms:
            return []
        if any(member.state is TaskState.FAILED for member in self.members):
            return self.end(Reason.TASK_FAILED, "a task failed", now_ms)
        return self.end(Reason.INSTANCE_LOST, "half-made placement", now_ms)

    def _judge(self, now_ms: int) -> list[Action]:
        for member in self.members:
            if member.state is TaskState.FAILED:
                self.blamed_worker = member.worker
                detail = f"a task failed on {member.worker}"
                return self.end(Reason.TASK_FAILED, detail, now_ms)
        for member in self.members:
            if member.is_lost:
                self.blamed_worker = member.worker
                detail = f"lost the lease on {member.worker}"
                return self.end(Reason.WORKER_LOST, detail, now_ms)
        if all(member.state is TaskState.SUCCEEDED for member in self.members):
            return self.end(Reason.TASK_SUCCEEDED, "", now_ms)
        return []

    def _tick_running(self, now_ms: int) -> list[Action]:
        """Look again at members past their deadline: a pause alone loses nothing."""
        actions: list[Action] = []
        for member in self.members:
            if now_ms < member.deadline_ms:
                member.lapsed_at_ms = None
            elif member.lapsed_at_ms is None:
                member.lapsed_at_ms = now_ms
                actions.append(ObserveWorker(member.worker))
            elif now_ms >= member.lapsed_at_ms + LOST_AFTER_MS:
                member.is_lost = True
        return actions + self._judge(now_ms)

    def _tick_checkpointing(self, now_ms: int) -> list[Action]:
        actions = self._tick_running(now_ms)
        if self.stage is not Stage.CHECKPOINTING:
            return actions
        is_done = all(member.is_done for member in self.members)
        if is_done or now_ms >= self._stage_deadline_ms:
            return actions + self.end(self.reason, self.detail, now_ms)
        for member in self.members:
            if member.is_done or not member.is_ready(now_ms):
                continue
            member.ask(now_ms)
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


def _nothing(gang: Gang, now_ms: int) -> list[Action]:
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
