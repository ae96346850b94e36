"""Routes to members that are not directly connected: pure functions of the view."""

from __future__ import annotations

from collections.abc import Iterable

from .links import LinkTable
from .view import MemberStatus, View

__all__ = ["local_peers", "route_to", "routes_of"]


def route_to(view: View, links: LinkTable, name: str) -> str | None:
    """Return the directly connected peer to relay a message for ``name`` through.

    That is the member itself if it is connected. For a member of the viewer's own data
    centre it is another local peer. For one of another data centre it is the far end of
    a connection to that data centre, or else a local peer that has such a connection.
    """
    if links.link_to(name) is not None:
        return name
    member = view.members_by_name.get(name)
    if member is None:
        return None
    data_centre = member.instance.data_centre
    if data_centre == view.members_by_name[view.viewer].instance.data_centre:
        return _first_linked(links, local_peers(view))
    through = _first_linked(links, view.members_in(data_centre))
    if through is not None:
        return through
    return _first_linked(
        links,
        (peer for peer in local_peers(view) if data_centre in routes_of(view, peer)),
    )


def local_peers(view: View) -> tuple[str, ...]:
    """Return the other members of the viewer's data centre, alive ones first."""
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    members = view.members_in(own_data_centre)
    order = list(MemberStatus)
    return tuple(
        sorted(
            (name for name in members if name != view.viewer),
            key=lambda name: (order.index(members[name].status), name),
        )
    )


def routes_of(view: View, name: str) -> tuple[str, ...]:
    """Return the data centres that a member has a connection to, none if dead."""
    member = view.members_by_name[name]
    return () if member.status is MemberStatus.DEAD else member.routes


def _first_linked(links: LinkTable, names: Iterable[str]) -> str | None:
    return next((name for name in names if links.link_to(name) is not None), None)
