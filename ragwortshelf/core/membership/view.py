"""The state of all instances as one of them sees it."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from ..model import InstanceInfo
from .rendezvous import rendezvous

__all__ = ["Member", "MemberStatus", "View"]


class MemberStatus(enum.StrEnum):
    """Whether the viewer considers a member alive."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """One instance as the viewer sees it.

    ``incarnation`` is 0 while the member is known only from the platform's list.
    """

    instance: InstanceInfo
    incarnation: int
    status: MemberStatus
    is_eligible: bool
    is_draining: bool
    routes: tuple[str, ...] = ()

    @property
    def may_hold_role(self) -> bool:
        """Whether roles may be assigned to this member.

        A suspected member keeps its roles until it is declared dead.
        """
        return (
            self.status is not MemberStatus.DEAD
            and self.incarnation > 0
            and self.is_eligible
            and not self.is_draining
        )


@dataclass(frozen=True, slots=True)
class View:
    """All members known to ``viewer``, by name."""

    viewer: str
    members_by_name: Mapping[str, Member] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def members_in(self, data_centre: str) -> Mapping[str, Member]:
        """Return the members of a data centre by name."""
        return {
            name: member
            for name, member in self.members_by_name.items()
            if member.instance.data_centre == data_centre
        }

    def names_not_dead(self, data_centre: str) -> tuple[str, ...]:
        """Return the members of a data centre that are not dead, sorted by name."""
        return tuple(
            sorted(
                name
                for name, member in self.members_in(data_centre).items()
                if member.status is not MemberStatus.DEAD
            )
        )

    def role_holders(self, data_centre: str) -> tuple[str, ...]:
        """Return the members of a data centre that may hold roles, sorted by name."""
        return tuple(
            sorted(
                name
                for name, member in self.members_in(data_centre).items()
                if member.may_hold_role
            )
        )

    def placer_of(self, data_centre: str) -> str | None:
        """Return the name of the placer of a data centre, or None if there is none."""
        order = rendezvous(f"placer/{data_centre}", self.role_holders(data_centre))
        return order[0] if order else None

    def owner_of(self, key: str, data_centre: str) -> str | None:
        """Return the member responsible for ``key``, or None if there is none.

        A key names a piece of work, such as the polling of one worker.
        """
        order = rendezvous(key, self.role_holders(data_centre))
        return order[0] if order else None
