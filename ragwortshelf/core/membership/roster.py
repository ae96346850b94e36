"""Combines the platform's list with the members' profiles into the view's members."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..model import InstanceInfo, MemberState
from .liveness import Liveness
from .messages import Profile
from .shared_state import SharedState
from .view import Member, MemberStatus

__all__ = ["Roster"]


class Roster:
    """The members known from the platform's list and from peers.

    A member exists while it is listed or a peer has reported it. A stale, empty or
    missing list therefore never removes a member that sends heartbeats.
    """

    def __init__(self, own: InstanceInfo, liveness: Liveness, shared: SharedState):
        self._own = own
        self._liveness = liveness
        self._shared = shared
        self._listed_by_name: dict[str, InstanceInfo] = {}
        self._last_listed_by_name: dict[str, InstanceInfo] = {}

    def replace_list(self, instances: Iterable[InstanceInfo], now_ms: int) -> None:
        """Replace the platform's list and expect beats from all instances on it."""
        self._listed_by_name = {info.name: info for info in instances}
        self._last_listed_by_name |= self._listed_by_name
        for name in self._listed_by_name:
            if name != self._own.name:
                self._liveness.expect(name, now_ms)

    def is_listed(self, name: str) -> bool:
        """Whether the newest list contains the member."""
        return name in self._listed_by_name

    def is_listed_leaving(self, name: str) -> bool:
        """Whether the newest list marks the member as leaving."""
        listed = self._listed_by_name.get(name)
        return listed is not None and listed.state is MemberState.LEAVING

    def forget(self, name: str) -> None:
        """Remove a member that is no longer listed, with all that it shared."""
        self._last_listed_by_name.pop(name, None)
        self._liveness.forget(name)
        self._shared.forget_member(name)

    def members_by_name(self, now_ms: int) -> Mapping[str, Member]:
        """Return the current state of all members, sorted by name."""
        names = {*self._last_listed_by_name, *self._shared.names()}
        return {name: self._member(name, now_ms) for name in sorted(names)}

    def _member(self, name: str, now_ms: int) -> Member:
        profile = self._shared.profile(name)
        if name == self._own.name:
            return _member_from_profile(
                profile, profile.incarnation, MemberStatus.ALIVE, profile.is_draining
            )
        is_leaving = self.is_listed_leaving(name)
        if profile is None:
            listed = self._last_listed_by_name[name]
            status = self._status(listed, now_ms)
            return Member(listed, 0, status, False, is_leaving)
        return _member_from_profile(
            profile,
            self._liveness.incarnation(name),
            self._status(profile.instance, now_ms),
            profile.is_draining or is_leaving,
        )

    def _status(self, instance: InstanceInfo, now_ms: int) -> MemberStatus:
        is_remote = instance.data_centre != self._own.data_centre
        return self._liveness.status(instance.name, now_ms, is_remote=is_remote)


def _member_from_profile(
    profile: Profile, incarnation: int, status: MemberStatus, is_draining: bool
) -> Member:
    return Member(
        profile.instance,
        incarnation,
        status,
        profile.is_eligible,
        is_draining,
        profile.routes,
    )
