"""Which connections an instance should have: a pure function of its view.

Within a data centre the members form a full mesh. The member with the lower name opens
a connection. The one with the higher name does so only if a connection has been missing
for ``LINK_FALLBACK_MS``, since the list of the other may not contain it yet.

Two data centres are joined by a single connection. The members of each are ranked by
rendezvous hashing. The first member of the data centre with the lower name opens it.
While no member of their data centre has a connection, the others try in order of rank,
one more every ``LINK_FALLBACK_MS``; the other data centre starts two intervals later.
"""

from __future__ import annotations

from collections.abc import Callable

from .links import LinkTable
from .rendezvous import rendezvous
from .timing import LINK_FALLBACK_MS
from .view import MemberStatus, View

__all__ = ["rank_link_openers", "surplus_peers", "wanted_peers"]


def wanted_peers(
    view: View,
    links: LinkTable,
    no_route_for_ms: Callable[[str], int],
    now_ms: int,
) -> tuple[str, ...]:
    """Return the names of the peers that the viewer should connect to now.

    ``no_route_for_ms`` takes the name of another data centre and returns how long the
    local peers of the viewer have been without a connection to it.
    """
    own = view.members_by_name[view.viewer].instance
    wanted = list(_wanted_local_peers(view, links, now_ms))
    for data_centre in _other_data_centres(view):
        if _has_link_to(view, links, data_centre):
            continue
        rank = rank_link_openers(view, data_centre).index(view.viewer)
        is_opener = own.data_centre < data_centre
        steps = rank if is_opener else rank + 2
        if is_opener and rank == 0:
            is_due = True
        else:
            is_due = no_route_for_ms(data_centre) > steps * LINK_FALLBACK_MS
        if is_due:
            wanted.append(_remote_end(view, links, data_centre))
    return tuple(wanted)


def surplus_peers(view: View, links: LinkTable) -> tuple[str, ...]:
    """Return the peers whose connection duplicates another between two data centres.

    Only the data centre with the lower name closes duplicates. Otherwise each side
    could close a different one and leave none.
    """
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    surplus = []
    for data_centre in _other_data_centres(view):
        if data_centre < own_data_centre:
            continue
        linked = [
            name
            for name in view.members_in(data_centre)
            if links.link_to(name) is not None
        ]
        if not linked:
            continue
        if _has_better_ranked_route(view, data_centre):
            surplus.extend(linked)
        else:
            ranked = rendezvous(_pair_key(own_data_centre, data_centre), linked)
            surplus.extend(ranked[1:])
    return tuple(surplus)


def rank_link_openers(view: View, data_centre: str) -> tuple[str, ...]:
    """Rank the members of the viewer's data centre that may connect to another one."""
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    candidates = [
        name
        for name, member in view.members_in(own_data_centre).items()
        if member.status is not MemberStatus.DEAD
        and member.incarnation > 0
        and not member.is_draining
    ]
    key = _pair_key(own_data_centre, data_centre)
    return rendezvous(key, {*candidates, view.viewer})


def _wanted_local_peers(view: View, links: LinkTable, now_ms: int):
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    for name in sorted(view.members_in(own_data_centre)):
        if name == view.viewer or links.link_to(name) is not None:
            continue
        missing_for_ms = links.missing_for_ms(name, now_ms)
        if view.viewer < name or missing_for_ms >= LINK_FALLBACK_MS:
            yield name


def _remote_end(view: View, links: LinkTable, data_centre: str) -> str:
    """Return the member to connect to: fewest failed attempts, then best rank."""
    members = view.members_in(data_centre)
    own_data_centre = view.members_by_name[view.viewer].instance.data_centre
    ranked = rendezvous(_pair_key(own_data_centre, data_centre), members)
    return min(ranked, key=links.failures)


def _has_better_ranked_route(view: View, data_centre: str) -> bool:
    ranks = rank_link_openers(view, data_centre)
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
    return any(links.link_to(name) is not None for name in view.members_in(data_centre))


def _pair_key(first: str, second: str) -> str:
    return f"link/{min(first, second)}/{max(first, second)}"
