"""Membership: which instances are alive, and which of them holds which role.

`MembershipMachine` combines the platform's list of instances, which may be stale, with
the heartbeats of peers. Its `View` names the placer of each data centre; `rendezvous`
distributes other work. Two instances that hold the same role at once only waste work:
correctness is ensured by leases and the log.
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
