"""Abstract interfaces to the log, the endpoints, the hosts and the operator.

Adapters implement these classes. Failures of an external system are returned as values
and never raised. All times are in milliseconds.
"""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass

from ..core.scheduling import ServiceConfiguration
from ..core.scheduling.listings import (
    EndpointInfo,
    FinishedRun,
    RunningTask,
    StartOutcome,
)
from ..core.scheduling.upkeep import HostInfo, UpkeepOutcome, UpkeepWave

__all__ = [
    "Advice",
    "Appended",
    "Deposed",
    "EndpointAnswer",
    "EndpointClient",
    "EndpointUnreachable",
    "Entry",
    "HostService",
    "KeyedLog",
    "LogGap",
    "LogPage",
    "LogRefused",
    "LogUnanswered",
    "Moved",
    "NewestPage",
    "PlatformAdapter",
    "ProducerFence",
    "StartAnswer",
    "KEY_BYTES_MAX",
    "check_entry",
    "entry_bytes",
]

Entry = tuple[str, bytes]
"""A key and a value; an empty value deletes the key."""


KEY_BYTES_MAX = 255
"""Longest key of a record, in bytes of UTF-8."""


def check_entry(entry: Entry) -> None:
    """Raise ``ValueError`` if a log cannot hold an entry with this key.

    >>> check_entry(("x" * 256, b""))
    Traceback (most recent call last):
    ...
    ValueError: a key of 256 bytes is longer than 255
    """
    size = len(entry[0].encode())
    if size > KEY_BYTES_MAX:
        raise ValueError(f"a key of {size} bytes is longer than {KEY_BYTES_MAX}")


def entry_bytes(entry: Entry) -> int:
    """Return the size of an entry's key and value.

    >>> entry_bytes(("term", b"123"))
    7
    """
    key, value = entry
    return len(key.encode()) + len(value)


@dataclass(frozen=True, slots=True)
class ProducerFence:
    """Lets the log reject appends from earlier holders of a role, and detect repeats.

    ``sequence`` increases by one with each append in the same ``epoch``.
    """

    producer: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are in the log from ``offset`` on; the next offset is ``end``."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Moved:
    """Nothing was appended: the log ends at ``end``, not at the expected offset."""

    end: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """Nothing was appended, because a producer with a later epoch has written."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class LogRefused:
    """The log rejected the call, which had no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class LogUnanswered:
    """No whole answer arrived; an append may have taken effect, or may do so later.

    ``received_bytes`` is the size of the partial answer that had arrived.
    """

    detail: str
    received_bytes: int = 0


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from the requested offset. ``next_offset`` follows the last one read.

    ``end`` is the offset of the next append. There is one entry per offset; an
    unreadable record is an entry with an empty key.
    """

    entries: tuple[Entry, ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class LogGap:
    """The requested records were deleted; ``first`` is the oldest remaining offset.

    The newest record of each key is still available from ``KeyedLog.newest``.
    """

    first: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """A page of each key's newest record; ``next_key`` is None on the last page."""

    entries: tuple[Entry, ...]
    end: int
    next_key: str | None


AppendOutcome = Appended | Moved | Deposed | LogRefused | LogUnanswered
ReadOutcome = LogPage | LogGap | LogRefused | LogUnanswered
NewestOutcome = NewestPage | LogRefused | LogUnanswered


class KeyedLog(abc.ABC):
    """A topic of an append-only log that retains the newest record of each key.

    ``timeout_ms`` bounds the time without progress of a call, not its duration: an
    answer may be larger than a link carries within it.
    """

    @abc.abstractmethod
    async def append(
        self,
        entries: list[Entry],
        *,
        timeout_ms: int,
        at: int | None = None,
        fence: ProducerFence | None = None,
    ) -> AppendOutcome:
        """Append all entries or none. With ``at``, only if the log ends there."""

    @abc.abstractmethod
    async def read(
        self, offset: int, *, wait_ms: int, timeout_ms: int, is_brief: bool = False
    ) -> ReadOutcome:
        """Read from ``offset``, waiting up to ``wait_ms`` for a record to arrive.

        A brief read returns few records, if any.
        """

    @abc.abstractmethod
    async def newest(self, after_key: str | None, *, timeout_ms: int) -> NewestOutcome:
        """Read a page of each key's newest record, for the keys after ``after_key``."""


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """An endpoint's running and finished tasks, and its clock at that time.

    ``started_wall_ms`` differs after each restart of the endpoint.
    """

    clock_ms: int
    started_wall_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[FinishedRun, ...]


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """The outcome of a start, and the endpoint's clock if it answered with one."""

    outcome: StartOutcome
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class EndpointUnreachable:
    """No usable answer; ``is_fenced`` if the endpoint has seen a later token."""

    detail: str
    is_fenced: bool = False


class EndpointClient(abc.ABC):
    """Calls one endpoint under a fencing token of the scheduler's term."""

    @abc.abstractmethod
    def raise_token(self, token: int) -> None:
        """Send a higher fencing token from the next call on."""

    @abc.abstractmethod
    async def renew(
        self,
        *,
        until_ms: int | None,
        ack_number: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> EndpointAnswer | EndpointUnreachable:
        """Renew the lease of the endpoint's tasks and list them.

        ``until_ms`` is the lease's deadline on the endpoint's clock; None only lists.
        ``ack_number`` acknowledges finished runs up to that number. The endpoint delays
        its answer by up to ``wait_ms`` until a run finishes.
        """

    @abc.abstractmethod
    async def start(
        self,
        task: str,
        run: int,
        text: str,
        checkpoint: str,
        ticket: str,
        until_ms: int,
        timeout_ms: int,
    ) -> StartAnswer:
        """Start a task; refused as late after ``until_ms`` on the endpoint's clock."""

    @abc.abstractmethod
    async def stop(self, task: str, run: int, timeout_ms: int) -> bool:
        """Stop a run; returns whether the endpoint confirmed it."""

    @abc.abstractmethod
    async def pace(self, task: str, run: int, percent: int, timeout_ms: int) -> bool:
        """Set a run's pace in percent of full; returns whether it was confirmed."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""


@dataclass(frozen=True, slots=True)
class Advice:
    """The endpoints approved for a step, each with a ticket valid for ``valid_ms``."""

    ticket_by_id: Mapping[str, str]
    valid_ms: int


class HostService(abc.ABC):
    """The platform's service that maintains the endpoints' hosts."""

    @abc.abstractmethod
    async def list_hosts(self) -> list[HostInfo] | None:
        """Return all hosts, or None if the list is incomplete."""

    @abc.abstractmethod
    async def begin_upkeep(
        self, host_id: str, wave: int, holder: str, token: int
    ) -> UpkeepOutcome:
        """Begin a host's upkeep in a wave; the call is idempotent."""


class PlatformAdapter(abc.ABC):
    """Creates clients of the external systems and decodes their records."""

    @abc.abstractmethod
    def job_log(self) -> KeyedLog:
        """Return the topic of the scheduler's own records, such as jobs and terms."""

    @abc.abstractmethod
    def operator_log(self) -> KeyedLog:
        """Return the topic that operators publish to."""

    @abc.abstractmethod
    def endpoint_log(self) -> KeyedLog:
        """Return the topic that endpoints publish their reports to."""

    @abc.abstractmethod
    def endpoint_client(self, info: EndpointInfo, token: int) -> EndpointClient:
        """Return a client of one endpoint that sends ``token`` as its fencing token."""

    @abc.abstractmethod
    async def ask_advice(
        self, step: str, endpoint_ids: tuple[str, ...], *, timeout_ms: int
    ) -> Advice | None:
        """Ask the policy service which endpoints may run a step; None if unanswered."""

    @abc.abstractmethod
    async def is_instance_ready(self, address: str, *, timeout_ms: int) -> bool:
        """Return whether another instance answers that it serves callers."""

    @abc.abstractmethod
    def host_service(self) -> HostService:
        """Return the service that maintains hosts."""

    @abc.abstractmethod
    async def publish_wave(self, wave: int, is_completed: bool) -> bool:
        """Publish the state of a wave; returns whether it was stored."""

    @abc.abstractmethod
    def decode_waves(self, entries: Mapping[str, bytes]) -> dict[int, UpkeepWave]:
        """Decode the upkeep waves among the operator's records, by number."""

    @abc.abstractmethod
    def decode_evacuations(self, entries: Mapping[str, bytes]) -> frozenset[str]:
        """Return the data centres to be emptied by the operator's records.

        The presence of a record is the request, whatever its value.
        """

    @abc.abstractmethod
    def decode_configuration(
        self, entries: Mapping[str, bytes]
    ) -> ServiceConfiguration | None:
        """Decode the configuration among the operator's records; None if invalid."""

    @abc.abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> EndpointInfo | None:
        """Decode an endpoint's report; None for a record in another format."""
