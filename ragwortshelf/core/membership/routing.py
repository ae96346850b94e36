"""Ways to members without a connection of their own: pure functions of the view."""

from __future__ import annotations

from collections.abc import Iterable

from .links import LinkTable
from .view import MemberStatus, View

__all__ = ["mates", "route_to", "routes_of"]


def route_to(view: View, links: LinkTable, name: str) -> str | None:
    """Return the directly connected peer to pass a message for ``name`` to.

    That is the member itself, or a peer of the viewer's data centre that may reach it,
    or the far end of the link to its data centre, or the peer that has such a link.
    """
    if links.to(name) is not None:
        return name
    member = view.members_by_name.get(name)
    if member is None:
        return None
    data_centre = member.instance.data_centre
    if data_centre == view.members_by_name[view.viewer].instance.data_centre:
        return _first_linked(links, mates(view))
    through = _first_linked(links, view.data_centre(data_centre))
    if through is not None:
        return through
    return _first_linked(
        links, (mate for mate in mates(view) if data_centre in routes_of(view, mate))
    )


def mates(view: View) -> tuple[str, ...]:
    """Return the others of the viewer's data centre, the likeliest alive first."""
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    members = view.data_centre(own_data_centre)
    order = list(MemberStatus)
    return tuple(
        sorted(
            (name for name in members if name != view.viewer),
            key=lambda name: (order.index(members[name].status), name),
        )
    )


def routes_of(view: View, name: str) -> tuple[str, ...]:
    """Return the data centres that a member has a link to, none if it is dead."""
    member = view.members_by_name[name]
    return () if member.status is MemberStatus.DEAD else member.routes


def _first_linked(links: LinkTable, names: Iterable[str]) -> str | None:
    return next((name for name in names if links.to(name) is not None), None)
