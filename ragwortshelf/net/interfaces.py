"""Abstract base classes of the external systems and of connections between instances.

Methods that communicate are trio coroutines. They do not raise on failures of the other
side but return ``Unreachable``, whose ``may_have_applied`` says whether the action may
have taken effect nevertheless.
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
    """A batch that the log has stored as a whole, starting at ``first_offset``."""

    first_offset: int
    count: int


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of one stream from ``first_offset`` on; may be empty.

    ``end_offset`` is the offset that the next appended record will receive.
    """

    first_offset: int
    records: tuple[bytes, ...]
    end_offset: int


@dataclass(frozen=True, slots=True)
class Truncated:
    """The requested offset is no longer retained.

    ``first_available`` is the offset of the oldest retained record.
    """

    first_available: int
    end_offset: int


class LogService(abc.ABC):
    """The platform's append-only log: named streams of byte records."""

    @abc.abstractmethod
    async def append(
        self, stream: str, records: tuple[bytes, ...]
    ) -> Appended | Unreachable:
        """Append a batch of records as a whole and in order."""

    @abc.abstractmethod
    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: int
    ) -> Page | Truncated | Unreachable:
        """Read records, waiting up to ``wait_ms`` milliseconds for the first one."""


@dataclass(frozen=True, slots=True)
class Membership:
    """The members at one version of the list; each change increases ``version``."""

    version: int
    instances: tuple[InstanceInfo, ...]
    workers: tuple[WorkerInfo, ...]
    endpoints: tuple[ServingEndpoint, ...]


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, workers and endpoints.

    It lags behind the actual state of the members.
    """

    @abc.abstractmethod
    async def fetch(self) -> Membership | Unreachable:
        """Fetch the whole list."""


@dataclass(frozen=True, slots=True)
class Applied:
    """The worker has carried out the request, now or when it was first sent."""


@dataclass(frozen=True, slots=True)
class Denied:
    """The worker refused the request, which had no effect.

    ``reason`` is ``held`` (an accelerator is already leased), ``fenced`` (the attempt
    is fenced off), ``unknown_lease``, ``expired``, ``wrong_boot`` or ``invalid``.
    """

    reason: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class RenewalAnswer:
    """Ids of the leases that were extended, and of those that ended or are unknown."""

    renewed: tuple[str, ...]
    lost: tuple[str, ...]
    boot_id: str


@dataclass(frozen=True, slots=True)
class FenceProof:
    """A worker's answer after it fenced off a job's attempts up to a given one.

    ``has_started`` tells whether a task of a fenced attempt was started since the boot
    ``boot_id``. It proves nothing to a caller that knew the worker under another boot.
    """

    boot_id: str
    has_started: bool
    task_state: TaskState
    checkpoint: int


class TaskCommand(enum.StrEnum):
    """Commands for running tasks."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    RESUME = "resume"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Task:
    """A request to start the tasks of one lease on one worker.

    ``tasks`` holds the numbers of the job's tasks that run on the worker, and
    ``resume_from`` the checkpoint to continue from, or 0 for none. ``boot_id`` is the
    boot in which the lease was granted; in another boot the worker refuses with
    ``wrong_boot``.
    """

    lease_id: str
    boot_id: str
    organisation: str
    tasks: tuple[int, ...]
    command: str
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class UsagePage:
    """Usage reports after a cursor, and the cursor for the next call."""

    reports: tuple[UsageReport, ...]
    cursor: int


class Worker(abc.ABC):
    """One worker, with its leases, fences, tasks and usage reports."""

    @abc.abstractmethod
    async def describe(self) -> WorkerState | Unreachable:
        """Read the worker's capacity, leases and task states."""

    @abc.abstractmethod
    async def wait_for_change(
        self, version: str, *, wait_ms: int
    ) -> bool | Unreachable:
        """Return True once the version of the worker's state differs from ``version``.

        Return False if it has not changed within ``wait_ms`` milliseconds.
        """

    @abc.abstractmethod
    async def acquire(self, request: LeaseRequest) -> Applied | Denied | Unreachable:
        """Take accelerators under a lease; repeating the same request is harmless."""

    @abc.abstractmethod
    async def renew(
        self, lease_ids: tuple[str, ...], ttl_ms: int
    ) -> RenewalAnswer | Unreachable:
        """Extend leases in one message, including those of other holders."""

    @abc.abstractmethod
    async def release(self, lease_id: str) -> Applied | Unreachable:
        """End a lease, stop its tasks and remove it."""

    @abc.abstractmethod
    async def fence(self, job_id: str, attempt: int) -> FenceProof | Unreachable:
        """Fence off the job's attempts up to ``attempt`` and end their leases."""

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
        """Read the usage reports after ``cursor``; they may be late or repeated."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request certainly did not run: it was not sent, or the endpoint refused it.

    ``is_leaving`` says that the endpoint refused because it is leaving or full.
    """

    detail: str
    is_leaving: bool = False


class EndpointConnection(abc.ABC):
    """An open connection to an endpoint that carries one request at a time."""

    @abc.abstractmethod
    async def send(self, request: Request) -> Answered | NotSent | Unreachable:
        """Send a request and return its complete response.

        ``Unreachable`` means that bytes were sent but no complete response to this
        request arrived; the connection is then unusable.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection; may be called at any time."""


class Peers(abc.ABC):
    """Calls between instances, within a data centre and across data centres.

    Messages are frozen data classes that ``core.streams.codec`` can encode.
    """

    @abc.abstractmethod
    async def call(
        self, instance: str, message: object, *, deadline_ms: int
    ) -> object | Unreachable:
        """Send a message and return the peer's reply.

        The result is ``Unreachable`` after ``deadline_ms``, a time on this process's
        monotonic clock in milliseconds.
        """

    @abc.abstractmethod
    def handle(
        self,
        message_type: type,
        handler: Callable[[str, object], Awaitable[object]],
    ) -> None:
        """Answer messages of a type with the result of ``handler(sender, message)``."""
