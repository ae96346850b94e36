"""Heartbeats between instances, and the events and actions of the machine.

A heartbeat goes over one connection. Beats are sent every time; profiles and entries
only when the connection has not carried their newest version yet, which suffices since
a connection delivers in order or breaks, and a new one starts with everything.
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
    """The newest heartbeat number of a member that the sender knows of.

    The receiver finds its own name among the beats of its data centre, and so learns
    which of its heartbeats arrived.
    """

    name: str
    incarnation: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Profile:
    """What a member says of itself; a higher ``version`` replaces a lower one.

    ``is_eligible`` is True once the member has learned enough to take roles.
    ``routes`` are the other data centres that it has a link to.
    """

    instance: InstanceInfo
    incarnation: int
    version: int
    is_eligible: bool = False
    is_draining: bool = False
    routes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Entry:
    """One piece of state that ``owner`` shares with all peers."""

    owner: str
    incarnation: int
    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat over one connection."""

    sender: str
    incarnation: int
    beats: tuple[Beat, ...]
    profiles: tuple[Profile, ...] = ()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class ListFetched:
    """The platform's list, which lags and may be empty."""

    instances: tuple[InstanceInfo, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat came in over a connection."""

    connection_id: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """A connection to ``peer`` is ready, whichever side opened it."""

    peer: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """A connection is gone, whichever side closed it."""

    peer: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A connection that ``OpenLink`` asked for could not be made.

    ``is_refused`` says that the peer's host answered and no process listens there.
    """

    peer: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class NewerIncarnationFound:
    """A peer refused a connection since it knows this incarnation of the instance."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; expected every ``HEARTBEAT_INTERVAL_MS``."""


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This instance stops soon and takes no role any more."""


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
    """Send over this connection, or close it if it cannot take the message."""

    peer: str
    connection_id: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Connect to a peer; answered by ``LinkOpened`` or ``LinkFailed``."""

    peer: InstanceInfo


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a connection that is silent or surplus; no ``LinkClosed`` is needed."""

    peer: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The view differs from the last one."""

    view: View


Action = SendHeartbeat | OpenLink | CloseLink | MembersChanged
