"""Service that dispatches callers' requests to endpoints.

It runs ``RequestMachine`` and ``ShareManager`` and executes their actions as sends over
connections to endpoints and as calls to peers. ``dispatcher_ownership`` handles the
ownership of request ids, and ``dispatcher_heartbeats`` the heartbeats to peers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from ..core.model import (
    Configuration,
    Decision,
    InstanceInfo,
    MemberState,
    NotRun,
    Reason,
    Request,
    RequestOutcome,
    ServingEndpoint,
)
from ..core.releases import rule_value
from ..core.requests import (
    ID_REUSED,
    Abort,
    Cancelled,
    Delegate,
    DelegatedRequest,
    DrainStarted,
    EndpointsListed,
    Event,
    Finish,
    IdReserver,
    LoadReport,
    Log,
    OrganisationsChanged,
    PeerLoadReceived,
    RequestMachine,
    Send,
    ShareManager,
    ShareSettings,
    Submitted,
    Suspect,
    Ticked,
    request_fingerprint,
)
from ..net.interfaces import Peers
from .clock import monotonic_ms
from .dispatcher_attempts import AttemptRunner
from .dispatcher_connections import ConnectionPool, OpenEndpoint
from .dispatcher_heartbeats import Heartbeats
from .dispatcher_ownership import Ownership, outcome_message

__all__ = ["RequestService"]

TICK_MAX_MS = 100
NOT_READY_RETRY_AFTER_MS = 500

Observer = Callable[[Request, RequestOutcome, int], None]


@dataclass(eq=False, slots=True)
class _Pending:
    """A request in progress, with the number of callers waiting for its outcome."""

    request: Request
    started_ms: int
    done: trio.Event = field(default_factory=trio.Event)
    outcome: RequestOutcome | None = None
    waiters: int = 0


def _ignore(request: Request, outcome: RequestOutcome, elapsed_ms: int) -> None:
    """Default observer, which does nothing."""


class RequestService:
    """Serves the requests that callers send to this instance.

    ``open_endpoint`` opens a connection to an endpoint and ``peers`` calls the other
    instances. ``decision_logger`` receives each routing decision, and ``observer`` each
    request with its outcome and its duration in milliseconds.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        data_centre: str,
        open_endpoint: OpenEndpoint,
        peers: Peers,
        decision_logger: Callable[[Decision], None],
        rng: random.Random,
        *,
        share_settings: ShareSettings | None = None,
        observer: Observer = _ignore,
    ):
        self._instance = instance
        self._data_centre = data_centre
        self._peers = peers
        self._log_decision = decision_logger
        self._observe = observer
        self._ids = IdReserver(instance, incarnation)
        settings = share_settings or ShareSettings()
        self._shares = ShareManager(instance, data_centre, incarnation, settings)
        self._machine = RequestMachine(data_centre, self._shares, rng)
        self._connections = ConnectionPool(
            open_endpoint, lambda name: self._shares.connections(name, monotonic_ms())
        )
        self._ownership = Ownership(instance, incarnation, self._ids, peers)
        self._heartbeats = Heartbeats(self, self._shares, peers, rng)
        self._attempts = AttemptRunner(self._connections, peers, self._handle)
        self._pending_by_id: dict[str, _Pending] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._idle = trio.Event()
        self._idle.set()
        peers.handle(DelegatedRequest, self._on_delegated)
        self._ownership.register_handlers(self.submit)

    # Input from the node

    def set_endpoints(self, endpoints: tuple[ServingEndpoint, ...]) -> None:
        """Apply the endpoints of all data centres from the instance list."""
        self._attempts.endpoint_by_name.update({info.name: info for info in endpoints})
        self._handle(EndpointsListed(tuple(endpoints)))

    def set_instances(
        self, instances: tuple[InstanceInfo, ...], *, requested_ms: int | None = None
    ) -> None:
        """Apply the instances of all data centres from one answer of the instance list.

        Call this for every answer, changed or not, since each one renews this
        instance's right to its share. ``requested_ms`` is when the list was requested.
        """
        now_ms = monotonic_ms()
        here = [i for i in instances if i.data_centre == self._data_centre]
        self._shares.apply_instance_list(
            {i.name for i in here if i.state is MemberState.LIVE},
            {i.name for i in here if i.state is MemberState.LEAVING},
            now_ms if requested_ms is None else requested_ms,
            now_ms,
        )
        self._heartbeats.set_instances(instances)
        self._ownership.set_instances(instances)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the organisations' weights and the maximum length of their queues."""
        organisations = configuration.organisations_by_name
        weights = {name: org.weight for name, org in organisations.items()}
        queue_limit = int(rule_value(configuration, "queue_limit"))
        self._handle(OrganisationsChanged(weights, queue_limit))

    def apply_peer_load(self, peer: str, load: LoadReport) -> None:
        """Apply a peer's load report."""
        self._handle(PeerLoadReceived(peer, load))

    # Queries

    def reserve_ids(self, count: int) -> tuple[str, ...]:
        """Reserve request ids that this instance owns."""
        return self._ids.reserve(count)

    def load_report(self) -> LoadReport:
        """Return this instance's load as reported to its peers."""
        return self._machine.load_report(monotonic_ms())

    def slots_by_endpoint(self) -> dict[str, int]:
        """Return how many requests this instance may run on each local endpoint."""
        now_ms = monotonic_ms()
        return {
            name: self._shares.slots(name, now_ms)
            for name, info in self._attempts.endpoint_by_name.items()
            if info.data_centre == self._data_centre
        }

    def tokens_in_use_by_endpoint(self) -> dict[str, int]:
        """Return how many tokens running requests and open connections use."""
        in_flight = self._machine.in_flight_by_endpoint()
        names = set(in_flight) | set(self._connections.endpoints())
        return {
            name: self._shares.tokens_in_use(
                name, in_flight.get(name, 0), self._connections.count(name)
            )
            for name in names
        }

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return self._machine.waiting()

    def ejected_endpoints(self) -> set[str]:
        """Return the names of the endpoints that are ejected after failures."""
        return self._machine.ejected_endpoints()

    # Lifecycle

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._attempts.nursery = nursery
            task_status.started()
            try:
                nursery.start_soon(self._heartbeats.run)
                await self._run_ticks()
            finally:
                self._nursery = None
                self._attempts.nursery = None
                with trio.CancelScope(shield=True):
                    await self._connections.close()

    async def drain(self) -> None:
        """Refuse new requests, finish running ones, and hand over their outcomes.

        There is no timeout here; the caller sets one.
        """
        self._handle(DrainStarted())
        self._shares.drain()
        await self._idle.wait()
        await self._connections.close()
        self._shares.end()
        await self._heartbeats.send_to_all()
        await self._ownership.hand_over()

    async def _run_ticks(self) -> None:
        while True:
            now_ms = monotonic_ms()
            self._handle(Ticked())
            await self._connections.close_excess(now_ms)
            due_ms = self._machine.next_wake_ms()
            until_ms = now_ms + TICK_MAX_MS
            if due_ms is not None:
                until_ms = min(until_ms, max(due_ms, now_ms + 1))
            with trio.move_on_at(until_ms / 1000):
                await self._wake.wait()
            self._wake = trio.Event()

    # Requests

    async def submit(self, request: Request) -> RequestOutcome:
        """Serve one request and return its outcome.

        A second call with the id of a request in progress waits for the same outcome.
        When the last waiting caller is cancelled, the request is aborted and never sent
        again.
        """
        if self._nursery is None:
            return NotRun(
                Reason.NOT_READY, "the service is not running", NOT_READY_RETRY_AFTER_MS
            )
        outcome = await self._ownership.find_outcome(request, monotonic_ms())
        if outcome is not None:
            return outcome
        return await self._serve(request.request_id, Submitted(request))

    async def _serve(self, request_id: str, event: Submitted) -> RequestOutcome:
        pending = self._pending_by_id.get(request_id)
        if pending is None:
            pending = _Pending(event.request, monotonic_ms())
            self._pending_by_id[request_id] = pending
            if self._idle.is_set():
                self._idle = trio.Event()
            self._handle(event)
        elif request_fingerprint(pending.request) != request_fingerprint(event.request):
            return ID_REUSED
        pending.waiters += 1
        try:
            await pending.done.wait()
        finally:
            pending.waiters -= 1
            if pending.outcome is None and not pending.waiters:
                self._handle(Cancelled(request_id))
        return pending.outcome

    async def _on_delegated(self, sender: str, message: DelegatedRequest):
        """Run a request on behalf of its owner, once per attempt."""
        known_outcome = self._ownership.delegated_outcome(message)
        if known_outcome is not None:
            return outcome_message(known_outcome)
        request = replace(
            message.request, deadline_ms=monotonic_ms() + message.remaining_ms
        )
        event = Submitted(request, is_delegated=True)
        outcome = await self._serve(request.request_id, event)
        self._ownership.record_delegated(message, outcome)
        return outcome_message(outcome)

    # Actions

    def _handle(self, event: Event) -> None:
        now_ms = monotonic_ms()
        before_ms = self._machine.next_wake_ms()
        for action in self._machine.handle(event, now_ms):
            self._execute(action, now_ms)
        after_ms = self._machine.next_wake_ms()
        if after_ms is not None and (before_ms is None or after_ms < before_ms):
            self._wake.set()
        if self._machine.is_idle() and not self._pending_by_id:
            self._idle.set()

    def _execute(self, action, now_ms: int) -> None:
        match action:
            case Log(decision):
                self._log_decision(decision)
            case Finish(request_id, outcome):
                self._finish(request_id, outcome, now_ms)
            case Send():
                self._attempts.send(action)
            case Delegate():
                self._attempts.delegate(action)
            case Abort(request_id, is_silent):
                self._attempts.abort(request_id, is_silent=is_silent)
            case Suspect(request_id):
                self._attempts.suspect(request_id)

    def _finish(self, request_id: str, outcome: RequestOutcome, now_ms: int) -> None:
        pending = self._pending_by_id.pop(request_id, None)
        if pending is None:
            return
        self._ownership.record_outcome(pending.request, outcome, now_ms)
        pending.outcome = outcome
        pending.done.set()
        self._observe(pending.request, outcome, now_ms - pending.started_ms)
