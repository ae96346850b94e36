"""What the scheduler needs of the log, the endpoints and the operator.

Adapters implement these classes. They never raise for what the other side does:
outcomes are values. All times are in milliseconds.
"""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass

from ..core.scheduling import ServiceConfiguration
from ..core.scheduling.fleet import (
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
    "OutsideWorld",
    "ProducerFence",
]

Entry = tuple[str, bytes]
"""A key and a value; an empty value drops the key."""


@dataclass(frozen=True, slots=True)
class ProducerFence:
    """Lets the log refuse appends of earlier holders of a role, and repeats.

    ``sequence`` rises by one with each append of one ``epoch``.
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
    """Nothing was appended: the log did not end where it was expected to."""

    end: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """Nothing was appended: a later epoch has written."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class LogRefused:
    """The log answered that nothing was done."""

    detail: str


@dataclass(frozen=True, slots=True)
class LogUnanswered:
    """No answer came; an append may be done, or be done later."""

    detail: str


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from an offset on. ``next_offset`` follows the last one read.

    There is one entry per offset; one that cannot be read has an empty key.
    """

    entries: tuple[Entry, ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class LogGap:
    """The records asked for are deleted; the newest of each key remain."""

    first: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """The newest record of each key, in pages. ``next_key`` is None on the last."""

    entries: tuple[Entry, ...]
    end: int
    next_key: str | None


AppendOutcome = Appended | Moved | Deposed | LogRefused | LogUnanswered
ReadOutcome = LogPage | LogGap | LogRefused | LogUnanswered
NewestOutcome = NewestPage | LogRefused | LogUnanswered


class KeyedLog(abc.ABC):
    """One keyed topic of the platform's log."""

    @abc.abstractmethod
    async def append(
        self,
        entries: list[Entry],
        *,
        timeout_ms: int,
        at: int | None = None,
        fence: ProducerFence | None = None,
    ) -> AppendOutcome:
        """Append all entries or none. With ``at``, only where the log ends there."""

    @abc.abstractmethod
    async def read(self, offset: int, *, wait_ms: int, timeout_ms: int) -> ReadOutcome:
        """Read on from ``offset``, waiting up to ``wait_ms`` for a record."""

    @abc.abstractmethod
    async def newest(self, after_key: str | None, *, timeout_ms: int) -> NewestOutcome:
        """Read a page of the newest record of each key."""


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """An endpoint's lists, and its clock when it answered."""

    clock_ms: int
    started_wall_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[FinishedRun, ...]


@dataclass(frozen=True, slots=True)
class EndpointUnreachable:
    """No usable answer; ``is_fenced`` where a later token was seen there."""

    detail: str
    is_fenced: bool = False


class EndpointClient(abc.ABC):
    """Calls one endpoint under the fencing token of the scheduler's term."""

    @abc.abstractmethod
    async def renew(
        self,
        *,
        until_ms: int | None,
        ack_number: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> EndpointAnswer | EndpointUnreachable:
        """Renew the lease of all that runs there and list it."""

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
    ) -> StartOutcome:
        """Order a start; it is refused as late after ``until_ms`` of its clock."""

    @abc.abstractmethod
    async def stop(self, task: str, run: int, timeout_ms: int) -> bool:
        """Order a stop; returns whether the endpoint confirmed it."""

    @abc.abstractmethod
    async def pace(self, task: str, run: int, percent: int, timeout_ms: int) -> bool:
        """Order a share of the full pace; returns whether it was confirmed."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets for the endpoints that may run a step, valid for ``valid_ms``."""

    ticket_by_id: Mapping[str, str]
    valid_ms: int


class HostService(abc.ABC):
    """The platform's service that looks after the endpoints' hosts."""

    @abc.abstractmethod
    async def list_hosts(self) -> list[HostInfo] | None:
        """Return all hosts, or None where the list is not whole."""

    @abc.abstractmethod
    async def begin_upkeep(
        self, host_id: str, wave: int, holder: str, token: int
    ) -> UpkeepOutcome:
        """Order a host's upkeep in a wave; repeating it does no harm."""


class OutsideWorld(abc.ABC):
    """Makes the clients of everything outside, and decodes what operators write."""

    @abc.abstractmethod
    def job_log(self) -> KeyedLog:
        """Return the topic of the scheduler's own records."""

    @abc.abstractmethod
    def operator_log(self) -> KeyedLog:
        """Return the topic in which operators publish."""

    @abc.abstractmethod
    def endpoint_log(self) -> KeyedLog:
        """Return the topic in which endpoints report themselves."""

    @abc.abstractmethod
    def endpoint_client(self, info: EndpointInfo, token: int) -> EndpointClient:
        """Return a client of one endpoint."""

    @abc.abstractmethod
    async def ask_advice(
        self, step: str, endpoint_ids: tuple[str, ...]
    ) -> Advice | None:
        """Ask the policy service about a step; None without an answer."""

    @abc.abstractmethod
    async def is_instance_ready(self, address: str, *, timeout_ms: int) -> bool:
        """Ask another instance whether it serves callers; False without an answer."""

    @abc.abstractmethod
    def host_service(self) -> HostService:
        """Return the service that looks after hosts."""

    @abc.abstractmethod
    async def publish_wave(self, wave: int, is_completed: bool) -> bool:
        """Tell the operator how far a wave is; returns whether it is stored."""

    @abc.abstractmethod
    def decode_waves(self, entries: Mapping[str, bytes]) -> dict[int, UpkeepWave]:
        """Return the waves of upkeep among the operator's records."""

    @abc.abstractmethod
    def decode_configuration(
        self, entries: Mapping[str, bytes]
    ) -> ServiceConfiguration | None:
        """Return the configuration among the operator's records, if it is valid."""

    @abc.abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> EndpointInfo | None:
        """Return what an endpoint says of itself, or None for foreign records."""
