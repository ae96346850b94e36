"""HTTP adapter for one worker."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from urllib.parse import quote

from ..core.model import (
    Lease,
    LeaseRequest,
    TaskState,
    Unreachable,
    UsageReport,
    WorkerState,
)
from .interfaces import (
    Applied,
    Denied,
    FenceProof,
    RenewalAnswer,
    Task,
    TaskCommand,
    UsagePage,
    Worker,
)
from .json_service import JsonAnswer, JsonService

__all__ = ["HttpWorker"]


class HttpWorker(Worker):
    """Client of the worker at ``address`` (``IP:port``).

    The calls are described in docs/standins.md.
    """

    def __init__(self, address: str, *, timeout_ms: int = 1_500):
        self._service = JsonService(address, connections=6, timeout_ms=timeout_ms)
        self._timeout_ms = timeout_ms

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._service.aclose()

    async def describe(self) -> WorkerState | Unreachable:
        """Read the worker's capacity, leases and task states."""
        return _parse(await self._service.get("/state"), _parse_worker_state)

    async def wait_for_change(
        self, version: str, *, wait_ms: int
    ) -> bool | Unreachable:
        """Return True once the state's version is not ``version``, else False."""
        answer = await self._service.get(
            f"/changes?version={quote(version)}&wait_ms={wait_ms}",
            timeout_ms=wait_ms + self._timeout_ms,
        )
        return _parse(answer, lambda a: a.fields["version"] != version)

    async def acquire(self, request: LeaseRequest) -> Applied | Denied | Unreachable:
        """Take accelerators under a lease; repeating the same request is harmless."""
        fields = {
            "job_id": request.job_id,
            "attempt": request.attempt,
            "holder": request.holder,
            "accelerators": list(request.accelerators),
            "ttl_ms": request.ttl_ms,
            "label": b64encode(request.label).decode(),
        }
        return _parse(await self._service.post("/leases", fields), _parse_outcome)

    async def renew(
        self, lease_ids: tuple[str, ...], ttl_ms: int
    ) -> RenewalAnswer | Unreachable:
        """Extend leases in one message, including those of other holders."""
        fields = {"lease_ids": list(lease_ids), "ttl_ms": ttl_ms}
        return _parse(await self._service.post("/renewals", fields), _parse_renewal)

    async def release(self, lease_id: str) -> Applied | Unreachable:
        """End a lease, stop its tasks and remove it."""
        answer = await self._service.post("/releases", {"lease_id": lease_id})
        return _parse(answer, lambda _: Applied())

    async def fence(self, job_id: str, attempt: int) -> FenceProof | Unreachable:
        """Fence off the job's attempts up to ``attempt`` and end their leases."""
        fields = {"job_id": job_id, "attempt": attempt}
        return _parse(await self._service.post("/fences", fields), _parse_fence_proof)

    async def start(self, task: Task) -> Applied | Denied | Unreachable:
        """Start the tasks of a lease; repeating the same start is harmless."""
        fields = {
            "lease_id": task.lease_id,
            "boot_id": task.boot_id,
            "organisation": task.organisation,
            "tasks": list(task.tasks),
            "command": task.command,
            "resume_from": task.resume_from,
        }
        return _parse(await self._service.post("/tasks", fields), _parse_outcome)

    async def command(
        self, lease_id: str, command: TaskCommand
    ) -> Applied | Denied | Unreachable:
        """Checkpoint, throttle, resume or stop the tasks of a lease."""
        fields = {"lease_id": lease_id, "command": command.value}
        return _parse(await self._service.post("/commands", fields), _parse_outcome)

    async def usage(self, cursor: int, *, limit: int) -> UsagePage | Unreachable:
        """Read the usage reports after ``cursor``; they may be late or repeated."""
        answer = await self._service.get(f"/usage?cursor={cursor}&limit={limit}")
        return _parse(answer, _parse_usage_page)


def _parse(answer: JsonAnswer | Unreachable, parse: Callable[[JsonAnswer], object]):
    if isinstance(answer, Unreachable):
        return answer
    try:
        return parse(answer)
    except (KeyError, TypeError, ValueError) as error:
        return Unreachable(f"unexpected answer: {error!r}")


def _parse_outcome(answer: JsonAnswer) -> Applied | Denied:
    if answer.status == 200:
        return Applied()
    return Denied(answer.fields["reason"], str(answer.fields.get("detail", "")))


def _parse_renewal(answer: JsonAnswer) -> RenewalAnswer:
    fields = answer.fields
    return RenewalAnswer(
        tuple(fields["renewed"]), tuple(fields["lost"]), fields["boot_id"]
    )


def _parse_fence_proof(answer: JsonAnswer) -> FenceProof:
    fields = answer.fields
    return FenceProof(
        fields["boot_id"],
        bool(fields["has_started"]),
        TaskState(fields["task_state"]),
        int(fields["checkpoint"]),
    )


def _parse_worker_state(answer: JsonAnswer) -> WorkerState:
    fields = dict(answer.fields)
    fields["leases"] = tuple(_parse_lease(row) for row in fields["leases"])
    return WorkerState(**fields)


def _parse_lease(row: dict) -> Lease:
    return Lease(
        **{
            **row,
            "accelerators": tuple(row["accelerators"]),
            "label": b64decode(row["label"]),
            "task_state": TaskState(row["task_state"]),
        }
    )


def _parse_usage_page(answer: JsonAnswer) -> UsagePage:
    reports = tuple(UsageReport(**row) for row in answer.fields["reports"])
    return UsagePage(reports, int(answer.fields["cursor"]))
