"""Abstract base classes of the outside systems.

All methods are coroutines run by trio. None of them raises for a fault of the other
side; ``Unreachable`` is the value for that, and its ``may_have_applied`` says whether
the action may have taken effect all the same.
"""

from __future__ import annotations

import abc
import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..core.model import (
    Answered,
    InstanceInfo,
    LeaseRequest,
    Request,
    ServingEndpoint,
    TaskState,
    Unreachable,
    UsageReport,
    WorkerInfo,
    WorkerState,
)

__all__ = [
    "Appended",
    "Applied",
    "Denied",
    "FenceProof",
    "InstanceList",
    "LogService",
    "Membership",
    "EndpointConnection",
    "NotSent",
    "Peers",
    "Page",
    "RenewalAnswer",
    "Task",
    "TaskCommand",
    "Truncated",
    "UsagePage",
    "Worker",
]


@dataclass(frozen=True, slots=True)
class Appended:
    """A batch that the log stored whole at ``first_offset`` and following."""

    first_offset: int
    count: int


@dataclass(frozen=True, slots=True)
class Page:
    """Records of one stream from ``first_offset`` on; may be empty.

    ``end_offset`` is the offset that the next appended record will get.
    """

    first_offset: int
    records: tuple[bytes, ...]
    end_offset: int


@dataclass(frozen=True, slots=True)
class Truncated:
    """The wanted offset is past retention; ``first_available`` is the oldest kept."""

    first_available: int
    end_offset: int


class LogService(abc.ABC):
    """The platform's append-only log: named streams of byte records."""

    @abc.abstractmethod
    async def append(
        self, stream: str, records: tuple[bytes, ...]
    ) -> Appended | Unreachable:
        """Append a batch, whole and in order."""

    @abc.abstractmethod
    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: int
    ) -> Page | Truncated | Unreachable:
        """Read records, waiting up to ``wait_ms`` milliseconds for the first one."""


@dataclass(frozen=True, slots=True)
class Membership:
    """One answer of the list; ``version`` grows with each change of it."""

    version: int
    instances: tuple[InstanceInfo, ...]
    workers: tuple[WorkerInfo, ...]
    endpoints: tuple[ServingEndpoint, ...]


class InstanceList(abc.ABC):
    """The platform's lagging list of live and leaving instances and endpoints."""

    @abc.abstractmethod
    async def fetch(self) -> Membership | Unreachable:
        """Fetch the whole list."""


@dataclass(frozen=True, slots=True)
class Applied:
    """The worker carried out the message, or had done so before."""


@dataclass(frozen=True, slots=True)
class Denied:
    """The worker refused, without effect.

    ``reason`` is ``held`` (an accelerator is leased), ``fenced`` (the attempt is
    fenced off), ``unknown_lease``, ``expired``, ``wrong_boot`` or ``invalid``.
    """

    reason: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class RenewalAnswer:
    """Lease ids that the worker extended, and those it does not hold any more."""

    renewed: tuple[str, ...]
    lost: tuple[str, ...]
    boot_id: str


@dataclass(frozen=True, slots=True)
class FenceProof:
    """The worker's statement after it fenced a job up to an attempt.

    ``has_started`` tells whether any task of any fenced attempt was started within
    this boot. A caller that knew another ``boot_id`` has no proof.
    """

    boot_id: str
    has_started: bool
    task_state: TaskState
    checkpoint: int


class TaskCommand(enum.StrEnum):
    """What a placer may ask of running tasks."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    RESUME = "resume"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Task:
    """Starts the tasks of one lease on one worker.

    ``tasks`` are the task numbers of the job that run there; ``resume_from`` is the
    checkpoint to go on from, 0 being none. ``boot_id`` is the boot that granted the
    lease: another boot refuses with ``wrong_boot``.
    """

    lease_id: str
    boot_id: str
    organisation: str
    tasks: tuple[int, ...]
    command: str
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class UsagePage:
    """Usage reports after a cursor, and the cursor to pass next."""

    reports: tuple[UsageReport, ...]
    cursor: int


class Worker(abc.ABC):
    """One worker: leases, fences, tasks and usage."""

    @abc.abstractmethod
    async def describe(self) -> WorkerState | Unreachable:
        """Read the worker's size, leases and task states."""

    @abc.abstractmethod
    async def wait_for_change(
        self, version: str, *, wait_ms: int
    ) -> bool | Unreachable:
        """Return True once the state's version is not ``version``.

        False says that it still was so after ``wait_ms`` milliseconds.
        """

    @abc.abstractmethod
    async def acquire(self, request: LeaseRequest) -> Applied | Denied | Unreachable:
        """Take accelerators under a lease; repeating the same request is harmless."""

    @abc.abstractmethod
    async def renew(
        self, lease_ids: tuple[str, ...], ttl_ms: int
    ) -> RenewalAnswer | Unreachable:
        """Extend leases in one message, whoever holds them."""

    @abc.abstractmethod
    async def release(self, lease_id: str) -> Applied | Unreachable:
        """End a lease, stop its tasks and forget it."""

    @abc.abstractmethod
    async def fence(self, job_id: str, attempt: int) -> FenceProof | Unreachable:
        """Refuse the job's attempts up to ``attempt`` from now on; end their leases."""

    @abc.abstractmethod
    async def start(self, task: Task) -> Applied | Denied | Unreachable:
        """Start the tasks of a lease; repeating the same start is harmless."""

    @abc.abstractmethod
    async def command(
        self, lease_id: str, command: TaskCommand
    ) -> Applied | Denied | Unreachable:
        """Checkpoint, throttle, resume or stop the tasks of a lease."""

    @abc.abstractmethod
    async def usage(self, cursor: int, *, limit: int) -> UsagePage | Unreachable:
        """Read usage reports after ``cursor``; they lag and may repeat."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left, so it provably did not run.

    ``is_leaving`` says that the endpoint refused because it is leaving or full.
    """

    detail: str
    is_leaving: bool = False


class EndpointConnection(abc.ABC):
    """One open connection to an endpoint, which carries one request at a time."""

    @abc.abstractmethod
    async def send(self, request: Request) -> Answered | NotSent | Unreachable:
        """Send a request and return its whole answer.

        ``Unreachable`` means that bytes left and no whole answer to this request
        came; the connection is then of no further use.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection; safe at any time."""


class Peers(abc.ABC):
    """Links to the other instances, whatever data centre they are in.

    Messages are frozen data classes that ``core.streams.codec`` can carry.
    """

    @abc.abstractmethod
    async def call(
        self, instance: str, message: object, *, deadline_ms: int
    ) -> object | Unreachable:
        """Send a message and return the peer's reply.

        ``deadline_ms`` is on this process's monotonic clock, after which the answer
        is ``Unreachable``.
        """

    @abc.abstractmethod
    def handle(
        self,
        message_type: type,
        handler: Callable[[str, object], Awaitable[object]],
    ) -> None:
        """Answer messages of a type with ``await handler(sender, message)``."""
