"""Entries of the platform's list of instances, workers and endpoints."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["InstanceInfo", "MemberState", "ServingEndpoint", "WorkerInfo"]


class MemberState(enum.StrEnum):
    """The state of a member according to the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """An instance of the scheduler.

    ``api_address`` is for callers and ``peer_address`` for other instances, both as
    ``IP:port``.
    """

    name: str
    data_centre: str
    api_address: str
    peer_address: str
    state: MemberState = MemberState.LIVE


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker that runs tasks on its accelerators; ``address`` is ``IP:port``."""

    name: str
    data_centre: str
    rack: str
    address: str
    accelerators: int
    state: MemberState = MemberState.LIVE


@dataclass(frozen=True, slots=True)
class ServingEndpoint:
    """An endpoint that answers requests; ``address`` is ``IP:port``.

    At most ``slots`` requests may run and ``connections`` be open at the same time, for
    all instances together.
    """

    name: str
    data_centre: str
    address: str
    slots: int = 8
    connections: int = 64
    state: MemberState = MemberState.LIVE
