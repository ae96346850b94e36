"""Division of an endpoint's slots among the instances of its data centre.

Each slot of an endpoint is a token that carries ``connections // slots`` connections.
At most one instance uses a token at any moment; ``docs/design/requests.md`` gives the
safety argument. The protocol follows these rules:

* An instance acquires a token when every other instance that may hold tokens has
  promised not to use it. It keeps the token until it yields it or its lease expires.
* A lease lasts ``lease_ms``. It is renewed by a list that names the instance, counting
  from just before the list was requested, or by replies of all other possible holders,
  counting from just before the earliest of the answered heartbeats was sent.
* A promise holds until the asking instance leaves the token out of a later heartbeat,
  or is excluded.
* An instance is excluded when it has been missing from the list, and has got no reply,
  for longer than its lease can last. After its lease expired, and at its start, an
  instance waits for the same time before it acquires any token.
"""

from __future__ import annotations

from collections.abc import Mapping

from .messages import LoadReport, ShareHeartbeat, ShareReply
from .share_assignment import assigned_tokens
from .share_members import ShareMember, ShareSettings

__all__ = ["ShareManager", "ShareSettings"]


class ShareManager:
    """The tokens of one instance for all endpoints of its data centre.

    ``now_ms`` is the time of the instance's monotonic clock. Methods that apply an
    answer also take the time just before the list was requested (``requested_ms``) or
    the heartbeat was sent (``sent_ms``).
    """

    def __init__(
        self, instance: str, data_centre: str, incarnation: int, settings: ShareSettings
    ):
        self._instance = instance
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._settings = settings
        self._capacity_by_endpoint: dict[str, tuple[int, int]] = {}
        self._peer_by_name: dict[str, ShareMember] = {}
        self._held_by_endpoint: dict[str, int] = {}
        self._wanted_by_endpoint: dict[str, int] = {}
        self._assigned_by_endpoint: dict[str, int] = {}
        self._is_draining = False
        self._has_ended = False
        self._is_leaving = False
        self._first_confirmed_ms: int | None = None
        self._last_confirmed_ms: int | None = None
        self._sequence = 0
        self._first_valid_sequence = 0

    def set_endpoints(
        self, capacity_by_endpoint: Mapping[str, tuple[int, int]]
    ) -> None:
        """Set the slots and connections of endpoints of the data centre.

        An endpoint that is left out keeps its tokens while it is unlisted, since
        requests may still run on it.
        """
        self._capacity_by_endpoint.update(capacity_by_endpoint)

    def apply_instance_list(
        self, live: set[str], leaving: set[str], requested_ms: int, now_ms: int
    ) -> None:
        """Apply the instances that the list names for this data centre."""
        self._check_lease(now_ms)
        if self._instance not in live | leaving:
            # The listed instances may acquire tokens without knowing of this one, so
            # they have to confirm its lease too.
            for name in live | leaving:
                self._get_or_add_peer(name, now_ms)
            self._refresh(now_ms)
            return
        self._is_leaving = self._instance in leaving
        if self._first_confirmed_ms is None:
            self._first_confirmed_ms = requested_ms
        if self._last_confirmed_ms is None or requested_ms > self._last_confirmed_ms:
            self._last_confirmed_ms = requested_ms
        for name in (live | leaving) - {self._instance}:
            peer = self._get_or_add_peer(name, now_ms)
            peer.is_listed = True
            peer.is_excluded = peer.has_ended
            peer.absent_since_ms = None
            peer.is_leaving = name in leaving
        for name, peer in self._peer_by_name.items():
            if name not in live | leaving and peer.absent_since_ms is None:
                peer.is_listed = False
                peer.absent_since_ms = now_ms
        self._refresh(now_ms)

    def drain(self) -> None:
        """Stop acquiring tokens and yield unused ones to the peers that want them."""
        self._is_draining = True

    def end(self) -> None:
        """Give up all tokens for good.

        To be called once no request or connection of this instance is open.
        """
        self._is_draining = True
        self._has_ended = True
        self._held_by_endpoint = {}
        self._wanted_by_endpoint = {}

    def peers(self) -> tuple[str, ...]:
        """Return the names of the instances to send heartbeats to."""
        return tuple(n for n, p in self._peer_by_name.items() if not p.is_excluded)

    def slots(self, endpoint: str, now_ms: int) -> int:
        """Return the slots that this instance may use on an endpoint.

        A request may start only while fewer than this many run.
        """
        self._check_lease(now_ms)
        held = self._held_by_endpoint.get(endpoint, 0)
        if held:
            return (held & ~self._contested(endpoint)).bit_count()
        return self._isolated_slots(endpoint) if self._is_isolated(now_ms) else 0

    def limit(self, endpoint: str, now_ms: int) -> int:
        """Return how many requests of this instance may still run on an endpoint.

        This is more than ``slots`` while a peer waits for tokens, and after isolation,
        since requests that the endpoint accepted in isolation may finish. Requests
        beyond the limit have to be aborted, which happens only after the lease expired.
        """
        self._check_lease(now_ms)
        held = self._held_by_endpoint.get(endpoint, 0).bit_count()
        return held if self._has_ended else max(held, self._isolated_slots(endpoint))

    def _isolated_slots(self, endpoint: str) -> int:
        slots, _ = self._capacity_by_endpoint.get(endpoint, (0, 0))
        return min(self._settings.isolated_slots, slots)

    def connections(self, endpoint: str, now_ms: int) -> int:
        """Return how many connections this instance may keep open to an endpoint."""
        slots, connections = self._capacity_by_endpoint.get(endpoint, (1, 0))
        connections_per_slot = connections // max(1, slots)
        return self.slots(endpoint, now_ms) * connections_per_slot

    def tokens_in_use(self, endpoint: str, in_flight: int, connections: int) -> int:
        """Return how many tokens the requests and open connections occupy."""
        slots, max_connections = self._capacity_by_endpoint.get(endpoint, (1, 1))
        connections_per_slot = max(1, max_connections // max(1, slots))
        return max(in_flight, -(-connections // connections_per_slot))

    def holds_share(self, now_ms: int) -> bool:
        """Whether this instance holds any token."""
        self._check_lease(now_ms)
        return any(self._held_by_endpoint.values())

    def lease_expiry_ms(self) -> int | None:
        """Return when the lease of this instance expires, None if it has none."""
        renewals = [self._last_confirmed_ms]
        holders = self._possible_holders()
        if holders:
            sent_times_ms = [peer.acknowledged_sent_ms for peer in holders]
            renewals.append(None if None in sent_times_ms else min(sent_times_ms))
        renewals = [renewal for renewal in renewals if renewal is not None]
        return max(renewals) + self._settings.lease_ms if renewals else None

    def members(self) -> tuple[str, ...]:
        """Return the instances of the data centre that may hold tokens, in order."""
        return tuple(sorted((*self.peers(), self._instance)))

    def heartbeat(
        self, peer_name: str, load: LoadReport, now_ms: int
    ) -> ShareHeartbeat:
        """Return the heartbeat to send to a peer."""
        self._refresh(now_ms)
        peer = self._get_or_add_peer(peer_name, now_ms)
        peer.sent_sequence = self._sequence
        self._sequence += 1
        wanted = dict(self._wanted_by_endpoint)
        # The peer may use a token as soon as a heartbeat leaves it out.
        peer.granted_by_endpoint = {
            endpoint: mask & wanted.get(endpoint, 0)
            for endpoint, mask in peer.granted_by_endpoint.items()
        }
        return ShareHeartbeat(
            data_centre=self._data_centre,
            incarnation=self._incarnation,
            sequence=peer.sent_sequence,
            wanted_by_endpoint=wanted,
            members=self.members(),
            holds_share=self.holds_share(now_ms),
            is_draining=self._is_draining,
            has_ended=self._has_ended,
            load=load,
        )

    def handle_heartbeat(
        self,
        sender: str,
        heartbeat: ShareHeartbeat,
        in_use_by_endpoint: Mapping[str, int],
        load: LoadReport,
        now_ms: int,
    ) -> ShareReply | None:
        """Return the reply to a peer's heartbeat, or None if it is outdated.

        A heartbeat is outdated if it, or a later one of the peer, was handled before.
        ``in_use_by_endpoint`` counts the tokens that this instance's requests and
        connections occupy.
        """
        self._refresh(now_ms)
        peer = self._get_or_add_peer(sender, now_ms)
        if heartbeat.incarnation < peer.incarnation:
            return None
        if heartbeat.incarnation > peer.incarnation:
            peer.reset_for_incarnation(heartbeat.incarnation)
        if heartbeat.sequence <= peer.received_sequence:
            return None
        peer.received_sequence = heartbeat.sequence
        peer.has_ended = heartbeat.has_ended
        peer.is_excluded = peer.has_ended
        peer.holds_share = heartbeat.holds_share
        peer.is_draining = heartbeat.is_draining
        peer.wanted_by_endpoint = dict(heartbeat.wanted_by_endpoint)
        self._add_members(heartbeat.members, now_ms)
        self._update_wanted()
        peer.promised_by_endpoint = {
            endpoint: self._promise(sender, peer, endpoint, wanted, in_use_by_endpoint)
            for endpoint, wanted in heartbeat.wanted_by_endpoint.items()
        }
        peer.replied_ms = now_ms
        return ShareReply(
            incarnation=self._incarnation,
            sequence=heartbeat.sequence,
            granted_by_endpoint=dict(peer.promised_by_endpoint),
            members=self.members(),
            holds_share=self.holds_share(now_ms),
            is_draining=self._is_draining,
            load=load,
        )

    def handle_reply(
        self, sender: str, reply: ShareReply, sent_ms: int, now_ms: int
    ) -> None:
        """Apply a peer's reply to the last heartbeat sent to it.

        Other replies are ignored, and so is one to a heartbeat that was sent before the
        lease expired.
        """
        self._check_lease(now_ms)
        peer = self._get_or_add_peer(sender, now_ms)
        is_current = reply.sequence == peer.sent_sequence >= self._first_valid_sequence
        if not is_current or reply.incarnation < peer.incarnation:
            return
        if reply.incarnation > peer.incarnation:
            peer.reset_for_incarnation(reply.incarnation)
        peer.holds_share = reply.holds_share
        peer.is_draining = reply.is_draining
        peer.acknowledged_sent_ms = sent_ms
        peer.granted_by_endpoint = {
            endpoint: mask & self._wanted_by_endpoint.get(endpoint, 0)
            for endpoint, mask in reply.granted_by_endpoint.items()
        }
        self._add_members(reply.members, now_ms)
        self._refresh(now_ms)

    def _get_or_add_peer(self, name: str, now_ms: int) -> ShareMember:
        peer = self._peer_by_name.get(name)
        if peer is None:
            peer = self._peer_by_name[name] = ShareMember(absent_since_ms=now_ms)
        return peer

    def _add_members(self, members: tuple[str, ...], now_ms: int) -> None:
        for name in members:
            if name != self._instance:
                self._get_or_add_peer(name, now_ms)

    def _possible_holders(self) -> list[ShareMember]:
        """Return the peers that may hold tokens: all that are not excluded."""
        return [peer for peer in self._peer_by_name.values() if not peer.is_excluded]

    def _is_isolated(self, now_ms: int) -> bool:
        """Whether neither this instance nor a reachable peer holds a share."""
        # A planned stop aborts no running request, so draining does not matter here.
        if self.holds_share(now_ms) or self._has_ended:
            return False
        recent_since_ms = now_ms - self._settings.exclusion_ms
        return not any(
            peer.holds_share and (peer.acknowledged_sent_ms or 0) > recent_since_ms
            for peer in self._possible_holders()
        )

    def _check_lease(self, now_ms: int) -> None:
        """Give up all tokens if the lease has expired, and start over."""
        expiry_ms = self.lease_expiry_ms()
        if expiry_ms is None or now_ms < expiry_ms:
            return
        self._held_by_endpoint = {}
        self._wanted_by_endpoint = {}
        self._first_confirmed_ms = None
        self._last_confirmed_ms = None
        self._first_valid_sequence = self._sequence
        for peer in self._peer_by_name.values():
            peer.granted_by_endpoint = {}
            peer.acknowledged_sent_ms = None

    def _refresh(self, now_ms: int) -> None:
        """Exclude absent peers, update the wanted tokens and acquire granted ones."""
        self._check_lease(now_ms)
        self._exclude_absent(now_ms)
        self._update_wanted()
        if self._may_acquire(now_ms):
            self._acquire()

    def _may_acquire(self, now_ms: int) -> bool:
        """Whether this instance has been listed for long enough to acquire tokens."""
        first_ms = self._first_confirmed_ms
        if self._has_ended or first_ms is None or self._last_confirmed_ms is None:
            return False
        return (
            now_ms >= first_ms + self._settings.exclusion_ms
            and self._last_confirmed_ms > first_ms + self._settings.list_lag_ms
        )

    def _exclude_absent(self, now_ms: int) -> None:
        """Exclude peers that were unlisted and unanswered for ``exclusion_ms``."""
        confirmed_ms = self._last_confirmed_ms
        if confirmed_ms is None or now_ms >= confirmed_ms + self._settings.lease_ms:
            return
        cutoff_ms = now_ms - self._settings.exclusion_ms
        for peer in self._peer_by_name.values():
            is_absent = (
                peer.absent_since_ms is not None and peer.absent_since_ms <= cutoff_ms
            )
            is_unanswered = peer.replied_ms is None or peer.replied_ms <= cutoff_ms
            if is_absent and is_unanswered and not peer.is_excluded:
                peer.is_excluded = True
                peer.clear_tokens()

    def _update_wanted(self) -> None:
        """Set the wanted tokens: those assigned to this instance or held by it."""
        is_stopping = self._is_draining or self._is_leaving
        members = {
            name
            for name, peer in self._peer_by_name.items()
            if not (peer.is_excluded or peer.is_leaving or peer.is_draining)
        }
        members.add(self._instance)
        for endpoint, (slots, _) in self._capacity_by_endpoint.items():
            assigned = 0
            if not is_stopping:
                assigned = assigned_tokens(
                    endpoint, slots, frozenset(members), self._instance
                )
            self._assigned_by_endpoint[endpoint] = assigned
            held = self._held_by_endpoint.get(endpoint, 0)
            self._wanted_by_endpoint[endpoint] = held | assigned

    def _contested(self, endpoint: str) -> int:
        """Return held tokens that a peer wants and that are not assigned here."""
        requested = 0
        for peer in self._possible_holders():
            requested |= peer.wanted_by_endpoint.get(endpoint, 0)
        held = self._held_by_endpoint.get(endpoint, 0)
        return held & requested & ~self._assigned_by_endpoint.get(endpoint, 0)

    def _acquire(self) -> None:
        """Hold the wanted tokens that every possible holder granted."""
        holders = self._possible_holders()
        for endpoint, wanted in self._wanted_by_endpoint.items():
            mask = wanted
            for peer in holders:
                mask &= peer.granted_by_endpoint.get(endpoint, 0)
                mask &= ~peer.promised_by_endpoint.get(endpoint, 0)
            self._held_by_endpoint[endpoint] = (
                self._held_by_endpoint.get(endpoint, 0) | mask
            )

    def _promise(
        self,
        sender: str,
        peer: ShareMember,
        endpoint: str,
        wanted: int,
        in_use_by_endpoint: Mapping[str, int],
    ) -> int:
        """Return the tokens among ``wanted`` that this instance will not use."""
        if endpoint not in self._capacity_by_endpoint:
            return wanted
        held = self._held_by_endpoint.get(endpoint, 0)
        promised = wanted & ~held
        if self._instance < sender:
            # Views of the members may differ, so that both instances regard a token as
            # their own. The instance with the lower name keeps it unless it promised it
            # before, and the other one asks again.
            earlier = peer.promised_by_endpoint.get(endpoint, 0)
            promised &= ~self._assigned_by_endpoint.get(endpoint, 0) | earlier
        unused = held.bit_count() - in_use_by_endpoint.get(endpoint, 0)
        for token in range(held.bit_length()):
            bit = 1 << token
            if unused > 0 and bit & wanted & self._contested(endpoint):
                unused -= 1
                held &= ~bit
                promised |= bit
                self._held_by_endpoint[endpoint] = held
        return promised
