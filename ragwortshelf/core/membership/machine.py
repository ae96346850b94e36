"""The membership state machine: derives a view and connections from heartbeats."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping

from ..model import InstanceInfo
from .link_plan import surplus_peers, wanted_peers
from .links import LinkTable
from .liveness import HeartbeatAcks, Liveness
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
from .roster import Roster
from .routing import local_peers, route_to, routes_of
from .shared_state import SharedState
from .timing import (
    ACK_VALID_MS,
    FORGET_AFTER_MS,
    JOIN_DELAY_MS,
    PAUSE_AFTER_MS,
    RETRY_UNLISTED_MS,
)
from .view import MemberStatus, View

__all__ = ["MembershipMachine"]


class MembershipMachine:
    """Membership as one instance sees it; deterministic and free of I/O.

    ``incarnation`` must increase with each start of the instance. Pass events to
    `handle` and carry out the actions that it returns, in order.

    >>> from ragwortshelf.core.model import InstanceInfo
    >>> own = InstanceInfo("a", "dc1", "127.0.0.1:1", "127.0.0.1:2")
    >>> machine = MembershipMachine(own, 1, random.Random(1))
    >>> for now_ms in range(0, 4000, 1000):
    ...     actions = machine.handle(Tick(), now_ms)
    >>> machine.is_placer()
    True
    """

    def __init__(self, instance: InstanceInfo, incarnation: int, rng: random.Random):
        if incarnation < 1:
            raise ValueError("incarnations start at 1")
        self._instance = instance
        self._incarnation = incarnation
        self._links = LinkTable(rng)
        self._liveness = Liveness()
        self._acks = HeartbeatAcks()
        self._shared = SharedState()
        self._shared.merge_profile(Profile(instance, incarnation, 1))
        self._roster = Roster(instance, self._liveness, self._shared)
        self._no_route_since_by_data_centre: dict[str, int] = {}
        self._sequence = 0
        self._entry_version = 0
        self._is_draining = False
        self._is_superseded = False
        self._eligible_from_ms: int | None = None
        self._last_tick_ms: int | None = None
        self._local_peers_since_ms: int | None = None
        self._view = View(instance.name)

    @property
    def view(self) -> View:
        """The view as of the last event."""
        return self._view

    @property
    def is_superseded(self) -> bool:
        """Whether a newer incarnation of this instance exists, so this one must exit.

        A superseded machine has closed its connections and only refuses new ones.
        """
        return self._is_superseded

    def is_placer(self) -> bool:
        """Whether this instance is the placer of its data centre in its own view.

        It may act as placer only while `may_act_in_role` holds as well.
        """
        if self._is_superseded:
            return False
        return self._view.placer_of(self._instance.data_centre) == self._instance.name

    def may_act_in_role(self, now_ms: int) -> bool:
        """Whether this instance may act in a role at this moment.

        It must be neither superseded nor paused, and its join delay must have passed.
        A peer of its data centre must have acknowledged a recent heartbeat. This is not
        required while all those peers are dead, nor for ``ACK_VALID_MS`` afterwards.
        """
        if self._is_superseded or self._last_tick_ms is None:
            return False
        if now_ms - self._last_tick_ms > PAUSE_AFTER_MS:
            return False
        if self._eligible_from_ms is None or now_ms < self._eligible_from_ms:
            return False
        return self._acks.is_recent(now_ms) or not self._expects_ack(now_ms)

    def values(self, key: str) -> Mapping[str, bytes]:
        """Return the values shared under ``key`` by owner, dead members included."""
        return self._shared.values(key)

    def route_to(self, name: str) -> str | None:
        """Return the directly connected peer to send a message for ``name`` to."""
        return route_to(self._view, self._links, name)

    def handle(self, event: Event, now_ms: int) -> tuple[Action, ...]:
        """Process one event and return the actions to carry out, in order."""
        if self._is_superseded:
            return self._handle_when_superseded(event)
        actions: list[Action] = []
        self._detect_pause(now_ms)
        match event:
            case Tick():
                self._handle_tick(now_ms, actions)
            case HeartbeatReceived(connection_id, heartbeat):
                self._handle_heartbeat(connection_id, heartbeat, now_ms, actions)
            case ListFetched(instances):
                self._roster.replace_list(instances, now_ms)
                self._update_profile(now_ms)
            case LinkOpened(peer, connection_id):
                self._handle_opened(peer, connection_id, now_ms, actions)
            case LinkClosed(peer, connection_id):
                self._links.mark_closed(peer, connection_id, now_ms)
                self._shared.forget_connection(connection_id)
            case LinkFailed(peer, is_refused):
                self._handle_failed(peer, is_refused, now_ms)
            case NewerIncarnationFound(incarnation):
                self._is_superseded = incarnation > self._incarnation
            case DrainStarted():
                self._is_draining = True
                self._update_profile(now_ms)
                self._send_all(actions)
            case Published(key, value):
                self._handle_published(key, value)
        self._update_view(now_ms, actions)
        if self._is_superseded:
            for link in self._links.links:
                self._close(link.peer, link.connection_id, now_ms, actions)
        return tuple(actions)

    def incarnation_of(self, name: str) -> int:
        """Return the newest known incarnation of an instance, or 0."""
        if name == self._instance.name:
            return self._incarnation
        return self._liveness.incarnation(name)

    def _handle_when_superseded(self, event: Event) -> tuple[Action, ...]:
        if isinstance(event, LinkOpened):
            return (CloseLink(event.peer, event.connection_id),)
        return ()

    def _handle_tick(self, now_ms: int, actions: list[Action]) -> None:
        self._last_tick_ms = now_ms
        self._sequence += 1
        self._acks.record_sent(self._sequence, now_ms)
        for link in self._links.silent_links(now_ms):
            self._close(link.peer, link.connection_id, now_ms, actions)
        self._forget_lost(now_ms)
        self._update_profile(now_ms)
        self._update_view(now_ms, actions)
        self._plan_links(now_ms, actions)
        self._send_all(actions)

    def _detect_pause(self, now_ms: int) -> None:
        """Make this instance ineligible for roles for a while after a start or a pause.

        During ``JOIN_DELAY_MS`` it learns the state of the others. This runs before
        every event, since any may be the first one after a pause and the heartbeats
        that it causes must no longer announce the instance as eligible.
        """
        last_ms = self._last_tick_ms
        if last_ms is not None and now_ms - last_ms <= PAUSE_AFTER_MS:
            return
        self._last_tick_ms = now_ms
        self._eligible_from_ms = now_ms + JOIN_DELAY_MS
        self._liveness.restart_timeouts(now_ms)
        self._links.restart_timeouts(now_ms)
        self._update_profile(now_ms)

    def _handle_heartbeat(
        self,
        connection_id: str,
        heartbeat: Heartbeat,
        now_ms: int,
        actions: list[Action],
    ) -> None:
        sender = heartbeat.sender
        if not self._links.is_in_use(connection_id, sender):
            return
        if heartbeat.incarnation < self._liveness.incarnation(sender):
            self._close(sender, connection_id, now_ms, actions)
            return
        self._links.link_to(sender).received_ms = now_ms
        for profile in heartbeat.profiles:
            if profile.instance.name != self._instance.name:
                self._liveness.expect(profile.instance.name, now_ms)
                self._shared.merge_profile(profile)
        for beat in heartbeat.beats:
            self._apply_beat(beat, now_ms)
        for entry in heartbeat.entries:
            if entry.owner != self._instance.name:
                self._shared.merge_entry(entry)
        if self._lacks_profile(heartbeat.beats):
            self._close(sender, connection_id, now_ms, actions)

    def _apply_beat(self, beat: Beat, now_ms: int) -> None:
        if beat.name != self._instance.name:
            self._liveness.record_beat(beat, now_ms)
        elif beat.incarnation > self._incarnation:
            self._is_superseded = True
        elif beat.incarnation == self._incarnation:
            self._acks.record_ack(beat.sequence)

    def _lacks_profile(self, beats: tuple[Beat, ...]) -> bool:
        """Whether a beat is of a member whose profile was forgotten here.

        The sender does not repeat the profile on this connection, so the connection is
        closed: a new one starts with the full state.
        """
        return any(self._shared.profile(beat.name) is None for beat in beats)

    def _handle_opened(
        self, peer: str, connection_id: str, now_ms: int, actions: list[Action]
    ) -> None:
        replaced = self._links.mark_opened(peer, connection_id, now_ms)
        if replaced is not None:
            self._shared.forget_connection(replaced.connection_id)
            actions.append(CloseLink(peer, replaced.connection_id))
        self._update_profile(now_ms)
        self._send(peer, connection_id, actions)

    def _close(
        self, peer: str, connection_id: str, now_ms: int, actions: list[Action]
    ) -> None:
        self._links.mark_closed(peer, connection_id, now_ms)
        self._shared.forget_connection(connection_id)
        actions.append(CloseLink(peer, connection_id))

    def _handle_failed(self, peer: str, is_refused: bool, now_ms: int) -> None:
        if is_refused:
            self._liveness.mark_refused(peer)
        min_backoff_ms = 0 if self._roster.is_listed(peer) else RETRY_UNLISTED_MS
        self._links.mark_failed(peer, now_ms, min_backoff_ms=min_backoff_ms)

    def _plan_links(self, now_ms: int, actions: list[Action]) -> None:
        for peer in surplus_peers(self._view, self._links):
            self._close(peer, self._links.link_to(peer).connection_id, now_ms, actions)
        self._update_profile(now_ms)
        for peer in wanted_peers(
            self._view,
            self._links,
            lambda dc: self._no_route_for_ms(dc, now_ms),
            now_ms,
        ):
            if self._links.may_open(peer, now_ms):
                self._links.mark_opening(peer, now_ms)
                actions.append(OpenLink(self._view.members_by_name[peer].instance))

    def _no_route_for_ms(self, data_centre: str, now_ms: int) -> int:
        if any(
            data_centre in routes_of(self._view, peer)
            for peer in local_peers(self._view)
        ):
            self._no_route_since_by_data_centre.pop(data_centre, None)
            return 0
        since_ms = self._no_route_since_by_data_centre.setdefault(data_centre, now_ms)
        return now_ms - since_ms

    def _send_all(self, actions: list[Action]) -> None:
        for link in self._links.links:
            self._send(link.peer, link.connection_id, actions)

    def _send(self, peer: str, connection_id: str, actions: list[Action]) -> None:
        names = self._names_to_report_to(peer)
        beats = [Beat(self._instance.name, self._incarnation, self._sequence)]
        beats += [beat for beat in map(self._liveness.beat, names) if beat is not None]
        profiles, entries = self._shared.take_unsent(
            connection_id, (self._instance.name, *names)
        )
        heartbeat = Heartbeat(
            self._instance.name, self._incarnation, tuple(beats), profiles, entries
        )
        actions.append(SendHeartbeat(peer, connection_id, heartbeat))

    def _names_to_report_to(self, peer: str) -> tuple[str, ...]:
        """Return the other members that heartbeats to ``peer`` report on.

        A peer in another data centre receives only members of this data centre. A
        local peer also receives those of the data centres linked to this instance.
        """
        data_centres = {self._instance.data_centre}
        if self._data_centre_of(peer) in (None, self._instance.data_centre):
            data_centres.update(self._own_routes())
        return tuple(
            name
            for name, member in self._view.members_by_name.items()
            if name != self._instance.name
            and member.instance.data_centre in data_centres
            and member.status is not MemberStatus.DEAD
            and self._shared.profile(name) is not None
        )

    def _handle_published(self, key: str, value: bytes) -> None:
        self._entry_version += 1
        self._shared.merge_entry(
            Entry(
                self._instance.name, self._incarnation, key, self._entry_version, value
            )
        )

    def _update_profile(self, now_ms: int) -> None:
        current = self._shared.profile(self._instance.name)
        updated = dataclasses.replace(
            current,
            is_eligible=self._eligible_from_ms is not None
            and now_ms >= self._eligible_from_ms,
            is_draining=self._is_draining
            or self._roster.is_listed_leaving(self._instance.name),
            routes=self._own_routes(),
        )
        if updated != current:
            self._shared.merge_profile(
                dataclasses.replace(updated, version=current.version + 1)
            )

    def _update_view(self, now_ms: int, actions: list[Action]) -> None:
        members_by_name = self._roster.members_by_name(now_ms)
        if members_by_name != self._view.members_by_name:
            self._view = View(self._instance.name, members_by_name)
            self._update_local_peers_since(now_ms)
            actions.append(MembersChanged(self._view))

    def _forget_lost(self, now_ms: int) -> None:
        for name in tuple(self._view.members_by_name):
            if name == self._instance.name or self._roster.is_listed(name):
                continue
            if self._links.link_to(name) is not None:
                continue
            if self._liveness.silent_for_ms(name, now_ms) >= FORGET_AFTER_MS:
                self._roster.forget(name)
                self._links.forget(name)

    def _expects_ack(self, now_ms: int) -> bool:
        """Whether there have been local peers for long enough to acknowledge."""
        since_ms = self._local_peers_since_ms
        return since_ms is not None and now_ms - since_ms > ACK_VALID_MS

    def _update_local_peers_since(self, now_ms: int) -> None:
        names = self._view.names_not_dead(self._instance.data_centre)
        if set(names) <= {self._instance.name}:
            self._local_peers_since_ms = None
        elif self._local_peers_since_ms is None:
            self._local_peers_since_ms = now_ms

    def _own_routes(self) -> tuple[str, ...]:
        data_centres = {self._data_centre_of(link.peer) for link in self._links.links}
        return tuple(sorted(data_centres - {None, self._instance.data_centre}))

    def _data_centre_of(self, name: str) -> str | None:
        member = self._view.members_by_name.get(name)
        return None if member is None else member.instance.data_centre
