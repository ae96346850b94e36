"""Which instances live, and which of them serves which role.

`MembershipMachine` joins the platform's list, which lags, with heartbeats of peers. Its
`View` names the placer of each data centre; `rendezvous` spreads other work. Roles cost
efficiency only when two instances hold one at once: leases and the log carry safety.
"""

from .machine import MembershipMachine
from .messages import (
    Action,
    Beat,
    CloseLink,
    DrainStarted,
    Entry,
    Event,
    Heartbeat,
    HeartbeatReceived,
    LinkClosed,
    LinkFailed,
    LinkOpened,
    ListFetched,
    MembersChanged,
    NewerIncarnationFound,
    OpenLink,
    Profile,
    Published,
    SendHeartbeat,
    Tick,
)
from .rendezvous import rendezvous
from .timing import HEARTBEAT_INTERVAL_MS
from .view import Member, MemberStatus, View

__all__ = [
    "Action",
    "Beat",
    "CloseLink",
    "DrainStarted",
    "Entry",
    "Event",
    "HEARTBEAT_INTERVAL_MS",
    "Heartbeat",
    "HeartbeatReceived",
    "LinkClosed",
    "LinkFailed",
    "LinkOpened",
    "ListFetched",
    "Member",
    "MemberStatus",
    "MembersChanged",
    "MembershipMachine",
    "NewerIncarnationFound",
    "OpenLink",
    "Profile",
    "Published",
    "SendHeartbeat",
    "Tick",
    "View",
    "rendezvous",
]
