"""What one instance believes of all instances."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from ..model import InstanceInfo
from .rendezvous import rendezvous

__all__ = ["Member", "MemberStatus", "View"]


class MemberStatus(enum.StrEnum):
    """How sure the viewer is that a member lives."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """One instance as the viewer knows it.

    ``incarnation`` is 0 while the member is known from the platform's list alone.
    """

    instance: InstanceInfo
    incarnation: int
    status: MemberStatus
    is_eligible: bool
    is_draining: bool
    routes: tuple[str, ...] = ()

    @property
    def may_hold_role(self) -> bool:
        """Whether roles may be given to this member.

        A suspected member keeps its roles until the suspicion expires.
        """
        return (
            self.status is not MemberStatus.DEAD
            and self.incarnation > 0
            and self.is_eligible
            and not self.is_draining
        )


@dataclass(frozen=True, slots=True)
class View:
    """All known members by name, as ``viewer`` sees them."""

    viewer: str
    members_by_name: Mapping[str, Member] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def data_centre(self, data_centre: str) -> Mapping[str, Member]:
        """Return the members of a data centre by name."""
        return {
            name: member
            for name, member in self.members_by_name.items()
            if member.instance.data_centre == data_centre
        }

    def names_alive(self, data_centre: str) -> tuple[str, ...]:
        """Return the members of a data centre that are not dead, in order of name."""
        return tuple(
            sorted(
                name
                for name, member in self.data_centre(data_centre).items()
                if member.status is not MemberStatus.DEAD
            )
        )

    def role_holders(self, data_centre: str) -> tuple[str, ...]:
        """Return the members of a data centre that roles may be given to."""
        return tuple(
            sorted(
                name
                for name, member in self.data_centre(data_centre).items()
                if member.may_hold_role
            )
        )

    def placer_of(self, data_centre: str) -> str | None:
        """Return the name of the placer of a data centre, or None if there is none."""
        order = rendezvous(f"placer/{data_centre}", self.role_holders(data_centre))
        return order[0] if order else None

    def owner_of(self, key: str, data_centre: str) -> str | None:
        """Return the member that serves ``key``, such as the polling of a worker."""
        order = rendezvous(key, self.role_holders(data_centre))
        return order[0] if order else None
