"""Translation of placer actions into worker calls, and of the answers into events."""

from __future__ import annotations

from ..core.jobs import (
    AcquireLease,
    ActionResult,
    CommandAnswered,
    CommandTask,
    Event,
    FenceAnswered,
    FenceJob,
    LeaseAnswered,
    Proof,
    ReleaseLease,
    RenewAnswered,
    RenewLeases,
    StartAnswered,
    StartTask,
)
from ..core.model import Unreachable
from ..net.interfaces import Applied, Denied, Task, TaskCommand, Worker

__all__ = ["WorkerAction", "call_worker"]

WorkerAction = (
    AcquireLease | CommandTask | FenceJob | ReleaseLease | RenewLeases | StartTask
)


async def call_worker(worker: Worker, action: WorkerAction) -> Event | None:
    """Call the worker; return the resulting event, or None if the action has none."""
    return await _CALL_BY_TYPE[type(action)](worker, action)


async def _acquire(worker: Worker, action: AcquireLease) -> Event:
    answer = await worker.acquire(action.request)
    return LeaseAnswered(action, _result(answer), _denial_reason(answer))


async def _release(worker: Worker, action: ReleaseLease) -> None:
    await worker.release(action.lease_id)


async def _renew(worker: Worker, action: RenewLeases) -> Event:
    answer = await worker.renew(action.lease_ids, action.ttl_ms)
    if isinstance(answer, Unreachable):
        return RenewAnswered(action, False)
    return RenewAnswered(action, True, answer.lost, answer.boot_id)


async def _fence(worker: Worker, action: FenceJob) -> Event:
    answer = await worker.fence(action.job_id, action.attempt)
    if isinstance(answer, Unreachable):
        return FenceAnswered(action, None)
    proof = Proof(
        answer.boot_id, answer.has_started, answer.task_state, answer.checkpoint
    )
    return FenceAnswered(action, proof)


async def _start(worker: Worker, action: StartTask) -> Event:
    task = Task(
        action.lease_id,
        action.boot_id,
        action.organisation,
        action.tasks,
        action.command,
        action.resume_from,
    )
    answer = await worker.start(task)
    return StartAnswered(action, _result(answer), _denial_reason(answer))


async def _command(worker: Worker, action: CommandTask) -> Event:
    answer = await worker.command(action.lease_id, TaskCommand(action.command.value))
    return CommandAnswered(action, _result(answer))


def _result(answer: Applied | Denied | Unreachable) -> ActionResult:
    if isinstance(answer, Applied):
        return ActionResult.APPLIED
    return ActionResult.DENIED if isinstance(answer, Denied) else ActionResult.NO_ANSWER


def _denial_reason(answer: Applied | Denied | Unreachable) -> str:
    return answer.reason if isinstance(answer, Denied) else ""


_CALL_BY_TYPE = {
    AcquireLease: _acquire,
    CommandTask: _command,
    FenceJob: _fence,
    ReleaseLease: _release,
    RenewLeases: _renew,
    StartTask: _start,
}
