"""Heartbeats between instances, and the events and actions of the machine.

A heartbeat is sent over one connection. It always contains the beats; profiles and
entries are included only if the connection has not carried their newest version yet.
This suffices since a connection delivers in order or breaks, and a new connection
starts with the full state.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..model import InstanceInfo
from .view import View

__all__ = [
    "Action",
    "Beat",
    "CloseLink",
    "DrainStarted",
    "Entry",
    "Event",
    "Heartbeat",
    "HeartbeatReceived",
    "LinkClosed",
    "LinkFailed",
    "LinkOpened",
    "ListFetched",
    "MembersChanged",
    "NewerIncarnationFound",
    "OpenLink",
    "Profile",
    "Published",
    "SendHeartbeat",
    "Tick",
]


@dataclass(frozen=True, slots=True)
class Beat:
    """The sequence number of the newest heartbeat of a member known to the sender.

    Peers of the same data centre report a member's own newest beat back to it, which
    acknowledges that heartbeat.
    """

    name: str
    incarnation: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Profile:
    """A member's description of itself; a higher ``version`` replaces a lower one.

    ``is_eligible`` is True once the member has learned enough state to take roles.
    ``routes`` are the other data centres that it has a connection to.
    """

    instance: InstanceInfo
    incarnation: int
    version: int
    is_eligible: bool = False
    is_draining: bool = False
    routes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Entry:
    """A key and value that ``owner`` shares with all peers."""

    owner: str
    incarnation: int
    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A message that reports liveness and new shared state over one connection."""

    sender: str
    incarnation: int
    beats: tuple[Beat, ...]
    profiles: tuple[Profile, ...] = ()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class ListFetched:
    """The platform's list of instances was fetched; it may be stale or empty."""

    instances: tuple[InstanceInfo, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat was received over a connection."""

    connection_id: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """A connection to ``peer`` was established by either side."""

    peer: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """A connection to ``peer`` was closed by either side."""

    peer: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A connection requested by ``OpenLink`` could not be established.

    ``is_refused`` is True if the peer's host answered that no process listens there.
    """

    peer: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class NewerIncarnationFound:
    """A peer refused a connection because it knows a newer incarnation.

    ``incarnation`` is the incarnation of this instance that the peer knows.
    """

    incarnation: int


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer, to be sent every ``HEARTBEAT_INTERVAL_MS``."""


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This instance is about to stop and takes no more roles."""


@dataclass(frozen=True, slots=True)
class Published:
    """This instance shares ``value`` under ``key``."""

    key: str
    value: bytes


Event = (
    ListFetched
    | HeartbeatReceived
    | LinkOpened
    | LinkClosed
    | LinkFailed
    | NewerIncarnationFound
    | Tick
    | DrainStarted
    | Published
)


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat over a connection; close the connection if its queue is full."""

    peer: str
    connection_id: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Connect to a peer and report the result as ``LinkOpened`` or ``LinkFailed``."""

    peer: InstanceInfo


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a silent, surplus or outdated connection; no ``LinkClosed`` is needed."""

    peer: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The view has changed."""

    view: View


Action = SendHeartbeat | OpenLink | CloseLink | MembersChanged
