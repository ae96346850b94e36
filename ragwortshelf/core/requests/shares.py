"""Division of an endpoint's slots among the instances of its data centre.

Each slot of an endpoint is a token that carries ``connections // slots`` connections.
At most one instance uses a token at any moment. ``docs/design/requests.md`` holds the
argument; the rules are these:

An instance acquires a token when every other instance that may hold one has promised
not to use it. It keeps a token until it yields it, or until its right lapses: the right
lasts ``lease_ms`` from the moment before the last question that was answered by a list
that names the instance, or by each of the other possible holders. A promise stands
until the asker leaves the token out of a later heartbeat, or is excluded. An instance
is excluded when the list has left it out, and it has not been answered, for longer
than its right can last. After a lapse, and at its start, an instance waits for that
long before it acquires anything.
"""

from __future__ import annotations

from collections.abc import Mapping

from .messages import LoadReport, ShareHeartbeat, ShareReply
from .share_assignment import assigned_tokens
from .share_members import ShareMember, ShareSettings

__all__ = ["ShareManager", "ShareSettings"]


class ShareManager:
    """The tokens of one instance over all endpoints of its data centre.

    Every method takes ``now_ms`` of the instance's monotonic clock, and those that
    follow a question also ``asked_ms``, the time before it was sent.
    """

    def __init__(
        self, instance: str, data_centre: str, incarnation: int, settings: ShareSettings
    ):
        self._instance = instance
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._settings = settings
        self._size_by_endpoint: dict[str, tuple[int, int]] = {}
        self._peer_by_name: dict[str, ShareMember] = {}
        self._held_by_endpoint: dict[str, int] = {}
        self._wanted_by_endpoint: dict[str, int] = {}
        self._assigned_by_endpoint: dict[str, int] = {}
        self._is_draining = False
        self._has_ended = False
        self._is_leaving = False
        self._first_named_asked_ms: int | None = None
        self._last_named_asked_ms: int | None = None
        self._sequence = 0
        self._first_valid_sequence = 0

    def set_endpoints(self, size_by_endpoint: Mapping[str, tuple[int, int]]) -> None:
        """Set slots and connections of the endpoints of the data centre.

        An endpoint that is left out keeps its tokens until it is listed again, since
        requests may still run on it.
        """
        self._size_by_endpoint.update(size_by_endpoint)

    def note_list(
        self, live: set[str], leaving: set[str], asked_ms: int, now_ms: int
    ) -> None:
        """Apply the names that the list gives for this data centre."""
        self._check_lapse(now_ms)
        if self._instance not in live | leaving:
            # Those that are named may acquire tokens without knowing of this instance,
            # so its right has to be confirmed by them too.
            for name in live | leaving:
                self._peer(name, now_ms)
            self._refresh(now_ms)
            return
        self._is_leaving = self._instance in leaving
        if self._first_named_asked_ms is None:
            self._first_named_asked_ms = asked_ms
        if self._last_named_asked_ms is None or asked_ms > self._last_named_asked_ms:
            self._last_named_asked_ms = asked_ms
        for name in (live | leaving) - {self._instance}:
            peer = self._peer(name, now_ms)
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
        """Stop acquiring tokens and yield each as soon as it is not in use."""
        self._is_draining = True

    def end(self) -> None:
        """Give up everything for good, once nothing runs and no connection is open."""
        self._is_draining = True
        self._has_ended = True
        self._held_by_endpoint = {}
        self._wanted_by_endpoint = {}

    def peers(self) -> tuple[str, ...]:
        """Return the names of the instances to send heartbeats to."""
        return tuple(n for n, p in self._peer_by_name.items() if not p.is_excluded)

    def slots(self, endpoint: str, now_ms: int) -> int:
        """Return how many requests may run on an endpoint for another to start."""
        self._check_lapse(now_ms)
        held = self._held_by_endpoint.get(endpoint, 0)
        if held:
            return (held & ~self._contested(endpoint)).bit_count()
        return self._isolated_slots(endpoint) if self._is_isolated(now_ms) else 0

    def limit(self, endpoint: str, now_ms: int) -> int:
        """Return how many requests of this instance may still run on an endpoint.

        More than ``slots`` while a peer waits for tokens, or after isolation, since
        what the endpoint took in isolation may finish. What runs beyond the limit has
        to be cut off, which only happens after the right has lapsed.
        """
        self._check_lapse(now_ms)
        held = self._held_by_endpoint.get(endpoint, 0).bit_count()
        return held if self._has_ended else max(held, self._isolated_slots(endpoint))

    def _isolated_slots(self, endpoint: str) -> int:
        slots, _ = self._size_by_endpoint.get(endpoint, (0, 0))
        return min(self._settings.isolated_slots, slots)

    def connections(self, endpoint: str, now_ms: int) -> int:
        """Return how many connections this instance may keep open to an endpoint."""
        slots, connections = self._size_by_endpoint.get(endpoint, (1, 0))
        each = connections // max(1, slots)
        return self.slots(endpoint, now_ms) * each

    def tokens_in_use(self, endpoint: str, in_flight: int, connections: int) -> int:
        """Return how many tokens requests and open connections take up."""
        slots, limit = self._size_by_endpoint.get(endpoint, (1, 1))
        each = max(1, limit // max(1, slots))
        return max(in_flight, -(-connections // each))

    def holds_share(self, now_ms: int) -> bool:
        """Whether this instance holds any token."""
        self._check_lapse(now_ms)
        return any(self._held_by_endpoint.values())

    def right_until_ms(self) -> int | None:
        """Return the deadline of this instance's right, None if it never had one."""
        renewals = [self._last_named_asked_ms]
        required = self._required()
        if required:
            asked = [peer.acknowledged_asked_ms for peer in required]
            renewals.append(None if None in asked else min(asked))
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
        peer = self._peer(peer_name, now_ms)
        peer.sent_sequence = self._sequence
        self._sequence += 1
        wanted = dict(self._wanted_by_endpoint)
        # What a heartbeat leaves out, the peer may use from then on.
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

    def note_heartbeat(
        self,
        sender: str,
        heartbeat: ShareHeartbeat,
        in_use_by_endpoint: Mapping[str, int],
        load: LoadReport,
        now_ms: int,
    ) -> ShareReply | None:
        """Answer a peer's heartbeat; None if it is older than one already answered.

        ``in_use_by_endpoint`` counts the tokens that this instance's requests and
        connections take up.
        """
        self._refresh(now_ms)
        peer = self._peer(sender, now_ms)
        if heartbeat.incarnation < peer.incarnation:
            return None
        if heartbeat.incarnation > peer.incarnation:
            peer.forget_incarnation(heartbeat.incarnation)
        if heartbeat.sequence <= peer.heard_sequence:
            return None
        peer.heard_sequence = heartbeat.sequence
        peer.has_ended = heartbeat.has_ended
        peer.is_excluded = peer.has_ended
        peer.holds_share = heartbeat.holds_share
        peer.is_draining = heartbeat.is_draining
        peer.wanted_by_endpoint = dict(heartbeat.wanted_by_endpoint)
        self._note_members(heartbeat.members, now_ms)
        self._want()
        peer.promised_by_endpoint = {
            endpoint: self._promise(sender, peer, endpoint, wanted, in_use_by_endpoint)
            for endpoint, wanted in heartbeat.wanted_by_endpoint.items()
        }
        peer.answered_ms = now_ms
        return ShareReply(
            incarnation=self._incarnation,
            sequence=heartbeat.sequence,
            granted_by_endpoint=dict(peer.promised_by_endpoint),
            members=self.members(),
            holds_share=self.holds_share(now_ms),
            is_draining=self._is_draining,
            load=load,
        )

    def note_reply(
        self, sender: str, reply: ShareReply, asked_ms: int, now_ms: int
    ) -> None:
        """Apply a peer's answer to this instance's last heartbeat to it."""
        self._check_lapse(now_ms)
        peer = self._peer(sender, now_ms)
        is_current = reply.sequence == peer.sent_sequence >= self._first_valid_sequence
        if not is_current or reply.incarnation < peer.incarnation:
            return
        if reply.incarnation > peer.incarnation:
            peer.forget_incarnation(reply.incarnation)
        peer.holds_share = reply.holds_share
        peer.is_draining = reply.is_draining
        peer.acknowledged_asked_ms = asked_ms
        peer.granted_by_endpoint = {
            endpoint: mask & self._wanted_by_endpoint.get(endpoint, 0)
            for endpoint, mask in reply.granted_by_endpoint.items()
        }
        self._note_members(reply.members, now_ms)
        self._refresh(now_ms)

    def _peer(self, name: str, now_ms: int) -> ShareMember:
        peer = self._peer_by_name.get(name)
        if peer is None:
            peer = self._peer_by_name[name] = ShareMember(absent_since_ms=now_ms)
        return peer

    def _note_members(self, members: tuple[str, ...], now_ms: int) -> None:
        for name in members:
            if name != self._instance:
                self._peer(name, now_ms)

    def _required(self) -> list[ShareMember]:
        return [peer for peer in self._peer_by_name.values() if not peer.is_excluded]

    def _is_isolated(self, now_ms: int) -> bool:
        """Whether no instance that is heard of holds a share, and none is held."""
        # A planned stop ends nothing that runs, so draining makes no difference here.
        if self.holds_share(now_ms) or self._has_ended:
            return False
        heard_from_ms = now_ms - self._settings.exclusion_ms
        return not any(
            peer.holds_share and (peer.acknowledged_asked_ms or 0) > heard_from_ms
            for peer in self._required()
        )

    def _check_lapse(self, now_ms: int) -> None:
        """Give up everything once the right has lapsed, and start anew."""
        until_ms = self.right_until_ms()
        if until_ms is None or now_ms < until_ms:
            return
        self._held_by_endpoint = {}
        self._wanted_by_endpoint = {}
        self._first_named_asked_ms = None
        self._last_named_asked_ms = None
        self._first_valid_sequence = self._sequence
        for peer in self._peer_by_name.values():
            peer.granted_by_endpoint = {}
            peer.acknowledged_asked_ms = None

    def _refresh(self, now_ms: int) -> None:
        """Exclude who is gone, decide what to want, and acquire what is promised."""
        self._check_lapse(now_ms)
        self._exclude(now_ms)
        self._want()
        if self._may_acquire(now_ms):
            self._acquire()

    def _may_acquire(self, now_ms: int) -> bool:
        first_ms = self._first_named_asked_ms
        if self._has_ended or first_ms is None or self._last_named_asked_ms is None:
            return False
        return (
            now_ms >= first_ms + self._settings.exclusion_ms
            and self._last_named_asked_ms > first_ms + self._settings.list_lag_ms
        )

    def _exclude(self, now_ms: int) -> None:
        named_ms = self._last_named_asked_ms
        if named_ms is None or now_ms >= named_ms + self._settings.lease_ms:
            return
        limit_ms = now_ms - self._settings.exclusion_ms
        for peer in self._peer_by_name.values():
            is_absent = (
                peer.absent_since_ms is not None and peer.absent_since_ms <= limit_ms
            )
            is_unanswered = peer.answered_ms is None or peer.answered_ms <= limit_ms
            if is_absent and is_unanswered and not peer.is_excluded:
                peer.is_excluded = True
                peer.forget_tokens()

    def _want(self) -> None:
        """Want the tokens that are assigned to this instance, and what it holds."""
        is_stopping = self._is_draining or self._is_leaving
        members = {
            name
            for name, peer in self._peer_by_name.items()
            if not (peer.is_excluded or peer.is_leaving or peer.is_draining)
        }
        members.add(self._instance)
        for endpoint, (slots, _) in self._size_by_endpoint.items():
            assigned = 0
            if not is_stopping:
                assigned = assigned_tokens(
                    endpoint, slots, frozenset(members), self._instance
                )
            self._assigned_by_endpoint[endpoint] = assigned
            held = self._held_by_endpoint.get(endpoint, 0)
            self._wanted_by_endpoint[endpoint] = held | assigned

    def _contested(self, endpoint: str) -> int:
        """Return held tokens that are another's by assignment and asked for."""
        asked_for = 0
        for peer in self._required():
            asked_for |= peer.wanted_by_endpoint.get(endpoint, 0)
        held = self._held_by_endpoint.get(endpoint, 0)
        return held & asked_for & ~self._assigned_by_endpoint.get(endpoint, 0)

    def _acquire(self) -> None:
        required = self._required()
        for endpoint, wanted in self._wanted_by_endpoint.items():
            mask = wanted
            for peer in required:
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
        if endpoint not in self._size_by_endpoint:
            return wanted
        held = self._held_by_endpoint.get(endpoint, 0)
        promised = wanted & ~held
        if self._instance < sender:
            # Both are assigned the token in their own views; the lower name waits
            # for no one, the higher one asks again.
            earlier = peer.promised_by_endpoint.get(endpoint, 0)
            promised &= ~self._assigned_by_endpoint.get(endpoint, 0) | earlier
        spare = held.bit_count() - in_use_by_endpoint.get(endpoint, 0)
        for token in range(held.bit_length()):
            bit = 1 << token
            if spare > 0 and bit & wanted & self._contested(endpoint):
                spare -= 1
                held &= ~bit
                promised |= bit
                self._held_by_endpoint[endpoint] = held
        return promised
