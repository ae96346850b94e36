"""State machine that queues, routes and retries the requests of one instance.

It combines the fair queue, routing, retries, health of endpoints and the outcome rules.
It performs no I/O: the driver carries out the returned actions and reports how each
attempt ended. Time is passed in, and a ``ShareManager`` gives the slots that the
instance may use.
"""

from __future__ import annotations

import random

from ..model import (
    Answered,
    NotRun,
    Reason,
    ServingEndpoint,
    Unreachable,
)
from .admission import is_within_share, refusal
from .capacity import Capacity
from .completion import CompletionRules, no_slot_outcome
from .entries import Entry, EntryTable
from .events import (
    DEFAULT_QUEUE_LIMIT,
    Action,
    AttemptEnded,
    Cancelled,
    ConnectionsSuspected,
    Delegate,
    DrainStarted,
    EndpointsListed,
    Event,
    Finish,
    Log,
    NotSentToEndpoint,
    OrganisationsChanged,
    PeerLoadReceived,
    PeerLost,
    Send,
    Submitted,
    Ticked,
)
from .fair_queue import FairQueue
from .health import EndpointHealth
from .messages import LoadReport
from .progress import ProgressRules
from .retries import RetryBudget
from .retry_rules import SERVER_ERROR_STATUS, Retry, RetryRules
from .routing import EndpointPool, PeerLoads, least_loaded_of_two, routing_decision
from .run_times import RunTimes
from .shares import ShareManager

__all__ = ["RequestMachine"]

DRAINING_RETRY_AFTER_MS = 100
DELEGATION_COST_MS = 10
DELEGATED_BODY_MAX_BYTES = 2 * 1024 * 1024


class RequestMachine:
    """Queues, routes and retries requests, and gives each exactly one outcome."""

    def __init__(self, data_centre: str, shares: ShareManager, rng: random.Random):
        self._data_centre = data_centre
        self._shares = shares
        self._rng = rng
        self._queue = FairQueue()
        self._pool = EndpointPool(data_centre)
        self._peer_loads = PeerLoads()
        self._health = EndpointHealth(rng)
        self._budget = RetryBudget()
        self._run_times = RunTimes()
        self._entries = EntryTable()
        self._progress = ProgressRules(self._entries, self._run_times)
        self._retry_rules = RetryRules(self._budget, self._run_times, rng)
        self._capacity = Capacity(
            shares, self._pool, self._health, self._peer_loads, self._entries
        )
        self._completion = CompletionRules(
            self._entries, self._queue, self._progress, self._run_times, self._capacity
        )
        self._backing_off_ids: set[str] = set()
        self._weight_by_organisation: dict[str, int] | None = None
        self._queue_limit = DEFAULT_QUEUE_LIMIT
        self._is_draining = False

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Take one event and return the actions to carry out, in order."""
        actions: list[Action] = []
        match event:
            case Submitted(request, is_delegated):
                self._submit(request, is_delegated, now_ms, actions)
            case AttemptEnded():
                self._end_attempt(event, now_ms, actions)
            case ConnectionsSuspected(request_ids):
                self._progress.mark_suspect(request_ids, now_ms)
            case Cancelled(request_id):
                self._cancel(request_id, actions)
            case EndpointsListed(endpoints):
                self._set_endpoints(endpoints)
            case OrganisationsChanged(weights, queue_limit):
                self._queue_limit = queue_limit
                self._weight_by_organisation = weights
                self._queue.set_weights(weights or {})
            case PeerLoadReceived(peer, load):
                self._peer_loads.record(peer, load, now_ms)
            case PeerLost(peer):
                self._peer_loads.discard(peer)
            case DrainStarted():
                self._is_draining = True
            case Ticked():
                self._completion.abort_excess(now_ms, actions)
        self._completion.expire(now_ms, actions)
        self._dispatch(now_ms, actions)
        if isinstance(event, Submitted) and event.is_delegated:
            self._completion.refuse_if_queued(event.request.request_id, actions)
        return actions

    def in_flight_by_endpoint(self) -> dict[str, int]:
        """Return the running requests of this instance by endpoint, without zeros."""
        return self._entries.in_flight_by_endpoint()

    def is_idle(self) -> bool:
        """Whether no request waits or runs."""
        return not len(self._entries)

    def waiting(self) -> int:
        """Return how many requests are queued or waiting for a retry."""
        return len(self._queue) + len(self._backing_off_ids)

    def ejected_endpoints(self) -> set[str]:
        """Return the endpoints that are ejected for failures."""
        return self._health.ejected()

    def next_wake_ms(self) -> int | None:
        """Return when the driver has to send ``Ticked``, or None without timers."""
        return self._entries.next_wake_ms()

    def load_report(self, now_ms: int) -> LoadReport:
        """Return the load report to send to peers."""
        is_open = not self._is_draining and not len(self._queue)
        return LoadReport(
            data_centre=self._data_centre,
            free_slots=self._capacity.free_slots(now_ms) if is_open else 0,
            waiting=self.waiting(),
            is_draining=self._is_draining,
            in_flight_by_endpoint=self.in_flight_by_endpoint(),
        )

    # Arrival

    def _submit(self, request, is_delegated, now_ms, actions) -> None:
        outcome = self._refusal(request, is_delegated, now_ms)
        if outcome is not None:
            decision = routing_decision(request, "refuse", outcome.reason.value)
            actions.append(Log(decision))
            actions.append(Finish(request.request_id, outcome))
            return
        cost_ms = self._run_times.mean_ms(request.request_class)
        self._entries.add(Entry(request, is_delegated, now_ms, cost_ms))
        self._queue.push(request, cost_ms)
        self._budget.earn()

    def _refusal(self, request, is_delegated, now_ms) -> NotRun | None:
        if request.request_id in self._entries:
            return NotRun(Reason.INVALID, "a request with this id is being served")
        if self._is_draining:
            return NotRun(
                Reason.DRAINING, "this instance stops", DRAINING_RETRY_AFTER_MS
            )
        weights = self._weight_by_organisation
        if weights is not None and request.organisation not in weights:
            return NotRun(Reason.ORGANISATION_UNKNOWN, request.organisation)
        if is_delegated and self._capacity.free_slots(now_ms) <= len(self._queue):
            return no_slot_outcome()
        slots = self._capacity.serving_slots(now_ms)
        return refusal(
            request, self._queue, slots, self._run_times, self._queue_limit, now_ms
        )

    # Dispatch

    def _dispatch(self, now_ms, actions) -> None:
        self._requeue_after_backoff(now_ms)
        if not len(self._queue):
            return
        self._send_probes(now_ms, actions)
        free_by_endpoint = self._capacity.free_by_endpoint(now_ms)
        slots = self._capacity.serving_slots(now_ms)
        free_slots = sum(free_by_endpoint.values())
        while free_by_endpoint:
            request = self._queue.peek(
                lambda name, free_slots=free_slots: self._may_start(
                    name, slots, free_slots
                )
            )
            if request is None:
                break
            if self._completion.refuse_if_late(request, now_ms, actions):
                continue
            endpoint = self._send(request, free_by_endpoint, now_ms, actions)
            free_slots -= 1
            free_by_endpoint[endpoint] -= 1
            if not free_by_endpoint[endpoint]:
                del free_by_endpoint[endpoint]
        if not free_by_endpoint:
            self._delegate(slots, now_ms, actions)

    def _may_start(self, organisation, slots, free_slots) -> bool:
        weights = self._weight_by_organisation
        if not weights:
            return True
        return is_within_share(
            self._entries.in_flight_of(organisation),
            self._queue.weight(organisation),
            sum(max(1, weight) for weight in weights.values()),
            slots,
            free_slots,
        )

    def _send(self, request, free_by_endpoint, now_ms, actions) -> str:
        load_by_endpoint = self._capacity.load_by_endpoint(free_by_endpoint, now_ms)
        endpoint, other = least_loaded_of_two(load_by_endpoint, self._rng)
        passed_over = ()
        if other is not None:
            passed_over = (f"{other}: {load_by_endpoint[other]} run",)
        reason = f"{load_by_endpoint[endpoint]} run, least of two"
        self._start(request, endpoint, now_ms, actions, reason, passed_over)
        return endpoint

    def _start(
        self, request, endpoint, now_ms, actions, reason, passed_over=()
    ) -> None:
        self._queue.pop(request, now_ms)
        entry = self._entries.get(request.request_id)
        self._entries.open_attempt(entry, now_ms, endpoint=endpoint)
        self._progress.set_next_deadline(entry, now_ms)
        actions.append(Log(routing_decision(request, endpoint, reason, passed_over)))
        actions.append(Send(request, endpoint, entry.attempt))

    def _send_probes(self, now_ms, actions) -> None:
        for name in self._capacity.endpoints_to_probe(now_ms):
            request = next((r for r in self._queue.requests() if r.is_idempotent), None)
            if request is None:
                return
            self._health.start_probe(name, request.request_id)
            self._start(request, name, now_ms, actions, "probe of an ejected endpoint")

    def _delegate(self, slots, now_ms, actions) -> None:
        """Delegate requests that would wait longer here than delegation costs.

        Stops when no peer has a free slot, or at the first request that can start here
        soon, that was itself delegated to this instance, or whose body exceeds
        ``DELEGATED_BODY_MAX_BYTES``.
        """
        has_own_slots = self._capacity.own_slots(now_ms) > 0
        while len(self._queue):
            request = self._queue.peek()
            entry = self._entries.get(request.request_id)
            wait_ms = self._head_wait_ms(request, max(1, slots), now_ms)
            can_start_soon = has_own_slots and wait_ms <= DELEGATION_COST_MS
            is_too_large = len(request.body) > DELEGATED_BODY_MAX_BYTES
            if entry.is_delegated or can_start_soon or is_too_large:
                return
            chosen = self._peer_loads.choose(self._data_centre, now_ms, self._rng)
            if chosen is None:
                return
            if self._completion.refuse_if_late(request, now_ms, actions):
                continue
            self._delegate_to(entry, chosen, int(wait_ms), now_ms, actions)

    def _head_wait_ms(self, request, slots, now_ms) -> float:
        """Return the expected wait of the first request for a free slot."""
        mean_ms = self._run_times.mean_ms(request.request_class)
        wait_ms = self._queue.expected_wait_ms(request, slots, now_ms)
        return max(mean_ms / slots, wait_ms)

    def _delegate_to(self, entry, chosen, wait_ms, now_ms, actions) -> None:
        peer, other = chosen
        request = entry.request
        self._queue.pop(request, now_ms)
        self._peer_loads.reserve_slot(peer)
        self._entries.open_attempt(entry, now_ms, peer=peer)
        passed_over = [f"own endpoints: wait of {wait_ms} ms"]
        if other is not None:
            passed_over.append(f"{other}: fewer free slots")
        decision = routing_decision(
            request, peer, "peer has free slots", tuple(passed_over)
        )
        actions.append(Log(decision))
        actions.append(Delegate(request, peer, entry.attempt))

    # End of attempts

    def _end_attempt(self, event, now_ms, actions) -> None:
        entry = self._entries.get(event.request_id)
        if entry is None or not entry.has_open_attempt:
            return
        if entry.endpoint is not None:
            self._record_endpoint_result(entry, event, now_ms)
        else:
            self._record_peer_result(entry.peer, event.result)
        self._entries.close_attempt(entry)
        if entry.is_finished:
            self._entries.remove(entry)
            return
        resolution = self._retry_rules.resolve(entry, event.result, now_ms)
        if isinstance(resolution, Retry):
            entry.not_before_ms = resolution.not_before_ms
            self._backing_off_ids.add(event.request_id)
            self._entries.wake_at(entry, resolution.not_before_ms)
        else:
            self._completion.finish(entry, resolution, actions)

    def _record_endpoint_result(self, entry, event, now_ms) -> None:
        request, endpoint = entry.request, entry.endpoint
        run_ms = now_ms - entry.sent_ms
        match event.result:
            case Answered(status) if status < SERVER_ERROR_STATUS:
                self._health.record_success(endpoint)
                self._run_times.record(request.request_class, run_ms)
                self._queue.adjust_cost(request, run_ms - entry.cost_ms)
            case Answered():
                self._health.record_failure(endpoint, request.request_id, now_ms)
            case NotSentToEndpoint(is_refusal=True):
                self._pool.record_refusal(endpoint, now_ms)
                self._health.clear_probe(endpoint, request.request_id)
            case _ if entry.is_finished or event.is_old_connection:
                # A deadline, a cancellation or the end of an old connection does not
                # count as a failure of the endpoint; a new connection is tried first.
                self._health.clear_probe(endpoint, request.request_id)
            case _:
                self._health.record_failure(endpoint, request.request_id, now_ms)

    def _record_peer_result(self, peer, result) -> None:
        if isinstance(result, NotRun):
            self._peer_loads.mark_full(peer)
        elif isinstance(result, Unreachable):
            self._peer_loads.discard(peer)

    def _requeue_after_backoff(self, now_ms) -> None:
        for request_id in sorted(self._backing_off_ids):
            entry = self._entries.get(request_id)
            if entry is None:
                self._backing_off_ids.remove(request_id)  # finished in the meantime
            elif entry.not_before_ms <= now_ms:
                self._backing_off_ids.remove(request_id)
                self._queue.push(entry.request, entry.cost_ms)

    def _cancel(self, request_id, actions) -> None:
        entry = self._entries.get(request_id)
        if entry is not None and not entry.is_finished:
            self._completion.stop(entry, Reason.CANCELLED, "the caller left", actions)

    def _set_endpoints(self, endpoints: tuple[ServingEndpoint, ...]) -> None:
        if not self._pool.set_endpoints(endpoints):
            return
        info_by_name = self._pool.info_by_name
        self._health.set_endpoints(set(info_by_name))
        self._shares.set_endpoints(
            {name: (i.slots, i.connections) for name, i in info_by_name.items()}
        )
