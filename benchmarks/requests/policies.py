"""The two policies: the project's request machine, and a naive dispatcher."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from ragwortshelf.core.model import (
    Answered,
    Reason,
    Request,
    RequestOutcome,
    ServingEndpoint,
    Unknown,
    Unreachable,
)
from ragwortshelf.core.requests import (
    Abort,
    AttemptEnded,
    ConnectionsSuspected,
    Delegate,
    EndpointsListed,
    Finish,
    LoadReport,
    OrganisationsChanged,
    PeerLoadReceived,
    RequestMachine,
    Send,
    ShareManager,
    ShareSettings,
    Submitted,
    Suspect,
    Ticked,
)

from .fakes import ENDPOINT_LATENCY_MS, Clock, Connection, FakeEndpoint
from .workload import CONNECTIONS, SLOTS, Arrival, Deployment

__all__ = ["NaiveInstance", "PolicyInstance"]

HEARTBEAT_MS = 500
TICK_MS = 100
NAIVE_RETRY_MS = 10

ReportOutcome = Callable[[Arrival, RequestOutcome], None]


class PolicyInstance:
    """An instance that uses the project's request machine and share manager."""

    def __init__(
        self,
        clock: Clock,
        deployment: Deployment,
        name: str,
        data_centre: str,
        endpoints: dict[str, FakeEndpoint],
        rng: random.Random,
    ):
        self.name = name
        self.data_centre = data_centre
        self.is_alive = True
        self.peers: dict[str, PolicyInstance] = {}
        self._clock = clock
        self._deployment = deployment
        self._endpoints = endpoints
        self._shares = ShareManager(name, data_centre, 1, ShareSettings())
        self._machine = RequestMachine(data_centre, self._shares, rng)
        self._arrival_by_id: dict[str, tuple[Arrival, Callable]] = {}
        self._connections_by_endpoint: dict[str, list[Connection]] = {}
        self._connection_by_id: dict[str, Connection] = {}
        self._delegated_attempt_by_id: dict[str, int] = {}
        self._next_number = 0
        self._planned_wake_ms = -1
        self._machine.handle(
            OrganisationsChanged(dict(deployment.weight_by_organisation)), 0
        )
        self._machine.handle(
            EndpointsListed(
                tuple(
                    ServingEndpoint(n, n.split("-")[0], "", SLOTS, CONNECTIONS)
                    for n in endpoints
                )
            ),
            0,
        )

    def start(self) -> None:
        """Start periodic heartbeats and ticks."""
        self._send_heartbeats()
        self._tick()

    def submit(self, arrival: Arrival, report: ReportOutcome) -> None:
        """Submit a caller's request."""
        self._next_number += 1
        key = f"{self.name}.1.{self._next_number}"
        request = Request(
            key,
            arrival.organisation,
            arrival.is_idempotent,
            arrival.deadline_ms,
            request_class=arrival.request_class,
        )
        self._arrival_by_id[key] = (arrival, lambda o: report(arrival, o))
        self._handle(Submitted(request))

    def run_delegated(self, request, arrival, attempt, reply) -> None:
        """Run a request delegated by another instance, at once or not at all."""
        if not self.is_alive:
            return
        key = f"{request.request_id}/{attempt}"
        self._arrival_by_id[key] = (arrival, reply)
        self._handle(Submitted(replace(request, request_id=key), is_delegated=True))

    def apply_instance_list(self, names: set[str]) -> None:
        """Update the list of instances of this data centre."""
        now_ms = self._clock.now_ms
        self._shares.apply_instance_list(names, set(), now_ms, now_ms)

    def _send_heartbeats(self) -> None:
        if not self.is_alive:
            return
        now_ms = self._clock.now_ms
        for peer in self.peers.values():
            if not peer.is_alive:
                continue
            if peer.data_centre == self.data_centre:
                self._exchange_shares(peer, now_ms)
            peer.handle_load_report(self.name, self._machine.load_report(now_ms))
        self._clock.at(now_ms + HEARTBEAT_MS, self._send_heartbeats)

    def _exchange_shares(self, peer: PolicyInstance, now_ms: int) -> None:
        heartbeat = self._shares.heartbeat(peer.name, LoadReport(), now_ms)
        reply = peer.answer_heartbeat(self.name, heartbeat)
        if reply is not None:
            self._shares.handle_reply(peer.name, reply, now_ms, now_ms)

    def answer_heartbeat(self, sender, heartbeat):
        """Handle a heartbeat from the same data centre and return the reply."""
        in_use = self._machine.in_flight_by_endpoint()
        now_ms = self._clock.now_ms
        return self._shares.handle_heartbeat(
            sender, heartbeat, in_use, LoadReport(), now_ms
        )

    def handle_load_report(self, peer: str, load: LoadReport) -> None:
        """Handle a load report of another instance."""
        self._handle(PeerLoadReceived(peer, load))

    def _tick(self) -> None:
        if self.is_alive:
            self._handle(Ticked())
            self._clock.at(self._clock.now_ms + TICK_MS, self._tick)

    def _wake(self) -> None:
        self._planned_wake_ms = -1
        if self.is_alive:
            self._handle(Ticked())

    def _handle(self, event) -> None:
        now_ms = self._clock.now_ms
        for action in self._machine.handle(event, now_ms):
            match action:
                case Send():
                    self._send(action)
                case Delegate():
                    self._delegate(action)
                case Abort(request_id, is_silent):
                    self._abort(request_id, is_silent)
                case Suspect(request_id):
                    self._suspect_connections(self._connection_by_id.get(request_id))
                case Finish(request_id, outcome):
                    _, report = self._arrival_by_id[request_id]
                    report(outcome)
        due_ms = self._machine.next_wake_ms()
        if due_ms is not None and due_ms <= now_ms + TICK_MS:
            due_ms = max(due_ms, now_ms + 1)
            if self._planned_wake_ms < 0 or due_ms < self._planned_wake_ms:
                self._planned_wake_ms = due_ms
                self._clock.at(due_ms, self._wake)

    def _send(self, action: Send) -> None:
        key = action.request.request_id
        arrival, _ = self._arrival_by_id[key]
        pool = self._connections_by_endpoint.setdefault(action.endpoint, [])
        idle = [c for c in pool if c.request_id is None]
        connection = idle[-1] if idle else Connection(self._clock.now_ms)
        if not idle:
            pool.append(connection)
        connection.request_id = key
        connection.sent_ms = self._clock.now_ms
        self._connection_by_id[key] = connection
        endpoint = self._endpoints[action.endpoint]

        def reply(connection, result):
            if self.is_alive and self._connection_by_id.get(key) is connection:
                self._end_attempt(key, connection, result)

        self._clock.at(
            self._clock.now_ms + ENDPOINT_LATENCY_MS,
            endpoint.receive,
            arrival,
            connection,
            reply,
        )

    def _end_attempt(self, key, connection, result) -> None:
        is_reused = connection.answered_ms is not None
        del self._connection_by_id[key]
        connection.request_id = None
        if isinstance(result, Unreachable):
            self._remove_connection(connection)
        else:
            connection.answered_ms = self._clock.now_ms
        self._handle(AttemptEnded(key, result, is_reused))

    def _remove_connection(self, connection) -> None:
        for pool in self._connections_by_endpoint.values():
            if connection in pool:
                pool.remove(connection)

    def _delegate(self, action: Delegate) -> None:
        key = action.request.request_id
        arrival, _ = self._arrival_by_id[key]
        peer = self.peers[action.peer]
        latency_ms = self._deployment.peer_latency_ms
        self._delegated_attempt_by_id[key] = action.attempt

        def reply(result):
            self._clock.at(self._clock.now_ms + latency_ms, end, result)

        def end(result):
            if (
                self.is_alive
                and self._delegated_attempt_by_id.get(key) == action.attempt
            ):
                del self._delegated_attempt_by_id[key]
                self._handle(AttemptEnded(key, result))

        self._clock.at(
            self._clock.now_ms + latency_ms,
            peer.run_delegated,
            action.request,
            arrival,
            action.attempt,
            reply,
        )

    def _abort(self, key, is_silent) -> None:
        connection = self._connection_by_id.get(key)
        if connection is None:
            if self._delegated_attempt_by_id.pop(key, None) is not None:
                self._clock.at(
                    self._clock.now_ms,
                    self._handle,
                    AttemptEnded(key, Unreachable("aborted")),
                )
            return
        if is_silent:
            self._suspect_connections(connection)
        self._clock.at(self._clock.now_ms, self._end_aborted, key, connection)

    def _end_aborted(self, key, connection) -> None:
        if self._connection_by_id.get(key) is connection:
            self._end_attempt(key, connection, Unreachable("aborted"))

    def _suspect_connections(self, silent: Connection | None) -> None:
        """Suspect the other connections to the endpoint of a silent one.

        Suspected are those open when the silent request was sent, unless one of them
        has answered since. Idle ones are removed, and busy ones reported.
        """
        if silent is None:
            return
        for pool in self._connections_by_endpoint.values():
            if silent not in pool:
                continue
            suspects = [
                c for c in pool if c is not silent and c.opened_ms <= silent.sent_ms
            ]
            if any((c.answered_ms or 0) > silent.sent_ms for c in suspects):
                return
            for connection in suspects:
                if connection.request_id is None:
                    pool.remove(connection)
            busy = [c.request_id for c in suspects if c.request_id is not None]
            event = ConnectionsSuspected((silent.request_id, *busy))
            self._clock.at(self._clock.now_ms, self._handle, event)


class NaiveInstance:
    """Round robin over all endpoints of its data centre, with unlimited retries.

    It retries until the caller's deadline, and has no information about the load of
    other instances.
    """

    def __init__(self, clock, deployment, name, data_centre, endpoints, rng):
        self.name = name
        self.data_centre = data_centre
        self.is_alive = True
        self.peers = {}
        self._clock = clock
        self._local_endpoints = [
            m for n, m in endpoints.items() if n.startswith(data_centre)
        ]
        self._next_index = rng.randrange(len(self._local_endpoints))
        self._idle_by_endpoint = {
            endpoint.name: [] for endpoint in self._local_endpoints
        }

    def start(self) -> None:
        """Do nothing: this policy has no periodic work."""

    def apply_instance_list(self, names) -> None:
        """Do nothing: this policy doesn't use the instance list."""

    def submit(self, arrival: Arrival, report: ReportOutcome) -> None:
        """Send a request to the next endpoint, and retry after any failure."""
        if not self.is_alive:
            return
        if arrival.deadline_ms <= self._clock.now_ms:
            report(arrival, Unknown(Reason.DEADLINE_PASSED))
            return
        endpoint = self._local_endpoints[self._next_index]
        self._next_index = (self._next_index + 1) % len(self._local_endpoints)
        idle = self._idle_by_endpoint[endpoint.name]
        connection = idle.pop() if idle else Connection(self._clock.now_ms)

        def reply(connection, result):
            if not self.is_alive:
                return
            idle.append(connection)
            if isinstance(result, Answered) and result.status == 200:
                report(arrival, result)
            else:
                retry_at_ms = self._clock.now_ms + NAIVE_RETRY_MS
                self._clock.at(retry_at_ms, self.submit, arrival, report)

        self._clock.at(
            self._clock.now_ms + ENDPOINT_LATENCY_MS,
            endpoint.receive,
            arrival,
            connection,
            reply,
        )
