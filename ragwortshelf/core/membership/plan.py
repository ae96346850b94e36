"""Which connections an instance should have: a pure function of its view.

Within a data centre everybody is connected to everybody; the member with the lower
name connects, and the other one only if that does not happen, since the platform's
list may not show it to the first yet.

Between two data centres one connection suffices. The members of each are ranked by
rendezvous hashing. The first of the data centre with the lower name connects; the
others step in, in their order, as long as nobody of their data centre has a connection.
"""

from __future__ import annotations

from collections.abc import Callable

from .links import LinkTable
from .rendezvous import rendezvous
from .timing import LINK_FALLBACK_MS
from .view import MemberStatus, View

__all__ = ["link_ranks", "surplus_peers", "wanted_peers"]


def wanted_peers(
    view: View,
    links: LinkTable,
    no_route_ms: Callable[[str], int],
    now_ms: int,
) -> tuple[str, ...]:
    """Return the names of the peers to connect to now, by what the view demands.

    ``no_route_ms`` tells for how long nobody of the viewer's data centre has had a
    connection to another one.
    """
    own = view.members_by_name[view.viewer].instance
    wanted = list(_wanted_mates(view, links, now_ms))
    for data_centre in _other_data_centres(view):
        if _has_link_to(view, links, data_centre):
            continue
        rank = link_ranks(view, data_centre).index(view.viewer)
        is_opener = own.data_centre < data_centre
        steps = rank if is_opener else rank + 2
        if is_opener and rank == 0:
            is_due = True
        else:
            is_due = no_route_ms(data_centre) > steps * LINK_FALLBACK_MS
        if is_due:
            wanted.append(_remote_end(view, links, data_centre))
    return tuple(wanted)


def surplus_peers(view: View, links: LinkTable) -> tuple[str, ...]:
    """Return the peers whose connection doubles another between two data centres.

    Only the data centre with the lower name closes, so that not both are closed.
    """
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    surplus = []
    for data_centre in _other_data_centres(view):
        if data_centre < own_data_centre:
            continue
        linked = [
            name for name in view.data_centre(data_centre) if links.to(name) is not None
        ]
        if not linked:
            continue
        if _better_ranked_has_route(view, data_centre):
            surplus.extend(linked)
        else:
            ranked = rendezvous(_pair_key(own_data_centre, data_centre), linked)
            surplus.extend(ranked[1:])
    return tuple(surplus)


def link_ranks(view: View, data_centre: str) -> tuple[str, ...]:
    """Rank the viewer's data centre for the connection to another one."""
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    candidates = [
        name
        for name, member in view.data_centre(own_data_centre).items()
        if member.status is not MemberStatus.DEAD
        and member.incarnation > 0
        and not member.is_draining
    ]
    key = _pair_key(own_data_centre, data_centre)
    return rendezvous(key, {*candidates, view.viewer})


def _wanted_mates(view: View, links: LinkTable, now_ms: int):
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    for name in sorted(view.data_centre(own_data_centre)):
        if name == view.viewer or links.to(name) is not None:
            continue
        missing_ms = links.missing_ms(name, now_ms)
        if view.viewer < name or missing_ms >= LINK_FALLBACK_MS:
            yield name


def _remote_end(view: View, links: LinkTable, data_centre: str) -> str:
    """Choose the member with the fewest failures, by rank among equals."""
    members = view.data_centre(data_centre)
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    ranked = rendezvous(_pair_key(own_data_centre, data_centre), members)
    return min(ranked, key=links.failures)


def _better_ranked_has_route(view: View, data_centre: str) -> bool:
    ranks = link_ranks(view, data_centre)
    better = ranks[: ranks.index(view.viewer)]
    return any(
        data_centre in view.members_by_name[name].routes
        and view.members_by_name[name].status is MemberStatus.ALIVE
        for name in better
    )


def _other_data_centres(view: View) -> tuple[str, ...]:
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    names = {m.instance.data_centre for m in view.members_by_name.values()}
    return tuple(sorted(names - {own_data_centre}))


def _has_link_to(view: View, links: LinkTable, data_centre: str) -> bool:
    return any(links.to(name) is not None for name in view.data_centre(data_centre))


def _pair_key(one: str, other: str) -> str:
    return f"link/{min(one, other)}/{max(one, other)}"
