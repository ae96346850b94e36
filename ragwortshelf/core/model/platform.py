"""Entries of the platform's list of instances and endpoints."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["InstanceInfo", "MemberState", "ServingEndpoint", "WorkerInfo"]


class MemberState(enum.StrEnum):
    """What the list says of a member."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """An entry instance: ``api_address`` for callers, ``peer_address`` for peers.

    Addresses are ``IP:port``.
    """

    name: str
    data_centre: str
    api_address: str
    peer_address: str
    state: MemberState = MemberState.LIVE


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker; ``address`` is ``IP:port``."""

    name: str
    data_centre: str
    rack: str
    address: str
    accelerators: int
    state: MemberState = MemberState.LIVE


@dataclass(frozen=True, slots=True)
class ServingEndpoint:
    """An endpoint; ``address`` is ``IP:port``.

    ``slots`` requests run at once and ``connections`` may be open at once, over all
    instances together.
    """

    name: str
    data_centre: str
    address: str
    slots: int = 8
    connections: int = 64
    state: MemberState = MemberState.LIVE
